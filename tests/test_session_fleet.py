"""Tests of `Fleet`: status queries and connections to busy databases."""

import asyncio
import unittest

from beryltiller.sessions.databases.status_queries import CONFIRM_INTERVAL_SECONDS
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.statements import AskStatus, Begin, Code, Write
from tests.fake_group import GroupFixture
from tests.virtual_loop import run_virtual


class BusyDatabaseTest(unittest.TestCase):
    """A busy database gets no extra connections or queries."""

    def test_refused_status_query_keeps_its_connection(self) -> None:
        async def work() -> None:
            fixture = GroupFixture()
            fixture.leader.refuse[AskStatus] = Code.BUSY
            member = fixture.fleet.group("s").members["leader"]
            for _ in range(10):
                with self.assertRaises(NotSentError):
                    await fixture.fleet.ask_status(member)
            self.assertEqual(fixture.leader.connections, 1)
            self.assertEqual(
                fixture.fleet.connection_pool(fixture.leader.entry()).in_use, 0
            )
            self.assertIsNone(member.failing_since)

        run_virtual(work())

    def test_unconfirmed_leader_is_queried_at_intervals(self) -> None:
        """Guards against overloading a busy primary with status queries.

        Many proxies queried it at every check.
        """

        async def work() -> None:
            fixture = GroupFixture()
            fixture.leader.refuse_start = Code.BUSY
            for _ in range(100):
                await fixture.fleet.confirm_leaders()
                await asyncio.sleep(0.1)
            self.assertLessEqual(
                fixture.leader.attempts, 10 / CONFIRM_INTERVAL_SECONDS + 1
            )
            fixture.leader.refuse_start = None
            await asyncio.sleep(CONFIRM_INTERVAL_SECONDS)
            await fixture.fleet.confirm_leaders()
            self.assertEqual(fixture.fleet.group("s").leaders_to_confirm(), ())

        run_virtual(work())

    def test_refused_transaction_keeps_its_connection(self) -> None:
        """Guards against opening connections to a database that lacks capacity.

        Opening one takes a slot for longer than most statements do.
        """

        async def work(refused: type) -> None:
            fixture = GroupFixture()
            fixture.leader.refuse[refused] = Code.BUSY
            for _ in range(5):
                session = fixture.session()
                await fixture.run(session, Begin(), "b")
                reply = await fixture.run(session, Write("item", "data"), "w")
                self.assertIs(reply.code, Code.BUSY)
            self.assertEqual(fixture.leader.connections, 1)
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            self.assertEqual((pool.size, pool.in_use), (1, 0))
            wanted = (
                0
                if refused is Begin
                else fixture.leader.statement_names().count("Begin")
            )
            self.assertEqual(fixture.leader.statement_names().count("Rollback"), wanted)

        for refused in (Begin, Write):
            with self.subTest(refused.__name__):
                run_virtual(work(refused))
