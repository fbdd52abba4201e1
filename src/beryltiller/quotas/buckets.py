"""Token buckets: a sustained rate, and a burst that may exceed it at once.

>>> bucket = TokenBucket(0.0)
>>> bucket.advance(2.0, rate=1.0, depth=5.0)
>>> bucket.take(3)
2
"""

from dataclasses import dataclass

# Absorbs rounding errors of sums, so that a whole operation is not missed by them.
_ROUNDING = 1e-9


@dataclass(slots=True)
class TokenBucket:
    """A bucket that was filled up to the time `at`; it starts empty."""

    at: float
    level: float = 0.0

    def advance(self, now: float, rate: float, depth: float) -> None:
        """Fill the bucket at `rate` from the last call to `now`, up to `depth`."""
        if now > self.at:
            self.level += rate * (now - self.at)
            self.at = now
        self.level = min(self.level, depth)

    def take(self, count: int) -> int:
        """Take up to `count` whole operations and return how many there were."""
        taken = min(count, int(self.level + _ROUNDING))
        self.level -= taken
        return taken

    def seconds_until(self, count: float, rate: float) -> float:
        """Return how long until the bucket has `count` at `rate`, 0 if it has."""
        missing = count - self.level
        if missing <= _ROUNDING:
            return 0.0
        return missing / rate if rate > 0 else float("inf")
