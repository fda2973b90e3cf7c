"""Messages between the entries and the coordinator."""

from __future__ import annotations

from typing import Any

from balsamwall.protocol import message


@message.register(100)
class FleetHello(message.Message):
    """Identify an entry by its VM, as the first message of a stream."""

    vm: str


@message.register(101)
class DemandReport(message.Message):
    """Report the open requests of an entry.

    Each row of running holds server, model, adapter and number of requests,
    each row of waiting service, model, adapter and number. Queued counts by
    model the requests that wait for engine capacity. Arrivals holds by model
    the requests and prompt tokens since the last report, pending tokens by
    server the prompts that were sent and have no first token yet.
    """

    running: list[list[Any]]
    waiting: list[list[Any]]
    queued: dict[str, int]
    arrivals: dict[str, list[int]]
    pending_tokens: dict[str, int]


@message.register(102)
class LoadWanted(message.Message):
    """Request a model or an adapter that is resident on no server."""

    service: str
    model: str
    adapter: str


@message.register(103)
class ServerModels(message.Message):
    """Announce the resident models of a server, with their adapters.

    Waiting counts the requests that all entries hold, by resident model.
    """

    server_id: str
    started_ms: int
    models: dict[str, list[str]]
    waiting: dict[str, int]


@message.register(108)
class PromptQuery(message.Message):
    """Ask for the server that shall prefill a prompt.

    Some of its tokens are probably cached at one of the servers.
    """

    number: int
    service: str
    model: str
    adapter: str
    zone: str
    tokens: int
    cached_at: str
    cached_tokens: int


@message.register(109)
class PromptAssignment(message.Message):
    """Assign a prompt to a server, or to none with an empty identifier."""

    number: int
    server_id: str


@message.register(110)
class LimitReport(message.Message):
    """Report the request rates that servers accept from all entries.

    Each row holds server, start time of its process, requests per second and
    age of the observation in ms. The rate is nil once the limit has ended.
    """

    rows: list[list[Any]]


@message.register(111)
class PermitQuery(message.Message):
    """Ask for a permit for one request to a server with a limit."""

    number: int
    server_id: str


@message.register(112)
class PermitDecision(message.Message):
    """Grant a permit, or give the time in ms until the next one."""

    number: int
    wait_ms: int


@message.register(113)
class BrokenRequestReport(message.Message):
    """Report a request that broke at a server process, some ms ago.

    The response was not proven: the server may have crashed as it began, most
    probably if it had sent a head and nothing after it. Fingerprints are those
    of the whole request and of its prompt parts.
    """

    process: str
    request: bytes
    parts: list[bytes]
    is_at_begin: bool
    age_ms: int


@message.register(128)
class BrokenSendReport(BrokenRequestReport):
    """Report also how many ms ago the broken request was sent."""

    sent_age_ms: int


@message.register(114)
class ProcessLost(message.Message):
    """Report a server process that no longer accepts connections."""

    process: str


@message.register(115)
class ProofQuery(message.Message):
    """Ask for a proof that content does not crash servers.

    A proof is a response to it that has begun within the last ms and went on.
    """

    content: bytes
    within_ms: int


@message.register(116)
class ProofReport(message.Message):
    """Report content of a request whose response went on."""

    fingerprints: list[bytes]


@message.register(117)
class QuarantineNotice(message.Message):
    """Hold back requests with all of these fingerprints for a time.

    No remaining time releases them.
    """

    fingerprints: list[bytes]
    remaining_ms: int


@message.register(120)
class ServerSpeeds(message.Message):
    """Report or announce the speeds of servers that report work times.

    Each row of factors holds server, start time of its process, model, factor
    of prefill and its weight, factor of pauses and its weight; each row of
    work times holds server, start time, percent and age in ms. It is sent to
    processes that are known to take it.
    """

    factors: list[list[Any]]
    work_times: list[list[Any]]


@message.register(118)
class QuotaQuery(message.Message):
    """Ask for tokens of a workspace for one request.

    The reserve is for the requests expected next; it may be granted in part.
    """

    number: int
    workspace: str
    cost: int
    reserve: int


@message.register(119)
class QuotaGrant(message.Message):
    """Grant tokens of a workspace, or give the time in ms until then.

    No tokens and no wait state that the coordinator knows no quota of the
    workspace. A scarce workspace has less than half of its burst left.
    """

    number: int
    tokens: int
    wait_ms: int
    is_scarce: bool


@message.register(104)
class FleetState(message.Message):
    """Announce the number of entries and the load of the servers.

    Loads counts the running requests of all entries by server; the key
    `server-speeds` among them names no server but states that the coordinator
    accepts all messages from 118 on. Its value is 1 if servers report work
    times, else 0. The key `stream-origins` states that it accepts message 126.
    Queued counts by model the requests that wait for engine capacity. Loads
    due holds by model the time in ms until a pending load completes.
    """

    entries: int
    loads: dict[str, int]
    queued: dict[str, int]
    loads_due: dict[str, int]


@message.register(107)
class StoreChanges(message.Message):
    """Relay the changes in the store between two revisions.

    Each row of items holds key, value and revision; the value of a deleted
    key is nil. Changes that are not complete must be read from the store.
    """

    after_revision: int
    revision: int
    items: list[list[Any]]
    is_complete: bool


@message.register(121)
class EntryFeatures(message.Message):
    """Tell that an entry accepts all messages from 121 on.

    It is sent once per stream, to a coordinator that accepts it. The address
    is the `IP:PORT` at which the entry accepts fleet streams.
    """

    address: str


@message.register(122)
class StandbyNotice(message.Message):
    """Announce the entry that grants quotas while there is no coordinator.

    Empty strings state that there is none.
    """

    vm: str
    address: str


@message.register(123)
class QuotaLevels(message.Message):
    """Report to the standby the tokens left for each workspace with a quota.

    A level is negative after a charge in advance.
    """

    levels: dict[str, float]


@message.register(124)
class WorkspaceUse(message.Message):
    """Report what an entry has charged to workspaces since its last report.

    Each row holds service, workspace and tokens. Only charges while requests
    waited for the service, here or at other entries, are reported.
    """

    rows: list[list[Any]]


@message.register(125)
class FleetWorkspaceUse(message.Message):
    """Tell an entry what the others have charged since the last message.

    The rows are those of WorkspaceUse, the largest first.
    """

    rows: list[list[Any]]


@message.register(126)
class StreamOriginReport(message.Message):
    """Report at which software versions streams began, in both directions.

    Each row holds a version and the joined digests, of 8 bytes each, of the
    attempts that began the streams. An entry sends a first report, maybe
    without rows, to a coordinator that accepts it; a coordinator sends it to
    entries that have reported on their present stream.
    """

    rows: list[list[Any]]


@message.register(129)
class ServerLeavingReport(message.Message):
    """Report servers that have announced to leave, in both directions.

    Each row holds a server and the start time of its process. An entry sends
    a first report, maybe without rows, to a coordinator that accepts it; a
    coordinator sends it to entries that have reported on their present stream.
    """

    rows: list[list[Any]]


@message.register(130)
class ConfigurationQuery(message.Message):
    """Ask for a configuration that the store has lost in a restore.

    It is sent to a coordinator that announces a higher version than the
    entry's in its FleetState. The version is the entry's, 0 without one.
    """

    version: int


@message.register(131)
class HeldConfiguration(message.Message):
    """Answer a ConfigurationQuery with the document of the coordinator."""

    document: bytes


@message.register(127)
class BoundDemand(message.Message):
    """Report the streams of an entry that wait for a model at a version.

    Each row holds service, model, adapter, software version and number. A
    coordinator that accepts StreamOriginReport accepts it. DemandReport counts
    these streams too, without the version.
    """

    rows: list[list[Any]]
