"""Idempotency check of the executor across several services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.idempotency import key_gate
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.idempotency import key_home


_NO_KEY_HOME = key_gate.KeyAdmission(
    key_gate.Admission.REFUSE,
    code=result_code.ResultCode.UNKNOWN_SERVICE,
    detail="the service has no key home here",
)


class HomeGate:
    """Select the key home by service; refuse keys without a home."""

    __slots__ = ("_homes",)

    def __init__(self, homes: dict[str, key_home.KeyHome]) -> None:
        self._homes = homes

    def admit(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Decide on a dispatch; on RUN the key is already recorded."""
        home = self._homes.get(service)
        if home is None:
            return _NO_KEY_HOME
        return home.admit(service, key, fingerprint)

    def peek(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Return the decision of admit without recording the key."""
        home = self._homes.get(service)
        if home is None:
            return _NO_KEY_HOME
        return home.peek(service, key, fingerprint)

    def call_when_ended(
        self, service: str, key: str, callback: Callable[[], None]
    ) -> None:
        """Call back once when the run of a key ends, successful or not.

        Without a key home for the service, the callback is not called.
        """
        home = self._homes.get(service)
        if home is not None:
            home.call_when_ended(service, key, callback)

    def complete(
        self, service: str, key: str, answer: key_gate.RecordedAnswer
    ) -> None:
        """Record the complete response for a key."""
        home = self._homes.get(service)
        if home is not None:
            home.complete(service, key, answer)

    def fail(
        self, service: str, key: str, ran: result_code.ExecutionState
    ) -> None:
        """Record a failed run and whether it was executed."""
        home = self._homes.get(service)
        if home is not None:
            home.fail(service, key, ran)
