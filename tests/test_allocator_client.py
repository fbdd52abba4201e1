"""Tests of a proxy's requests for quotas as the proxy itself becomes known anew."""

import asyncio
import unittest
from collections import Counter

from beryltiller.membership.members import Member, Members
from beryltiller.membership.messages import Message
from beryltiller.membership.quota_messages import QuotaRedirect, QuotaRequest
from beryltiller.quota_service.allocator_client import AllocatorClient
from beryltiller.quotas.allocator import Allocator
from beryltiller.quotas.holdings import Process
from beryltiller.quotas.rules import QuotaRules, max_share, shard_of
from beryltiller.sessions.organisations import Organisation, Quota
from tests.virtual_loop import pass_time, run_virtual, virtual_now

QUOTA = Quota(10.0, 2.0)
ACME = Organisation("acme", quota=QUOTA)
SHARD = shard_of("acme")


class ClientFixture:
    """A link and, at another proxy, the allocator that knows it as `me` does."""

    def __init__(self) -> None:
        self.me = Member("10.0.0.1:1", "one", "a", 5)
        self.other = Member("10.0.0.2:1", "two", "a", 1)
        self.is_cut_off = False
        self.allocator = Allocator(SHARD, 7, QuotaRules(), (), max_share(5), 0.0)
        self.allocator.update_limits({"acme": QUOTA}, 0.0)
        self.hear_of_me()
        self.client = AllocatorClient(
            SHARD,
            self,
            lambda: Members(self.me, (self.other,)),
            lambda request: QuotaRedirect(self.other.address),
            virtual_now,
            QuotaRules(),
            Counter(),
        )

    def hear_of_me(self) -> None:
        process = Process(self.me.name, self.me.incarnation)
        self.allocator.update_proxies(5, (process,), virtual_now())
        self.allocator.set_listed(frozenset((process,)), max_share(5))

    async def request(
        self, address: str, message: Message, timeout_seconds: float
    ) -> Message:
        await asyncio.sleep(0.001)
        assert isinstance(message, QuotaRequest)
        reply = None
        if not self.is_cut_off:
            reply = self.allocator.receive(message, virtual_now())
        return reply if reply is not None else QuotaRedirect()

    async def count_admitted(self, seconds: float) -> int:
        end, admitted = virtual_now() + seconds, 0
        while virtual_now() < end:
            admitted += await self.client.admit(ACME, QUOTA, 0.5) is None
            await asyncio.sleep(0.02)
        return admitted


class LaterStartTest(unittest.TestCase):
    """A process whose start was raised by membership has no shares of the former."""

    def test_raised_start_is_served_and_ends_the_shares(self) -> None:
        """Guards against shares that the allocator has handed out to others too."""

        async def work() -> None:
            fixture = ClientFixture()
            running = asyncio.create_task(fixture.client.run())
            await fixture.count_admitted(10.0)
            fixture.me = Member("10.0.0.1:1", "one", "a", 9)
            fixture.hear_of_me()
            fixture.is_cut_off = True
            await pass_time(2.0)
            self.assertEqual(await fixture.count_admitted(5.0), 0)
            fixture.is_cut_off = False
            await pass_time(2.0)
            self.assertGreater(await fixture.count_admitted(5.0), 40)
            running.cancel()

        run_virtual(work())
