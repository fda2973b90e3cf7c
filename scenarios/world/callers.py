"""Callers of the fleet and the checks of their responses."""

from __future__ import annotations

import dataclasses
import json
import random
from typing import TYPE_CHECKING

from balsamwall_standins import tokens

from balsamwall.entry import request_checker
from balsamwall.idempotency import uuid7
from balsamwall.results import exceptions
from balsamwall.results import result_code
from scenarios.world import backends
from scenarios.world import trace

if TYPE_CHECKING:
    from scenarios.world import fleet as fleet_module

CHAT_PATH = "/v1/chat/completions"
RESEND_AFTER_MS = 1_500
MAX_SENDS = 25


@dataclasses.dataclass(slots=True)
class Demand:
    """Row of a demand table: requests at a fixed interval."""

    workspace: str
    target: str
    interval_ms: int
    from_ms: int
    until_ms: int
    tokens: int = 8
    request_class: str = ""
    is_streamed: bool = True
    is_repeatable: bool = True
    is_crashing: bool = False
    entry: str = ""


class Request:
    """One request as its caller sees it."""

    def __init__(self, callers, number, entry, demand, path, body, key=""):
        self._callers = callers
        self._trace = callers.fleet.trace
        self.number = number
        self.entry = entry
        self.generation = entry.generation
        self.demand = demand
        self.path = path
        self.body = body
        self.key = key
        self.sent_ms = callers.fleet.clock.now_ms()
        self.finished_ms = 0
        self.request_id = ""
        self.data = bytearray()
        self.code = None
        self.scope = ""
        self.is_lost = False
        self.on_finished = None

    @property
    def label(self) -> str:
        """Return the name of the request in reports."""
        return f"request {self.number} for {self.demand.target}"

    @property
    def is_finished(self) -> bool:
        """Tell whether the caller has an outcome or lost its connection."""
        return self.is_lost or self.code is not None

    @property
    def is_answered(self) -> bool:
        """Tell whether the complete response arrived."""
        return self.code is result_code.ResultCode.OK

    def on_chunk(self, data: bytes) -> None:
        """Receive a part of the response."""
        self._check_open()
        self.data += data

    def on_end(self, end) -> None:
        """Receive the end of a complete response."""
        self._check_open()
        if end.total_bytes != len(self.data):
            self._record_violation(
                f"got {len(self.data)} of {end.total_bytes} bytes"
            )
        self._finish(result_code.ResultCode.OK)
        if end.http_status != 200:
            self._record_violation(f"status {end.http_status}")

    def on_failure(self, failure) -> None:
        """Receive the final failure."""
        self._check_open()
        self.scope = failure.scope
        self._trace.record(
            f"{self.label} fails: {failure.code.name} ({failure.detail})"
        )
        self._finish(failure.code)

    def on_connection_lost(self) -> None:
        """Finish the request without an outcome."""
        if not self.is_finished:
            self.is_lost = True
            self._check_content(False)
            self._end()

    def _check_open(self) -> None:
        if self.is_finished:
            self._record_violation("callback after the end")

    def _finish(self, code) -> None:
        self.code = code
        self._check_content(self.is_answered)
        self._end()

    def _end(self) -> None:
        self.finished_ms = self._callers.fleet.clock.now_ms()
        self._callers.fleet.invariants.on_outcome(self)
        if self.on_finished is not None:
            self.on_finished(self)

    def _record_violation(self, detail: str) -> None:
        self._trace.record_violation(
            "R3 complete responses to the right caller",
            f"{self.label}: {detail}",
        )

    def _check_content(self, is_complete: bool) -> None:
        data = bytes(self.data)
        if self.key or self.demand.tokens == 0:
            expected = backends.expected_service_response(self.path, self.body)
            if is_complete and data != expected:
                self._record_violation(f"wrong response {data[:80]!r}")
            return
        body = json.loads(self.body)
        expected_text = tokens.response_text(body["model"], body)
        if not self.demand.is_streamed:
            if not is_complete:
                return
            try:
                choice = json.loads(data)["choices"][0]
                text = choice["message"]["content"]
            except (ValueError, KeyError):
                text = repr(data[:80])
        else:
            text, is_closed = read_events(data)
            if is_complete and not is_closed:
                self._record_violation("no end marker")
            if not is_complete and expected_text.startswith(text):
                return
        if text != expected_text:
            self._record_violation(
                f"got {text[:60]!r}, not {expected_text[:60]!r}"
            )


def read_events(data: bytes) -> tuple[str, bool]:
    """Return the text of the complete events and whether [DONE] came."""
    text, is_closed = "", False
    for event in data.split(b"\n\n")[:-1]:
        payload = event.removeprefix(b"data: ")
        if payload == b"[DONE]":
            is_closed = True
            continue
        delta = json.loads(payload)["choices"][0]["delta"]
        text += delta.get("content") or ""
    return text, is_closed


class Hold:
    """Non-repeatable call that its caller resends with the same key."""

    def __init__(self, callers, number, demand, entries) -> None:
        self._callers = callers
        self._entries = entries
        self.number = number
        self.demand = demand
        clock = callers.fleet.clock
        self.key = uuid7.generate(clock.wall_ms(), callers.random)
        self.body = json.dumps({"hall": number % 7, "hold": number}).encode()
        self.sends: list[Request] = []
        self.has_given_up = False
        self._send()

    @property
    def is_answered(self) -> bool:
        """Tell whether any attempt got a complete response."""
        return any(item.is_answered for item in self.sends)

    @property
    def is_finished(self) -> bool:
        """Tell whether the caller stopped resending."""
        return self.is_answered or self.has_given_up

    def _send(self) -> None:
        index = (self.number + len(self.sends)) % len(self._entries)
        entry = self._entries[index]
        item = self._callers.send_service(self, entry)
        self.sends.append(item)
        item.on_finished = self._on_finished
        if item.is_finished:
            self._on_finished(item)

    def _on_finished(self, item: Request) -> None:
        if self.is_finished:
            return
        is_final = (
            item.code is not None
            and item.code.repeat is result_code.RetryAdvice.NEVER
        )
        if is_final or len(self.sends) >= MAX_SENDS:
            self.has_given_up = True
            return
        self._callers.fleet.clock.call_later(RESEND_AFTER_MS, self._resend)

    def _resend(self) -> None:
        if not self.is_finished:
            self._send()


class Callers:
    """Callers that send the requests of the demand tables."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self.fleet = fleet
        self.random = random.Random(fleet.seed)
        self.requests: list[Request] = []
        self.holds: list[Hold] = []
        self._open: dict[str, list[Request]] = {}

    def watch(self, entry) -> None:
        """Close the open requests of an entry when it stops."""
        entry.on_stopped.append(lambda: self._close_connections(entry.vm))

    def _close_connections(self, vm: str) -> None:
        items, self._open[vm] = self._open.get(vm, []), []
        for item in items:
            item.on_connection_lost()

    def schedule(self, demand: Demand) -> None:
        """Schedule the requests of a demand, round robin over the entries."""
        clock = self.fleet.clock
        offset_ms = clock.now_ms() - self.fleet.now_ms
        at_ms = demand.from_ms
        while at_ms < demand.until_ms:
            jitter_ms = self.random.randrange(max(1, demand.interval_ms // 4))
            delay_ms = offset_ms + at_ms + jitter_ms - clock.now_ms()
            clock.call_later(max(0, delay_ms), self.send, demand)
            at_ms += demand.interval_ms

    def send(self, demand: Demand) -> None:
        """Send one model request, or start one hold."""
        entries = [
            entry
            for entry in self.fleet.entries.values()
            if not demand.entry or entry.vm == demand.entry
        ]
        is_service = demand.target in self.fleet.invariants.services()
        if is_service:
            self.holds.append(Hold(self, len(self.holds), demand, entries))
            return
        number = len(self.requests)
        # The load balancer sends only to entries that pass its health check.
        live = [e for e in entries if e.is_alive and not e.is_leaving]
        entry = (live or entries)[number % len(live or entries)]
        content = "crash" if demand.is_crashing else f"text {number}"
        body = {
            "model": demand.target,
            "messages": [{"role": "user", "content": f"Draft {content}."}],
            "max_tokens": demand.tokens,
            "ignore_eos": True,
            "stream": demand.is_streamed,
        }
        if demand.is_crashing:
            body["crash"] = True
        headers = {}
        if demand.request_class:
            headers[request_checker.CLASS_HEADER] = demand.request_class
        if not demand.is_repeatable:
            headers[request_checker.REPEATABLE_HEADER] = "no"
        item = self._new(entry, demand, CHAT_PATH, json.dumps(body).encode())
        self._submit(item, headers)

    def send_service(self, hold: Hold, entry) -> Request:
        """Send one attempt of a hold through an entry."""
        demand = hold.demand
        item = self._new(entry, demand, "/holds", hold.body, hold.key)
        self._submit(item, {request_checker.KEY_HEADER: hold.key})
        return item

    def _new(self, entry, demand, path, body, key="") -> Request:
        item = Request(
            self, len(self.requests), entry, demand, path, body, key
        )
        self.requests.append(item)
        return item

    def _submit(self, item: Request, headers: dict[str, str]) -> None:
        entry = item.entry
        if not entry.is_alive:
            item.is_lost = True
            item.finished_ms = item.sent_ms
            return
        self._open.setdefault(entry.vm, []).append(item)
        raw = request_checker.RawRequest(item.path, headers, item.body)
        entry.run(entry.generation, self._enter, entry, item, raw)

    def _enter(self, entry, item: Request, raw) -> None:
        workspace = item.demand.workspace
        try:
            configuration, spec = entry.core.authenticate(
                f"Bearer sk-{workspace}", "192.0.2.1"
            )
            if item.key:
                checked = entry.checker.check_service(
                    raw, item.demand.target, configuration, spec
                )
            else:
                checked = entry.checker.check_model(raw, configuration, spec)
        except exceptions.BalsamwallError as error:
            self.fleet.trace.record(f"{item.label}: {error.code.name}")
            item._finish(error.code)
            return
        item.request_id = checked.request_id
        entry.core.submit(checked, item)

    def counts(self, request_class: str = "") -> dict[str, int]:
        """Return the number of model requests by result code."""
        found: dict[str, int] = {}
        for item in self.requests:
            if item.key:
                continue
            if request_class and item.demand.request_class != request_class:
                continue
            name = "lost" if item.is_lost else "open"
            if item.code is not None:
                name = item.code.name
            found[name] = found.get(name, 0) + 1
        return dict(sorted(found.items()))

    def is_open(self) -> bool:
        """Tell whether any request or hold is unfinished."""
        return any(not item.is_finished for item in self.requests) or any(
            not hold.is_finished for hold in self.holds
        )


def describe(item: Request) -> str:
    """Return a one-line description of a request and its outcome."""
    outcome = item.code.name if item.code is not None else "open"
    return (
        f"{item.label} through {item.entry.vm}, sent at"
        f" {trace.format_ms(item.sent_ms)}: {outcome}"
    )
