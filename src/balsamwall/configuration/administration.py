"""Dispatch of the administration API, independent of the transport."""

from __future__ import annotations

from balsamwall.configuration import administration_configuration
from balsamwall.configuration import administration_context
from balsamwall.configuration import administration_fleet
from balsamwall.configuration import administration_routes
from balsamwall.configuration import administration_types
from balsamwall.results import exceptions
from balsamwall.results import result_code

_CODE = result_code.ResultCode

# Importing these modules registers their routes.
HANDLER_MODULES = (administration_configuration, administration_fleet)


class Administration(administration_context.AdministrationContext):
    """Check the scope and path of requests and call their handlers."""

    __slots__ = ()

    def handle(
        self,
        request: administration_types.AdministrationRequest,
        respond: administration_types.Respond,
    ) -> None:
        """Handle a request; call `respond` exactly once."""
        try:
            self._dispatch(request, respond)
        except exceptions.BalsamwallError as error:
            respond(administration_types.error_response(error))

    def _dispatch(
        self,
        request: administration_types.AdministrationRequest,
        respond: administration_types.Respond,
    ) -> None:
        error = administration_types.AdministrationError
        tenant, route, arguments, is_path_known = administration_routes.find(
            request.method, request.path
        )
        if not is_path_known:
            raise error(_CODE.UNKNOWN_PATH, "no such path")
        scope = request.scope
        # Check the scope before the method, so that a key reveals nothing
        # about other tenants.
        if tenant != scope.tenant:
            raise error(_CODE.FORBIDDEN, "the key belongs to another tenant")
        if route is None:
            raise error(
                _CODE.METHOD_NOT_ALLOWED, f"{request.method} is not served"
            )
        if route.needs_write and not scope.may_write:
            raise error(_CODE.FORBIDDEN, "the key may only read")
        route.handler(self, request, respond, **arguments)
