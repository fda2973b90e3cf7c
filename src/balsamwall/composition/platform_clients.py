"""Construction of the clients for the platform's services."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from balsamwall.composition import vm_feed
from balsamwall.configuration import configuration_store
from balsamwall.infrastructure import etcd_client
from balsamwall.infrastructure import vm_list_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.settings import daemon_settings
    from balsamwall.timing import clock as clock_module


class PlatformClients:
    """Clients that all units of one process share."""

    __slots__ = ("feed", "key_value", "store", "vm_list")

    def __init__(
        self,
        reactor: Any,
        clock: clock_module.Clock,
        settings: daemon_settings.DaemonSettings,
        count: Callable[[str], None],
    ) -> None:
        self.key_value = etcd_client.EtcdClient(
            reactor,
            clock,
            [f"http://{item.host}:{item.port}" for item in settings.key_value],
        )
        self.store = configuration_store.ConfigurationStore(
            self.key_value, clock
        )
        address = settings.vm_list
        self.vm_list = vm_list_client.VmListClient(
            reactor, clock, f"http://{address.host}:{address.port}"
        )
        self.feed = vm_feed.VmFeed(count)
