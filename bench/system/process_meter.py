"""CPU time and memory of processes, read from /proc."""

from __future__ import annotations

import os
import pathlib
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """CPU time of processes over an interval."""

    seconds: float
    cpu_s: dict[str, float]

    def share(self, name: str) -> float:
        """Return the share of one core that a process used."""
        return self.cpu_s[name] / self.seconds


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    return _status_kib(pid, "VmRSS") / 1_024


def peak_memory_mib(pid: int) -> float:
    """Return the peak resident memory of a process in MiB."""
    return _status_kib(pid, "VmHWM") / 1_024


def measure(pids: Mapping[str, int], run: Callable[[], object]) -> Usage:
    """Return the CPU time of processes while a function runs."""
    start_s = time.monotonic()
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    run()
    used = {
        name: cpu_seconds(pid) - before[name] for name, pid in pids.items()
    }
    return Usage(time.monotonic() - start_s, used)


def _status_kib(pid: int, key: str) -> int:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{key}:"):
            return int(line.split()[1])
    raise KeyError(key)
