"""Commands on routes, pools and groups: read, compare, replace."""

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
    """Print the configuration in force in the table service, as JSON."""
    _print_json(_with_service(arguments, _read))
    return ExitCode.OK


def compare(arguments: Namespace) -> ExitCode:
    """Print what applying a file would change."""
    wanted = _file_configuration(arguments.file)
    current = _with_service(arguments, _read)
    for edit in difference(current, wanted):
        print(edit)
    return ExitCode.OK


def put(arguments: Namespace) -> ExitCode:
    """Replace the configuration by a file's, if the version is as expected."""
    wanted = _expecting(_file_configuration(arguments.file), arguments.expect)
    return _replace(arguments, wanted)


def delete(arguments: Namespace) -> ExitCode:
    """Delete a route, pool or group, if the version is as expected."""
    current = _with_service(arguments, _read)
    change = Delete(_ROW_CLASSES[arguments.table], arguments.name)
    _find(_rows(current, f"{arguments.table}s"), arguments.name)
    result = apply(current, change)
    if refused := result.swap().value_or(None):
        raise _invalid(refused)
    return _replace(arguments, replace(result.unwrap(), version=arguments.expect))


def list_rows(arguments: Namespace) -> ExitCode:
    """Print all routes, pools or groups."""
    current = _with_service(arguments, _read)
    rows = _rows(current, arguments.table)
    if arguments.json:
        _print_json(rows)
        return ExitCode.OK
    print(f"version {current.version}")
    if rows:
        table = [[_cell(value) for value in _values(row)] for row in rows]
        header = [name.upper() for name in msgspec.to_builtins(rows[0])]
        print(*columns(header, table), sep="\n")
    return ExitCode.OK


def get_row(arguments: Namespace) -> ExitCode:
    """Print one route, pool or group, as JSON."""
    current = _with_service(arguments, _read)
    _print_json(_find(_rows(current, arguments.table), arguments.name))
    return ExitCode.OK


def store_version(arguments: Namespace) -> int:
    """Return the version of the configuration in the table service."""
    return _with_service(arguments, _read).version


def _with_service(
    arguments: Namespace, work: Callable[[TableService], Awaitable[_Value]]
) -> _Value:
    address, timeout = arguments.platform_address, arguments.timeout_seconds
    return asyncio.run(_run(address, timeout, work))


async def _run(
    address: Address,
    timeout_seconds: float,
    work: Callable[[TableService], Awaitable[_Value]],
) -> _Value:
    async with _service(address, timeout_seconds) as service:
        try:
            return await work(service)
        except RefusedError as error:
            cause = f"the table service refused ({error})"
            mend = "nothing was changed; check --platform-address or try again"
            raise CommandError(ExitCode.UNREACHABLE, cause, mend) from error
        except LostAnswerError as error:
            cause = f"the table service did not answer ({error})"
            mend = "nothing was changed; try again"
            raise CommandError(ExitCode.UNREACHABLE, cause, mend) from error


@asynccontextmanager
async def _service(address: Address, seconds: float) -> AsyncIterator[TableService]:
    timeout = aiohttp.ClientTimeout(total=seconds)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield PlatformClient(session, str(address))


async def _read(service: TableService) -> Configuration:
    result = await read_configuration(service)
    if refused := result.swap().value_or(None):
        raise _invalid(refused)
    return result.unwrap()


def _replace(arguments: Namespace, wanted: Configuration) -> ExitCode:
    async def work(service: TableService) -> Configuration | Conflict | LostAnswer:
        result = await replace_configuration(service, wanted)
        return result.value_or(None) or result.failure()

    match _with_service(arguments, work):
        case Configuration(version=version):
            print(f"version {version} is accepted")
            return ExitCode.OK
        case Conflict() as lost:
            raise _conflict(lost, arguments)
        case LostAnswer(reason):
            cause = f"the answer was lost ({reason})"
            mend = "it may have taken effect; look with `beryltiller config get`"
            raise CommandError(ExitCode.UNKNOWN, cause, mend)


def _conflict(lost: Conflict, arguments: Namespace) -> CommandError:
    print("applied to the version now in force, your change would do:")
    print(*(f"  {edit}" for edit in lost.edits or ("nothing",)), sep="\n")
    cause = (
        f"version {lost.current.version} is in force,"
        f" not the expected {lost.expected}; nothing was changed"
    )
    mend = f"edit again from `beryltiller config get`, --expect {lost.current.version}"
    return CommandError(ExitCode.CONFLICT, cause, mend)


def _invalid(refused: InvalidConfiguration) -> CommandError:
    cause = "; ".join(str(refusal) for refusal in refused.refusals)
    return CommandError(ExitCode.INVALID, cause, "correct it, nothing was changed")


def _file_configuration(path: str) -> Configuration:
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
    if refused := result.swap().value_or(None):
        raise _invalid(refused)
    return result.unwrap()


def _expecting(configuration: Configuration, expected: int | None) -> Configuration:
    """Return the file's configuration, to replace the version that was stated."""
    if expected is None or expected == configuration.version:
        return configuration
    if configuration.version != 0:
        cause = (
            f"--expect {expected} contradicts the file's version"
            f" {configuration.version}"
        )
        raise CommandError(ExitCode.INVALID, cause, "edit from the newest version")
    return replace(configuration, version=expected)


def _rows(configuration: Configuration, table: str) -> tuple[Any, ...]:
    rows: tuple[Any, ...] = getattr(configuration, table)
    return rows


def _find(rows: tuple[Any, ...], name: str) -> Any:
    for row in rows:
        if row.name == name:
            return row
    names = ", ".join(row.name for row in rows) or "none"
    raise CommandError(ExitCode.NOT_FOUND, f'no row "{name}"', f"there are: {names}")


def _values(row: Any) -> Iterator[Any]:
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
