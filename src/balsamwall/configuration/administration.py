"""Administration API of an entry without sockets."""

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
    """Check scope and path of a request and pass it to its handler."""

    __slots__ = ()

    def handle(
        self,
        request: administration_types.AdministrationRequest,
        respond: administration_types.Respond,
    ) -> None:
        """Answer a request with exactly one call of respond."""
        try:
            self._dispatch(request, respond)
        except exceptions.BalsamwallError as error:
            respond(administration_types.failure(error))

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
        # The scope comes before the method: a key learns nothing about
        # other tenants.
        if tenant != scope.tenant:
            raise error(_CODE.FORBIDDEN, "the key belongs to another tenant")
        if route is None:
            raise error(
                _CODE.METHOD_NOT_ALLOWED, f"{request.method} is not served"
            )
        if route.needs_write and not scope.may_write:
            raise error(_CODE.FORBIDDEN, "the key may only read")
        route.handler(self, request, respond, **arguments)
