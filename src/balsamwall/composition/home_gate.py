"""Gate of the executor over the key homes of several services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.idempotency import key_gate
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.idempotency import key_home


_NO_HOME = key_gate.KeyAdmission(
    key_gate.Admission.REFUSE,
    code=result_code.ResultCode.UNKNOWN_SERVICE,
    detail="the service has no key home here",
)


class HomeGate:
    """Choose the key home by the service; refuse keys without a home."""

    __slots__ = ("_homes",)

    def __init__(self, homes: dict[str, key_home.KeyHome]) -> None:
        self._homes = homes

    def admit(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Decide on a dispatch; RUN records the key before it returns."""
        home = self._homes.get(service)
        if home is None:
            return _NO_HOME
        return home.admit(service, key, fingerprint)

    def peek(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Decide as admit does, but record nothing."""
        home = self._homes.get(service)
        if home is None:
            return _NO_HOME
        return home.peek(service, key, fingerprint)

    def call_when_ended(
        self, service: str, key: str, callback: Callable[[], None]
    ) -> None:
        """Call back once when a running key ends."""
        home = self._homes.get(service)
        if home is not None:
            home.call_when_ended(service, key, callback)

    def complete(
        self, service: str, key: str, answer: key_gate.RecordedAnswer
    ) -> None:
        """Record the whole answer of a key."""
        home = self._homes.get(service)
        if home is not None:
            home.complete(service, key, answer)

    def fail(
        self, service: str, key: str, ran: result_code.ExecutionState
    ) -> None:
        """Record a failed run."""
        home = self._homes.get(service)
        if home is not None:
            home.fail(service, key, ran)
