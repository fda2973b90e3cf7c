"""Read and write tenant configurations in the key-value service."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from balsamwall.configuration import configuration_document
from balsamwall.configuration import document_codec
from balsamwall.configuration import exceptions
from balsamwall.configuration import store_call
from balsamwall.results import exceptions as results_exceptions
from balsamwall.results import result_code

if TYPE_CHECKING:
    from collections.abc import Mapping

    from balsamwall.configuration import key_value_client
    from balsamwall.configuration import tenant_configuration
    from balsamwall.timing import clock as timing_clock

KEY_PREFIX = "balsamwall/configuration/"
# Timeout of one call to the key-value service.
CALL_TIMEOUT_MS = 2_000
RETRY_DELAY_MS = 250
# Limit for retrying a write and resolving lost responses.
WRITE_TIMEOUT_MS = 10_000

_CODE = result_code.ResultCode

Document = configuration_document.ConfigurationDocument
DocumentCallback = Callable[
    [Result[Document, results_exceptions.BalsamwallError]], None
]
ReadCallback = Callable[
    [Result[Document | None, results_exceptions.BalsamwallError]], None
]


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """Validated change of a tenant's configuration.

    Writing the same change identifier again has no further effect.
    """

    configuration: tenant_configuration.TenantConfiguration
    files: Mapping[str, str]
    change_id: str
    author: str
    base_revision: int  # revision that the change is based on, 0 for none
    rollback_of: int = 0
    # Highest revision known to this process. The new revision is above it,
    # so that revisions are not reused if the key-value service loses data.
    floor_revision: int = 0


def document_key(tenant: str) -> str:
    """Return the key of a tenant's document."""
    return KEY_PREFIX + tenant


class ConfigurationStore:
    """Store of one configuration document per tenant."""

    __slots__ = ("_clock", "_key_value")

    def __init__(
        self,
        key_value: key_value_client.KeyValueClient,
        clock: timing_clock.Clock,
    ) -> None:
        self._key_value = key_value
        self._clock = clock

    def read(self, tenant: str, callback: ReadCallback) -> None:
        """Read the document of a tenant; the result is None if absent.

        The result is a failure if the call fails or the stored document is
        invalid.
        """

        def on_result(
            result: store_call.GetResult,
        ) -> None:
            callback(result.bind(decode_entry))

        self.get(tenant, on_result)

    def get(
        self, tenant: str, callback: Callable[[store_call.GetResult], None]
    ) -> None:
        """Read the stored entry of a tenant within the call timeout."""
        call = store_call.StoreCall(self._clock, CALL_TIMEOUT_MS, callback)
        self._key_value.get(document_key(tenant), call.on_result)

    def write(self, change: Change, callback: DocumentCallback) -> None:
        """Write a change; retry failed calls for up to WRITE_TIMEOUT_MS.

        The result is a ConfigurationConflict if the stored revision is not
        the base revision of the change, or if another write came first.
        """
        _Write(self, change, callback).start()

    def swap(
        self,
        tenant: str,
        expected_revision: int,
        value: bytes,
        callback: Callable[[store_call.SwapResult], None],
    ) -> None:
        """Compare and swap within the call timeout.

        `expected_revision` is the revision of the key-value entry, not of
        the configuration; 0 means that the entry is absent.
        """
        call = store_call.StoreCall(self._clock, CALL_TIMEOUT_MS, callback)
        self._key_value.compare_and_swap(
            document_key(tenant), expected_revision, value, call.on_result
        )

    def watch(
        self, tenant: str, callback: key_value_client.WatchCallback
    ) -> key_value_client.Watch:
        """Deliver the document of a tenant now and after each write."""
        return self._key_value.watch(document_key(tenant), callback)

    @property
    def clock(self) -> timing_clock.Clock:
        """Return the clock that times the calls."""
        return self._clock


def decode_entry(
    entry: key_value_client.KeyValueEntry | None,
) -> Result[Document | None, results_exceptions.BalsamwallError]:
    """Decode a stored entry; the result is None if absent."""
    if entry is None or entry.value is None:
        return Success(None)
    try:
        return Success(document_codec.decode_document(entry.value))
    except exceptions.DocumentInvalid as error:
        return Failure(error)


class _Write:
    """Write that reads the document back when a response is lost."""

    __slots__ = (
        "_callback",
        "_change",
        "_document",
        "_expected_revision",
        "_may_have_swapped",
        "_started_ms",
        "_store",
        "_value",
    )

    def __init__(
        self,
        store: ConfigurationStore,
        change: Change,
        callback: DocumentCallback,
    ) -> None:
        self._store = store
        self._change = change
        self._callback = callback
        self._started_ms = store.clock.now_ms()
        # Revision of the key-value entry; -1 until the swap is prepared.
        self._expected_revision = -1
        self._value = b""
        self._document: Document | None = None
        self._may_have_swapped = False

    def start(self) -> None:
        """Read the document first, since the change may already be stored.

        Also called for each retry.
        """
        self._store.get(self._change.configuration.tenant, self._on_get)

    def _on_get(self, result: store_call.GetResult) -> None:
        if isinstance(result, Failure):
            self._retry(result.failure())
            return
        entry = result.unwrap()
        decoded = decode_entry(entry)
        if isinstance(decoded, Failure):
            self._callback(Failure(decoded.failure()))
            return
        current = decoded.unwrap()
        if current is not None:
            written = current.find_change(self._change.change_id)
            if written is not None:
                self._finish_already_written(current, written)
                return
        is_absent = entry is None or entry.value is None
        found_revision = 0 if entry is None or is_absent else entry.revision
        if self._expected_revision < 0:
            self._prepare(current, found_revision)
        elif found_revision == self._expected_revision:
            # The earlier swap may still be in transit. Repeating it is safe,
            # since only one of the two can match the expected revision.
            self._swap()
        else:
            self._fail_with_conflict(current)

    def _prepare(self, current: Document | None, found_revision: int) -> None:
        change = self._change
        stored = current.revision if current is not None else 0
        if stored != change.base_revision:
            self._fail_with_conflict(current)
            return
        revision = max(stored, change.floor_revision) + 1
        older = current.entries if current is not None else ()
        entries = (self._new_entry(revision), *older)
        document = configuration_document.ConfigurationDocument(
            dataclasses.replace(
                change.configuration,
                revision=revision,
                change_id=change.change_id,
            ),
            entries[: document_codec.MAX_HISTORY_ENTRIES],
        )
        try:
            self._value = document_codec.encode_document(document)
        except exceptions.DocumentInvalid as error:
            self._callback(Failure(error))
            return
        self._document = document
        self._expected_revision = found_revision
        self._swap()

    def _swap(self) -> None:
        self._store.swap(
            self._change.configuration.tenant,
            self._expected_revision,
            self._value,
            self._on_swap,
        )

    def _on_swap(self, result: store_call.SwapResult) -> None:
        if isinstance(result, Success) and self._document is not None:
            self._callback(Success(self._document))
        elif isinstance(result, Failure):
            error = result.failure()
            if error.code is _CODE.COMPARE_FAILED:
                # The comparison also fails if an earlier swap of this write
                # took effect. Reading the document again shows which it was.
                self.start()
            else:
                if not error.code.is_certified_not_run:
                    self._may_have_swapped = True
                self._retry(error)

    def _retry(self, error: results_exceptions.BalsamwallError) -> None:
        clock = self._store.clock
        if clock.now_ms() - self._started_ms < WRITE_TIMEOUT_MS:
            clock.call_later(RETRY_DELAY_MS, self.start)
            return
        if self._may_have_swapped:
            failure = results_exceptions.BalsamwallError(
                _CODE.CONFIGURATION_OUTCOME_UNKNOWN,
                f"change {self._change.change_id}: no response from the"
                " key-value service; send the same change identifier again"
                f" ({error})",
            )
        else:
            failure = results_exceptions.BalsamwallError(
                _CODE.CONFIGURATION_UNAVAILABLE,
                f"nothing was written: {error}",
            )
        self._callback(Failure(failure))

    def _finish_already_written(
        self,
        current: Document,
        written: configuration_document.DocumentEntry,
    ) -> None:
        if written is current.head:
            self._callback(Success(current))
            return
        configuration = dataclasses.replace(
            self._change.configuration,
            revision=written.revision,
            change_id=written.change_id,
        )
        index = current.entries.index(written)
        self._callback(
            Success(
                configuration_document.ConfigurationDocument(
                    configuration, current.entries[index:]
                )
            )
        )

    def _fail_with_conflict(self, current: Document | None) -> None:
        proposed = self._new_entry(self._change.base_revision + 1)
        self._callback(
            Failure(exceptions.ConfigurationConflict(current, proposed))
        )

    def _new_entry(
        self, revision: int
    ) -> configuration_document.DocumentEntry:
        change = self._change
        return configuration_document.DocumentEntry(
            revision=revision,
            change_id=change.change_id,
            author=change.author,
            changed_ms=self._store.clock.wall_ms(),
            files=change.files,
            rollback_of=change.rollback_of,
        )
