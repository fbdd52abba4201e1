"""Bounds on a replica's age from dated positions of its primary.

All times are one host's monotonic seconds. A pair (position, time) states that the
primary's log ended at or before `position` at `time`; a replica that has reached the
position holds every write acknowledged before the time, so its age is at most the
time passed since. Any subset of true pairs gives a true, if looser, bound.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field, replace

from beryltiller.core.position import Position

MAX_PAIRS = 128
AGE_RESOLUTION = 0.15
MIN_SPACING_SECONDS = 0.02
HORIZON_SECONDS = 3_600.0
CLOCK_RATE_MARGIN = 1.001


@dataclass(frozen=True, slots=True)
class Pair:
    """Date a position: the primary's log ended at or before it at `time`.

    `since` is the first time at which the log was seen to end just there.
    """

    position: Position
    time: float
    since: float = field(default=0.0, compare=False)


def pair_from_peer(position: Position, age_seconds: float, asked_at: float) -> Pair:
    """Date a peer's pair on this host's clock.

    The peer says how old its pair was when it answered. The answer was written after
    we asked, so the time of asking less that age is never later than the truth; the
    margin covers a peer's clock that runs slow.
    """
    return Pair(position, asked_at - age_seconds * CLOCK_RATE_MARGIN)


@dataclass(frozen=True, slots=True)
class Timeline:
    """Hold a group's pairs, oldest first, both members rising.

    Only a primary whose term was in force when it was asked may be noted; one that
    has been replaced would date its old position as new.

    >>> timeline = Timeline().note(Pair(Position(1, 4), 10.0))
    >>> timeline = timeline.note(Pair(Position(1, 9), 11.0))
    >>> timeline.age_bound(Position(1, 6), now=11.5)
    1.5
    >>> timeline.age_bound(Position(1, 3), now=11.5) is None
    True
    """

    pairs: tuple[Pair, ...] = ()

    def note(self, pair: Pair) -> "Timeline":
        """Return the timeline with one more pair, thinned when it is full.

        A pair older than the newest, or with a lesser position, tells nothing that
        is needed and is left out.
        """
        pair = replace(pair, since=pair.time)
        if not self.pairs:
            return Timeline((pair,))
        last = self.pairs[-1]
        if pair.time <= last.time or pair.position < last.position:
            return self
        if pair.position == last.position:
            return Timeline((*self.pairs[:-1], replace(pair, since=last.since)))
        if pair.time - last.time < MIN_SPACING_SECONDS:
            return self
        return Timeline(_thinned((*self.pairs, pair)))

    def age_bound(self, reached: Position, now: float) -> float | None:
        """Return the greatest age in seconds of a log that has reached a position."""
        index = bisect_right(self.pairs, reached, key=_position)
        if index == 0:
            return None
        return now - self.pairs[index - 1].time

    def position_for_age(self, max_age: float, now: float) -> Position | None:
        """Return the least known position that makes a log no older than `max_age`."""
        index = bisect_left(self.pairs, now - max_age, key=_time)
        if index == len(self.pairs):
            return None
        return self.pairs[index].position

    def lag_estimate(self, reached: Position, now: float) -> float | None:
        """Return for how long a log that has reached a position has been behind.

        An estimate for choosing and waiting only. It may be too small, which costs a
        refusal as too far behind; one too great would cost every read a longer wait.
        """
        if not self.pairs:
            return None
        index = bisect_right(self.pairs, reached, key=_position)
        if index == len(self.pairs):
            return 0.0
        return max(now - self.pairs[index].since, 0.0)

    def reached_at(self, position: Position, default: float) -> float:
        """Return the earliest time noted at which the primary had a position."""
        index = bisect_left(self.pairs, position, key=_position)
        if index == len(self.pairs):
            return default
        return self.pairs[index].since


def _thinned(pairs: tuple[Pair, ...]) -> tuple[Pair, ...]:
    """Return the pairs, when there are too many, at distances that grow with age."""
    if len(pairs) <= MAX_PAIRS:
        return pairs
    newest = pairs[-1].time
    kept = [pairs[-1]]
    for pair in reversed(pairs[:-1]):
        age = newest - pair.time
        if kept[-1].time - pair.time >= age * AGE_RESOLUTION:
            kept.append(pair)
    kept = [pair for pair in kept if newest - pair.time <= HORIZON_SECONDS]
    return tuple(reversed(kept))


def _position(pair: Pair) -> Position:
    """Return the pair's position."""
    return pair.position


def _time(pair: Pair) -> float:
    """Return the pair's time."""
    return pair.time
