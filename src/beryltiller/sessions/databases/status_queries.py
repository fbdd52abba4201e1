"""Status queries of databases: who leads, and in which term.

Their results are recorded in the groups. All callers that wait for the proof of a
term share the queries of it that are under way.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.connections.pooled_queries import run_command, run_query
from beryltiller.sessions.databases.announced import KnownAnnouncements
from beryltiller.sessions.databases.catalog import Database, Directory
from beryltiller.sessions.databases.evidence import NO_PROOF_SECONDS
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import NEVER, Member
from beryltiller.sessions.errors import NoCapacityError, SessionError
from beryltiller.sessions.statements import (
    AskStatus,
    Code,
    DatabaseStatus,
)

STATUS_TIMEOUT_SECONDS = 0.3
# How long replicas are waited for after the first one has answered. Without them the
# term is proved up to the moment of the question, and not beyond.
LATE_ANSWER_SECONDS = 0.1
# How many rounds of replica queries one read waits for until the leader's term is
# proved.
MAX_PROOF_ATTEMPTS = 2
# Minimum time between two queries of a database that claims to lead without stating
# its term.
CONFIRM_INTERVAL_SECONDS = 0.4

_Answer = TypeVar("_Answer")


class StatusQueries:
    """The status queries of one proxy, over the connection pools that it has.

    Use it on a single event loop.
    """

    def __init__(
        self,
        connection_pool: Callable[[Database], ConnectionPool],
        announced: KnownAnnouncements,
        clock: Callable[[], float],
    ) -> None:
        """Create queries of databases by their pools.

        Answers count by what is `announced`.
        """
        self._connection_pool = connection_pool
        self._announced = announced
        self._clock = clock
        self._proofs: dict[str, asyncio.Task[None]] = {}
        self._queries: set[asyncio.Task[DatabaseStatus | None]] = set()
        self._claimant_queried_at: dict[str, float] = {}

    async def ask_status(self, member: Member) -> DatabaseStatus:
        """Query a database's status over a pooled connection.

        Raise `NoCapacityError` if callers' statements use all connections.
        """
        return await self._query(member, lambda each: each.command(AskStatus()))

    async def prove_term(
        self, group: Group, moment: float, wait_seconds: float
    ) -> bool:
        """Query replicas until they prove the leader's term current up to `moment`.

        Return True once the term is proved, and False if it is not proved within
        `wait_seconds` or `MAX_PROOF_ATTEMPTS` rounds, or if there is no leader.
        """
        deadline = self._clock() + wait_seconds
        for _ in range(MAX_PROOF_ATTEMPTS):
            if group.is_term_proved(moment):
                return True
            proof = self._proofs.get(group.service)
            if proof is None:
                proof = asyncio.create_task(self._prove_term(group))
                self._proofs[group.service] = proof
            left = deadline - self._clock()
            if left <= 0 or group.leader is None:
                break
            await asyncio.wait((proof,), timeout=left)
        return group.is_term_proved(moment)

    async def confirm_leaders(self, groups: Iterable[Group]) -> None:
        """Query the status of databases that claim to lead but have stated no term."""
        now = self._clock()
        confirmations = [
            self._confirm(group, member)
            for group in tuple(groups)
            for member in group.leaders_to_confirm()
            if self._is_confirmation_due(member, now)
        ]
        await asyncio.gather(*confirmations)

    async def is_responding(self, member: Member) -> bool:
        """Return True if a database answers, even if only that it is busy.

        The query takes no connection that callers' statements use: the lack of one
        would show nothing.
        """
        pool = self._connection_pool(member.database)
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                connection = await pool.acquire_for_command()
                await run_command(pool, connection, AskStatus())
        except (SessionError, TimeoutError) as error:
            return _is_refused_for_load(error)
        return True

    def record_failure(self, member: Member, error: Exception) -> None:
        """Record a failed status query; one refused for load shows a running database.

        A query that this proxy did not send for lack of capacity shows nothing.
        """
        if _is_refused_for_load(error):
            member.record_probe_answer(self._clock())
        elif not isinstance(error, NoCapacityError):
            member.record_probe_failure(self._clock())

    def forget_removed(self, directory: Directory) -> None:
        """Forget when databases that are no longer registered were queried."""
        for identifier in self._claimant_queried_at.keys() - directory.databases:
            del self._claimant_queried_at[identifier]

    def close(self) -> None:
        """Cancel all queries under way."""
        for task in (*self._proofs.values(), *self._queries):
            task.cancel()

    def _is_confirmation_due(self, member: Member, now: float) -> bool:
        """Return True, and record the query, if a claimant was not queried recently."""
        identifier = member.database.identifier
        if (
            now
            < self._claimant_queried_at.get(identifier, NEVER)
            + CONFIRM_INTERVAL_SECONDS
        ):
            return False
        self._claimant_queried_at[identifier] = now
        return True

    async def _confirm(self, group: Group, member: Member) -> None:
        asked_at = self._clock()
        status = await self._answer_or_none(member)
        if status is None:
            return
        member.record_probe_answer(self._clock())
        group.record_status(member, status, asked_at, NO_PROOF_SECONDS)

    async def _prove_term(self, group: Group) -> None:
        """Prove the leader's term: it still leads, and some replica is not fenced.

        A replica that was not fenced does not show that the leader has not stepped
        down, after which a succession may go on without that replica.
        """
        try:
            await asyncio.gather(self._confirm_lead(group), self._query_fences(group))
        finally:
            del self._proofs[group.service]

    async def _confirm_lead(self, group: Group) -> None:
        """Ask the leader whether it is still primary, unless it showed so recently."""
        leader = group.leader
        asked_at = self._clock()
        if leader is None or group.is_lead_shown(asked_at):
            return
        try:
            is_primary = await self._query(leader, lambda each: each.is_primary())
        except (SessionError, TimeoutError) as error:
            self.record_failure(leader, error)
            return
        if is_primary:
            group.record_lead(leader, asked_at)
        else:
            group.record_lead_denied(leader)

    async def _query_fences(self, group: Group) -> None:
        """Query all replicas at once whether they are fenced.

        Once one has answered, the others are waited for only briefly.
        """
        asked_at = self._clock()
        queries = {
            member: asyncio.create_task(self.status_or_none(member))
            for member in self._available_replicas(group)
        }
        self._queries.update(queries.values())
        for query in queries.values():
            query.add_done_callback(self._queries.discard)
        if not queries:
            return
        await asyncio.wait(queries.values(), return_when=asyncio.FIRST_COMPLETED)
        await asyncio.wait(queries.values(), timeout=LATE_ANSWER_SECONDS)
        answers = [
            (member, status)
            for member, query in queries.items()
            if query.done() and (status := query.result()) is not None
        ]
        group.record_round(answers, asked_at)
        is_late = any(
            status.connected_at >= self._announced.at for _, status in answers
        )
        if is_late or not group.is_unbroken(asked_at):
            self._announced.request()
        leader = group.leader
        terms = {status.term for _, status in answers}
        if leader is not None and terms and leader.reported_primary_term not in terms:
            # The replicas' statuses prove only a term that the leader reported.
            await self._query_leader(group, leader, max(terms))
            group.record_round(answers, asked_at)

    async def status_or_none(self, member: Member) -> DatabaseStatus | None:
        """Return a database's status, or None if it is unavailable or fails."""
        if not member.is_available(self._clock()):
            return None
        return await self._answer_or_none(member)

    async def _answer_or_none(self, member: Member) -> DatabaseStatus | None:
        """Return a database's status, or None if the query fails."""
        try:
            return await self.ask_status(member)
        except (SessionError, TimeoutError) as error:
            self.record_failure(member, error)
            return None

    async def _query_leader(self, group: Group, leader: Member, term: int) -> None:
        """Query a leader that may be replaced, or has not stated its term.

        If it answers that it is not primary in `term` or a later one, it no longer
        counts as leader.
        """
        asked_at = self._clock()
        status = await self._answer_or_none(leader)
        if status is None:
            return
        group.record_status(leader, status, asked_at, NO_PROOF_SECONDS)
        if not status.is_primary or status.term < term:
            group.record_lead_denied(leader)

    async def _query(
        self, member: Member, query: Callable[[PooledConnection], Awaitable[_Answer]]
    ) -> _Answer:
        """Run a query at a database over a pooled connection."""
        pool = self._connection_pool(member.database)
        async with asyncio.timeout(2 * STATUS_TIMEOUT_SECONDS):
            connection = await pool.acquire({}, STATUS_TIMEOUT_SECONDS)
            return await run_query(pool, connection, query(connection))

    def _available_replicas(self, group: Group) -> list[Member]:
        now = self._clock()
        return [each for each in group.replicas if each.is_available(now)]


def _is_refused_for_load(error: Exception) -> bool:
    """Return True if a working database refused for lack of a slot or connection."""
    if isinstance(error, NoCapacityError) or not isinstance(error, SessionError):
        return False
    return error.code in (Code.BUSY, Code.CONNECTION_LIMIT)
