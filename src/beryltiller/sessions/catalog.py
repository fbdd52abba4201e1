"""Routes, services and databases as a proxy knows them.

The operator's configuration names routes and services; databases register
themselves. Both come from the platform's store and are replaced whole.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique

HIDDEN_MARGIN_SECONDS = 1.0


@unique
class RouteKind(Enum):
    """Tell which log a route's reads need."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded staleness"
    READ_YOUR_WRITES = "read your writes"


@dataclass(frozen=True, slots=True)
class Route:
    """Map a caller's database name to a service.

    `timeout_seconds` bounds one statement, `objective_seconds` the whole operation;
    priority 0 is the highest.
    """

    database_name: str
    service: str
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    priority: int
    max_staleness_seconds: float


@dataclass(frozen=True, slots=True)
class Service:
    """One database group; `max_connections` is each database's cap for all callers."""

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operator's newest configuration, whole."""

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    transaction_idle_seconds: float


@dataclass(frozen=True, slots=True)
class Database:
    """A database as it registered itself.

    `incarnation` is the Unix time of its start in milliseconds, or 0 when it gives
    none: one that restarts under its identifier knows nothing of before.
    """

    identifier: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_primary: bool
    is_draining: bool
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Departed:
    """A database whose entry went at `missing_since`; it may live all the same."""

    database: Database
    missing_since: float


@dataclass(frozen=True, slots=True)
class Directory:
    """All registered databases by identifier, and those that have departed."""

    databases: Mapping[str, Database] = field(default_factory=dict)
    departed: tuple[Departed, ...] = ()

    def of_service(self, service: str) -> tuple[Database, ...]:
        """Return the service's databases."""
        found = (
            database
            for database in self.databases.values()
            if database.service == service
        )
        return tuple(found)

    def departed_of(self, service: str) -> tuple[Departed, ...]:
        """Return the service's databases that departed."""
        return tuple(each for each in self.departed if each.database.service == service)

    def hidden_of(self, service: str, trouble_since: float) -> tuple[Departed, ...]:
        """Return the departed that may be cut off together with a failing primary.

        One whose entry went before the trouble began is gone for good; one that went
        later may be with the primary on the other side of a cut, also when it was
        draining, and may go on receiving what the primary acknowledges.
        """
        since = trouble_since - HIDDEN_MARGIN_SECONDS
        return tuple(
            each for each in self.departed_of(service) if each.missing_since >= since
        )
