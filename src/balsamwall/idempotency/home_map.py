"""Map keys to the key homes of one service."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

from balsamwall.idempotency import exceptions
from balsamwall.membership import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclasses.dataclass(slots=True, frozen=True)
class HomeMember:
    """Describe an agent that stores the records of its share of the keys."""

    vm: str
    incarnation: int
    # Wall time since which the records are complete, 0 if they are complete
    # since the group was created.
    complete_since_ms: int
    joined_revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Tombstone:
    """Describe a former member whose records were lost with its VM."""

    vm: str
    removed_ms: int  # wall time
    removed_revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class HomeMap:
    """Hold the members of the group of one service at one revision.

    The stored map is changed only by compare-and-swap.
    """

    service: str
    revision: int = 0
    members: tuple[HomeMember, ...] = ()
    tombstones: tuple[Tombstone, ...] = ()

    @property
    def member_names(self) -> list[str]:
        """Return the VM names of the members."""
        return [member.vm for member in self.members]

    def member(self, vm: str) -> HomeMember | None:
        """Return the member on a VM, or None."""
        for member in self.members:
            if member.vm == vm:
                return member
        return None

    def home_of(self, key: str, extra: Iterable[str] = ()) -> str | None:
        """Return the home of a key; `extra` names further candidate VMs."""
        return rendezvous.top_member(key, {*self.member_names, *extra})

    def incomplete_before_ms(self, key: str) -> int:
        """Return the wall time before which records of a key may be lost.

        A lost member was the home of a key only if it ranked first among the
        members of that time. Members that have left since are not known, so
        the result may be later than necessary, but never earlier.
        """
        home = self.home_of(key)
        member = self.member(home) if home is not None else None
        limit_ms = member.complete_since_ms if member is not None else 0
        for tombstone in self.tombstones:
            peers = {
                member.vm
                for member in self.members
                if member.joined_revision < tombstone.removed_revision
            }
            if (
                rendezvous.top_member(key, {*peers, tombstone.vm})
                == tombstone.vm
            ):
                limit_ms = max(limit_ms, tombstone.removed_ms)
        return limit_ms

    def with_member(self, vm: str, incarnation: int, since_ms: int) -> HomeMap:
        """Return the next revision with a member added or restarted."""
        revision = self.revision + 1
        old = self.member(vm)
        joined = old.joined_revision if old is not None else revision
        new = HomeMember(vm, incarnation, since_ms, joined)
        others = tuple(item for item in self.members if item.vm != vm)
        members = tuple(sorted((*others, new), key=lambda item: item.vm))
        return dataclasses.replace(self, revision=revision, members=members)

    def without_member(self, vm: str) -> HomeMap:
        """Return the next revision after a member transferred its records."""
        leaving = self.member(vm)
        since_ms = leaving.complete_since_ms if leaving is not None else 0
        members = tuple(
            dataclasses.replace(
                item,
                complete_since_ms=max(item.complete_since_ms, since_ms),
            )
            for item in self.members
            if item.vm != vm
        )
        return dataclasses.replace(
            self, revision=self.revision + 1, members=members
        )

    def with_lost_member(
        self, vm: str, removed_ms: int, retention_ms: int
    ) -> HomeMap:
        """Return the next revision after a VM and its records were lost.

        Tombstones older than `retention_ms` are dropped.
        """
        revision = self.revision + 1
        kept = tuple(
            item
            for item in self.tombstones
            if item.vm != vm and item.removed_ms + retention_ms > removed_ms
        )
        members = tuple(item for item in self.members if item.vm != vm)
        tombstones = (*kept, Tombstone(vm, removed_ms, revision))
        return dataclasses.replace(
            self, revision=revision, members=members, tombstones=tombstones
        )

    def with_next_revision(self) -> HomeMap:
        """Return the same members at the next revision."""
        return dataclasses.replace(self, revision=self.revision + 1)

    def encode(self) -> bytes:
        """Serialize the map to JSON."""
        return json.dumps(dataclasses.asdict(self), sort_keys=True).encode()


def decode(data: bytes) -> HomeMap:
    """Parse a map from JSON; raise HomeMapError if it is invalid."""
    try:
        row = json.loads(data)
        return HomeMap(
            service=str(row["service"]),
            revision=int(row["revision"]),
            members=tuple(HomeMember(**item) for item in row["members"]),
            tombstones=tuple(Tombstone(**item) for item in row["tombstones"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.HomeMapError(f"home map is invalid: {error}") from (
            error
        )
