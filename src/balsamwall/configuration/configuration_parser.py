"""Parse the configuration files of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from balsamwall.configuration import exceptions
from balsamwall.configuration import ini_file
from balsamwall.configuration import memory_check
from balsamwall.configuration import name_pattern
from balsamwall.configuration import section_builders
from balsamwall.configuration import template_expander
from balsamwall.configuration import tenant_configuration
from balsamwall.configuration import workspace_builder

if TYPE_CHECKING:
    from collections.abc import Mapping

SECTION_KINDS = (
    "tenant",
    "fleet",
    "weight_store",
    "model",
    "adapter",
    "service",
    "template",
    "workspace",
)
_SINGLE_KINDS = ("tenant", "fleet", "weight_store")


def parse(
    files: Mapping[str, str],
    tenant: str = "",
    fleet: tenant_configuration.FleetSpec | None = None,
) -> tenant_configuration.TenantConfiguration:
    """Parse and validate files, given as text by name.

    The result has revision 0 and an empty change identifier; the store sets
    both when it writes the configuration. A non-empty `tenant` must equal
    the name in the [tenant] section. The `fleet` argument takes precedence
    over the [fleet] section.

    Raise ConfigurationInvalid with all problems found. The checks for
    distinct keys, distinct names and sufficient memory run only if there
    are no other problems.
    """
    parser = _Parser(files)
    result = parser.build(tenant, fleet)
    if parser.problems:
        # A template is checked once per workspace; report each problem once.
        raise exceptions.ConfigurationInvalid(
            list(dict.fromkeys(parser.problems))
        )
    return result


def try_parse(
    files: Mapping[str, str],
    tenant: str = "",
    fleet: tenant_configuration.FleetSpec | None = None,
) -> Result[
    tenant_configuration.TenantConfiguration, exceptions.ConfigurationInvalid
]:
    """Parse and validate files like `parse`, but return a Result."""
    try:
        return Success(parse(files, tenant, fleet))
    except exceptions.ConfigurationInvalid as error:
        return Failure(error)


class _Parser:
    """Sections and problems of one set of files."""

    __slots__ = ("_files", "_sections", "problems")

    def __init__(self, files: Mapping[str, str]) -> None:
        self._files = files
        self.problems: list[exceptions.Problem] = []
        self._sections: dict[str, list[ini_file.Section]] = {
            kind: [] for kind in SECTION_KINDS
        }
        for file, text in files.items():
            for section in ini_file.read_sections(file, text, self.problems):
                self._add(section)

    def build(
        self, tenant: str, fleet: tenant_configuration.FleetSpec | None
    ) -> tenant_configuration.TenantConfiguration:
        """Build each part after the parts that it refers to."""
        name = self._build_tenant(tenant)
        models = self._build_models()
        adapters = self._build_adapters(models)
        services = {
            section.name: section_builders.build_service(section)
            for section in self._named_sections("service")
        }
        known = workspace_builder.KnownNames(
            tuple(models), tuple(adapters), tuple(services)
        )
        workspaces = self._build_workspaces(known)
        fleets = self._sections["fleet"]
        if fleets:
            section_fleet = section_builders.build_fleet(fleets[0])
            fleet = fleet or section_fleet
        stores = self._sections["weight_store"]
        result = tenant_configuration.TenantConfiguration(
            tenant=name,
            revision=0,
            change_id="",
            models=models,
            adapters=adapters,
            services=services,
            workspaces=workspaces,
            fleet=fleet,
            weight_store=(
                section_builders.build_weight_store(stores[0])
                if stores
                else None
            ),
        )
        if not self.problems:
            self._check_keys_are_distinct(workspaces)
            self._check_names_are_distinct(result)
            self._check_memory(result)
        return result

    def _add(self, section: ini_file.Section) -> None:
        kind = section.kind
        if kind not in self._sections:
            section.report("", "unknown section", ", ".join(SECTION_KINDS))
        elif kind in _SINGLE_KINDS and section.name:
            section.report("", section.title, f"[{kind}] without a name")
        elif kind in _SINGLE_KINDS and self._sections[kind]:
            section.report(
                "", "duplicate section", f"one [{kind}] in all files"
            )
        else:
            self._sections[kind].append(section)

    def _build_tenant(self, expected: str) -> str:
        if not self._sections["tenant"]:
            file = next(iter(self._files), "configuration")
            self.problems.append(
                exceptions.Problem(
                    file, "tenant", "name", "nothing", "a [tenant] section"
                )
            )
            return ""
        section = self._sections["tenant"][0]
        section.check_keys({"name"})
        name = section.values.get("name", "")
        if not name_pattern.is_name(name):
            section.report("name", name, name_pattern.NAME_RULE)
        elif expected and name != expected:
            section.report("name", name, expected)
        return name

    def _build_models(self) -> dict[str, tenant_configuration.ModelSpec]:
        models: dict[str, tenant_configuration.ModelSpec] = {}
        for section, names in self._expanded_sections("model"):
            models.update(section_builders.build_models(section, names))
        return models

    def _build_adapters(
        self, models: Mapping[str, tenant_configuration.ModelSpec]
    ) -> dict[str, tenant_configuration.AdapterSpec]:
        adapters: dict[str, tenant_configuration.AdapterSpec] = {}
        for section, names in self._expanded_sections("adapter"):
            adapters.update(
                section_builders.build_adapters(section, names, models)
            )
        return adapters

    def _build_workspaces(
        self, known: workspace_builder.KnownNames
    ) -> dict[str, tenant_configuration.WorkspaceSpec]:
        keys = workspace_builder.KEYS
        templates = {s.name: s for s in self._named_sections("template")}
        for template in templates.values():
            template.check_keys(keys)
            template_expander.find_parameters(template)
        workspaces: dict[str, tenant_configuration.WorkspaceSpec] = {}
        for section in self._named_sections("workspace"):
            template_name = section.values.get("template")
            if template_name is None:
                section.check_keys(keys)
                values = section.values
            elif template_name in templates:
                values = template_expander.expand(
                    templates[template_name], section, keys
                )
            else:
                allowed = ", ".join(templates) or "no template is defined"
                section.report("template", template_name, allowed)
                continue
            full = ini_file.Section(
                section.file, section.title, values, self.problems
            )
            workspaces[section.name] = workspace_builder.build(full, known)
        if not workspaces and not self._sections["workspace"]:
            file = next(iter(self._files), "configuration")
            self.problems.append(
                exceptions.Problem(
                    file, "workspace", "", "nothing", "at least one workspace"
                )
            )
        return workspaces

    def _named_sections(self, kind: str) -> list[ini_file.Section]:
        valid: dict[str, ini_file.Section] = {}
        for section in self._sections[kind]:
            if not name_pattern.is_name(section.name):
                section.report("", section.name, name_pattern.NAME_RULE)
            elif section.name in valid:
                section.report("", "duplicate section", "unique names")
            else:
                valid[section.name] = section
        return list(valid.values())

    def _expanded_sections(
        self, kind: str
    ) -> list[tuple[ini_file.Section, list[str]]]:
        result = []
        seen: set[str] = set()
        for section in self._sections[kind]:
            try:
                names = name_pattern.expand(section.name)
            except ValueError as error:
                section.report("", str(error), "{01..30} or {a,b}")
                continue
            for name in names:
                if not name_pattern.is_name(name):
                    section.report("", name, name_pattern.NAME_RULE)
                elif name in seen:
                    section.report(
                        "", f"duplicate name {name}", "unique names"
                    )
                seen.add(name)
            result.append((section, names))
        return result

    def _check_keys_are_distinct(
        self, workspaces: Mapping[str, tenant_configuration.WorkspaceSpec]
    ) -> None:
        owners: dict[str, str] = {}
        for workspace in workspaces.values():
            for key_hash in workspace.api_key_hashes:
                owner = owners.setdefault(key_hash, workspace.name)
                if owner != workspace.name:
                    self._report_by_name(
                        "workspace",
                        workspace.name,
                        "api_key_hashes",
                        f"a key that workspace {owner} uses",
                        "keys that no other workspace uses",
                    )

    def _check_names_are_distinct(
        self, result: tenant_configuration.TenantConfiguration
    ) -> None:
        # Requests name models and adapters in the same field.
        for name in sorted(result.models.keys() & result.adapters.keys()):
            self._report_by_name(
                "adapter", name, "", name, "a name that no model uses"
            )

    def _check_memory(
        self, result: tenant_configuration.TenantConfiguration
    ) -> None:
        fleet = result.fleet
        if fleet is None or not result.models:
            return
        packing = memory_check.check(result.models, result.adapters, fleet)
        for name in packing.oversized:
            kind = "model" if name in result.models else "adapter"
            self._report_by_name(
                kind,
                name,
                "weights",
                "weights too large for any VM",
                f"with its base at most {packing.usable_bytes_per_vm} bytes",
            )
        if not packing.oversized and not packing.fits:
            self._report_by_name(
                "fleet",
                "",
                "model_vms",
                f"{packing.weight_bytes} bytes of weights"
                f" that need {packing.needed_vms} VMs",
                f"at most {packing.available_vms} VMs"
                f" with {packing.usable_bytes_per_vm} bytes each",
            )
        reserve = round(fleet.vm_memory_bytes * fleet.kv_reserve)
        for model in result.models.values():
            needed = model.kv_bytes_per_token * model.max_context_tokens
            if needed > reserve:
                self._report_by_name(
                    "model",
                    model.name,
                    "context",
                    f"{needed} bytes of KV cache for one request",
                    f"at most the reserve of {reserve} bytes",
                )

    def _report_by_name(
        self, kind: str, name: str, key: str, found: str, allowed: str
    ) -> None:
        title = f"{kind} {name}".strip()
        file = next(iter(self._files), "configuration")
        for section in self._sections[kind]:
            names = name_pattern.expand(section.name)
            if name in names:
                file = section.file
                title = section.title
        if name and name not in title:
            found = f"{name}: {found}"
        self.problems.append(
            exceptions.Problem(file, title, key, found, allowed)
        )
