"""Run statements that are outside a transaction.

A read is retried at another database if one refuses it or breaks the connection. A
write that may have run is never sent again: if its reply is lost, its outcome is
unknown.
"""

from dataclasses import replace
from typing import Protocol

from beryltiller.sessions.databases.catalog import Route
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.placement import (
    Placement,
    ReadRequirement,
)
from beryltiller.sessions.errors import BrokenError, NotSentError, SessionError
from beryltiller.sessions.running.execution import (
    StatementExecutor,
    may_run_elsewhere,
    release_acquired,
)
from beryltiller.sessions.session import AcquiredConnection, Session
from beryltiller.sessions.statements import (
    Code,
    Reply,
    Request,
    SessionState,
    Statement,
)

# How many databases a statement tries in one round; `StatementExecutor.retry` may start
# further rounds.
MAX_READ_ATTEMPTS = 4
MAX_WRITE_ATTEMPTS = 2


class PeerStatements(Protocol):
    """Single statements at peers that are connected to the databases."""

    async def run_single(
        self,
        session: Session,
        route: Route,
        identifier: str,
        statement: Statement,
        arrived: float,
    ) -> Reply | None:
        """Run a read or a write; return None to run it here."""
        ...


class SingleStatementRunner:
    """Runs single statements for all sessions.

    Use it on a single event loop.
    """

    def __init__(self, executor: StatementExecutor) -> None:
        """Place and run statements with `executor`."""
        self._executor = executor
        self._peers: PeerStatements | None = None

    def forward_to(self, peers: PeerStatements) -> None:
        """Use `peers` from now on for statements of services that are forwarded."""
        self._peers = peers

    async def run(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        """Run a read or a write that arrived at `arrived`, and return its reply.

        A peer runs it where it is connected to the databases and this proxy is not.
        """
        route = self._executor.route(session.database_name)
        if route is None:
            return session.refuse(Code.NO_ROUTE, session.database_name)
        if self._peers is not None:
            forwarded = await self._peers.run_single(
                session, route, identifier, statement, arrived
            )
            if forwarded is not None:
                return forwarded
        return await self.run_on_route(session, route, identifier, statement, arrived)

    async def run_on_route(
        self,
        session: Session,
        route: Route,
        identifier: str,
        statement: Statement,
        arrived: float,
    ) -> Reply:
        """Run a read or a write of a route at a database, and return its reply."""
        request = Request(statement, identifier)
        try:
            if session.is_write(statement):
                return await self._write(session, route, request, arrived)
            return await self._read(session, route, request, arrived)
        except SessionError as error:
            return session.refuse(error.code, error.reason)

    async def _read(
        self, session: Session, route: Route, request: Request, arrived: float
    ) -> Reply:
        requirement = session.read_requirement(route, arrived)
        deadline = arrived + route.timeout_seconds
        last = NotSentError(
            Code.BUSY, f"no database of {route.service} can serve the read"
        )
        return await self._executor.retry(
            route,
            arrived,
            last,
            lambda reason: self._read_once(
                session, route, request, requirement, deadline, reason
            ),
        )

    async def _read_once(
        self,
        session: Session,
        route: Route,
        request: Request,
        requirement: ReadRequirement,
        deadline: float,
        last: NotSentError,
    ) -> Reply | NotSentError:
        """Try databases that may serve a read; return the last failure if none did."""
        group = self._executor.group(route.service)
        tried: set[str] = set()
        for _ in range(MAX_READ_ATTEMPTS):
            placement = await self._executor.place_read(
                group, requirement, tried, session.organisation
            )
            if placement is None:
                break
            tried.add(placement.member.database.identifier)
            placed = Request(request.statement, request.identifier, placement.since)
            try:
                reply = await self._run_single(
                    session, route, group, placement, placed, requirement, deadline
                )
            except BrokenError as error:
                last = NotSentError(Code.ABORTED, error.reason)
                continue
            except NotSentError as error:
                last = error
                continue
            if reply.code is None or not _may_read_elsewhere(reply.code):
                return reply
            last = NotSentError(reply.code, reply.text)
        return last

    async def _write(
        self, session: Session, route: Route, request: Request, arrived: float
    ) -> Reply:
        group = self._executor.group(route.service)
        deadline = arrived + route.timeout_seconds
        last = NotSentError(Code.BUSY, f"no primary of {route.service} is known")
        return await self._executor.retry(
            route,
            arrived,
            last,
            lambda reason: self._write_once(
                session, route, group, request, arrived, deadline, reason
            ),
        )

    async def _write_once(
        self,
        session: Session,
        route: Route,
        group: Group,
        request: Request,
        arrived: float,
        deadline: float,
        last: NotSentError,
    ) -> Reply | NotSentError:
        """Try the leader, then a newer one; return the last failure if both fail."""
        tried: set[str] = set()
        for _ in range(MAX_WRITE_ATTEMPTS):
            placement = await self._executor.place_leader(group, tried)
            if placement is None:
                break
            tried.add(placement.member.database.identifier)
            requirement = ReadRequirement(arrived)
            try:
                reply = await self._run_single(
                    session, route, group, placement, request, requirement, deadline
                )
            except NotSentError as error:
                last = error
                continue
            if reply.is_success:
                now = self._executor.now()
                session.record_commit(route.service, reply.position, now)
            if reply.code is None or not may_run_elsewhere(reply.code):
                return reply
            last = NotSentError(reply.code, reply.text)
        return last

    async def _run_single(
        self,
        session: Session,
        route: Route,
        group: Group,
        placement: Placement,
        request: Request,
        requirement: ReadRequirement,
        deadline: float,
    ) -> Reply:
        """Run a statement on a connection acquired for it alone.

        A read at the leader is returned only with proof of the leader's term.
        """
        pool = self._executor.connection_pool(placement, session.organisation)
        wait = self._executor.queue_seconds(route, deadline)
        is_write = session.is_write(request.statement)
        admission = self._executor.admission
        admitted = await admission.acquire_slot(
            session, route, placement, pool, wait, is_write
        )
        try:
            connection = await self._executor.acquire_connection(
                session, placement, pool, wait
            )
            acquired = AcquiredConnection(connection, pool, placement)
            reply = await self._executor.run(
                session, group, acquired, request, deadline
            )
        finally:
            admission.release_slot(admitted)
        release_acquired(acquired, reply)
        if reply.state is not SessionState.IDLE:
            reply = replace(reply, state=SessionState.IDLE)
        if reply.is_success and is_write:
            await self._executor.confirm_commit(group, acquired, reply, deadline)
        if reply.is_success and placement.needs_proof and not is_write:
            await self._executor.prove_term(
                group, placement.member, reply.position, requirement, deadline
            )
        if not is_write:
            self._executor.log_read(request, group, placement, requirement, reply)
        return reply


def _may_read_elsewhere(code: Code) -> bool:
    return may_run_elsewhere(code) or code is Code.FAILED
