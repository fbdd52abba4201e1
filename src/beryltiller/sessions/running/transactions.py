"""Run transactions, each on one connection from its first statement on.

The proxy answers a begin itself; the database is chosen with the first statement. A
statement that may have run inside a transaction is not run again elsewhere.
"""

from dataclasses import replace
from typing import Protocol

from beryltiller.core.position import Position
from beryltiller.sessions.connections.statement_queue import (
    OPEN_TRANSACTION_PRIORITY,
)
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.placement import Placement
from beryltiller.sessions.errors import (
    BrokenError,
    NotSentError,
    SessionError,
    TransactionEndedError,
)
from beryltiller.sessions.running.execution import (
    StatementExecutor,
    may_run_elsewhere,
    release_acquired,
)
from beryltiller.sessions.session import AcquiredConnection, Session, Transaction
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    Reply,
    Request,
    SessionState,
    Statement,
)

# How many databases a transaction tries in one round; `StatementExecutor.retry` may
# start further rounds.
MAX_PLACEMENTS = 4


class PeerTransactions(Protocol):
    """Transactions at peers that are connected to the databases."""

    async def run_in_transaction(
        self,
        session: Session,
        identifier: str,
        statement: Statement,
        arrived: float,
    ) -> Reply | None:
        """Run a statement or the commit; return None to run it here."""
        ...

    async def roll_back(self, transaction: Transaction) -> None:
        """Roll back a transaction at the peer that runs it, if one does."""
        ...


class SessionTransactionRunner:
    """Runs the transactions of all sessions.

    Use it on a single event loop.
    """

    def __init__(self, executor: StatementExecutor) -> None:
        """Place and run statements with `executor`."""
        self._executor = executor
        self._peers: PeerTransactions | None = None

    def forward_to(self, peers: PeerTransactions) -> None:
        """Use `peers` from now on for transactions of services that are forwarded."""
        self._peers = peers

    def begin(self, session: Session, is_read_only: bool, arrived: float) -> Reply:
        """Open a transaction in the session, without contacting a database yet."""
        if session.transaction is not None:
            return session.refuse(Code.MALFORMED, "a transaction is already open")
        route = self._executor.route(session.database_name)
        if route is None:
            return session.refuse(Code.NO_ROUTE, session.database_name)
        requirement = session.read_requirement(route, arrived)
        session.transaction = Transaction(
            route, is_read_only, requirement, arrived, session.organisation
        )
        session.state = SessionState.OPEN
        return session.accept()

    async def rollback(self, session: Session) -> Reply:
        """Roll back the open transaction and return the reply for the caller."""
        if session.transaction is None:
            return session.refuse(Code.MALFORMED, "no transaction is open")
        await self.roll_back_open(session)
        session.state = SessionState.IDLE
        return session.accept()

    async def roll_back_open(self, session: Session) -> None:
        """Roll back the session's transaction, if it has one, without a reply."""
        transaction, session.transaction = session.transaction, None
        if transaction is None:
            return
        if self._peers is not None:
            await self._peers.roll_back(transaction)
        await self._executor.roll_back(transaction)

    async def run(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        """Run a statement of the open transaction on the transaction's connection."""
        transaction = session.transaction
        assert transaction is not None
        if transaction.is_read_only and session.is_write(statement):
            return session.refuse(Code.MALFORMED, "the transaction only reads")
        forwarded = await self._forward(session, identifier, statement, arrived)
        if forwarded is not None:
            return forwarded
        request = Request(statement, identifier)
        deadline = arrived + transaction.route.timeout_seconds
        try:
            reply = await self._run(session, transaction, request, deadline)
        except SessionError as error:
            await self.roll_back_open(session)
            code = Code.ABORTED
            if isinstance(error, NotSentError | TransactionEndedError):
                code = error.code
            failed = SessionState.FAILED
            return Reply(
                failed, code=code, text=error.reason, position=session.position
            )
        if reply.is_success and session.is_write(statement):
            transaction.has_written = True
        return reply

    async def _forward(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply | None:
        """Run a statement of the open transaction at a peer, or return None.

        One that was ended here for its length has no connection either, but a peer
        would begin it again without what it has done before.
        """
        transaction = session.transaction
        if self._peers is None or transaction is None:
            return None
        if transaction.acquired is not None or transaction.was_too_long:
            return None
        return await self._peers.run_in_transaction(
            session, identifier, statement, arrived
        )

    async def _run(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        deadline: float,
    ) -> Reply:
        """Run a statement where the transaction is open, or begin it somewhere."""
        if transaction.was_too_long or not isinstance(request.statement, Commit):
            self._executor.long_transactions.raise_if_too_long(transaction)
        run = self._run_next_statement
        if transaction.acquired is None:
            run = self._run_first_statement
        return await run(session, transaction, request, deadline)

    async def _run_next_statement(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        deadline: float,
    ) -> Reply:
        acquired = transaction.acquired
        assert acquired is not None
        group = self._executor.group(transaction.route.service)
        wait = deadline - self._executor.now()
        admission = self._executor.admission
        transaction.is_running = True
        transaction.statements += 1
        try:
            admitted = await admission.acquire_slot(
                session,
                transaction.route,
                acquired.placement,
                acquired.pool,
                wait,
                session.is_write(request.statement),
                OPEN_TRANSACTION_PRIORITY,
            )
            try:
                reply = await self._executor.run_in_transaction(
                    session, group, acquired, request, deadline, deadline
                )
            finally:
                admission.release_slot(admitted)
        finally:
            transaction.is_running = False
        self._log_read(session, transaction, request, acquired.placement, reply)
        return reply

    def _log_read(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        placement: Placement,
        reply: Reply,
    ) -> None:
        statement = request.statement
        if isinstance(statement, Commit) or session.is_write(statement):
            return
        group = self._executor.group(transaction.route.service)
        requirement = transaction.requirement
        self._executor.log_read(request, group, placement, requirement, reply)

    async def _run_first_statement(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        deadline: float,
    ) -> Reply:
        """Begin the transaction at a database and run its first statement.

        If no database has capacity for it, all are retried for a short time.
        """
        last = NotSentError(Code.BUSY, "no database can serve the transaction")
        return await self._executor.retry(
            transaction.route,
            self._executor.now(),
            last,
            lambda reason: self._try_databases(
                session, transaction, request, deadline, reason
            ),
        )

    async def _try_databases(
        self,
        session: Session,
        transaction: Transaction,
        request: Request,
        deadline: float,
        last: NotSentError,
    ) -> Reply | NotSentError:
        """Try databases for the transaction; return the last failure if none ran it."""
        group = self._executor.group(transaction.route.service)
        tried: set[str] = set()
        for _ in range(MAX_PLACEMENTS):
            placement = await self._place(session, transaction, group, tried)
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
        self,
        session: Session,
        transaction: Transaction,
        group: Group,
        tried: set[str],
    ) -> Placement | None:
        if transaction.is_read_only:
            return await self._executor.place_read(
                group, transaction.requirement, tried, session.organisation
            )
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
        """Begin and run the first statement at one database; return None if refused."""
        route = transaction.route
        pool = self._executor.connection_pool(placement, session.organisation)
        wait = self._executor.queue_seconds(route, deadline)
        retry_until = self._executor.now() + wait
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
            begin = Request(Begin(transaction.is_read_only), "", placement.since)
            # The first statement is sent only after the begin's reply: behind a refused
            # begin it would run outside a transaction. Once it may have run inside
            # the transaction, it must not run again elsewhere.
            try:
                begun = await self._executor.run(
                    session, group, acquired, begin, deadline
                )
            except BrokenError:
                return None
            if not begun.is_success or begun.state is not SessionState.OPEN:
                release_acquired(acquired, begun)
                return None
            reply = await self._executor.run_in_transaction(
                session, group, acquired, request, deadline, retry_until
            )
        finally:
            admission.release_slot(admitted)
        transaction.acquired = acquired
        if reply.code is not None and may_run_elsewhere(reply.code):
            # The connection is kept: opening another one would take a slot from the
            # statements that the database has no capacity for.
            await self._executor.roll_back(transaction)
            return None
        if placement.needs_proof:
            await self._prove_term(
                transaction, group, placement.member, reply.position, deadline
            )
        self._executor.long_transactions.add(transaction)
        self._log_read(session, transaction, request, placement, reply)
        return reply

    async def _prove_term(
        self,
        transaction: Transaction,
        group: Group,
        member: Member,
        position: Position | None,
        deadline: float,
    ) -> None:
        """Prove the leader's term, or roll back and raise `BrokenError`.

        After a `NotSentError` the first statement would be run at another database,
        although it has run already.
        """
        try:
            await self._executor.prove_term(
                group, member, position, transaction.requirement, deadline
            )
        except NotSentError as error:
            await self._executor.roll_back(transaction)
            raise BrokenError(error.reason) from error

    async def commit(self, session: Session, identifier: str, arrived: float) -> Reply:
        """Commit the open transaction.

        If the reply is lost, the outcome of a transaction that has written is unknown.
        """
        transaction = session.transaction
        if transaction is None:
            return session.refuse(Code.MALFORMED, "no transaction is open")
        forwarded = await self._forward(session, identifier, Commit(), arrived)
        if forwarded is not None:
            return forwarded
        request = Request(Commit(), identifier)
        deadline = arrived + transaction.route.timeout_seconds
        try:
            reply = await self._run(session, transaction, request, deadline)
        except SessionError as error:
            await self.roll_back_open(session)
            session.state = SessionState.IDLE
            code = error.code
            if isinstance(error, BrokenError) and not transaction.has_written:
                code = Code.ABORTED
            return session.refuse(code, error.reason)
        session.transaction = None
        session.state = SessionState.IDLE
        self._executor.long_transactions.remove(transaction)
        if transaction.acquired is not None:
            release_acquired(transaction.acquired, reply)
        # At a refused commit, the transaction ends with its connection.
        reply = replace(reply, state=SessionState.IDLE)
        if reply.is_success and transaction.has_written:
            return await self._report_commit(session, transaction, reply, deadline)
        return reply

    async def _report_commit(
        self, session: Session, transaction: Transaction, reply: Reply, deadline: float
    ) -> Reply:
        """Return the reply to a commit that has written, once it may be reported."""
        assert transaction.acquired is not None
        acquired, service = transaction.acquired, transaction.route.service
        group = self._executor.group(service)
        try:
            await self._executor.confirm_commit(group, acquired, reply, deadline)
        except SessionError as error:
            return session.refuse(error.code, error.reason)
        session.record_commit(service, reply.position, self._executor.now())
        return reply
