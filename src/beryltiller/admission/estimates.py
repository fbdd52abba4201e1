"""Estimates of one database's service times, by kind of work and by lane."""

from beryltiller.admission.tickets import LANES, Lane
from beryltiller.core.outcome import Kind

# The upper bound of a service time is the mean plus this many mean deviations.
_DEVIATIONS = 2.0


class ServiceEstimates:
    """Exponentially weighted means and mean deviations of service times, in seconds.

    `smoothing` is the weight of each new measurement, from 0 to 1.

    >>> estimates = ServiceEstimates(initial_seconds=0.25, smoothing=0.5)
    >>> estimates.record(Kind.READ, 0.75)
    >>> estimates.mean_of_kind(Kind.READ)
    0.5
    """

    def __init__(self, initial_seconds: float, smoothing: float) -> None:
        """Start every mean at `initial_seconds`, and every deviation at zero."""
        self._smoothing = smoothing
        self._deviations = dict.fromkeys(Kind, 0.0)
        self._kind_means = dict.fromkeys(Kind, initial_seconds)
        self._lane_means = dict.fromkeys(Lane, initial_seconds)

    def mean_of_kind(self, kind: Kind) -> float:
        """Return the mean service time of a kind of statement."""
        return self._kind_means[kind]

    def upper_bound(self, kind: Kind) -> float:
        """Return a service time that few statements of a kind exceed."""
        return self._kind_means[kind] + _DEVIATIONS * self._deviations[kind]

    def mean_of_lane(self, lane: Lane) -> float:
        """Return the mean service time over all statements of a lane."""
        return self._lane_means[lane]

    def record(self, kind: Kind, seconds: float) -> None:
        """Update the estimates with one measured service time."""
        lane = LANES[kind]
        error = abs(seconds - self._kind_means[kind])
        self._deviations[kind] += self._smoothing * (error - self._deviations[kind])
        self._kind_means[kind] += self._smoothing * (seconds - self._kind_means[kind])
        self._lane_means[lane] += self._smoothing * (seconds - self._lane_means[lane])
