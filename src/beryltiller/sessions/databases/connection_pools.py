"""One proxy's connection pools, for each process of a database that it uses."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from beryltiller.sessions.connections.admission_semaphore import AdmissionSemaphore
from beryltiller.sessions.connections.connection_limits import ConnectionPoolPolicy
from beryltiller.sessions.connections.database_pools import DatabasePools
from beryltiller.sessions.connections.pooled_connection import DatabaseConnection
from beryltiller.sessions.databases.catalog import Database, Directory, Service
from beryltiller.sessions.organisations import NO_ORGANISATION

# A proxy may run this many statements at a database beyond its number of slots.
EXTRA_STATEMENTS = 1
# The share of a database's connection cap that one proxy may have open, but at least
# `MIN_CONNECTIONS`.
CONNECTION_SHARE = 0.3
MIN_CONNECTIONS = 3
# The connection cap of a service that the configuration does not have yet.
DEFAULT_MAX_CONNECTIONS = 20


class Connect(Protocol):
    """Opens a connection to a database, for the callers of an organisation."""

    def __call__(
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> Awaitable[DatabaseConnection]:
        """Return the connection, or raise `NotSentError`."""
        ...


@dataclass(frozen=True, slots=True)
class PoolKey:
    """What identifies a process of a database."""

    service: str
    identifier: str
    address: str
    incarnation: int


class ConnectionPools:
    """The pools of the databases that a proxy uses, created on demand.

    A database that has started again or moved gets a new one.
    """

    def __init__(self, connect: Connect, clock: Callable[[], float]) -> None:
        """Open connections with `connect`; `clock` dates their openings."""
        self._connect = connect
        self._clock = clock
        self._pools: dict[PoolKey, DatabasePools] = {}
        self._shares: Mapping[str, int] = {}

    def pools(
        self, database: Database, services: Mapping[str, Service]
    ) -> DatabasePools:
        """Return a database's pools; `services` states the cap of new ones."""
        key = _pool_key(database)
        pools = self._pools.get(key)
        if pools is None:
            service = services.get(database.service)
            cap = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
            pools = self._pools[key] = self._create(database, cap)
            pools.set_share(self._shares.get(database.service))
        return pools

    def set_shares(self, shares: Mapping[str, int]) -> None:
        """Limit the connections to each database of some services.

        The others keep the limit that their pools were created with. With 0, other
        proxies run the service's statements, and no idle connection is kept.
        """
        self._shares = dict(shares)
        for key, pools in self._pools.items():
            pools.set_share(self._shares.get(key.service))

    def close_removed(self, directory: Directory) -> None:
        """Close the pools of databases that are not registered any more."""
        known = {_pool_key(database) for database in directory.databases.values()}
        for key in self._pools.keys() - known:
            self._pools.pop(key).close()

    def close_idle(self, now: float) -> None:
        """Close pooled connections that exceeded their idle time."""
        for pools in self._pools.values():
            pools.close_idle(now)

    def close(self) -> None:
        """Close all pools."""
        for pools in self._pools.values():
            pools.close()

    def _create(self, database: Database, cap: int) -> DatabasePools:
        share = max(MIN_CONNECTIONS, round(cap * CONNECTION_SHARE))
        return DatabasePools(
            lambda organisation: self._connect(database, organisation),
            AdmissionSemaphore(database.slots + EXTRA_STATEMENTS),
            ConnectionPoolPolicy(share),
            self._clock,
        )


def _pool_key(database: Database) -> PoolKey:
    return PoolKey(
        database.service, database.identifier, database.address, database.incarnation
    )
