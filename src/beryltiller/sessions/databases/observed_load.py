"""What a proxy has observed of a database's load: its latency and its errors.

An observation counts less the older it is: what a proxy that sends few statements saw
long ago says little of the load at present. Times are seconds on a monotonic clock; the
caller passes them in.
"""

# The weight of the newest statement in the moving averages.
NEWEST_WEIGHT = 0.2
# The latency assumed before the first statement.
FIRST_LATENCY_SECONDS = 0.03
# After this time an observation counts half.
HALF_LIFE_SECONDS = 2.0
# The highest share of errors that is used, so that the expected time stays finite.
MAX_ERROR_SHARE = 0.9


class ObservedLoad:
    """Moving averages of a database's latency and of its share of errors.

    >>> load = ObservedLoad()
    >>> load.record_answer(0.13, now=0.0)
    >>> round(load.expected_seconds(0.0, neutral=0.03), 3)
    0.05
    >>> round(load.expected_seconds(HALF_LIFE_SECONDS, neutral=0.03), 3)
    0.04
    """

    def __init__(self) -> None:
        """Create averages without any observation."""
        self._latency_seconds = FIRST_LATENCY_SECONDS
        self._error_share = 0.0
        self._observed_at = float("-inf")

    @property
    def latency_seconds(self) -> float:
        """Return the moving average of the latency, whatever its age."""
        return self._latency_seconds

    def record_answer(self, duration_seconds: float, now: float) -> None:
        """Record that a statement succeeded after a time."""
        change = duration_seconds - self._latency_seconds
        self._latency_seconds += NEWEST_WEIGHT * change
        self._error_share *= 1 - NEWEST_WEIGHT
        self._observed_at = now

    def record_error(self, now: float) -> None:
        """Record an error of the database, of which the duration says nothing."""
        self._error_share += NEWEST_WEIGHT * (1 - self._error_share)
        self._observed_at = now

    def expected_seconds(self, now: float, neutral: float) -> float:
        """Return the time until a statement succeeds, with its repetitions.

        Without observations for a while it approaches `neutral`.
        """
        share = min(self._error_share, MAX_ERROR_SHARE)
        expected = self._latency_seconds / (1 - share)
        return neutral + (expected - neutral) * self._freshness(now)

    def _freshness(self, now: float) -> float:
        """Return how much the averages still count, from 1 to 0."""
        age = max(0.0, now - self._observed_at)
        return float(0.5 ** (age / HALF_LIFE_SECONDS))
