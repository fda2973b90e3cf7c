"""Software versions whose streams can't be resumed any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.gateway import software_versions
    from balsamwall.timing import clock as clock_module

# After a longer gap between observations, a server of a version may have come
# and gone unseen.
MAX_GAP_MS = 1_000


class VersionRetirement:
    """Observe for how long recorded versions have had no server.

    Load pattern: the servers of a service are replaced one by one, and those
    of the old version leave last. A version is retired only after its streams
    have lapsed, and while another one serves: if all servers of a service are
    gone, those that return may be of any version.
    """

    __slots__ = (
        "_absent_since_ms",
        "_clock",
        "_lifetime_ms",
        "_observed_ms",
        "_versions",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        versions: software_versions.SoftwareVersions,
        lifetime_ms: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._versions = versions
        self._lifetime_ms = lifetime_ms
        self._observed_ms = clock.now_ms()
        # By service and version.
        self._absent_since_ms: dict[tuple[str, str], int] = {}

    def observe(self) -> dict[str, frozenset[str]]:
        """Observe the servers; return the versions to retire, by service."""
        now_ms = self._clock.now_ms()
        if now_ms - self._observed_ms > MAX_GAP_MS:
            self.reset()
        self._observed_ms = now_ms
        absent = self._absent()
        self._absent_since_ms = {
            key: self._absent_since_ms.get(key, now_ms) for key in absent
        }
        lifetime_ms = self._lifetime_ms()
        retired: dict[str, frozenset[str]] = {}
        for (service, version), since_ms in self._absent_since_ms.items():
            if now_ms - since_ms >= lifetime_ms:
                known = retired.get(service, frozenset())
                retired[service] = known | {version}
        return retired

    def reset(self) -> None:
        """Begin the observation again, after an interruption."""
        self._absent_since_ms.clear()

    def _absent(self) -> list[tuple[str, str]]:
        """Return recorded versions without a server beside one that serves."""
        absent = []
        for service, recorded in self._versions.recorded.items():
            if not self._versions.is_mixed(service):
                continue
            present = self._versions.present(service)
            if present & recorded:
                absent += [(service, name) for name in recorded - present]
        return absent
