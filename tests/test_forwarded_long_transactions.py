"""Tests of long transactions of a proxy that forwards statements to holders."""

import asyncio
import unittest

from beryltiller.sessions.running.transaction_holds import MIN_STATEMENTS
from beryltiller.sessions.statements import Begin, Code, Commit, Write
from tests.forwarding_fixture import ForwardingFixture
from tests.virtual_loop import run_virtual

# As many as the proxy has connections to a database.
SESSIONS = 3


class LongTransactionTest(unittest.TestCase):
    """A transaction that was rolled back here does not go on at a holder."""

    def test_transaction_that_was_ended_here_is_not_begun_at_a_holder(self) -> None:
        """Guards against a commit that keeps only the last part of a transaction."""

        async def work() -> None:
            fixture = ForwardingFixture()
            proxy = fixture.others[0]
            for each in fixture.network.faults.values():
                each.is_unreachable = True
            sessions = [proxy.group.session() for _ in range(SESSIONS)]
            for session in sessions:
                await proxy.group.run(session, Begin())
            for _ in range(MIN_STATEMENTS):
                for session in sessions:
                    reply = await proxy.group.run(session, Write("i", "d"))
                    self.assertTrue(reply.is_success, reply)
                await asyncio.sleep(0.1)
            other = await proxy.group.run(proxy.group.session(), Write("i", "d"))
            self.assertTrue(other.is_success)
            for each in fixture.network.faults.values():
                each.is_unreachable = False
            # The holder is avoided until then.
            await asyncio.sleep(2.5)
            fixture.network.sent.clear()
            codes = []
            for session in sessions:
                codes.append((await proxy.group.run(session, Write("i", "d"))).code)
                codes.append((await proxy.group.run(session, Commit())).code)
            self.assertEqual(codes.count(Code.ABORTED), 2)
            self.assertEqual(codes.count(None), 2 * (SESSIONS - 1))
            self.assertEqual(fixture.network.sent, [])
            fixture.close()

        run_virtual(work())
