"""Runner of one database's transactions, on connections lent by its dispatcher.

A connection that held a transaction goes back to the pool only after a whole answer to
its commit or rollback. In every other case it is closed, and the database drops the
transaction with it; so it does when this proxy dies.

    runner = TransactionRunner(dispatcher)
    identifier = await runner.begin(ticket, term=4)
    await runner.run(identifier, ticket, statement)
    answer = await runner.commit(identifier, ticket, key="checkout-17")
"""

import math
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from beryltiller.admission.tickets import Rejection, Ticket
from beryltiller.core.outcome import Refusal
from beryltiller.core.ports import Connection, EndpointAnswer, Statement
from beryltiller.dispatching.connections import Lease
from beryltiller.dispatching.dispatch import Dispatcher
from beryltiller.dispatching.dispatch_errors import NotRunError
from beryltiller.dispatching.transactions import (
    Transaction,
    TransactionPolicy,
    TransactionTable,
)

_IDENTIFIER_BYTES = 16

_Answer = TypeVar("_Answer")


def _new_identifier() -> str:
    return secrets.token_urlsafe(_IDENTIFIER_BYTES)


def _refused(refusal: Refusal) -> NotRunError:
    return NotRunError("transaction", refusal)


class TransactionRunner:
    """Begin, run, commit and roll back transactions of one database.

    Every method raises `NotRunError` or `UnknownOutcomeError` like the dispatcher. A
    commit whose answer is lost is unknown; its key tells a repeat whether it ran.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        policy: TransactionPolicy | None = None,
        clock: Callable[[], float] = time.monotonic,
        new_identifier: Callable[[], str] = _new_identifier,
    ) -> None:
        """Start without open transactions."""
        self._dispatcher = dispatcher
        self._table = TransactionTable(policy or TransactionPolicy(), new_identifier)
        self._clock = clock
        dispatcher.on_tend(self.tend)

    @property
    def open(self) -> int:
        """Return how many transactions are open."""
        return len(self._table)

    async def begin(self, ticket: Ticket, term: int) -> str:
        """Wait for a connection, begin a transaction and return its identifier."""
        share = self._dispatcher.pool.ledger.share
        opened = self._table.begin(ticket.caller, self._clock(), share)
        if isinstance(opened, Rejection):
            raise NotRunError(opened.cause.code, opened.refusal)
        try:
            admission = await self._dispatcher.admit(ticket)
        except BaseException:
            self._table.remove(opened)
            raise
        opened.lease = admission.lease
        try:
            await self._dispatcher.execute(
                admission, lambda connection: connection.begin(term)
            )
        except BaseException:
            self._end(opened, is_clean=False)
            raise
        self._table.done(opened, self._clock())
        return opened.identifier

    async def run(
        self, identifier: str, ticket: Ticket, statement: Statement
    ) -> EndpointAnswer:
        """Run a statement; after any error only a rollback remains."""
        transaction = self._use(identifier, ticket)
        try:
            answer = await self._on_connection(
                transaction, ticket, lambda connection: connection.run(statement)
            )
        except BaseException:
            # The connection may be out of step, so the transaction is dropped with
            # it now; the caller learns of it from this error or its next statement.
            self._release(transaction, is_clean=False)
            self._table.fail(transaction, self._clock())
            raise
        self._table.done(transaction, self._clock())
        return answer

    async def commit(
        self, identifier: str, ticket: Ticket, key: str = ""
    ) -> EndpointAnswer:
        """Commit the transaction as one log entry and return its position."""
        transaction = self._use(identifier, ticket)
        is_clean = False
        try:
            answer = await self._on_connection(
                transaction, ticket, lambda connection: connection.commit(key)
            )
            is_clean = True
        finally:
            self._end(transaction, is_clean)
        return answer

    async def rollback(self, identifier: str, ticket: Ticket) -> None:
        """Drop the transaction; a failed one has been dropped already."""
        taken = self._table.take_for_rollback(identifier, ticket.caller)
        if isinstance(taken, Refusal):
            raise _refused(taken)
        if taken.lease is None:
            return
        is_clean = False
        try:
            await self._on_connection(
                taken, ticket, lambda connection: connection.rollback()
            )
            is_clean = True
        finally:
            self._release(taken, is_clean)

    def tend(self) -> None:
        """Drop transactions that are idle for too long or too old."""
        for transaction in self._table.expired(self._clock()):
            self._release(transaction, is_clean=False)

    def close(self) -> None:
        """Drop every transaction that no statement is using."""
        for transaction in self._table.expired(math.inf):
            self._release(transaction, is_clean=False)

    def _use(self, identifier: str, ticket: Ticket) -> Transaction:
        taken = self._table.use(identifier, ticket.caller, self._clock())
        if isinstance(taken, Refusal):
            raise _refused(taken)
        return taken

    async def _on_connection(
        self,
        transaction: Transaction,
        ticket: Ticket,
        work: Callable[[Connection], Awaitable[_Answer]],
    ) -> _Answer:
        assert transaction.lease is not None
        admission = self._dispatcher.enter(ticket, transaction.lease)
        return await self._dispatcher.execute(admission, work)

    def _end(self, transaction: Transaction, is_clean: bool) -> None:
        self._table.remove(transaction)
        self._release(transaction, is_clean)

    def _release(self, transaction: Transaction, is_clean: bool) -> None:
        lease: Lease | None = transaction.lease
        transaction.lease = None
        if lease is not None:
            self._dispatcher.release(lease, is_clean)
