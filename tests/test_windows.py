"""Tests of the windows that limit statements in execution.

They guard against a proxy that keeps statements waiting inside the database, windows
that do not converge, and a long lane that uses all slots or is starved.
"""

import doctest
import unittest

from beryltiller.admission import windows
from beryltiller.admission.windows import (
    AdaptiveLimit,
    Limits,
    LimitsPolicy,
    StaticLimit,
    Window,
)
from beryltiller.core.ports import Load


def load(waiting: int) -> Load:
    """Return the load of a database with three slots, all in use."""
    return Load(slots=3, executing=3, waiting=waiting)


def window_of(size: float) -> Window:
    """Return an adaptive window that starts at `size`."""
    return Window(AdaptiveLimit(initial=size, minimum=0.5))


class WindowTest(unittest.TestCase):
    """Windows adapt to the load in answers, by the steps that the policy sets."""

    def test_change_after_one_answer(self) -> None:
        cases = (
            ("grows while work waits at the proxy", 2.0, 0, True, 2.1),
            ("grows by a full step per round trip below one", 0.5, 0, True, 0.9),
            ("does not grow without waiting work", 2.0, 0, False, 2.0),
            ("shrinks when statements wait at the database", 2.0, 1, True, 1.6),
            ("shrinks also without waiting work", 2.0, 1, False, 1.6),
            ("keeps its minimum", 0.5, 9, True, 0.5),
            ("keeps its maximum", 6.0, 0, True, 6.0),
        )
        for name, size, waiting, is_limited, after in cases:
            window = window_of(size)
            window.record_answer(load(waiting), 0.0, 0.01, is_limited)
            with self.subTest(name):
                self.assertAlmostEqual(window.size, after)

    def test_waiting_statement_that_takes_the_free_slot_causes_no_shrink(self) -> None:
        window = window_of(2.0)
        window.record_answer(Load(slots=3, executing=2, waiting=1), 0.0, 0.01, True)
        self.assertAlmostEqual(window.size, 2.1)

    def test_window_shrinks_once_per_round_trip(self) -> None:
        window = window_of(4.0)
        for _ in range(4):
            window.record_answer(load(2), sent=0.0, now=0.01, is_limited=True)
        self.assertAlmostEqual(window.size, 3.2)
        window.record_answer(load(2), sent=0.02, now=0.03, is_limited=True)
        self.assertAlmostEqual(window.size, 2.56)

    def test_lost_answer_halves_the_window(self) -> None:
        window = window_of(4.0)
        window.record_lost_answer(sent=0.0, now=5.0)
        window.record_lost_answer(sent=0.0, now=5.0)
        self.assertAlmostEqual(window.size, 2.0)

    def test_window_below_one_is_paced(self) -> None:
        window = window_of(0.5)
        window.record_answer(load(3), sent=0.0, now=0.1, is_limited=True)
        limits = [window.limit(now) for now in (0.1, 0.19, 0.2)]
        self.assertEqual(limits, [0, 0, 1])
        self.assertAlmostEqual(window.next_start, 0.2)

    def test_long_lane_leaves_a_slot(self) -> None:
        cases = ((3, 1, 0, True), (3, 2, 0, False), (2, 0, 0, True), (2, 1, 0, False))
        for slots, executing, waiting, is_grown in cases:
            limits = Limits()
            answered = Load(slots, executing, waiting)
            limits.record_answer(
                answered, 0.0, 0.1, is_limited=True, leaves_reserve=True
            )
            with self.subTest(slots=slots, executing=executing):
                self.assertEqual(limits.long_lane.size > 1.0, is_grown)
                self.assertGreater(limits.all_work.size, 1.0)

    def test_long_lane_is_paced_and_returns_its_pause(self) -> None:
        limits = Limits(LimitsPolicy(hold_seconds=0.0))
        limits.record_answer(load(0), 0.0, 0.1, is_limited=True, leaves_reserve=True)
        self.assertEqual(limits.long_limit(0.1), 0)
        self.assertAlmostEqual(limits.pause_seconds(0.1), 0.025)
        self.assertEqual(limits.pause_seconds(0.2), 0.0)

    def test_long_lane_is_held_after_any_answer_with_too_high_a_load(self) -> None:
        limits = Limits(LimitsPolicy(hold_seconds=0.1))
        for executing, limit, pause in ((2, 0, 0.1), (1, 1, 0.0)):
            seen = Load(slots=3, executing=executing)
            limits.record_answer(seen, 0.0, 1.0, is_limited=False, leaves_reserve=False)
            with self.subTest(executing=executing):
                self.assertEqual(limits.long_limit(1.0), limit)
                self.assertEqual(limits.long_limit(1.11), 1)
                self.assertAlmostEqual(limits.pause_seconds(1.0), pause)

    def test_hold_ends_although_the_load_stays_high(self) -> None:
        for name, long_answer, end in (
            ("no answer of the long lane", 99, 20),
            ("an answer of the long lane", 15, 35),
        ):
            limits = Limits(LimitsPolicy(hold_seconds=0.1))
            held = []
            for turn in range(60):
                now = 1.0 + turn / 100
                is_long = turn == long_answer
                limits.record_answer(load(0), now, now, False, leaves_reserve=is_long)
                held.append(now < limits._hold_until)
            with self.subTest(name):
                self.assertEqual(held.index(False), end)

    def test_static_limit_does_not_change(self) -> None:
        window = Window(StaticLimit(2))
        window.record_answer(load(5), 0.0, 0.1, True)
        window.record_lost_answer(0.0, 0.1)
        self.assertEqual(window.limit(0.0), 2)

    def test_windows_of_proxies_that_share_a_database_converge(self) -> None:
        cases = ((1, 3.0, 5.5), (2, 3.0, 6.0), (5, 2.5, 6.0))
        for proxies, least, most in cases:
            sizes = [6.0] + [0.5] * (proxies - 1)
            shared = [window_of(size) for size in sizes]
            means = [0.0] * proxies
            for turn in range(600):
                executing = sum(window.size for window in shared)
                waiting = max(0, round(executing - 3))
                for number, window in enumerate(shared):
                    for _ in range(max(1, int(window.size))):
                        window.record_answer(load(waiting), turn, turn + 0.9, True)
                    means[number] += window.size / 300 if turn >= 300 else 0.0
            with self.subTest(proxies=proxies):
                self.assertLess(max(means) / min(means), 1.2)
                self.assertTrue(least <= sum(means) <= most, means)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(windows).failed, 0)
