"""Wiring of the quotas of workspaces at one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import entry_count_record
from balsamwall.coordination import quota_issuer
from balsamwall.coordination import quota_standby
from balsamwall.coordination import standby_link
from balsamwall.gateway import workspace_quotas
from balsamwall.limits import fleet_size as fleet_size_module

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.coordination import fleet_dialer
    from balsamwall.gateway import configuration_holder
    from balsamwall.gateway import gateway_settings
    from balsamwall.gateway import workspace_metrics
    from balsamwall.infrastructure import key_value_service
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Key of the number of entries, for entries that restart without a coordinator.
ENTRY_COUNT_KEY = "balsamwall/entries"


class QuotaParts:
    """Quotas of one entry, which may be coordinator or standby."""

    __slots__ = (
        "entry_count",
        "fleet_size",
        "issuer",
        "quotas",
        "standby",
        "standby_link",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        configuration: configuration_holder.ConfigurationHolder,
        store: key_value_service.KeyValueService,
        settings: gateway_settings.GatewaySettings,
        dialer: fleet_dialer.FleetDialer,
        assumed_entries: int,
        is_coordinating: Callable[[], bool],
        log: decision_log.DecisionLog,
        metrics: workspace_metrics.WorkspaceMetrics,
    ) -> None:
        tolerance = settings.quota_tolerance
        self.fleet_size = fleet_size_module.FleetSize(
            clock, assumed_entries, quota_issuer.FLEET_MEMORY_MS
        )
        self.entry_count = entry_count_record.EntryCountRecord(
            clock, store, ENTRY_COUNT_KEY, self.fleet_size, log
        )
        self.quotas = workspace_quotas.WorkspaceQuotas(
            clock,
            random_source,
            configuration,
            self.fleet_size,
            log,
            metrics,
            tolerance,
        )
        self.issuer = quota_issuer.QuotaIssuer(
            clock, configuration, self.fleet_size, metrics, tolerance
        )
        self.standby = quota_standby.QuotaStandby(
            clock,
            settings.vm,
            self.issuer,
            tolerance.window_ms,
            is_coordinating,
        )
        self.standby_link = standby_link.StandbyLink(
            clock,
            settings.vm,
            self.quotas,
            self.standby,
            dialer.connect,
            log,
        )
