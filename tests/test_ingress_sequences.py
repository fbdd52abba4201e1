"""Tests of messages of a caller in an order that the protocol does not provide for."""

import asyncio
import unittest

from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.statements import Write
from tests.fake_group import FakeDatabase, GroupFixture
from tests.ingress_caller import Caller, run_with_caller


class SequenceTest(unittest.TestCase):
    """No sequence of messages keeps a transaction open or runs what is not due."""

    async def lose(self, caller: Caller) -> None:
        """Let the connection end, as the event loop does once it is closed."""
        self.assertTrue(caller.transport.is_closed)
        caller.connection.connection_lost(None)
        await asyncio.sleep(0.5)

    def check_rolled_back(self, leader: FakeDatabase) -> None:
        """Check that an open transaction has ended without a commit."""
        names = leader.statement_names()
        self.assertIn("Rollback", names)
        self.assertNotIn("Commit", names)

    def test_second_startup_rolls_back_and_closes(self) -> None:
        """Guards against a connection and a place that stay in use for ever."""

        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 BEGIN")
            await caller.send_line("QUERY 2 WRITE i d")
            answer = await caller.send_line("STARTUP db u1")
            self.assertEqual(answer, ["ERROR MALFORMED the session has begun already"])
            await self.lose(caller)
            self.assertEqual(ingress.open_connections, 0)

        self.check_rolled_back(run_with_caller(work).leader)

    def test_malformed_line_rolls_back_and_closes(self) -> None:
        for line in ("HELLO", "TERMINATED", "", "x" * (1 << 20)):
            with self.subTest(line[:20]):

                async def work(
                    fixture: GroupFixture,
                    ingress: Ingress,
                    caller: Caller,
                    line: str = line,
                ) -> None:
                    await caller.send_line("STARTUP db u1")
                    await caller.send_line("QUERY 1 BEGIN")
                    await caller.send_line("QUERY 2 WRITE i d")
                    (answer,) = await caller.send_line(line)
                    self.assertTrue(answer.startswith("ERROR MALFORMED "))
                    await self.lose(caller)

                self.check_rolled_back(run_with_caller(work).leader)

    def test_nothing_behind_terminate_is_run(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("TERMINATE\r\nQUERY 1 WRITE i d")
            await self.lose(caller)
            self.assertEqual(caller.transport.written, b"")

        self.assertNotIn("Write", run_with_caller(work).leader.statement_names())

    def test_malformed_line_does_not_answer_the_statement_at_work(self) -> None:
        """Guards against an error that its caller takes for that of a write."""

        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            answer = await caller.send_line("QUERY 1 WRITE i d\r\nHELLO")
            self.assertEqual(
                answer,
                [
                    "COMPLETE signed",
                    "READY I 1.11",
                    "ERROR MALFORMED unknown word 'HELLO'",
                ],
            )
            self.assertTrue(caller.transport.is_closed)

        run_with_caller(work)

    def test_malformed_line_while_a_statement_is_at_work_rolls_back(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 BEGIN")
            await caller.send_line("QUERY 2 WRITE i d", seconds=0.0)
            await caller.send_line("HELLO\r\nQUERY 3 COMMIT")
            await self.lose(caller)

        leader = run_with_caller(work).leader
        self.check_rolled_back(leader)
        written = [each for _, each in leader.ran if isinstance(each.statement, Write)]
        self.assertEqual(len(written), 1)
