"""Baseline policies: static placement and on-demand loading."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench import plain_fleet

if TYPE_CHECKING:
    from bench import workload

LOAD_RETRY_MS = 1_000


class StaticRandom(plain_fleet.PlainFleet):
    """Static balanced placement with random choice of the replica."""

    policy = "static-random"

    def choose(self, request: workload.Request) -> plain_fleet.Worker | None:
        """Return a random worker that is up and has the name resident."""
        holders = [
            worker
            for worker in self.workers
            if worker.is_up
            and request.target in worker.engine.resident_names()
        ]
        return self.rng.choice(holders) if holders else None

    def on_worker_restored(self, worker: plain_fleet.Worker) -> None:
        """Reload the static placement of the worker."""
        for name in self.initial_names[worker.index]:
            worker.load(name)


class LeastLoadedOnDemand(plain_fleet.PlainFleet):
    """Least-loaded routing with on-demand loads and LRU eviction."""

    policy = "least-loaded-on-demand"

    def __init__(self, work: workload.Workload) -> None:
        super().__init__(work)
        self._pending_loads: set[tuple[int, str]] = set()

    def choose(self, request: workload.Request) -> plain_fleet.Worker | None:
        """Return the least loaded worker and start a load there if needed."""
        up = [worker for worker in self.workers if worker.is_up]
        if not up:
            return None
        worker = min(up, key=lambda w: (w.open_count, self.rng.random()))
        key = (worker.index, request.target)
        if key not in self._pending_loads:
            self._pending_loads.add(key)
            self._load_on_demand(worker, request.target)
        return worker

    def _load_on_demand(self, worker: plain_fleet.Worker, name: str) -> None:
        """Load a name after evicting the least recently used idle names."""
        resident = (
            worker.engine.resident_names()
            | worker.engine.resident_names("loading")
        )
        if name in resident or not worker.is_up:
            self._pending_loads.discard((worker.index, name))
            return
        base = self.work.configuration.base_of(name)
        needed = sum(
            self.sizes[item] for item in {name, base} if item not in resident
        )
        free = worker.free_weight_bytes
        in_use = worker.names_in_use() | {name, base}
        ranked = sorted(
            worker.engine.resident_names() - in_use,
            key=lambda n: (worker.last_used_ms.get(n, -1), n),
        )
        configuration = self.work.configuration
        victims: list[str] = []
        for victim in ranked:
            if free >= needed:
                break
            if victim in victims:
                continue
            dependents = [
                n
                for n in sorted(resident)
                if configuration.base_of(n) == victim
            ]
            if any(n in in_use for n in dependents):
                continue
            for item in {*dependents, victim} - set(victims):
                victims.append(item)
                free += self.sizes[item]
        if free < needed:
            self.clock.call_later(
                LOAD_RETRY_MS, self._load_on_demand, worker, name
            )
            return
        self._pending_loads.discard((worker.index, name))
        for victim in victims:
            worker.unload(victim)
        worker.load(name)
