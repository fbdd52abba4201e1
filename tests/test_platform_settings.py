"""Tests of the platform's settings file and of the command that reads it."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from beryltiller.platform.daemon import EXIT_INVALID, EXIT_OK, main
from beryltiller.platform.settings import (
    SettingsFileError,
    SettingsWatch,
    read_settings_file,
)
from beryltiller.quotas.rules import QuotaRules

SETTINGS: dict[str, Any] = {
    "node_name": "front-a-1",
    "ip_address": "127.0.0.1",
    "zone": "a",
    "listen_addresses": {"front": "127.0.0.1:8784", "ready": "127.0.0.1:8785"},
    "platform": {"address": "127.0.0.1:8783", "form": "table"},
    "cloud_api": {"address": "127.0.0.1:8782"},
    "bounds": {"grace_period_s": 5, "drain_timeout_ms": 9000},
    "unknown_field": True,
}


class SettingsFileTest(unittest.TestCase):
    """A settings file is read completely, or refused with the field and the reason."""

    def write(self, settings: object) -> str:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder, "local.json")
        path.write_text(json.dumps(settings), encoding="utf-8")
        return str(path)

    def test_valid_file_is_read(self) -> None:
        found = read_settings_file(self.write(SETTINGS))
        self.assertEqual(str(found.store_address), "127.0.0.1:8783")
        self.assertEqual((found.grace_seconds, found.drain_seconds), (5, 9))

    def test_memory_limit_is_read_if_there_is_one(self) -> None:
        limits = {"memory_mb": 300, "cpu_share": 0.5}
        found = read_settings_file(self.write({**SETTINGS, "limits": limits}))
        self.assertEqual(found.memory_bytes, 300_000_000)
        self.assertIsNone(read_settings_file(self.write(SETTINGS)).memory_bytes)

    def test_rule_of_quotas_has_defaults(self) -> None:
        found = read_settings_file(self.write(SETTINGS))
        self.assertEqual(found.quota_rules, QuotaRules(5.0, 0.1, 20.0))
        bounds = {"quota_window_s": 4, "quota_overage": 0.2, "quota_slack": 10}
        found = read_settings_file(self.write({**SETTINGS, "bounds": bounds}))
        self.assertEqual(found.quota_rules, QuotaRules(4.0, 0.2, 10.0))

    def test_regions_of_the_zones_are_read_if_there_are_any(self) -> None:
        zones = {"a": "north", "b": "north", "c": "south"}
        cases: tuple[tuple[dict[str, Any], dict[str, str]], ...] = (
            ({}, {}),
            ({"zones": zones, "region": "north"}, zones),
            (
                {"zones": {"c": "south"}, "region": "north"},
                {"a": "north", "c": "south"},
            ),
        )
        for fields, expected in cases:
            with self.subTest(fields):
                found = read_settings_file(self.write({**SETTINGS, **fields}))
                self.assertEqual(found.regions.by_zone, expected)

    def test_capacity_follows_from_the_scarcest_limit(self) -> None:
        cases: tuple[tuple[dict[str, float], float], ...] = (
            ({}, 1.0),
            ({"cpu_share": 0.5}, 0.5),
            ({"cpu_share": 0.5, "cpu_cores": 4}, 2.0),
            ({"cpu_cores": 2, "link_mbps": 100}, 2.0),
            ({"cpu_cores": 2, "link_mbps": 5}, 0.25),
        )
        for limits, expected in cases:
            with self.subTest(limits):
                path = self.write({**SETTINGS, "limits": limits})
                self.assertEqual(read_settings_file(path).capacity, expected)

    def test_refusal_names_the_invalid_field(self) -> None:
        cases: tuple[tuple[str, object], ...] = (
            ("zone", {**SETTINGS, "zone": 3}),
            ("node_name", {k: v for k, v in SETTINGS.items() if k != "node_name"}),
            ("platform.address", {**SETTINGS, "platform": {"address": "nowhere"}}),
            ("limits.memory_mb", {**SETTINGS, "limits": {"memory_mb": 0}}),
            ("limits.cpu_cores", {**SETTINGS, "limits": {"cpu_cores": -1}}),
            ("zones", {**SETTINGS, "zones": {"a": 3}}),
            ("region", {**SETTINGS, "zones": {"a": "north"}, "region": "south"}),
            ("object", []),
        )
        for field, settings in cases:
            with self.subTest(field):
                path = self.write(settings)
                with self.assertRaisesRegex(SettingsFileError, field):
                    read_settings_file(path)

    def test_host_name_that_no_claim_can_hold_is_refused(self) -> None:
        """Guards against a claim of the duty that others cannot read and pass over."""
        names = ("", " a", "a ", "a\r\nb", "a\0", "a\n", "x" * 1001, "a\u2028")
        for name in names:
            with self.subTest(name[:20]):
                path = self.write({**SETTINGS, "node_name": name})
                with self.assertRaisesRegex(SettingsFileError, "node_name"):
                    read_settings_file(path)

    def test_host_name_of_any_script_is_read(self) -> None:
        for name in ("front-\u010dakovec a|1:2", "x" * 1000):
            with self.subTest(name[:20]):
                found = read_settings_file(self.write({**SETTINGS, "node_name": name}))
                self.assertEqual(found.host_name, name)

    def test_missing_file_and_unset_variable_are_refused(self) -> None:
        for path in ("", "/nonexistent/local.json"):
            with self.subTest(path), self.assertRaises(SettingsFileError):
                read_settings_file(path)

    def test_check_option_returns_the_exit_code(self) -> None:
        cases: tuple[tuple[dict[str, Any], int], ...] = (
            (SETTINGS, EXIT_OK),
            ({}, EXIT_INVALID),
        )
        for settings, code in cases:
            with self.subTest(code=code):
                path = self.write(settings)
                output = io.StringIO()
                with (
                    contextlib.redirect_stdout(output),
                    contextlib.redirect_stderr(output),
                ):
                    self.assertEqual(main(["--settings", path, "--check"]), code)
                self.assertIn(path, output.getvalue())


class SettingsWatchTest(unittest.TestCase):
    """A change of the settings file is detected without a signal."""

    def test_each_change_is_reported_once(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "local.json")
            path.write_text("{}")
            watch = SettingsWatch(str(path))
            self.assertFalse(watch.has_changed())
            path.write_text('{"a": 1}')
            self.assertEqual((watch.has_changed(), watch.has_changed()), (True, False))
            other = Path(folder, "new.json")
            other.write_text('{"a": 2}')
            other.rename(path)
            self.assertTrue(watch.has_changed())
            path.unlink()
            self.assertEqual((watch.has_changed(), watch.has_changed()), (True, False))
