"""Track which software versions the servers of a service have."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import configuration_holder


class SoftwareVersions:
    """Decide which servers may begin streams, and what proves a version.

    The store has a record of the versions of each service whose streams can
    be resumed. A server is used only once its version is recorded, so that
    after a restart of all entries the record names every version that can
    have begun a stream. What the directory holds then proves nothing: the
    servers of another version may have left just before.

    A server that may be used stays so while its process is listed, also when
    the record is lost, goes back to an older copy, or is needed only since a
    new configuration. Otherwise the loss of one key would stop a service. The
    version is missing then and is recorded again within a second, and until
    then the record proves nothing beside it.

    Load pattern: a part of the servers is replaced by a newer version under
    load, and entries are restarted meanwhile. A service with one version pays
    for no further record.
    """

    __slots__ = (
        "_admitted",
        "_configuration",
        "_directory",
        "_mixed_listeners",
        "_recorded",
    )

    def __init__(
        self,
        configuration: configuration_holder.ConfigurationHolder,
        directory: backend_directory.BackendDirectory,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._recorded: dict[str, frozenset[str]] = {}
        self._mixed_listeners: list[Callable[[str], None]] = []
        # Identifiers of the servers that may be used.
        self._admitted: set[str] = set()
        directory.add_listener(self._on_server, self._on_server_removed)

    @property
    def recorded(self) -> Mapping[str, frozenset[str]]:
        """Return the versions in the record of the store, by service."""
        return self._recorded

    @property
    def has_mixed(self) -> bool:
        """Return whether streams of any service may have several versions."""
        return any(len(found) > 1 for found in self._recorded.values())

    def add_mixed_listener(self, listener: Callable[[str], None]) -> None:
        """Call back with a service that has got a second version."""
        self._mixed_listeners.append(listener)

    def set_recorded(self, recorded: Mapping[str, frozenset[str]]) -> None:
        """Set what the record of the store holds now."""
        before = {name for name in self._recorded if self.is_mixed(name)}
        self._recorded = {
            service: versions
            for service, versions in recorded.items()
            if versions
        }
        # Before requests that waited are sent to servers.
        for service in self._recorded:
            if self.is_mixed(service) and service not in before:
                for listener in self._mixed_listeners:
                    listener(service)
        self._update_servers()

    def on_configuration(self) -> None:
        """Apply which services have resumable streams now."""
        self._update_servers()

    def is_guarded(self, service: str) -> bool:
        """Return whether streams of a service are bound to a version."""
        return service in self._recorded or self._has_resumable(service)

    def is_mixed(self, service: str) -> bool:
        """Return whether streams of several versions may be open."""
        return len(self._recorded.get(service, ())) > 1

    def has_several(self, service: str) -> bool:
        """Return whether the record and the directory hold two versions."""
        return len(self._known(service)) > 1

    def only_version(self, service: str) -> str | None:
        """Return the version of all streams of a service, None if unknown.

        It is empty if no server states a version.
        """
        versions = self._known(service)
        if len(versions) != 1:
            return None
        (version,) = versions
        is_proven = not version or service in self._recorded
        return version if is_proven else None

    def present(self, service: str) -> frozenset[str]:
        """Return the versions of the known servers of a service.

        The empty version is that of servers that state none.
        """
        return frozenset(
            server.record.software_version
            for server in self._directory.servers_of(service)
        )

    def missing(self) -> dict[str, frozenset[str]]:
        """Return the versions that must be recorded, by service.

        Servers that state no version need no record.
        """
        found = {}
        for service in self._resumable_services():
            versions = self.present(service) - {""}
            versions -= self._recorded.get(service, frozenset())
            if versions:
                found[service] = versions
        return found

    def _known(self, service: str) -> frozenset[str]:
        """Return the versions in the record and in the directory."""
        recorded = self._recorded.get(service, frozenset())
        return recorded | self.present(service)

    def _resumable_services(self) -> frozenset[str]:
        current = self._configuration.current
        return current.resumable_services if current else frozenset()

    def _has_resumable(self, service: str) -> bool:
        return service in self._resumable_services()

    def _update_servers(self) -> None:
        # Listeners send requests, after which a server may be removed.
        for server in list(self._directory.all_servers()):
            if self._directory.get(server.server_id) is server:
                self._directory.set_version_recorded(
                    server, self._admit(server)
                )

    def _on_server(self, server: backend_directory.BackendServer) -> None:
        """Set whether a server may be used, before others see the change."""
        server.is_version_recorded = self._admit(server)

    def _on_server_removed(
        self, server: backend_directory.BackendServer
    ) -> None:
        self._admitted.discard(server.server_id)

    def _admit(self, server: backend_directory.BackendServer) -> bool:
        """Return whether a server may be used, from now on if it may."""
        if server.server_id not in self._admitted and self._is_safe(server):
            self._admitted.add(server.server_id)
        return server.server_id in self._admitted

    def _is_safe(self, server: backend_directory.BackendServer) -> bool:
        """Return whether no stream of a server can be without a proof."""
        service = server.record.service
        version = server.record.software_version
        if not version or version in self._recorded.get(service, ()):
            return True
        # Whether its streams can be resumed is unknown at first.
        is_configured = self._configuration.current is not None
        return is_configured and not self._has_resumable(service)
