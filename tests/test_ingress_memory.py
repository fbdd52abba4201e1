"""Tests of the memory that callers take who do not read or send too much."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from beryltiller.platform.ingress import MAX_MESSAGE_SECONDS, CallerConnection, Ingress
from tests.fake_group import GroupFixture
from tests.ingress_caller import Caller, FakeTransport, run_with_caller
from tests.virtual_loop import virtual_now

HIGH_WATER_BYTES = 100
# No answer to the statements of these tests is longer.
ANSWER_BYTES = 100
TOTAL_BYTES = 2_000_000
PART_OF_A_MESSAGE = b"QUERY 1 WRITE i " + b"x" * 900_000


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
