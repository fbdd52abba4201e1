"""Statements in flight, so that one which can no longer succeed is given up early.

A write whose primary has been replaced cannot be acknowledged, and a read at a
database that does not answer is better served elsewhere. Without this, either would
hold its caller until the deadline.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Flight:
    """Hold one statement at a database; `term` is 0 for a read."""

    group: str
    term: int
    limit: asyncio.Timeout
    is_sent: bool = False
    is_given_up: bool = False

    def mark_sent(self) -> None:
        """Note that the statement may have run from now on."""
        self.is_sent = True

    def give_up(self) -> None:
        """End the wait for its answer now."""
        if not self.is_given_up:
            self.is_given_up = True
            self.limit.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class Flights:
    """Keep the statements in flight by database."""

    _flights: defaultdict[str, set[Flight]] = field(
        default_factory=lambda: defaultdict(set)
    )

    @contextmanager
    def follow(
        self, database: str, group: str, term: int, limit: asyncio.Timeout
    ) -> Iterator[Flight]:
        """Keep a statement while the context is open."""
        flight = Flight(group, term, limit)
        self._flights[database].add(flight)
        try:
            yield flight
        finally:
            self._flights[database].discard(flight)

    def replaced(self, group: str, term: int) -> None:
        """Give up the group's writes of terms below `term`."""
        for flights in self._flights.values():
            for flight in flights:
                if flight.group == group and 0 < flight.term < term:
                    flight.give_up()

    def silent(self, database: str) -> None:
        """Give up the reads at a database that does not answer."""
        for flight in self._flights.get(database, ()):
            if flight.term == 0:
                flight.give_up()
