"""Routes, pools and groups: the configuration document and its validation.

The whole configuration is one row of the table service, replaced by
compare-and-set, and the row's version is the configuration's version. Documents
from outside are decoded into `msgspec` models, checked whole and turned into the
frozen data classes that all other modules use.

>>> document = b'{"routes": [{"name": "r1", "kind": "read", "pool": "p9"}]}'
>>> print(decode(document).failure())
routes[0] "r1": pool: no pool named "p9"
"""

import ipaddress
import json
import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Annotated, Any, Protocol

import msgspec
from returns.result import Failure, Result, Success

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
_ROW_PATH = re.compile(r"(\w+)\[(\d+)\]\.?")

_Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
_MaxAge = Annotated[int, msgspec.Meta(ge=1, le=MAX_AGE_MS)]
_ConnectionCap = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTION_CAP)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Version = Annotated[int, msgspec.Meta(ge=0)]
_GroupNames = Annotated[list[_Name], msgspec.Meta(min_length=1)]
_Rows = msgspec.Meta(max_length=MAX_ROWS)


@dataclass(frozen=True, slots=True)
class Route:
    """Name a kind of work and its pool; `max_age_ms` only for reads of a stated age."""

    name: str
    kind: Kind
    pool: str
    max_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """Name the database groups that share a kind of work."""

    name: str
    groups: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Database:
    """Describe one database of a group; `address` is `ip:port`."""

    name: str
    address: str
    availability_zone: str
    connection_cap: int
    slots: int


@dataclass(frozen=True, slots=True)
class Group:
    """Name the databases that replicate one log."""

    name: str
    databases: tuple[Database, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of all routes, pools and groups.

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
    """List every fault of a document, each with row and field."""

    refusals: tuple[Refusal, ...]

    def __str__(self) -> str:
        """Return one fault a line."""
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
    version: _Version = 0
    routes: Annotated[list[_RouteModel], _Rows] = []
    pools: Annotated[list[_PoolModel], _Rows] = []
    groups: Annotated[list[_GroupModel], _Rows] = []


class _Named(Protocol):
    @property
    def name(self) -> str: ...


def decode(document: bytes) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration in a JSON document, validated whole."""
    if len(document) > MAX_DOCUMENT_BYTES:
        reason = f"larger than {MAX_DOCUMENT_BYTES} bytes"
        return _invalid(Refusal(reason, "document"))
    try:
        model = msgspec.json.decode(document, type=_ConfigurationModel)
    except msgspec.ValidationError as error:
        return _invalid(_explain(str(error), document))
    except msgspec.DecodeError as error:
        return _invalid(Refusal(str(error), "document"))
    return validate(msgspec.convert(model, Configuration, from_attributes=True))


def encode(configuration: Configuration) -> bytes:
    """Return the configuration as a JSON document."""
    return msgspec.json.encode(configuration)


def from_row(row: Row | None) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration in its row of the table service."""
    if row is None:
        return Success(EMPTY)
    return decode(row.value).map(lambda found: replace(found, version=row.version))


def to_write(configuration: Configuration) -> Write:
    """Return the compare-and-set that replaces the version edited from."""
    return Write(TABLE, KEY, configuration.version, encode(configuration))


def validate(
    configuration: Configuration,
) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration, or all rows and fields that break a rule.

    A rebuilt configuration is checked by the same models as a document, so that an
    edit in memory cannot get past the bounds.
    """
    document = encode(configuration)
    try:
        msgspec.json.decode(document, type=_ConfigurationModel)
    except msgspec.ValidationError as error:
        return _invalid(_explain(str(error), document))
    refusals = tuple(_faults(configuration))
    return _invalid(*refusals) if refusals else Success(configuration)


def _invalid(*refusals: Refusal) -> Failure[InvalidConfiguration]:
    return Failure(InvalidConfiguration(refusals))


def _explain(message: str, document: bytes) -> Refusal:
    reason, _, path = message.partition(" - at `$")
    path = path.rstrip("`").lstrip(".")
    found = _ROW_PATH.match(path)
    if found is None:
        return Refusal(reason, path or "document")
    table, index = found.group(1), int(found.group(2))
    name = _raw_name(json.loads(document), table, index)
    return Refusal(reason, _field(table, index, name, path[found.end() :]))


def _raw_name(document: Any, table: str, index: int) -> str:
    row = document[table][index]
    return str(row.get("name", "")) if isinstance(row, dict) else ""


def _field(table: str, index: int, name: str, field: str) -> str:
    row = f'{table}[{index}] "{name}"'
    return f"{row}: {field}" if field else row


def _faults(configuration: Configuration) -> Iterator[Refusal]:
    yield from _duplicates("routes", configuration.routes)
    yield from _duplicates("pools", configuration.pools)
    yield from _duplicates("groups", configuration.groups)
    yield from _route_faults(configuration)
    yield from _pool_faults(configuration)
    yield from _database_faults(configuration)


def _duplicates(table: str, rows: Sequence[_Named]) -> Iterator[Refusal]:
    for index in _repeated(row.name for row in rows):
        name = rows[index].name
        yield Refusal(f'"{name}" is used twice', _field(table, index, name, "name"))


def _repeated(values: Iterable[str]) -> Iterator[int]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield index
        seen.add(value)


def _route_faults(configuration: Configuration) -> Iterator[Refusal]:
    pools = {pool.name for pool in configuration.pools}
    for index, route in enumerate(configuration.routes):
        if route.pool not in pools:
            field = _field("routes", index, route.name, "pool")
            yield Refusal(f'no pool named "{route.pool}"', field)
        field = _field("routes", index, route.name, "max_age_ms")
        if route.kind is Kind.AGED_READ and route.max_age_ms is None:
            yield Refusal("needed for kind aged-read", field)
        if route.kind is not Kind.AGED_READ and route.max_age_ms is not None:
            yield Refusal(f"not allowed for kind {route.kind.value}", field)


def _pool_faults(configuration: Configuration) -> Iterator[Refusal]:
    groups = {group.name for group in configuration.groups}
    for index, pool in enumerate(configuration.pools):
        for place, name in enumerate(pool.groups):
            if name not in groups:
                field = _field("pools", index, pool.name, f"groups[{place}]")
                yield Refusal(f'no group named "{name}"', field)
        for place in _repeated(pool.groups):
            field = _field("pools", index, pool.name, f"groups[{place}]")
            yield Refusal(f'"{pool.groups[place]}" is listed twice', field)


def _database_faults(configuration: Configuration) -> Iterator[Refusal]:
    names: set[str] = set()
    addresses: set[str] = set()
    for index, group in enumerate(configuration.groups):
        for place, database in enumerate(group.databases):
            field = _field("groups", index, group.name, f"databases[{place}]")
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
    return port.isascii() and port.isdigit() and 0 < int(port) < 65536
