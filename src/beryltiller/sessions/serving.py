"""Serve the statements of sessions: place, lend, run, retry what has not run.

A read is tried at another database when one refuses or breaks off. A write or a commit
is never sent twice: once it was sent and its answer is lost, its outcome is unknown.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from beryltiller.sessions.catalog import Configuration, Route
from beryltiller.sessions.errors import BrokenError, NotSentError, SessionError
from beryltiller.sessions.fleet import Fleet
from beryltiller.sessions.groups import Group, Member, Tenure
from beryltiller.sessions.isolation import IsolationMonitor
from beryltiller.sessions.lending import Lender, Lent
from beryltiller.sessions.placement import Need, Placement, Placer, read_need
from beryltiller.sessions.session import Pin, Session, Transaction
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Reply,
    Request,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Write,
)

MAX_READ_ATTEMPTS = 4
MAX_WRITE_ATTEMPTS = 2
# A statement that waits longer than this share of the objective is refused, so that
# its caller can still be served elsewhere.
QUEUE_SHARE_OF_OBJECTIVE = 0.5

# A read that must be newer than this cannot be placed by what replicas have received.
SURVEY_MIN_AGE_SECONDS = 0.1
# Refusals that every proxy would give.
_CALLERS_FAULTS = frozenset({Code.MALFORMED, Code.NO_SUCH_STATEMENT, Code.NO_ROUTE})

Clock = Callable[[], float]


class SessionService:
    """Answer statements of sessions, on one event loop."""

    def __init__(
        self, fleet: Fleet, placer: Placer, monitor: IsolationMonitor, clock: Clock
    ) -> None:
        """Serve from the fleet's databases, and tell the monitor how it goes."""
        self._monitor = monitor
        self._fleet = fleet
        self._placer = placer
        self._clock = clock

    def open_session(self, database_name: str) -> Session | None:
        """Return a session, or None when no route has the name."""
        if self._route(database_name) is None:
            return None
        return Session(database_name)

    async def answer(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        """Answer one statement that arrived at a moment."""
        reply = await self._answer(session, identifier, statement, arrived)
        session.state = reply.state
        if reply.code not in _CALLERS_FAULTS:
            self._monitor.answered(reply.is_success, self._clock())
        if reply.position is not None:
            session.position = reply.position
        return reply

    async def end_session(self, session: Session) -> None:
        """Undo what is open, as after the caller left."""
        transaction, session.transaction = session.transaction, None
        if transaction is not None:
            await self._undo(transaction)

    async def expire(self, session: Session) -> None:
        """End a transaction that stayed idle for too long."""
        if session.transaction is not None:
            await self.end_session(session)
            session.state = SessionState.FAILED

    def idle_seconds(self) -> float:
        """Return how long a transaction may stay idle."""
        configuration = self._fleet.configuration
        return configuration.transaction_idle_seconds if configuration else 1.0

    async def _answer(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        if session.state is SessionState.FAILED:
            return await self._answer_failed(session, statement)
        match statement:
            case Begin(is_read_only):
                return self._begin(session, is_read_only, arrived)
            case Commit():
                return await self._commit(session, identifier, arrived)
            case Rollback():
                return await self._rollback(session)
            case SetValue() | Prepare() | Deallocate():
                return session.keep(statement)
            case Execute(name) if name not in session.prepared:
                return session.refuse(Code.NO_SUCH_STATEMENT, name)
            case Read() | Write() | Execute():
                if session.transaction is not None:
                    return await self._step(session, identifier, statement, arrived)
                return await self._single(session, identifier, statement, arrived)
            case _:
                return session.refuse(Code.MALFORMED, "not a caller's statement")

    async def _answer_failed(self, session: Session, statement: Statement) -> Reply:
        match statement:
            case Rollback():
                await self.end_session(session)
                session.state = SessionState.IDLE
                return session.accept()
            case Commit():
                await self.end_session(session)
                session.state = SessionState.IDLE
                return session.refuse(Code.ABORTED, "the transaction had failed")
            case _:
                return session.refuse(Code.MALFORMED, "the transaction has failed")

    def _begin(self, session: Session, is_read_only: bool, arrived: float) -> Reply:
        if session.transaction is not None:
            return session.refuse(Code.MALFORMED, "a transaction is open already")
        route = self._route(session.database_name)
        if route is None:
            return session.refuse(Code.NO_ROUTE, session.database_name)
        need = read_need(route, arrived, session.committed.get(route.service))
        session.transaction = Transaction(route, is_read_only, need)
        session.state = SessionState.OPEN
        return session.accept()

    async def _rollback(self, session: Session) -> Reply:
        if session.transaction is None:
            return session.refuse(Code.MALFORMED, "no transaction is open")
        await self.end_session(session)
        session.state = SessionState.IDLE
        return session.accept()

    async def _single(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        route = self._route(session.database_name)
        if route is None:
            return session.refuse(Code.NO_ROUTE, session.database_name)
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
        group = self._fleet.group(route.service)
        need = read_need(route, arrived, session.committed.get(route.service))
        deadline = arrived + route.timeout_seconds
        tried: set[str] = set()
        last = NotSentError(Code.BUSY, f"no database of {route.service} can serve")
        for _ in range(MAX_READ_ATTEMPTS):
            placement = await self._place_read(group, need, tried)
            if placement is None:
                break
            tried.add(placement.member.database.identifier)
            placed = Request(request.statement, request.identifier, placement.since)
            try:
                reply = await self._run_single(
                    session, route, group, placement, placed, need, deadline
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
        raise last

    async def _write(
        self, session: Session, route: Route, request: Request, arrived: float
    ) -> Reply:
        group = self._fleet.group(route.service)
        deadline = arrived + route.timeout_seconds
        tried: set[str] = set()
        last = NotSentError(Code.BUSY, f"no primary of {route.service} is known")
        for _ in range(MAX_WRITE_ATTEMPTS):
            placement = await self._place_leader(group, tried)
            if placement is None:
                break
            tried.add(placement.member.database.identifier)
            need = Need(arrived)
            try:
                reply = await self._run_single(
                    session, route, group, placement, request, need, deadline
                )
            except NotSentError as error:
                last = error
                continue
            if reply.is_success:
                session.commits(route.service, reply.position)
            if reply.code is not Code.READ_ONLY:
                return reply
            last = NotSentError(Code.READ_ONLY, reply.text)
        raise last

    async def _run_single(
        self,
        session: Session,
        route: Route,
        group: Group,
        placement: Placement,
        request: Request,
        need: Need,
        deadline: float,
    ) -> Reply:
        """Run a statement outside a transaction on a connection lent for it."""
        lender = self._fleet.lender(placement.member.database)
        queue = route.objective_seconds * QUEUE_SHARE_OF_OBJECTIVE
        wait = min(queue, deadline - self._clock())
        changes = group.leader_changes
        await lender.gate.enter(route.priority, wait)
        try:
            lent = await self._lend(placement.member, lender, session, wait)
            pin = Pin(lent, lender, placement)
            reply = await self._run(session, group, pin, request, deadline)
        finally:
            lender.gate.leave()
        if reply.state is SessionState.IDLE:
            lender.give_back(lent)
        else:
            lender.drop(lent)
            reply = replace(reply, state=SessionState.IDLE)
        is_write = session.is_write(request.statement)
        if reply.is_success and placement.needs_proof and not is_write:
            tenure = Tenure(changes, placement.member.term)
            await self._prove(group, tenure, need, deadline)
        return reply

    async def _step(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        """Run a statement of a transaction on the transaction's connection."""
        transaction = session.transaction
        assert transaction is not None
        request = Request(statement, identifier)
        deadline = arrived + transaction.route.timeout_seconds
        try:
            if transaction.pin is None:
                reply = await self._first_step(session, transaction, request, deadline)
            else:
                reply = await self._next_step(session, transaction, request, deadline)
        except SessionError as error:
            transaction.pin = None
            session.transaction = None
            code = error.code if isinstance(error, NotSentError) else Code.ABORTED
            failed = SessionState.FAILED
            return Reply(
                failed, code=code, text=error.reason, position=session.position
            )
        if reply.is_success and session.is_write(statement):
            transaction.has_written = True
        return reply

    async def _next_step(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        deadline: float,
    ) -> Reply:
        pin = transaction.pin
        assert pin is not None
        group = self._fleet.group(transaction.route.service)
        wait = deadline - self._clock()
        await pin.lender.gate.enter(transaction.route.priority, wait)
        try:
            reply = await self._run(session, group, pin, request, deadline)
        finally:
            pin.lender.gate.leave()
        return reply

    async def _first_step(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        deadline: float,
    ) -> Reply:
        """Begin the transaction at a database and run its first statement."""
        group = self._fleet.group(transaction.route.service)
        tried: set[str] = set()
        last = NotSentError(Code.BUSY, "no database can serve the transaction")
        for _ in range(MAX_READ_ATTEMPTS):
            placement = await self._place(transaction, group, tried)
            if placement is None:
                break
            tried.add(placement.member.database.identifier)
            try:
                reply = await self._begin_at(
                    session, transaction, group, placement, request, deadline
                )
            except NotSentError as error:
                last = error
                continue
            if reply is not None:
                return reply
            last = NotSentError(Code.BUSY, "the database refused the transaction")
        raise last

    async def _place(
        self, transaction: Transaction, group: Group, tried: set[str]
    ) -> Placement | None:
        if transaction.is_read_only:
            return await self._place_read(group, transaction.need, tried)
        return await self._place_leader(group, tried)

    async def _place_leader(self, group: Group, tried: set[str]) -> Placement | None:
        """Place at the leader; ask who leads when none is known to work."""
        placement = self._placer.place_leader(group, self._clock(), tried)
        if placement is not None:
            return placement
        await self._fleet.find_leader(group)
        return self._placer.place_leader(group, self._clock(), tried)

    async def _place_read(
        self, group: Group, need: Need, tried: set[str]
    ) -> Placement | None:
        """Place a read; without a leader, ask the other databases where they are."""
        placement = self._placer.place_read(group, need, self._clock(), tried)
        if placement is not None or group.floor(need.moment) is not None:
            return placement
        if need.moment >= self._clock() - SURVEY_MIN_AGE_SECONDS:
            return None
        await self._fleet.survey(group)
        return self._placer.place_read(group, need, self._clock(), tried)

    async def _begin_at(
        self,
        session: Session,
        transaction: Transaction,
        group: Group,
        placement: Placement,
        request: Request,
        deadline: float,
    ) -> Reply | None:
        """Begin at one database; return None when it refused to."""
        route = transaction.route
        lender = self._fleet.lender(placement.member.database)
        queue = route.objective_seconds * QUEUE_SHARE_OF_OBJECTIVE
        wait = min(queue, deadline - self._clock())
        changes = group.leader_changes
        await lender.gate.enter(route.priority, wait)
        try:
            lent = await self._lend(placement.member, lender, session, wait)
            pin = Pin(lent, lender, placement)
            begin = Request(Begin(transaction.is_read_only), "", placement.since)
            # A statement sent behind a refused begin would run by itself; one that has
            # run inside the transaction must not run again elsewhere.
            try:
                begun = await self._run(session, group, pin, begin, deadline)
            except BrokenError:
                return None
            if not begun.is_success:
                self._refused(group, pin, begun)
                return None
            reply = await self._run(session, group, pin, request, deadline)
        finally:
            lender.gate.leave()
        if reply.code is not None and _may_begin_elsewhere(reply.code):
            self._refused(group, pin, reply)
            return None
        transaction.pin = pin
        if placement.needs_proof:
            tenure = Tenure(changes, placement.member.term)
            await self._prove_pinned(transaction, group, tenure, deadline)
        return reply

    async def _prove_pinned(
        self,
        transaction: Transaction,
        group: Group,
        tenure: Tenure,
        deadline: float,
    ) -> None:
        try:
            await self._prove(group, tenure, transaction.need, deadline)
        except NotSentError as error:
            await self._undo(transaction)
            raise BrokenError(error.reason) from error

    def _refused(self, group: Group, pin: Pin, reply: Reply) -> None:
        pin.lender.drop(pin.lent)
        if reply.code is Code.LAGGING:
            pin.placement.member.lagged(self._clock())

    async def _commit(self, session: Session, identifier: str, arrived: float) -> Reply:
        transaction = session.transaction
        if transaction is None:
            return session.refuse(Code.MALFORMED, "no transaction is open")
        request = Request(Commit(), identifier)
        deadline = arrived + transaction.route.timeout_seconds
        try:
            if transaction.pin is None:
                reply = await self._first_step(session, transaction, request, deadline)
            else:
                reply = await self._next_step(session, transaction, request, deadline)
        except SessionError as error:
            transaction.pin = None
            session.transaction = None
            session.state = SessionState.IDLE
            code = error.code
            if isinstance(error, BrokenError) and not transaction.has_written:
                code = Code.ABORTED
            return session.refuse(code, error.reason)
        if reply.is_success and transaction.has_written:
            session.commits(transaction.route.service, reply.position)
        self._finish(session, transaction, reply)
        return reply

    def _finish(self, session: Session, transaction: Transaction, reply: Reply) -> None:
        """Return the transaction's connection after its commit was answered."""
        pin, transaction.pin = transaction.pin, None
        session.transaction = None
        if pin is None:
            return
        if reply.state is SessionState.IDLE:
            pin.lender.give_back(pin.lent)
        else:
            pin.lender.drop(pin.lent)

    async def _undo(self, transaction: Transaction) -> None:
        """Roll back at the database, and return the connection."""
        pin, transaction.pin = transaction.pin, None
        if pin is None:
            return
        try:
            async with asyncio.timeout(transaction.route.timeout_seconds):
                (reply,) = await pin.lent.ask((Request(Rollback()),))
        except (BrokenError, TimeoutError):
            pin.lender.drop(pin.lent)
            return
        if reply.state is SessionState.IDLE:
            pin.lender.give_back(pin.lent)
        else:
            pin.lender.drop(pin.lent)

    async def _lend(
        self, member: Member, lender: Lender, session: Session, wait: float
    ) -> Lent:
        try:
            return await lender.lend(session.values, wait)
        except NotSentError as error:
            if error.code not in (Code.CONNECTION_LIMIT, Code.BUSY):
                member.failed(self._clock())
            raise

    async def _run(
        self,
        session: Session,
        group: Group,
        pin: Pin,
        request: Request,
        deadline: float,
    ) -> Reply:
        """Run on the connection and take in what the answer tells of the group.

        A connection that breaks, or whose answer is not there in time, is closed.
        """
        member = pin.placement.member
        asked_at = self._clock()
        member.sent(asked_at)
        is_answered = False
        try:
            async with asyncio.timeout(max(0.0, deadline - asked_at)):
                reply = await pin.lent.run(request, session.values, session.prepared)
            is_answered = True
        except TimeoutError as error:
            pin.lender.drop(pin.lent)
            self._fleet.failed(member)
            if _is_commit_of_write(session, request):
                member.unacknowledged(asked_at, self._clock())
            raise BrokenError("the database did not answer in time") from error
        except BrokenError:
            pin.lender.drop(pin.lent)
            self._fleet.failed(member)
            raise
        except BaseException:
            pin.lender.drop(pin.lent)
            raise
        finally:
            member.ended(self._clock(), is_answered)
        self._take_in(session, group, member, request, reply, asked_at)
        return reply

    def _take_in(
        self,
        session: Session,
        group: Group,
        member: Member,
        request: Request,
        reply: Reply,
        asked_at: float,
    ) -> None:
        group.heard(member, reply.position, asked_at)
        now = self._clock()
        match reply.code:
            case None:
                member.served(now - asked_at)
                if _is_commit_of_write(session, request):
                    group.acknowledged(member, asked_at)
            case Code.LAGGING:
                member.lagged(now)
            case Code.READ_ONLY if member is group.leader:
                group.lead_denied(member)

    async def _prove(
        self, group: Group, tenure: Tenure, need: Need, deadline: float
    ) -> None:
        """Wait until the term in which a read ran is proved up to the needed moment.

        Evidence counts only if the same database has led in the same term throughout.
        """
        if not group.is_proved(need.moment):
            wait = deadline - self._clock()
            await self._fleet.prove(group, need.moment, wait)
        if not group.is_proved(need.moment) or group.tenure != tenure:
            raise NotSentError(Code.ABORTED, "the primary's term could not be proved")

    def _route(self, database_name: str) -> Route | None:
        configuration: Configuration | None = self._fleet.configuration
        if configuration is None:
            return None
        return configuration.routes.get(database_name)


def _may_read_elsewhere(code: Code) -> bool:
    return _may_begin_elsewhere(code) or code is Code.FAILED


def _may_begin_elsewhere(code: Code) -> bool:
    return code.has_not_run and code is not Code.NO_SUCH_STATEMENT


def _is_commit_of_write(session: Session, request: Request) -> bool:
    match request.statement:
        case Commit():
            transaction = session.transaction
            return transaction is not None and transaction.has_written
        case Write() | Execute():
            return session.transaction is None and session.is_write(request.statement)
        case _:
            return False
