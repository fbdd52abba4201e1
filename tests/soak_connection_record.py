"""The connections that proxies open to a soak's databases, and what ran on them."""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Startup:
    """An accepted connection: its database, its source IP address and its STARTUP.

    `identity` is the name of the connecting party, an organisation where there are any.
    """

    database: str
    source: str
    identity: str
    line: str


@dataclass(frozen=True, slots=True)
class RunPlace:
    """Where and when a statement ran.

    `sources` are the addresses with a connection to the same database at that time.
    """

    identifier: str
    connection: int
    at: float
    is_primary: bool
    sources: frozenset[str]


class ConnectionRecord:
    """Records accepted connections, those that are open, and the place of each run."""

    def __init__(self, find: Callable[[str], None]) -> None:
        """Report each finding to `find`; connections are unlimited at first."""
        self.max_connections: int | None = None
        self.startups: dict[int, Startup] = {}
        # All STARTUP lines, also those of connections that were refused.
        self.lines: set[str] = set()
        self.places: list[RunPlace] = []
        self.refused: Counter[str] = Counter()
        self._find = find
        self._open: dict[int, Startup] = {}

    def add(self, connection: int, startup: Startup) -> None:
        """Record that a database accepts a connection."""
        self.startups[connection] = self._open[connection] = startup
        count = sum(each.database == startup.database for each in self._open.values())
        if self.max_connections is not None and count > self.max_connections:
            self._find(f"OVERCAP {count} connections to {startup.database}")

    def remove(self, connection: int) -> None:
        """Record that a connection has ended, if it was accepted."""
        self._open.pop(connection, None)

    def sources(self, database: str) -> frozenset[str]:
        """Return the addresses with an open connection to a database."""
        return frozenset(
            each.source for each in self._open.values() if each.database == database
        )

    def record_run(
        self, identifier: str, connection: int, database: str, is_primary: bool
    ) -> None:
        """Record that a statement runs now."""
        place = RunPlace(
            identifier,
            connection,
            time.monotonic(),
            is_primary,
            self.sources(database),
        )
        self.places.append(place)
