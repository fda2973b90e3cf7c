"""Keep the home maps known to an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.idempotency import exceptions
from balsamwall.idempotency import home_map
from balsamwall.idempotency import scoped_key
from balsamwall.idempotency import uuid7
from balsamwall.protocol import messages_home

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.protocol import outbox as outbox_module
    from balsamwall.timing import clock as clock_module

# With 64 members of which one is live, 512 attempts fail for one key in 3,000.
MAX_GENERATED_KEYS = 512


class HomeDirectory:
    """Keep the latest home map of each service, as sent by the members.

    Lookups make no call to the key-value service.
    """

    __slots__ = ("_clock", "_maps", "_outbox", "_random")

    def __init__(
        self,
        clock: clock_module.Clock,
        outbox: outbox_module.Outbox,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._outbox = outbox
        self._random = random_source
        self._maps: dict[str, home_map.HomeMap] = {}

    @property
    def maps(self) -> dict[str, home_map.HomeMap]:
        """Return the known maps by service."""
        return dict(self._maps)

    def home_of(self, service: str, key: str) -> str | None:
        """Return the VM of a key's home, None while the map is unknown."""
        current = self._maps.get(service)
        return current.home_of(key) if current is not None else None

    def members(self, service: str) -> list[str]:
        """Return the VM names of the homes, empty while unknown."""
        current = self._maps.get(service)
        return current.member_names if current is not None else []

    def generate_key(
        self, service: str, workspace: str, is_live: Callable[[str], bool]
    ) -> str:
        """Return a new UUIDv7 key, if possible one whose home is live."""
        key = uuid7.generate(self._clock.wall_ms(), self._random)
        if not any(is_live(vm) for vm in self.members(service)):
            return key
        for _ in range(MAX_GENERATED_KEYS):
            home = self.home_of(service, scoped_key.scope(workspace, key))
            if home is not None and is_live(home):
                break
            key = uuid7.generate(self._clock.wall_ms(), self._random)
        return key

    def on_map_changed(self, item: messages_home.HomeMapChanged) -> None:
        """Store a map if its revision is higher; ignore an invalid one."""
        try:
            content = home_map.decode(item.content)
        except exceptions.HomeMapError:
            return
        known = self._maps.get(content.service)
        if known is None or content.revision > known.revision:
            self._maps[content.service] = content

    def on_not_home(self, peer: str, service: str) -> None:
        """Send the known map to an agent that answered NOT_HOME."""
        current = self._maps.get(service)
        if current is not None:
            self._outbox.send(
                peer,
                messages_home.HomeMapChanged(
                    service, current.revision, current.encode()
                ),
            )
