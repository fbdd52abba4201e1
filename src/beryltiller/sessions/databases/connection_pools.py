"""One proxy's connection pools, one for each process of a database."""

from collections.abc import Awaitable, Callable, Mapping

from beryltiller.sessions.connections.connection_limits import ConnectionPoolPolicy
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import DatabaseConnection
from beryltiller.sessions.connections.priority_semaphore import PrioritySemaphore
from beryltiller.sessions.databases.catalog import Database, Directory, Service

# A proxy may run this many statements at a database beyond its number of slots.
EXTRA_STATEMENTS = 1
# The share of a database's connection cap that one proxy may have open, but at least
# `MIN_CONNECTIONS`.
CONNECTION_SHARE = 0.3
MIN_CONNECTIONS = 3
# The connection cap of a service that the configuration does not have yet.
DEFAULT_MAX_CONNECTIONS = 20

Connect = Callable[[Database], Awaitable[DatabaseConnection]]
PoolKey = tuple[str, str, int]


class ConnectionPools:
    """The pools of the databases that a proxy uses, created on demand.

    A database that has started again or moved gets a new one.
    """

    def __init__(self, connect: Connect, clock: Callable[[], float]) -> None:
        """Open connections with `connect`; `clock` dates their openings."""
        self._connect = connect
        self._clock = clock
        self._pools: dict[PoolKey, ConnectionPool] = {}

    def pool(
        self, database: Database, services: Mapping[str, Service]
    ) -> ConnectionPool:
        """Return a database's pool; `services` states the cap of a new one."""
        key = _pool_key(database)
        pool = self._pools.get(key)
        if pool is None:
            service = services.get(database.service)
            cap = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
            pool = self._pools[key] = self._create(database, cap)
        return pool

    def close_removed(self, directory: Directory) -> None:
        """Close the pools of databases that are not registered any more."""
        known = {_pool_key(database) for database in directory.databases.values()}
        for key in self._pools.keys() - known:
            self._pools.pop(key).close()

    def close_idle(self, now: float) -> None:
        """Close pooled connections that exceeded their idle time."""
        for pool in self._pools.values():
            pool.close_idle(now)

    def close(self) -> None:
        """Close all pools."""
        for pool in self._pools.values():
            pool.close()

    def _create(self, database: Database, cap: int) -> ConnectionPool:
        share = max(MIN_CONNECTIONS, round(cap * CONNECTION_SHARE))
        return ConnectionPool(
            lambda: self._connect(database),
            PrioritySemaphore(database.slots + EXTRA_STATEMENTS),
            ConnectionPoolPolicy(share),
            self._clock,
        )


def _pool_key(database: Database) -> PoolKey:
    return database.identifier, database.address, database.incarnation
