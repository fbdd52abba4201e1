"""Tests of the relay: who feeds a zone, and what the fed ask the store themselves."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack

from beryltiller.adapters.broadcast import Broadcast, BroadcastError
from beryltiller.core.ports import (
    Changes,
    LostAnswerError,
    RefusedError,
    Row,
    Scan,
    Write,
)
from beryltiller.process import upkeep
from beryltiller.sessions import relay_messages
from beryltiller.sessions.feeding import ANNOUNCE_SECONDS, POSTS_TABLE, Feeding
from beryltiller.sessions.following import FEED_WAIT_SECONDS, Rows, TableFollower
from beryltiller.sessions.relay import (
    DEPARTED_SECONDS,
    FRESH_SECONDS,
    Announcement,
    Feeder,
    Post,
    Relay,
    TableChange,
    TableState,
    post_keys,
)
from tests.virtual_loop import run_virtual, virtual_now

ZONE = "north"
TABLE = "entries"
KEYS = post_keys(ZONE)
A, B, C = (Feeder(name, f"127.0.0.1:{port}") for port, name in enumerate("abc", 1))


class RelayTest(unittest.TestCase):
    """Feeders are relied on while they are heard and reach the store."""

    def setUp(self) -> None:
        self.relay = Relay(C)
        self.relay.posted((Post(KEYS[0], 5, A), Post(KEYS[1], 6, B)), now=0.0)

    def hear(
        self, feeder: Feeder, now: float, changed: int = 1, well: bool = True
    ) -> None:
        state = TableState(changed, well)
        self.relay.heard(Announcement(feeder, {TABLE: state}), now)

    def test_silent_feeder_is_not_relied_on(self) -> None:
        self.assertFalse(self.relay.is_fed(TABLE, 0.0))
        self.hear(A, 1.0)
        self.assertTrue(self.relay.is_fed(TABLE, 1.0 + FRESH_SECONDS))
        self.assertFalse(self.relay.is_fed(TABLE, 1.1 + FRESH_SECONDS))
        self.assertFalse(self.relay.is_fed("other", 1.0))

    def test_feeder_that_does_not_reach_the_store_feeds_nobody(self) -> None:
        self.hear(A, 1.0, well=False)
        self.assertFalse(self.relay.is_fed(TABLE, 1.0))
        self.hear(B, 1.0)
        self.assertTrue(self.relay.is_fed(TABLE, 1.0))

    def test_change_that_any_feeder_knows_of_is_asked_for(self) -> None:
        self.hear(A, 1.0, changed=7)
        self.hear(B, 1.0, changed=9)
        self.assertFalse(self.relay.is_current(TABLE, 8, 1.0))
        self.assertTrue(self.relay.is_current(TABLE, 9, 1.0))

    def test_post_of_a_silent_holder_is_taken(self) -> None:
        self.hear(B, DEPARTED_SECONDS)
        self.assertIsNone(self.relay.vacancy(DEPARTED_SECONDS))
        self.assertEqual(
            self.relay.vacancy(DEPARTED_SECONDS + 0.1), Post(KEYS[0], 5, A)
        )

    def test_holder_takes_no_other_post_and_is_not_fed(self) -> None:
        relay = Relay(A)
        relay.posted((Post(KEYS[0], 5, A), Post(KEYS[1])), now=0.0)
        self.assertTrue(relay.is_feeder)
        self.assertIsNone(relay.vacancy(1000.0))
        self.assertFalse(relay.is_fed(TABLE, 0.0))

    def test_who_holds_no_post_is_not_heard(self) -> None:
        stranger = Feeder("x", "127.0.0.9:1")
        self.hear(stranger, 1.0)
        self.assertFalse(self.relay.is_fed(TABLE, 1.0))


class MessageTest(unittest.TestCase):
    """Messages keep what they say; what cannot be read is refused."""

    def test_round_trip(self) -> None:
        announcement = Announcement(A, {TABLE: TableState(3, True)})
        change = TableChange(TABLE, 1, 3, (Row("k", 2, b"\x00v"),), ("gone",))
        packet = relay_messages.Packet(announcement, change)
        data = relay_messages.encode(packet)
        self.assertEqual(relay_messages.decode(data), packet)

    def test_large_change_is_only_announced(self) -> None:
        size = relay_messages.MAX_CHANGE_BYTES + 1
        change = TableChange(TABLE, 1, 3, (Row("k", 2, bytes(size)),))
        packet = relay_messages.Packet(Announcement(A, {}), change)
        decoded = relay_messages.decode(relay_messages.encode(packet))
        self.assertIsNone(decoded.change)

    def test_unreadable_messages_and_rows(self) -> None:
        for data in (b"", b"\xff", b"\x80", b"\x91\x01", bytes(100)):
            with (
                self.subTest(data=data),
                self.assertRaises(relay_messages.RelayMessageError),
            ):
                relay_messages.decode(data)
        rows = (Row(KEYS[0], 4, b"{"), Row("south/1", 5, b"{}"))
        posts = relay_messages.decode_posts(KEYS, rows)
        self.assertEqual(posts, (Post(KEYS[0], 4), Post(KEYS[1])))


class FakeStore:
    """A store with one table to follow and the posts; every call is counted."""

    def __init__(self) -> None:
        self.revision = 1
        self.log: list[Row] = [Row("first", 1, b"1")]
        self.posts: dict[str, Row] = {}
        self.is_away = False
        self.calls = 0
        self._changed = asyncio.Event()

    def change(self, key: str, value: bytes = b"v") -> None:
        self.revision += 1
        self.log.append(Row(key, self.revision, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def whole(self, table: str) -> Scan:
        self.check()
        if table == POSTS_TABLE:
            return Scan(self.revision, tuple(self.posts.values()))
        newest = {row.key: row for row in self.log}
        return Scan(self.revision, tuple(newest.values()))

    async def changes(self, table: str, after: int, wait_seconds: float) -> Changes:
        self.check()
        if self.revision <= after:
            try:
                async with asyncio.timeout(wait_seconds):
                    await self._changed.wait()
            except TimeoutError:
                pass
        rows = {row.key: row for row in self.log if row.version > after}
        return Changes(self.revision, tuple(rows.values()))

    async def commit(self, writes: tuple[Write, ...]) -> int:
        self.check()
        (write,) = writes
        present = self.posts.get(write.key)
        if (present.version if present else 0) != write.expected:
            raise RefusedError("conflict")
        self.revision += 1
        self.posts[write.key] = Row(write.key, self.revision, write.value)
        return self.revision

    def check(self) -> None:
        self.calls += 1
        if self.is_away:
            raise LostAnswerError("away")


class Zone:
    """Proxies of one zone that hear each other at once, but for those cut off."""

    def __init__(self, proxies: int) -> None:
        self.store = FakeStore()
        self.tasks: list[asyncio.Task[None]] = []
        self.proxies = [ZoneProxy(self, number) for number in range(proxies)]

    def start(self) -> None:
        for proxy in self.proxies:
            proxy.start()

    def feeders(self) -> list["ZoneProxy"]:
        return [proxy for proxy in self.proxies if proxy.name in self.holders()]

    def holders(self) -> set[str]:
        posts = relay_messages.decode_posts(KEYS, tuple(self.store.posts.values()))
        return {post.holder.name for post in posts if post.holder}


class ZoneProxy:
    """One proxy's relay and follower."""

    def __init__(self, zone: Zone, number: int) -> None:
        self.zone = zone
        self.name = f"p{number:03}"
        self.address = f"127.0.0.1:{number + 1}"
        self.is_cut = False
        self.rows: dict[str, float] = {}
        self.heard_from: set[str] = set()
        source = random.Random(number)
        own = Feeder(self.name, self.address)
        self.feeding = Feeding(own, KEYS, zone.store, source, virtual_now)
        self.follower = TableFollower(
            zone.store, TABLE, self.take, source, self.feeding
        )
        self.feeding.add(self.follower)
        self.feeding.connect(self)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        work = (
            self.follower.run(),
            upkeep.every(ANNOUNCE_SECONDS, self.feeding.announce),
            self.feeding.look_after_posts(),
        )
        self.tasks = [loop.create_task(each) for each in work]

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()

    def take(self, rows: Rows) -> None:
        for key in rows:
            self.rows.setdefault(key, virtual_now())

    def publish(self, data: bytes) -> None:
        for proxy in self.zone.proxies:
            if self.address in proxy.heard_from and not (self.is_cut or proxy.is_cut):
                asyncio.get_running_loop().call_later(
                    0.001, proxy.feeding.received, data
                )

    def subscribe(self, addresses: Iterable[str]) -> None:
        self.heard_from = set(addresses)


class ScriptedRelay:
    """A relay that says what it is told to, and keeps what is published."""

    def __init__(self) -> None:
        self.fed = False
        self.current = True
        self.published: list[TableChange | None] = []

    def is_fed(self, table: str) -> bool:
        return self.fed

    def is_current(self, table: str, revision: int) -> bool:
        return self.current

    def publish(self, change: TableChange | None) -> None:
        self.published.append(change)


class ScriptedFeed:
    """A feed whose answers come when they are given."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.afters: list[int] = []
        self.answers: asyncio.Queue[Changes | Exception] = asyncio.Queue()

    async def whole(self, table: str) -> Scan:
        return Scan(10, (Row("a", 5, b"old"),))

    async def changes(self, table: str, after: int, wait_seconds: float) -> Changes:
        self.waits.append(wait_seconds)
        self.afters.append(after)
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


class FollowerTest(unittest.TestCase):
    """What a feeder tells and what the store answers make one history."""

    def play(
        self,
        steps: Callable[[TableFollower, ScriptedFeed, ScriptedRelay], Awaitable[None]],
    ) -> dict[str, bytes]:
        """Return the rows that the follower has after the steps."""
        rows: dict[str, bytes] = {}

        def on_rows(found: Rows) -> None:
            rows.clear()
            rows.update({key: row.value for key, row in found.items()})

        async def work() -> None:
            feed, relay = ScriptedFeed(), ScriptedRelay()
            follower = TableFollower(feed, TABLE, on_rows, random.Random(1), relay)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(1.0)
            await steps(follower, feed, relay)
            await asyncio.sleep(1.0)
            task.cancel()

        run_virtual(work())
        return rows

    def test_change_on_top_of_one_that_was_missed_is_not_taken(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            follower.take(TableChange(TABLE, 11, 13, (Row("c", 13, b"new"),)))
            feed.answers.put_nowait(Changes(11, ()))
            await asyncio.sleep(0.1)
            self.assertEqual(feed.afters, [10, 11])
            missed = (Row("b", 12, b"new"), Row("c", 13, b"new"))
            feed.answers.put_nowait(Changes(13, missed))

        self.assertEqual(self.play(steps), {"a": b"old", "b": b"new", "c": b"new"})

    def test_older_word_changes_nothing(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            follower.take(TableChange(TABLE, 10, 13, (Row("a", 13, b"new"),)))
            follower.take(TableChange(TABLE, 10, 12, (Row("a", 12, b"older"),)))
            whole = (Row("a", 9, b"oldest"),)
            follower.take(TableChange(TABLE, 0, 9, whole, (), True))

        self.assertEqual(self.play(steps), {"a": b"new"})

    def test_late_answer_of_the_store_changes_nothing(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            follower.take(TableChange(TABLE, 10, 13, (Row("a", 13, b"new"),)))
            feed.answers.put_nowait(Changes(12, (Row("a", 12, b"older"),)))

        self.assertEqual(self.play(steps), {"a": b"new"})

    def test_missed_change_is_asked_for_without_waiting(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            relay.fed, relay.current = True, False
            feed.answers.put_nowait(Changes(11, ()))
            await asyncio.sleep(0.1)
            self.assertEqual(feed.waits, [FEED_WAIT_SECONDS, 0.0])

        self.play(steps)

    def test_store_that_is_lost_or_back_is_told_at_once(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            relay.published.clear()
            feed.answers.put_nowait(LostAnswerError("away"))
            await asyncio.sleep(0.0)
            await asyncio.sleep(0.0)
            self.assertEqual(relay.published, [None])
            self.assertFalse(follower.state.is_reachable)
            feed.answers.put_nowait(Changes(11, ()))
            await asyncio.sleep(1.0)
            self.assertEqual(relay.published, [None, None])

        self.play(steps)


class FeedingTest(unittest.TestCase):
    """Few proxies ask the store, and all know of each change in time."""

    def test_calls_do_not_grow_with_the_proxies(self) -> None:
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

    def test_change_is_known_at_once(self) -> None:
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

    def test_dead_or_cut_feeders_delay_no_change_beyond_the_bound(self) -> None:
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
                self.assertLess(proxy.rows["k"], at + FRESH_SECONDS + 0.6)
            living = {proxy.name for proxy in zone.proxies if not proxy.is_cut}
            self.assertLessEqual(zone.holders(), living)

        for is_cut in (False, True):
            with self.subTest(is_cut=is_cut):
                run_virtual(work(is_cut))

    def test_change_that_was_missed_is_asked_for(self) -> None:
        async def work() -> None:
            zone = Zone(5)
            zone.start()
            await asyncio.sleep(10)
            fed = next(p for p in zone.proxies if p not in zone.feeders())
            fed.is_cut = True
            zone.store.change("k")
            await asyncio.sleep(0.1)
            fed.is_cut = False
            await asyncio.sleep(0.6)
            self.assertIn("k", fed.rows)

        run_virtual(work())

    def test_store_that_was_away_is_followed_again(self) -> None:
        async def work() -> None:
            zone = Zone(5)
            zone.start()
            await asyncio.sleep(10)
            zone.store.is_away = True
            await asyncio.sleep(8)
            for proxy in zone.proxies:
                self.assertFalse(proxy.follower.is_reachable)
            zone.store.is_away = False
            zone.store.change("k")
            at = virtual_now()
            await asyncio.sleep(5)
            for proxy in zone.proxies:
                self.assertTrue(proxy.follower.is_reachable)
                self.assertLess(proxy.rows["k"], at + 2.0)

        run_virtual(work())

    def test_unreadable_message_harms_nothing(self) -> None:
        async def work() -> None:
            zone = Zone(1)
            zone.proxies[0].feeding.received(b"\xffnonsense")

        run_virtual(work())


class BroadcastTest(unittest.TestCase):
    """Messages arrive over sockets, also after one that could not be handled."""

    def test_subscribers_hear(self) -> None:
        async def work() -> None:
            one = Broadcast("127.0.0.1:0", lambda data: None)
            heard: list[bytes] = []
            arrived = asyncio.Event()

            def on_message(data: bytes) -> None:
                heard.append(data)
                if len(heard) == 1:
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
            self.assertEqual(set(heard), {b"hello"})

        asyncio.run(work())

    def test_address_in_use_is_told(self) -> None:
        async def work() -> None:
            async with AsyncExitStack() as stack:
                one = Broadcast("127.0.0.1:0", lambda data: None)
                one.open(stack)
                with self.assertRaises(BroadcastError) as caught:
                    Broadcast(one.address, lambda data: None).open(stack)
                self.assertIn(one.address, str(caught.exception))

        asyncio.run(work())
