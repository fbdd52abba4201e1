"""The table of a database's open transactions, with their limits and states.

Each transaction is pinned to one connection, belongs to one caller and has a maximum
age. The table decides who may use or end a transaction and when it is dropped. It does
no I/O.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.admission.tickets import Cause, Rejection
from beryltiller.core.outcome import Refusal
from beryltiller.dispatching.connections import AcquiredConnection


@dataclass(frozen=True, slots=True)
class TransactionPolicy:
    """The limits on open transactions.

    A transaction is dropped `idle_seconds` after its last statement, and
    `max_age_seconds` after its begin. `part_of_share` is the fraction of this proxy's
    connections to the database that transactions may pin, at least one. One caller may
    have half of those, at least one; its failed transactions count until they are
    rolled back or expire.
    """

    idle_seconds: float = 5.0
    max_age_seconds: float = 60.0
    part_of_share: float = 0.5


@unique
class TransactionState(Enum):
    """The states of a transaction; a failed one can only be rolled back."""

    IDLE = "idle"
    RUNNING = "running"
    FAILED = "failed"


@dataclass(slots=True)
class Transaction:
    """An open transaction; `identifier` is a secret shared with its caller.

    Times are in seconds. `acquired` is its connection, or None before the connection
    is acquired and after it is released.
    """

    identifier: str
    caller: str
    began_at: float
    last_used_at: float
    state: TransactionState = TransactionState.IDLE
    acquired: AcquiredConnection | None = None


class TransactionTable:
    """The open transactions of one database.

    >>> table = TransactionTable(TransactionPolicy(), new_identifier=lambda: "t1")
    >>> opened = table.begin("shop", now=0.0, share=2)
    >>> table.mark_idle(opened, now=0.05)
    >>> table.start_statement("t1", "other", now=0.1)
    Refusal(reason='no such transaction', field='transaction')
    >>> table.start_statement("t1", "shop", now=0.1) is opened
    True
    """

    def __init__(
        self, policy: TransactionPolicy, new_identifier: Callable[[], str]
    ) -> None:
        """Start empty; `new_identifier` must be unguessable in production."""
        self._policy = policy
        self._new_identifier = new_identifier
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        """Return the number of open transactions, including failed ones."""
        return len(self._open)

    def begin(self, caller: str, now: float, share: int) -> Transaction | Rejection:
        """Add a running transaction, or return a rejection if a limit is reached."""
        max_pinned = max(1, int(share * self._policy.part_of_share))
        open_transactions = self._open.values()
        pinned = sum(
            item.state is not TransactionState.FAILED for item in open_transactions
        )
        own_count = sum(item.caller == caller for item in open_transactions)
        if pinned >= max_pinned or own_count >= max(1, max_pinned // 2):
            return Rejection(Cause.TRANSACTION_LIMIT)
        transaction = Transaction(self._new_identifier(), caller, now, now)
        transaction.state = TransactionState.RUNNING
        self._open[transaction.identifier] = transaction
        return transaction

    def start_statement(
        self, identifier: str, caller: str, now: float
    ) -> Transaction | Refusal:
        """Mark an idle transaction as running, for one statement or its commit.

        Return a refusal if it is not idle or not this caller's.
        """
        transaction = self._find_owned(identifier, caller)
        if transaction is None:
            return Refusal("no such transaction", "transaction")
        match transaction.state:
            case TransactionState.RUNNING:
                return Refusal(
                    "a statement of the transaction is running", "transaction"
                )
            case TransactionState.FAILED:
                return Refusal(
                    "the transaction failed and can only be rolled back", "transaction"
                )
            case TransactionState.IDLE:
                transaction.state = TransactionState.RUNNING
                transaction.last_used_at = now
                return transaction

    def remove_for_rollback(
        self, identifier: str, caller: str
    ) -> Transaction | Refusal:
        """Remove and return a transaction to roll back, unless it is running."""
        transaction = self._find_owned(identifier, caller)
        if transaction is None:
            return Refusal("no such transaction", "transaction")
        if transaction.state is TransactionState.RUNNING:
            return Refusal("a statement of the transaction is running", "transaction")
        self.remove(transaction)
        return transaction

    def mark_idle(self, transaction: Transaction, now: float) -> None:
        """Mark a transaction as idle, after a complete answer."""
        transaction.state = TransactionState.IDLE
        transaction.last_used_at = now

    def mark_failed(self, transaction: Transaction, now: float) -> None:
        """Mark a transaction as failed; it can only be rolled back from now on."""
        transaction.state = TransactionState.FAILED
        transaction.last_used_at = now

    def remove(self, transaction: Transaction) -> None:
        """Remove a transaction that has ended."""
        self._open.pop(transaction.identifier, None)

    def remove_expired(self, now: float) -> list[Transaction]:
        """Remove and return the transactions over the idle time or maximum age.

        Running ones are kept.
        """
        overdue = [
            transaction
            for transaction in self._open.values()
            if transaction.state is not TransactionState.RUNNING
            and (
                now - transaction.last_used_at >= self._policy.idle_seconds
                or now - transaction.began_at >= self._policy.max_age_seconds
            )
        ]
        for transaction in overdue:
            self.remove(transaction)
        return overdue

    def _find_owned(self, identifier: str, caller: str) -> Transaction | None:
        # The answer must not reveal that another caller's identifier exists.
        transaction = self._open.get(identifier)
        if transaction is None or transaction.caller != caller:
            return None
        return transaction
