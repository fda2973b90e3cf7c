"""State of the fleet for the administration API of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.configuration import administration_types
from balsamwall.configuration import rollout_progress
from balsamwall.protocol import messages_session
from balsamwall.routing import route_query

if TYPE_CHECKING:
    from balsamwall.composition import entry_unit
    from balsamwall.composition import vm_feed
    from balsamwall.protocol import message
    from balsamwall.protocol import messages_state
    from balsamwall.timing import clock as clock_module

# Time to the first token that `candidates` assumes in its sample query.
_DISTANT_DEADLINE_MS = 3_600_000


class UnitFleetState:
    """FleetState that reads from the tenant units of an entry."""

    __slots__ = ("_clock", "_feed", "_revisions", "_units")

    def __init__(
        self,
        clock: clock_module.Clock,
        feed: vm_feed.VmFeed,
        units: dict[str, entry_unit.EntryUnit],
    ) -> None:
        self._clock = clock
        self._feed = feed
        self._units = units
        self._revisions: dict[tuple[str, str], int] = {}

    def on_message(self, peer: str, item: message.Message) -> None:
        """Record the active configuration revisions that a peer announces."""
        if isinstance(item, messages_session.Ping):
            for tenant, revision in item.config_revisions.items():
                self._revisions[peer, tenant] = revision

    def vms(self, tenant: str) -> list[administration_types.VmStatus]:
        """Return the agents of a tenant by name; empty if it is unknown."""
        unit = self._units.get(tenant)
        if unit is None:
            return []
        names = {record.vm: record for record in self._feed.agents(tenant)}
        return [
            self._status(unit, vm, record.availability_zone)
            for vm, record in sorted(names.items())
        ]

    def candidates(
        self, tenant: str, name: str, is_urgent: bool
    ) -> list[administration_types.RouteCandidate]:
        """Return the replicas of a name, in order of preference.

        The order is that of a sample request with 256 prompt tokens and 256
        output tokens. The list is empty if the tenant is unknown.
        """
        unit = self._units.get(tenant)
        if unit is None:
            return []
        kind = "model"
        configuration = unit.configuration
        if configuration is not None and name in configuration.services:
            kind = "service"
        query = route_query.RouteQuery(
            kind=kind,
            target=name,
            is_urgent=is_urgent,
            prompt_tokens=256,
            max_output_tokens=256,
            first_token_deadline_ms=self._clock.now_ms()
            + _DISTANT_DEADLINE_MS,
        )
        rows = [
            administration_types.RouteCandidate(
                view.peer,
                view.zone,
                view.predicted_ms,
                not view.is_ejected,
                "ejected after failures"
                if view.is_ejected
                else f"report is {view.report_age_ms} ms old",
            )
            for view in unit.router.explain(query)
        ]
        return sorted(
            rows,
            key=lambda candidate: (
                not candidate.is_eligible,
                candidate.predicted_first_token_ms,
                candidate.vm,
            ),
        )

    def quarantined(
        self, tenant: str
    ) -> list[administration_types.QuarantineEntry]:
        """Return the quarantined fingerprints of a tenant."""
        unit = self._units.get(tenant)
        if unit is None:
            return []
        return [
            administration_types.QuarantineEntry(
                judgement.fingerprint,
                judgement.reason,
                judgement.until_ms - self._clock.now_ms(),
            )
            for judgement in unit.crash.active_judgements()
            if judgement.action == "quarantine"
        ]

    def clear_quarantine(self, tenant: str, fingerprint: bytes) -> bool:
        """Clear a quarantine on all peers; return False if it is unknown."""
        unit = self._units.get(tenant)
        return unit is not None and unit.clear_quarantine(fingerprint)

    def mark_leaving(self, tenant: str, vm: str) -> bool:
        """Mark a VM as leaving; return False if its agent is unreachable."""
        unit = self._units.get(tenant)
        return unit is not None and unit.mark_leaving(vm, "operator")

    def _status(
        self, unit: entry_unit.EntryUnit, vm: str, zone: str
    ) -> administration_types.VmStatus:
        report = unit.reports.get(vm)
        replica = unit.router.view.get(vm)
        state = "down" if report is None else report.state
        if report is not None and replica is not None and replica.is_leaving:
            state = "leaving"
        return administration_types.VmStatus(
            vm=vm,
            availability_zone=zone,
            role="agent",
            state=state,
            incarnation=replica.incarnation if replica is not None else 0,
            config_revision=self._revisions.get((vm, unit.tenant), 0),
            running=report.running if report is not None else 0,
            waiting=_waiting(report),
            committed_bytes=report.committed_bytes if report else 0,
            capacity_bytes=report.capacity_bytes if report else 0,
            residents=_residents(unit.residents.get(vm)),
        )


def _waiting(report: messages_state.AgentReport | None) -> int:
    if report is None:
        return 0
    return report.waiting_urgent + report.waiting_deferrable


def _residents(
    residents: messages_state.Residents | None,
) -> rollout_progress.ResidentSet:
    if residents is None:
        return rollout_progress.ResidentSet()
    return rollout_progress.ResidentSet(
        frozenset(residents.models),
        frozenset(residents.adapters),
        frozenset(residents.loading),
        frozenset(residents.services),
        frozenset(residents.versions),
    )
