"""Collect the open requests of an entry for its demand reports."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import residency_waits


class DemandSource:
    """Describe the running, waiting and queued requests of an entry."""

    __slots__ = (
        "_count_queued",
        "_count_running",
        "_directory",
        "_take_arrivals",
        "_waits",
    )

    def __init__(
        self,
        directory: backend_directory.BackendDirectory,
        waits: residency_waits.ResidencyWaits,
        count_running: Callable[[], list[list[object]]],
        take_arrivals: Callable[[], dict[str, list[int]]],
        count_queued: Callable[[], dict[str, int]],
    ) -> None:
        self._directory = directory
        self._waits = waits
        self._count_running = count_running
        self._take_arrivals = take_arrivals
        self._count_queued = count_queued

    def report(self) -> messages_fleet.DemandReport:
        """Return the open requests, and the arrivals since the last call."""
        waiting: dict[residency_waits.WantedModel, int] = {}
        for wanted, count in self._waits.counts().items():
            wanted = wanted.at_any_version
            waiting[wanted] = waiting.get(wanted, 0) + count
        return messages_fleet.DemandReport(
            self._count_running(),
            [
                [wanted.service, wanted.model, wanted.adapter, count]
                for wanted, count in waiting.items()
            ],
            self._count_queued(),
            self._take_arrivals(),
            {
                server.server_id: server.pending_tokens
                for server in self._directory.all_servers()
                if server.pending_tokens
            },
        )

    def bound_report(self) -> messages_fleet.BoundDemand | None:
        """Return the streams that wait at a version, None without any."""
        rows: list[list[object]] = [
            [*dataclasses.astuple(wanted), count]
            for wanted, count in self._waits.counts().items()
            if wanted.software_version
        ]
        return messages_fleet.BoundDemand(rows) if rows else None
