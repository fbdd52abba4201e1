"""A log of the connections that are closed or refused as callers have too many."""

from collections.abc import Callable

from beryltiller.observability import limit_events, logs

LOG_INTERVAL_SECONDS = 60.0


class CallerLimitLog:
    """Counts closed and refused connections, and logs the count once a minute."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a log that has counted nothing; `clock` returns seconds."""
        self._clock = clock
        self._closed = 0
        self._logged_at = float("-inf")

    def record(self, limit: int) -> None:
        """Count a connection that was closed or refused at this limit."""
        self._closed += 1
        now = self._clock()
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        logs.log(limit_events.CallersLimited(limit, self._closed))
        self._logged_at = now
        self._closed = 0
