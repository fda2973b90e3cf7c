"""Stand-in for the platform's list of live and leaving VMs."""

from __future__ import annotations

import json
from typing import Any

from balsamwall_standins import command_line
from balsamwall_standins import http_server

FIELDS = ("vm", "availability_zone", "tenant", "role", "state", "address")


class VmList(http_server.HttpStandin):
    """List of VMs whose changes become visible after lag_ms."""

    def __init__(self, reactor: Any, lag_ms: int = 1_000) -> None:
        super().__init__(reactor)
        self._vms: dict[str, dict[str, str]] = {}
        self._visible: list[dict[str, str]] = []
        self._revision = 0
        self.lag_ms = lag_ms
        self.add_route("GET", "/vms", self._on_list)
        self.add_route("POST", "/admin/vms", self._on_change)

    def change(self, action: str, item: dict[str, str]) -> None:
        """Add a VM, mark it as leaving or remove it.

        Raise ValueError for an unknown action and KeyError if the VM is
        missing.
        """
        vm = str(item["vm"])
        if action == "add":
            found = {name: str(item.get(name, "")) for name in FIELDS}
            found["state"] = found["state"] or "live"
            self._vms[vm] = found
        elif action == "leave":
            self._vms[vm] = {**self._vms[vm], "state": "leaving"}
        elif action == "remove":
            self._vms.pop(vm, None)
        else:
            raise ValueError(f"unknown action {action!r}")
        snapshot = list(self._vms.values())
        if self.lag_ms:
            self.clock.call_later(self.lag_ms, self._publish, snapshot)
        else:
            self._publish(snapshot)

    def _apply_specific_faults(self, values: dict[str, Any]) -> None:
        if "lag_ms" in values:
            self.lag_ms = int(values.pop("lag_ms"))

    def _publish(self, snapshot: list[dict[str, str]]) -> None:
        self._visible = snapshot
        self._revision += 1

    def _on_list(self, call: http_server.Call) -> None:
        tag = f'"{self._revision}"'
        if call.header("if-none-match") == tag:
            call.reply(304, {}, {"etag": tag})
            return
        body = {"revision": self._revision, "vms": self._visible}
        call.reply(200, body, {"etag": tag})

    def _on_change(self, call: http_server.Call) -> None:
        body = call.json()
        self.change(str(body["action"]), body)
        call.reply(200, {})


def main() -> None:
    """Run a list of VMs until a signal arrives."""
    parser = command_line.build_parser("list of VMs")
    parser.add_argument("--lag-ms", type=int, default=1_000)
    parser.add_argument(
        "--vms", default="[]", help="JSON list of VMs visible from the start"
    )
    arguments = parser.parse_args()

    def build(reactor: Any) -> VmList:
        standin = VmList(reactor, 0)
        for item in json.loads(arguments.vms):
            standin.change("add", item)
        standin.lag_ms = arguments.lag_ms
        return standin

    command_line.serve(arguments, build)


if __name__ == "__main__":
    main()
