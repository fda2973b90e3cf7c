"""Fake backend server, memory ledger and key records."""

from __future__ import annotations

import dataclasses

from balsamwall.idempotency import key_gate
from balsamwall.results import result_code

POISON = b"poison"
KV_BYTES_PER_TOKEN = 10
_Code = result_code.ResultCode


@dataclasses.dataclass
class Execution:
    """One run at a fake backend server."""

    agent: str
    request_id: str
    key: str
    started_ms: int
    answer: bytes


class FakeMemory:
    """Memory ledger that refuses charges above its capacity."""

    def __init__(self, capacity_bytes):
        self.capacity_bytes = capacity_bytes
        self.charges = {}

    @property
    def committed_bytes(self):
        return sum(self.charges.values())

    @property
    def free_bytes(self):
        return self.capacity_bytes - self.committed_bytes

    def charge(self, key, size_bytes):
        if key in self.charges or size_bytes > self.free_bytes:
            return False
        self.charges[key] = size_bytes
        return True

    def release(self, key):
        self.charges.pop(key, None)


class FakeKeyGate:
    """Key records of one incarnation, which refuses older keys.

    A key is "WORKSPACE/MS/NAME" with its creation time, like a UUIDv7.
    """

    def __init__(self, complete_since_ms):
        self._since_ms = complete_since_ms
        self._records = {}
        self._waiting = {}

    def admit(self, service, key, fingerprint):
        decision = self.peek(service, key, fingerprint)
        if decision.admission is key_gate.Admission.RUN:
            self._records[key] = "running"
        return decision

    def peek(self, service, key, fingerprint):
        record = self._records.get(key)
        if record is None:
            if int(key.split("/")[1]) <= self._since_ms:
                return key_gate.KeyAdmission(
                    key_gate.Admission.REFUSE, _Code.KEY_RECORD_INCOMPLETE
                )
            return key_gate.KeyAdmission(key_gate.Admission.RUN, scope="key")
        if record == "running":
            return key_gate.KeyAdmission(key_gate.Admission.ATTACH)
        if isinstance(record, key_gate.RecordedAnswer):
            return key_gate.KeyAdmission(
                key_gate.Admission.REPLAY, answer=record
            )
        return key_gate.KeyAdmission(
            key_gate.Admission.REFUSE, _Code.OUTCOME_UNKNOWN
        )

    def call_when_ended(self, service, key, callback):
        self._waiting.setdefault(key, []).append(callback)

    def complete(self, service, key, answer):
        self._settle(key, answer)

    def fail(self, service, key, ran):
        assert self._records.get(key) == "running"
        self._settle(
            key, None if ran is result_code.ExecutionState.NOT_RUN else ran
        )

    def _settle(self, key, record):
        if record is None:
            del self._records[key]
        else:
            self._records[key] = record
        for callback in self._waiting.pop(key, ()):
            callback()


class FakeBackend:
    """Streams an answer that contains its request and run number."""

    def __init__(self, name, clock, random_source, log, capacity_bytes):
        self.name = name
        self.clock = clock
        self.random = random_source
        self.log = log
        self.capacity_bytes = capacity_bytes
        self.running = {}
        self.is_up = True
        self.on_restart = lambda: None
        self.break_chance = 0.0
        self.started = []
        self.crashes = 0

    def start(self, request, listener):
        request_id = request.request_id.rsplit(".", 1)[0]
        parts = [
            f"[{request_id} {len(self.log)} {index}]".encode()
            for index in range(self.random.randint(1, 6))
        ]
        execution = Execution(
            self.name,
            request_id,
            request.idempotency_key,
            self.clock.now_ms(),
            b"".join(parts),
        )
        if not self.is_up or self.random.random() < self.break_chance / 4:
            self.clock.call_later(
                5, listener.on_error, _Code.BACKEND_DOWN, "connect", False
            )
            return
        self.log.append(execution)
        self.started.append(execution)
        tokens = request.prompt_tokens + request.max_output_tokens
        kv = tokens * KV_BYTES_PER_TOKEN if request.kind == "model" else 0
        self.running[request.request_id] = run = {
            "listener": listener,
            "parts": parts,
            "next": 0,
            "execution": execution,
            "kv": kv,
            "is_cancelled": False,
        }
        assert sum(r["kv"] for r in self.running.values()) <= (
            self.capacity_bytes
        ), "the KV cache is overcommitted"
        if POISON in request.body:
            self.clock.call_later(20, self.crash)
        self.clock.call_later(
            self.random.randint(5, 400), self._step, request.request_id, run
        )

    def resume(self, request_id, offset, listener):
        run = self.running.get(request_id)
        if run is None:
            listener.on_error(_Code.BACKEND_ERROR, "unknown", False)
            return
        run["listener"] = listener
        sent = b"".join(run["parts"][: run["next"]])
        if sent[offset:]:
            listener.on_data(offset, sent[offset:])
        if run["next"] >= len(run["parts"]):
            self._end(request_id, run)

    def unfinished(self):
        """Return the requests whose answers still have a reader."""
        return [
            request_id
            for request_id, run in self.running.items()
            if run["listener"] is not None and not run["is_cancelled"]
        ]

    def cancel(self, request_id):
        if request_id in self.running:
            self.running[request_id]["is_cancelled"] = True
        self.clock.call_later(30, self._stop, request_id)

    def crash(self):
        if not self.is_up:
            return
        self.is_up = False
        self.crashes += 1
        running, self.running = self.running, {}
        for run in running.values():
            if run["listener"] is not None:
                run["listener"].on_error(
                    _Code.BACKEND_CRASHED, "crashed", True
                )
        self.clock.call_later(1_500, self._restart)

    def _restart(self):
        self.is_up = True
        self.on_restart()

    def _stop(self, request_id):
        run = self.running.pop(request_id, None)
        if run is not None and run["listener"] is not None:
            run["listener"].on_error(_Code.CALLER_GONE, "cancelled", False)

    def _step(self, request_id, run):
        if self.running.get(request_id) is not run:
            return
        offset = len(b"".join(run["parts"][: run["next"]]))
        data = run["parts"][run["next"]]
        run["next"] += 1
        if run["listener"] is not None:
            run["listener"].on_data(offset, data)
        is_last = run["next"] >= len(run["parts"])
        if self.random.random() < self.break_chance:
            listener, run["listener"] = run["listener"], None
            if listener is not None:
                listener.on_error(_Code.ANSWER_INTERRUPTED, "broken", False)
        if not is_last:
            delay_ms = self.random.randint(5, 400)
            self.clock.call_later(delay_ms, self._step, request_id, run)
        elif run["listener"] is not None:
            self._end(request_id, run)
        else:
            # A service stream can't be resumed, so its answer is discarded.
            self.clock.call_later(1_000, self._expire, request_id, run)

    def _expire(self, request_id, run):
        if self.running.get(request_id) is run and run["listener"] is None:
            del self.running[request_id]

    def _end(self, request_id, run):
        if self.running.pop(request_id, None) is not None:
            size = len(run["execution"].answer)
            run["listener"].on_end(200, {}, size, len(run["parts"]))
