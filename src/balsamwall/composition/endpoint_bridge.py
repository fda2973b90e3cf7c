"""Adapter from the HTTP administration API to Administration."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from balsamwall.configuration import administration
from balsamwall.configuration import administration_types
from balsamwall.results import exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from balsamwall.configuration import configuration_replica
    from balsamwall.configuration import configuration_store
    from balsamwall.entry import administration as entry_administration
    from balsamwall.settings import daemon_settings
    from balsamwall.timing import clock as clock_module

# Index of the tenant in the parts of /v1/tenants/{tenant}/...
_TENANT_INDEX = 3


class EndpointBridge:
    """Pass calls to Administration with the scope of the caller's key."""

    __slots__ = ("_administration",)

    def __init__(
        self,
        clock: clock_module.Clock,
        store: configuration_store.ConfigurationStore,
        replica: configuration_replica.ConfigurationReplica,
        fleet: administration_types.FleetState,
    ) -> None:
        self._administration = administration.Administration(
            clock, store, replica, fleet
        )

    def __call__(
        self,
        key: daemon_settings.AdministrationKey,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        reply: entry_administration.Reply,
    ) -> None:
        """Handle a call; raise BalsamwallError if the body is not JSON."""
        tenant = key.tenant
        parts = path.split("/")
        if tenant == "*" and len(parts) > _TENANT_INDEX:
            tenant = parts[_TENANT_INDEX]
        request = administration_types.AdministrationRequest(
            method,
            path,
            query,
            _parse(body),
            administration_types.AdministrationScope(
                tenant, key.access == "write", key.name
            ),
        )
        self._administration.handle(
            request, lambda answer: reply.send(answer.body, answer.status)
        )


def _parse(body: bytes) -> object:
    if not body:
        return None
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise exceptions.BalsamwallError(
            result_code.ResultCode.MALFORMED_REQUEST,
            f"body is not JSON: {error}",
        ) from error
