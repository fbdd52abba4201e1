"""Transactions of sessions: each on one connection, from its first statement on.

A begin is answered at once; the database is chosen with the first statement. What may
have run inside a transaction is not run again elsewhere.
"""

from beryltiller.sessions.errors import BrokenError, NotSentError, SessionError
from beryltiller.sessions.execution import Executor, may_run_elsewhere, return_pin
from beryltiller.sessions.groups import Group, LeaderTerm
from beryltiller.sessions.placement import Placement, read_requirement
from beryltiller.sessions.session import Pin, Session, Transaction
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    Reply,
    Request,
    SessionState,
    Statement,
)

MAX_PLACEMENTS = 4


class Transactions:
    """Serve the transactions of all sessions; on one event loop."""

    def __init__(self, executor: Executor) -> None:
        """Run through the executor."""
        self._executor = executor

    def begin(self, session: Session, is_read_only: bool, arrived: float) -> Reply:
        """Begin a transaction; no database is asked yet."""
        if session.transaction is not None:
            return session.refuse(Code.MALFORMED, "a transaction is open already")
        route = self._executor.route(session.database_name)
        if route is None:
            return session.refuse(Code.NO_ROUTE, session.database_name)
        need = read_requirement(route, arrived, session.committed.get(route.service))
        session.transaction = Transaction(route, is_read_only, need)
        session.state = SessionState.OPEN
        return session.accept()

    async def rollback(self, session: Session) -> Reply:
        """Undo the open transaction."""
        if session.transaction is None:
            return session.refuse(Code.MALFORMED, "no transaction is open")
        await self.end(session)
        session.state = SessionState.IDLE
        return session.accept()

    async def end(self, session: Session) -> None:
        """Undo what is open, as after the caller left."""
        transaction, session.transaction = session.transaction, None
        if transaction is not None:
            await self._executor.undo(transaction)

    async def step(
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
            await self.end(session)
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
        group = self._executor.group(transaction.route.service)
        wait = deadline - self._executor.now()
        await pin.lender.gate.enter(transaction.route.priority, wait)
        try:
            reply = await self._executor.run(session, group, pin, request, deadline)
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
        """Begin the transaction at a database and run its first statement.

        While none has room for it, all are tried again for a little while.
        """
        last = NotSentError(Code.BUSY, "no database can serve the transaction")
        return await self._executor.try_again(
            transaction.route,
            self._executor.now(),
            last,
            lambda reason: self._begin_once(
                session, transaction, request, deadline, reason
            ),
        )

    async def _begin_once(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        deadline: float,
        last: NotSentError,
    ) -> Reply | NotSentError:
        """Try each database that may serve a transaction; return why none did."""
        group = self._executor.group(transaction.route.service)
        tried: set[str] = set()
        for _ in range(MAX_PLACEMENTS):
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
        return last

    async def _place(
        self, transaction: Transaction, group: Group, tried: set[str]
    ) -> Placement | None:
        if transaction.is_read_only:
            return await self._executor.place_read(group, transaction.need, tried)
        return await self._executor.place_leader(group, tried)

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
        lender = self._executor.lender(placement)
        wait = self._executor.queue_seconds(route, deadline)
        changes = group.leader_change_count
        await lender.gate.enter(route.priority, wait)
        try:
            lent = await self._executor.lend(placement.member, lender, session, wait)
            pin = Pin(lent, lender, placement)
            begin = Request(Begin(transaction.is_read_only), "", placement.since)
            # A statement sent behind a refused begin would run by itself; one that has
            # run inside the transaction must not run again elsewhere.
            try:
                begun = await self._executor.run(session, group, pin, begin, deadline)
            except BrokenError:
                return None
            if not begun.is_success:
                self._refused(group, pin, begun)
                return None
            reply = await self._executor.run(session, group, pin, request, deadline)
        finally:
            lender.gate.leave()
        if reply.code is not None and may_run_elsewhere(reply.code):
            self._refused(group, pin, reply)
            return None
        transaction.pin = pin
        if placement.needs_proof:
            tenure = LeaderTerm(changes, placement.member.term)
            await self._prove_pinned(transaction, group, tenure, deadline)
        return reply

    async def _prove_pinned(
        self,
        transaction: Transaction,
        group: Group,
        tenure: LeaderTerm,
        deadline: float,
    ) -> None:
        try:
            await self._executor.prove(group, tenure, transaction.need, deadline)
        except NotSentError as error:
            await self._executor.undo(transaction)
            raise BrokenError(error.reason) from error

    def _refused(self, group: Group, pin: Pin, reply: Reply) -> None:
        # A database that has no room takes its connection for others, too.
        pin.lender.drop(pin.lent)
        if reply.code is Code.LAGGING:
            pin.placement.member.record_lag_refusal(self._executor.now())

    async def commit(self, session: Session, identifier: str, arrived: float) -> Reply:
        """Commit the open transaction; its outcome is unknown without an answer."""
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
            await self.end(session)
            session.state = SessionState.IDLE
            code = error.code
            if isinstance(error, BrokenError) and not transaction.has_written:
                code = Code.ABORTED
            return session.refuse(code, error.reason)
        if reply.is_success and transaction.has_written:
            session.commits(transaction.route.service, reply.position)
        session.transaction = None
        if transaction.pin is not None:
            return_pin(transaction.pin, reply)
        return reply
