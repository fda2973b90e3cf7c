"""Agents by cached prompt prefix."""

from __future__ import annotations

HOLDERS_PER_PREFIX = 8
PREFIX_BLOCK_TOKENS = 64


class PrefixIndex:
    """Holders of prompt prefixes, bounded per prefix.

    The hash at position i covers the first i + 1 blocks of a prompt, so the
    last hash that an agent holds tells the length of its match.
    """

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        self._holders: dict[int, dict[str, None]] = {}

    def replace(
        self, peer: str, old: frozenset[int], new: frozenset[int]
    ) -> None:
        """Replace the prefixes of an agent."""
        for prefix in old - new:
            holders = self._holders.get(prefix)
            if holders is not None:
                holders.pop(peer, None)
                if not holders:
                    del self._holders[prefix]
        for prefix in new - old:
            holders = self._holders.setdefault(prefix, {})
            if len(holders) < HOLDERS_PER_PREFIX:
                holders[peer] = None

    def longest(self, prefixes: tuple[int, ...]) -> tuple[str, ...]:
        """Return the agents that hold the longest known prefix."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix)
            if holders:
                return tuple(holders)
        return ()


def matched_tokens(held: frozenset[int], prefixes: tuple[int, ...]) -> int:
    """Return the tokens of the longest prefix that an agent holds."""
    if not held:
        return 0
    for index in range(len(prefixes) - 1, -1, -1):
        if prefixes[index] in held:
            return (index + 1) * PREFIX_BLOCK_TOKENS
    return 0
