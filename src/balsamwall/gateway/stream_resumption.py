"""Decide at which software version a stream may go on."""

from __future__ import annotations

import enum
from typing import Protocol
from typing import TYPE_CHECKING

from balsamwall.gateway import refusal
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from balsamwall.gateway import attempt as attempt_module
    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import incoming_request
    from balsamwall.gateway import request_dependencies
    from balsamwall.gateway import response_body
    from balsamwall.gateway import route as route_module
    from balsamwall.gateway import stream_origins
    from balsamwall.timing import clock as clock_module

_Code = result_code.ResultCode
# Longest wait for the origin of a stream. Those of other entries come by
# message within 100 ms from few entries, and within 1.2 s from 300.
ORIGIN_WAIT_MS = 300
ORIGIN_WAIT_PER_ENTRY_MS = 3
# Longest wait for a proof by a read of the store, which may be slow.
PROOF_WAIT_MS = 1_000
# Retry-After time where asking again does not help: the caller has to begin
# the stream anew.
NOT_RESUMABLE_RETRY_MS = 30_000


class ResumeOutcome(enum.Enum):
    """State what became of a stream that was resumed."""

    WENT_ON = "went_on"
    UNKNOWN_ORIGIN = "unknown_origin"
    AMBIGUOUS = "ambiguous"
    NO_SERVER = "no_server"


class ResumedRequest(Protocol):
    """Represent a request whose response may be a stream that is resumed."""

    request: incoming_request.IncomingRequest
    route: route_module.Route
    body: response_body.ResponseBody

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the response was relayed."""


def destinations(
    dependencies: request_dependencies.RequestDependencies,
    request: incoming_request.IncomingRequest,
    route: route_module.Route,
) -> Sequence[route_module.Destination]:
    """Return the destinations of a route at which a stream may go on.

    They are all of its destinations for a request that names no known stream.
    The service is known only of streams that this entry began.
    """
    found = route.destinations
    if len(found) == 1 or not request.resumed_attempt_id:
        return found
    origin = dependencies.origins.find(request.resumed_attempt_id)
    if origin is None:
        return found
    of_service = [item for item in found if item.service == origin.service]
    of_version = [
        item
        for item in found
        if any(
            server.record.software_version == origin.software_version
            for server in dependencies.directory.ready_servers(item.service)
        )
    ]
    return of_service or of_version or found


class StreamResumption:
    """Bind one request to the software version that began its stream.

    A request that begins a stream is bound when the head of its response is
    passed on; one that resumes a stream before it is sent.

    Load pattern: a part of the servers is replaced by a newer version, and
    callers resume many streams at once after a server or an entry is lost.
    """

    __slots__ = (
        "_dependencies",
        "_handler",
        "_has_other_version",
        "_on_decided",
        "_on_refused",
        "_required_version",
        "_service",
        "_timer",
    )

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        handler: ResumedRequest,
        service: str,
        on_decided: Callable[[], None],
        on_refused: Callable[[result_code.ResultCode, str, int], None],
    ) -> None:
        self._dependencies = dependencies
        self._handler = handler
        self._service = service
        self._on_decided = on_decided
        self._on_refused = on_refused
        self._required_version: str | None = None
        # Whether the response may have come from another version.
        self._has_other_version = False
        self._timer: clock_module.Timer | None = None

    @property
    def required_version(self) -> str | None:
        """Return the version that servers must have, None for any.

        It is empty if servers must state no version.
        """
        return self._required_version

    @property
    def bound_version(self) -> str | None:
        """Return the required version while the service has several."""
        if self._required_version is None:
            return None
        if not self._dependencies.versions.has_several(self._service):
            return None
        return self._required_version

    def start(self) -> None:
        """Admit the request, now or once its version is known; or refuse."""
        dependencies = self._dependencies
        if not self._is_resume:
            self._on_decided()
        elif self._origin is not None:
            self._bind_to_origin()
        elif not dependencies.versions.is_guarded(self._service):
            self._on_decided()
        elif not dependencies.directory.ready_servers(self._service):
            self._refuse_unready()
        else:
            self._find_version()

    def stop(self) -> None:
        """End the wait for the origin, if there is one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._dependencies.origins.stop_waiting(
                self._resumed_id, self._on_origin
            )

    def may_send(self, server: backend_directory.BackendServer) -> bool:
        """Return whether a server has the required version now.

        A permit, a wait or an assignment may have ended after a change.
        """
        required = self._required_version
        if required is None:
            return True
        known = self._dependencies.directory.get(server.server_id)
        return all(
            item.record.software_version == required
            for item in (server, known or server)
        )

    @property
    def is_ambiguous(self) -> bool:
        """Return whether servers of two versions may have written events."""
        if self._has_other_version:
            return True
        origin = self._origin
        return origin is not None and origin.software_version is None

    def refuse_ambiguous(self) -> None:
        """Refuse a stream that two versions may have written."""
        self._refuse(ResumeOutcome.AMBIGUOUS, "ambiguous")

    def refuse_no_server(self) -> None:
        """Refuse a request without a ready server of its version."""
        self._refuse_later(
            ResumeOutcome.NO_SERVER,
            f"no server of software version {self._required_version} is ready",
        )

    def on_send(self, server: backend_directory.BackendServer) -> None:
        """Record at which version a stream is about to begin.

        Other processes know it by the first event then, also if this one is
        killed just after. A retry at another version makes it ambiguous.
        """
        if self._handler.route.is_resumable and self._handler.route.is_stream:
            self._record(
                self._handler.request.attempt_id,
                server.record.software_version,
            )

    def on_head(self, attempt: attempt_module.Attempt) -> None:
        """Bind the request to the version at which a stream begins."""
        if not self._handler.body.is_event_stream:
            return
        if self._is_resume or self._handler.has_begun:
            self._count(ResumeOutcome.WENT_ON)
        version = attempt.record.software_version
        if self._handler.route.is_resumable:
            self._record(self._handler.request.attempt_id, version)
            if self._resumed_id and self._required_version is not None:
                # Known from the only version until now.
                self._record(self._resumed_id, version)
        self._required_version = version
        self._dependencies.running_streams.add(attempt, self)

    def on_other_version(self, software_version: str) -> None:
        """Mark the stream, whose events may be of either version."""
        self._has_other_version = True
        if self._handler.route.is_resumable:
            self._record(self._handler.request.attempt_id, software_version)
            if self._resumed_id:
                self._record(self._resumed_id, software_version)

    @property
    def _resumed_id(self) -> bytes:
        """Return the attempt that began the stream, empty if unnamed."""
        return self._handler.request.resumed_attempt_id

    @property
    def _is_resume(self) -> bool:
        """Return whether the caller resumes a stream.

        A route may have been resumable when the stream began.
        """
        request = self._handler.request
        return self._handler.route.is_stream and (
            request.resumes_after is not None or bool(self._resumed_id)
        )

    @property
    def _origin(self) -> stream_origins.StreamOrigin | None:
        """Return the origin of the resumed stream, None if it is unknown."""
        if not self._resumed_id:
            return None
        return self._dependencies.origins.find(self._resumed_id)

    def _bind_to_origin(self) -> None:
        origin = self._origin
        if origin is None or origin.software_version is None:
            self._refuse_undecided()
        else:
            self._bind(origin.software_version)

    def _bind(self, version: str) -> None:
        self._required_version = version
        self._on_decided()

    def _find_version(self) -> None:
        """Wait for the origin, or for a proof that there is one version."""
        dependencies = self._dependencies
        versions = dependencies.versions
        has_several = versions.has_several(self._service)
        if has_several and not self._resumed_id:
            self._refuse_undecided()
            return
        wait_ms = PROOF_WAIT_MS
        if has_several:
            per_entry_ms = ORIGIN_WAIT_PER_ENTRY_MS * dependencies.entries
            wait_ms = ORIGIN_WAIT_MS + per_entry_ms
        self._timer = dependencies.clock.call_later(wait_ms, self._on_origin)
        if self._resumed_id:
            dependencies.origins.wait(self._resumed_id, self._on_origin)
        if not has_several:
            dependencies.version_proof.confirm(self._on_confirmed)

    def _on_origin(self) -> None:
        """Decide after the wait for the origin, unless it was ended."""
        if self._timer is None:
            return
        self.stop()
        self._bind_to_origin()

    def _on_confirmed(self, is_read: bool) -> None:
        """Use the only version if the store has no other one by now."""
        if self._timer is None:
            return
        versions = self._dependencies.versions
        version = versions.only_version(self._service)
        if is_read and version is not None:
            self.stop()
            self._bind(version)
        elif not versions.has_several(self._service):
            self._dependencies.version_proof.confirm(self._on_confirmed)
        elif not self._resumed_id:
            self.stop()
            self._refuse_undecided()

    def _refuse_unready(self) -> None:
        """Refuse a request whose service has no server at all."""
        self._count(ResumeOutcome.NO_SERVER)
        self._on_refused(
            _Code.NO_REPLICA,
            "no server of the service is ready",
            refusal.RETRY_AFTER_MS,
        )

    def _refuse_undecided(self) -> None:
        """Refuse a stream whose version is not known, or not for certain."""
        if self.is_ambiguous:
            self.refuse_ambiguous()
        elif self._dependencies.versions.has_several(self._service):
            self._refuse(ResumeOutcome.UNKNOWN_ORIGIN, "unknown")
        else:
            # The store may be read again soon.
            self._refuse(
                ResumeOutcome.UNKNOWN_ORIGIN,
                "not confirmed by the store",
                refusal.RETRY_AFTER_MS,
            )

    def _refuse(
        self,
        outcome: ResumeOutcome,
        what: str,
        retry_after_ms: int = NOT_RESUMABLE_RETRY_MS,
    ) -> None:
        self._count(outcome)
        self._on_refused(
            _Code.STREAM_NOT_RESUMABLE,
            f"the software version that began the stream is {what}",
            retry_after_ms,
        )

    def _refuse_later(self, outcome: ResumeOutcome, detail: str) -> None:
        """Refuse a stream whose version is known, until servers change."""
        self._count(outcome)
        self._on_refused(
            _Code.STREAM_NOT_RESUMABLE,
            detail,
            self._dependencies.wait_policy.retry_after_ms(None),
        )

    def _record(self, attempt_id: bytes, version: str) -> None:
        self._dependencies.origins.record(attempt_id, self._service, version)

    def _count(self, outcome: ResumeOutcome) -> None:
        self._dependencies.metrics.count_resume(
            is_by_caller=not self._handler.has_begun, outcome=outcome.value
        )
