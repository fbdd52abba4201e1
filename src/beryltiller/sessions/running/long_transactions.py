"""End the transactions that hold connections for too long while others wait."""

import asyncio
from collections.abc import Awaitable, Callable

from beryltiller.observability import limit_events, logs
from beryltiller.sessions.clocks import Clock
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.databases.member import NEVER
from beryltiller.sessions.errors import LongTransactionError
from beryltiller.sessions.running.transaction_holds import (
    TransactionHolds,
    is_too_long,
)
from beryltiller.sessions.session import Transaction

# Callers can begin a new long transaction for each that is ended.
LOG_INTERVAL_SECONDS = 1.0


class LongTransactions:
    """Ends long transactions between two of their statements.

    Use it on a single event loop.
    """

    def __init__(
        self, clock: Clock, roll_back: Callable[[Transaction], Awaitable[None]]
    ) -> None:
        """Roll back at the database with `roll_back`, which does not raise."""
        self._clock = clock
        self._roll_back = roll_back
        self._holds = TransactionHolds()
        self._tasks: set[asyncio.Future[None]] = set()
        self._ended = 0
        self._logged_at = NEVER

    @property
    def holding(self) -> int:
        """Return how many transactions hold a connection."""
        return len(self._holds)

    def add(self, transaction: Transaction) -> None:
        """Record that a transaction holds a connection from now on."""
        self._holds.add(transaction, self._clock())

    def remove(self, transaction: Transaction) -> None:
        """Forget a transaction that releases its connection; others are ignored."""
        self._holds.remove(transaction)

    def raise_if_too_long(self, transaction: Transaction) -> None:
        """Raise `LongTransactionError` if a transaction must not go on.

        It has been rolled back already, or the session must roll it back now.
        """
        if transaction.was_too_long:
            raise LongTransactionError()
        acquired = transaction.acquired
        if acquired is None or not acquired.pool.all_waiting:
            return
        if is_too_long(transaction, self._clock()):
            self._record_end(transaction)
            raise LongTransactionError()

    def end_idle(self, database: str, pool: ConnectionPool) -> None:
        """End the longest one between two statements, if no connection is idle."""
        if pool.has_idle or not self._holds:
            return
        transaction = self._holds.longest_idle(database, self._clock())
        if transaction is None:
            return
        self._record_end(transaction)
        task = asyncio.ensure_future(self._roll_back(transaction))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_end(self, transaction: Transaction) -> None:
        """Mark a transaction as ended, and log one in each interval."""
        assert transaction.acquired is not None
        transaction.was_too_long = True
        self._holds.remove(transaction)
        self._ended += 1
        now = self._clock()
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        database = transaction.acquired.placement.member.database
        logs.log(
            limit_events.LongTransactionEnded(
                database.service,
                database.identifier,
                transaction.organisation,
                now - transaction.held_since,
                transaction.statements,
                self._ended,
            )
        )
        self._logged_at = now
        self._ended = 0
