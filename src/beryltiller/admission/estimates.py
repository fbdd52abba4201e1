"""Measured service times of one database, by kind of work and by lane."""

from beryltiller.admission.tickets import LANES, Lane
from beryltiller.core.outcome import Kind

_DEVIATIONS = 2.0


class ServiceEstimates:
    """Keep exponentially weighted means and deviations of service times, in seconds.

    >>> estimates = ServiceEstimates(initial_seconds=0.25, smoothing=0.5)
    >>> estimates.add(Kind.READ, 0.75)
    >>> estimates.of_kind(Kind.READ)
    0.5
    """

    def __init__(self, initial_seconds: float, smoothing: float) -> None:
        """Start every mean at `initial_seconds`."""
        self._smoothing = smoothing
        self._deviations = dict.fromkeys(Kind, 0.0)
        self._kinds = dict.fromkeys(Kind, initial_seconds)
        self._lanes = dict.fromkeys(Lane, initial_seconds)

    def of_kind(self, kind: Kind) -> float:
        """Return the mean of a kind."""
        return self._kinds[kind]

    def longest(self, kind: Kind) -> float:
        """Return the time within which nearly all statements of a kind end."""
        return self._kinds[kind] + _DEVIATIONS * self._deviations[kind]

    def of_lane(self, lane: Lane) -> float:
        """Return the mean over all statements of a lane."""
        return self._lanes[lane]

    def add(self, kind: Kind, seconds: float) -> None:
        """Take in one measured service time."""
        lane = LANES[kind]
        error = abs(seconds - self._kinds[kind])
        self._deviations[kind] += self._smoothing * (error - self._deviations[kind])
        self._kinds[kind] += self._smoothing * (seconds - self._kinds[kind])
        self._lanes[lane] += self._smoothing * (seconds - self._lanes[lane])
