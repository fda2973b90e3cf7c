"""Index agents by cached prompt prefix."""

from __future__ import annotations

# Further agents that cache a prefix are not recorded.
MAX_AGENTS_PER_PREFIX = 8
# Each hash of a prefix covers a multiple of this number of tokens.
PREFIX_BLOCK_TOKENS = 64


class PrefixIndex:
    """Keep agents by the hash of a cached prefix, bounded per prefix.

    The hash at position i covers the first i + 1 blocks of a prompt, so the
    last hash that an agent has cached determines the length of its match.
    """

    __slots__ = ("_agents",)

    def __init__(self) -> None:
        self._agents: dict[int, dict[str, None]] = {}

    def replace(
        self, peer: str, old: frozenset[int], new: frozenset[int]
    ) -> None:
        """Replace the prefixes of an agent.

        `old` must be the set passed as `new` before, empty at first.
        """
        for prefix in old - new:
            agents = self._agents.get(prefix)
            if agents is not None:
                agents.pop(peer, None)
                if not agents:
                    del self._agents[prefix]
        for prefix in new - old:
            agents = self._agents.setdefault(prefix, {})
            if len(agents) < MAX_AGENTS_PER_PREFIX:
                agents[peer] = None

    def longest_match(self, prefixes: tuple[int, ...]) -> tuple[str, ...]:
        """Return the agents with the longest cached prefix of a prompt."""
        for prefix in reversed(prefixes):
            agents = self._agents.get(prefix)
            if agents:
                return tuple(agents)
        return ()


def matched_tokens(held: frozenset[int], prefixes: tuple[int, ...]) -> int:
    """Return the number of tokens in the longest cached prefix."""
    if not held:
        return 0
    for index in range(len(prefixes) - 1, -1, -1):
        if prefixes[index] in held:
            return (index + 1) * PREFIX_BLOCK_TOKENS
    return 0
