"""Tests of ending the wait for statements in flight."""

import asyncio
import unittest

from beryltiller.dispatching.in_flight import InFlightStatement, InFlightStatements


class InFlightStatementsTest(unittest.IsolatedAsyncioTestCase):
    """Only waits for statements that can no longer succeed are ended.

    Otherwise a caller waits until its deadline after the primary was replaced or the
    database stopped answering, or a statement that could still succeed is lost.
    """

    def setUp(self) -> None:
        self.in_flight = InFlightStatements()
        self.started: list[InFlightStatement] = []

    async def wait_in_flight(self, database: str, group: str, term: int) -> str:
        """Wait as a statement in flight; return how the wait was ended."""
        try:
            async with asyncio.timeout(None) as timeout:
                with self.in_flight.track(database, group, term, timeout) as entry:
                    self.started.append(entry)
                    await asyncio.Event().wait()
        except TimeoutError:
            return "cancelled"
        return "ended"

    async def run_and_cancel(
        self, *statements: tuple[str, str, int], event: str
    ) -> list[bool]:
        """Return which waits ended after the event.

        `replaced`: group g1 is in term 2; `unresponsive`: d1 does not answer.
        """
        tasks = [
            asyncio.create_task(self.wait_in_flight(*statement))
            for statement in statements
        ]
        while len(self.started) < len(statements):
            await asyncio.to_thread(lambda: None)
        if event == "replaced":
            self.in_flight.cancel_writes_before("g1", 2)
        else:
            self.in_flight.cancel_reads("d1")
        for _ in range(5):
            await asyncio.to_thread(lambda: None)
        are_done = [task.done() for task in tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return are_done

    async def test_ended_statements_leave_nothing_behind(self) -> None:
        """Guards against growth with each name of a former database."""
        for number in range(3):
            async with asyncio.timeout(None) as timeout:
                with self.in_flight.track(f"d{number}", "g1", 1, timeout):
                    self.assertEqual(len(self.in_flight), 1)
            self.assertEqual(len(self.in_flight), 0)
        self.in_flight.cancel_reads("d9")
        self.assertEqual(len(self.in_flight), 0)

    async def test_newer_term_cancels_older_writes_of_its_group(self) -> None:
        statements = (
            ("d1", "g1", 1),
            ("d2", "g1", 2),
            ("d1", "g1", 0),
            ("d3", "g2", 1),
        )
        are_done = await self.run_and_cancel(*statements, event="replaced")
        self.assertEqual(are_done, [True, False, False, False])

    async def test_unresponsive_database_cancels_its_reads(self) -> None:
        statements = (("d1", "g1", 0), ("d1", "g1", 1), ("d2", "g1", 0))
        are_done = await self.run_and_cancel(*statements, event="unresponsive")
        self.assertEqual(are_done, [True, False, False])
