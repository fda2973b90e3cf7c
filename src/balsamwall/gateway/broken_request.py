"""Describe a request whose response broke, for the attribution of crashes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.gateway import fingerprints as fingerprints_module


@dataclasses.dataclass(slots=True, frozen=True)
class BrokenRequest:
    """Hold a request whose response broke before it was proven sound."""

    process: str  # of the server
    fingerprints: fingerprints_module.RequestFingerprints
    is_at_begin: bool  # whether the response had a head and nothing after it
    at_ms: int  # by the clock of this process
    # When it was sent to the server, None if a report does not say it.
    sent_ms: int | None = None
