"""Tests of the databases that a proxy serves from, and of its questions to them."""

import asyncio
import unittest

from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.fleet import CONFIRM_SECONDS
from beryltiller.sessions.statements import AskStatus, Begin, Code, Write
from tests.fake_group import Rig
from tests.virtual_loop import run_virtual


class BusyDatabaseTest(unittest.TestCase):
    """A database that is too busy to answer is not burdened with connections."""

    def test_refused_question_keeps_its_connection(self) -> None:
        async def work() -> None:
            rig = Rig()
            rig.leader.refuse[AskStatus] = Code.BUSY
            member = rig.fleet.group("s").members["leader"]
            for _ in range(10):
                with self.assertRaises(NotSentError):
                    await rig.fleet.ask_status(member)
            self.assertEqual(rig.leader.connections, 1)
            self.assertEqual(rig.fleet.lender(rig.leader.entry()).lent, 0)
            self.assertIsNone(member.failing_since)

        run_virtual(work())

    def test_claim_that_is_not_confirmed_is_asked_about_now_and_then(self) -> None:
        """Many proxies that asked at every look kept a busy primary busy."""

        async def work() -> None:
            rig = Rig()
            rig.leader.refuse_start = Code.BUSY
            for _ in range(100):
                await rig.fleet.confirm_leaders()
                await asyncio.sleep(0.1)
            self.assertLessEqual(rig.leader.attempts, 10 / CONFIRM_SECONDS + 1)
            rig.leader.refuse_start = None
            await asyncio.sleep(CONFIRM_SECONDS)
            await rig.fleet.confirm_leaders()
            self.assertEqual(rig.fleet.group("s").leaders_to_confirm(), ())

        run_virtual(work())

    def test_refused_begin_passes_its_connection_on(self) -> None:
        """Transactions keep connections for long: other proxies wait for them."""

        async def work() -> None:
            rig = Rig()
            rig.leader.refuse[Begin] = Code.BUSY
            session = rig.session()
            await rig.run(session, Begin(), "b")
            await rig.run(session, Write("item", "data"), "w")
            self.assertEqual(rig.fleet.lender(rig.leader.entry()).held, 0)

        run_virtual(work())
