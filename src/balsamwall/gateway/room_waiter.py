"""Define a request that waits for room at a server."""

from __future__ import annotations

from typing import Protocol

Target = tuple[str, str, str]  # service, model and adapter
# Priority of the workspace, else of the route; then that of the route. The
# lowest is the most urgent.
Priority = tuple[int, int]


class RoomWaiter(Protocol):
    """Represent a request that waits for room at a server."""

    @property
    def priority(self) -> Priority:
        """Return the priority, the lowest is the most urgent."""

    @property
    def arrived_ms(self) -> int:
        """Return when the request arrived."""

    @property
    def target(self) -> Target:
        """Return service, model and adapter."""

    @property
    def bound_version(self) -> str | None:
        """Return the software version that the server must have.

        It is None for any, and while the service has one version only.
        """

    @property
    def is_fair(self) -> bool:
        """Return whether the request is ordered fairly across workspaces."""

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty without one."""

    @property
    def cost(self) -> int:
        """Return prompt and output tokens, 0 if they are unknown."""

    @property
    def on_time_until_ms(self) -> int:
        """Return the last time for a send that meets the target."""

    @property
    def aged_at_ms(self) -> int:
        """Return when half of the caller's timeout has passed."""

    def try_send(self, is_owed: bool = False) -> bool:
        """Send the request if a server has room.

        An owed send may use the room that is kept for urgent requests. Return
        whether the request has left the queue.
        """
