"""Choose the entry that grants quotas when the coordinator is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import messages_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.coordination import entry_features
    from balsamwall.coordination import quota_issuer
    from balsamwall.gateway import configuration_holder
    from balsamwall.protocol import message

    Send = Callable[[str, message.Message], None]


class StandbyChoice:
    """Choose the standby at the coordinator, and tell all entries.

    Load pattern: entries are replaced one after another. The standby that has
    been connected longest is the least likely to have just been started, and
    each change costs a message to all entries.
    """

    __slots__ = ("_configuration", "_features", "_quotas", "_send", "_vm")

    def __init__(
        self,
        configuration: configuration_holder.ConfigurationHolder,
        features: entry_features.FeatureTable,
        quotas: quota_issuer.QuotaIssuer,
        send: Send,
    ) -> None:
        self._configuration = configuration
        self._features = features
        self._quotas = quotas
        self._send = send
        self._vm = ""

    def restart(self) -> None:
        """Begin a term without a standby."""
        self._vm = ""

    def on_features(self, vm: str) -> None:
        """Tell an entry that accepts notices who the standby is."""
        if self._vm:
            self._send(vm, self._notice())

    def tick(self) -> None:
        """Update the choice and report the levels of quotas to the standby.

        Entries that connect at the same time are known by the next tick.
        """
        vm = self._choose()
        if vm != self._vm:
            self._vm = vm
            for entry in self._features.vms:
                self._send(entry, self._notice())
        if vm:
            item = messages_fleet.QuotaLevels(self._quotas.levels())
            self._send(vm, item)

    def _choose(self) -> str:
        """Return the VM of the standby, empty for none."""
        current = self._configuration.current
        if current is None or current.workspaces is None:
            return ""
        candidates = {
            vm: connected_ms
            for vm in self._features.vms
            if (connected_ms := self._features.connected_ms(vm)) is not None
        }
        if self._vm in candidates:
            return self._vm
        return min(candidates, key=lambda vm: (candidates[vm], vm), default="")

    def _notice(self) -> messages_fleet.StandbyNotice:
        return messages_fleet.StandbyNotice(
            self._vm, self._features.address(self._vm)
        )
