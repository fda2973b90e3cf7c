"""Administration API handlers for configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure

from balsamwall.configuration import administration_bodies
from balsamwall.configuration import administration_routes
from balsamwall.configuration import administration_types
from balsamwall.configuration import configuration_parser
from balsamwall.configuration import configuration_store
from balsamwall.configuration import exceptions
from balsamwall.results import exceptions as results_exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from balsamwall.configuration import administration_context
    from balsamwall.configuration import configuration_document
    from balsamwall.configuration import tenant_configuration

    Context = administration_context.AdministrationContext
    Document = configuration_document.ConfigurationDocument
    Request = administration_types.AdministrationRequest
    Respond = administration_types.Respond

_CODE = result_code.ResultCode

route = administration_routes.route


@route("GET", "configuration")
def show(context: Context, request: Request, respond: Respond) -> None:
    """Return the stored configuration, or the active one in an outage.

    The active configuration is given without its files.
    """
    tenant = request.scope.tenant

    def on_read(
        result: Result[Document | None, results_exceptions.BalsamwallError],
    ) -> None:
        if isinstance(result, Failure):
            _respond_from_replica(context, tenant, result.failure(), respond)
            return
        document = result.unwrap()
        if document is None:
            respond(
                administration_types.error_response(
                    administration_bodies.no_configuration_error(tenant)
                )
            )
            return
        body = administration_bodies.document_json(document)
        body["source"] = "key-value service"
        respond(administration_types.AdministrationResponse(200, body))

    context.store.read(tenant, on_read)


@route("GET", "configuration/history")
def history(context: Context, request: Request, respond: Respond) -> None:
    """Return the revision history, newest first, without files."""

    def on_document(document: Document) -> None:
        entries = [entry.to_json() for entry in document.entries]
        respond(
            administration_types.AdministrationResponse(
                200, {"entries": entries}
            )
        )

    _read(context, request, respond, on_document)


@route("GET", "configuration/revisions/{revision}")
def show_revision(
    context: Context, request: Request, respond: Respond, revision: str
) -> None:
    """Return one revision of the history with its files."""
    number = administration_bodies.parse_revision(revision)

    def on_document(document: Document) -> None:
        entry = document.find_revision(number)
        if entry is None:
            respond(
                administration_types.error_response(
                    administration_bodies.unknown_revision_error(number)
                )
            )
        else:
            body = {**entry.to_json(), "files": dict(entry.files)}
            respond(administration_types.AdministrationResponse(200, body))

    _read(context, request, respond, on_document)


@route("POST", "configuration/dry-run")
def dry_run(context: Context, request: Request, respond: Respond) -> None:
    """Validate files and return the changes without writing them.

    The changes are those from the active configuration of this entry.
    """
    configuration = _parse(
        request, administration_bodies.parse_files(request.body)
    )
    if isinstance(configuration, Failure):
        respond(
            administration_bodies.invalid_response(configuration.failure())
        )
        return
    new = configuration.unwrap()
    old = context.replica.current(request.scope.tenant)
    respond(
        administration_types.AdministrationResponse(
            200, administration_bodies.change_json(old, new)
        )
    )


@route("GET", "configuration/diff")
def diff(context: Context, request: Request, respond: Respond) -> None:
    """Return the difference between two revisions of the history."""
    first = administration_bodies.parse_revision(request.query.get("from", ""))
    second = administration_bodies.parse_revision(request.query.get("to", ""))

    def on_document(document: Document) -> None:
        parsed = []
        for number in (first, second):
            entry = document.find_revision(number)
            if entry is None:
                respond(
                    administration_types.error_response(
                        administration_bodies.unknown_revision_error(number)
                    )
                )
                return
            configuration = _parse(request, dict(entry.files))
            if isinstance(configuration, Failure):
                respond(
                    administration_bodies.invalid_response(
                        configuration.failure()
                    )
                )
                return
            parsed.append(configuration.unwrap())
        respond(
            administration_types.AdministrationResponse(
                200, administration_bodies.change_json(parsed[0], parsed[1])
            )
        )

    _read(context, request, respond, on_document)


@route("POST", "configuration", needs_write=True)
def apply(context: Context, request: Request, respond: Respond) -> None:
    """Validate files and store them as the next revision."""
    files = administration_bodies.parse_files(request.body)
    base = administration_types.body_field(request.body, "base_revision", int)
    change_id = administration_bodies.parse_change_id(request.body)
    configuration = _parse(request, files)
    if isinstance(configuration, Failure):
        respond(
            administration_bodies.invalid_response(configuration.failure())
        )
        return
    _write(
        context,
        request,
        respond,
        configuration_store.Change(
            configuration=configuration.unwrap(),
            files=files,
            change_id=change_id,
            author=request.scope.author,
            base_revision=base,
            floor_revision=context.replica.revision(request.scope.tenant),
        ),
    )


@route("POST", "configuration/rollback", needs_write=True)
def rollback(context: Context, request: Request, respond: Respond) -> None:
    """Store the files of an earlier revision as the next revision."""
    target = administration_types.body_field(request.body, "to_revision", int)
    base = administration_types.body_field(request.body, "base_revision", int)
    change_id = administration_bodies.parse_change_id(request.body)

    def on_document(document: Document) -> None:
        entry = document.find_revision(target)
        if entry is None:
            respond(
                administration_types.error_response(
                    administration_bodies.unknown_revision_error(target)
                )
            )
            return
        # Validate again, since the fleet may have changed.
        configuration = _parse(request, dict(entry.files))
        if isinstance(configuration, Failure):
            respond(
                administration_bodies.invalid_response(configuration.failure())
            )
            return
        _write(
            context,
            request,
            respond,
            configuration_store.Change(
                configuration=configuration.unwrap(),
                files=entry.files,
                change_id=change_id,
                author=request.scope.author,
                base_revision=base,
                rollback_of=target,
                floor_revision=context.replica.revision(request.scope.tenant),
            ),
        )

    _read(context, request, respond, on_document)


@route("GET", "rollout")
def rollout(context: Context, request: Request, respond: Respond) -> None:
    """Return the steps of the current roll-out with their states."""
    tenant = request.scope.tenant
    if context.replica.current(tenant) is None:
        raise administration_bodies.no_configuration_error(tenant)
    steps = context.tracker.current(tenant)
    respond(
        administration_types.AdministrationResponse(
            200,
            {
                "revision": context.replica.revision(tenant),
                "is_done": all(s.state.value == "done" for s in steps),
                "steps": [step.to_json() for step in steps],
            },
        )
    )


def _write(
    context: Context,
    request: Request,
    respond: Respond,
    change: configuration_store.Change,
) -> None:
    old = context.replica.current(request.scope.tenant)

    def on_written(
        result: Result[Document, results_exceptions.BalsamwallError],
    ) -> None:
        if isinstance(result, Failure):
            respond(_write_failure(result.failure()))
            return
        document = result.unwrap()
        context.replica.offer(document.configuration)
        body = {
            **document.head.to_json(),
            **administration_bodies.change_json(old, document.configuration),
        }
        respond(administration_types.AdministrationResponse(200, body))

    context.store.write(change, on_written)


def _write_failure(
    error: results_exceptions.BalsamwallError,
) -> administration_types.AdministrationResponse:
    if not isinstance(error, exceptions.ConfigurationConflict):
        return administration_types.error_response(error)
    current = error.current
    return administration_types.error_response(
        error,
        current=administration_bodies.document_json(current)
        if current is not None
        else None,
        proposed={
            **error.proposed.to_json(),
            "files": dict(error.proposed.files),
        },
    )


def _read(
    context: Context,
    request: Request,
    respond: Respond,
    on_document: Callable[[Document], None],
) -> None:
    tenant = request.scope.tenant

    def on_read(
        result: Result[Document | None, results_exceptions.BalsamwallError],
    ) -> None:
        if isinstance(result, Failure):
            respond(
                administration_types.error_response(_to_unavailable(result))
            )
            return
        document = result.unwrap()
        if document is None:
            respond(
                administration_types.error_response(
                    administration_bodies.no_configuration_error(tenant)
                )
            )
        else:
            on_document(document)

    context.store.read(tenant, on_read)


def _respond_from_replica(
    context: Context,
    tenant: str,
    error: results_exceptions.BalsamwallError,
    respond: Respond,
) -> None:
    configuration = context.replica.current(tenant)
    if configuration is None:
        respond(administration_types.error_response(error))
        return
    body: dict[str, object] = {
        "revision": configuration.revision,
        "change_id": configuration.change_id,
        "source": f"memory of the entry, because {error.message}",
        "files": {},
        **administration_bodies.part_counts(configuration),
    }
    respond(administration_types.AdministrationResponse(200, body))


def _parse(
    request: Request, files: dict[str, str]
) -> Result[
    tenant_configuration.TenantConfiguration, exceptions.ConfigurationInvalid
]:
    return configuration_parser.try_parse(files, request.scope.tenant)


def _to_unavailable(
    result: Failure[results_exceptions.BalsamwallError],
) -> results_exceptions.BalsamwallError:
    error = result.failure()
    if isinstance(error, exceptions.DocumentInvalid):
        return error
    return results_exceptions.BalsamwallError(
        _CODE.CONFIGURATION_UNAVAILABLE, error.message
    )
