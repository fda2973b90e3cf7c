"""Encode reports of broken requests for coordinators of two builds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet
from balsamwall.gateway import broken_request
from balsamwall.gateway import fingerprints

if TYPE_CHECKING:
    from balsamwall.protocol import message

# Key in the loads of a FleetState that asks for reports with the time of the
# send. Earlier builds take it for a server.
ACCEPTS_SENDS_KEY = "broken-sends"


class CrashReports:
    """Encode reports in the form that the present coordinator accepts.

    Load pattern: entries of two builds run side by side during an update. The
    older ones close a stream on which they receive an unknown message.
    """

    __slots__ = ("_has_sends",)

    def __init__(self) -> None:
        self._has_sends = False

    def restart(self) -> None:
        """Expect nothing of a coordinator on a new stream."""
        self._has_sends = False

    def on_loads(self, loads: dict[str, int]) -> bool:
        """Return whether earlier reports are to be repeated with sends."""
        if self._has_sends or ACCEPTS_SENDS_KEY not in loads:
            return False
        self._has_sends = True
        return True

    def encode(
        self, broken: broken_request.BrokenRequest, now_ms: int
    ) -> message.Message:
        """Return the report of a broken request."""
        age_ms = now_ms - broken.at_ms
        prints = broken.fingerprints
        parts = sorted(prints.parts)
        if not self._has_sends or broken.sent_ms is None:
            return messages_fleet.BrokenRequestReport(
                broken.process,
                prints.request,
                parts,
                broken.is_at_begin,
                age_ms,
            )
        return messages_fleet.BrokenSendReport(
            broken.process,
            prints.request,
            parts,
            broken.is_at_begin,
            age_ms,
            now_ms - broken.sent_ms,
        )


def decode(
    item: messages_fleet.BrokenRequestReport, now_ms: int
) -> broken_request.BrokenRequest:
    """Return the broken request of a report, with times of this process."""
    sent_ms = None
    if isinstance(item, messages_fleet.BrokenSendReport):
        sent_ms = now_ms - max(item.age_ms, item.sent_age_ms, 0)
    return broken_request.BrokenRequest(
        item.process,
        fingerprints.RequestFingerprints(item.request, frozenset(item.parts)),
        item.is_at_begin,
        now_ms - max(0, item.age_ms),
        sent_ms,
    )
