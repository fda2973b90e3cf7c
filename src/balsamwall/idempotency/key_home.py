"""Admit idempotency keys at their home agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.idempotency import key_gate
from balsamwall.idempotency import key_record
from balsamwall.idempotency import record_table
from balsamwall.idempotency import scoped_key
from balsamwall.idempotency import uuid7
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.idempotency import home_map
    from balsamwall.timing import clock as clock_module

# Greatest error that is allowed for in a wall clock.
CLOCK_SKEW_MS = 500
# Time for which opaque keys are refused, in addition to the clock errors,
# after the records of their home may have been lost.
RESEND_WINDOW_MS = 600_000

_Admission = key_gate.Admission
_Code = result_code.ResultCode


class KeyHome:
    """Decide which executions of a non-repeatable service may start.

    An opaque key is one that is not a UUIDv7, so it has no creation time.
    """

    __slots__ = (
        "_are_opaque_keys_allowed",
        "_clock",
        "_granted",
        "_is_open",
        "_map",
        "_resend_window_ms",
        "_service",
        "_table",
        "_vm",
        "_waiters",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        vm: str,
        service: str,
        table: record_table.RecordTable | None = None,
        resend_window_ms: int = RESEND_WINDOW_MS,
        are_opaque_keys_allowed: bool = True,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._service = service
        # An empty table is falsy, so "or" would replace it.
        self._table = (
            table if table is not None else record_table.RecordTable()
        )
        self._resend_window_ms = resend_window_ms
        self._are_opaque_keys_allowed = are_opaque_keys_allowed
        self._map: home_map.HomeMap | None = None
        self._is_open = False
        self._granted: set[str] = set()
        self._waiters: dict[str, list[Callable[[], None]]] = {}

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self._service

    @property
    def is_open(self) -> bool:
        """Return whether new keys are admitted."""
        return self._is_open

    @property
    def table(self) -> record_table.RecordTable:
        """Return the key records of this home."""
        return self._table

    @property
    def granted_joiners(self) -> set[str]:
        """Return the joining agents that hold a grant."""
        return set(self._granted)

    def open(self, current: home_map.HomeMap) -> None:
        """Admit new keys under a map that lists this agent as a member."""
        self._map = current
        self._is_open = True

    def close(self) -> None:
        """Stop admitting new keys."""
        self._is_open = False

    def update_map(self, current: home_map.HomeMap) -> None:
        """Replace the map if the revision is higher.

        Grants of agents that have become members end.
        """
        if self._map is None or current.revision > self._map.revision:
            self._map = current
            self._granted -= set(current.member_names)

    def grant(self, joiner: str) -> None:
        """Stop admitting the keys that will move to a joining agent."""
        self._granted.add(joiner)

    def withdraw_grant(self, joiner: str) -> None:
        """Admit the keys again that were reserved for a joining agent."""
        self._granted.discard(joiner)

    def set_limits(
        self, resend_window_ms: int, are_opaque_keys_allowed: bool
    ) -> None:
        """Apply the limits of the active configuration."""
        self._resend_window_ms = resend_window_ms
        self._are_opaque_keys_allowed = are_opaque_keys_allowed

    def admit(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Decide on a dispatch; for RUN, record the key as running."""
        decision = self.peek(service, key, fingerprint)
        if decision.admission is _Admission.RUN:
            self._table.put(
                key_record.KeyRecord(
                    key,
                    fingerprint,
                    key_record.KeyState.RUNNING,
                    self._clock.wall_ms(),
                )
            )
        return decision

    def peek(
        self, service: str, key: str, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        """Decide like `admit`, but record nothing."""
        record = self._table.get(key) if service == self._service else None
        if record is not None:
            return self._admit_known(record, fingerprint)
        refusal = self._refuse_unknown(service, key)
        if refusal is not None:
            return refusal
        return key_gate.KeyAdmission(_Admission.RUN, scope="key")

    def call_when_ended(
        self, service: str, key: str, callback: Callable[[], None]
    ) -> None:
        """Call back once when the run of a key ends, or now if none runs."""
        record = self._table.get(key)
        if record is None or record.state is not key_record.KeyState.RUNNING:
            callback()
            return
        self._waiters.setdefault(key, []).append(callback)

    def complete(
        self, service: str, key: str, answer: key_gate.RecordedAnswer
    ) -> None:
        """Record the complete answer to a key."""
        self._record_outcome(key, key_record.KeyState.DONE, answer)

    def fail(
        self, service: str, key: str, ran: result_code.ExecutionState
    ) -> None:
        """Record a failed run; after NOT_RUN the key may run again."""
        if ran is result_code.ExecutionState.NOT_RUN:
            self._table.remove(key)
            self._notify_waiters(key)
            return
        self._record_outcome(key, key_record.KeyState.UNKNOWN, None)

    def is_any_running(self, joiner: str | None = None) -> bool:
        """Return whether any key runs; with a joiner, any that will be its."""
        return any(
            record.state is key_record.KeyState.RUNNING
            and (joiner is None or self._will_belong_to(record.key, joiner))
            for record in self._table
        )

    def records_for(self, joiner: str) -> list[key_record.KeyRecord]:
        """Return the records of keys that will move to a joining agent."""
        return [
            record
            for record in self._table
            if self._will_belong_to(record.key, joiner)
        ]

    def import_record(self, record: key_record.KeyRecord) -> None:
        """Store a transferred record unless the key is already known."""
        if self._table.get(record.key) is None:
            self._table.put(record)

    def _will_belong_to(self, key: str, joiner: str) -> bool:
        current = self._map
        return (
            current is not None and current.home_of(key, (joiner,)) == joiner
        )

    def _admit_known(
        self, record: key_record.KeyRecord, fingerprint: bytes
    ) -> key_gate.KeyAdmission:
        if record.fingerprint != fingerprint:
            return self._refuse(
                _Code.KEY_CONFLICT, "the key was used with another body"
            )
        if record.state is key_record.KeyState.RUNNING:
            return key_gate.KeyAdmission(_Admission.ATTACH, scope="key")
        if record.state is key_record.KeyState.UNKNOWN:
            return self._refuse(
                _Code.OUTCOME_UNKNOWN, "an earlier run ended without an answer"
            )
        if record.answer is None:
            return self._refuse(
                _Code.ANSWER_NOT_KEPT,
                "the request ran, but its answer was dropped",
            )
        return key_gate.KeyAdmission(
            _Admission.REPLAY, scope="key", answer=record.answer
        )

    def _refuse_unknown(
        self, service: str, key: str
    ) -> key_gate.KeyAdmission | None:
        if service != self._service:
            return self._refuse(
                _Code.UNKNOWN_SERVICE,
                "the service is not served by this agent",
            )
        current = self._map
        if not self._is_open or current is None:
            return self._refuse(
                _Code.NOT_READY, "the key home is not admitting keys"
            )
        if current.home_of(key, self._granted) != self._vm:
            return self._refuse(
                _Code.NOT_HOME, "another agent is the home of the key"
            )
        refusal = self._refuse_by_age(current, key)
        if refusal is not None:
            return refusal
        if not self._table.has_room(self._clock.wall_ms()):
            return self._refuse(_Code.QUEUE_FULL, "the key table is full")
        return None

    def _refuse_by_age(
        self, current: home_map.HomeMap, key: str
    ) -> key_gate.KeyAdmission | None:
        wall_ms = self._clock.wall_ms()
        limit_ms = current.incomplete_before_ms(key)
        created_ms = uuid7.creation_ms(scoped_key.caller_key(key) or key)
        if created_ms is None:
            return self._refuse_opaque(limit_ms, wall_ms)
        if created_ms > wall_ms + CLOCK_SKEW_MS:
            return self._refuse(
                _Code.INVALID_IDEMPOTENCY_KEY,
                "the creation time of the key is in the future",
            )
        if created_ms < wall_ms - self._table.retention_ms:
            return self._refuse(
                _Code.KEY_EXPIRED,
                "the key is older than the retention time of records",
            )
        # The limit, the creation time and the time of the earlier run come
        # from three clocks, each of which may be off by CLOCK_SKEW_MS.
        if limit_ms and created_ms <= limit_ms + 3 * CLOCK_SKEW_MS:
            return self._refuse(
                _Code.KEY_RECORD_INCOMPLETE,
                "a lost agent may have run the key; this attempt was not run",
            )
        return None

    def _refuse_opaque(
        self, limit_ms: int, wall_ms: int
    ) -> key_gate.KeyAdmission | None:
        if not self._are_opaque_keys_allowed:
            return self._refuse(
                _Code.INVALID_IDEMPOTENCY_KEY, "the key must be a UUIDv7"
            )
        window_ms = self._resend_window_ms + 3 * CLOCK_SKEW_MS
        if limit_ms and wall_ms <= limit_ms + window_ms:
            return self._refuse(
                _Code.KEY_RECORD_INCOMPLETE,
                "a lost agent may have run the key; this attempt was not run;"
                " a UUIDv7 key would be admitted",
            )
        return None

    def _refuse(
        self, code: result_code.ResultCode, detail: str
    ) -> key_gate.KeyAdmission:
        return key_gate.KeyAdmission(
            _Admission.REFUSE, code=code, scope="attempt", detail=detail
        )

    def _record_outcome(
        self,
        key: str,
        state: key_record.KeyState,
        answer: key_gate.RecordedAnswer | None,
    ) -> None:
        record = self._table.get(key)
        if record is None or record.state is key_record.KeyState.DONE:
            return
        self._table.put(
            key_record.KeyRecord(
                key,
                record.fingerprint,
                state,
                self._clock.wall_ms(),
                answer,
            )
        )
        self._notify_waiters(key)

    def _notify_waiters(self, key: str) -> None:
        for callback in self._waiters.pop(key, []):
            callback()
