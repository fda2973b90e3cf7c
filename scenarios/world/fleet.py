"""Fleet of a scenario: processes, backend servers, platform, operators."""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import zlib

import eliot

from balsamwall.infrastructure import vm_list_client
from balsamwall.timing import virtual_clock
from scenarios.world import backends
from scenarios.world import callers
from scenarios.world import daemons
from scenarios.world import invariants
from scenarios.world import network as network_module
from scenarios.world import trace as trace_module
from tests.fixtures import memory_key_value

VM_LIST_DELAY_MS = 1_000
GIB = 1024**3


@dataclasses.dataclass(slots=True)
class Plan:
    """Fleet and configuration that a scenario declares."""

    tenant: str = "tampere"
    vms: list[dict[str, str]] = dataclasses.field(default_factory=list)
    entries: list[dict[str, str]] = dataclasses.field(default_factory=list)
    models: list[dict[str, str]] = dataclasses.field(default_factory=list)
    adapters: list[dict[str, str]] = dataclasses.field(default_factory=list)
    workspaces: list[dict[str, str]] = dataclasses.field(default_factory=list)
    loads_per_second: str = "5"
    max_concurrent_loads: str = "8"


def configuration_text(plan: Plan) -> str:
    """Return the text of the operators.ini file of a plan."""
    engines = [row for row in plan.vms if row["runs"] == "engine"]
    services = sorted({r["runs"] for r in plan.vms if r["runs"] != "engine"})
    lines = ["[tenant]", f"name = {plan.tenant}"]
    if engines:
        memory = min(engines, key=lambda row: parse_size(row["memory"]))
        lines += [
            "[fleet]",
            f"model_vms = {len(engines)}",
            f"vm_memory = {memory['memory']}",
            "kv_reserve = 0.3",
        ]
    lines += [
        "[weight_store]",
        f"loads_per_second = {plan.loads_per_second}",
        f"max_concurrent = {plan.max_concurrent_loads}",
    ]
    for row in plan.models:
        lines += [
            f"[model {row['model']}]",
            f"version = {row['version']}",
            f"weights = {row['weights']}",
            "kv_per_token = 64 KiB",
            "context = 8192",
        ]
    for row in plan.adapters:
        lines += [
            f"[adapter {row['adapter']}]",
            f"base = {row['base']}",
            f"version = {row['version']}",
            "weights = 100 MiB",
        ]
    for name in services:
        lines += [f"[service {name}]", "timeout = 10 s"]
    for row in plan.workspaces:
        digest = hashlib.sha256(api_key(row["workspace"]).encode()).hexdigest()
        lines += [
            f"[workspace {row['workspace']}]",
            f"api_key_hashes = {digest}",
            f"default_class = {row['class']}",
            "requests_per_second = 500",
            "burst = 500",
            "max_concurrent = 500",
            "first_token = 10 s",
        ]
        for name in ("models", "adapters", "services"):
            if row.get(name, "-") != "-":
                lines.append(f"{name} = {row[name]}")
    return "\n".join(lines) + "\n"


def api_key(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"sk-{workspace}"


def parse_size(text: str) -> int:
    """Return the bytes of a size such as "24 GiB"."""
    number, unit = text.split()
    return int(number) * {"GiB": GIB, "MiB": GIB // 1024}[unit]


class Fleet:
    """Simulated fleet of one scenario, in virtual time."""

    def __init__(self, name: str, plan: Plan) -> None:
        self.seed = zlib.crc32(name.encode())
        self.plan = plan
        self.clock = virtual_clock.VirtualClock()
        self.trace = trace_module.Trace(self.clock)
        self.network = network_module.Network(self.clock, self.seed)
        self.key_value = memory_key_value.MemoryKeyValue(self.clock)
        self.weights = backends.WeightStore(self.clock, self.trace)
        self.log: list[backends.Execution] = []
        self.max_order_delay_ms = 10_000
        self.last_error = ""
        self.agents: dict[str, daemons.AgentDaemon] = {}
        self.entries: dict[str, daemons.EntryDaemon] = {}
        self._leaving_vms: set[str] = set()
        self._lost_vms: set[str] = set()
        self._list_revision = itertools.count(1)
        self._vm_list = vm_list_client.VmListing(0, ())
        self._changes = itertools.count(1)
        self.invariants = invariants.Invariants(self)
        self.callers = callers.Callers(self)
        eliot.add_destinations(self._on_log)
        self._build()

    @property
    def daemons(self):
        """Return all processes by VM."""
        return {**self.agents, **self.entries}

    @property
    def engines(self):
        """Return the agents of engines by VM."""
        return {
            vm: agent
            for vm, agent in self.agents.items()
            if isinstance(agent.backend, backends.Engine)
        }

    @property
    def now_ms(self) -> int:
        """Return the milliseconds since the scenario began."""
        return self.trace.now_ms

    def close(self) -> None:
        """Remove the log destination of the scenario."""
        eliot.remove_destination(self._on_log)

    def print_summary(self) -> None:
        """Print events and outcomes to debug a scenario."""
        for event in self.trace.events:
            print(trace_module.format_ms(event.at_ms), event.text)
        print("outcomes:", self.callers.counts())
        sends = [len(hold.sends) for hold in self.callers.holds]
        answered = sum(hold.is_answered for hold in self.callers.holds)
        print(f"holds: {answered} of {len(sends)}, {sum(sends)} sends")
        runs: dict[str, int] = {}
        for row in self.log:
            runs[row.vm] = runs.get(row.vm, 0) + 1
        print(f"runs: {dict(sorted(runs.items()))}")
        for vm, agent in self.engines.items():
            held = sorted(agent.backend.core.orders.residents)
            print(f"{vm} holds {held}")
        late = sorted(r.finished_ms - r.sent_ms for r in self.callers.requests)
        print("slowest:", late[-8:])

    def _on_crash(self, vm: str) -> None:
        self.trace.record(f"engine {vm} crashes")
        fault = self.invariants.begin_fault("engine crash", (vm,))
        self.invariants.end_fault(fault)

    def _on_log(self, row) -> None:
        if row.get("message_type") == "eliot:traceback":
            text = str(row.get("traceback", "")).strip().splitlines()
            self.last_error = " / ".join(x.strip() for x in text[-4:])
        elif row.get("message_type") in ("peer_down",):
            self.trace.record(f"stream to {row['peer']}: {row['reason']}")

    def _build(self) -> None:
        kv = {row["model"]: 64 * 1024 for row in self.plan.models}
        for number, row in enumerate(self.plan.vms):
            vm = row["vm"]
            services: tuple[str, ...] = ()
            if row["runs"] == "engine":
                options = backends.options_of(
                    {
                        "capacity": parse_size(row["memory"]),
                        "kv": kv,
                        "fencing": row.get("fencing", "yes") == "yes",
                    }
                )
                backend = backends.Engine(
                    self.clock,
                    self.log,
                    self.weights,
                    vm,
                    options,
                    self.seed + number,
                    self._on_crash,
                )
            else:
                services = (row["runs"],)
                backend = backends.Service(
                    self.clock, self.trace, self.log, vm
                )
            agent = daemons.AgentDaemon(
                self,
                vm,
                row["availability zone"],
                self.plan.tenant,
                backend,
                services,
            )
            self.agents[vm] = agent
            agent.on_stopped.append(backend.on_agent_stopped)
        for row in self.plan.entries:
            entry = daemons.EntryDaemon(
                self,
                row["entry"],
                row["availability zone"],
                (self.plan.tenant,),
            )
            self.entries[entry.vm] = entry
            self.callers.watch(entry)
        self._update_vm_list()

    def settle(self) -> None:
        """Start all processes, apply the configuration, wait for residency.

        Raises AssertionError if a model is not resident after 120 s.
        """
        for daemon in self.daemons.values():
            daemon.start()
        self.clock.advance(3_000)
        self.apply(self.plan, "operator-1", 0)
        for _ in range(240):
            self.clock.advance(500)
            if self.is_all_resident():
                break
        # Leases, key homes and reports need time to settle as well.
        self.clock.advance(4_000)
        if not self.is_all_resident():
            missing = sorted(
                name
                for name in self.invariants.configured()
                if not self.invariants.vms_serving(name)
            )
            raise AssertionError(f"not resident after 120 s: {missing}")
        self.trace.events.clear()
        self.trace.start_ms = self.clock.now_ms()
        self.invariants.start()

    def is_all_resident(self) -> bool:
        """Tell whether all models are served and all key homes are open."""
        names = self.invariants.configured()
        if not self.invariants.accepted:
            return False
        if not all(map(self.invariants.vms_serving, names)):
            return False
        services = [
            a for a in self.agents.values() if a.backend.server is a.backend
        ]
        return all(
            home.is_open
            for agent in services
            for home in agent.unit._homes.values()
        )

    def apply(self, plan: Plan, operator: str, base, entry: str = "") -> None:
        """Send a configuration; base None means the newest revision."""
        daemon = self.entries[entry] if entry else self.working_entry()
        if base is None:
            base = daemon.replica.revision(plan.tenant)
        change_id = f"change-{next(self._changes)}"
        body = {
            "files": {"operators.ini": configuration_text(plan)},
            "base_revision": base,
            "change_id": change_id,
        }
        self._administer(daemon, plan, "configuration", body, operator)

    def rollback(self, revision: int, operator: str) -> None:
        """Roll back to the files of an earlier revision."""
        daemon = self.working_entry()
        body = {
            "to_revision": revision,
            "base_revision": daemon.replica.revision(self.plan.tenant),
            "change_id": f"change-{next(self._changes)}",
        }
        self._administer(
            daemon, self.plan, "configuration/rollback", body, operator
        )

    def _administer(self, daemon, plan, path, body, operator) -> None:
        def respond(response) -> None:
            self.invariants.on_change_response(operator, body, response)

        daemon.administer(plan.tenant, "POST", path, body, operator, respond)

    def working_entry(self):
        """Return the first entry that can serve requests.

        Raises AssertionError if there is none.
        """
        for entry in self.entries.values():
            if entry.is_working and not self.network.is_cut(entry.vm):
                if not entry.is_leaving:
                    return entry
        raise AssertionError("all entries are down, partitioned or leaving")

    def start_drain(self, vm: str, source: str) -> None:
        """Drain a VM by a signal, an operator or the VM list."""
        self.trace.record(f"drain of {vm} by {source}")
        if source == "signal":
            daemon = self.daemons[vm]
            daemon.run(daemon.generation, daemon.drain, "signal")
        elif source == "operator":
            self.working_entry().administer(
                self.plan.tenant,
                "POST",
                f"vms/{vm}/drain",
                None,
                "operator-1",
                lambda response: self.trace.record(
                    f"drain of {vm}: status {response.status}"
                ),
            )
        else:
            self._leaving_vms.add(vm)
            self._update_vm_list()

    def lose_vm(self, vm: str) -> None:
        """Lose a VM with its process and backend server."""
        daemon = self.daemons[vm]
        daemon.is_vm_lost = True
        daemon.stop("is lost with its VM")
        if isinstance(daemon, daemons.AgentDaemon):
            daemon.backend.server.is_down = True
            if isinstance(daemon.backend, backends.Engine):
                daemon.backend.core.on_crash = None
                daemon.backend.core.crash()
        self._lost_vms.add(vm)
        self._update_vm_list()

    def _update_vm_list(self) -> None:
        rows = []
        for number, daemon in enumerate(self.daemons.values()):
            if daemon.vm in self._lost_vms:
                continue
            rows.append(
                vm_list_client.VmListItem(
                    daemon.vm,
                    daemon.zone,
                    daemon.tenant,
                    daemon.role,
                    "leaving" if daemon.vm in self._leaving_vms else "live",
                    f"10.0.0.{number + 1}:9000",
                )
            )
        listing = vm_list_client.VmListing(
            next(self._list_revision), tuple(rows)
        )
        self.clock.call_later(VM_LIST_DELAY_MS, self._publish, listing)

    def _publish(self, listing) -> None:
        self._vm_list = listing
        for daemon in self.daemons.values():
            if daemon.is_alive:
                self.send_vm_list(daemon)

    def send_vm_list(self, daemon) -> None:
        """Schedule the delivery of the VM list to a process."""
        self.clock.call_later(
            5, daemon.run, daemon.generation, self._deliver_vm_list, daemon
        )

    def _deliver_vm_list(self, daemon) -> None:
        daemon.feed.on_listing(self._vm_list)
