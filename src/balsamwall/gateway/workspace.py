"""Define the workspaces of callers, with their keys and quotas."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from balsamwall.gateway import incoming_request


class QuotaUnit(enum.Enum):
    """State what a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(slots=True, frozen=True)
class WorkspaceQuota:
    """Limit the requests or tokens of a workspace over all entries."""

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    # Tokens charged for a request that states no token usage.
    plain_tokens: int = 0

    def cost(self, request: incoming_request.IncomingRequest) -> int:
        """Return what a request is charged, in the unit of the quota."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        if not request.has_token_usage:
            return self.plain_tokens
        return request.prompt_tokens + request.max_output_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """Describe a workspace whose callers authenticate with a key."""

    name: str
    key_digests: frozenset[bytes]  # SHA-256 of each key
    priority: int | None = None  # 0 is the most urgent; None: the route's
    quota: WorkspaceQuota | None = None  # None: no limit


def key_digest(key: bytes) -> bytes:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key).digest()


class WorkspaceTable:
    """Find workspaces by name and by the digest of a key."""

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._by_name = {item.name: item for item in workspaces}
        self._by_digest = {
            digest: item
            for item in self._by_name.values()
            for digest in item.key_digests
        }

    def __iter__(self) -> Iterator[Workspace]:
        return iter(self._by_name.values())

    def get(self, name: str) -> Workspace | None:
        """Return the workspace with a name."""
        return self._by_name.get(name)

    def find(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key.

        Rows are found by digest, so that the time does not reveal how much of
        a key is right; the digests are compared in constant time.
        """
        digest = key_digest(key)
        found = self._by_digest.get(digest)
        if found is None:
            return None
        matches = [
            hmac.compare_digest(known, digest) for known in found.key_digests
        ]
        return found if any(matches) else None
