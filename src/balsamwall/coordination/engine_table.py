"""Engines that the coordinator gives orders to, during one of its terms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import engine_tracker

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from balsamwall.coordination import order_runner
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import gateway_configuration
    from balsamwall.timing import clock as clock_module


class EngineTable:
    """Track the engines of the directory while this process coordinates.

    `on_removed` is called with the identifier of an engine that has left.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_directory",
        "_is_tracking",
        "_on_removed",
        "_runner",
        "_trackers",
        "added_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        configuration: configuration_holder.ConfigurationHolder,
        directory: backend_directory.BackendDirectory,
        runner: order_runner.OrderRunner,
        on_removed: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._directory = directory
        self._runner = runner
        self._on_removed = on_removed
        self._trackers: dict[str, engine_tracker.EngineTracker] = {}
        self._is_tracking = False
        self.added_ms = 0  # when the last engine was added
        directory.add_listener(self._on_server, self._on_server_removed)

    def start(self) -> None:
        """Track all engines, from fresh reports."""
        self._is_tracking = True
        for server in self._directory.all_servers():
            self._on_server(server)

    def stop(self) -> None:
        """Stop tracking, so that the next term begins with fresh reports."""
        self._is_tracking = False
        for tracker in self._trackers.values():
            self._runner.stop_tracking(tracker)
        self._trackers.clear()

    def get(self, server_id: str) -> engine_tracker.EngineTracker | None:
        """Return the tracker of an engine."""
        return self._trackers.get(server_id)

    def all(self) -> Collection[engine_tracker.EngineTracker]:
        """Return the trackers of all engines."""
        return self._trackers.values()

    def ready(self, service: str) -> list[engine_tracker.EngineTracker]:
        """Return the trackers of the engines of a service that are ready."""
        return [
            self._trackers[server.server_id]
            for server in self._directory.ready_servers(service)
            if server.server_id in self._trackers
        ]

    def services(self) -> list[tuple[str, gateway_configuration.EngineSpec]]:
        """Return the services that run engines, with their engine specs."""
        current = self._configuration.current
        if current is None:
            return []
        return [
            (spec.name, spec.engine)
            for spec in current.services.values()
            if spec.engine is not None
        ]

    def on_adapter_used(
        self, server_id: str, model: str, adapter: str
    ) -> None:
        """Record that requests for an adapter run at an engine."""
        tracker = self._trackers.get(server_id)
        if tracker is not None and adapter:
            now_ms = self._clock.now_ms()
            tracker.adapter_used_ms[model, adapter] = now_ms

    def refresh_holders(self, service: str, model: str, adapter: str) -> None:
        """Refresh the idle engines that are believed to hold a model.

        An entry does not see the model there, so the known state is stale.
        """
        for tracker in self.ready(service):
            if tracker.is_idle and tracker.holds(model, adapter):
                self._runner.refresh(tracker)

    def _engine_spec(
        self, service: str
    ) -> gateway_configuration.EngineSpec | None:
        current = self._configuration.current
        spec = current.services.get(service) if current else None
        return spec.engine if spec is not None else None

    def _on_server(self, server: backend_directory.BackendServer) -> None:
        if not self._is_tracking:
            return
        record = server.record
        engine = self._engine_spec(record.service)
        if engine is None:
            return
        known = self._trackers.get(record.server_id)
        if known is not None:
            known.update_record(record, engine)
            return
        tracker = engine_tracker.EngineTracker(record, engine)
        self._trackers[record.server_id] = tracker
        self.added_ms = self._clock.now_ms()
        self._runner.set_load_rate(engine.loads_per_s)
        self._runner.refresh(tracker)

    def _on_server_removed(
        self, server: backend_directory.BackendServer
    ) -> None:
        tracker = self._trackers.pop(server.server_id, None)
        if tracker is not None:
            self._runner.stop_tracking(tracker)
            self._on_removed(server.server_id)
