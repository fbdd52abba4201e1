"""Transactions: each pinned to one connection, bound to its caller, of bounded age.

The table decides who may use, end or lose a transaction, and does no I/O.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.admission.tickets import Cause, Rejection
from beryltiller.core.outcome import Refusal
from beryltiller.dispatching.connections import Lease


@dataclass(frozen=True, slots=True)
class TransactionPolicy:
    """Configure the limits on open transactions.

    `part_of_share` is the part of the connections that transactions may pin, at least
    one. One caller may have half of those, at least one; its failed transactions count
    until they are rolled back or expire.
    """

    idle_seconds: float = 5.0
    max_age_seconds: float = 60.0
    part_of_share: float = 0.5


@unique
class TransactionState(Enum):
    """Tell what may be done with a transaction."""

    IDLE = "idle"
    RUNNING = "running"
    FAILED = "failed"


@dataclass(slots=True)
class Transaction:
    """Hold one open transaction; `identifier` is a secret shared with its caller."""

    identifier: str
    caller: str
    began: float
    last_used: float
    state: TransactionState = TransactionState.IDLE
    lease: Lease | None = None


class TransactionTable:
    """Hold the open transactions of one database.

    >>> table = TransactionTable(TransactionPolicy(), new_identifier=lambda: "t1")
    >>> opened = table.begin("shop", now=0.0, share=2)
    >>> table.done(opened, now=0.05)
    >>> table.use("t1", "other", now=0.1)
    Refusal(reason='no such transaction', field='transaction')
    >>> table.use("t1", "shop", now=0.1) is opened
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
        """Return how many transactions are open."""
        return len(self._open)

    def begin(self, caller: str, now: float, share: int) -> Transaction | Rejection:
        """Open a transaction, or return why there may be no further one."""
        most = max(1, int(share * self._policy.part_of_share))
        held = self._open.values()
        pinned = sum(item.state is not TransactionState.FAILED for item in held)
        own = sum(item.caller == caller for item in held)
        if pinned >= most or own >= max(1, most // 2):
            return Rejection(Cause.TRANSACTION_LIMIT)
        transaction = Transaction(self._new_identifier(), caller, now, now)
        transaction.state = TransactionState.RUNNING
        self._open[transaction.identifier] = transaction
        return transaction

    def use(self, identifier: str, caller: str, now: float) -> Transaction | Refusal:
        """Take an idle transaction for one statement or its commit."""
        transaction = self._own(identifier, caller)
        if transaction is None:
            return Refusal("no such transaction", "transaction")
        match transaction.state:
            case TransactionState.RUNNING:
                return Refusal("a statement of it is running", "transaction")
            case TransactionState.FAILED:
                return Refusal("it failed and can only be rolled back", "transaction")
            case TransactionState.IDLE:
                transaction.state = TransactionState.RUNNING
                transaction.last_used = now
                return transaction

    def take_for_rollback(self, identifier: str, caller: str) -> Transaction | Refusal:
        """Take a transaction that is to be rolled back, also a failed one."""
        transaction = self._own(identifier, caller)
        if transaction is None:
            return Refusal("no such transaction", "transaction")
        if transaction.state is TransactionState.RUNNING:
            return Refusal("a statement of it is running", "transaction")
        self.remove(transaction)
        return transaction

    def done(self, transaction: Transaction, now: float) -> None:
        """Make a transaction idle after a whole answer."""
        transaction.state = TransactionState.IDLE
        transaction.last_used = now

    def fail(self, transaction: Transaction, now: float) -> None:
        """Let a transaction only be rolled back from now on."""
        transaction.state = TransactionState.FAILED
        transaction.last_used = now

    def remove(self, transaction: Transaction) -> None:
        """Forget an ended transaction."""
        self._open.pop(transaction.identifier, None)

    def expired(self, now: float) -> list[Transaction]:
        """Remove and return those idle for too long or too old, unless running."""
        gone = [
            transaction
            for transaction in self._open.values()
            if transaction.state is not TransactionState.RUNNING
            and (
                now - transaction.last_used >= self._policy.idle_seconds
                or now - transaction.began >= self._policy.max_age_seconds
            )
        ]
        for transaction in gone:
            self.remove(transaction)
        return gone

    def _own(self, identifier: str, caller: str) -> Transaction | None:
        # Another caller's identifier is answered like one that does not exist.
        transaction = self._open.get(identifier)
        if transaction is None or transaction.caller != caller:
            return None
        return transaction
