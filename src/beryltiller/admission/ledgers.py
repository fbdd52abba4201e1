"""Ledger of connections to one database, within this proxy's share of its cap.

A connection is idle, in use by one statement or transaction, opening, or closing. It
counts against the share in each of these states, since the database may hold it until
the close is done. The ledger decides which connections to open, reuse and close, and
does no I/O.
"""

import random
from collections.abc import Container
from dataclasses import dataclass, field

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds


@dataclass(frozen=True, slots=True)
class ConnectionLedgerPolicy:
    """The settings of a connection ledger and of the pool that uses it.

    `spare` connections are opened ahead of demand, because opening one takes 10 ms.
    Connections that were idle for `idle_seconds` are closed, but at least
    `minimum` connections stay open.
    """

    minimum: int = 1
    spare: int = 1
    max_opening: int = 4
    idle_seconds: float = 30.0
    connect_timeout_seconds: float = 2.0
    close_timeout_seconds: float = 2.0
    backoff: BackoffPolicy = field(default_factory=BackoffPolicy)


class ConnectionLedger:
    """The states of one pool's connections, by serial number.

    >>> ledger = ConnectionLedger(ConnectionLedgerPolicy(spare=0), share=2)
    >>> ledger.begin_opening(now=0.0, demand=5)
    [1, 2]
    >>> ledger.record_opened(1, now=0.01)
    True
    >>> ledger.acquire()
    1
    >>> ledger.release(1, now=0.02, is_clean=False)
    False
    """

    def __init__(self, policy: ConnectionLedgerPolicy, share: int) -> None:
        """Start without connections."""
        self._policy = policy
        self._share = share
        self._serial = 0
        self._idle: list[tuple[int, float]] = []
        self._in_use: set[int] = set()
        self._opening: set[int] = set()
        self._closing: set[int] = set()
        self._failures = 0
        self._next_open = 0.0

    @property
    def share(self) -> int:
        """Return the maximum number of connections."""
        return self._share

    @property
    def idle(self) -> int:
        """Return the number of idle connections, which can be acquired at once."""
        return len(self._idle)

    @property
    def idle_since(self) -> float | None:
        """Return since when the connection that is idle for longest is, or None."""
        return self._idle[0][1] if self._idle else None

    @property
    def idle_serials(self) -> frozenset[int]:
        """Return the serial numbers of the idle connections."""
        return frozenset(serial for serial, _ in self._idle)

    @property
    def in_use(self) -> int:
        """Return the number of connections in use."""
        return len(self._in_use)

    @property
    def held(self) -> int:
        """Return the number of connections that the database may still count."""
        live = len(self._idle) + len(self._in_use)
        return live + len(self._opening) + len(self._closing)

    @property
    def is_unavailable(self) -> bool:
        """Return True if no connection is open after a failed attempt to open one."""
        return not self._idle and not self._in_use and self._failures > 0

    def is_backing_off(self, now: float) -> bool:
        """Return True if no connection is open or opening, and a backoff continues."""
        return self.is_unavailable and not self._opening and now < self._next_open

    def begin_opening(self, now: float, demand: int) -> list[int]:
        """Return the serial numbers of connections to open for `demand` statements.

        They are recorded as opening. There are none during the backoff after a failure,
        and at most one is opened at a time until an attempt succeeds.
        """
        if now < self._next_open:
            return []
        live = len(self._idle) + len(self._in_use) + len(self._opening)
        wanted = max(self._policy.minimum, demand + self._policy.spare) - live
        room = self._share - self.held
        opening = self._policy.max_opening - len(self._opening)
        if self._failures:
            opening = 1 - len(self._opening)
        return [self._next_serial() for _ in range(min(wanted, room, opening))]

    def record_opened(self, serial: int, now: float) -> bool:
        """Record that a connection was opened; return False if it must be closed."""
        self._opening.remove(serial)
        self._failures = 0
        return self._keep_or_close(serial, now)

    def record_open_failure(self, serial: int, now: float, rng: random.Random) -> None:
        """Record a failed attempt to open a connection, and start a backoff."""
        self._opening.remove(serial)
        self._failures += 1
        delay = backoff_seconds(self._policy.backoff, self._failures, rng)
        self._next_open = now + delay

    def begin_opening_one(self) -> int | None:
        """Return the serial number of one connection to open now, or None.

        Only the share limits it: demand and a backoff are ignored.
        """
        return self._next_serial() if self.held < self._share else None

    def cancel_opening(self, serial: int) -> None:
        """Record that an attempt to open a connection ended, without a backoff.

        It is used if the end does not tell whether the next attempt would succeed.
        """
        self._opening.remove(serial)

    def acquire_opened(self, serial: int) -> None:
        """Record that a connection was opened for one user, and is in use at once."""
        self._opening.remove(serial)
        self._in_use.add(serial)

    def acquire(self, preferred: Container[int] = ()) -> int | None:
        """Return the connection that was idle for the shortest time, or None.

        A `preferred` connection is chosen before all others.
        """
        if not self._idle:
            return None
        found = (at for at, item in enumerate(self._idle) if item[0] in preferred)
        serial, _ = self._idle.pop(max(found, default=-1))
        self._in_use.add(serial)
        return serial

    def release(self, serial: int, now: float, is_clean: bool) -> bool:
        """Release a connection; return False if it must be closed.

        `is_clean` is True only if each of the connection's answers arrived complete.
        """
        self._in_use.remove(serial)
        if not is_clean:
            self._closing.add(serial)
            return False
        return self._keep_or_close(serial, now)

    def resize(self, share: int) -> list[int]:
        """Set the share; return the idle connections to close, longest idle first."""
        self._share = share
        excess = min(self.held - len(self._closing) - share, len(self._idle))
        return self._start_closing(max(excess, 0))

    def evict(self, now: float, keeps_minimum: bool = True) -> list[int]:
        """Return the connections to close because they were idle for too long.

        The policy's minimum counts only with `keeps_minimum`.
        """
        minimum = self._policy.minimum if keeps_minimum else 0
        since = now - self._policy.idle_seconds
        old = sum(idle_since < since for _, idle_since in self._idle)
        live = len(self._idle) + len(self._in_use) + len(self._opening)
        return self._start_closing(max(0, min(old, live - minimum)))

    def evict_longest_idle(self) -> list[int]:
        """Return the connection to close that was idle for longest, if there is one."""
        return self._start_closing(min(1, len(self._idle)))

    def record_closed(self, serial: int) -> None:
        """Record that a connection was closed and the database no longer counts it."""
        self._closing.remove(serial)

    def _next_serial(self) -> int:
        self._serial += 1
        self._opening.add(self._serial)
        return self._serial

    def _keep_or_close(self, serial: int, now: float) -> bool:
        live = len(self._idle) + len(self._in_use) + len(self._opening)
        if live >= self._share:
            self._closing.add(serial)
            return False
        self._idle.append((serial, now))
        return True

    def _start_closing(self, number: int) -> list[int]:
        """Change the state of the longest idle connections to closing."""
        closing = [serial for serial, _ in self._idle[:number]]
        del self._idle[:number]
        self._closing.update(closing)
        return closing
