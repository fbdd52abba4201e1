"""Ledger of connections to one database, within this proxy's share of its cap.

A connection is idle, in use by one statement or transaction, opening, or closing, and
counts against the share in each of these: the database may hold it until the close is
done. The ledger decides which connections to open, reuse and close, and does no I/O.
"""

import random
from collections.abc import Container
from dataclasses import dataclass, field

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Configure a pool.

    `spare` connections are opened ahead of demand, because opening takes 10 ms.
    Idle connections beyond `minimum` close after `idle_seconds`.
    """

    minimum: int = 1
    spare: int = 1
    max_opening: int = 4
    idle_seconds: float = 30.0
    connect_timeout_seconds: float = 2.0
    close_timeout_seconds: float = 2.0
    backoff: BackoffPolicy = field(default_factory=BackoffPolicy)


class ConnectionLedger:
    """Account for one pool's connections by serial number; do no I/O.

    >>> ledger = ConnectionLedger(PoolPolicy(spare=0), share=2)
    >>> ledger.open(now=0.0, demand=5)
    [1, 2]
    >>> ledger.opened(1, now=0.01)
    True
    >>> ledger.lend()
    1
    >>> ledger.give_back(1, now=0.02, is_clean=False)
    False
    """

    def __init__(self, policy: PoolPolicy, share: int) -> None:
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
        """Return how many connections may be held."""
        return self._share

    @property
    def idle(self) -> int:
        """Return how many connections can be lent at once."""
        return len(self._idle)

    @property
    def in_use(self) -> int:
        """Return how many connections are lent."""
        return len(self._in_use)

    @property
    def held(self) -> int:
        """Return how many connections the database may count as ours."""
        live = len(self._idle) + len(self._in_use)
        return live + len(self._opening) + len(self._closing)

    @property
    def is_out(self) -> bool:
        """Tell whether none is open and the last attempt to open one failed."""
        return not self._idle and not self._in_use and self._failures > 0

    def is_out_until(self, now: float) -> bool:
        """Tell whether none is open and none may be opened before `now`."""
        return self.is_out and not self._opening and now < self._next_open

    def open(self, now: float, demand: int) -> list[int]:
        """Return the serial numbers of connections to open for `demand` statements."""
        if now < self._next_open:
            return []
        live = len(self._idle) + len(self._in_use) + len(self._opening)
        wanted = max(self._policy.minimum, demand + self._policy.spare) - live
        room = self._share - self.held
        opening = self._policy.max_opening - len(self._opening)
        if self._failures:
            opening = 1 - len(self._opening)
        return [self._next_serial() for _ in range(min(wanted, room, opening))]

    def opened(self, serial: int, now: float) -> bool:
        """Take in an opened connection; return False when it must be closed."""
        self._opening.remove(serial)
        self._failures = 0
        return self._keep(serial, now)

    def open_failed(self, serial: int, now: float, rng: random.Random) -> None:
        """Take in a failed attempt; the next one waits for a backoff."""
        self._opening.remove(serial)
        self._failures += 1
        delay = backoff_seconds(self._policy.backoff, self._failures, rng)
        self._next_open = now + delay

    def open_one(self) -> int | None:
        """Return the serial number of one connection to open now, or None."""
        return self._next_serial() if self.held < self._share else None

    def not_opened(self, serial: int) -> None:
        """Take in that an attempt ended, which says nothing of the next one."""
        self._opening.remove(serial)

    def lend_opened(self, serial: int) -> None:
        """Take in a connection that was opened for one user, who has it now."""
        self._opening.remove(serial)
        self._in_use.add(serial)

    def lend(self, preferred: Container[int] = ()) -> int | None:
        """Return the connection idle for the shortest time, or None.

        One of the `preferred` goes before all others.
        """
        if not self._idle:
            return None
        found = (at for at, item in enumerate(self._idle) if item[0] in preferred)
        serial, _ = self._idle.pop(max(found, default=-1))
        self._in_use.add(serial)
        return serial

    def give_back(self, serial: int, now: float, is_clean: bool) -> bool:
        """Take a connection back; return False when it must be closed.

        Only a connection whose every answer arrived whole is clean.
        """
        self._in_use.remove(serial)
        if not is_clean:
            self._closing.add(serial)
            return False
        return self._keep(serial, now)

    def resize(self, share: int) -> list[int]:
        """Change the share; return idle connections to close, longest idle first."""
        self._share = share
        excess = min(self.held - len(self._closing) - share, len(self._idle))
        return self._retire(max(excess, 0))

    def evict(self, now: float) -> list[int]:
        """Return connections to close because they were idle for too long."""
        since = now - self._policy.idle_seconds
        old = sum(idle_since < since for _, idle_since in self._idle)
        live = len(self._idle) + len(self._in_use) + len(self._opening)
        return self._retire(max(0, min(old, live - self._policy.minimum)))

    def closed(self, serial: int) -> None:
        """Take in that a connection is gone from the database."""
        self._closing.remove(serial)

    def _next_serial(self) -> int:
        self._serial += 1
        self._opening.add(self._serial)
        return self._serial

    def _keep(self, serial: int, now: float) -> bool:
        live = len(self._idle) + len(self._in_use) + len(self._opening)
        if live >= self._share:
            self._closing.add(serial)
            return False
        self._idle.append((serial, now))
        return True

    def _retire(self, number: int) -> list[int]:
        """Move the longest idle connections to closing."""
        retired = [serial for serial, _ in self._idle[:number]]
        del self._idle[:number]
        self._closing.update(retired)
        return retired
