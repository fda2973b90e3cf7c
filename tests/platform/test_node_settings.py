"""Tests of the platform's settings file."""

from __future__ import annotations

import contextlib
import copy
import io
import pathlib
import tempfile
import unittest

from balsamwall.limits import quota_tolerance
from balsamwall.platform import daemon
from balsamwall.platform import node_settings

ROWS = {
    "node": "front-1",
    "zone": "z1",
    "ip": "127.0.0.1",
    "internal_ports": [7_380, 7_395],
    "a_field_of_later": 1,
    "listen": {"front": "127.0.0.1:81", "ready": "127.0.0.1:82"},
    "bounds": {
        "grace_s": 8,
        "lease_ms": 3_000,
        "retry_budget_ratio": 0.2,
        "budget_extra": 58,
        "budget_window_s": 10,
    },
    "platform": {"address": "127.0.0.1:83", "ttl_min_ms": 1_000},
}


class NodeSettingsTest(unittest.TestCase):
    """Errors name the invalid field; unknown fields are ignored."""

    def check_rejected(self, path, value=...):
        fields = copy.deepcopy(ROWS)
        table = fields
        *tables, name = path.split(".")
        for part in tables:
            table = table[part]
        if value is ...:
            del table[name]
        else:
            table[name] = value
        with self.assertRaises(node_settings.NodeSettingsError) as caught:
            node_settings.parse(fields)
        self.assertTrue(str(caught.exception).startswith(path))

    def test_complete_file(self):
        """Guards against confusing seconds with milliseconds."""
        settings = node_settings.parse(ROWS)
        self.assertEqual(settings.grace_ms, 8_000)
        self.assertEqual(settings.fleet_port, 7_380)

    def test_revocation(self):
        """Guards against an entry that is strict without being told."""
        settings = node_settings.parse(ROWS)
        self.assertFalse(settings.refuses_unconfirmed_keys)
        self.assertEqual(settings.max_unconfirmed_ms, 5_000)
        rows = {"strict_revoke": True, "revoke_ms": 4_000}
        settings = node_settings.parse(
            {**ROWS, "bounds": {**ROWS["bounds"], **rows}}
        )
        self.assertTrue(settings.refuses_unconfirmed_keys)
        self.assertEqual(settings.max_unconfirmed_ms, 4_000)
        self.check_rejected("bounds.strict_revoke", "yes")
        self.check_rejected("bounds.strict_revoke", 1)
        self.check_rejected("bounds.revoke_ms", "5000")
        for value in (-1, float("inf"), float("nan")):
            self.check_rejected("bounds.revoke_ms", value)

    def test_engines_that_execute_any_order(self):
        """Guards against orders without a lease where engines take them all.

        A value of another type is an error, and no value is the platform's
        default.
        """
        self.assertTrue(node_settings.parse(ROWS).engines_check_tokens)
        for value in (True, False):
            bounds = {**ROWS["bounds"], "fencing_enforced": value}
            found = node_settings.parse({**ROWS, "bounds": bounds})
            self.assertIs(found.engines_check_tokens, value)
        for value in ("false", "", 0, 1, []):
            self.check_rejected("bounds.fencing_enforced", value)

    def test_quota_tolerance(self):
        """Guards against the slack of one deployment in all others."""
        found = node_settings.parse(ROWS).quota_tolerance
        self.assertEqual(found, quota_tolerance.QuotaTolerance(8_000, 0.1, 0))
        rows = {
            "quota_window_s": 4.5,
            "quota_overshoot": 0.2,
            "quota_slack": 17_000,
        }
        settings = node_settings.parse(
            {**ROWS, "bounds": {**ROWS["bounds"], **rows}}
        )
        self.assertEqual(
            settings.quota_tolerance,
            quota_tolerance.QuotaTolerance(4_500, 0.2, 17_000),
        )
        for name in rows:
            for value in ("1", True, -1, float("inf")):
                self.check_rejected(f"bounds.{name}", value)

    def parse_tolerance(self, window_s, overshoot):
        rows = {"quota_window_s": window_s, "quota_overshoot": overshoot}
        fields = {**ROWS, "bounds": {**ROWS["bounds"], **rows}}
        return node_settings.parse(fields).quota_tolerance

    def test_grants_live_as_long_as_the_overshoot_allows(self):
        """Guards against quotas that late use of grants exceeds.

        Such settings must not keep a process from starting either.
        """
        for window_s, overshoot, lifetime_ms in (
            (8, 0.1, 800),
            (4, 0.2, 800),
            (4, 0.1, 400),
            (8, 0.5, 800),
            (8, 0, 100),
            (0, 0.1, 100),
        ):
            found = self.parse_tolerance(window_s, overshoot)
            self.assertEqual(found.grant_lifetime_ms, lifetime_ms)

    def test_missing_and_invalid_fields(self):
        """Guards against invalid settings that only fail at run time."""
        self.check_rejected("node")
        self.check_rejected("listen.front")
        self.check_rejected("platform")
        self.check_rejected("bounds.grace_s", "8")
        self.check_rejected("bounds.grace_s", True)
        self.check_rejected("listen.ready", "127.0.0.1")
        self.check_rejected("internal_ports", [7_380])

    def test_daemon_exits_with_one_error_line(self):
        """Guards against a traceback instead of an error message."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "local.toml")
            path.write_text('node = "front-1"\n')
            errors = io.StringIO()
            with contextlib.redirect_stderr(errors):
                code = daemon.main(["--settings", str(path)])
        self.assertEqual(code, daemon.EXIT_SETTINGS_INVALID)
        self.assertEqual(len(errors.getvalue().splitlines()), 1)
