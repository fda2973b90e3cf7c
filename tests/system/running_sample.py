"""Sample system on free ports, shared by the tests."""

from __future__ import annotations

import atexit
import concurrent.futures
import contextlib
import functools
import http.client
import json
import os
import pathlib
import re
import shutil
import tempfile
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from balsamwall_standins import free_ports
from balsamwall_standins import sample
from balsamwall_standins import sample_operators

from balsamwall.console import idempotency_key
from tests.system import silent_relay

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

LIMIT_S = 90.0
HOLD_VMS = ("tampere-hold-1", "tampere-hold-2")
RELAYED_VM = HOLD_VMS[0]
# A reduced set of names loads in a few seconds. Both tenants keep models
# with and without adapters.
_REDUCED_NAMES = (
    ("clauses-{1..4}", "clauses-{1..2}"),
    ("clauses-1 clauses-2 clauses-3 clauses-4", "clauses-1 clauses-2"),
    ("buyer-{01..12}", "buyer-{01..02}"),
    ("terms-{1..2}", "terms-1"),
    ("quote-{1..3}", "quote-{1..2}"),
    ("hall-{01..08}", "hall-{01..02}"),
)
NAMES = {
    "kovacevic": (
        *("clauses-1", "clauses-2", "terms-1"),
        *("buyer-01", "buyer-02"),
    ),
    "tampere": ("quote-1", "quote-2", "letter-fi", "hall-01", "hall-02"),
}
ADMINISTRATION_HEADERS = {
    "Authorization": f"Bearer {sample_operators.ADMINISTRATION_KEY}"
}


class Response(NamedTuple):
    """HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """Return the error object of the body."""
        return json.loads(self.body)["error"]


class Run(NamedTuple):
    """Executions of a request, as counted by a backend server."""

    request_id: str
    key: str
    times: int


class RunningSample(sample.Sample):
    """Sample on free ports; RELAYED_VM is reached through a relay."""

    def __init__(self) -> None:
        ports = [free_ports.free_port() for _ in range(4)]
        folder = tempfile.mkdtemp(prefix="balsamwall-system-")
        self.folder = pathlib.Path(folder)
        super().__init__(self.folder, tuple(ports[:2]), tuple(ports[2:]))
        self.caller_ports = ports[:2]
        self.administration_ports = ports[2:]
        port = self.internal_ports[RELAYED_VM]
        self.relay = silent_relay.SilentRelay((sample.HOST, port))

    def close(self) -> None:
        """Kill all processes and remove their folder."""
        # Graceful shutdown is covered by separate tests.
        for name in list(self.programs):
            self.kill(name)
        shutil.rmtree(self.folder, ignore_errors=True)

    def row(self, vm: str) -> tuple[str, str, str, str]:
        """Return the row of sample.VMS of a VM."""
        (found,) = [row for row in sample.VMS if row[1] == vm]
        return found

    def pid(self, name: str) -> int:
        """Return the process identifier of a process."""
        return self.programs[name].process.pid

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        tenant: str = "tampere",
        entry: int = 0,
        timeout_s: float = 60.0,
    ) -> Response:
        """Send a request as a caller; raise OSError if no response arrives."""
        key = sample_operators.CALLER_KEYS[tenant]
        return exchange(
            self.caller_ports[entry],
            method,
            path,
            body,
            {"Authorization": f"Bearer {key}"} | (headers or {}),
            timeout_s,
        )

    def book(
        self,
        body: object,
        key: str = "",
        entry: int = 0,
        timeout_s: float = 60,
    ) -> Response:
        """Book a hold; send an idempotency key unless it is empty."""
        headers = {"Idempotency-Key": key} if key else {}
        return self.call(
            "POST",
            "/v1/services/holds/book",
            body,
            headers,
            entry=entry,
            timeout_s=timeout_s,
        )

    def complete(
        self, tenant: str, name: str, entry: int = 0, tokens: int = 4
    ) -> Response:
        """Request a short completion from a model or adapter."""
        body = {
            "model": name,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "Which hall?"}],
        }
        path = "/v1/chat/completions"
        return self.call("POST", path, body, None, tenant, entry)

    def api(
        self,
        method: str,
        tenant: str,
        path: str,
        body: object = None,
        entry: int = 0,
    ) -> Response:
        """Call the administration API of an entry."""
        return exchange(
            self.administration_ports[entry],
            method,
            f"/v1/tenants/{tenant}/{path}",
            body,
            ADMINISTRATION_HEADERS,
        )

    def standin(self, name: str, path: str, body: object = None) -> Any:
        """Call a stand-in; wait if a fault has closed its port."""
        port = int(self.standins[name].rsplit(":", 1)[1])
        method = "GET" if body is None else "POST"
        sample.wait_for_port(port)
        return json.loads(exchange(port, method, path, body, {}).body)

    def runs(self, names: Iterable[str]) -> list[Run]:
        """Return the executions counted by the named stand-ins."""
        return [
            # Backend servers get the request identifier with the attempt
            # appended after a dot.
            Run(
                row["request_id"].partition(".")[0],
                row["idempotency_key"],
                row["times"],
            )
            for name in names
            for row in self.standin(name, "/standin/executions")["executions"]
        ]

    def hold_runs(self) -> list[Run]:
        """Return the executions counted by the services of tampere."""
        return self.runs(f"{vm}-service" for vm in HOLD_VMS)

    def executions(self) -> dict[str, int]:
        """Return the executions by key at all services of tampere."""
        found: dict[str, int] = {}
        for run in self.hold_runs():
            found[run.key] = found.get(run.key, 0) + run.times
        return found

    def wait_until_new_keys_are_accepted(self) -> None:
        """Wait until the key homes accept new keys from both entries.

        A home rejects keys that were created before it was complete, so new
        holds are rejected for a while after a test stops a home. The keys are
        created here since an entry only creates keys whose home is live,
        which would miss a home that is still starting.
        """
        wait_until(
            lambda: all(
                self.book(
                    {"hall": f"new-{index}"},
                    idempotency_key.new_key(),
                    index % 2,
                ).status
                == 200
                for index in range(12)
            ),
            "new keys are accepted",
        )

    def metric(self, vm: str, name: str) -> dict[str, float]:
        """Return the values of a metric by label set."""
        port = int(self.metrics[vm].rsplit(":", 1)[1].split("/")[0])
        text = exchange(port, "GET", "/metrics", None, {}).body.decode()
        pattern = rf"^{name}(\{{[^}}]*\}})? (\S+)$"
        rows = re.findall(pattern, text, re.MULTILINE)
        return {labels: float(value) for labels, value in rows}

    def revisions(self, tenant: str) -> dict[str, float]:
        """Return the active revision of a tenant in each process."""
        vms = [row[1] for row in sample.VMS if row[0] == tenant]
        name = "balsamwall_configuration_revision"
        label = f'{{tenant="{tenant}"}}'
        return {
            vm: self.metric(vm, name).get(label, 0)
            for vm in [*vms, "entry-1", "entry-2"]
            if vm in self.programs
        }

    def wait_until_served(self) -> float:
        """Wait until all models and adapters respond; return the seconds."""
        start = time.monotonic()
        rows = [(name, tenant) for tenant in NAMES for name in NAMES[tenant]]
        with concurrent.futures.ThreadPoolExecutor(len(rows)) as pool:
            list(pool.map(lambda row: self._wait_for_response(*row), rows))
        return time.monotonic() - start

    def tracebacks(self) -> list[str]:
        """Return the names of the log files that contain a traceback."""
        return [
            path.name
            for path in sorted(self.folder.glob("*.log"))
            if "Traceback" in path.read_text(errors="replace")
        ]

    def _wait_for_response(self, name: str, tenant: str) -> None:
        def is_served() -> bool:
            entries = range(len(self.caller_ports))
            live = [i for i in entries if f"entry-{i + 1}" in self.programs]
            return all(
                self.complete(tenant, name, index).status == 200
                for index in live
            )

        wait_until(is_served, f"{name} responds")

    def _vm_rows(self) -> list[dict[str, str]]:
        rows = super()._vm_rows()
        for row in rows:
            if row["vm"] == RELAYED_VM:
                row["address"] = f"{sample.HOST}:{self.relay.port}"
        return rows


def operators_files() -> dict[str, str]:
    """Return the operators' file of each tenant, with fewer names."""
    files = sample_operators.operators_files()
    for old, new in _REDUCED_NAMES:
        files = {
            tenant: text.replace(old, new) for tenant, text in files.items()
        }
    return files


@functools.cache
def shared() -> RunningSample:
    """Return the shared sample; start and configure it on first use."""
    _set_path()
    found = RunningSample()
    atexit.register(found.close)
    found.start()
    for port in (*found.caller_ports, *found.administration_ports):
        sample.wait_for_port(port)
    for tenant, text in operators_files().items():
        wait_until(
            functools.partial(_is_accepted, found, tenant, text),
            f"{tenant} is configured",
        )
    found.wait_until_served()
    return found


def _is_accepted(found: RunningSample, tenant: str, text: str) -> bool:
    body = {
        "files": {"operators.ini": text},
        "base_revision": 0,
        "change_id": f"system-{tenant}",
    }
    return found.api("POST", tenant, "configuration", body).status == 200


def _set_path() -> None:
    # Child processes must import the packages from this work tree.
    root = pathlib.Path(__file__).parents[2]
    paths = [str(root / "src"), str(root / "standins")]
    os.environ["PYTHONPATH"] = os.pathsep.join(paths)


def exchange(
    port: int,
    method: str,
    path: str,
    body: object,
    headers: dict[str, str],
    timeout_s: float = 60.0,
) -> Response:
    """Send an HTTP request; raise OSError if the response is incomplete."""
    data = body if isinstance(body, bytes) else None
    if body is not None and data is None:
        data = json.dumps(body).encode()
    connection = http.client.HTTPConnection(
        sample.HOST, port, timeout=timeout_s
    )
    with contextlib.closing(connection):
        try:
            connection.request(
                method,
                path,
                data,
                {"Content-Type": "application/json"} | headers,
            )
            response = connection.getresponse()
            content = response.read()
        except http.client.HTTPException as error:
            raise ConnectionError(repr(error)) from error
        lower = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, lower, content)


def wait_until(
    condition: Callable[[], bool], description: str, limit_s: float = LIMIT_S
) -> float:
    """Wait for a condition and return the seconds that it took.

    Raise AssertionError after limit_s. An OSError counts as not true.
    """
    start = time.monotonic()
    while True:
        with contextlib.suppress(OSError):
            if condition():
                return time.monotonic() - start
        if time.monotonic() - start > limit_s:
            raise AssertionError(f"timed out after {limit_s} s: {description}")
        time.sleep(0.1)
