"""Tests of the bounds on replicas' ages.

They guard against an understated age, which would let an aged read return data that is
older than requested, and against unbounded memory.
"""

import doctest
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from beryltiller.consistency import freshness
from beryltiller.consistency.freshness import (
    MAX_POSITIONS,
    DatedPosition,
    Timeline,
    dated_position_from_peer,
)
from beryltiller.core.position import Position


class TimelineTest(unittest.TestCase):
    """A timeline gives correct bounds in bounded memory."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.lists(st.tuples(st.floats(0, 0.5), st.integers(0, 3)), max_size=300),
        st.integers(0, 900),
        st.floats(0, 50),
    )
    def test_age_is_never_understated(
        self, steps: list[tuple[float, int]], reached: int, max_age: float
    ) -> None:
        now, last = 0.0, 1
        written = {1: 0.0}
        timeline = Timeline()
        for seconds, writes in steps:
            now += seconds
            for index in range(last + 1, last + writes + 1):
                written[index] = now
            last += writes
            timeline = timeline.with_position(DatedPosition(Position(1, last), now))
        true_age = now - written.get(reached + 1, now)
        bound = timeline.age_bound(Position(1, reached), now)
        if bound is not None:
            self.assertGreaterEqual(bound, true_age)
        position = timeline.position_for_age(max_age, now)
        if position is not None:
            age = now - written.get(position.index + 1, now)
            self.assertLessEqual(age, max_age)

    def test_memory_is_bounded_and_old_ages_stay_known(self) -> None:
        timeline = Timeline()
        for index in range(1, 2001):
            timeline = timeline.with_position(
                DatedPosition(Position(1, index), index * 0.1)
            )
        self.assertLessEqual(len(timeline.positions), MAX_POSITIONS)
        bound = timeline.age_bound(Position(1, 1500), 200.0)
        assert bound is not None
        self.assertGreaterEqual(bound, 50.0)
        self.assertLess(bound, 65.0)

    def test_older_or_lower_position_is_left_out(self) -> None:
        timeline = Timeline().with_position(DatedPosition(Position(2, 5), 10.0))
        for dated in (
            DatedPosition(Position(2, 6), 9.0),
            DatedPosition(Position(1, 9), 11.0),
        ):
            with self.subTest(dated=dated):
                self.assertEqual(timeline.with_position(dated), timeline)

    def test_position_seen_again_renews_the_age_bound(self) -> None:
        timeline = Timeline().with_position(DatedPosition(Position(1, 5), 10.0))
        timeline = timeline.with_position(DatedPosition(Position(1, 5), 20.0))
        self.assertEqual(timeline.age_bound(Position(1, 5), 20.5), 0.5)
        self.assertEqual(timeline.reached_at(Position(1, 5), 0.0), 10.0)

    def test_position_from_peer_is_dated_from_the_request(self) -> None:
        dated = dated_position_from_peer(Position(1, 5), age_seconds=2.0, asked_at=10.0)
        self.assertLess(dated.time, 8.0)
        self.assertGreater(dated.time, 7.99)

    def test_lag_is_estimated_from_the_first_missing_position(self) -> None:
        timeline = Timeline()
        self.assertIsNone(timeline.lag_estimate(Position(1, 1), 0.0))
        for index in (1, 2, 3):
            timeline = timeline.with_position(
                DatedPosition(Position(1, index), float(index))
            )
        self.assertEqual(timeline.lag_estimate(Position(1, 1), 3.5), 1.5)
        self.assertEqual(timeline.lag_estimate(Position(1, 3), 3.5), 0.0)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(freshness).failed, 0)
