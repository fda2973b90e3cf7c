"""Order of the store's revisions across its restores from a copy."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import TypeGuard

if TYPE_CHECKING:
    from balsamwall.infrastructure import http_client

# Response header that rises each time the store is restored from a copy.
ERA_FIELD = "store-era"
MAX_ERA_DIGITS = 18
# At 400 writes a second, the store reaches this after 87 years.
MAX_REVISION = (1 << 40) - 1
# Ordered revisions fit a signed integer of 64 bits.
ERAS = 1 << 23


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class StoreRevision:
    """Revision of the store in one of its eras, which order it first.

    After a restore the store gives out revisions again, so that a revision
    alone orders nothing. `ordered` is one integer with the same order, which
    is what the rest of the program calls a revision. A store that states no
    era has era 0, and its revisions stay as they are.
    """

    era: int
    number: int

    @property
    def ordered(self) -> int:
        """Return the revision as one integer."""
        return self.era * (MAX_REVISION + 1) + self.number


def of_ordered(ordered: int) -> StoreRevision:
    """Return the era and the number of an ordered revision."""
    return StoreRevision(*divmod(ordered, MAX_REVISION + 1))


def read_era(answer: http_client.HttpResponse) -> int | None:
    """Return the era that a response states, None if it states none."""
    text = answer.headers.get(ERA_FIELD, "")
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_ERA_DIGITS:
        return None
    return int(text) % ERAS


def is_revision(found: object) -> TypeGuard[int]:
    """Return whether a decoded value is a revision of the store."""
    return type(found) is int and 0 <= found <= MAX_REVISION
