"""Tests of the decisions on quotas: client, allocator and lease."""

import doctest
import unittest

from beryltiller.core import revisions
from beryltiller.core.ports import Row
from beryltiller.membership.messages import decode, encode
from beryltiller.membership.quota_messages import (
    MAX_QUOTA_ENTRIES,
    QuotaGrant,
    QuotaNeed,
    QuotaRedirect,
    QuotaReply,
    QuotaRequest,
    QuotaShare,
)
from beryltiller.quotas import buckets, demands, rules
from beryltiller.quotas.allocator import Allocator
from beryltiller.quotas.client import QuotaClient
from beryltiller.quotas.holdings import Process
from beryltiller.quotas.leases import (
    LEASE_SECONDS,
    TAKEOVER_SECONDS,
    Lease,
    LeaseModel,
    decode_lease,
    lease_key,
)
from beryltiller.quotas.rules import MAX_LENT, QuotaRules, RetryAfter, shard_of
from beryltiller.sessions.organisations import Quota

QUOTA = Quota(10.0, 2.0)
DEPTH = QuotaRules().depth(QUOTA.burst)
SHARD = shard_of("acme")
ONE, TWO = Process("one", 1), Process("two", 1)


class Exchange:
    """An allocator and clients that exchange messages without delay."""

    def __init__(self, unreported: frozenset[Process] = frozenset()) -> None:
        share = rules.max_share(5)
        self.allocator = Allocator(SHARD, 7, QuotaRules(), unreported, share, 0.0)
        self.allocator.update_limits({"acme": QUOTA}, 0.0)
        self.allocator.update_proxies(5, (), 0.0)
        self.allocator.set_listed(frozenset((ONE, TWO)), share)

    def client(self, process: Process, now: float = 0.0) -> QuotaClient:
        client = QuotaClient(SHARD, process.name, process.start, QuotaRules())
        self.send(client, now)
        return client

    def send(self, client: QuotaClient, now: float) -> QuotaReply:
        reply = self.allocator.receive(client.request(now), now)
        assert reply is not None
        client.apply(reply, now, now)
        return reply

    def tokens(self, client: QuotaClient, now: float) -> int:
        """Return how many tokens the client gets of the 1,000 that it requests."""
        client.wait("acme", now, 1000)
        reply = self.send(client, now)
        client.wait("acme", now, -1000)
        return sum(grant.count for grant in reply.grants)

    def lend(self, client: QuotaClient, now: float) -> None:
        """Let the client acquire a share by its demand."""
        for _ in range(9):
            client.arrive("acme", now)
        self.send(client, now)
        self.send(client, now + 0.1)


class AllocatorTest(unittest.TestCase):
    """The sum of tokens and of shares in use never exceeds the rate."""

    def test_bucket_starts_empty_and_fills_at_the_rate(self) -> None:
        exchange = Exchange()
        client = exchange.client(ONE)
        self.assertEqual(exchange.tokens(client, 0.0), 0)
        self.assertEqual(exchange.tokens(client, 0.5), 5)
        self.assertEqual(exchange.tokens(client, 60.0), int(DEPTH))

    def test_suspended_share_is_handed_out_and_one_in_use_is_not(self) -> None:
        exchange = Exchange()
        holder, other = exchange.client(ONE), exchange.client(TWO)
        exchange.lend(holder, 3.0)
        self.assertEqual(holder.shares, {"acme": MAX_LENT})
        exchange.tokens(other, 3.1)
        self.assertIn(exchange.tokens(other, 3.6), (4, 5))
        # The holder is not heard of, so its share is in use from 4.6 s on.
        exchange.tokens(other, 5.0)
        self.assertIn(exchange.tokens(other, 7.0), (4, 5))
        self.assertIsNone(holder.admit("acme", QUOTA, 3.2))
        self.assertTrue(holder.admit("acme", QUOTA, 5.0))

    def test_share_is_lowered_once_it_is_acknowledged(self) -> None:
        exchange = Exchange()
        holder, other = exchange.client(ONE), exchange.client(TWO)
        exchange.lend(holder, 3.0)
        for _ in range(9):
            other.arrive("acme", 30.0)
        # The reply that lowers the holder's share to nothing is lost.
        exchange.send(other, 30.0)
        lowered = exchange.allocator.receive(holder.request(31.5), 31.5)
        assert lowered is not None
        self.assertEqual(lowered.shares, (QuotaShare("acme", 0),))
        exchange.send(other, 32.0)
        self.assertEqual(other.shares, {})
        exchange.send(holder, 32.1)
        exchange.send(holder, 32.2)
        other.arrive("acme", 34.0)
        exchange.send(other, 34.0)
        self.assertEqual(holder.shares, {})
        self.assertEqual(other.shares, {"acme": MAX_LENT})

    def test_unreported_process_keeps_its_reserve_until_it_reports_or_restarts(
        self,
    ) -> None:
        for heard in (TWO, Process("two", 2)):
            with self.subTest(heard=heard):
                exchange = Exchange(frozenset((TWO,)))
                client = exchange.client(ONE)
                exchange.tokens(client, 0.0)
                self.assertEqual(exchange.tokens(client, 2.0), 5)
                exchange.client(heard, 2.0)
                reported = exchange.allocator.receive(
                    QuotaRequest(SHARD, heard.name, heard.start, 9, 7, 0, True), 2.0
                )
                self.assertIsNotNone(reported)
                self.assertIn(exchange.tokens(client, 2.5), (5, 6))

    def test_reserve_expires_with_the_shares(self) -> None:
        exchange = Exchange(frozenset((TWO,)))
        exchange.allocator.update_proxies(5, (), rules.SHARE_SECONDS)
        self.assertEqual(exchange.allocator.unreported, {TWO})
        exchange.allocator.update_proxies(5, (), rules.SHARE_SECONDS + 60)
        self.assertEqual(exchange.allocator.unreported, frozenset())

    def test_unlisted_process_is_lent_nothing(self) -> None:
        exchange = Exchange()
        exchange.allocator.set_listed(frozenset((TWO,)), MAX_LENT)
        client = exchange.client(ONE)
        exchange.lend(client, 3.0)
        self.assertEqual(client.shares, {})
        self.assertIn(ONE, exchange.allocator.processes_to_list())

    def test_late_request_and_one_of_a_former_run_change_nothing(self) -> None:
        exchange = Exchange()
        client = exchange.client(ONE)
        late = client.request(1.0)
        exchange.send(client, 1.0)
        self.assertIsNone(exchange.allocator.receive(late, 1.1))
        exchange.client(Process("one", 2), 2.0)
        self.assertIsNone(exchange.allocator.receive(client.request(2.0), 2.0))

    def test_lowered_limit_lowers_the_bucket(self) -> None:
        exchange = Exchange()
        client = exchange.client(ONE)
        exchange.tokens(client, 0.0)
        exchange.allocator.update_limits({"acme": Quota(1.0, 0.0)}, 60.0)
        self.assertLessEqual(exchange.tokens(client, 60.0), 8)


class ClientTest(unittest.TestCase):
    """Tokens, shares and rejections end at their times."""

    def test_token_is_not_used_after_its_validity(self) -> None:
        exchange = Exchange()
        client = exchange.client(ONE)
        exchange.tokens(client, 5.0)
        self.assertTrue(client.admit("acme", QUOTA, 5.3))
        self.assertIsNot(client.admit("acme", QUOTA, 5.5), True)

    def test_reply_that_is_too_late_is_dropped(self) -> None:
        exchange = Exchange()
        client = exchange.client(ONE)
        client.wait("acme", 5.0, 1)
        reply = exchange.allocator.receive(client.request(5.0), 5.0)
        assert reply is not None
        self.assertFalse(client.apply(reply, 5.0, 7.0))

    def test_lowered_share_is_acknowledged_soon_without_demand(self) -> None:
        # Else the allocator withholds a part of the rate until the next idle request.
        exchange = Exchange()
        holder, other = exchange.client(ONE), exchange.client(TWO)
        exchange.lend(holder, 3.0)
        other.arrive("acme", 30.0)
        exchange.send(other, 30.0)
        exchange.send(holder, 30.1)
        self.assertEqual(holder.shares, {})
        self.assertLess(holder.request_interval(30.1), 0.5)

    def test_share_that_a_report_leaves_out_is_not_used(self) -> None:
        """Guards against a share that the next allocator lends to another proxy."""
        client = QuotaClient(SHARD, "one", 1, QuotaRules())
        client.apply(QuotaReply(7, 0, is_report_wanted=True), 0.0, 0.0)
        for number in (1, 2):
            names = (f"{number} {each}" for each in range(MAX_QUOTA_ENTRIES // 2 + 1))
            shares = tuple(QuotaShare(name, 1000) for name in names)
            client.apply(QuotaReply(7, number, shares=shares), 0.0, 0.0)
        client.apply(QuotaReply(8, 0, is_report_wanted=True), 1.0, 1.0)
        reported = {each.organisation for each in client.request(1.0).shares}
        self.assertEqual(len(reported), MAX_QUOTA_ENTRIES)
        self.assertEqual(client.shares.keys(), reported)

    def test_rejects_locally_until_the_time_that_the_allocator_named(self) -> None:
        exchange = Exchange()
        client = exchange.client(ONE)
        exchange.tokens(client, 0.0)
        rejection = client.admit("acme", QUOTA, 0.0)
        assert isinstance(rejection, RetryAfter)
        self.assertLessEqual(rejection.seconds, 0.2)
        self.assertIsNone(client.admit("acme", QUOTA, rejection.seconds))


class LeaseTest(unittest.TestCase):
    """No two proxies have a lease at the same time."""

    def taken(self, now: float = 100.0) -> Lease:
        lease = Lease(0, ONE, "10.0.0.1:7100")
        lease.observe(None, now - TAKEOVER_SECONDS)
        claim = lease.claim(5, (TWO,), 9)
        lease.confirm(claim, 1, now, now)
        return lease

    def test_lease_is_taken_after_the_row_was_unchanged_for_long_enough(self) -> None:
        lease = Lease(0, ONE, "10.0.0.1:7100")
        self.assertFalse(lease.may_take(1e9))
        lease.observe(Row("", 3, b"x"), 100.0)
        self.assertFalse(lease.may_take(100.0 + LEASE_SECONDS))
        lease.observe(Row("", 4, b"x"), 105.0)
        self.assertFalse(lease.may_take(100.0 + TAKEOVER_SECONDS))
        self.assertTrue(lease.may_take(105.0 + TAKEOVER_SECONDS))

    def test_lease_ends_after_its_time_and_with_another_row(self) -> None:
        lease = self.taken()
        self.assertTrue(lease.is_held(109.9))
        self.assertFalse(lease.is_held(100.0 + LEASE_SECONDS))
        lease.observe(Row("", 2, b"another"), 101.0)
        self.assertFalse(lease.is_held(101.0))

    def test_own_write_whose_reply_was_lost_does_not_end_the_lease(self) -> None:
        lease = self.taken()
        claim = lease.claim(5, (), 9)
        lease.observe(Row("", 2, claim.value), 104.0)
        self.assertTrue(lease.is_held(105.0))
        self.assertFalse(lease.is_held(100.0 + LEASE_SECONDS))

    def test_row_of_before_a_restoration_is_not_trusted(self) -> None:
        claim = self.taken().claim(5, (TWO,), 9)
        for era, is_trusted in ((0, True), (1, False)):
            with self.subTest(era=era):
                lease = Lease(0, ONE, "10.0.0.1:7100")
                lease.observe(Row("", revisions.join(era, 2), claim.value), 0.0)
                self.assertEqual(lease.is_trusted, is_trusted)

    def test_row_decodes_to_what_was_encoded(self) -> None:
        claim = self.taken().claim(5, (TWO, ONE), 9)
        found = decode_lease(Row(lease_key(0), 1, claim.value))
        self.assertIsInstance(found, LeaseModel)
        self.assertEqual(found, claim.lease)
        self.assertEqual(found.holders, {ONE, TWO})


class MessagesTest(unittest.TestCase):
    """Messages decode to what was encoded; others are rejected as a whole."""

    def test_messages_decode_to_what_was_encoded(self) -> None:
        for message in (
            QuotaRequest(1, "p", 2, 3, 4, 5, True, (QuotaNeed("a", 1, 2),)),
            QuotaReply(1, 2, False, 3, 4, (QuotaGrant("a", 1),), (QuotaShare("a", 9),)),
            QuotaRedirect("10.0.0.1:7100"),
        ):
            with self.subTest(message=message):
                self.assertEqual(decode(encode(message)).unwrap(), message)

    def test_values_out_of_range_are_rejected(self) -> None:
        for message in (
            QuotaReply(1, 2, shares=(QuotaShare("a", 1_000_001),)),
            QuotaReply(1, 2, grants=(QuotaGrant("a", -1),)),
            QuotaRequest(-1, "p", 2, 3),
            QuotaRedirect("x" * 300),
        ):
            with self.subTest(message=message):
                self.assertEqual(decode(encode(message)).failure().reason, "malformed")


class ExamplesTest(unittest.TestCase):
    """The examples in the doc comments are true."""

    def test_examples(self) -> None:
        for module in (buckets, demands, rules):
            self.assertEqual(doctest.testmod(module).failed, 0)


if __name__ == "__main__":
    unittest.main()
