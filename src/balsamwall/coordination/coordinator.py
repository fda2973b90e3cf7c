"""Coordinator of engine orders, elected among the entries by a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import crash_control
from balsamwall.coordination import demand as demand_module
from balsamwall.coordination import engine_speed
from balsamwall.coordination import engine_table
from balsamwall.coordination import engine_tracker
from balsamwall.coordination import entry_features
from balsamwall.coordination import entry_reports
from balsamwall.coordination import fleet_broadcast
from balsamwall.coordination import limit_rows
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import order_runner
from balsamwall.coordination import prefetch_planner
from balsamwall.coordination import prompt_scheduler
from balsamwall.coordination import query_responder
from balsamwall.coordination import residency_log
from balsamwall.coordination import residency_planner
from balsamwall.coordination import standby_choice
from balsamwall.gateway import residency_waits

if TYPE_CHECKING:
    from balsamwall.coordination import engine_control
    from balsamwall.coordination import fleet_links
    from balsamwall.coordination import order_authority
    from balsamwall.coordination import origin_exchange
    from balsamwall.coordination import permit_issuer
    from balsamwall.coordination import quota_issuer
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import gateway_configuration
    from balsamwall.gateway import server_limits
    from balsamwall.limits import fleet_size as fleet_size_module
    from balsamwall.logs import decision_log
    from balsamwall.protocol import message
    from balsamwall.timing import clock as clock_module

# Interval of the lease check and of planning.
TICK_INTERVAL_MS = 100
# Requests for absent models that arrive within this time share one plan.
PLAN_BATCH_DELAY_MS = 40
# Interval of the summary of residents and demand in the decision log.
SUMMARY_INTERVAL_MS = 1_000
# No model is prefetched for this time after an engine was added, as not all
# engines may be known yet.
ENGINE_DISCOVERY_MS = 1_000


class Coordinator:
    """Plan model loads from demand and residents while orders may be sent.

    A term is the time during which this process is the active coordinator.
    """

    __slots__ = (
        "_authority",
        "_broadcast",
        "_clock",
        "_configuration",
        "_crashes",
        "_demand",
        "_directory",
        "_engines",
        "_features",
        "_fleet_size",
        "_limits",
        "_links",
        "_log",
        "_permits",
        "_plan_timer",
        "_planner",
        "_prefetch",
        "_quotas",
        "_reports",
        "_responder",
        "_runner",
        "_scheduler",
        "_standby",
        "_last_summary_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        directory: backend_directory.BackendDirectory,
        authority: order_authority.OrderAuthority,
        control: engine_control.EngineControl,
        links: fleet_links.FleetLinks,
        log: decision_log.DecisionLog,
        limits: server_limits.ServerLimits,
        permits: permit_issuer.PermitIssuer,
        quotas: quota_issuer.QuotaIssuer,
        fleet_size: fleet_size_module.FleetSize,
        origins: origin_exchange.OriginMerger,
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._directory = directory
        self._authority = authority
        self._links = links
        self._log = log
        self._limits = limits
        self._permits = permits
        self._quotas = quotas
        self._fleet_size = fleet_size
        self._crashes = crash_control.CrashControl(clock, links, log)
        self._demand = demand_module.Demand(clock)
        self._planner = residency_planner.ResidencyPlanner(self._demand)
        self._scheduler = prompt_scheduler.PromptScheduler(
            clock, directory.speeds
        )
        self._prefetch = prefetch_planner.PrefetchPlanner(self._demand)
        self._runner = order_runner.OrderRunner(clock, control, self, log)
        self._engines = engine_table.EngineTable(
            clock,
            configuration,
            directory,
            self._runner,
            self._scheduler.forget,
        )
        self._responder = query_responder.QueryResponder(
            configuration,
            self._demand,
            self._engines,
            permits,
            quotas,
            self._scheduler,
        )
        self._features = entry_features.FeatureTable(clock)
        self._standby = standby_choice.StandbyChoice(
            configuration, self._features, quotas, links.send
        )
        self._reports = entry_reports.EntryReports(
            clock, configuration, directory, self._features, origins, log
        )
        self._broadcast = fleet_broadcast.FleetBroadcast(
            clock,
            configuration,
            links,
            self._demand,
            self._engines,
            self._reports,
            limits,
            self._standby,
            self._crashes,
        )
        self._plan_timer: clock_module.Timer | None = None
        self._last_summary_ms = 0

    @property
    def fencing_token(self) -> int:
        """Return the fencing token for orders, 0 if none may be sent."""
        return self._authority.fencing_token

    @property
    def send_by_ms(self) -> int | None:
        """Return until when an order may be sent, None without a bound."""
        return self._authority.send_by_ms

    @property
    def is_active(self) -> bool:
        """Return whether this process is the active coordinator.

        After a pause of the process, messages are read before the next tick
        checks the lease, which may have expired in the meantime.
        """
        return self._authority.is_in_term and self._authority.may_coordinate

    def start(self) -> None:
        """Check the lease and plan every TICK_INTERVAL_MS."""
        self._clock.call_later(TICK_INTERVAL_MS, self.start)
        if self._authority.update():
            self._on_term_changed()
        if self._authority.is_in_term:
            self._tick()

    def on_message(self, vm: str, item: message.Message) -> None:
        """Handle a message from an entry; ignore it while inactive."""
        if not self.is_active:
            return
        self._quotas.on_heard(vm)
        response = self._responder.respond(item)
        if response is not None:
            self._links.send(vm, response)
        elif isinstance(item, messages_fleet.DemandReport):
            self._demand.on_report(vm, item)
            for server_id, model, adapter, _ in item.running:
                self._engines.on_adapter_used(server_id, model, adapter)
        elif isinstance(item, messages_fleet.BoundDemand):
            self._demand.on_bound_report(vm, item)
            self._schedule_plan()
        elif isinstance(item, messages_fleet.EntryFeatures):
            self._features.on_features(vm, item)
            self._standby.on_features(vm)
        elif isinstance(item, messages_fleet.LimitReport):
            limit_rows.apply(
                item, self._clock.now_ms(), self._limits, self._log
            )
        elif self._crashes.on_message(item):
            return
        elif self._reports.on_message(vm, item):
            return
        elif isinstance(item, messages_fleet.LoadWanted):
            self._engines.refresh_holders(
                item.service, item.model, item.adapter
            )
            wanted = residency_waits.WantedModel(
                item.service, item.model, item.adapter
            )
            self._demand.record_wanted(wanted)
            self._schedule_plan()

    def on_entry_connected(self, vm: str) -> list[message.Message]:
        """Return what a new entry needs to know of servers and requests.

        These are the resident models of all known engines, and the content
        that is held back. The list is empty while this process is not the
        active coordinator.
        """
        if not self.is_active:
            return []
        self._features.on_connected(vm)
        self._reports.origins.remove_entry(vm)
        return [
            self._server_models(tracker)
            for tracker in self._engines.all()
            if tracker.state is not engine_tracker.EngineState.UNKNOWN
        ] + self._crashes.notices()

    def on_entry_disconnected(self, vm: str) -> None:
        """Discard the demand reported by a disconnected entry."""
        self._demand.remove_entry(vm)
        self._features.remove_entry(vm)
        self._reports.remove_entry(vm)

    def on_residents_changed(
        self, tracker: engine_tracker.EngineTracker
    ) -> None:
        """Broadcast the resident models of an engine to the entries."""
        known = self._engines.get(tracker.record.server_id)
        if known is not tracker:
            return
        now_ms = self._clock.now_ms()
        for model in tracker.models:
            tracker.resident_since_ms.setdefault(model, now_ms)
        for model in list(tracker.resident_since_ms):
            if model not in tracker.models:
                del tracker.resident_since_ms[model]
        self._links.broadcast(self._server_models(tracker))

    def _server_models(
        self, tracker: engine_tracker.EngineTracker
    ) -> messages_fleet.ServerModels:
        models = tracker.usable_models()
        waiting: dict[str, int] = {}
        for wanted, count in self._demand.waiting().items():
            if wanted.model in models:
                waiting[wanted.model] = waiting.get(wanted.model, 0) + count
        return messages_fleet.ServerModels(
            tracker.record.server_id,
            tracker.record.started_ms,
            models,
            waiting,
        )

    def on_fenced(self) -> None:
        """Stop sending orders: an engine has seen a newer fencing token."""
        self._authority.on_fenced()

    # Term

    def _on_term_changed(self) -> None:
        if self._authority.is_in_term:
            self._start_term()
        else:
            self._quotas.stop()
            self._engines.stop()
            self._links.close_all()

    def _start_term(self) -> None:
        self._demand.restart()
        self._permits.restart()
        self._reports.restart()
        self._quotas.restart()
        self._standby.restart()
        self._crashes.restart()
        self._engines.start()

    # Planning

    def _schedule_plan(self) -> None:
        """Schedule a plan for the models that were just requested.

        Requests that arrive within PLAN_BATCH_DELAY_MS are planned together,
        so that an idle engine goes to the model with the greatest gain.
        """
        if self._plan_timer is None:
            self._plan_timer = self._clock.call_later(
                PLAN_BATCH_DELAY_MS, self._on_plan_due
            )

    def _on_plan_due(self) -> None:
        self._plan_timer = None
        if self._authority.is_in_term:
            self._plan()

    def _plan(self) -> None:
        """Plan and start the changes of greatest gain on the idle engines."""
        if not self.fencing_token:
            return
        self._demand.update()
        now_ms = self._clock.now_ms()
        waiting = self._demand.waiting()
        for service, engine in self._engines.services():
            trackers = self._engines.ready(service)
            if not any(tracker.is_idle for tracker in trackers):
                continue
            waiting_requests = {
                wanted: count
                for wanted, count in waiting.items()
                if wanted.service == service and wanted.model in engine.models
            }
            for need in self._planner.needs(trackers, waiting_requests):
                self._execute(self._planner.plan(need, trackers, now_ms))
            self._start_prefetches(service, engine, trackers)

    def _update_engine_speeds(self) -> None:
        """Update the moving averages of all engines, once per tick.

        Plans also run after requests for absent models, so that averages
        updated there would depend on the traffic.
        """
        now_ms = self._clock.now_ms()
        for tracker in self._engines.all():
            engine_speed.update(
                tracker,
                self._permits.capacity(
                    tracker.record.server_id, tracker.spec.slots
                ),
                self._directory.speeds,
                self._responder.gap_target_ms(tracker.record.service),
                now_ms,
            )

    def _tick(self) -> None:
        self._fleet_size.observe(self._links.count)
        self._permits.set_connected(self._links.count)
        self._quotas.set_connected(self._links.count)
        self._update_engine_speeds()
        self._plan()
        now_ms = self._clock.now_ms()
        if now_ms - self._last_summary_ms >= SUMMARY_INTERVAL_MS:
            self._last_summary_ms = now_ms
            residency_log.write(self._log, self._engines.all(), self._demand)
        self._broadcast.tick()

    def _start_prefetches(
        self,
        service: str,
        engine: gateway_configuration.EngineSpec,
        trackers: list[engine_tracker.EngineTracker],
    ) -> None:
        """Load models without a request, unless engines may be unknown.

        Just after a start or a change of coordinator not all engines are
        known, and a model that seems absent may be resident on another one.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._engines.added_ms < ENGINE_DISCOVERY_MS:
            return
        while self._prefetch.is_due(service, engine.loads_per_s, now_ms):
            self._execute(self._prefetch.plan(trackers))

    def _execute(self, plan: residency_planner.Plan | None) -> None:
        if plan is None:
            return
        self._log.write(
            "plan",
            server=plan.tracker.record.server_id,
            cost=round(plan.cost, 2),
            gain=round(plan.gain, 2),
            orders=[
                f"{order.kind.value} {order.model} {order.adapter}".strip()
                for order in plan.orders
            ],
        )
        plan.tracker.queue.extend(plan.orders)
        self._runner.run(plan.tracker)
