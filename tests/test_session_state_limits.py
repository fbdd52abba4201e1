"""Tests of the limits of what sessions keep: values and prepared statements."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import cast
from unittest import mock

from beryltiller.observability import limit_events, logs
from beryltiller.observability.session_events import SetUpRefused
from beryltiller.platform.caller_connection import CallerConnection
from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.serving.isolation import IsolationMonitor
from beryltiller.sessions.serving.memory_budget import (
    LOG_INTERVAL_SECONDS,
    MAX_SESSION_BYTES,
    MemoryBudget,
)
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.session import MAX_VALUES, Session
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Write,
)
from tests.fake_group import GroupFixture
from tests.page_group import PageGroup
from tests.test_platform_ingress import FakeTransport
from tests.virtual_loop import run_virtual, virtual_now

MESSAGE = "x" * (1 << 20)
TOTAL_BYTES = 4_000_000

Work = Callable[[GroupFixture], Awaitable[None]]


def run_with_total(work: Work, total_bytes: int = TOTAL_BYTES) -> None:
    """Run work on a group whose sessions share a total, and check what stays."""

    async def run_work() -> None:
        fixture = GroupFixture()
        fixture.service = SessionService(
            fixture.fleet,
            Placer("a"),
            IsolationMonitor(),
            virtual_now,
            max_state_bytes=total_bytes,
        )
        await work(fixture)
        fixture.fleet.close()

    run_virtual(run_work())


async def fill(fixture: GroupFixture, session: Session, value: str = MESSAGE) -> int:
    """Set values until one is refused; return how many there are."""
    for number in range(MAX_VALUES + 1):
        name = f"v{number} {len(value)}"
        reply = await fixture.run(session, SetValue(name, value))
        if not reply.is_success:
            return number
    raise AssertionError("nothing was refused")


class SessionLimitTest(unittest.TestCase):
    """One session keeps a limited number of bytes, and says so clearly."""

    def test_session_keeps_no_more_than_its_limit(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            count = await fill(fixture, session)
            self.assertLessEqual(count << 20, MAX_SESSION_BYTES)
            reply = await fixture.run(session, Prepare("s1", False, MESSAGE))
            self.assertIs(reply.code, Code.FAILED)
            self.assertIn("memory", reply.text)
            other = fixture.session()
            reply = await fixture.run(other, Prepare("s1", False, MESSAGE))
            self.assertTrue(reply.is_success)

        run_with_total(work, 100_000_000)

    def test_replacement_and_deallocation_make_room(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            for _ in range(20):
                for statement in (
                    SetValue("v", MESSAGE),
                    Prepare("s1", False, MESSAGE),
                    Prepare("s2", False, MESSAGE),
                    Deallocate("s2"),
                ):
                    reply = await fixture.run(session, statement)
                    self.assertTrue(reply.is_success, reply)
            await fixture.run(session, SetValue("v", ""))
            await fixture.run(session, Deallocate("s1"))
            self.assertEqual(fixture.service.state_bytes, 0)

        run_with_total(work)

    def test_refused_replacement_keeps_what_was_there(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, SetValue("mine", "a"))
            await fixture.run(session, Prepare("s1", False, "b"))
            await fill(fixture, session)
            for statement in (SetValue("mine", MESSAGE), Prepare("s1", True, MESSAGE)):
                reply = await fixture.run(session, statement)
                self.assertIs(reply.code, Code.FAILED)
            self.assertEqual(session.values["mine"], "a")
            self.assertEqual(session.prepared["s1"].shape, "b")

        run_with_total(work, 100_000_000)

    def test_shape_of_nearly_a_message_is_prepared_and_executed(self) -> None:
        async def work() -> None:
            group = PageGroup()
            session = group.session()
            shape = "é" + "x" * 700_000
            await group.run(session, Prepare("s1", False, shape), "a")
            reply = await group.run(session, Execute("s1", "1a4"), "b")
            self.assertTrue(reply.is_success, reply.code)
            self.assertEqual([each.ran.shape for each in group.record.ran], [shape])
            group.fleet.close()

        run_virtual(work())


class TotalTest(unittest.TestCase):
    """All sessions share a total; who keeps little is served when it is used up."""

    def test_sessions_together_keep_no_more_than_the_total(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            sessions = [fixture.session() for _ in range(20)]
            counts = [await fill(fixture, each) for each in sessions]
            self.assertLessEqual(sum(counts) << 20, TOTAL_BYTES)
            reply = await fixture.run(sessions[-1], SetValue("w", MESSAGE))
            self.assertIs(reply.code, Code.BUSY)

        run_with_total(work)

    def test_callers_who_keep_little_are_not_refused(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            for value in (MESSAGE, "x" * 10_000, "x"):
                for _ in range(20):
                    await fill(fixture, fixture.session(), value)
            for _ in range(50):
                session = fixture.session()
                for number in range(10):
                    name = f"s{number}"
                    replies = (
                        await fixture.run(session, Prepare(name, True, "q1a WRITE")),
                        await fixture.run(session, SetValue(name, "a value")),
                    )
                    self.assertTrue(all(each.is_success for each in replies))

        run_with_total(work)

    def test_end_of_a_session_gives_its_memory_back(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            for _ in range(5):
                session = fixture.session()
                await fixture.run(session, Begin())
                await fixture.run(session, Write("i", "d"))
                self.assertGreater(await fill(fixture, session), 0)
                await fixture.service.end_session(session)
                self.assertEqual(fixture.service.state_bytes, 0)

        run_with_total(work)

    def test_ended_transaction_keeps_the_sessions_state(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, SetValue("v", MESSAGE))
            await fixture.run(session, Begin())
            await fixture.service.expire_transaction(session)
            await fixture.run(session, Rollback())
            self.assertEqual(session.values, {"v": MESSAGE})

        run_with_total(work)

    def test_refusals_say_nothing_about_the_databases(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            monitor = mock.Mock()
            with mock.patch.object(fixture.service, "_monitor", monitor):
                await fill(fixture, fixture.session())
            served = [call.args[0] for call in monitor.record_outcome.call_args_list]
            self.assertTrue(all(served))

        run_with_total(work)

    def test_refusals_are_logged_once_a_minute(self) -> None:
        times = [0.0]
        budget = MemoryBudget("state", 10, lambda: times[0])
        with captured_events() as events:
            for _ in range(5):
                budget.try_change(11)
            times[0] = LOG_INTERVAL_SECONDS
            budget.try_change(11)
        found = [cast(limit_events.MemoryRefused, each) for each in events]
        self.assertEqual([each.refusals for each in found], [1, 5])


class IdleConnectionTest(unittest.TestCase):
    """A connection to a database keeps little while no session uses it."""

    def test_large_values_of_an_ended_session_are_not_kept(self) -> None:
        found = self._state_after(SetValue("v", MESSAGE), Write("i", "d"))
        self.assertEqual(found, [(None, 0)])

    def test_long_shape_of_an_ended_session_is_not_kept(self) -> None:
        found = self._state_after(Prepare("s1", True, MESSAGE), Execute("s1", "i d"))
        self.assertEqual(found, [(None, 0)])

    def test_small_state_is_kept_for_the_next_statement(self) -> None:
        found = self._state_after(SetValue("v", "x" * 1000), Write("i", "d"))
        self.assertEqual(found, [({"v": "x" * 1000}, 0)])

    def test_statements_run_with_their_state_on_a_connection_that_forgot(self) -> None:
        async def work() -> None:
            group = PageGroup()
            large, small = group.session(), group.session()
            await group.run(large, SetValue("v", MESSAGE[100:]))
            await group.run(small, SetValue("v", "1"))
            await group.run(small, Prepare("s1", True, "q1"))
            for session in (small, large, small, large):
                await group.run(session, Write("i", "d"), "w")
            await group.run(small, Execute("s1", "i d"), "e")
            found = [each.ran.values for each in group.record.ran]
            mine, others = (("v", "1"),), (("v", MESSAGE[100:]),)
            self.assertEqual(found, [mine, others, mine, others, mine])
            self.assertEqual(group.record.ran[-1].ran.shape, "q1")
            group.fleet.close()

        run_virtual(work())

    def _state_after(
        self, *statements: CallerStatement
    ) -> list[tuple[Mapping[str, str] | None, int]]:
        """Return the values and shape bytes kept by each connection to the leader."""
        kept: list[tuple[Mapping[str, str] | None, int]] = []

        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            for statement in statements:
                reply = await fixture.run(session, statement)
                self.assertTrue(reply.is_success)
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            connection = await pool.acquire({}, 1.0)
            kept.append((connection.values, connection.shape_bytes))

        run_with_total(work)
        return kept


class RefusedSetUpTest(unittest.TestCase):
    """A caller whose state a database refuses ends no connection that others use."""

    def test_refused_value_or_shape_leaves_connections_open(self) -> None:
        cases: dict[str, tuple[CallerStatement, CallerStatement]] = {
            "SET": (SetValue("v", "bad"), Read("i")),
            "PREPARE": (Prepare("s1", False, "bad"), Execute("s1", "i")),
        }
        for word, statements in cases.items():
            with self.subTest(word):
                opened, ran = run_virtual(self._refuse(statements))
                self.assertLessEqual(opened, 3)
                self.assertEqual(ran, [("tame", (("v", "1"),))] * 20)

    def test_refused_set_ups_do_not_fill_the_log(self) -> None:
        async def work() -> None:
            group = PageGroup()
            group.trouble.refused_texts.add("bad")
            session = group.session()
            await group.run(session, SetValue("v", "bad"))
            with captured_events() as events:
                began = virtual_now()
                for _ in range(100):
                    await group.run(session, Read("i"))
                seconds = virtual_now() - began
            found = [each for each in events if isinstance(each, SetUpRefused)]
            self.assertLessEqual(len(found), 1 + seconds)
            self.assertEqual(found[0].refusals, 1)
            self.assertGreater(found[1].refusals, 5)
            group.fleet.close()

        run_virtual(work())

    async def _refuse(
        self, statements: tuple[CallerStatement, CallerStatement]
    ) -> tuple[int, list[tuple[str, tuple[tuple[str, str], ...]]]]:
        """Return how many connections were opened, and what ran."""
        group = PageGroup()
        group.trouble.refused_texts.add("bad")
        tame, other = group.session(), group.session()
        await group.run(tame, SetValue("v", "1"))
        for _ in range(20):
            reply = await group.run(tame, Write("i", "d"), "tame")
            self.assertTrue(reply.is_success)
            for statement in statements:
                reply = await group.run(other, statement, "other")
            self.assertIs(reply.code, Code.ABORTED)
        group.fleet.close()
        ran = [(each.ran.identifier, each.ran.values) for each in group.record.ran]
        return group.opened, ran


class ConnectionEndTest(unittest.TestCase):
    """A caller's connection that breaks gives the session's memory back."""

    def test_broken_connection_gives_memory_back(self) -> None:
        cases = {
            "idle": ("QUERY 1 ROLLBACK",),
            "in a transaction": ("QUERY 1 BEGIN", "QUERY 2 WRITE i d"),
        }
        for name, lines in cases.items():
            with self.subTest(name):
                self._break(lines, 1.0)
        with self.subTest("a statement at work"):
            self._break(("QUERY 1 BEGIN", "QUERY 2 WRITE i d"), 0.0)
        for step in range(20):
            with self.subTest("a transaction that expires", step=step):
                pause_seconds = 3.0 + 0.005 * step
                self._break(("QUERY 1 BEGIN", "QUERY 2 WRITE i d"), pause_seconds)

    def _break(self, lines: tuple[str, ...], pause_seconds: float) -> None:
        async def work(fixture: GroupFixture) -> None:
            ingress = Ingress(fixture.service, virtual_now)
            connection = CallerConnection(fixture.service, ingress)
            connection.connection_made(FakeTransport())
            text = "\r\n".join(("STARTUP db u1", f"QUERY 0 SET v {MESSAGE}", *lines))
            connection.data_received(f"{text}\r\n".encode())
            await asyncio.sleep(pause_seconds)
            connection.connection_lost(None)
            await asyncio.sleep(1.0)
            self.assertEqual(fixture.service.state_bytes, 0)

        run_with_total(work)


@contextmanager
def captured_events() -> Iterator[list[object]]:
    """Collect the events that are logged inside the block."""
    events: list[object] = []
    with mock.patch.object(logs, "log", events.append):
        yield events
