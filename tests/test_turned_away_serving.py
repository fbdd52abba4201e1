"""Tests of what proxies serve while the store turns them away."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from tests.simulated_lifecycle import Lifecycle
from tests.simulated_proxy import SimulatedProxy
from tests.simulated_sessions import Simulation
from tests.turned_away_callers import Served, call

TURNED_AWAY_AT = 4.0
TURNED_AWAY_SECONDS = 9.5
SEEDS = range(3)
# Each caller writes some 20 times a second.
MIN_WRITES = 120
MAX_GAP_SECONDS = 0.3

Work = Callable[[Simulation], Coroutine[Any, Any, None]]


async def nothing(simulation: Simulation) -> None:
    """Let nothing else happen."""


async def drain_replica(simulation: Simulation) -> None:
    """Let a replica drain, and another take its place with its log."""
    replica = simulation.group.databases[-1]
    await Lifecycle(simulation).replace(replica, 4.0, 0.0)


async def deafen_replica(simulation: Simulation) -> None:
    """Let a replica receive nothing for some seconds."""
    replica = simulation.group.databases[-1]
    replica.is_deaf = True
    await asyncio.sleep(6.0)
    replica.is_deaf = False


async def stop_replica(simulation: Simulation) -> None:
    """Let a replica end in the middle, and start again with its log."""
    lifecycle, replica = Lifecycle(simulation), simulation.group.databases[-1]
    await asyncio.sleep(3.0)
    lifecycle.stop(replica)
    await asyncio.sleep(3.0)
    lifecycle.start_again(replica)


class TurnedAwayServingTest(unittest.TestCase):
    """The store turns proxies away for some seconds."""

    def play(
        self, seed: int, is_one: bool, beside: Work, idle_seconds: float = 0.0
    ) -> list[Served]:
        """Return what callers of the proxies that are turned away were answered.

        They begin `idle_seconds` after that, or 2 s before if that is 0.
        """
        found: list[Served] = []

        async def fault(simulation: Simulation) -> None:
            proxies = simulation.proxies[-1:] if is_one else simulation.proxies
            begin_at = TURNED_AWAY_AT + idle_seconds if idle_seconds else 2.0
            calls = [begin(simulation, each, begin_at) for each in proxies]
            await asyncio.gather(turn_away(simulation, proxies), *calls)

        async def begin(
            simulation: Simulation, proxy: SimulatedProxy, begin_at: float
        ) -> None:
            served = Served()
            found.append(served)
            await asyncio.sleep(begin_at - simulation.now())
            until = TURNED_AWAY_AT + TURNED_AWAY_SECONDS
            await call(simulation, proxy, until, served)

        async def turn_away(
            simulation: Simulation, proxies: list[SimulatedProxy]
        ) -> None:
            await asyncio.sleep(TURNED_AWAY_AT - simulation.now())
            other = simulation.group.spawn(beside(simulation))
            for each in proxies:
                each.is_refused_by_store = True
            await asyncio.sleep(TURNED_AWAY_SECONDS)
            for each in proxies:
                each.is_refused_by_store = False
            await other

        # Without callers of its own, so that idle proxies have no traffic at all.
        simulation = Simulation(seed, (fault,), seconds=16.0, sessions=1)
        findings = simulation.run()
        self.assertTrue(findings.is_clean)
        return found

    def check(self, is_one: bool, beside: Work, idle_seconds: float = 0.0) -> None:
        """Check that all callers are served without a longer gap, on each seed."""
        begin_at = TURNED_AWAY_AT + idle_seconds
        end = TURNED_AWAY_AT + TURNED_AWAY_SECONDS
        for seed in SEEDS:
            for served in self.play(seed, is_one, beside, idle_seconds):
                with self.subTest(seed=seed, beside=beside.__name__):
                    gap = served.longest_gap(begin_at + 0.1, end - 0.1)
                    self.assertLess(gap, MAX_GAP_SECONDS)
                    self.assertEqual(served.failures(begin_at, end), [])
                    if not idle_seconds:
                        self.assertGreater(len(served.written_at), MIN_WRITES)

    def test_one_proxy_is_served(self) -> None:
        for beside in (nothing, drain_replica, deafen_replica):
            self.check(True, beside)

    def test_all_proxies_are_served(self) -> None:
        for beside in (nothing, drain_replica, deafen_replica):
            self.check(False, beside)

    def test_callers_that_begin_without_news_are_served(self) -> None:
        for idle_seconds in (0.5, 3.0, 8.0):
            for is_one in (True, False):
                self.check(is_one, nothing, idle_seconds)

    def test_one_proxy_is_served_beside_a_replica_that_ends(self) -> None:
        """A replica that ends for a while may fail single statements, not more."""
        for is_one in (True, False):
            for seed in SEEDS:
                for served in self.play(seed, is_one, stop_replica):
                    end = TURNED_AWAY_AT + TURNED_AWAY_SECONDS
                    gap = served.longest_gap(TURNED_AWAY_AT, end)
                    failures = served.failures(TURNED_AWAY_AT, end)
                    with self.subTest(seed=seed, is_one=is_one):
                        self.assertLess(gap, 2 * MAX_GAP_SECONDS)
                        self.assertLess(len(failures), 3)


if __name__ == "__main__":
    unittest.main()
