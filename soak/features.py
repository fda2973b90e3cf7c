"""Features that a part of the seeds has."""

from __future__ import annotations

import random

from soak import refusals as refusals_module
from soak import software_versions
from soak import workspaces as workspaces_module

# Shares of the seeds whose configuration has workspaces, and whose servers
# report how long work takes.
WORKSPACES_SHARE = 0.5
WORK_TIME_SHARE = 0.5
# Share of the seeds whose callers resume broken streams, at engines of
# several software versions for the most part.
RESUMPTIONS_SHARE = 0.5
# Share of the seeds whose engines execute orders whatever their token is.
UNCHECKED_ORDERS_SHARE = 0.4
# Share of the seeds whose servers refuse requests twice and fail their runs.
REFUSALS_SHARE = 0.5
REFUSALS = "refusals"


class Features:
    """Features of one seed, or the named ones only.

    They have random sources of their own, so that the faults of a seed stay
    the same.
    """

    __slots__ = (
        "engines_check_tokens",
        "has_work_time",
        "refusals",
        "versions",
        "workspaces",
    )

    def __init__(
        self, seed: int, is_planned_only: bool, only: frozenset[str]
    ) -> None:
        self.engines_check_tokens = True
        self.has_work_time = False
        self.workspaces: workspaces_module.Workspaces | None = None
        self.versions: software_versions.SoftwareVersions | None = None
        self.refusals: refusals_module.Refusals | None = None
        refusing = random.Random(f"{seed}/refusals")
        has_refusals = refusing.random() < REFUSALS_SHARE
        if REFUSALS in only or (
            has_refusals and not (only or is_planned_only)
        ):
            self.refusals = refusals_module.Refusals(refusing)
        if not only:
            self._draw_others(seed)

    def _draw_others(self, seed: int) -> None:
        source = random.Random(f"{seed}/parts")
        has_workspaces = source.random() < WORKSPACES_SHARE
        self.has_work_time = source.random() < WORK_TIME_SHARE
        resuming = random.Random(f"{seed}/resuming").random()
        if has_workspaces:
            self.workspaces = workspaces_module.Workspaces(
                random.Random(f"{seed}/workspaces")
            )
        unchecked = random.Random(f"{seed}/unchecked orders").random()
        self.engines_check_tokens = unchecked >= UNCHECKED_ORDERS_SHARE
        if resuming < RESUMPTIONS_SHARE:
            self.versions = software_versions.SoftwareVersions(
                random.Random(f"{seed}/versions")
            )

    @property
    def names(self) -> list[str]:
        """Return the names of the features, for the report."""
        has_versions = self.versions is not None and self.versions.has_several
        found = {
            "workspaces": self.workspaces is not None,
            "work_time": self.has_work_time,
            "resumptions": self.versions is not None,
            "versions": has_versions,
            "unchecked_orders": not self.engines_check_tokens,
            REFUSALS: self.refusals is not None,
        }
        return [name for name, has_feature in found.items() if has_feature]
