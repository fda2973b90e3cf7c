"""Tests of the settings file."""

from __future__ import annotations

import unittest

from balsamwall.settings import exceptions
from balsamwall.settings import settings_file
from tests.fixtures import sample_settings


class SettingsFileTest(unittest.TestCase):
    """Guard against starting a daemon with invalid settings."""

    def _problem_lines(self, text: str) -> list[str]:
        with self.assertRaises(exceptions.SettingsError) as caught:
            settings_file.parse(text, "x.ini")
        return caught.exception.message.splitlines()

    def test_entry_file_is_accepted(self) -> None:
        """A valid file of an entry must be accepted."""
        settings = settings_file.parse(sample_settings.ENTRY, "x.ini")
        self.assertEqual("entry", settings.role)
        self.assertEqual("b", settings.current_key_id)
        self.assertEqual(2**20, settings.limits.body_bytes)
        self.assertEqual("write", settings.administration_keys[0].access)
        self.assertNotIn("ddcc", repr(settings))

    def test_single_backend_uses_vm_name_and_port(self) -> None:
        """An agent with one backend server must need no peer or port."""
        settings = settings_file.parse(sample_settings.AGENT, "x.ini")
        backend = settings.backends[0]
        self.assertEqual("agent-1", backend.peer)
        self.assertEqual("127.0.0.1:0", str(backend.listen))
        self.assertEqual(20_000, backend.max_order_delay_ms)

    def test_all_problems_are_reported_at_once(self) -> None:
        """Reporting one problem per start would take many starts."""
        text = sample_settings.AGENT.replace("role = agent", "role = agnt")
        text = text.replace("vm_list = 127.0.0.1:9", "vm_lst = 127.0.0.1:9")
        text = text.replace("20000", "-1")
        lines = self._problem_lines(text)
        self.assertEqual(
            [
                "x.ini: [daemon] role: found 'agnt', allowed: entry or agent",
                "x.ini: [platform] vm_lst: found unknown key,"
                " allowed: key_value, vm_list, weight_store",
                "x.ini: [platform] vm_list: found no value,"
                " allowed: HOST:PORT with a port from 1 to 65535",
                "x.ini: [backend engine] max_order_delay_ms: found '-1',"
                " allowed: 0 to 600000",
            ],
            lines,
        )

    def test_secrets_are_not_printed(self) -> None:
        """An invalid secret must not be printed or logged."""
        for bad in ("00112233zz", "0011", "a = b = c", "x\nsecretline"):
            text = sample_settings.AGENT.replace(
                "00112233445566778899aabbccddeeff", bad
            )
            for line in self._problem_lines(text):
                self.assertNotIn("0011", line)
                self.assertNotIn("secretline", line)

    def test_sections_of_other_role_are_rejected(self) -> None:
        """Sections of the wrong role must be rejected."""
        text = sample_settings.ENTRY + "[backend x]\nkind = service\n"
        self.assertTrue(
            any(
                "none in an entry" in line
                for line in self._problem_lines(text)
            )
        )
        text = sample_settings.AGENT.split("[backend")[0]
        self.assertTrue(
            any("one or more" in line for line in self._problem_lines(text))
        )

    def test_units_need_distinct_names_and_ports(self) -> None:
        """Units with the same name would receive each other's messages."""
        unit = "kind=service\naddress=h:1\npeer=p\nlisten=h:2\nservices=s\n"
        text = sample_settings.AGENT.split("[backend")[0]
        text += f"[backend a]\n{unit}[backend b]\n{unit}"
        lines = self._problem_lines(text)
        self.assertEqual(2, len(lines))
        self.assertIn("[backend b] peer: found 'p'", lines[0])
        self.assertIn("[backend b] listen: found 'h:2'", lines[1])
