"""Tests of when a proxy sends its callers elsewhere."""

import unittest

from beryltiller.sessions.isolation import (
    MIN_OUTCOMES,
    WINDOW_SECONDS,
    IsolationMonitor,
)


class IsolationTest(unittest.TestCase):
    """Both a refused majority and an unreachable store are needed."""

    def monitor(self, served: int, refused: int) -> IsolationMonitor:
        monitor = IsolationMonitor()
        for is_served in [True] * served + [False] * refused:
            monitor.answered(is_served, 10.0)
        return monitor

    def test_needs_refusals_and_a_store_out_of_reach(self) -> None:
        cases = (
            ("cut off", 2, 8, False, True),
            ("store away, callers served", 9, 1, False, False),
            ("refusals, store reached", 0, 9, True, False),
            ("too few to tell", 0, MIN_OUTCOMES - 1, False, False),
        )
        for name, served, refused, is_reachable, expected in cases:
            with self.subTest(name):
                monitor = self.monitor(served, refused)
                monitor.store_looked_at(is_reachable, 10.1)
                self.assertEqual(monitor.is_isolated, expected)

    def test_stays_isolated_without_callers_until_the_store_is_back(self) -> None:
        monitor = self.monitor(0, 9)
        monitor.store_looked_at(False, 10.1)
        later = 10.0 + 2 * WINDOW_SECONDS
        monitor.store_looked_at(False, later)
        self.assertTrue(monitor.is_isolated)
        monitor.store_looked_at(True, later)
        self.assertFalse(monitor.is_isolated)

    def test_old_outcomes_do_not_count(self) -> None:
        monitor = self.monitor(0, 9)
        self.assertTrue(monitor.is_suspected(10.0 + WINDOW_SECONDS))
        self.assertFalse(monitor.is_suspected(10.1 + WINDOW_SECONDS))
