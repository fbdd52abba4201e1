"""A proxy's connections to one database: a pool for each organisation.

A connection belongs to the organisation that it was opened for. All pools share the
limit on the proxy's connections to the database: where one of them needs a connection
and the limit is reached, the connection of another pool that has been idle for longest
is closed for it.
"""

from collections.abc import Awaitable, Callable

from beryltiller.sessions.clocks import loop_time
from beryltiller.sessions.connections.admission_semaphore import AdmissionSemaphore
from beryltiller.sessions.connections.connection_limits import (
    ConnectionLimit,
    ConnectionPoolPolicy,
)
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import DatabaseConnection
from beryltiller.sessions.organisations import NO_ORGANISATION

# A pool without connections is forgotten after this long. It is longer than a statement
# that has the pool may wait for its turn.
UNUSED_POOL_SECONDS = 300.0

# Connections within an agreed share of the database's cap are closed after this long.
SHARE_IDLE_SECONDS = 30.0

ConnectAs = Callable[[str], Awaitable[DatabaseConnection]]


class DatabasePools:
    """The connection pools of one database.

    Use it on a single event loop.
    """

    def __init__(
        self,
        connect: ConnectAs,
        semaphore: AdmissionSemaphore,
        policy: ConnectionPoolPolicy,
        clock: Callable[[], float] = loop_time,
    ) -> None:
        """Create no pool yet; `connect` opens a connection for an organisation.

        `clock` dates the openings.
        """
        self._connect = connect
        self._semaphore = semaphore
        self._policy = policy
        self._clock = clock
        self._limit = ConnectionLimit(policy)
        self._pools: dict[str, ConnectionPool] = {}
        self._used_at: dict[str, float] = {}
        self._keeps_idle = False
        self._keeps_minimum = True

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return sum(pool.size for pool in self._pools.values())

    def set_share(self, connections: int | None) -> None:
        """Set how many connections all pools may have, or None for the policy's number.

        Connections of an agreed share are kept for longer, as no other proxy needs
        them. With a share of 0 other proxies run the statements: if they cannot, up to
        the policy's number are opened here, and none is kept once it is idle.
        """
        self._limit.set_maximum(connections or None)
        self._keeps_idle = bool(connections)
        self._keeps_minimum = connections != 0

    def pool(self, organisation: str = NO_ORGANISATION) -> ConnectionPool:
        """Return the pool of an organisation, creating it if necessary."""
        self._used_at[organisation] = loop_time()
        pool = self._pools.get(organisation)
        if pool is None:
            pool = self._pools[organisation] = ConnectionPool(
                lambda: self._connect(organisation),
                self._semaphore,
                self._policy,
                self._clock,
                self,
            )
        return pool

    def for_queries(self) -> ConnectionPool:
        """Return a pool with an idle connection, or the proxy's own one.

        Queries of the proxy itself may use the connection of any organisation.
        """
        own = self.pool()
        if own.has_idle:
            return own
        return next((each for each in self._pools.values() if each.has_idle), own)

    def close_idle(self, now: float) -> None:
        """Close connections that exceeded the idle time, and forget empty pools."""
        if self._keeps_idle:
            now -= SHARE_IDLE_SECONDS - self._policy.idle_seconds
        for organisation, pool in tuple(self._pools.items()):
            pool.close_idle(now, self._keeps_minimum)
            is_old = self._used_at[organisation] < now - UNUSED_POOL_SECONDS
            if is_old and pool.is_unused:
                del self._pools[organisation], self._used_at[organisation]

    def close(self) -> None:
        """Close idle connections now, and acquired ones when they are released."""
        for pool in self._pools.values():
            pool.close()

    # What follows is called by the pools.

    @property
    def limit(self) -> ConnectionLimit:
        """Return the limit that the pools share."""
        return self._limit

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a connection of any pool."""
        return sum(pool.waiting for pool in self._pools.values())

    @property
    def in_use(self) -> int:
        """Return how many connections of all pools are acquired."""
        return sum(pool.in_use for pool in self._pools.values())

    def share_of(self, pool: ConnectionPool, now: float) -> int:
        """Return how many connections a pool may have, beside those of the others."""
        return self._limit.max_open(now) - (self.size - pool.size)

    def make_room(self, pool: ConnectionPool, now: float) -> None:
        """Close idle connections of other pools if the shared limit is reached."""
        while self.size >= self._limit.max_open(now):
            idle = self._idle_pools(beside=pool)
            if not idle:
                return
            min(idle, key=_idle_since).close_longest_idle()

    def can_replace(self, pool: ConnectionPool) -> bool:
        """Return True if an idle connection of another pool can be closed for one."""
        return bool(self._idle_pools(beside=pool))

    def shrink(self, now: float) -> None:
        """Close idle connections beyond the shared limit, longest idle first.

        If those that are in use exceed it, they are closed when they are released.
        """
        while self.size > self._limit.max_open(now):
            idle = self._idle_pools()
            if not idle:
                break
            min(idle, key=_idle_since).close_longest_idle()
        for each in self._pools.values():
            each.fit_share(now)

    def pass_on_room(self, pool: ConnectionPool) -> bool:
        """Let another pool that waits open a connection, and return True if one does.

        A pool calls it when it releases a connection that none of its own waits for.
        """
        for other in self._pools.values():
            if other is not pool and other.notify_room():
                return True
        return False

    def _idle_pools(self, beside: ConnectionPool | None = None) -> list[ConnectionPool]:
        pools = self._pools.values()
        return [each for each in pools if each is not beside and each.has_idle]


def _idle_since(pool: ConnectionPool) -> float:
    since = pool.idle_since
    return float("inf") if since is None else since
