"""Look up models and adapters in the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.residency import model_copy

if TYPE_CHECKING:
    from balsamwall.configuration import tenant_configuration


class ModelCatalogue:
    """Look up configured names, versions and sizes."""

    __slots__ = ("_configuration", "_names")

    def __init__(self) -> None:
        self._configuration: tenant_configuration.TenantConfiguration | None
        self._configuration = None
        self._names: frozenset[str] = frozenset()

    @property
    def kv_reserve(self) -> float:
        """Return the share of the memory reserved for the KV cache."""
        configuration = self._configuration
        if configuration is None or configuration.fleet is None:
            return 0.0
        return configuration.fleet.kv_reserve

    def set_configuration(
        self, configuration: tenant_configuration.TenantConfiguration
    ) -> None:
        """Replace the active configuration."""
        self._configuration = configuration
        self._names = frozenset(configuration.configured_names())

    def is_configured(self, name: str) -> bool:
        """Return whether a name is configured; False while unknown."""
        return name in self._names

    def may_be_configured(self, name: str) -> bool:
        """Return whether a name is configured; True while unknown."""
        return self._configuration is None or name in self._names

    def find_spec(self, name: str) -> model_copy.CopySpec | None:
        """Return the spec of the configured version of a name, or None."""
        if self._configuration is None:
            return None
        model = self._configuration.models.get(name)
        if model is not None:
            return model_copy.CopySpec(
                name, "model", model.version, "", model.weight_bytes
            )
        adapter = self._configuration.adapters.get(name)
        if adapter is not None:
            return model_copy.CopySpec(
                name,
                "adapter",
                adapter.version,
                adapter.base,
                adapter.weight_bytes,
            )
        return None

    def largest_weight_bytes(self) -> int | None:
        """Return the largest size in bytes, None without a configuration."""
        if self._configuration is None:
            return None
        models = self._configuration.models.values()
        adapters = self._configuration.adapters.values()
        sizes = [model.weight_bytes for model in models]
        sizes += [adapter.weight_bytes for adapter in adapters]
        return max(sizes, default=0)
