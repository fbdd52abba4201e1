"""Routes, services and databases as a proxy knows them.

The operator configures routes and services; databases register themselves. Both are
read from the platform's store, and always replaced as a complete set.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique

from beryltiller.sessions.organisations import (
    NO_ORGANISATION,
    Credential,
    Organisations,
)

# The identifier of whichever database of a service answers at an address.
ANY_DATABASE = ""
# The entry of a database that replaces another one at its address may come this long
# after the other one's entry has gone.
REPLACEMENT_ENTRY_SECONDS = 8.0
# An entry that went missing up to this long before a possible partition counts as
# lost in it.
PARTITION_MARGIN_SECONDS = 1.0


@unique
class RouteKind(Enum):
    """The read consistency of a route: which commits a read must see.

    `READ_YOUR_WRITES` is bounded staleness, and includes the session's own commits.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded staleness"
    READ_YOUR_WRITES = "read your writes"


@dataclass(frozen=True, slots=True)
class Route:
    """The service that a database name of callers leads to, and how it is read.

    `timeout_seconds` limits one statement; `objective_seconds` is the latency objective
    for the complete operation. Priority 0 is the highest. A read may return data that
    is up to `max_staleness_seconds` old, unless the route's kind is PRIMARY. A public
    route also serves callers that no organisation's key identifies.
    """

    database_name: str
    service: str
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    priority: int
    max_staleness_seconds: float
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A database group; `max_connections` limits each database, over all callers."""

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete version of the operator's configuration.

    With `organisations`, callers are identified by their keys; None means that the
    deployment has none.
    """

    version: int
    routes: Mapping[str, Route]
    services: Mapping[str, Service]
    transaction_idle_seconds: float
    organisations: Organisations | None = None

    def caller_organisation(
        self, route: Route, credential: Credential | None
    ) -> str | None:
        """Return the name of the organisation as which a caller is served on a route.

        It is `NO_ORGANISATION` in a deployment without organisations, and for a caller
        of a public route whose key is not known. Return None for one to be denied.
        """
        if self.organisations is None:
            return NO_ORGANISATION
        found = self.organisations.find(credential) if credential else None
        if found is not None:
            return found.name
        return NO_ORGANISATION if route.is_public else None


@dataclass(frozen=True, slots=True)
class Database:
    """A database's registry entry.

    `slots` is the number of statements that it runs at the same time.

    `incarnation` is the Unix time of its start in milliseconds, or 0 if not given. It
    tells a database apart from an earlier one with the same identifier, whose state was
    lost in the restart. `sequence` counts the states that it has reported since then.
    `revision` is the store's at which the entry was written, and 0 if not known.
    """

    identifier: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_primary: bool
    is_draining: bool
    incarnation: int = 0
    sequence: int = field(default=0, compare=False)
    revision: int = field(default=0, compare=False)

    def is_later_than(self, other: "Database") -> bool:
        """Return True if the same process reported this entry after the other one.

        That is not known of an entry without an incarnation.
        """
        is_same = bool(self.incarnation) and self.incarnation == other.incarnation
        return is_same and self.sequence > other.sequence


@dataclass(frozen=True, slots=True)
class Departed:
    """A database whose entry has been gone since `missing_since`; it may still run."""

    database: Database
    missing_since: float


@dataclass(frozen=True, slots=True)
class Directory:
    """The registered databases by identifier, and the departed ones.

    The entries of those in `lapsed` have gone a moment ago, perhaps by mistake.
    """

    databases: Mapping[str, Database] = field(default_factory=dict)
    departed: tuple[Departed, ...] = ()
    lapsed: frozenset[str] = frozenset()

    def of_service(self, service: str) -> tuple[Database, ...]:
        """Return the service's registered databases."""
        found = (
            database
            for database in self.databases.values()
            if database.service == service
        )
        return tuple(found)

    def departed_of(self, service: str) -> tuple[Departed, ...]:
        """Return the service's departed databases."""
        return tuple(each for each in self.departed if each.database.service == service)

    def possibly_partitioned_of(
        self, service: str, possible_partition_since: float
    ) -> tuple[Departed, ...]:
        """Return the departed databases that may be cut off with a failing primary.

        A database whose entry went missing more than `PARTITION_MARGIN_SECONDS` before
        `possible_partition_since` is gone for good. One that went later, even a
        draining one, may be with the primary on the other side of a partition, and may
        still receive what the primary acknowledges.
        """
        since = possible_partition_since - PARTITION_MARGIN_SECONDS
        return tuple(
            each for each in self.departed_of(service) if each.missing_since >= since
        )

    def possibly_receiving_of(
        self, service: str, possible_partition_since: float, now: float
    ) -> tuple[Departed, ...]:
        """Return the departed databases that may still receive a primary's commits.

        Besides those of `possibly_partitioned_of` these are all that did not announce
        that they would end: one that only lost the store runs on without its entry. At
        the address of one that ended recently, another may run that is not known yet.
        """
        partitioned = self.possibly_partitioned_of(service, possible_partition_since)
        return tuple(
            each
            for each in self.departed_of(service)
            if each in partitioned
            or not each.database.is_draining
            or self._may_be_replaced_unknown(each, now)
        )

    def _may_be_replaced_unknown(self, departed: Departed, now: float) -> bool:
        if now > departed.missing_since + REPLACEMENT_ENTRY_SECONDS:
            return False
        address = departed.database.address
        return all(each.address != address for each in self.databases.values())
