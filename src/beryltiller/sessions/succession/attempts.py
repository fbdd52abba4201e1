"""When things that may fail for long are tried again, more seldom with each attempt."""

import random
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from beryltiller.core.budgets import BackoffPolicy, backoff_seconds

# Databases and the store may be silent for long.
ASKING = BackoffPolicy(first_seconds=0.3, max_seconds=30.0)


_Key = TypeVar("_Key", bound=Hashable)


class Attempts(Generic[_Key]):
    """When each of some things is tried next; use it on a single event loop."""

    def __init__(self, rng: random.Random) -> None:
        """Draw the times between attempts with `rng`."""
        self._rng = rng
        self._made: dict[_Key, int] = {}
        self._next_at: dict[_Key, float] = {}

    def is_due(
        self,
        key: _Key,
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

    def keep_if(self, is_kept: Callable[[_Key], bool]) -> None:
        """Forget the attempts at what is not kept."""
        for key in [each for each in self._next_at if not is_kept(each)]:
            del self._next_at[key]
            self._made.pop(key, None)
