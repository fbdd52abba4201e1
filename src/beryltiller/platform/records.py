"""Decoding of the store's rows: the configuration and the databases' entries."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, TypeVar

import msgspec

from beryltiller.core.addresses import Address
from beryltiller.core.decoding import (
    MAX_NAME_CHARACTERS,
    Count,
    DecodingError,
    Name,
    Word,
    decode_json,
    shorten,
)
from beryltiller.core.ports import Row
from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.catalog import (
    Configuration,
    Database,
    Route,
    RouteKind,
    Service,
)
from beryltiller.sessions.organisations import (
    DEFAULT_PRIORITY,
    Organisation,
    OrganisationError,
    Organisations,
    Quota,
)

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
DATABASES_TABLE = "servers"

MAX_SLOTS = 10_000
# Operations a second, and operations of a burst.
MAX_RATE = 10**9
# The end of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999
# Longer than any process runs, and short enough for exact arithmetic in seconds.
MAX_DURATION_MS = 10**15

_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
_DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]

_T = TypeVar("_T")
_KINDS = {
    "primary": RouteKind.PRIMARY,
    "bounded_staleness": RouteKind.BOUNDED_STALENESS,
    "read_your_writes": RouteKind.READ_YOUR_WRITES,
}
_IS_PRIMARY_BY_ROLE = {"primary": True, "replica": False}
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


class RecordError(Exception):
    """A row that cannot be used; the message names the field and the reason."""


class RouteModel(msgspec.Struct, frozen=True):
    """A route of the configuration row; callers select it by `database_name`.

    See `beryltiller.sessions.catalog.Route` for the other fields.
    """

    name: str
    database_name: str
    service: str
    route_kind: str
    timeout_ms: _DurationMs
    target_latency_ms: _DurationMs = 1000
    priority: Count = 1
    max_staleness_ms: _DurationMs = 0
    public_route: bool = False


class ServiceModel(msgspec.Struct, frozen=True):
    """A service of the configuration row, which is a group of databases.

    `max_connections` limits each database's connections, over all callers.
    """

    name: str
    max_connections: Count = 20
    sync_replicas: Count = 0


class LimitsModel(msgspec.Struct, frozen=True):
    """Limits that apply to all routes."""

    transaction_idle_ms: _DurationMs = 3000


class TenantModel(msgspec.Struct, frozen=True):
    """An organisation of the configuration row, with the keys of its callers.

    `rate_per_s` and `burst` count operations over all proxies; without a rate they are
    not limited. Priority 0 is the highest.
    """

    name: Word
    api_keys: tuple[str, ...] = ()
    priority: Count = DEFAULT_PRIORITY
    rate_per_s: _Rate | None = None
    burst: _Rate = 0.0


class ConfigurationModel(msgspec.Struct, frozen=True):
    """The operator's configuration row.

    `config_version` is the version of the configuration, not that of the row. Without
    `tenants`, the deployment has no organisations.
    """

    config_version: Count
    routes: tuple[RouteModel, ...]
    services: tuple[ServiceModel, ...]
    limits: LimitsModel = LimitsModel()
    tenants: tuple[TenantModel, ...] | None = None


class DatabaseModel(msgspec.Struct, frozen=True):
    """The row by which a database registers itself.

    Other programs write such rows too, so a row that lacks a field without a default is
    refused as incomplete, even if the proxy does not use the field. It does not use
    `config_version`, the version of the database's software, and `cold_remaining_ms`.
    `sequence` rises with each report of the database, and starts anew with it. `slots`
    is the number of statements that the database runs at the same time, and `born` the
    Unix time of its start in milliseconds.
    """

    service: Name
    address: Name
    zone: Name
    config_version: Name | int
    slots: _Slots
    state: Name
    cold_remaining_ms: float
    sequence: Count
    database_role: Name
    born: _UnixMs = 0


def decode_configuration(row: Row) -> Configuration:
    """Decode the operator's configuration row, or raise `RecordError`."""
    model = _decode(row, ConfigurationModel)
    routes = {route.database_name: _decode_route(route) for route in model.routes}
    services = {
        service.name: Service(
            service.name, service.max_connections, service.sync_replicas
        )
        for service in model.services
    }
    idle_seconds = model.limits.transaction_idle_ms / 1000
    return Configuration(
        model.config_version,
        routes,
        services,
        idle_seconds,
        _decode_organisations(model.tenants),
    )


def decode_database(row: Row) -> Database:
    """Decode a database's entry, or raise `RecordError`."""
    model = _decode(row, DatabaseModel)
    _check_word("key", row.key)
    _check_word("service", model.service)
    if model.database_role not in _IS_PRIMARY_BY_ROLE:
        raise RecordError(f"database_role: unknown {model.database_role[:40]!r}")
    if model.state not in _IS_DRAINING_BY_STATE:
        raise RecordError(f"state: unknown {model.state[:40]!r}")
    try:
        Address.parse_remote(model.address)
    except ValueError as error:
        raise RecordError(f"address: {error}") from error
    return Database(
        identifier=row.key,
        service=model.service,
        address=model.address,
        availability_zone=model.zone,
        slots=model.slots,
        is_primary=_IS_PRIMARY_BY_ROLE[model.database_role],
        is_draining=_IS_DRAINING_BY_STATE[model.state],
        incarnation=model.born,
        sequence=model.sequence,
        revision=row.version,
    )


class RefusalLog:
    """A log of refused rows, which has each version of a row once.

    A table is decoded again after each change of any of its rows.
    """

    def __init__(self) -> None:
        """Create a log without rows."""
        self._refused: Mapping[str, Row] = {}

    def record(self, refused: Sequence[tuple[Row, str]]) -> None:
        """Log the rows, each with the reason, that were not refused the last time."""
        for row, reason in refused:
            if self._refused.get(row.key) != row:
                logs.log(session_events.EntryRefused(shorten(row.key), reason))
        self._refused = {row.key: row for row, _ in refused}


def decode_databases(
    rows: Iterable[Row], refusal_log: RefusalLog | None = None
) -> list[Database]:
    """Decode the databases' entries; log and skip those that cannot be used.

    Pass the same `refusal_log` for each reading of a table.
    """
    databases = []
    refused = []
    for row in rows:
        try:
            databases.append(decode_database(row))
        except RecordError as error:
            refused.append((row, str(error)))
    (refusal_log or RefusalLog()).record(refused)
    return databases


def _check_word(field: str, text: str) -> None:
    """Raise `RecordError` unless a text can be one field of the line protocol."""
    is_word = text.isprintable() and " " not in text
    if not 0 < len(text) <= MAX_NAME_CHARACTERS or not is_word:
        raise RecordError(
            f"{field}: {text[:40]!r} is empty, too long, or contains blanks or"
            " unprintable characters"
        )


def _decode_organisations(
    tenants: tuple[TenantModel, ...] | None,
) -> Organisations | None:
    if tenants is None:
        return None
    try:
        return Organisations.of(
            (_decode_organisation(each), each.api_keys) for each in tenants
        )
    except OrganisationError as error:
        raise RecordError(f"tenants: {error}") from error


def _decode_organisation(model: TenantModel) -> Organisation:
    quota = None
    if model.rate_per_s is not None:
        quota = Quota(model.rate_per_s, model.burst)
    return Organisation(model.name, model.priority, quota)


def _decode_route(model: RouteModel) -> Route:
    kind = _KINDS.get(model.route_kind)
    if kind is None:
        raise RecordError(f"route_kind: unknown {model.route_kind[:40]!r}")
    return Route(
        model.database_name,
        model.service,
        kind,
        model.timeout_ms / 1000,
        model.target_latency_ms / 1000,
        model.priority,
        model.max_staleness_ms / 1000,
        model.public_route,
    )


def _decode(row: Row, model: type[_T]) -> _T:
    try:
        return decode_json(row.value, model)
    except DecodingError as error:
        raise RecordError(f"row {shorten(row.key)}: {error}") from error
