"""Commands that read, compare and replace routes, pools and groups."""

import asyncio
import sys
from argparse import Namespace
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar

import aiohttp
import msgspec

from beryltiller.adapters.configuration_store import (
    LostAnswer,
    read_configuration,
    replace_configuration,
)
from beryltiller.adapters.platform_client import PlatformClient
from beryltiller.commands.command_errors import CommandError, ExitCode
from beryltiller.configuration.changes import Conflict, Delete, apply, difference
from beryltiller.configuration.tables import (
    Configuration,
    Group,
    InvalidConfiguration,
    Pool,
    Route,
    decode,
)
from beryltiller.core.addresses import Address
from beryltiller.core.ports import LostAnswerError, RefusedError, TableService
from beryltiller.core.text import columns

_Value = TypeVar("_Value")
_ROW_CLASSES: dict[str, type[Route] | type[Pool] | type[Group]] = {
    "route": Route,
    "pool": Pool,
    "group": Group,
}
_STANDARD_INPUT = "-"


def get(arguments: Namespace) -> ExitCode:
    """Print the newest configuration in the table service, as JSON."""
    _print_json(_run_with_service(arguments, _read_current))
    return ExitCode.OK


def compare(arguments: Namespace) -> ExitCode:
    """Print the changes that applying a file would make, one per line."""
    desired = _load_file(arguments.file)
    current = _run_with_service(arguments, _read_current)
    for change in difference(current, desired):
        print(change)
    return ExitCode.OK


def put(arguments: Namespace) -> ExitCode:
    """Replace the configuration with the one in a file.

    Raise CommandError with `ExitCode.CONFLICT` when the version in the table service
    is not the expected one.
    """
    desired = _with_expected_version(_load_file(arguments.file), arguments.expect)
    return _replace(arguments, desired)


def delete(arguments: Namespace) -> ExitCode:
    """Delete a route, pool or group.

    Raise CommandError with `ExitCode.CONFLICT` when the version in the table service
    is not the expected one.
    """
    current = _run_with_service(arguments, _read_current)
    change = Delete(_ROW_CLASSES[arguments.table], arguments.name)
    _find_row(_rows_of(current, f"{arguments.table}s"), arguments.name)
    result = apply(current, change)
    if invalid := result.swap().value_or(None):
        raise _invalid_error(invalid)
    return _replace(arguments, replace(result.unwrap(), version=arguments.expect))


def list_rows(arguments: Namespace) -> ExitCode:
    """Print all routes, pools or groups, as a table or as JSON."""
    current = _run_with_service(arguments, _read_current)
    rows = _rows_of(current, arguments.table)
    if arguments.json:
        _print_json(rows)
        return ExitCode.OK
    print(f"version {current.version}")
    if rows:
        table = [[_cell(value) for value in _column_values(row)] for row in rows]
        header = [name.upper() for name in msgspec.to_builtins(rows[0])]
        print(*columns(header, table), sep="\n")
    return ExitCode.OK


def get_row(arguments: Namespace) -> ExitCode:
    """Print one route, pool or group, as JSON."""
    current = _run_with_service(arguments, _read_current)
    _print_json(_find_row(_rows_of(current, arguments.table), arguments.name))
    return ExitCode.OK


def read_newest_version(arguments: Namespace) -> int:
    """Return the version of the configuration in the table service."""
    return _run_with_service(arguments, _read_current).version


def _run_with_service(
    arguments: Namespace, operation: Callable[[TableService], Awaitable[_Value]]
) -> _Value:
    address, timeout = arguments.platform_address, arguments.timeout_seconds
    return asyncio.run(_run_and_translate_errors(address, timeout, operation))


async def _run_and_translate_errors(
    address: Address,
    timeout_seconds: float,
    operation: Callable[[TableService], Awaitable[_Value]],
) -> _Value:
    async with _open_service(address, timeout_seconds) as service:
        try:
            return await operation(service)
        except RefusedError as error:
            cause = f"the table service refused ({error})"
            remedy = "nothing was changed; check --platform-address, or try again"
            raise CommandError(ExitCode.UNREACHABLE, cause, remedy) from error
        except LostAnswerError as error:
            cause = f"the table service did not answer ({error})"
            remedy = "nothing was changed; try again"
            raise CommandError(ExitCode.UNREACHABLE, cause, remedy) from error


@asynccontextmanager
async def _open_service(
    address: Address, seconds: float
) -> AsyncIterator[TableService]:
    timeout = aiohttp.ClientTimeout(total=seconds)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield PlatformClient(session, str(address))


async def _read_current(service: TableService) -> Configuration:
    result = await read_configuration(service)
    if invalid := result.swap().value_or(None):
        raise _invalid_error(invalid)
    return result.unwrap()


def _replace(arguments: Namespace, desired: Configuration) -> ExitCode:
    async def operation(service: TableService) -> Configuration | Conflict | LostAnswer:
        result = await replace_configuration(service, desired)
        return result.value_or(None) or result.failure()

    match _run_with_service(arguments, operation):
        case Configuration(version=version):
            print(f"version {version} is accepted")
            return ExitCode.OK
        case Conflict() as conflict:
            raise _conflict_error(conflict, arguments)
        case LostAnswer(reason):
            cause = f"the answer was lost ({reason})"
            remedy = (
                "the change may have taken effect; check with `beryltiller config get`"
            )
            raise CommandError(ExitCode.UNKNOWN, cause, remedy)


def _conflict_error(conflict: Conflict, arguments: Namespace) -> CommandError:
    print("your configuration, compared with the version now in force:")
    print(*(f"  {change}" for change in conflict.edits or ("nothing",)), sep="\n")
    cause = (
        f"version {conflict.current.version} is in force,"
        f" not the expected {conflict.expected}; nothing was changed"
    )
    remedy = (
        "redo the edit on the output of `beryltiller config get` and apply it with"
        f" --expect {conflict.current.version}"
    )
    return CommandError(ExitCode.CONFLICT, cause, remedy)


def _invalid_error(invalid: InvalidConfiguration) -> CommandError:
    cause = "; ".join(str(refusal) for refusal in invalid.refusals)
    return CommandError(
        ExitCode.INVALID, cause, "nothing was changed; correct the configuration"
    )


def _load_file(path: str) -> Configuration:
    try:
        text = (
            sys.stdin.buffer.read()
            if path == _STANDARD_INPUT
            else Path(path).read_bytes()
        )
    except OSError as error:
        cause = f"cannot read {path}: {error.strerror}"
        raise CommandError(ExitCode.USAGE, cause, "check the path") from None
    result = decode(text)
    if invalid := result.swap().value_or(None):
        raise _invalid_error(invalid)
    return result.unwrap()


def _with_expected_version(
    configuration: Configuration, expected: int | None
) -> Configuration:
    """Return the configuration with `expected` as the version that it replaces.

    Raise CommandError when the file states another version; 0 states none.
    """
    if expected is None or expected == configuration.version:
        return configuration
    if configuration.version != 0:
        cause = (
            f"--expect {expected} contradicts the file's version"
            f" {configuration.version}"
        )
        raise CommandError(ExitCode.INVALID, cause, "edit a copy of the newest version")
    return replace(configuration, version=expected)


def _rows_of(configuration: Configuration, table: str) -> tuple[Any, ...]:
    rows: tuple[Any, ...] = getattr(configuration, table)
    return rows


def _find_row(rows: tuple[Any, ...], name: str) -> Any:
    for row in rows:
        if row.name == name:
            return row
    names = ", ".join(row.name for row in rows) or "none"
    raise CommandError(
        ExitCode.NOT_FOUND, f'no row is named "{name}"', f"existing rows: {names}"
    )


def _column_values(row: Any) -> Iterator[Any]:
    yield from msgspec.to_builtins(row).values()


def _cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case list() | tuple():
            return ",".join(_cell(item) for item in value)
        case dict():
            return str(value["name"])
        case _:
            return str(value)


def _print_json(value: Any) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
