"""Tests of the settings and of the sources that they are read from."""

import argparse
import doctest
import unittest
from dataclasses import FrozenInstanceError, fields
from pathlib import Path
from tempfile import TemporaryDirectory

from beryltiller.core import addresses
from beryltiller.core.addresses import Address
from beryltiller.process.settings import Settings, setting_definitions
from beryltiller.process.settings_source import (
    LoadedSettings,
    SettingsError,
    Source,
    add_flags,
    read_settings,
)

_SIGNING_KEY = "s3cret" * 6
_CURVE_KEY = "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"
_ENVIRONMENT = {
    "BERYLTILLER_HOST_NAME": "entry-1",
    "BERYLTILLER_AVAILABILITY_ZONE": "perth-a",
    "BERYLTILLER_CALLER_ADDRESS": "127.1.0.1:7000",
    "BERYLTILLER_OPERATOR_ADDRESS": "127.1.0.1:7001",
    "BERYLTILLER_PEER_ADDRESS": "127.1.0.1:7002",
    "BERYLTILLER_PLATFORM_ADDRESS": "127.0.0.1:7003",
    "BERYLTILLER_TOKEN_SIGNING_KEY": _SIGNING_KEY,
    "BERYLTILLER_CURVE_SERVER_PUBLIC_KEY": _CURVE_KEY,
    "BERYLTILLER_CURVE_SERVER_SECRET_KEY": _CURVE_KEY,
    "BERYLTILLER_CURVE_CLIENT_PUBLIC_KEY": _CURVE_KEY,
    "BERYLTILLER_CURVE_CLIENT_SECRET_KEY": _CURVE_KEY,
}


def _read(*arguments: str, **variables: str) -> LoadedSettings:
    """Return the settings from valid variables and the given flags and variables."""
    parser = argparse.ArgumentParser()
    add_flags(parser)
    flags = vars(parser.parse_args(arguments))
    return read_settings(flags, {**_ENVIRONMENT, **variables}).unwrap()


class SettingsSourceTest(unittest.TestCase):
    """Flags take precedence over the environment, and that over the defaults.

    A problem is reported with the setting that has to be changed. Otherwise a proxy
    would start with a value that its operator did not intend.
    """

    def test_line_end_after_a_name_or_key_is_refused(self) -> None:
        """Guards against a name that makes two lines of one and fails each answer."""
        for name, value in (
            ("host_name", "entry-1\n"),
            ("availability_zone", "perth-a\n"),
            ("curve_server_public_key", f"{_CURVE_KEY}\n"),
        ):
            with self.subTest(name):
                variable = f"BERYLTILLER_{name.upper()}"
                result = read_settings({}, {**_ENVIRONMENT, variable: value})
                self.assertEqual(result.failure().field, name)

    def test_flag_wins_over_environment_over_default(self) -> None:
        variables = {"BERYLTILLER_LEASE_SECONDS": "2"}
        cases: tuple[tuple[tuple[str, ...], dict[str, str], float, Source], ...] = (
            ((), {}, 1.0, Source.DEFAULT),
            ((), variables, 2.0, Source.ENVIRONMENT),
            (("--lease-seconds", "3"), variables, 3.0, Source.FLAG),
        )
        for arguments, environment, value, source in cases:
            with self.subTest(source=source):
                loaded = _read(*arguments, **environment)
                self.assertEqual(loaded.settings.lease_seconds, value)
                self.assertIs(loaded.sources["lease_seconds"], source)

    def test_every_setting_has_a_flag_and_a_variable(self) -> None:
        parser = argparse.ArgumentParser()
        add_flags(parser)
        flags = {flag for action in parser._actions for flag in action.option_strings}
        for item in setting_definitions():
            with self.subTest(setting=item.name):
                self.assertIn(item.flag, flags)
                self.assertEqual(item.variable, f"BERYLTILLER_{item.name.upper()}")

    def test_source_ip_is_that_of_the_caller_address(self) -> None:
        self.assertEqual(_read().settings.source_ip, "127.1.0.1")

    def test_settings_are_frozen(self) -> None:
        with self.assertRaises(FrozenInstanceError):
            _read().settings.lease_seconds = 9.0  # type: ignore[misc]

    def test_invalid_values_are_refused_with_the_field(self) -> None:
        cases = (
            ("LEASE_SECONDS", "nan", "lease_seconds"),
            ("LEASE_SECONDS", "inf", "lease_seconds"),
            ("LEASE_SECONDS", "-1", "lease_seconds"),
            ("LEASE_SECONDS", "1s", "lease_seconds"),
            ("LEASE_SECONDS", "0.2", "evidence_interval_seconds"),
            ("DETECTION_TIMEOUT_SECONDS", "0.25", "evidence_interval_seconds"),
            ("REPLICA_WAIT_MS", "0", "replica_wait_ms"),
            ("POOL_QUEUE_LENGTH", "1.5", "pool_queue_length"),
            ("DRAIN_TIMEOUT_SECONDS", "3601", "drain_timeout_seconds"),
            ("HOST_NAME", "", "host_name"),
            ("HOST_NAME", "a b", "host_name"),
            ("CALLER_ADDRESS", "entry-1:7000", "caller_address"),
            ("CALLER_ADDRESS", "0.0.0.0:7000", "caller_address"),
            ("CALLER_ADDRESS", "127.1.0.1", "caller_address"),
            ("CALLER_ADDRESS", "127.1.0.1:65536", "caller_address"),
            ("OPERATOR_ADDRESS", "127.1.0.1:7000", "operator_address"),
            ("PLATFORM_ADDRESS", "127.0.0.1:0", "platform_address"),
            ("STATSD_ADDRESS", "null", "statsd_address"),
            ("CURVE_SERVER_PUBLIC_KEY", "short", "curve_server_public_key"),
            ("TOKEN_SIGNING_KEY_PREVIOUS", _SIGNING_KEY, "token_signing_key_previous"),
            ("LEASE_SECOND", "1", "BERYLTILLER_LEASE_SECOND"),
        )
        for name, value, field in cases:
            environment = {**_ENVIRONMENT, f"BERYLTILLER_{name}": value}
            with self.subTest(name=name, value=value):
                error = read_settings({}, environment).failure()
                self.assertEqual(error.field, field)
                self.assertTrue(error.reason)

    def test_missing_setting_names_flag_and_variable(self) -> None:
        for item in setting_definitions():
            if not item.is_required:
                continue
            environment = dict(_ENVIRONMENT)
            del environment[item.variable]
            with self.subTest(setting=item.name):
                error = read_settings({}, environment).failure()
                self.assertEqual(error.field, item.name)
                self.assertIn(item.flag, error.reason)
                self.assertIn(item.variable, error.reason)


class SecretTest(unittest.TestCase):
    """Secrets are read from the environment or a file, and never displayed."""

    def test_secret_is_read_from_a_file(self) -> None:
        with TemporaryDirectory() as directory:
            path = Path(directory, "key")
            path.write_text("f1le" * 10 + "\n", encoding="ascii")
            loaded = _read("--token-signing-key-previous-file", str(path))
        self.assertEqual(loaded.settings.token_signing_key_previous, "f1le" * 10)
        self.assertIs(loaded.sources["token_signing_key_previous"], Source.FILE)

    def test_secret_that_is_longer_than_the_limit_is_not_cut(self) -> None:
        """Guards against a key that differs from the one in the file."""
        with TemporaryDirectory() as directory:
            path = Path(directory, "key")
            path.write_text("k" * 40 + " " * 4096 + "rest", encoding="ascii")
            flags = {"token_signing_key_previous_file": str(path)}
            error = read_settings(flags, _ENVIRONMENT).failure()
        self.assertEqual(error.field, "token_signing_key_previous")
        self.assertIn("4096", error.reason)

    def test_missing_file_and_second_source_are_refused(self) -> None:
        both = {**_ENVIRONMENT, "BERYLTILLER_TOKEN_SIGNING_KEY_FILE": "key"}
        absent = dict(both)
        del absent["BERYLTILLER_TOKEN_SIGNING_KEY"]
        absent["BERYLTILLER_TOKEN_SIGNING_KEY_FILE"] = "/nowhere/key"
        for environment in (both, absent):
            error = read_settings({}, environment).failure()
            self.assertEqual(error.field, "token_signing_key")

    def test_secrets_are_never_displayed(self) -> None:
        loaded = _read()
        self.assertNotIn(_SIGNING_KEY, repr(loaded))
        for item in setting_definitions():
            secret_fields = {f.name for f in fields(Settings) if not f.repr}
            with self.subTest(setting=item.name):
                self.assertEqual(item.is_secret, item.name in secret_fields)
                if item.is_secret:
                    self.assertIn(loaded.display_value(item), ("(hidden)", "(unset)"))

    def test_error_does_not_quote_the_secret(self) -> None:
        environment = {**_ENVIRONMENT, "BERYLTILLER_TOKEN_SIGNING_KEY": "too-short"}
        error = read_settings({}, environment).failure()
        self.assertIsInstance(error, SettingsError)
        self.assertNotIn("too-short", str(error))


class AddressTest(unittest.TestCase):
    """Addresses are parsed from text and printed as the same text."""

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(addresses).failed, 0)

    def test_parsed_address_prints_the_same_text(self) -> None:
        for text in ("127.0.0.1:0", "[::1]:65535"):
            self.assertEqual(str(Address.parse(text)), text)
