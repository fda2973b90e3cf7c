"""Tests of the sample deployment files of both tenants."""

from __future__ import annotations

import configparser
import importlib.util
import pathlib
import unittest

from balsamwall.configuration import configuration_parser
from balsamwall.configuration import tenant_configuration
from balsamwall.console import console_settings

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
DAEMON_FILES = ("entry.ini", "model-agent.ini", "service-agent.ini")


class SamplesTest(unittest.TestCase):
    """Guard against sample files that the software rejects."""

    def test_sizes_are_those_of_the_tenants(self) -> None:
        """A smaller sample would hide slow validation at the real size."""
        weight_store = tenant_configuration.WeightStoreSpec
        for tenant, vms, zones, models, adapters, store in (
            ("kovacevic", 9, 3, 30, 100, weight_store(3, 6)),
            ("tampere", 6, 4, 15, 75, weight_store(2, 8)),
        ):
            text = (DEPLOY / tenant / "operators.ini").read_text()
            result = configuration_parser.parse({"a.ini": text}, tenant)
            self.assertEqual(vms, result.fleet.model_vms)
            self.assertEqual(zones, result.fleet.availability_zones)
            self.assertEqual(models, len(result.models))
            self.assertEqual(adapters, len(result.adapters))
            self.assertEqual(store, result.weight_store)
            # Every sample model and adapter is used by some workspace.
            self.assertEqual(models + adapters, len(result.configured_names()))
            for service in result.services.values():
                self.assertFalse(service.is_repeatable)

    def test_daemon_settings_are_valid(self) -> None:
        """A daemon with invalid settings exits at start-up."""
        for tenant in ("kovacevic", "tampere"):
            for name in DAEMON_FILES:
                path = DEPLOY / tenant / name
                parser = configparser.ConfigParser(interpolation=None)
                parser.read_string(path.read_text())
                self.assertEqual(tenant, parser["daemon"]["tenant"])
                module = "balsamwall.settings.settings_file"
                if importlib.util.find_spec(module) is not None:
                    importlib.import_module(module).load(str(path))

    def test_console_settings_are_valid(self) -> None:
        """The console rejects settings with an unknown key."""
        for tenant in ("kovacevic", "tampere"):
            settings = console_settings.load(
                {
                    "settings": str(DEPLOY / tenant / "console.ini"),
                    "key": "k",
                    "caller_key": "k",
                },
                {},
            )
            self.assertEqual(tenant, settings.tenant)
            self.assertEqual("k", settings.key)
