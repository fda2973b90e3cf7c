"""Respond to the queries of entries at the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import held_configuration
from balsamwall.coordination import messages_fleet
from balsamwall.coordination import prompt_scheduler

if TYPE_CHECKING:
    from balsamwall.coordination import demand as demand_module
    from balsamwall.coordination import engine_table
    from balsamwall.coordination import permit_issuer
    from balsamwall.coordination import quota_issuer
    from balsamwall.gateway import configuration_holder
    from balsamwall.protocol import message


class QueryResponder:
    """Assign prompts, grant permits of servers and tokens of workspaces."""

    __slots__ = (
        "_configuration",
        "_demand",
        "_engines",
        "_permits",
        "_quotas",
        "_scheduler",
    )

    def __init__(
        self,
        configuration: configuration_holder.ConfigurationHolder,
        demand: demand_module.Demand,
        engines: engine_table.EngineTable,
        permits: permit_issuer.PermitIssuer,
        quotas: quota_issuer.QuotaIssuer,
        scheduler: prompt_scheduler.PromptScheduler,
    ) -> None:
        self._configuration = configuration
        self._demand = demand
        self._engines = engines
        self._permits = permits
        self._quotas = quotas
        self._scheduler = scheduler

    def respond(self, item: message.Message) -> message.Message | None:
        """Return the response to a query, None for another message."""
        if isinstance(item, messages_fleet.PromptQuery):
            return self._assign(item)
        if isinstance(item, messages_fleet.PermitQuery):
            wait_ms = self._permits.take(item.server_id)
            return messages_fleet.PermitDecision(item.number, wait_ms)
        if isinstance(item, messages_fleet.QuotaQuery):
            return grant(self._quotas, item)
        if isinstance(item, messages_fleet.ConfigurationQuery):
            return held_configuration.respond(self._configuration)
        return None

    def gap_target_ms(self, service: str) -> int:
        """Return the longest pause that a service may have, 0 if unknown."""
        current = self._configuration.current
        return current.gap_target_ms(service) if current else 0

    def _assign(
        self, query: messages_fleet.PromptQuery
    ) -> messages_fleet.PromptAssignment:
        """Assign a prompt to one of the engines that hold its model.

        The assignment to an engine with a limit includes a permit.
        """
        holders = [
            tracker
            for tracker in self._engines.ready(query.service)
            if tracker.holds(query.model, query.adapter)
            and tracker.loading_model != query.model
            and not self._permits.wait_ms(tracker.record.server_id)
        ]
        prompt = prompt_scheduler.Prompt(
            query.tokens,
            query.zone,
            query.cached_at,
            query.cached_tokens,
            query.model,
            self.gap_target_ms(query.service),
        )
        server_id = self._scheduler.assign(
            holders,
            self._demand.loads(),
            self._demand.pending_tokens(),
            prompt,
        )
        if server_id:
            self._permits.take(server_id)
        return messages_fleet.PromptAssignment(query.number, server_id)


def grant(
    quotas: quota_issuer.QuotaIssuer, query: messages_fleet.QuotaQuery
) -> messages_fleet.QuotaGrant:
    """Grant tokens of a workspace, or tell the wait for them."""
    decision = quotas.grant(query.workspace, query.cost, query.reserve)
    return messages_fleet.QuotaGrant(
        query.number, decision.tokens, decision.wait_ms, decision.is_scarce
    )
