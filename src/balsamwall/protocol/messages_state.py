"""Messages that report load, residency, demand and faults of agents."""

from __future__ import annotations

import dataclasses

from balsamwall.protocol import message


@message.register(30)
class AgentReport(message.Message):
    """Report the state and load of one backend server."""

    incarnation: int
    sequence: int
    state: str  # "starting", "ready", "leaving" or "down"
    running: int
    waiting_urgent: int
    waiting_deferrable: int
    queued_tokens: int
    free_kv_bytes: int
    capacity_bytes: int
    committed_bytes: int
    step_us: int
    report_age_ms: int
    max_running: int = 0  # 0 if the limit is unknown


@message.register(31)
class Residents(message.Message):
    """List what is resident on one backend server."""

    incarnation: int
    sequence: int
    models: list[str]
    adapters: list[str]
    loading: list[str]
    services: list[str]
    # "name@version" of each ready copy; gives the progress of a roll-out.
    versions: list[str] = dataclasses.field(default_factory=list)


@message.register(32)
class CacheDigest(message.Message):
    """List the hashes of the prompt prefixes in an engine's cache."""

    incarnation: int
    sequence: int
    prefixes: list[int]
    age_ms: int
    has_gap: bool


@message.register(33)
class Leaving(message.Message):
    """Mark a VM incarnation as leaving, which is permanent."""

    vm: str
    incarnation: int
    source: str


@message.register(34)
class Verdict(message.Message):
    """Broadcast a crash verdict on a request fingerprint.

    "trial" claims the single isolated execution of a suspect for the agent
    named in `reason`; "trial_end" releases the claim.
    """

    fingerprint: bytes
    action: str  # "suspect", "quarantine", "clear", "trial" or "trial_end"
    sequence: int
    remaining_ms: int
    reason: str


@message.register(35)
class DemandReport(message.Message):
    """Report the requests of an interval by model or adapter.

    The lists are parallel to `names`.
    """

    sequence: int
    names: list[str]
    counts: list[int]
    urgent: list[int]
    work_ms: list[int]
