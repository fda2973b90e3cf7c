"""Tests of the in-process engine."""

from __future__ import annotations

import json
import unittest

from balsamwall_standins import engine_core
from balsamwall_standins import engine_options
from balsamwall_standins import memory_engine
from balsamwall_standins import tokens

from balsamwall.backend import backend_server
from balsamwall.results import result_code
from balsamwall.timing import virtual_clock
from tests.fixtures import recording_listener

Code = result_code.ResultCode


class EngineCoreTest(unittest.TestCase):
    """Guard the engine stand-in whose behavior other tests rely on."""

    def _build(self, **options):
        self.clock = virtual_clock.VirtualClock()
        self.core = engine_core.EngineCore(
            self.clock,
            engine_options.EngineOptions(
                capacity_bytes=10_000,
                kv_bytes_per_token=10,
                load_ms=100,
                unload_ms=50,
                **options,
            ),
        )
        self.core.orders.add_resident("m", "model", "1", "", 1_000)
        self.engine = memory_engine.MemoryEngine(self.clock, self.core)

    def _start(self, request_id, is_urgent=True, **extra):
        body = {"model": "m", "prompt": "p" * 40, "ignore_eos": True, **extra}
        body["stream"] = True
        listener = recording_listener.RecordingListener()
        request = backend_server.BackendRequest(
            request_id=request_id,
            kind="model",
            target="m",
            path="/v1/completions",
            headers={},
            body=json.dumps(body).encode(),
            is_urgent=is_urgent,
            is_streamed=True,
            prompt_tokens=10,
            max_output_tokens=16,
            idempotency_key="",
            timeout_ms=10_000,
        )
        self.engine.start(request, listener)
        return listener

    def _order(self, order_id, fence=1, action="load", name="n", size=500):
        codes = []
        order = backend_server.EngineOrder(
            order_id, fence, action, name, "model", "1", "", size
        )
        self.engine.order(order, codes.append)
        self.clock.advance(10)
        return codes

    def _states(self):
        residents = self.core.orders.residents.values()
        return {(model.name, model.state) for model in residents}

    def test_load_is_charged_while_it_runs(self) -> None:
        """Guard against charging a load only at its end.

        Memory above the capacity would then go unnoticed.
        """
        self._build()
        self.assertEqual([Code.OK], self._order("o1", size=9_500))
        self.assertIn(("n", "loading"), self._states())
        self.assertEqual(1, self.core.memory.over_capacity_count)
        self.clock.advance(100)
        self.assertIn(("n", "ready"), self._states())
        self._order("o2", action="unload")
        self.assertEqual(10_500, self.core.memory.used_bytes)
        self.clock.advance(50)
        self.assertEqual(1_000, self.core.memory.used_bytes)

    def test_running_requests_hold_memory(self) -> None:
        """Guard against KV cache memory that is not charged.

        Memory above the capacity would then go unnoticed.
        """
        self._build()
        listener = self._start("r1")
        self.clock.advance(20)
        self.assertEqual(1_000 + 26 * 10, self.core.memory.used_bytes)
        self.clock.advance(1_000)
        self.assertEqual(16, listener.end[3])
        self.assertEqual(1_000, self.core.memory.used_bytes)

    def test_fences_are_checked_or_ignored(self) -> None:
        """Guard against a fence check that does not follow its option.

        Some engines check fencing tokens and others do not.
        """
        self._build()
        self._order("o1", fence=5)
        stale = self._order("o2", fence=4, action="unload", name="m")
        self.assertEqual([Code.ORDER_STALE_FENCE], stale)
        self._build(is_fence_checked=False)
        self._order("o1", fence=5)
        self.assertEqual([Code.OK], self._order("o2", fence=4))
        self.assertEqual(0, self.core.orders.fence)

    def test_delayed_order_takes_effect_after_timeout(self) -> None:
        """Guard against a delayed order that is dropped at the timeout."""
        self._build()
        self.engine.order_delay_ms = 3_000
        self.assertEqual([], self._order("o1"))
        self.clock.advance(2_500)
        self.assertNotIn(("n", "loading"), self._states())
        self.clock.advance(1_000)
        self.assertIn(("n", "ready"), self._states())

    def test_urgent_requests_start_first(self) -> None:
        """Guard against ignored priorities, which hide a wrong header."""
        self._build(max_running=1)
        self._start("r1")
        late = self._start("r2", is_urgent=False)
        urgent = self._start("r3")
        while urgent.end is None:
            self.clock.advance(1)
        self.assertEqual(b"", late.data)

    def test_cancel_before_the_run_is_final(self) -> None:
        """Guard against running a request that was cancelled beforehand."""
        self._build()
        self.assertFalse(self.core.cancel("r1"))
        listener = self._start("r1")
        self.clock.advance(100)
        self.assertEqual(Code.CANCELLED_NOT_RUN, listener.error[0])

    def test_crash_ends_all_and_forgets_residents(self) -> None:
        """Guard against state that survives a crash.

        It would hide faults in the recovery.
        """
        self._build()
        self.core.is_crash_marker_enabled = True
        other = self._start("r1")
        self.clock.advance(20)
        self._start("r2", crash=True)
        self.clock.advance(100)
        self.assertEqual(Code.BACKEND_CRASHED, other.error[0])
        self.assertEqual({}, self.core.orders.residents)
        self.assertEqual(0, self.core.memory.used_bytes)
        refused = self._start("r3")
        self.clock.advance(10)
        self.assertEqual(Code.BACKEND_DOWN, refused.error[0])

    def test_unload_in_use_is_counted(self) -> None:
        """Guard against an unload that cuts a response uncounted."""
        self._build()
        listener = self._start("r1")
        self.clock.advance(20)
        self._order("o1", action="unload", name="m")
        self.assertEqual(Code.ANSWER_INTERRUPTED, listener.error[0])
        self.assertEqual(1, self.core.unloads_in_use)

    def test_cache_events_are_late_and_have_gaps(self) -> None:
        """Guard against cache events that are too regular.

        Consumers that rely on every event would then pass their tests.
        """
        self._build(event_lag_ms=300, event_gap_rate=0.5)
        blocks = list(range(20))
        self.core.cache.store(blocks)
        self.assertEqual([], self.core.cache.events_since(0)["events"])
        self.clock.advance(300)
        found = self.core.cache.events_since(0)
        self.assertTrue(found["has_gap"])
        self.assertLess(len(found["events"]), 20)
        self.assertEqual(20, self.core.cache.match(blocks))

    def test_cached_prefix_shortens_the_prefill(self) -> None:
        """Guard against cached prefixes that save no prefill time.

        The effect of prefix affinity could then not be measured.
        """
        self._build(prefill_tokens_per_step=64)
        times = []
        for request_id in ("r1", "r2"):
            started = self.clock.now_ms()
            prompt = "q" * 2_048
            listener = self._start(request_id, prompt=prompt, max_tokens=1)
            while listener.end is None:
                self.clock.advance(1)
            times.append(self.clock.now_ms() - started)
        self.assertLess(3 * times[1], times[0])

    def test_load_report_lags(self) -> None:
        """Guard against load reports that are always current.

        They would hide faults in the load estimation.
        """
        self._build(load_lag_ms=200)
        self.core.load()
        self.clock.advance(500)
        self._start("r1", max_tokens=100)
        self.clock.advance(100)
        self.assertEqual(0, self.core.load()["running"])
        self.clock.advance(200)
        self.assertEqual(1, self.core.load()["running"])

    def test_response_depends_on_target_and_prompt_only(self) -> None:
        """Guard against responses that do not identify their request."""
        body = {"prompt": "a", "max_tokens": 40, "ignore_eos": True}
        response = tokens.response_text("m", body)
        self.assertEqual(response, tokens.response_text("m", dict(body)))
        self.assertNotEqual(response, tokens.response_text("n", body))
        other = tokens.response_text("m", {**body, "prompt": "b"})
        self.assertNotEqual(response, other)
