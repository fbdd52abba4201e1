"""Tests of when a proxy sends its callers elsewhere."""

import asyncio
import unittest

from beryltiller.sessions.fleet import SILENCE_SECONDS, ServiceReachability
from beryltiller.sessions.isolation import (
    MIN_OUTCOMES,
    STORE_AGAIN_SECONDS,
    WINDOW_SECONDS,
    IsolationMonitor,
    IsolationWatch,
)
from tests.fake_group import Rig
from tests.virtual_loop import run_virtual, virtual_now

NOTHING = ServiceReachability(3, 0)
PARTLY = ServiceReachability(3, 2)
WHOLE = ServiceReachability(3, 3)


class IsolationTest(unittest.TestCase):
    """The store must be out of reach, and databases too."""

    def monitor(self, served: int, refused: int) -> IsolationMonitor:
        monitor = IsolationMonitor()
        for is_served in [True] * served + [False] * refused:
            monitor.answered(is_served, 10.0)
        return monitor

    def test_what_cuts_a_proxy_off(self) -> None:
        cases = (
            ("cut off from some", 2, 8, False, PARTLY, True),
            ("cut off from all, before any refusal", 9, 0, False, NOTHING, True),
            ("cut off without callers", 0, 0, False, NOTHING, True),
            ("cut off from some, callers served", 9, 1, False, PARTLY, False),
            ("refusals, only the store away", 0, 9, False, WHOLE, False),
            ("refusals, store reached", 0, 9, True, NOTHING, False),
            ("too few to tell", 0, MIN_OUTCOMES - 1, False, PARTLY, False),
        )
        for name, served, refused, is_reachable, reach, expected in cases:
            with self.subTest(name):
                monitor = self.monitor(served, refused)
                monitor.looked(is_reachable, reach, 10.1)
                self.assertEqual(monitor.is_isolated, expected)

    def test_stays_isolated_without_callers_until_the_cut_heals(self) -> None:
        later = 10.0 + 2 * WINDOW_SECONDS
        for is_reachable, reach in ((True, PARTLY), (False, WHOLE)):
            with self.subTest(is_reachable=is_reachable):
                monitor = self.monitor(0, 9)
                monitor.looked(False, PARTLY, 10.1)
                monitor.looked(False, PARTLY, later)
                self.assertTrue(monitor.is_isolated)
                monitor.looked(is_reachable, reach, later)
                self.assertFalse(monitor.is_isolated)

    def test_old_outcomes_do_not_count(self) -> None:
        monitor = self.monitor(0, 9)
        self.assertTrue(monitor.is_suspected(10.0 + WINDOW_SECONDS))
        self.assertFalse(monitor.is_suspected(10.1 + WINDOW_SECONDS))


class WatchTest(unittest.TestCase):
    """A cut is found before callers are refused for seconds."""

    def isolated_after(self, dark: tuple[str, ...], store: bool) -> float | None:
        """Return how long it takes after the databases named go dark, or None."""

        async def is_store_reachable() -> bool:
            await asyncio.sleep(0.0 if store else 0.4)
            return store

        async def work() -> float | None:
            rig = Rig()
            monitor = IsolationMonitor()
            watch = IsolationWatch(monitor, rig.fleet, is_store_reachable, virtual_now)
            leader = rig.fleet.group("s").leader
            assert leader is not None
            for name in dark:
                rig.databases[name].is_dark = True
            began = virtual_now()
            leader.sent(began)
            while not monitor.is_isolated and virtual_now() < began + 10.0:
                await asyncio.sleep(0.1)
                await watch.look()
            rig.fleet.close()
            return virtual_now() - began if monitor.is_isolated else None

        return run_virtual(work())

    def test_cut_off_within_a_second(self) -> None:
        passed = self.isolated_after(("leader", "far"), store=False)
        self.assertIsNotNone(passed)
        assert passed is not None
        self.assertLess(passed, SILENCE_SECONDS + 0.1 + 0.4 + 0.3 + 0.1)

    def test_not_with_a_majority_or_the_store(self) -> None:
        self.assertIsNone(self.isolated_after(("leader",), store=False))
        self.assertIsNone(self.isolated_after(("leader", "far"), store=True))

    def test_store_that_answers_is_asked_now_and_then(self) -> None:
        """All proxies doubt a lost primary at once, and asked ten times a second."""
        asked: list[float] = []

        async def is_store_reachable() -> bool:
            asked.append(virtual_now())
            return True

        async def work() -> None:
            rig = Rig()
            watch = IsolationWatch(
                IsolationMonitor(), rig.fleet, is_store_reachable, virtual_now
            )
            rig.fleet.group("s").members["leader"].failed(virtual_now())
            for _ in range(100):
                await watch.look()
                await asyncio.sleep(0.1)
            rig.fleet.close()

        run_virtual(work())
        self.assertLessEqual(len(asked), 10.0 / STORE_AGAIN_SECONDS + 1)
