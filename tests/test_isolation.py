"""Tests of when a proxy counts as isolated and sends its callers to others."""

import asyncio
import contextlib
import unittest

from beryltiller.sessions.databases.service_reachability import ServiceReachability
from beryltiller.sessions.databases.unresponsive_leaders import SILENCE_SECONDS
from beryltiller.sessions.errors import NoCapacityError
from beryltiller.sessions.serving.isolation import (
    MIN_OUTCOMES,
    STORE_CHECK_INTERVAL_SECONDS,
    WINDOW_SECONDS,
    IsolationMonitor,
    IsolationWatch,
)
from beryltiller.sessions.statements import AskStatus, Code
from tests.fake_group import GroupFixture
from tests.virtual_loop import run_virtual, virtual_now

NONE_REACHABLE = ServiceReachability(3, 0)
SOME_REACHABLE = ServiceReachability(3, 2)
ALL_REACHABLE = ServiceReachability(3, 3)


class IsolationTest(unittest.TestCase):
    """The conditions for isolation: the store and databases must be unreachable."""

    def monitor(self, served: int, refused: int) -> IsolationMonitor:
        monitor = IsolationMonitor()
        for is_served in [True] * served + [False] * refused:
            monitor.record_outcome(is_served, 10.0)
        return monitor

    def test_each_condition(self) -> None:
        cases = (
            ("some databases unreachable", 2, 8, False, SOME_REACHABLE, True),
            ("all unreachable, before any refusal", 9, 0, False, NONE_REACHABLE, True),
            ("all unreachable, no callers", 0, 0, False, NONE_REACHABLE, True),
            ("some unreachable, callers served", 9, 1, False, SOME_REACHABLE, False),
            ("refusals, only the store unreachable", 0, 9, False, ALL_REACHABLE, False),
            ("refusals, store reachable", 0, 9, True, NONE_REACHABLE, False),
            ("too few outcomes", 0, MIN_OUTCOMES - 1, False, SOME_REACHABLE, False),
        )
        for name, served, refused, is_reachable, reachability, expected in cases:
            with self.subTest(name):
                monitor = self.monitor(served, refused)
                monitor.record_check(is_reachable, reachability, 10.1)
                self.assertEqual(monitor.is_isolated, expected)

    def test_stays_isolated_without_callers_until_the_partition_ends(self) -> None:
        later = 10.0 + 2 * WINDOW_SECONDS
        for is_reachable, reachability in (
            (True, SOME_REACHABLE),
            (False, ALL_REACHABLE),
        ):
            with self.subTest(is_reachable=is_reachable):
                monitor = self.monitor(0, 9)
                monitor.record_check(False, SOME_REACHABLE, 10.1)
                monitor.record_check(False, SOME_REACHABLE, later)
                self.assertTrue(monitor.is_isolated)
                monitor.record_check(is_reachable, reachability, later)
                self.assertFalse(monitor.is_isolated)

    def test_old_outcomes_do_not_count(self) -> None:
        monitor = self.monitor(0, 9)
        self.assertTrue(monitor.is_suspected(10.0 + WINDOW_SECONDS))
        self.assertFalse(monitor.is_suspected(10.1 + WINDOW_SECONDS))


class WatchTest(unittest.TestCase):
    """The time until isolation is detected; callers are refused meanwhile."""

    def isolated_after(self, unreachable: tuple[str, ...], store: bool) -> float | None:
        """Return the time to detection once `unreachable` databases hang, or None."""

        async def is_store_reachable() -> bool:
            await asyncio.sleep(0.0 if store else 0.4)
            return store

        async def work() -> float | None:
            fixture = GroupFixture()
            monitor = IsolationMonitor()
            watch = IsolationWatch(
                monitor, fixture.fleet, is_store_reachable, virtual_now
            )
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            for name in unreachable:
                fixture.databases[name].is_unreachable = True
            began = virtual_now()
            leader.record_sent(began)
            while not monitor.is_isolated and virtual_now() < began + 10.0:
                await asyncio.sleep(0.1)
                await watch.check()
            fixture.fleet.close()
            return virtual_now() - began if monitor.is_isolated else None

        return run_virtual(work())

    def test_isolation_is_detected_within_a_second(self) -> None:
        passed = self.isolated_after(("leader", "far"), store=False)
        self.assertIsNotNone(passed)
        assert passed is not None
        self.assertLess(passed, SILENCE_SECONDS + 0.1 + 0.4 + 0.3 + 0.1)

    def test_databases_whose_connections_callers_use_count_as_reachable(self) -> None:
        """Guards against taking the lack of an own connection for a partition."""

        async def work() -> ServiceReachability:
            fixture = GroupFixture()
            for member in fixture.fleet.group("s").members.values():
                pool = fixture.fleet.connection_pool(member.database)
                with contextlib.suppress(NoCapacityError):
                    while True:
                        await pool.acquire({}, 0.05)
            fixture.databases["far"].refuse[AskStatus] = Code.BUSY
            return await fixture.fleet.count_reachable_services()

        self.assertEqual(run_virtual(work()), ServiceReachability(1, 1))

    def test_not_isolated_with_a_majority_or_the_store(self) -> None:
        self.assertIsNone(self.isolated_after(("leader",), store=False))
        self.assertIsNone(self.isolated_after(("leader", "far"), store=True))

    def test_store_that_answers_is_checked_at_intervals(self) -> None:
        """Guards against needless checks of the store when a primary is lost.

        All proxies suspect it at once, and each checked the store ten times a second.
        """
        asked: list[float] = []

        async def is_store_reachable() -> bool:
            asked.append(virtual_now())
            return True

        async def work() -> None:
            fixture = GroupFixture()
            watch = IsolationWatch(
                IsolationMonitor(), fixture.fleet, is_store_reachable, virtual_now
            )
            fixture.fleet.group("s").members["leader"].record_failure(virtual_now())
            for _ in range(100):
                await watch.check()
                await asyncio.sleep(0.1)
            fixture.fleet.close()

        run_virtual(work())
        self.assertLessEqual(len(asked), 10.0 / STORE_CHECK_INTERVAL_SECONDS + 1)
