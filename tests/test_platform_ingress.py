"""Tests of callers' connections to a fake database group, on a virtual clock."""

import asyncio
import resource
import sys
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from beryltiller.adapters.descriptors import max_callers_of_process
from beryltiller.platform.caller_connection import (
    MAX_MESSAGE_SECONDS,
    MAX_STARTUP_SECONDS,
    CallerConnection,
)
from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.statements import Commit, Read, Reply, Write
from tests.fake_group import GroupFixture
from tests.virtual_loop import run_virtual, virtual_now


class FakeSocket:
    """A socket that accepts and ignores all options."""

    def setsockopt(self, *option: object) -> None:
        pass


class FakeTransport(asyncio.Transport):
    """A transport that stores what is written and whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_closed = False
        self._is_reading = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return FakeSocket()

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def is_reading(self) -> bool:
        return self._is_reading

    def get_write_buffer_size(self) -> int:
        return len(self.written)

    def pause_reading(self) -> None:
        self._is_reading = False

    def resume_reading(self) -> None:
        self._is_reading = True


HIGH_WATER_BYTES = 100
# No answer to the statements of these tests is longer.
ANSWER_BYTES = 100


class SlowTransport(FakeTransport):
    """A transport that keeps what is written until the caller reads it."""

    def __init__(self) -> None:
        super().__init__()
        self.connection: CallerConnection
        self.most_kept = 0
        self._is_paused = False

    def write(self, data: Any) -> None:
        super().write(data)
        self.most_kept = max(self.most_kept, len(self.written))
        if len(self.written) > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self.connection.pause_writing()

    def read_all(self) -> str:
        """Return what was written, as the caller reads it now."""
        text, self.written = self.written.decode(), b""
        if self._is_paused:
            self._is_paused = False
            self.connection.resume_writing()
        return text


class Caller:
    """A caller that is connected to the ingress of a fixture."""

    def __init__(self, ingress: Ingress, fixture: GroupFixture) -> None:
        self.connection = CallerConnection(fixture.service, ingress)
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)

    async def send_line(self, text: str, seconds: float = 0.5) -> list[str]:
        """Send a line, wait, and return the lines of the answer."""
        self.transport.written = b""
        self.connection.data_received(f"{text}\r\n".encode())
        await asyncio.sleep(seconds)
        return self.lines()

    def lines(self) -> list[str]:
        """Return the lines that were written since the last one was sent."""
        return self.transport.written.decode().split("\r\n")[:-1]


Work = Callable[[GroupFixture, Ingress, Caller], Awaitable[None]]


def run_with_caller(work: Work) -> GroupFixture:
    """Run `work` with one caller on a virtual clock, and return the fixture."""

    async def run_work() -> GroupFixture:
        fixture = GroupFixture()
        ingress = Ingress(fixture.service, virtual_now)
        await work(fixture, ingress, Caller(ingress, fixture))
        fixture.fleet.close()
        return fixture

    return run_virtual(run_work())


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


class SlowCallerTest(unittest.TestCase):
    """A caller that does not read its answers takes little from others."""

    def test_answers_wait_until_the_caller_reads(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            transport = self._connect(fixture, ingress)
            lines = [f"QUERY {n} WRITE i d" for n in range(60)]
            self._send(transport, "STARTUP db u1", *lines)
            text = ""
            for _ in range(60):
                await asyncio.sleep(0.5)
                text += transport.read_all()
            self.assertEqual(text.count("READY"), 61)
            self.assertLessEqual(transport.most_kept, HIGH_WATER_BYTES + ANSWER_BYTES)

        self._run(work)

    def test_large_messages_are_not_queued_without_limit(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            transport = self._connect(fixture, ingress)
            self._send(transport, "STARTUP db u1")
            for number in range(60):
                if not transport.is_reading():
                    break
                self._send(transport, f"QUERY {number} WRITE i {'x' * 200_000}")
            self.assertLessEqual(number, 2)
            await asyncio.sleep(1.0)
            self.assertTrue(transport.is_reading())

        self._run(work)

    def test_reading_goes_on_only_once_the_answers_are_read(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            transport = self._connect(fixture, ingress)
            lines = [f"QUERY {n} WRITE i d" for n in range(80)]
            self._send(transport, "STARTUP db u1", *lines)
            await asyncio.sleep(5.0)
            self.assertFalse(transport.is_reading())
            text = ""
            for _ in range(80):
                text += transport.read_all()
                await asyncio.sleep(0.5)
            self.assertTrue(transport.is_reading())
            self.assertEqual((text + transport.read_all()).count("READY"), 81)

        self._run(work)

    def test_caller_who_never_reads_keeps_no_transaction(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            transport = self._connect(fixture, ingress)
            lines = [f"QUERY {n} WRITE i d" for n in range(60)]
            self._send(transport, "STARTUP db u1", "QUERY b BEGIN", *lines)
            await asyncio.sleep(1.0)
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            self.assertEqual(pool.in_use, 1)
            await asyncio.sleep(3.0)
            self.assertEqual(pool.in_use, 0)
            transport.read_all()
            await asyncio.sleep(1.0)
            self.assertIn("ERROR MALFORMED the transaction", transport.read_all())

        self._run(work)

    def test_drain_answers_a_caller_who_does_not_read(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            transport = self._connect(fixture, ingress)
            lines = [f"QUERY {n} WRITE i d" for n in range(20)]
            self._send(transport, "STARTUP db u1", *lines)
            await asyncio.sleep(1.0)
            ingress.close_idle()
            self.assertFalse(transport.is_closed)
            ingress.close()
            self.assertTrue(transport.is_closed)
            text = transport.read_all()
            self.assertEqual(text.count("COMPLETE") + text.count("ERROR BUSY"), 20)
            self.assertEqual(text.count("COMPLETE"), len(fixture.leader.ran))

        self._run(work)

    def test_connection_lost_while_answers_wait_ends_the_session(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            transport = self._connect(fixture, ingress)
            lines = [f"QUERY {n} WRITE i d" for n in range(20)]
            self._send(transport, "STARTUP db u1", "QUERY b BEGIN", *lines)
            await asyncio.sleep(1.0)
            others = ingress.open_connections - 1
            transport.connection.connection_lost(None)
            await asyncio.sleep(1.0)
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            self.assertEqual((pool.in_use, ingress.open_connections), (0, others))
            ran = len(fixture.leader.ran)
            transport.connection.resume_writing()
            await asyncio.sleep(1.0)
            self.assertEqual(len(fixture.leader.ran), ran)

        self._run(work)

    def test_unread_answers_of_all_callers_are_limited(self) -> None:
        """Guards against a total that grows with the number of such callers."""

        async def work(fixture: GroupFixture, _: Ingress) -> None:
            ingress = Ingress(fixture.service, virtual_now, 3 * HIGH_WATER_BYTES)
            transports = [self._connect(fixture, ingress) for _ in range(4)]
            lines = [f"QUERY {n} WRITE i d" for n in range(60)]
            for transport in transports:
                self._send(transport, "STARTUP db u1")
                await asyncio.sleep(0.1)
                self._send(transport, *lines)
                await asyncio.sleep(0.5)
            closed = [each.is_closed for each in transports]
            self.assertEqual(closed, [True, True, False, False])

        self._run(work)

    def _run(self, work: Callable[[GroupFixture, Ingress], Awaitable[None]]) -> None:
        async def run_work(fixture: GroupFixture, ingress: Ingress, _: Caller) -> None:
            await work(fixture, ingress)

        run_with_caller(run_work)

    def _connect(self, fixture: GroupFixture, ingress: Ingress) -> SlowTransport:
        transport = SlowTransport()
        transport.connection = CallerConnection(fixture.service, ingress)
        transport.connection.connection_made(transport)
        return transport

    def _send(self, transport: SlowTransport, *lines: str) -> None:
        data = "".join(f"{line}\r\n" for line in lines)
        transport.connection.data_received(data.encode())


TOTAL_BYTES = 2_000_000
PART_OF_A_MESSAGE = b"QUERY 1 WRITE i " + b"x" * 900_000


class ReceivedMemoryTest(unittest.TestCase):
    """What all callers have sent and is not answered takes limited memory."""

    def test_incomplete_messages_of_many_callers_are_refused(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            callers = await self._connect(fixture, ingress, 10)
            for caller in callers:
                caller.connection.data_received(PART_OF_A_MESSAGE)
            closed = [each for each in callers if each.transport.is_closed]
            self.assertEqual(len(closed), 8)
            self.assertIn(b"ERROR BUSY", closed[0].transport.written)

        self._run(work)

    def test_small_messages_are_served_when_the_memory_is_used_up(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            callers = await self._connect(fixture, ingress, 40)
            for caller in callers[:4]:
                caller.connection.data_received(PART_OF_A_MESSAGE)
            for caller in callers[4:]:
                answer = await caller.send_line("QUERY 1 WRITE i " + "d" * 4000)
                self.assertEqual(answer[0], "COMPLETE signed")

        self._run(work)

    def test_memory_is_free_once_messages_are_answered_or_callers_left(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            for _ in range(5):
                callers = await self._connect(fixture, ingress, 2)
                callers[0].connection.data_received(PART_OF_A_MESSAGE + b"\r\n")
                callers[1].connection.data_received(PART_OF_A_MESSAGE)
                await asyncio.sleep(0.5)
                self.assertIn("COMPLETE signed", callers[0].lines())
                callers[1].connection.connection_lost(None)
                self.assertEqual(ingress.received.used_bytes, 0)

        self._run(work)

    def test_statement_at_work_is_answered_when_the_memory_is_used_up(self) -> None:
        """Guards against a promise that is taken for the answer to a write."""

        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            callers = await self._connect(fixture, ingress, 4)
            last = callers[3]
            last.connection.data_received(b"QUERY 1 WRITE i d\r\n")
            for caller in callers:
                caller.connection.data_received(PART_OF_A_MESSAGE)
            self.assertFalse(last.transport.is_reading())
            await asyncio.sleep(0.5)
            self.assertEqual(last.lines()[-2:], ["COMPLETE signed", "READY I 1.11"])
            last.connection.data_received(b"x")
            self.assertTrue(last.transport.is_closed)

        self._run(work)

    def test_incomplete_message_does_not_hold_memory_for_long(self) -> None:
        """Guards against silent callers who refuse the messages of all others."""

        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            silent, slow = await self._connect(fixture, ingress, 2)
            silent.connection.data_received(PART_OF_A_MESSAGE)
            for _ in range(20):
                slow.connection.data_received(b"QUERY 1 READ i\r\nQUERY 1 READ")
                await asyncio.sleep(MAX_MESSAGE_SECONDS / 10)
                slow.connection.data_received(b" i\r\n")
                await asyncio.sleep(0.1)
            self.assertTrue(silent.transport.is_closed)
            self.assertIn("ERROR TIMEOUT", silent.lines()[-1])
            self.assertEqual(slow.transport.written.count(b"DATAROW"), 40)
            self.assertFalse(slow.transport.is_closed)

        self._run(work)

    def test_message_behind_a_statement_at_work_may_take_longer(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            (caller,) = await self._connect(fixture, ingress, 1)
            with mock.patch.object(caller.connection, "_work", asyncio.Event()):
                caller.connection.data_received(PART_OF_A_MESSAGE)
                await asyncio.sleep(1.5 * MAX_MESSAGE_SECONDS)
                self.assertFalse(caller.transport.is_closed)
            await asyncio.sleep(MAX_MESSAGE_SECONDS)
            self.assertTrue(caller.transport.is_closed)

        self._run(work)

    def test_caller_is_read_again_after_its_transaction_expired(self) -> None:
        """Guards against a caller whose further messages are never read."""

        async def work(fixture: GroupFixture, ingress: Ingress) -> None:
            callers = await self._connect(fixture, ingress, 3)
            for caller in callers[:2]:
                caller.connection.data_received(PART_OF_A_MESSAGE)
            last = callers[2]
            await last.send_line("QUERY 1 BEGIN")
            await last.send_line("QUERY 2 WRITE i d")
            ingress.end_transactions()
            last.connection.data_received(PART_OF_A_MESSAGE)
            self.assertFalse(last.transport.is_reading())
            await asyncio.sleep(0.5)
            self.assertTrue(last.transport.is_reading())

        self._run(work)

    def _run(self, work: Callable[[GroupFixture, Ingress], Awaitable[None]]) -> None:
        async def run_work(fixture: GroupFixture, _: Ingress, __: Caller) -> None:
            ingress = Ingress(fixture.service, virtual_now, TOTAL_BYTES)
            await work(fixture, ingress)

        run_with_caller(run_work)

    async def _connect(
        self, fixture: GroupFixture, ingress: Ingress, count: int
    ) -> list[Caller]:
        callers = [Caller(ingress, fixture) for _ in range(count)]
        for each in callers:
            await each.send_line("STARTUP db u1", seconds=0.01)
        return callers


class CallerCountTest(unittest.TestCase):
    """Callers leave descriptors of the process to its other connections."""

    def test_callers_beyond_the_limit_are_refused_until_others_leave(self) -> None:
        """Guards against callers with whom no database can be connected any more."""

        async def work(fixture: GroupFixture, _: Ingress, __: Caller) -> None:
            ingress = Ingress(fixture.service, virtual_now, max_callers=2)
            callers: list[Caller] = []
            while len(callers) < 2:
                callers.append(Caller(ingress, fixture))
                await callers[-1].send_line("STARTUP db u1")
            callers.append(Caller(ingress, fixture))
            closed = [each.transport.is_closed for each in callers]
            self.assertEqual(closed, [False, False, True])
            self.assertIn("ERROR CONNLIMIT", callers[2].lines()[0])
            for each in callers[1:]:
                each.connection.connection_lost(None)
            answer = await Caller(ingress, fixture).send_line("STARTUP db u1")
            self.assertEqual(answer, ["READY I -"])

        run_with_caller(work)

    def test_caller_without_a_session_makes_room(self) -> None:
        """Guards against callers that only connect and keep others out."""

        async def work(fixture: GroupFixture, _: Ingress, __: Caller) -> None:
            ingress = Ingress(fixture.service, virtual_now, max_callers=2)
            callers = [Caller(ingress, fixture) for _ in range(2)]
            await callers[1].send_line("STARTUP db u1")
            last = Caller(ingress, fixture)
            closed = [each.transport.is_closed for each in (*callers, last)]
            self.assertEqual(closed, [True, False, False])
            self.assertEqual(await last.send_line("STARTUP db u1"), ["READY I -"])

        run_with_caller(work)

    def test_connection_without_a_session_is_closed_and_an_idle_session_is_not(
        self,
    ) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, idle: Caller) -> None:
            await idle.send_line("STARTUP db u1")
            silent = Caller(ingress, fixture)
            await asyncio.sleep(2 * MAX_STARTUP_SECONDS)
            self.assertIn("ERROR TIMEOUT", silent.lines()[0])
            self.assertTrue(silent.transport.is_closed)
            self.assertFalse(idle.transport.is_closed)

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


class DisconnectedCallerTest(unittest.TestCase):
    """A statement that waits is not sent once its caller has disconnected."""

    def test_waiting_statement_is_not_sent(self) -> None:
        """Guards against work that nobody waits for and places that stay taken."""
        for is_in_transaction in (False, True):
            for waits_for in ("place", "connection"):
                with self.subTest(waits_for, is_in_transaction=is_in_transaction):
                    self._leave(waits_for, is_in_transaction)

    def _leave(self, waits_for: str, is_in_transaction: bool) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            if is_in_transaction:
                await caller.send_line("QUERY 1 BEGIN")
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            slots, connections = [], []
            if waits_for == "place":
                while (slot := pool.semaphore.try_acquire()) is not None:
                    slots.append(slot)
            else:
                connections = [await pool.acquire({}, 1.0) for _ in range(6)]
            await caller.send_line("QUERY 2 WRITE i d", seconds=0.05)
            self.assertEqual(pool.semaphore.waiting + pool.waiting, 1)
            caller.connection.connection_lost(None)
            await asyncio.sleep(0.001)
            self.assertEqual(pool.semaphore.waiting + pool.waiting, 0)
            for slot in slots:
                pool.semaphore.release(slot)
            for connection in connections:
                pool.release(connection)
            await asyncio.sleep(0.5)
            self.assertEqual(fixture.leader.statement_names(), [])
            self.assertEqual((pool.semaphore.in_use, pool.in_use), (0, 0))
            self.assertEqual(len(asyncio.all_tasks()), 1)

        run_with_caller(work)

    def test_sent_statement_runs_and_a_transaction_is_rolled_back(self) -> None:
        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            await caller.send_line("QUERY 1 BEGIN")
            await caller.send_line("QUERY 2 WRITE i d")
            await caller.send_line("QUERY 3 WRITE i e", seconds=0.001)
            caller.connection.connection_lost(None)
            await asyncio.sleep(0.5)
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            self.assertEqual((pool.semaphore.in_use, pool.in_use), (0, 0))
            self.assertEqual(len(asyncio.all_tasks()), 1)

        names = run_with_caller(work).leader.statement_names()
        self.assertEqual(names, ["Begin", "Write", "Write", "Rollback"])
