"""Entry of the simulated fleet, built from the components of the daemon."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from balsamwall.dispatch import caller_request
from balsamwall.dispatch import dispatcher
from balsamwall.limits import request_limits
from balsamwall.placement import demand_forecast
from balsamwall.placement import lease_keeper
from balsamwall.placement import permit_task
from balsamwall.placement import placement_task
from balsamwall.placement import planner
from balsamwall.protocol import messages_residency
from balsamwall.protocol import messages_state
from balsamwall.routing import router
from bench import fake_engine
from bench import score
from bench import workload

if TYPE_CHECKING:
    from balsamwall.protocol import message
    from bench import product_fleet

# Delay until the holder of the placement lease learns of a request.
DEMAND_LAG_MS = 1_000
INITIAL_MEAN_OUTPUT_TOKENS = 64.0
MEAN_OUTPUT_WEIGHT = 0.02


class OutputLengthListener:
    """Listener that forwards events and records the output length."""

    __slots__ = ("_entry", "_outcome", "_target")

    def __init__(
        self, entry: Entry, outcome: score.Outcome, target: str
    ) -> None:
        self._entry = entry
        self._outcome = outcome
        self._target = target

    def on_chunk(self, data: bytes) -> None:
        """Forward a chunk."""
        self._outcome.on_chunk(data)

    def on_end(self, end: caller_request.AnswerEnd) -> None:
        """Record the output length and forward the end."""
        self._entry.record_output(self._target, end.output_tokens)
        self._outcome.on_end(end)

    def on_failure(self, failure: caller_request.AnswerFailure) -> None:
        """Forward a failure."""
        self._outcome.on_failure(failure)


class Entry:
    """Router, limits and dispatcher; the first entry runs the leased tasks."""

    def __init__(self, fleet: product_fleet.ProductFleet, index: int) -> None:
        self._fleet = fleet
        self.name = f"e{index}"
        self._clock = fleet.clock
        rng = random.Random(f"{self.name}/{fleet.work.seed}")
        deployment = fleet.work.deployment
        self._router = router.Router(
            self._clock, rng, deployment.zone_of(index)
        )
        limits = request_limits.RequestLimits(self._clock)
        limits.apply(fleet.configuration)
        self._dispatcher = dispatcher.Dispatcher(
            self._clock,
            self,
            self._router,
            limits,
            rng,
            on_no_replica=lambda name, is_urgent: fleet.on_no_replica(
                self.name, name, is_urgent
            ),
        )
        self._mean_output_tokens: dict[str, float] = {}
        self._demand = demand_forecast.DemandForecast()
        lease = lease_keeper.LeaseKeeper(
            self._clock,
            fleet.lease_store,
            "placement",
            self.name,
            lambda: index == 0,
        )
        self._lease = lease
        self._placement = placement_task.PlacementTask(
            self._clock,
            self,
            lease,
            planner.Planner(),
            fleet.view,
            self._demand,
        )
        self._permits = permit_task.PermitTask(
            self._clock,
            self,
            lease,
            deployment.loads_per_s,
            deployment.concurrent_loads,
            lambda share: fleet.share_targets()[share] == self.name,
        )
        fleet.network.attach(self.name, self.on_message)

    def start(self) -> None:
        """Start the lease keeper and the leased tasks."""
        self._lease.start()
        self._placement.start()
        self._permits.start()

    def send(self, peer: str, item: message.Message) -> None:
        """Send a message to a peer."""
        self._fleet.network.send(self.name, peer, item)

    def on_message(self, peer: str, item: message.Message) -> None:
        """Dispatch a message to the component that handles it."""
        if isinstance(
            item, (messages_state.AgentReport, messages_state.Residents)
        ):
            self._router.on_message(peer, item)
            if isinstance(item, messages_state.Residents):
                self._fleet.on_residents(peer, item)
        elif isinstance(
            item,
            (
                messages_residency.PermitRequest,
                messages_residency.PermitInUse,
                messages_residency.PermitReturned,
            ),
        ):
            self._permits.on_message(peer, item)
        elif not isinstance(item, messages_state.Verdict):
            self._dispatcher.on_message(peer, item)

    def peer_up(self, vm: str, incarnation: int, zone: str) -> None:
        """Report a new connection to the router and dispatcher."""
        self._router.on_peer_up(vm, incarnation, zone)
        self._dispatcher.on_peer_up(vm, incarnation)

    def peer_down(self, vm: str) -> None:
        """Report a lost connection to the router and dispatcher."""
        self._router.on_peer_down(vm)
        self._dispatcher.on_peer_down(vm)

    def demand_of(self, name: str) -> float:
        """Return the request rate by which evictions are ranked."""
        return self._demand.rate(name, self._clock.now_ms())

    def record_output(self, target: str, output_tokens: int) -> None:
        """Update the moving average of the output length of a target."""
        mean = self._mean_output_tokens.get(target, INITIAL_MEAN_OUTPUT_TOKENS)
        mean += MEAN_OUTPUT_WEIGHT * (output_tokens - mean)
        self._mean_output_tokens[target] = mean

    def observe(self, request: workload.Request, work_ms: float) -> None:
        """Add a request to the demand forecast."""
        self._demand.observe(
            request.target,
            request.is_urgent,
            1,
            work_ms,
            self._clock.now_ms(),
        )

    def submit(
        self, request: workload.Request, outcome: score.Outcome
    ) -> None:
        """Submit a request and report it to the lease holder."""
        now_ms = self._clock.now_ms()
        mean = self._mean_output_tokens.get(
            request.target, INITIAL_MEAN_OUTPUT_TOKENS
        )
        self._clock.call_later(
            DEMAND_LAG_MS,
            self._fleet.entries[0].observe,
            request,
            fake_engine.work_ms(request.prompt_tokens, mean),
        )
        allowed_ms = workload.DEFERRABLE_DEADLINE_MS
        first_ms = allowed_ms
        if request.is_urgent:
            allowed_ms = workload.URGENT_DEADLINE_MS
            first_ms = workload.FIRST_TOKEN_MS
        self._dispatcher.submit(
            caller_request.CallerRequest(
                request_id=request.request_id,
                tenant=self._fleet.configuration.tenant,
                workspace="work",
                kind="model",
                target=request.target,
                base=request.base,
                path="/v1/completions",
                headers={},
                body=str(request.output_tokens).encode(),
                is_urgent=request.is_urgent,
                is_repeatable=True,
                is_streamed=True,
                deadline_ms=now_ms + allowed_ms,
                first_token_deadline_ms=now_ms + first_ms,
                prompt_tokens=request.prompt_tokens,
                max_output_tokens=workload.MAX_OUTPUT_TOKENS,
                idempotency_key="",
                fingerprint=request.request_id.encode(),
            ),
            OutputLengthListener(self, outcome, request.target),
        )
