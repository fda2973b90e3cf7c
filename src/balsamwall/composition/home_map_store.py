"""Storage of key home maps in the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns import result

from balsamwall.idempotency import exceptions
from balsamwall.idempotency import home_map
from balsamwall.idempotency import map_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamwall.infrastructure import key_value_service
    from balsamwall.results import result_code


class HomeMapStore:
    """MapStore with one key-value entry per service of a tenant."""

    __slots__ = ("_key_value", "_tenant")

    def __init__(
        self, key_value: key_value_service.KeyValueService, tenant: str
    ) -> None:
        self._key_value = key_value
        self._tenant = tenant

    def read(
        self,
        service: str,
        callback: Callable[
            [
                result.Result[
                    map_store.StoredMap | None, result_code.ResultCode
                ]
            ],
            None,
        ],
    ) -> None:
        """Read the map of a service; call back with None if there is none."""

        def on_get(outcome: key_value_service.GetResult) -> None:
            if not isinstance(outcome, result.Success):
                callback(result.Failure(outcome.failure()))
                return
            found = outcome.unwrap()
            if found is None or found.value is None:
                callback(result.Success(None))
                return
            try:
                content = home_map.decode(found.value)
            except exceptions.HomeMapError as error:
                callback(result.Failure(error.code))
                return
            stored = map_store.StoredMap(found.revision, content)
            callback(result.Success(stored))

        self._key_value.get(self._key(service), on_get)

    def write(
        self,
        service: str,
        expected_version: int,
        content: home_map.HomeMap,
        callback: Callable[[result.Result[int, result_code.ResultCode]], None],
    ) -> None:
        """Replace the map if its version matches; 0 means no stored map."""
        self._key_value.compare_and_swap(
            self._key(service), expected_version, content.encode(), callback
        )

    def _key(self, service: str) -> str:
        return f"balsamwall/homes/{self._tenant}/{service}"
