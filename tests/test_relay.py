"""Tests of the relay: feeder leases, relayed changes and polls of the store."""

import asyncio
import unittest
from contextlib import AsyncExitStack

from beryltiller.adapters.broadcast import Broadcast, BroadcastError
from beryltiller.core import revisions
from beryltiller.core.ports import Row
from beryltiller.sessions.tables import relay_messages
from beryltiller.sessions.tables.relay import (
    FEEDER_TIMEOUT_SECONDS,
    MAX_ANNOUNCEMENT_AGE_SECONDS,
    Feeder,
    FeederAnnouncement,
    FeederLease,
    Relay,
    TableChange,
    TableState,
)
from beryltiller.sessions.tables.relay_messages import MAX_CHANGE_BYTES
from tests.relay_zone import KEYS, TABLE, Zone
from tests.virtual_loop import run_virtual, virtual_now

A, B, C = (Feeder(name, f"127.0.0.1:{port}") for port, name in enumerate("abc", 1))


class RelayTest(unittest.TestCase):
    """Feeders are relied on while they send announcements and reach the store."""

    def setUp(self) -> None:
        self.relay = Relay(C)
        self.relay.update_leases(
            (FeederLease(KEYS[0], 5, A), FeederLease(KEYS[1], 6, B)), now=0.0
        )

    def announce(
        self, feeder: Feeder, now: float, changed: int = 1, is_reachable: bool = True
    ) -> None:
        state = TableState(changed, is_reachable)
        self.relay.record_announcement(FeederAnnouncement(feeder, {TABLE: state}), now)

    def test_silent_feeder_is_not_relied_on(self) -> None:
        self.assertFalse(self.relay.has_live_feeder(TABLE, 0.0))
        self.announce(A, 1.0)
        self.assertTrue(
            self.relay.has_live_feeder(TABLE, 1.0 + MAX_ANNOUNCEMENT_AGE_SECONDS)
        )
        self.assertFalse(
            self.relay.has_live_feeder(TABLE, 1.1 + MAX_ANNOUNCEMENT_AGE_SECONDS)
        )
        self.assertFalse(self.relay.has_live_feeder("other", 1.0))

    def test_feeder_cut_off_from_the_store_is_not_relied_on(self) -> None:
        self.announce(A, 1.0, is_reachable=False)
        self.assertFalse(self.relay.has_live_feeder(TABLE, 1.0))
        self.announce(B, 1.0)
        self.assertTrue(self.relay.has_live_feeder(TABLE, 1.0))

    def test_change_known_to_any_feeder_makes_a_copy_outdated(self) -> None:
        self.announce(A, 1.0, changed=7)
        self.announce(B, 1.0, changed=9)
        self.assertFalse(self.relay.is_current(TABLE, 8, 1.0))
        self.assertTrue(self.relay.is_current(TABLE, 9, 1.0))

    def test_feeder_of_an_earlier_era_or_release_is_not_relied_on(self) -> None:
        """Guards against missed changes while an older release's processes feed."""
        own = revisions.join(2, 50)
        for changed in (90, revisions.join(1, 90)):
            with self.subTest(changed):
                self.announce(A, 1.0, changed)
                self.assertFalse(self.relay.is_current(TABLE, own, 1.0))
        self.announce(B, 1.0, revisions.join(2, 40))
        self.assertTrue(self.relay.is_current(TABLE, own, 1.0))

    def test_feeder_that_has_read_later_shows_that_nothing_was_missed(self) -> None:
        cases = {
            "read later": (TableState(7, True, read_until=20), 20),
            "has read less": (TableState(7, True, read_until=8), 9),
            "knows of a change": (TableState(10, True, read_until=20), 9),
            "receives a change": (TableState(7, True, True, read_until=20), 9),
            "does not reach the store": (TableState(7, False, read_until=20), 9),
            "tells nothing": (TableState(7, True), 9),
        }
        for name, (state, expected) in cases.items():
            with self.subTest(name):
                announcement = FeederAnnouncement(A, {TABLE: state})
                self.relay.record_announcement(announcement, 1.0)
                self.assertEqual(self.relay.known_until(TABLE, 9, 1.0), expected)
        silent_at = 1.1 + MAX_ANNOUNCEMENT_AGE_SECONDS
        self.assertEqual(self.relay.known_until(TABLE, 9, silent_at), 9)

    def test_feeder_tells_until_when_it_has_read_by_the_stores_clock(self) -> None:
        cases = {
            "knows no later change": (TableState(7, True, known_ms=20), 20),
            "knows of a change": (TableState(10, True, known_ms=20), 0),
            "does not reach the store": (TableState(7, False, known_ms=20), 0),
            "tells nothing": (TableState(7, True), 0),
        }
        for name, (state, expected) in cases.items():
            with self.subTest(name):
                announcement = FeederAnnouncement(A, {TABLE: state})
                self.relay.record_announcement(announcement, 1.0)
                self.assertEqual(self.relay.known_ms(TABLE, 9, 1.0), expected)

    def test_lease_of_a_silent_holder_is_available(self) -> None:
        self.announce(B, FEEDER_TIMEOUT_SECONDS)
        self.assertIsNone(self.relay.lease_to_take(FEEDER_TIMEOUT_SECONDS))
        self.assertEqual(
            self.relay.lease_to_take(FEEDER_TIMEOUT_SECONDS + 0.1),
            FeederLease(KEYS[0], 5, A),
        )

    def test_lease_holder_takes_no_second_lease_and_has_no_feeder(self) -> None:
        relay = Relay(A)
        relay.update_leases((FeederLease(KEYS[0], 5, A), FeederLease(KEYS[1])), now=0.0)
        self.assertTrue(relay.is_feeder)
        self.assertIsNone(relay.lease_to_take(1000.0))
        self.assertFalse(relay.has_live_feeder(TABLE, 0.0))

    def test_announcement_without_a_lease_is_ignored(self) -> None:
        proxy_without_lease = Feeder("x", "127.0.0.9:1")
        self.announce(proxy_without_lease, 1.0)
        self.assertFalse(self.relay.has_live_feeder(TABLE, 1.0))


class RelayMessageTest(unittest.TestCase):
    """Messages survive a round trip; malformed ones are refused."""

    def test_round_trip(self) -> None:
        announcement = FeederAnnouncement(A, {TABLE: TableState(3, True)})
        change = TableChange(TABLE, 1, 3, (Row("k", 2, b"\x00v"),), ("gone",))
        packet = relay_messages.Packet(announcement, change)
        data = relay_messages.encode(packet)
        self.assertEqual(relay_messages.decode(data), packet)

    def test_large_change_is_only_announced(self) -> None:
        size = relay_messages.MAX_CHANGE_BYTES + 1
        change = TableChange(TABLE, 1, 3, (Row("k", 2, bytes(size)),))
        packet = relay_messages.Packet(FeederAnnouncement(A, {}), change)
        decoded = relay_messages.decode(relay_messages.encode(packet))
        self.assertIsNone(decoded.change)

    def test_malformed_messages_and_rows(self) -> None:
        for data in (b"", b"\xff", b"\x80", b"\x91\x01", bytes(100)):
            with (
                self.subTest(data=data),
                self.assertRaises(relay_messages.RelayMessageError),
            ):
                relay_messages.decode(data)
        rows = (Row(KEYS[0], 4, b"{"), Row("south/1", 5, b"{}"))
        leases = relay_messages.decode_leases(KEYS, rows)
        self.assertEqual(leases, (FeederLease(KEYS[0], 4), FeederLease(KEYS[1])))


class RelayRunnerTest(unittest.TestCase):
    """Few proxies poll the store, and all receive each change in time."""

    def test_store_calls_do_not_grow_with_the_proxies(self) -> None:
        async def calls(proxies: int) -> int:
            zone = Zone(proxies)
            zone.start()
            await asyncio.sleep(30)
            before = zone.store.calls
            for number in range(10):
                zone.store.change(f"k{number}")
                await asyncio.sleep(2)
            for proxy in zone.proxies:
                self.assertIn("k9", proxy.rows)
            return zone.store.calls - before

        few = run_virtual(calls(5))
        many = run_virtual(calls(100))
        self.assertLess(many, few + 100)
        self.assertLess(many, 200)

    def test_change_reaches_all_proxies_at_once(self) -> None:
        async def work() -> None:
            zone = Zone(13)
            zone.start()
            await asyncio.sleep(10)
            self.assertEqual(len(zone.feeders()), 2)
            zone.store.change("k")
            at = virtual_now()
            await asyncio.sleep(0.1)
            for proxy in zone.proxies:
                self.assertLess(proxy.rows["k"], at + 0.05)

        run_virtual(work())

    def test_large_change_over_slow_links_is_not_awaited_from_feeders_first(
        self,
    ) -> None:
        async def work() -> None:
            zone = Zone(13)
            zone.start()
            await asyncio.sleep(10.2)
            zone.store.large_change_seconds = 2.0
            zone.store.change("k", b"v" * (MAX_CHANGE_BYTES + 1))
            at = virtual_now()
            await asyncio.sleep(10)
            for proxy in zone.proxies:
                self.assertLess(proxy.rows["k"], at + 2.1)

        run_virtual(work())

    def test_failed_feeders_delay_changes_by_a_bounded_time(self) -> None:
        async def work(is_cut: bool) -> None:
            zone = Zone(13)
            zone.start()
            await asyncio.sleep(10)
            for feeder in zone.feeders():
                if is_cut:
                    feeder.is_cut = True
                else:
                    feeder.kill()
            zone.store.change("k")
            at = virtual_now()
            await asyncio.sleep(30)
            for proxy in zone.proxies:
                if proxy.tasks[0].done():
                    continue
                self.assertLess(
                    proxy.rows["k"], at + MAX_ANNOUNCEMENT_AGE_SECONDS + 0.6
                )
            living = {proxy.name for proxy in zone.proxies if not proxy.is_cut}
            self.assertLessEqual(zone.holders(), living)

        for is_cut in (False, True):
            with self.subTest(is_cut=is_cut):
                run_virtual(work(is_cut))

    def test_missed_change_is_fetched_from_the_store(self) -> None:
        async def work() -> None:
            zone = Zone(5)
            zone.start()
            await asyncio.sleep(10)
            receiver = next(p for p in zone.proxies if p not in zone.feeders())
            receiver.is_cut = True
            zone.store.change("k")
            await asyncio.sleep(0.1)
            receiver.is_cut = False
            await asyncio.sleep(0.6)
            self.assertIn("k", receiver.rows)

        run_virtual(work())

    def test_store_is_followed_again_after_an_outage(self) -> None:
        async def work() -> None:
            zone = Zone(5)
            zone.start()
            await asyncio.sleep(10)
            zone.store.is_unreachable = True
            await asyncio.sleep(8)
            for proxy in zone.proxies:
                self.assertFalse(proxy.follower.is_reachable)
            zone.store.is_unreachable = False
            zone.store.change("k")
            at = virtual_now()
            await asyncio.sleep(5)
            for proxy in zone.proxies:
                self.assertTrue(proxy.follower.is_reachable)
                self.assertLess(proxy.rows["k"], at + 2.0)

        run_virtual(work())

    def test_malformed_message_is_ignored(self) -> None:
        async def work() -> None:
            zone = Zone(1)
            zone.proxies[0].relay_runner.receive(b"\xffnonsense")

        run_virtual(work())


class BroadcastTest(unittest.TestCase):
    """Messages arrive over sockets, even after a handler has failed."""

    def test_subscribers_receive_messages(self) -> None:
        async def work() -> None:
            one = Broadcast("127.0.0.1:0", lambda data: None)
            received: list[bytes] = []
            arrived = asyncio.Event()

            def on_message(data: bytes) -> None:
                received.append(data)
                if len(received) == 1:
                    raise KeyError("unexpected")
                arrived.set()

            other = Broadcast("127.0.0.1:0", on_message)
            async with AsyncExitStack() as stack:
                one.open(stack)
                other.open(stack)
                other.subscribe([one.address])
                waiting = asyncio.create_task(arrived.wait())
                async with asyncio.timeout(20):
                    while not arrived.is_set():
                        one.publish(b"hello")
                        await asyncio.wait((waiting,), timeout=0.02)
            self.assertEqual(set(received), {b"hello"})

        asyncio.run(work())

    def test_address_in_use_is_reported(self) -> None:
        async def work() -> None:
            async with AsyncExitStack() as stack:
                one = Broadcast("127.0.0.1:0", lambda data: None)
                one.open(stack)
                with self.assertRaises(BroadcastError) as caught:
                    Broadcast(one.address, lambda data: None).open(stack)
                self.assertIn(one.address, str(caught.exception))

        asyncio.run(work())
