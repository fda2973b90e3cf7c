"""Handlers of the administration API for configurations."""

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
    """Return the configuration in force; from memory in an outage."""
    tenant = request.scope.tenant

    def on_read(
        result: Result[Document | None, results_exceptions.BalsamwallError],
    ) -> None:
        if isinstance(result, Failure):
            _show_replica(context, tenant, result.failure(), respond)
            return
        document = result.unwrap()
        if document is None:
            respond(
                administration_types.failure(
                    administration_bodies.nothing_stored(tenant)
                )
            )
            return
        body = administration_bodies.document_json(document)
        body["source"] = "key-value service"
        respond(administration_types.AdministrationResponse(200, body))

    context.store.read(tenant, on_read)


@route("GET", "configuration/history")
def history(context: Context, request: Request, respond: Respond) -> None:
    """Return the kept revisions, newest first, without their files."""

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
    """Return one kept revision with its files."""
    number = administration_bodies.revision(revision)

    def on_document(document: Document) -> None:
        entry = document.find_revision(number)
        if entry is None:
            respond(
                administration_types.failure(
                    administration_bodies.not_kept(number)
                )
            )
        else:
            body = {**entry.to_json(), "files": dict(entry.files)}
            respond(administration_types.AdministrationResponse(200, body))

    _read(context, request, respond, on_document)


@route("POST", "configuration/dry-run")
def dry_run(context: Context, request: Request, respond: Respond) -> None:
    """Validate files; return difference and steps and write nothing."""
    configuration = _parse(request, administration_bodies.files(request.body))
    if isinstance(configuration, Failure):
        respond(administration_bodies.invalid(configuration.failure()))
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
    """Return the difference between two kept revisions."""
    first = administration_bodies.revision(request.query.get("from", ""))
    second = administration_bodies.revision(request.query.get("to", ""))

    def on_document(document: Document) -> None:
        parsed = []
        for number in (first, second):
            entry = document.find_revision(number)
            if entry is None:
                respond(
                    administration_types.failure(
                        administration_bodies.not_kept(number)
                    )
                )
                return
            configuration = _parse(request, dict(entry.files))
            if isinstance(configuration, Failure):
                respond(administration_bodies.invalid(configuration.failure()))
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
    """Validate and accept files as the next revision."""
    files = administration_bodies.files(request.body)
    base = administration_types.body_field(request.body, "base_revision", int)
    change_id = administration_bodies.change_id(request.body)
    configuration = _parse(request, files)
    if isinstance(configuration, Failure):
        respond(administration_bodies.invalid(configuration.failure()))
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
    """Accept the files of a kept revision as a new, higher revision."""
    target = administration_types.body_field(request.body, "to_revision", int)
    base = administration_types.body_field(request.body, "base_revision", int)
    change_id = administration_bodies.change_id(request.body)

    def on_document(document: Document) -> None:
        entry = document.find_revision(target)
        if entry is None:
            respond(
                administration_types.failure(
                    administration_bodies.not_kept(target)
                )
            )
            return
        # Validated again: the fleet may have changed since then.
        configuration = _parse(request, dict(entry.files))
        if isinstance(configuration, Failure):
            respond(administration_bodies.invalid(configuration.failure()))
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
    """Return the steps of the latest change and their states."""
    tenant = request.scope.tenant
    if context.replica.current(tenant) is None:
        raise administration_bodies.nothing_stored(tenant)
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
        return administration_types.failure(error)
    current = error.current
    return administration_types.failure(
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
            respond(administration_types.failure(_unavailable(result)))
            return
        document = result.unwrap()
        if document is None:
            respond(
                administration_types.failure(
                    administration_bodies.nothing_stored(tenant)
                )
            )
        else:
            on_document(document)

    context.store.read(tenant, on_read)


def _show_replica(
    context: Context,
    tenant: str,
    error: results_exceptions.BalsamwallError,
    respond: Respond,
) -> None:
    configuration = context.replica.current(tenant)
    if configuration is None:
        respond(administration_types.failure(error))
        return
    body: dict[str, object] = {
        "revision": configuration.revision,
        "change_id": configuration.change_id,
        "source": f"memory of the entry, because {error.message}",
        "files": {},
        **administration_bodies.counts(configuration),
    }
    respond(administration_types.AdministrationResponse(200, body))


def _parse(
    request: Request, files: dict[str, str]
) -> Result[
    tenant_configuration.TenantConfiguration, exceptions.ConfigurationInvalid
]:
    return configuration_parser.try_parse(files, request.scope.tenant)


def _unavailable(
    result: Failure[results_exceptions.BalsamwallError],
) -> results_exceptions.BalsamwallError:
    error = result.failure()
    if isinstance(error, exceptions.DocumentInvalid):
        return error
    return results_exceptions.BalsamwallError(
        _CODE.CONFIGURATION_UNAVAILABLE, error.message
    )
