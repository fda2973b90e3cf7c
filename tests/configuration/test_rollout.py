"""Tests of differences, roll-out steps and their progress."""

from __future__ import annotations

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from balsamwall.configuration import configuration_difference
from balsamwall.configuration import rollout_planner
from balsamwall.configuration import rollout_progress
from balsamwall.configuration import tenant_configuration
from tests.configuration import fakes

LOAD = rollout_planner.Action.LOAD
UNLOAD = rollout_planner.Action.UNLOAD
GIB = 2**30


def plan(old, new):
    return rollout_planner.RolloutPlanner().plan(old, new)


def build(models, adapters, vms):
    """Build a configuration from {name: version} and {name: (base, v)}."""
    workspace = dataclasses.replace(
        fakes.parse().workspaces["zagreb"],
        models=tuple(models),
        adapters=tuple(adapters),
    )
    return dataclasses.replace(
        fakes.parse(),
        models={
            name: tenant_configuration.ModelSpec(name, v, 30 * GIB, 1, 16)
            for name, v in models.items()
        },
        adapters={
            name: tenant_configuration.AdapterSpec(name, base, v, GIB)
            for name, (base, v) in adapters.items()
        },
        workspaces={"zagreb": workspace},
        fleet=tenant_configuration.FleetSpec(vms, 80 * GIB, 0.1, 0),
    )


@strategies.composite
def configurations(draw, vms):
    versions = strategies.sampled_from(["1", "2"])
    models = draw(
        strategies.dictionaries(
            strategies.sampled_from("abcde"), versions, min_size=1
        )
    )
    adapters = draw(
        strategies.dictionaries(
            strategies.sampled_from(["x", "y", "z"]),
            strategies.tuples(
                strategies.sampled_from(sorted(models)), versions
            ),
        )
    )
    return build(models, adapters, vms)


class RolloutPlannerTest(unittest.TestCase):
    """R2: guard against unloading a name before its replacement loads."""

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(strategies.data(), strategies.sampled_from([1, 3, 9]))
    def test_every_kept_name_stays_resident(self, data, vms) -> None:
        """A configured name must stay resident through any set of changes."""
        old = data.draw(configurations(vms))
        new = data.draw(configurations(vms))
        resident = self.required_versions(old)  # (name, version, base)
        kept = old.configured_names() & new.configured_names()
        done: set[int] = set()
        waiting = plan(old, new)
        source = random.Random(data.draw(strategies.integers(0, 99)))
        while waiting:
            # Any step may start once its dependencies are done.
            ready = [s for s in waiting if done.issuperset(s.depends_on)]
            step = source.choice(ready)
            waiting.remove(step)
            done.add(step.number)
            if step.action is LOAD:
                if step.base:
                    wanted = (step.base, new.models[step.base].version, "")
                    self.assertIn(wanted, resident)
                resident.add((step.name, step.version, step.base))
            elif step.action is UNLOAD:
                resident = {
                    copy
                    for copy in resident
                    if copy[:2] != (step.name, step.version)
                }
                # Unloading the last copy of a base unloads its adapters.
                names = {name for name, _, _ in resident}
                resident = {
                    copy
                    for copy in resident
                    if not copy[2] or copy[2] in names
                }
            self.assertLessEqual(kept, {name for name, _, _ in resident})
        self.assertLessEqual(self.required_versions(new), resident)
        self.assertEqual(
            new.configured_names(), {name for name, _, _ in resident}
        )

    def required_versions(self, configuration):
        specs = {**configuration.models, **configuration.adapters}
        return {
            (name, specs[name].version, getattr(specs[name], "base", ""))
            for name in configuration.configured_names()
        }

    def test_tight_fleet_removes_unused_names_first(self) -> None:
        """Loading first in a full fleet would wait for memory forever."""
        old, new = build({"a": "1", "b": "1"}, {}, 1), build({"c": "1"}, {}, 1)
        actions = [s.action for s in plan(old, new)][-3:]
        self.assertEqual([UNLOAD, UNLOAD, LOAD], actions)
        old, new = build({"a": "1"}, {}, 3), build({"c": "1"}, {}, 3)
        actions = [s.action for s in plan(old, new)][-2:]
        self.assertEqual([LOAD, UNLOAD], actions)

    def test_progress_follows_reports(self) -> None:
        """A pending roll-out must not be shown as finished."""
        old = dataclasses.replace(build({"a": "1"}, {}, 3), revision=1)
        new = dataclasses.replace(build({"a": "2"}, {}, 3), revision=2)
        steps = plan(old, new)

        def states(revision, loading, versions):
            view = rollout_progress.RolloutView(
                {
                    "vm": rollout_progress.ResidentSet(
                        models=frozenset(["a"]),
                        loading=frozenset(loading),
                        versions=frozenset(versions),
                    )
                },
                {"vm": revision},
            )
            return [
                item.state.value
                for item in rollout_progress.progress(steps, 2, view)
            ]

        self.assertEqual([LOAD, UNLOAD], [s.action for s in steps])
        self.assertEqual(["pending", "pending"], states(1, [], ["a@1"]))
        self.assertEqual(["running", "pending"], states(2, ["a"], ["a@1"]))
        self.assertEqual(["done", "running"], states(2, [], ["a@1", "a@2"]))
        self.assertEqual(["done", "done"], states(2, [], ["a@2"]))

    def test_difference_shows_fields_and_hides_keys(self) -> None:
        """A difference must show changed limits but no full key hashes."""
        old = fakes.parse()
        new = fakes.parse(
            fakes.BASIC.replace(fakes.HASH, "b" * 64)
            + "rate = 9\nmodels = clause-1 clause-2\n[model extra]\n"
            "version = 1\nweights = 1 GiB\nkv_per_token = 1 KiB\n"
            "context = 100\n"
        )
        entries = configuration_difference.difference(old, new)
        text = configuration_difference.to_text(entries)
        for part in (
            "+ model extra",
            "~ workspace zagreb: requests_per_second 5.0 -> 9.0",
            "~ workspace zagreb: models -clause-3 -clause-4",
            "api_key_hashes -aaaaaaaa +bbbbbbbb",
        ):
            self.assertIn(part, text)
        self.assertNotIn("a" * 9, text)
