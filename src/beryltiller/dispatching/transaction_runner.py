"""Transactions of one database, on connections acquired through its dispatcher.

A connection that held a transaction is reused only after a complete answer to the
commit or rollback. In every other case, and if this proxy dies, the connection is
closed and the database drops the transaction with it.

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
from beryltiller.dispatching.connections import AcquiredConnection
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


def _not_run_error(refusal: Refusal) -> NotRunError:
    return NotRunError("transaction", refusal)


class TransactionRunner:
    """Begins, runs, commits and rolls back transactions of one database.

    A step that fails raises `NotRunError` or `UnknownOutcomeError`, like a statement of
    the dispatcher. If the answer to a commit is lost, its outcome is unknown; repeating
    the transaction with the same key shows whether it committed.
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
        dispatcher.on_maintenance(self.drop_expired)

    @property
    def open_count(self) -> int:
        """Return the number of open transactions, including failed ones."""
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
        opened.acquired = admission.acquired
        try:
            await self._dispatcher.execute(
                admission, lambda connection: connection.begin(term)
            )
        except BaseException:
            self._remove(opened, is_clean=False)
            raise
        self._table.mark_idle(opened, self._clock())
        return opened.identifier

    async def run(
        self, identifier: str, ticket: Ticket, statement: Statement
    ) -> EndpointAnswer:
        """Run a statement; after an error, the transaction can only be rolled back."""
        transaction = self._start_statement(identifier, ticket)
        try:
            answer = await self._execute_pinned(
                transaction, ticket, lambda connection: connection.run(statement)
            )
        except BaseException:
            # The connection may be out of sync with the database, so it is closed now,
            # which drops the transaction. The caller learns of this from this error or
            # from its next statement.
            self._release(transaction, is_clean=False)
            self._table.mark_failed(transaction, self._clock())
            raise
        self._table.mark_idle(transaction, self._clock())
        return answer

    async def commit(
        self, identifier: str, ticket: Ticket, key: str = ""
    ) -> EndpointAnswer:
        """Commit the transaction as one log entry, whose position the answer has."""
        transaction = self._start_statement(identifier, ticket)
        is_clean = False
        try:
            answer = await self._execute_pinned(
                transaction, ticket, lambda connection: connection.commit(key)
            )
            is_clean = True
        finally:
            self._remove(transaction, is_clean)
        return answer

    async def rollback(self, identifier: str, ticket: Ticket) -> None:
        """Roll back the transaction; a failed one has been dropped already."""
        transaction = self._table.remove_for_rollback(identifier, ticket.caller)
        if isinstance(transaction, Refusal):
            raise _not_run_error(transaction)
        if transaction.acquired is None:
            return
        is_clean = False
        try:
            await self._execute_pinned(
                transaction, ticket, lambda connection: connection.rollback()
            )
            is_clean = True
        finally:
            self._release(transaction, is_clean)

    def drop_expired(self) -> None:
        """Drop transactions that exceeded the idle time or the maximum age."""
        for transaction in self._table.remove_expired(self._clock()):
            self._release(transaction, is_clean=False)

    def close(self) -> None:
        """Drop every transaction that has no running statement."""
        for transaction in self._table.remove_expired(math.inf):
            self._release(transaction, is_clean=False)

    def _start_statement(self, identifier: str, ticket: Ticket) -> Transaction:
        transaction = self._table.start_statement(
            identifier, ticket.caller, self._clock()
        )
        if isinstance(transaction, Refusal):
            raise _not_run_error(transaction)
        return transaction

    async def _execute_pinned(
        self,
        transaction: Transaction,
        ticket: Ticket,
        work: Callable[[Connection], Awaitable[_Answer]],
    ) -> _Answer:
        assert transaction.acquired is not None
        admission = self._dispatcher.admit_pinned(ticket, transaction.acquired)
        return await self._dispatcher.execute(admission, work)

    def _remove(self, transaction: Transaction, is_clean: bool) -> None:
        self._table.remove(transaction)
        self._release(transaction, is_clean)

    def _release(self, transaction: Transaction, is_clean: bool) -> None:
        acquired: AcquiredConnection | None = transaction.acquired
        transaction.acquired = None
        if acquired is not None:
            self._dispatcher.release(acquired, is_clean)
