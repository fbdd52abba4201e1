"""Questions that keep a proxy sure of its groups while it has no news of the store.

Replicas show that no change of primary has come. They are asked only while there is no
news, each on one connection that is kept for it: an answer on a later one may be of
another process. The answers to callers' statements serve as well.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from beryltiller.observability import logs, session_events
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync_set import DRAIN_LEASE_SECONDS
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.errors import NotSentError, SessionError
from beryltiller.sessions.statements import AskStatus, DatabaseStatus

# How often `check` is called.
CHECK_SECONDS = 0.1
# A chain is continued when it would end within this time. Some replica answers in it.
ASK_BEFORE_SECONDS = 0.35
# With older news all replicas are asked: soon one of them does not count alone.
ONE_CHAIN_SECONDS = DRAIN_LEASE_SECONDS - 2.0
# The least time between two questions to one replica.
ASK_AGAIN_SECONDS = 0.15
# A question that has no answer by then is given up.
ANSWER_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class _KeptConnection:
    """A connection that is kept for questions, and its pool."""

    pool: ConnectionPool
    connection: PooledConnection

    def release(self) -> None:
        """Return the connection to its pool."""
        self.pool.release(self.connection)


class ContinuityWatch:
    """Asks the replicas of groups without news; use it on a single event loop."""

    def __init__(
        self,
        query_pool: Callable[[Database], ConnectionPool],
        clock: Callable[[], float],
    ) -> None:
        """Ask replicas on connections of the pools that `query_pool` returns."""
        self._query_pool = query_pool
        self._clock = clock
        self._kept: dict[Member, _KeptConnection] = {}
        self._queries: dict[Member, asyncio.Task[None]] = {}
        self._broken: set[str] = set()

    def check(self, groups: Iterable[Group]) -> None:
        """Begin to ask the replicas that have not answered for a moment."""
        for group in groups:
            if group.has_news or group.leader is None:
                self._end(group)
                continue
            self._log_gap(group)
            for replica in self._due(group):
                query = asyncio.create_task(self._ask(group, replica))
                self._queries[replica] = query

    def close(self) -> None:
        """Cancel all queries under way."""
        for query in self._queries.values():
            query.cancel()
        for kept in self._kept.values():
            kept.release()

    def _end(self, group: Group) -> None:
        """Release the connections that were kept for a group."""
        self._broken.discard(group.service)
        if not self._kept:
            return
        present = set(group.members.values())
        for member in [each for each in self._kept if each in present]:
            self._kept.pop(member).release()

    def _due(self, group: Group) -> tuple[Member, ...]:
        """Return the replicas to be asked now: one if a chain is to be continued.

        That is another one each time until an answer continues it. All are asked to
        begin one, and when two chains are needed soon.
        """
        now = self._clock()
        if group.unbroken_until > now + ASK_BEFORE_SECONDS:
            return ()
        replicas = [each for each in group.replicas if self._may_ask(group, each)]
        if not group.is_unbroken(now) or not group.is_known_within(ONE_CHAIN_SECONDS):
            return tuple(replicas)
        replicas.sort(key=lambda each: (each not in self._kept, each.watched_at))
        return tuple(replicas[:1])

    def _may_ask(self, group: Group, replica: Member) -> bool:
        now = self._clock()
        if replica in self._queries or not replica.is_available(now):
            return False
        is_late = now > replica.watched_at + ASK_AGAIN_SECONDS
        return is_late and group.is_set_current and group.is_in_sync(replica)

    def _log_gap(self, group: Group) -> None:
        """Log once that a change of primary may have come unseen."""
        if group.may_be_unbroken or group.service in self._broken:
            return
        self._broken.add(group.service)
        since = self._clock() - group.unbroken_until
        logs.log(session_events.ContinuityLost(group.service, round(since, 3)))

    async def _ask(self, group: Group, replica: Member) -> None:
        asked_at = replica.watched_at = self._clock()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                status = await self._ask_status(group, replica)
        except (SessionError, TimeoutError):
            # Another replica may do, and this one is asked again.
            return
        finally:
            self._queries.pop(replica, None)
        group.record_status(replica, status, asked_at, NO_PROOF_SECONDS)

    async def _ask_status(self, group: Group, replica: Member) -> DatabaseStatus:
        """Ask on the connection that is kept for a replica, or one to keep."""
        kept = self._kept.pop(replica, None)
        if kept is None:
            pool = self._query_pool(replica.database)
            kept = _KeptConnection(pool, await pool.acquire_for_command())
        try:
            status = await kept.connection.command(AskStatus())
        except NotSentError:
            # The database was too busy to answer.
            self._keep_or_release(group, replica, kept)
            raise
        except BaseException:
            kept.pool.discard(kept.connection)
            raise
        self._keep_or_release(group, replica, kept)
        return status

    def _keep_or_release(
        self, group: Group, replica: Member, kept: _KeptConnection
    ) -> None:
        """Keep a connection for as long as there is no news, if its answers count."""
        is_settled = kept.connection.opened_at < group.settled_at
        if is_settled and not group.has_news:
            self._kept[replica] = kept
        else:
            kept.release()
