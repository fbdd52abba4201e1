"""Limit the connections that a proxy opens to a database shared by many proxies.

A database refuses connections beyond its cap. All proxies share the cap, but none
knows how many connections the others have: a refusal is the only signal. A proxy that
was refused lowers its limit, and raises it by one after each interval without another
refusal. This module does no I/O; callers pass the time in.
"""

from dataclasses import dataclass
from enum import Enum, unique

# After a refusal because of the cap, connections count as scarce for this long.
SCARCE_SECONDS = 5.0


@unique
class ConnectionSupply(Enum):
    """How soon a connection to a database can be acquired.

    Unless a connection is idle, one must first be opened or released. SCARCE means that
    the database also refused to open one recently.
    """

    IDLE = "idle"
    OPENING = "to be opened"
    SCARCE = "none idle, and the database has refused others of late"


@dataclass(frozen=True, slots=True)
class ConnectionPoolPolicy:
    """The settings of a connection pool for one database.

    When the database refuses a connection because its cap is reached, the pool opens
    no connection for `refusal_pause_seconds`, and lowers its limit to one less than
    the connections it has. The limit then grows by one every `growth_seconds`, up to
    `max_connections`. All connections but `min_idle` are closed after `idle_seconds`
    without use, as the cap may leave another proxy without any.
    """

    max_connections: int
    min_idle: int = 1
    idle_seconds: float = 1.0
    refusal_pause_seconds: float = 0.15
    growth_seconds: float = 1.0


class ConnectionLimit:
    """The number of connections that a proxy may have open at one database.

    A refusal by the database lowers it; time without a refusal raises it again.

    >>> limit = ConnectionLimit(ConnectionPoolPolicy(max_connections=8))
    >>> limit.max_open(0.0)
    8
    >>> limit.record_refusal(open_count=3, now=0.0)
    >>> limit.max_open(0.5), limit.max_open(2.5), limit.is_paused(0.1)
    (2, 4, True)
    """

    def __init__(self, policy: ConnectionPoolPolicy) -> None:
        """Start at the policy's maximum."""
        self._policy = policy
        self._maximum = policy.max_connections
        self._limit = policy.max_connections
        self._refused_at = float("-inf")

    def set_maximum(self, connections: int | None) -> None:
        """Change the maximum, or go back to the policy's with None."""
        maximum = self._policy.max_connections if connections is None else connections
        if maximum != self._maximum:
            self._maximum = self._limit = maximum

    def is_paused(self, now: float) -> bool:
        """Return True if opening is paused after a refusal by the database."""
        return now < self._refused_at + self._policy.refusal_pause_seconds

    def is_scarce(self, now: float) -> bool:
        """Return True if a connection was refused within `SCARCE_SECONDS`."""
        return now < self._refused_at + SCARCE_SECONDS

    def max_open(self, now: float) -> int:
        """Return how many connections may be open now."""
        maximum = self._maximum
        steps = (now - self._refused_at) / self._policy.growth_seconds
        return maximum if steps >= maximum else min(maximum, self._limit + int(steps))

    def record_refusal(self, open_count: int, now: float) -> None:
        """Lower the limit after a refusal while `open_count` connections were open."""
        self._limit = max(1, open_count - 1)
        self._refused_at = now
