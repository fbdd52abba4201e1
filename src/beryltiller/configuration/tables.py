"""Routes, pools and groups: the configuration document and its validation.

The complete configuration is one row of the table service, replaced by
compare-and-set, and the row's version is the configuration's version. Documents
from outside are decoded into `msgspec` models, checked completely and converted to
the frozen data classes that all other modules use.

>>> document = b'{"routes": [{"name": "r1", "kind": "read", "pool": "p9"}]}'
>>> print(decode(document).failure())
routes[0] "r1": pool: no pool named "p9"
"""

import ipaddress
import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Annotated, Any, Protocol

import msgspec
from returns.result import Failure, Result, Success

from beryltiller.core.decoding import Count, DecodingError, decode_json, shorten
from beryltiller.core.outcome import Kind, Refusal
from beryltiller.core.ports import Row, Write

TABLE = "configuration"
KEY = "current"

MAX_DOCUMENT_BYTES = 1_000_000
MAX_AGE_MS = 3_600_000
MAX_CONNECTION_CAP = 10_000
MAX_SLOTS = 1_000
MAX_DATABASES_PER_GROUP = 9
MAX_ROWS = 10_000

_NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z"
_MAX_PORT_DIGITS = 5
_ROW_PATH = re.compile(r"(\w+)\[(\d+)\]\.?")

_Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
_MaxAge = Annotated[int, msgspec.Meta(ge=1, le=MAX_AGE_MS)]
_ConnectionCap = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTION_CAP)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_GroupNames = Annotated[list[_Name], msgspec.Meta(min_length=1)]
_Rows = msgspec.Meta(max_length=MAX_ROWS)


@dataclass(frozen=True, slots=True)
class Route:
    """A named kind of statement, and the pool that serves it.

    `max_age_ms` is set for kind `aged-read` only.
    """

    name: str
    kind: Kind
    pool: str
    max_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """The database groups that serve the routes of this pool, by name."""

    name: str
    groups: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Database:
    """One database of a group; `address` is `ip:port`.

    `slots` is the number of statements that it runs at once.
    """

    name: str
    address: str
    availability_zone: str
    connection_cap: int
    slots: int


@dataclass(frozen=True, slots=True)
class Group:
    """The databases that replicate one log: a primary and its replicas."""

    name: str
    databases: tuple[Database, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all routes, pools and groups.

    In a file that an operator edits, `version` is the version the edit started
    from, which is the version the compare-and-set expects.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    groups: tuple[Group, ...] = ()


EMPTY = Configuration()


@dataclass(frozen=True, slots=True)
class InvalidConfiguration:
    """All faults of a document, each with row and field."""

    refusals: tuple[Refusal, ...]

    def __str__(self) -> str:
        """Return the faults, each on a line of its own."""
        return "\n".join(str(refusal) for refusal in self.refusals)


class _RouteModel(msgspec.Struct, forbid_unknown_fields=True):
    name: _Name
    kind: Kind
    pool: _Name
    max_age_ms: _MaxAge | None = None


class _PoolModel(msgspec.Struct, forbid_unknown_fields=True):
    name: _Name
    groups: _GroupNames


class _DatabaseModel(msgspec.Struct, forbid_unknown_fields=True):
    name: _Name
    address: str
    availability_zone: _Name
    connection_cap: _ConnectionCap
    slots: _Slots


_Databases = Annotated[
    list[_DatabaseModel],
    msgspec.Meta(min_length=1, max_length=MAX_DATABASES_PER_GROUP),
]


class _GroupModel(msgspec.Struct, forbid_unknown_fields=True):
    name: _Name
    databases: _Databases


class _ConfigurationModel(msgspec.Struct, forbid_unknown_fields=True):
    version: Count = 0
    routes: Annotated[list[_RouteModel], _Rows] = []
    pools: Annotated[list[_PoolModel], _Rows] = []
    groups: Annotated[list[_GroupModel], _Rows] = []


class _Named(Protocol):
    @property
    def name(self) -> str: ...


def decode(document: bytes) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration in a JSON document, or the faults of the document."""
    if len(document) > MAX_DOCUMENT_BYTES:
        reason = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        return _invalid(Refusal(reason, "document"))
    try:
        model = decode_json(document, _ConfigurationModel)
    except DecodingError as error:
        return _invalid(_refusal_from_error(str(error), document))
    return validate(msgspec.convert(model, Configuration, from_attributes=True))


def encode(configuration: Configuration) -> bytes:
    """Return the JSON document of a configuration, which `decode` accepts."""
    return msgspec.json.encode(configuration)


def from_row(row: Row | None) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration in its row, with the row's version; None is `EMPTY`."""
    if row is None:
        return Success(EMPTY)
    return decode(row.value).map(lambda found: replace(found, version=row.version))


def to_write(configuration: Configuration) -> Write:
    """Return the compare-and-set that expects the version the edit started from."""
    return Write(TABLE, KEY, configuration.version, encode(configuration))


def validate(
    configuration: Configuration,
) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration, or all its faults with row and field.

    A configuration built in memory is checked by the same models as a document, so
    that it cannot exceed the limits on fields.
    """
    document = encode(configuration)
    try:
        decode_json(document, _ConfigurationModel)
    except DecodingError as error:
        return _invalid(_refusal_from_error(str(error), document))
    refusals = tuple(_find_faults(configuration))
    return _invalid(*refusals) if refusals else Success(configuration)


def _invalid(*refusals: Refusal) -> Failure[InvalidConfiguration]:
    return Failure(InvalidConfiguration(refusals))


def _refusal_from_error(message: str, document: bytes) -> Refusal:
    reason, _, path = message.partition(" - at `$")
    path = path.rstrip("`").lstrip(".")
    found = _ROW_PATH.match(path)
    if found is None:
        return Refusal(reason, path or "document")
    table, index = found.group(1), int(found.group(2))
    name = _row_name(document, table, index)
    return Refusal(reason, _field_path(table, index, name, path[found.end() :]))


def _row_name(document: bytes, table: str, index: int) -> str:
    """Return the name in a row, or an empty text if the row cannot be found.

    The rest of the document may be malformed, as the first fault ended its decoding.
    """
    try:
        row = decode_json(document, dict[str, Any])[table][index]
    except (DecodingError, LookupError, TypeError):
        return ""
    return shorten(str(row.get("name", ""))) if isinstance(row, dict) else ""


def _field_path(table: str, index: int, name: str, field: str) -> str:
    row = f'{table}[{index}] "{name}"'
    return f"{row}: {field}" if field else row


def _find_faults(configuration: Configuration) -> Iterator[Refusal]:
    yield from _find_duplicates("routes", configuration.routes)
    yield from _find_duplicates("pools", configuration.pools)
    yield from _find_duplicates("groups", configuration.groups)
    yield from _find_route_faults(configuration)
    yield from _find_pool_faults(configuration)
    yield from _find_database_faults(configuration)


def _find_duplicates(table: str, rows: Sequence[_Named]) -> Iterator[Refusal]:
    for index in _repeated_indices(row.name for row in rows):
        name = rows[index].name
        yield Refusal(
            f'"{name}" is used twice', _field_path(table, index, name, "name")
        )


def _repeated_indices(values: Iterable[str]) -> Iterator[int]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield index
        seen.add(value)


def _find_route_faults(configuration: Configuration) -> Iterator[Refusal]:
    pools = {pool.name for pool in configuration.pools}
    for index, route in enumerate(configuration.routes):
        if route.pool not in pools:
            field = _field_path("routes", index, route.name, "pool")
            yield Refusal(f'no pool named "{route.pool}"', field)
        field = _field_path("routes", index, route.name, "max_age_ms")
        if route.kind is Kind.AGED_READ and route.max_age_ms is None:
            yield Refusal("needed for kind aged-read", field)
        if route.kind is not Kind.AGED_READ and route.max_age_ms is not None:
            yield Refusal(f"not allowed for kind {route.kind.value}", field)


def _find_pool_faults(configuration: Configuration) -> Iterator[Refusal]:
    groups = {group.name for group in configuration.groups}
    for index, pool in enumerate(configuration.pools):
        for inner_index, name in enumerate(pool.groups):
            if name not in groups:
                field = _field_path("pools", index, pool.name, f"groups[{inner_index}]")
                yield Refusal(f'no group named "{name}"', field)
        for inner_index in _repeated_indices(pool.groups):
            field = _field_path("pools", index, pool.name, f"groups[{inner_index}]")
            yield Refusal(f'"{pool.groups[inner_index]}" is listed twice', field)


def _find_database_faults(configuration: Configuration) -> Iterator[Refusal]:
    names: set[str] = set()
    addresses: set[str] = set()
    for index, group in enumerate(configuration.groups):
        for inner_index, database in enumerate(group.databases):
            field = _field_path(
                "groups", index, group.name, f"databases[{inner_index}]"
            )
            if database.name in names:
                yield Refusal(f'"{database.name}" is used twice', f"{field}.name")
            if database.address in addresses:
                reason = f'"{database.address}" is used twice'
                yield Refusal(reason, f"{field}.address")
            if not _is_address(database.address):
                reason = f'"{database.address}" is not an IP number and port'
                yield Refusal(reason, f"{field}.address")
            names.add(database.name)
            addresses.add(database.address)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    return is_number and 0 < int(port) < 65536
