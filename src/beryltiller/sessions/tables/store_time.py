"""Moments of the store's clock on this proxy's own.

The store's answers state its time, by a steady clock. Each answer was given after its
request was sent, so that its time is not earlier than that here. So a proxy can date
what another one has read, by the store's time of that reading.
"""

from beryltiller.core.decoding import Count

# Two steady clocks drift apart by less than this share of the time that passes.
MAX_DRIFT = 0.001


class StoreTime:
    """Places moments of the store's clock, in milliseconds, on this proxy's clock.

    >>> clock = StoreTime()
    >>> clock.earliest(5_000, now=20.0) is None
    True
    >>> clock.record(asked_at=10.0, now_ms=4_000, now=10.2)
    >>> round(clock.earliest(5_000, now=11.2), 2)
    11.0
    """

    def __init__(self) -> None:
        """Create a clock that no answer has set."""
        self._offset: float | None = None
        self._recorded_at = 0.0

    def record(self, asked_at: float, now_ms: Count, now: float) -> None:
        """Record the store's time in the answer to a request that was sent then.

        The answer that took the least time counts, less what the clocks may have
        drifted apart since.
        """
        offset = asked_at - now_ms / 1000
        known = self._offset_at(now)
        has_jumped = known is not None and known + now_ms / 1000 > now
        if known is None or has_jumped or offset >= known:
            self._offset = offset
            self._recorded_at = now

    def earliest(self, now_ms: Count, now: float) -> float | None:
        """Return the earliest moment here at which the store's clock showed a time.

        It is not later than `now`. Return None before the first answer.
        """
        offset = self._offset_at(now)
        return None if offset is None else min(now, offset + now_ms / 1000)

    def _offset_at(self, now: float) -> float | None:
        if self._offset is None:
            return None
        return self._offset - MAX_DRIFT * (now - self._recorded_at)
