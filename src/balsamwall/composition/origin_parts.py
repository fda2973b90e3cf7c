"""Parts that share the origins of streams, and their wiring."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import origin_exchange
from balsamwall.coordination import origin_log

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.coordination import messages_fleet
    from balsamwall.gateway import gateway_metrics
    from balsamwall.gateway import software_versions
    from balsamwall.gateway import stream_origins
    from balsamwall.infrastructure import key_value_service
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module


class OriginParts:
    """Exchange with the coordinator, merger within it, and the store."""

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        store: key_value_service.KeyValueService,
        vm: str,
        versions: software_versions.SoftwareVersions,
        origins: stream_origins.StreamOrigins,
        count_entries: Callable[[], int],
        send: Callable[[str, messages_fleet.StreamOriginReport], None],
        is_coordinator: Callable[[], bool],
        log: decision_log.DecisionLog,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._is_coordinator = is_coordinator
        metrics.watch_origins(lambda: origins.count)
        writer = origin_log.OriginLog(
            clock, random_source, store, origins, vm, log, metrics
        )
        self._reader = origin_log.OriginReader(
            store, origins, writer, self._on_stored, log
        )
        self.exchange = origin_exchange.OriginExchange(
            clock, random_source, origins, writer, count_entries, log
        )
        self.merger = origin_exchange.OriginMerger(
            clock, versions, origins, writer, count_entries, send, log
        )

    def start(self) -> None:
        """Follow what other processes write to the store."""
        self._reader.start()

    def _on_stored(self, rows: stream_origins.Rows) -> None:
        """Tell the entries what is left out of the relay."""
        if self._is_coordinator():
            self.merger.collect(rows)
