"""Decide whether keys may be checked against the configuration in force."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# After a pause of the process, keys are not checked for this time unless the
# configuration has been confirmed since. A read of the store takes less; with
# the store lost, the entry then goes on with the configuration that it holds.
RESUME_WAIT_MS = 1_000


class Confirmation(Protocol):
    """Tell when the configuration was last known to be the newest."""

    @property
    def at_ms(self) -> int | None:
        """Return the time of the last confirmation, None before the first."""

    @property
    def resumed_ms(self) -> int | None:
        """Return the end of the last pause of the process, if any."""


class ConfigurationFreshness:
    """Limit the age of the last confirmation of the configuration.

    Load pattern: a key is revoked while this entry is cut off from the store
    or paused, and its holder sends requests to it all the while. Without a
    maximum age, the entry goes on with the configuration that it holds.
    """

    __slots__ = (
        "_clock",
        "_confirmation",
        "_is_usable",
        "_log",
        "_max_age_ms",
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        confirmation: Confirmation,
        max_age_ms: int | None,
        log: decision_log.DecisionLog,
    ) -> None:
        self._log = log
        self._is_usable = True
        self._clock = clock
        self._confirmation = confirmation
        self._max_age_ms = max_age_ms

    def check(self) -> bool:
        """Return whether the configuration counts as the newest.

        A change of the result is logged.
        """
        is_usable = self._is_confirmed()
        if is_usable != self._is_usable:
            self._is_usable = is_usable
            self._log.write(
                "configuration_confirmed"
                if is_usable
                else "configuration_unconfirmed",
                confirmed_ms_ago=self._age_ms,
            )
        return is_usable

    @property
    def _age_ms(self) -> int | None:
        confirmed_ms = self._confirmation.at_ms
        if confirmed_ms is None:
            return None
        return self._clock.now_ms() - confirmed_ms

    def _is_confirmed(self) -> bool:
        now_ms = self._clock.now_ms()
        confirmed_ms = self._confirmation.at_ms
        resumed_ms = self._confirmation.resumed_ms
        if resumed_ms is not None and now_ms - resumed_ms < RESUME_WAIT_MS:
            if confirmed_ms is None or confirmed_ms < resumed_ms:
                return False
        if self._max_age_ms is None:
            return True
        age_ms = self._age_ms
        return age_ms is not None and age_ms <= self._max_age_ms
