"""Synthetic deployments and traces of requests, bursts and faults."""

from __future__ import annotations

import dataclasses
import math
import random

from balsamwall.configuration import tenant_configuration

GIB = 1024**3
TRACE_MS = 240_000
FIRST_TOKEN_MS = 510
TOKEN_GAP_MS = 69
URGENT_DEADLINE_MS = 20_000
DEFERRABLE_DEADLINE_MS = 180_000
MAX_OUTPUT_TOKENS = 256
URGENT_SHARE = 0.7
BURST_FACTOR = 10.0
CAPACITY_BYTES = 80 * GIB
KV_FLOOR_BYTES = 16 * GIB
KV_BYTES_PER_TOKEN = 2 * 1024**2
TRACES = ("calm", "burst", "fault")


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Size of one tenant's fleet."""

    name: str
    zones: int
    workers: int
    models: int
    adapters: int
    loads_per_s: float
    concurrent_loads: int
    requests_per_s: float
    move_weight: float
    attainment_weight: float

    def zone_of(self, index: int) -> str:
        """Return the availability zone of a worker or entry."""
        return f"z{index % self.zones}"


DEPLOYMENTS = {
    item.name: item
    for item in (
        Deployment("kovacevic", 3, 9, 30, 100, 3.0, 6, 25.0, 2.0, 1.0),
        Deployment("tampere", 4, 6, 15, 75, 2.0, 8, 16.0, 1.0, 2.0),
    )
}


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """Request of a trace; only the engine may use output_tokens."""

    request_id: str
    arrival_ms: int
    target: str
    base: str
    is_urgent: bool
    prompt_tokens: int
    output_tokens: int
    entry: int

    @property
    def deadline_ms(self) -> int:
        """Return the deadline of the whole response, in trace time."""
        allowed = DEFERRABLE_DEADLINE_MS
        if self.is_urgent:
            allowed = URGENT_DEADLINE_MS
        return self.arrival_ms + allowed


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Fault over a period of the trace."""

    start_ms: int
    kind: str  # "lost", "crash" or "slow_store"
    workers: tuple[int, ...]
    duration_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Burst:
    """Period in which the demand for names is BURST_FACTOR times higher."""

    names: tuple[str, ...]
    start_ms: int
    end_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """Configuration, requests, bursts and faults of one run."""

    deployment: Deployment
    trace: str
    seed: int
    configuration: tenant_configuration.TenantConfiguration
    requests: tuple[Request, ...]
    faults: tuple[Fault, ...]
    bursts: tuple[Burst, ...]


def build(deployment: Deployment, trace: str, seed: int) -> Workload:
    """Build a workload, deterministic for its arguments."""
    rng = random.Random(f"{deployment.name}/{trace}/{seed}")
    configuration = build_configuration(deployment)
    rates = _rates(deployment, configuration, rng)
    bursts: tuple[Burst, ...] = ()
    if trace != "calm":
        bursts = _bursts(rates, rng)
    requests = _requests(deployment, configuration, rates, bursts, rng)
    faults = _faults(deployment, rng) if trace == "fault" else ()
    return Workload(
        deployment, trace, seed, configuration, requests, faults, bursts
    )


def build_configuration(
    deployment: Deployment,
) -> tenant_configuration.TenantConfiguration:
    """Build the configuration of a deployment, the same on each call."""
    rng = random.Random(deployment.name)
    models = {}
    for index in range(deployment.models):
        name = f"m{index:02}"
        size = int(rng.uniform(8, 20) * GIB)
        models[name] = tenant_configuration.ModelSpec(
            name, "1", size, KV_BYTES_PER_TOKEN, 4_096
        )
    adapters = {}
    for index in range(deployment.adapters):
        name = f"a{index:03}"
        base = rng.choice(sorted(models))
        adapters[name] = tenant_configuration.AdapterSpec(
            name, base, "1", GIB // 8
        )
    workspace = tenant_configuration.WorkspaceSpec(
        "work",
        (),
        tuple(models),
        tuple(adapters),
        (),
        True,
        URGENT_DEADLINE_MS,
        DEFERRABLE_DEADLINE_MS,
        FIRST_TOKEN_MS,
        1_000.0,
        1_000,
        2_000,
        MAX_OUTPUT_TOKENS,
        deployment.move_weight,
        deployment.attainment_weight,
        600_000,
        True,
    )
    return tenant_configuration.TenantConfiguration(
        deployment.name, 1, "bench", models, adapters, {}, {"work": workspace}
    )


def _rates(
    deployment: Deployment,
    configuration: tenant_configuration.TenantConfiguration,
    rng: random.Random,
) -> dict[str, float]:
    """Return requests per second by name, with a Zipf-like skew."""
    rates: dict[str, float] = {}
    for names, share in (
        (list(configuration.models), 0.6),
        (list(configuration.adapters), 0.4),
    ):
        rng.shuffle(names)
        weights = [1 / (rank + 2) ** 0.8 for rank in range(len(names))]
        total = sum(weights)
        for name, weight in zip(names, weights, strict=True):
            rates[name] = deployment.requests_per_s * share * weight / total
    return rates


def _bursts(rates: dict[str, float], rng: random.Random) -> tuple[Burst, ...]:
    ranked = sorted(rates, key=lambda name: (-rates[name], name))
    middle = ranked[2 : len(ranked) // 5]
    bursts = []
    for index in range(4):
        start_ms = 20_000 + index * 50_000 + rng.randrange(10_000)
        end_ms = start_ms + rng.randrange(50_000, 80_000)
        # Every second burst is correlated: it covers three names.
        names = rng.sample(middle, 3 if index % 2 else 1)
        bursts.append(Burst(tuple(names), start_ms, end_ms))
    return tuple(bursts)


def _faults(deployment: Deployment, rng: random.Random) -> tuple[Fault, ...]:
    workers = deployment.workers
    zone = deployment.zone_of(rng.randrange(deployment.zones))
    in_zone = tuple(
        index for index in range(workers) if deployment.zone_of(index) == zone
    )
    lost = (rng.randrange(workers),)
    crashed = (rng.randrange(workers),)
    return (
        Fault(50_000, "lost", lost, 40_000),
        Fault(60_000, "slow_store", (), 60_000),
        Fault(120_000, "lost", in_zone, 50_000),
        Fault(195_000, "crash", crashed, 10_000),
    )


def _requests(
    deployment: Deployment,
    configuration: tenant_configuration.TenantConfiguration,
    rates: dict[str, float],
    bursts: tuple[Burst, ...],
    rng: random.Random,
) -> tuple[Request, ...]:
    rows = []
    for name, rate in rates.items():
        base = configuration.base_of(name)
        peak = rate * (BURST_FACTOR if bursts else 1.0)
        now_ms = 0.0
        while True:
            now_ms += rng.expovariate(peak) * 1_000
            if now_ms >= TRACE_MS:
                break
            is_burst = any(
                name in burst.names and burst.start_ms <= now_ms < burst.end_ms
                for burst in bursts
            )
            if not is_burst and rng.random() > rate / peak:
                continue
            output = int(rng.lognormvariate(math.log(45), 0.7))
            row = (
                int(now_ms),
                name,
                base,
                rng.random() < URGENT_SHARE,
                rng.randrange(50, 800),
                min(MAX_OUTPUT_TOKENS, max(4, output)),
                rng.randrange(deployment.zones),
            )
            rows.append(row)
    rows.sort()
    return tuple(Request(f"r{index}", *row) for index, row in enumerate(rows))


def sizes_of(
    configuration: tenant_configuration.TenantConfiguration,
) -> dict[str, int]:
    """Return the weight size in bytes by model and adapter name."""
    sizes = {m.name: m.weight_bytes for m in configuration.models.values()}
    for adapter in configuration.adapters.values():
        sizes[adapter.name] = adapter.weight_bytes
    return sizes


def build_placement(
    workload: Workload, work: dict[str, float]
) -> list[list[str]]:
    """Return a balanced placement per worker for the offered load by name.

    Every model gets one replica; further replicas go to the model with the
    highest load per replica until the memory for weights is full. Adapters
    are placed with every replica of their base. Raises ValueError if a
    model does not fit.
    """
    deployment = workload.deployment
    configuration = workload.configuration
    sizes = sizes_of(configuration)
    groups: dict[str, list[str]] = {name: [] for name in configuration.models}
    for adapter in configuration.adapters.values():
        groups[adapter.base].append(adapter.name)
    group_work = {
        model: work.get(model, 0.0) + sum(work.get(a, 0.0) for a in adapters)
        for model, adapters in groups.items()
    }
    group_bytes = {
        model: sizes[model] + sum(sizes[a] for a in adapters)
        for model, adapters in groups.items()
    }
    free = [CAPACITY_BYTES - KV_FLOOR_BYTES] * deployment.workers
    models_by_worker: list[list[str]] = [[] for _ in range(deployment.workers)]
    copies: dict[str, list[int]] = {model: [] for model in groups}

    def load_of(index: int) -> float:
        return sum(
            group_work[m] / len(copies[m]) for m in models_by_worker[index]
        )

    def add(model: str) -> bool:
        fitting = [
            index
            for index in range(deployment.workers)
            if index not in copies[model] and free[index] >= group_bytes[model]
        ]
        if not fitting:
            return False
        zones = {deployment.zone_of(index) for index in copies[model]}
        best = min(
            fitting,
            key=lambda i: (deployment.zone_of(i) in zones, load_of(i), i),
        )
        copies[model].append(best)
        models_by_worker[best].append(model)
        free[best] -= group_bytes[model]
        return True

    for model in sorted(groups, key=lambda m: (-group_work[m], m)):
        if not add(model):
            raise ValueError(
                f"no worker has memory for the first replica of {model}"
            )
    open_models = set(groups)
    while open_models:
        model = max(
            sorted(open_models), key=lambda m: group_work[m] / len(copies[m])
        )
        if not add(model):
            open_models.discard(model)
    return [
        [name for model in models for name in (model, *groups[model])]
        for models in models_by_worker
    ]
