"""Tests of callers' connections when their sessions or the process ends."""

import asyncio
import unittest

from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.statements import Commit, Read, Write
from tests.fake_group import GroupFixture
from tests.ingress_caller import Caller, run_with_caller


class SessionEndTest(unittest.TestCase):
    """A session ends without a lost answer and without a transaction left open."""

    def test_drain_closes_idle_sessions_at_once_and_others_once_idle(
        self,
    ) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            busy = Caller(ingress, fixture)
            for each in (caller, busy):
                await each.send_line("STARTUP db u1")
            await busy.send_line("QUERY 1 BEGIN")
            await busy.send_line("QUERY 2 WRITE i d", seconds=0.0)
            ingress.close_idle()
            self.assertTrue(caller.transport.is_closed)
            await asyncio.sleep(0.5)
            self.assertFalse(busy.transport.is_closed)
            answer = await busy.send_line("QUERY 3 COMMIT")
            self.assertEqual(answer[0], "COMPLETE signed")
            self.assertTrue(busy.transport.is_closed)

        run_with_caller(work)

    def test_idle_transaction_is_ended_and_its_commit_is_refused(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 BEGIN")
            await caller.send_line("QUERY 2 WRITE i d", seconds=4.0)
            answer = await caller.send_line("QUERY 3 COMMIT")
            self.assertEqual(answer[0].split(" ")[:2], ["ERROR", "ABORTED"])

        self.assertEqual(run_with_caller(work).leader.statement_names()[-1], "Rollback")

    def test_transaction_of_a_disconnected_caller_is_rolled_back(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 BEGIN")
            await caller.send_line("QUERY 2 WRITE i d")
            caller.connection.connection_lost(None)
            await asyncio.sleep(0.5)
            self.assertEqual(ingress.open_connections, 0)

        self.assertEqual(run_with_caller(work).leader.statement_names()[-1], "Rollback")


class StopTest(unittest.TestCase):
    """Callers that use their connections until a stopping process has ended."""

    def test_transaction_with_a_statement_at_work_is_ended_behind_it(self) -> None:
        """Guards against a later commit that is cut off when the process ends."""

        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 BEGIN")
            await caller.send_line("QUERY 2 WRITE i d", seconds=0.0)
            ingress.end_transactions()
            await asyncio.sleep(0.5)
            self.assertIn(b"COMPLETE signed", caller.transport.written)
            self.assertIn("Rollback", fixture.leader.statement_names())
            answer = await caller.send_line("QUERY 3 COMMIT")
            self.assertEqual(answer[0].split(" ")[:2], ["ERROR", "ABORTED"])

        self.assertNotIn("Commit", run_with_caller(work).leader.statement_names())

    def test_begin_without_time_for_a_transaction_is_refused(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 READ i", seconds=0.0)
            await caller.send_line("QUERY 2 BEGIN", seconds=0.0)
            ingress.close_idle()
            await asyncio.sleep(0.5)
            self.assertIn("ERROR BUSY", "\n".join(caller.lines()))
            self.assertEqual(caller.lines()[-1].split(" ")[:2], ["READY", "I"])
            self.assertTrue(caller.transport.is_closed)

        run_with_caller(work)

    def test_commit_read_with_the_statement_at_work_is_refused(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 BEGIN")
            await caller.send_line("QUERY 2 WRITE i d", seconds=0.0)
            await caller.send_line("QUERY 3 COMMIT", seconds=0.0)
            ingress.end_transactions()
            await asyncio.sleep(0.5)
            self.assertIn("ERROR ABORTED", "\n".join(caller.lines()))

        run_with_caller(work)

    def test_statement_at_work_at_the_end_is_answered(self) -> None:
        """Guards against statements that are cut off without an answer."""
        cases: tuple[tuple[str, tuple[str, ...], type, str], ...] = (
            ("a read", ("READ i",), Read, "ABORTED"),
            ("a write", ("WRITE i d",), Write, "INDOUBT"),
            ("a write in a transaction", ("BEGIN", "WRITE i d"), Write, "ABORTED"),
            (
                "a commit of a write",
                ("BEGIN", "WRITE i d", "COMMIT"),
                Commit,
                "INDOUBT",
            ),
            ("a commit of a read", ("BEGIN", "READ i", "COMMIT"), Commit, "ABORTED"),
        )
        for name, texts, at_work, code in cases:
            with self.subTest(name):
                answer = self._last_answer(texts, at_work)
                self.assertEqual(answer[0].split(" ")[:2], ["ERROR", code])
                self.assertEqual(answer[1].split(" ")[0], "READY")

    def test_statement_behind_the_one_at_work_is_refused_at_the_end(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            fixture.leader.hang = {Write}
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 WRITE i d", seconds=0.0)
            await caller.send_line("QUERY 2 READ i", seconds=0.1)
            ingress.close()
            words = [line.split(" ") for line in caller.lines()]
            errors = [each[1] for each in words if each[0] == "ERROR"]
            self.assertEqual(errors, ["INDOUBT", "BUSY"])
            self.assertTrue(caller.transport.is_closed)

        run_with_caller(work)

    def _last_answer(self, texts: tuple[str, ...], at_work: type) -> list[str]:
        """Return the answer to the last text, at work when the proxy ends."""
        answers: list[str] = []

        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            for text in texts[:-1]:
                await caller.send_line(f"QUERY 1 {text}")
            for database in fixture.databases.values():
                database.hang = {at_work}
            await caller.send_line(f"QUERY 2 {texts[-1]}", seconds=0.1)
            ingress.close()
            answers.extend(caller.lines())

        run_with_caller(work)
        return answers
