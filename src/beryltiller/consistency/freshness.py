"""Bounds on a replica's age, derived from dated positions of its primary.

All times are monotonic seconds of one host. A dated position states that the primary's
log ended at or before `position` at `time`. A replica that has reached the position
holds every write acknowledged before that time, so its age is at most the time passed
since. Any subset of correct dated positions gives a correct, if looser, bound.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field, replace

from beryltiller.core.position import Position

MAX_POSITIONS = 128
# The spacing of positions in a thinned timeline, as a part of their age.
SPACING_AGE_FRACTION = 0.15
MIN_SPACING_SECONDS = 0.02
# When a timeline is thinned, positions older than this are removed.
MAX_POSITION_AGE_SECONDS = 3_600.0
# The factor by which a peer's clock may run slower than this host's.
CLOCK_RATE_MARGIN = 1.001


@dataclass(frozen=True, slots=True)
class DatedPosition:
    """A position at or before which the primary's log ended at `time`.

    `since` is the earliest `time` that the timeline has had for the same position. It
    is set when the position is added to a timeline.
    """

    position: Position
    time: float
    since: float = field(default=0.0, compare=False)


def dated_position_from_peer(
    position: Position, age_seconds: float, asked_at: float
) -> DatedPosition:
    """Convert a peer's dated position to this host's clock.

    `age_seconds` is how old the dated position was when the peer answered. The peer
    answered after `asked_at`, so `asked_at` less that age is never later than the true
    time. The margin covers a peer's clock that runs slow.
    """
    return DatedPosition(position, asked_at - age_seconds * CLOCK_RATE_MARGIN)


@dataclass(frozen=True, slots=True)
class Timeline:
    """A group's dated positions, oldest first, with rising times and positions.

    Only a position from a primary whose term was in force when it was asked may be
    added. A replaced primary would date its old position as new.

    >>> timeline = Timeline().with_position(DatedPosition(Position(1, 4), 10.0))
    >>> timeline = timeline.with_position(DatedPosition(Position(1, 9), 11.0))
    >>> timeline.age_bound(Position(1, 6), now=11.5)
    1.5
    >>> timeline.age_bound(Position(1, 3), now=11.5) is None
    True
    """

    positions: tuple[DatedPosition, ...] = ()

    def with_position(self, dated: DatedPosition) -> "Timeline":
        """Return the timeline with one more dated position, thinned when it is full.

        A dated position that is older than the newest one, or whose position is lower,
        adds nothing to the bounds and is left out. So is a higher position dated less
        than `MIN_SPACING_SECONDS` after the newest one.
        """
        dated = replace(dated, since=dated.time)
        if not self.positions:
            return Timeline((dated,))
        last = self.positions[-1]
        if dated.time <= last.time or dated.position < last.position:
            return self
        if dated.position == last.position:
            return Timeline((*self.positions[:-1], replace(dated, since=last.since)))
        if dated.time - last.time < MIN_SPACING_SECONDS:
            return self
        return Timeline(_thinned((*self.positions, dated)))

    def age_bound(self, reached: Position, now: float) -> float | None:
        """Return the maximum age in seconds of a log that has reached a position.

        Return None if no dated position is as low as that.
        """
        index = bisect_right(self.positions, reached, key=_position)
        if index == 0:
            return None
        return now - self.positions[index - 1].time

    def position_for_age(self, max_age: float, now: float) -> Position | None:
        """Return the lowest known position that proves an age of `max_age` or less.

        Return None if no dated position is recent enough.
        """
        index = bisect_left(self.positions, now - max_age, key=_time)
        if index == len(self.positions):
            return None
        return self.positions[index].position

    def lag_estimate(self, reached: Position, now: float) -> float | None:
        """Return the estimated seconds by which a log that ends at `reached` lags.

        The estimate is used only to choose a database and the time to wait for it. It
        may be too small, which costs a refusal by a replica that is behind. An estimate
        that is too great would cost every read a longer wait. Return None if nothing is
        known.
        """
        if not self.positions:
            return None
        index = bisect_right(self.positions, reached, key=_position)
        if index == len(self.positions):
            return 0.0
        return max(now - self.positions[index].since, 0.0)

    def reached_at(self, position: Position, default: float) -> float:
        """Return the estimated time at which the primary reached a position.

        It is `since` of the first dated position that is not lower. Return `default` if
        there is none.
        """
        index = bisect_left(self.positions, position, key=_position)
        if index == len(self.positions):
            return default
        return self.positions[index].since


def _thinned(positions: tuple[DatedPosition, ...]) -> tuple[DatedPosition, ...]:
    """Return the dated positions, spaced wider with age if there are too many."""
    if len(positions) <= MAX_POSITIONS:
        return positions
    newest = positions[-1].time
    kept = [positions[-1]]
    for dated in reversed(positions[:-1]):
        age = newest - dated.time
        if kept[-1].time - dated.time >= age * SPACING_AGE_FRACTION:
            kept.append(dated)
    kept = [dated for dated in kept if newest - dated.time <= MAX_POSITION_AGE_SECONDS]
    return tuple(reversed(kept))


def _position(dated: DatedPosition) -> Position:
    """Return the position, as a sort key."""
    return dated.position


def _time(dated: DatedPosition) -> float:
    """Return the time, as a sort key."""
    return dated.time
