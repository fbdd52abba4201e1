"""Tests of callers' connections to a fake database group, on a virtual clock."""

import asyncio
import resource
import sys
import unittest
from unittest import mock

from beryltiller.platform.ingress import Ingress, max_callers_of_process
from beryltiller.sessions.statements import Reply
from tests.fake_group import GroupFixture
from tests.ingress_caller import Caller, run_with_caller
from tests.virtual_loop import virtual_now


class ConversationTest(unittest.TestCase):
    """Each message is answered, in order.

    Guards against callers that wait for a missing answer or take another one for it.
    """

    def test_session_with_a_transaction(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            self.assertEqual(await caller.send_line("STARTUP db u1"), ["READY I -"])
            self.assertEqual(
                await caller.send_line("QUERY 1 BEGIN"), ["COMPLETE -", "READY T -"]
            )
            answer = await caller.send_line("QUERY 2 WRITE i some data")
            self.assertEqual(answer, ["COMPLETE signed", "READY T 1.11"])
            answer = await caller.send_line("QUERY 3 COMMIT")
            self.assertEqual(answer, ["COMPLETE signed", "READY I 1.11"])
            self.assertTrue(caller.connection.is_idle)

        run_with_caller(work)

    def test_protocol_errors_name_the_cause_and_close(self) -> None:
        cases = (
            ("STARTUP nothing u1", "ERROR NODATABASE nothing"),
            ("HELLO", "ERROR MALFORMED unknown word 'HELLO'"),
            ("QUERY 1 READ i", "ERROR MALFORMED a statement before the startup"),
        )
        for text, expected in cases:
            with self.subTest(text):

                async def work(
                    fixture: GroupFixture,
                    ingress: Ingress,
                    caller: Caller,
                    text: str = text,
                    expected: str = expected,
                ) -> None:
                    self.assertEqual(await caller.send_line(text), [expected])
                    self.assertTrue(caller.transport.is_closed)

                run_with_caller(work)

    def test_unreadable_statement_keeps_the_session(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            answer = await caller.send_line("QUERY 1 DANCE")
            self.assertEqual(answer[1], "READY I -")
            self.assertFalse(caller.transport.is_closed)

        run_with_caller(work)


class CallerCountTest(unittest.TestCase):
    """Callers leave descriptors of the process to its other connections."""

    def test_callers_beyond_the_limit_are_refused_until_others_leave(self) -> None:
        """Guards against callers with whom no database can be connected any more."""

        async def work(fixture: GroupFixture, _: Ingress, __: Caller) -> None:
            ingress = Ingress(fixture.service, virtual_now, max_callers=2)
            callers = [Caller(ingress, fixture) for _ in range(3)]
            closed = [each.transport.is_closed for each in callers]
            self.assertEqual(closed, [False, False, True])
            self.assertIn("ERROR CONNLIMIT", callers[2].lines()[0])
            for each in callers[1:]:
                each.connection.connection_lost(None)
            answer = await Caller(ingress, fixture).send_line("STARTUP db u1")
            self.assertEqual(answer, ["READY I -"])

        run_with_caller(work)

    def test_limit_leaves_an_eighth_of_the_descriptors(self) -> None:
        for soft, expected in ((1024, 896), (resource.RLIM_INFINITY, sys.maxsize)):
            with mock.patch.object(resource, "getrlimit", return_value=(soft, soft)):
                self.assertEqual(max_callers_of_process(), expected)


class SecondStartupTest(unittest.TestCase):
    """A connection has one session, and what that holds ends with it."""

    def test_second_startup_leaves_no_transaction_behind(self) -> None:
        """Guards against one caller who takes all connections to a database."""

        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            for _ in range(3):
                await caller.send_line("STARTUP db u1")
                await caller.send_line("QUERY 1 BEGIN")
                await caller.send_line("QUERY 2 WRITE i d")
            caller.connection.connection_lost(None)
            await asyncio.sleep(5.0)
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            self.assertEqual(pool.in_use, 0)

        run_with_caller(work)

    def test_second_startup_is_refused(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            answer = await caller.send_line("STARTUP db u1")
            self.assertEqual(answer, ["ERROR MALFORMED the session has begun already"])
            self.assertTrue(caller.transport.is_closed)

        run_with_caller(work)

    def test_statement_behind_the_end_of_a_session_does_not_run(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("TERMINATE\r\nQUERY 1 WRITE i d")
            self.assertTrue(caller.transport.is_closed)

        self.assertEqual(run_with_caller(work).leader.ran, [])


class UnexpectedErrorTest(unittest.TestCase):
    """An unexpected error in the proxy closes only the connection it happened on."""

    def test_failed_connection_is_closed_and_others_go_on(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            other = Caller(ingress, fixture)
            await caller.send_line("STARTUP db u1")
            await other.send_line("STARTUP db u2")
            original = fixture.service.answer

            async def fail(*_: object) -> Reply:
                raise KeyError("unexpected")

            with mock.patch.object(fixture.service, "answer", fail):
                await caller.send_line("QUERY 1 READ i")
            self.assertTrue(caller.transport.is_closed)
            self.assertEqual(fixture.service.answer, original)
            answer = await other.send_line("QUERY 1 READ i")
            self.assertEqual(answer[0], "DATAROW row")

        run_with_caller(work)
