"""Report of CPU cost and the bounds on its growth."""

from __future__ import annotations

import dataclasses
import itertools
import random

from balsamwall.configuration import configuration_replica
from balsamwall.timing import virtual_clock
from bench import attainment
from bench import costs
from bench import workload

ROUTING_GROWTH = 2.0
CONFIGURATION_CHANGES = 30


class _NullOutbox:
    """Outbox that discards all messages, for a replica without peers."""

    def send(self, peer: str, item: object) -> None:
        """Discard a message."""


def measure_configuration(deployment: workload.Deployment) -> float:
    """Return the time to accept a new configuration revision, in us."""
    replica = configuration_replica.ConfigurationReplica(
        virtual_clock.VirtualClock(), _NullOutbox(), random.Random(1)
    )
    first = workload.build_configuration(deployment)
    revisions = itertools.count(1)
    items = iter(
        [
            dataclasses.replace(first, revision=next(revisions))
            for _ in range(CONFIGURATION_CHANGES + 1)
        ]
    )
    replica.offer(next(items))
    return costs.minimum_us(
        lambda: _require_accepted(replica.offer(next(items))),
        1,
        CONFIGURATION_CHANGES,
    )


def _require_accepted(is_accepted: bool) -> None:
    if not is_accepted:
        raise RuntimeError("configuration replica rejected a newer revision")


def measure() -> list[costs.Cost]:
    """Return all CPU and control traffic costs."""
    rows = [
        costs.Cost(f"routing-decision-{count}-replicas", value, "us")
        for count, value in costs.measure_routing().items()
    ]
    for models, workers, copies in ((30, 9, 2), (1_200, 12_000, 100)):
        value = costs.measure_planner(models, workers, copies)
        rows.append(
            costs.Cost(
                f"planner-round-{models}-models-{workers}-workers", value, "ms"
            )
        )
    token_us, request_us = costs.measure_relay()
    rows.append(costs.Cost("relayed-token", token_us, "us"))
    rows.append(costs.Cost("relayed-request", request_us, "us"))
    for deployment in workload.DEPLOYMENTS.values():
        rows.append(
            costs.Cost(
                f"configuration-change-{deployment.name}",
                measure_configuration(deployment),
                "us",
            )
        )
    for name, entries in (("today", 4), ("subset-64", 64)):
        messages, size = costs.control_traffic(entries)
        rows.append(
            costs.Cost(f"control-messages-{name}", messages, "messages/s")
        )
        rows.append(costs.Cost(f"control-bytes-{name}", size, "bytes/s"))
    return rows


def check_bounds() -> list[attainment.Bound]:
    """Return the bounds on growth, without the times, which vary by run."""
    times = costs.measure_routing()
    ratio = max(times.values()) / min(times.values())
    return [
        attainment.Bound(
            "routing-cost-growth",
            ratio <= ROUTING_GROWTH,
            f"limit={ROUTING_GROWTH}",
        )
    ]
