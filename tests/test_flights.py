"""Tests of statements that are given up early."""

import asyncio
import unittest

from beryltiller.dispatching.flights import InFlightStatement, InFlightStatements


class FlightsTest(unittest.IsolatedAsyncioTestCase):
    """Only those that can no longer succeed are given up."""

    def setUp(self) -> None:
        self.flights = InFlightStatements()
        self.started: list[InFlightStatement] = []

    async def fly(self, database: str, group: str, term: int) -> str:
        try:
            async with asyncio.timeout(None) as limit:
                with self.flights.track(database, group, term, limit) as flight:
                    self.started.append(flight)
                    await asyncio.Event().wait()
        except TimeoutError:
            return "given up"
        return "ended"

    async def given_up(self, *places: tuple[str, str, int], trouble: str) -> list[bool]:
        tasks = [asyncio.create_task(self.fly(*place)) for place in places]
        while len(self.started) < len(places):
            await asyncio.to_thread(lambda: None)
        if trouble == "replaced":
            self.flights.cancel_writes_before("g1", 2)
        else:
            self.flights.cancel_reads("d1")
        for _ in range(5):
            await asyncio.to_thread(lambda: None)
        ended = [task.done() for task in tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return ended

    async def test_a_newer_term_ends_older_writes_of_its_group(self) -> None:
        places = (("d1", "g1", 1), ("d2", "g1", 2), ("d1", "g1", 0), ("d3", "g2", 1))
        ended = await self.given_up(*places, trouble="replaced")
        self.assertEqual(ended, [True, False, False, False])

    async def test_silence_ends_reads_at_that_database(self) -> None:
        places = (("d1", "g1", 0), ("d1", "g1", 1), ("d2", "g1", 0))
        ended = await self.given_up(*places, trouble="silent")
        self.assertEqual(ended, [True, False, False])
