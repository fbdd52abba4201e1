"""Flags that several subcommands share, and the parsers of their values."""

import argparse
import os
from argparse import ArgumentParser
from collections.abc import Callable
from typing import Any

from beryltiller.core.addresses import Address
from beryltiller.process.settings import ENVIRONMENT_PREFIX

DEFAULT_TIMEOUT_SECONDS = 5.0


def add_platform_flags(parser: ArgumentParser) -> None:
    """Add `--platform-address` and `--timeout-seconds`."""
    _add_address_flag(
        parser, "--platform-address", _parse_address, "ip:port of the platform"
    )
    _add_timeout_flag(parser, DEFAULT_TIMEOUT_SECONDS)


def add_operator_flags(
    parser: ArgumentParser, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
) -> None:
    """Add `--operator-address` and `--timeout-seconds`."""
    add_operator_address_flag(parser)
    _add_timeout_flag(parser, timeout_seconds)


def add_operator_address_flag(parser: ArgumentParser) -> None:
    """Add `--operator-address`, without a timeout."""
    meaning = "ip:port of each proxy's operator port, separated by commas"
    _add_address_flag(parser, "--operator-address", _parse_addresses, meaning)


def _add_address_flag(
    parser: ArgumentParser, flag: str, parse: Callable[[str], Any], meaning: str
) -> None:
    """Add a flag that is required unless its environment variable is set."""
    variable = ENVIRONMENT_PREFIX + flag.removeprefix("--").replace("-", "_").upper()
    default = os.environ.get(variable)
    parser.add_argument(
        flag,
        type=parse,
        default=default,
        required=default is None,
        metavar="IP:PORT",
        help=f"{meaning} (default: {variable})",
    )


def _add_timeout_flag(parser: ArgumentParser, default: float) -> None:
    parser.add_argument(
        "--timeout-seconds",
        type=_parse_seconds,
        default=default,
        metavar="SECONDS",
        help=f"seconds to wait for an answer (default {default})",
    )


def add_wait_flag(parser: ArgumentParser, meaning: str) -> None:
    """Add `--wait-seconds`, how long to wait for the state that `meaning` names.

    The default is 0, which does not wait.
    """
    parser.add_argument(
        "--wait-seconds",
        type=_parse_seconds,
        default=0.0,
        metavar="SECONDS",
        help=meaning,
    )


def add_json_flag(parser: ArgumentParser) -> None:
    """Add `--json`, which prints JSON instead of a table."""
    parser.add_argument("--json", action="store_true", help="print JSON")


def add_file_argument(parser: ArgumentParser) -> None:
    """Add `FILE`, the path of a configuration."""
    parser.add_argument(
        "file", metavar="FILE", help="path of a JSON file, or - for standard input"
    )


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def _parse_addresses(text: str) -> list[Address]:
    return [_parse_address(part) for part in text.split(",")]


def parse_version(text: str) -> int:
    """Return the configuration version in `text`, an integer from 0.

    Raise argparse.ArgumentTypeError for any other text.
    """
    if text.isascii() and text.isdigit():
        return int(text)
    raise argparse.ArgumentTypeError(
        f"expected a version number of at least 0, got {text!r}"
    )


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if 0.0 <= seconds < float("inf"):
        return seconds
    raise argparse.ArgumentTypeError(f"expected seconds of at least 0, got {text!r}")
