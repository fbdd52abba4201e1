"""Decide how many connections a proxy holds at a database that many proxies share.

A database refuses connections beyond its cap, which all proxies share without knowing
of each other. A refusal is the only signal: whoever is refused keeps to fewer, and may
hold one more after each calm while. Pure decisions; the caller passes the clock in.
"""

from dataclasses import dataclass
from enum import Enum, unique

# A refusal because of the cap tells that connections are scarce for this long.
SCARCE_SECONDS = 5.0


@unique
class Supply(Enum):
    """Tell how soon a connection to a database can be had."""

    IDLE = "idle"
    OPENING = "to be opened"
    SCARCE = "none idle, and the database has refused others of late"


@dataclass(frozen=True, slots=True)
class LendingPolicy:
    """Bound one proxy's connections to one database.

    After the database has refused one because its cap is reached, no other is tried
    for `full_pause_seconds`, and the proxy keeps to one less than it has. It may open
    another one every `growth_seconds` from then on, up to `max_connections`.
    """

    max_connections: int
    idle_seconds: float = 10.0
    full_pause_seconds: float = 0.15
    growth_seconds: float = 1.0


class ConnectionLimit:
    """Hold one proxy's present limit at one database.

    >>> limit = ConnectionLimit(LendingPolicy(max_connections=8))
    >>> limit.at(0.0)
    8
    >>> limit.refused(held=3, now=0.0)
    >>> limit.at(0.5), limit.at(2.5), limit.is_full(0.1)
    (2, 4, True)
    """

    def __init__(self, policy: LendingPolicy) -> None:
        """Start without a refusal."""
        self._policy = policy
        self._limit = policy.max_connections
        self._refused_at = float("-inf")

    def is_full(self, now: float) -> bool:
        """Tell whether the database refused a connection just now."""
        return now < self._refused_at + self._policy.full_pause_seconds

    def is_scarce(self, now: float) -> bool:
        """Tell whether the database has refused a connection of late."""
        return now < self._refused_at + SCARCE_SECONDS

    def at(self, now: float) -> int:
        """Return how many connections may be held."""
        most = self._policy.max_connections
        steps = (now - self._refused_at) / self._policy.growth_seconds
        return most if steps >= most else min(most, self._limit + int(steps))

    def refused(self, held: int, now: float) -> None:
        """Take in that the database refused a connection beyond the `held` ones."""
        self._limit = max(1, held - 1)
        self._refused_at = now
