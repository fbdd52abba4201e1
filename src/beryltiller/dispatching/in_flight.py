"""Statements in flight, tracked so that the wait for an answer can be ended early.

A write whose primary has been replaced cannot be acknowledged, and a read at a
database that does not answer is better run elsewhere. Without this, the callers of
both would wait until the deadline.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class InFlightStatement:
    """A statement sent, or about to be sent, to a database; `term` is 0 for a read.

    `timeout` limits the wait for its answer.
    """

    group: str
    term: int
    timeout: asyncio.Timeout
    is_sent: bool = False
    is_cancelled: bool = False

    def mark_sent(self) -> None:
        """Record that the statement may have run from now on."""
        self.is_sent = True

    def cancel(self) -> None:
        """End the wait for the answer now, by a timeout."""
        if not self.is_cancelled:
            self.is_cancelled = True
            self.timeout.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class InFlightStatements:
    """The statements in flight, by database."""

    _by_database: dict[str, set[InFlightStatement]] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of databases that have statements in flight."""
        return len(self._by_database)

    @contextmanager
    def track(
        self, database: str, group: str, term: int, timeout: asyncio.Timeout
    ) -> Iterator[InFlightStatement]:
        """Track a statement while the context is open."""
        statement = InFlightStatement(group, term, timeout)
        self._by_database.setdefault(database, set()).add(statement)
        try:
            yield statement
        finally:
            statements = self._by_database[database]
            statements.discard(statement)
            if not statements:
                del self._by_database[database]

    def cancel_writes_before(self, group: str, term: int) -> None:
        """End the waits for the group's writes in terms below `term`."""
        for statements in self._by_database.values():
            for statement in statements:
                if statement.group == group and 0 < statement.term < term:
                    statement.cancel()

    def cancel_reads(self, database: str) -> None:
        """End the waits for all reads at a database, as it does not answer."""
        for statement in self._by_database.get(database, ()):
            if statement.term == 0:
                statement.cancel()
