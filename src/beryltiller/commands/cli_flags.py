"""Flags that several subcommands share, and the types of their values."""

import argparse
import os
from argparse import ArgumentParser
from collections.abc import Callable
from typing import Any

from beryltiller.core.addresses import Address
from beryltiller.process.settings import ENVIRONMENT_PREFIX

DEFAULT_TIMEOUT_SECONDS = 5.0


def add_platform_flags(parser: ArgumentParser) -> None:
    """Add the platform's address and the time to wait for it."""
    _add_address(parser, "--platform-address", _one_address, "ip:port of the platform")
    _add_timeout_flag(parser, DEFAULT_TIMEOUT_SECONDS)


def add_operator_flags(
    parser: ArgumentParser, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
) -> None:
    """Add the proxies' addresses and the time to wait for them."""
    add_operator_address(parser)
    _add_timeout_flag(parser, timeout_seconds)


def add_operator_address(parser: ArgumentParser) -> None:
    """Add the proxies' addresses alone."""
    meaning = "ip:port of the proxies' operators' ports, separated by commas"
    _add_address(parser, "--operator-address", _addresses, meaning)


def _add_address(
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
        type=_seconds,
        default=default,
        metavar="SECONDS",
        help=f"time to wait for an answer (default {default})",
    )


def add_wait_flag(parser: ArgumentParser, meaning: str) -> None:
    """Add the time to wait for an effect; none is the default."""
    parser.add_argument(
        "--wait-seconds", type=_seconds, default=0.0, metavar="SECONDS", help=meaning
    )


def add_json_flag(parser: ArgumentParser) -> None:
    """Add the choice of JSON."""
    parser.add_argument("--json", action="store_true", help="print JSON")


def add_file(parser: ArgumentParser) -> None:
    """Add the file that holds a configuration."""
    parser.add_argument("file", metavar="FILE", help="JSON, or - for standard input")


def _one_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def _addresses(text: str) -> list[Address]:
    return [_one_address(each) for each in text.split(",")]


def parse_version(text: str) -> int:
    """Return a configuration's version."""
    if text.isascii() and text.isdigit():
        return int(text)
    raise argparse.ArgumentTypeError(f"expected a version from 0, got {text!r}")


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if 0.0 <= seconds < float("inf"):
        return seconds
    raise argparse.ArgumentTypeError(f"expected seconds from 0, got {text!r}")
