"""Tests of the parser and the codec of configurations."""

from __future__ import annotations

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from balsamwall.configuration import configuration_delta
from balsamwall.configuration import configuration_parser
from balsamwall.configuration import document_codec
from balsamwall.configuration import exceptions
from balsamwall.configuration import name_pattern
from tests.configuration import fakes


def problems_of(text):
    try:
        fakes.parse(text)
    except exceptions.ConfigurationInvalid as error:
        return {(p.section, p.key): p for p in error.problems}
    return {}


class ConfigurationParserTest(unittest.TestCase):
    """Guard against accepting files that the fleet cannot serve."""

    def test_patterns_and_parameters_expand(self) -> None:
        """A model that a pattern misses would never be loaded."""
        text = fakes.BASIC + "rate = 7.5\nburst = 9\n"
        result = fakes.parse(text)
        self.assertEqual(
            ["clause-1", "clause-2", "clause-3", "clause-4"],
            list(result.models),
        )
        self.assertEqual("clause-3", result.base_of("deal-3"))
        workspace = result.workspaces["zagreb"]
        self.assertEqual(7.5, workspace.requests_per_second)
        self.assertEqual(9, workspace.burst)
        self.assertTrue(workspace.is_urgent_by_default)
        self.assertFalse(result.services["settlement"].is_repeatable)

    def test_all_problems_are_reported_at_once(self) -> None:
        """Reporting one problem per run would take an operator many runs."""
        text = fakes.BASIC.replace("base = clause-*", "base = clause-9")
        text = text.replace("context = 8192", "context = many")
        text += "burst = 0\nbogus = 1\nmodels = nothing-*\n[extra]\n"
        problems = problems_of(text)
        self.assertEqual(
            {
                ("adapter deal-{1..4}", "base"),
                ("model clause-{1..4}", "context"),
                ("workspace zagreb", "burst"),
                ("workspace zagreb", "bogus"),
                ("workspace zagreb", "models"),
                ("workspace zagreb", "adapters"),
                ("extra", ""),
            },
            set(problems),
        )
        text = str(problems["workspace zagreb", "burst"])
        for part in ("4002", "operators.ini", "burst", "found 0", "from 1"):
            self.assertIn(part, text)

    def test_memory_for_one_copy_of_everything_is_required(self) -> None:
        """R2: a model that fits on no VM would be unreachable."""
        text = fakes.BASIC.replace("model_vms = 4", "model_vms = 2")
        text = text.replace("14 GiB", "28 GiB")
        problem = problems_of(text)["fleet", "model_vms"]
        self.assertIn("need 2 VMs", problem.found)
        text = fakes.BASIC.replace("14 GiB", "70 GiB")
        self.assertIn(("model clause-{1..4}", "weights"), problems_of(text))

    def test_missing_parameter_and_raw_key(self) -> None:
        """An API key entered instead of its hash must not be printed."""
        text = fakes.BASIC.replace(fakes.HASH, "${keys}")
        self.assertIn(("workspace zagreb", "keys"), problems_of(text))
        text = fakes.BASIC.replace(fakes.HASH, "sk-secret")
        problem = problems_of(text)["workspace zagreb", "api_key_hashes"]
        self.assertNotIn("sk-secret", str(problem))

    def test_shared_key_and_shared_name_are_rejected(self) -> None:
        """A key of two workspaces would leave open whose limits apply."""
        text = fakes.BASIC + "[workspace split]\ntemplate = desk\n"
        self.assertIn(("workspace split", "api_key_hashes"), problems_of(text))
        text = fakes.BASIC.replace("[adapter deal-", "[adapter clause-")
        text = text.replace("adapters = deal-*", "adapters = clause-*")
        self.assertIn(("adapter clause-{1..4}", ""), problems_of(text))

    @hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
    @hypothesis.given(
        strategies.text(alphabet="[]={}$:.,*ab1\n -%#;", max_size=80)
    )
    def test_any_text_gives_a_result_or_problems(self, text: str) -> None:
        """An unexpected exception would abort the administration request."""
        try:
            configuration_parser.parse({"a.ini": fakes.BASIC + text})
        except exceptions.ConfigurationInvalid as error:
            self.assertTrue(error.problems)

    def test_expansion_is_bounded(self) -> None:
        """A short pattern must not exhaust the memory of the daemon."""
        for pattern in ("{1..9999}{1..9999}", "{1..999999}"):
            with self.assertRaises(ValueError):
                name_pattern.expand(pattern)


class DocumentCodecTest(unittest.TestCase):
    """Guard against corrupt and oversized documents from peers."""

    def test_round_trip(self) -> None:
        """A field lost in encoding would change limits on every process."""
        result = fakes.parse()
        content = document_codec.encode_configuration(result)
        self.assertEqual(result, document_codec.decode_configuration(content))

    def test_delta_needs_its_base(self) -> None:
        """A delta applied to the wrong base would mix two configurations."""
        old = dataclasses.replace(fakes.parse(), revision=1, change_id="a")
        text = fakes.BASIC.replace("{1..4}", "{2..5}") + "rate = 9\n"
        new = dataclasses.replace(fakes.parse(text), revision=2, change_id="b")
        content = configuration_delta.encode(old, new)
        self.assertEqual(new, configuration_delta.decode(content, {1: old}))
        other = dataclasses.replace(old, change_id="c")
        for kept in ({}, {1: other}):
            with self.assertRaises(exceptions.DeltaBaseUnknown):
                configuration_delta.decode(content, kept)

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(strategies.data())
    def test_corrupt_document_is_rejected(
        self, data: strategies.DataObject
    ) -> None:
        """A corrupt document must raise DocumentInvalid and nothing else."""
        content = bytearray(document_codec.encode_configuration(fakes.parse()))
        index = data.draw(strategies.integers(0, len(content) - 1))
        content[index] ^= data.draw(strategies.integers(1, 255))
        with self.assertRaises(exceptions.DocumentInvalid):
            document_codec.decode_configuration(bytes(content))
