"""Admit statements to databases: a place in execution, then a connection.

A statement whose caller has disconnected is taken out of both queues.
"""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import TypeVar

from beryltiller.sessions.clocks import Clock, loop_time
from beryltiller.sessions.connections.admission_semaphore import Slot
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.connections.statement_queue import StatementTicket
from beryltiller.sessions.databases.catalog import Route
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placement
from beryltiller.sessions.errors import (
    CallerGoneError,
    NoCapacityError,
    NotSentError,
    QueueTooLongError,
)
from beryltiller.sessions.organisations import DEFAULT_PRIORITY
from beryltiller.sessions.running.overload_log import OverloadLog
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import Code

# The weight of each new measurement of the work of a kind of statement.
SMOOTHING = 0.1

_T = TypeVar("_T")
# A route's database name, and whether a statement writes.
WorkKind = tuple[str, bool]


@dataclass(frozen=True, slots=True)
class AdmittedStatement:
    """A statement's place in execution at a database."""

    slot: Slot
    pool: ConnectionPool
    kind: WorkKind


class StatementAdmission:
    """Admits the statements of all sessions. Use it on a single event loop."""

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        """Know nothing of the work of statements yet."""
        self._fleet = fleet
        self._clock = clock
        self._work_seconds: dict[WorkKind, float] = {}
        self._overload_log = OverloadLog()

    async def acquire_slot(
        self,
        session: Session,
        route: Route,
        placement: Placement,
        pool: ConnectionPool,
        wait: float,
        is_write: bool,
        priority: int | None = None,
    ) -> AdmittedStatement:
        """Wait for this proxy's turn to send a statement to the database.

        Its priority is that of the route unless given. Raise `NoCapacityError` after
        `wait` seconds, or at once if the queue ahead takes longer. The database counts
        as overloaded then: proxies that are few overload it without it ever refusing a
        statement. If no time is left to wait, the statement has come late, and is
        refused at once.
        """
        if wait <= 0:
            raise NoCapacityError(Code.BUSY, "the time of the statement is over")
        kind = (route.database_name, is_write)
        ticket = StatementTicket(
            route.priority if priority is None else priority,
            loop_time() + wait,
            self._work_seconds.get(kind, 0.0),
            session.organisation,
            self._organisation_priority(session),
        )
        slot = pool.semaphore.try_acquire(ticket)
        database = placement.member.database
        if slot is None:
            try:
                slot = await _unless_abandoned(session, pool.semaphore.acquire(ticket))
            except NoCapacityError as error:
                placement.member.record_load_refusal(self._clock())
                is_at_once = isinstance(error, QueueTooLongError)
                self._overload_log.record_refusal(database, is_at_once, self._clock())
                raise
        if session.is_abandoned:
            pool.semaphore.release(slot)
            raise CallerGoneError()
        self._overload_log.record_admission(database, self._clock())
        return AdmittedStatement(slot, pool, kind)

    def release_slot(self, admitted: AdmittedStatement) -> None:
        """Release a place, and record for how long the statement had it."""
        seconds = admitted.pool.semaphore.release(admitted.slot)
        mean = self._work_seconds.get(admitted.kind, seconds)
        self._work_seconds[admitted.kind] = mean + SMOOTHING * (seconds - mean)

    async def acquire_connection(
        self, session: Session, placement: Placement, pool: ConnectionPool, wait: float
    ) -> PooledConnection:
        """Acquire a connection for the session, waiting for at most `wait` seconds.

        Failures other than full pools and caps count against the database. A database
        that refuses for its cap is running.
        """
        member = placement.member
        connection = pool.acquire_idle(session.values)
        if connection is None:
            try:
                connection = await _unless_abandoned(
                    session, pool.acquire(session.values, wait)
                )
            except NoCapacityError:
                member.record_load_refusal(self._clock())
                raise
            except NotSentError as error:
                if error.code not in (Code.CONNECTION_LIMIT, Code.BUSY):
                    member.record_failure(self._clock())
                else:
                    member.record_answer(None)
                raise
        if session.is_abandoned:
            pool.release(connection)
            raise CallerGoneError()
        return connection

    def _organisation_priority(self, session: Session) -> int:
        configuration = self._fleet.configuration
        if configuration is None or configuration.organisations is None:
            return DEFAULT_PRIORITY
        found = configuration.organisations.by_name.get(session.organisation)
        return found.priority if found else DEFAULT_PRIORITY


async def _unless_abandoned(session: Session, waiting: Awaitable[_T]) -> _T:
    """Return the result of a wait, or raise `CallerGoneError` if the caller leaves."""
    scope = asyncio.timeout(None)
    try:
        async with scope:
            session.waiting = scope
            return await waiting
    except TimeoutError as error:
        if not scope.expired():
            raise
        raise CallerGoneError() from error
    finally:
        session.waiting = None
