"""Decide which open transactions have held a connection for too long.

An open transaction that sends nothing ends by the idle limit, and one that sends
statements counts by their number. So only a transaction of many statements can hold a
connection without end. It is rolled back between two statements if others wait for a
connection to the database.
"""

from beryltiller.sessions.session import Transaction

# Ordinary transactions have up to 12 statements.
MIN_STATEMENTS = 16
# A transaction that has held its connection for less time is not ended.
MIN_HELD_SECONDS = 0.5


class TransactionHolds:
    """The open transactions that hold connections, by database."""

    def __init__(self) -> None:
        """Know no transaction yet."""
        self._held: dict[str, dict[int, Transaction]] = {}

    def __len__(self) -> int:
        """Return how many transactions hold a connection."""
        return sum(len(each) for each in self._held.values())

    def add(self, transaction: Transaction, now: float) -> None:
        """Record that a transaction holds a connection, after its first statement."""
        assert transaction.acquired is not None
        transaction.held_since = now
        transaction.statements = 1
        database = transaction.acquired.placement.member.database.identifier
        transaction.held_database = database
        self._held.setdefault(database, {})[id(transaction)] = transaction

    def remove(self, transaction: Transaction) -> None:
        """Forget a transaction that releases its connection; others are ignored."""
        held = self._held.get(transaction.held_database)
        if held is None or held.pop(id(transaction), None) is None:
            return
        if not held:
            del self._held[transaction.held_database]

    def longest_idle(self, database: str, now: float) -> Transaction | None:
        """Return the longest one that is too long and between two statements."""
        found = (
            each
            for each in self._held.get(database, {}).values()
            if not each.is_running and is_too_long(each, now)
        )
        return min(found, key=lambda each: each.held_since, default=None)


def is_too_long(transaction: Transaction, now: float) -> bool:
    """Return True if a transaction has held its connection for too long."""
    is_long = now - transaction.held_since >= MIN_HELD_SECONDS
    return is_long and transaction.statements >= MIN_STATEMENTS
