"""Hold the permit of the running load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.residency import permit
    from balsamwall.residency import residency_task


class PermitHolder:
    """Acquire, renew and release the permit of a load task."""

    __slots__ = ("_on_granted", "_permits")

    def __init__(
        self, permits: permit.PermitSource, on_granted: Callable[[], None]
    ) -> None:
        self._permits = permits
        self._on_granted = on_granted

    def acquire(self, task: residency_task.ResidencyTask) -> bool:
        """Return whether a load may start; request a permit if not.

        The caller repeats this after `on_granted` was called. A granted
        permit that is no longer usable is released and replaced.
        """
        if task.permit_id is not None and task.is_permit_granted:
            if self._permits.is_usable(task.permit_id):
                return True
            self.release(task)
        if task.permit_id is None:
            self._request(task)
        return task.is_permit_granted

    def mark_started(self, task: residency_task.ResidencyTask) -> None:
        """Record that the load starts now."""
        if task.permit_id is not None:
            self._permits.mark_started(task.permit_id)

    def release(self, task: residency_task.ResidencyTask) -> None:
        """Release the permit or withdraw the request for it."""
        if task.permit_id is not None:
            self._permits.release(task.permit_id)
        task.permit_id = None
        task.is_permit_granted = False

    def _request(self, task: residency_task.ResidencyTask) -> None:
        def on_granted(permit_id: int) -> None:
            if task.permit_id in (None, permit_id):
                task.permit_id = permit_id
                task.is_permit_granted = True
                self._on_granted()

        permit_id = self._permits.acquire(task.name, task.urgency, on_granted)
        task.permit_id = permit_id
