"""When things that may fail for long are tried again, more seldom with each attempt."""

import random

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds

# Databases and the store may be silent for long.
ASKING = BackoffPolicy(first_seconds=0.3, max_seconds=30.0)


class Attempts:
    """When each of some things is tried next; use it on a single event loop."""

    def __init__(self, rng: random.Random) -> None:
        """Draw the times between attempts with `rng`."""
        self._rng = rng
        self._made: dict[object, int] = {}
        self._next_at: dict[object, float] = {}

    def is_due(
        self,
        key: object,
        now: float,
        first_delay: float = 0.0,
        policy: BackoffPolicy = ASKING,
    ) -> bool:
        """Return True if an attempt is due, and count it."""
        if now < self._next_at.setdefault(key, now + first_delay):
            return False
        made = self._made[key] = self._made.get(key, 0) + 1
        self._next_at[key] = now + backoff_seconds(policy, made, self._rng)
        return True

    def keep_only(self, keys: set[object]) -> None:
        """Forget all others."""
        for key in self._next_at.keys() - keys:
            del self._next_at[key]
            self._made.pop(key, None)
