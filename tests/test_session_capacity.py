"""Tests of statements at databases that lack capacity or connections."""

import asyncio
import unittest

from beryltiller.sessions.connections.connection_limits import ConnectionPoolPolicy
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Commit,
    Read,
    Rollback,
    Write,
)
from tests.fake_group import GroupFixture, call_after
from tests.session_runs import run_with_fixture
from tests.virtual_loop import virtual_now


class CapacityRetryTest(unittest.TestCase):
    """Statements refused for lack of capacity are retried for a limited time."""

    def test_statement_is_served_once_capacity_is_available(self) -> None:
        for statement in (Read("i"), Write("i", "d")):
            for is_transaction in (False, True):
                with self.subTest(statement=statement, is_transaction=is_transaction):
                    self.serve(statement, is_transaction)

    def serve(self, statement: Read | Write, is_transaction: bool) -> None:
        async def work(fixture: GroupFixture) -> None:
            await fixture.fleet.confirm_leaders()
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            pool.discard(await pool.acquire({}, 0.1))
            fixture.leader.refuse_start = Code.CONNECTION_LIMIT
            call_after(0.08, lambda: setattr(fixture.leader, "refuse_start", None))
            session = fixture.session()
            if is_transaction:
                await fixture.run(session, Begin())
            reply = await fixture.run(session, statement)
            self.assertTrue(reply.is_success, reply)

        run_with_fixture(work)

    def test_read_is_retried_until_a_replica_has_caught_up(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Write("i", "d"))
            fixture.leader.refuse_start = Code.CONNECTION_LIMIT
            fixture.leader.refuse[Read] = Code.BUSY
            call_after(
                0.08, lambda: setattr(fixture.near, "index", fixture.leader.index)
            )
            reply = await fixture.run(session, Read("i"))
            self.assertTrue(reply.is_success, reply)

        run_with_fixture(work)

    def test_open_transaction_waits_for_a_busy_database(self) -> None:
        """Guards against losing a transaction's work to a momentary overload."""
        for refused in (Write, Commit):
            with self.subTest(refused.__name__):
                self.run_refused_for_a_moment(refused)

    def run_refused_for_a_moment(self, refused: type) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            await fixture.run(session, Write("i", "d"), "w1")
            fixture.leader.refuse[refused] = Code.BUSY
            call_after(0.5, lambda: fixture.leader.refuse.clear())
            reply = await fixture.run(session, Write("i", "e"), "w2")
            self.assertTrue(reply.is_success, reply)
            reply = await fixture.run(session, Commit(), "c")
            self.assertTrue(reply.is_success, reply)
            connections = {number for number, _ in fixture.leader.ran}
            self.assertEqual(len(connections), 1)

        run_with_fixture(work)

    def test_open_transaction_is_refused_at_its_timeout(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            await fixture.run(session, Write("i", "d"), "w1")
            fixture.leader.refuse[Write] = Code.BUSY
            began = virtual_now()
            reply = await fixture.run(session, Write("i", "e"), "w2")
            self.assertIs(reply.code, Code.BUSY)
            self.assertLessEqual(virtual_now() - began, 1.0)

        run_with_fixture(work)

    def test_retries_end_within_half_the_latency_objective(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            for each in fixture.databases.values():
                each.refuse_start = Code.CONNECTION_LIMIT
            began = virtual_now()
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertIs(reply.code, Code.CONNECTION_LIMIT)
            self.assertLess(virtual_now() - began, 0.25)

        run_with_fixture(work)


class LateStatementTest(unittest.TestCase):
    """A statement whose time is nearly over says nothing of the databases."""

    def test_late_statements_keep_no_database_from_other_callers(self) -> None:
        """Guards against one caller's queue that makes databases count as silent."""

        async def work(fixture: GroupFixture) -> None:
            statements: tuple[CallerStatement, ...] = (Read("i"), Write("i", "d"))
            for statement in statements:
                for left in (-1.0, 0.0, 0.001, 0.005):
                    arrived = virtual_now() - 1.0 + left
                    session = fixture.session()
                    late = await fixture.service.answer(
                        session, "late", statement, arrived
                    )
                    self.assertFalse(late.is_success)
                    reply = await fixture.run(fixture.session(), statement)
                    self.assertTrue(reply.is_success, (statement, left, reply.text))

        run_with_fixture(work)

    def test_statement_whose_time_is_over_is_not_sent(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            reply = await fixture.service.answer(
                session, "late", Write("i", "d"), virtual_now() - 1.5
            )
            self.assertIs(reply.code, Code.BUSY)
            self.assertEqual(fixture.leader.statement_names(), [])

        run_with_fixture(work)

    def test_database_that_is_silent_for_long_is_avoided(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.leader.hang.add(Write)
            await fixture.run(fixture.session(), Write("i", "d"))
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            self.assertFalse(leader.is_available(virtual_now()))

        run_with_fixture(work)


class EndlessTransactionTest(unittest.TestCase):
    """Callers whose transactions never end leave a part of a database to others."""

    def test_single_writes_are_served_beside_transactions_that_never_end(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            endless = [asyncio.create_task(self._write(fixture)) for _ in range(8)]
            await asyncio.sleep(1.0)
            served = 0
            for _ in range(30):
                reply = await fixture.run(fixture.session(), Write("i", "d"))
                served += reply.is_success
                await asyncio.sleep(0.1)
            for each in endless:
                each.cancel()
            self.assertGreaterEqual(served, 15)

        run_with_fixture(work)

    async def _write(self, fixture: GroupFixture) -> None:
        """Write in one transaction without end, and begin another if it fails."""
        session = fixture.session()
        await fixture.run(session, Begin())
        while True:
            reply = await fixture.run(session, Write("i", "d"))
            if not reply.is_success:
                await fixture.run(session, Rollback())
                await fixture.run(session, Begin())
                await asyncio.sleep(0.01)


class ConnectionSupplyTest(unittest.TestCase):
    """Reads prefer databases to which a connection is available."""

    def test_idle_remote_connection_is_preferred_to_a_refused_local_one(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Write("i", "d"))
            fixture.near.index = fixture.far.index = fixture.leader.index
            await fixture.fleet.ask_status(fixture.fleet.group("s").members["far"])
            for each in (fixture.near, fixture.leader):
                pool = fixture.fleet.connection_pool(each.entry())
                pool.discard(await pool.acquire({}, 0.1))
                each.refuse_start = Code.CONNECTION_LIMIT
                with self.assertRaises(NotSentError):
                    await fixture.fleet.connection_pool(each.entry()).acquire({}, 0.1)
            attempts = fixture.near.attempts + fixture.leader.attempts
            for _ in range(5):
                await asyncio.sleep(ConnectionPoolPolicy(1).refusal_pause_seconds)
                self.assertTrue((await fixture.run(session, Read("i"))).is_success)
            self.assertEqual(fixture.near.attempts + fixture.leader.attempts, attempts)
            self.assertEqual(fixture.far.statement_names(), ["Read"] * 5)

        run_with_fixture(work)
