"""Carry out the relay: publish what feeders know, hear it, and look after the posts."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from beryltiller.core.ports import PortError, Scan, Write
from beryltiller.observability import logs
from beryltiller.sessions import relay_messages
from beryltiller.sessions.following import TableFollower
from beryltiller.sessions.relay import Announcement, Feeder, Relay, TableChange
from beryltiller.sessions.relay_messages import Packet, RelayMessageError

POSTS_TABLE = "feeders"
# How often `announce` is called.
ANNOUNCE_SECONDS = 0.5
# All proxies of a zone may start together: the first ones take the posts.
FIRST_LOOK_SECONDS = 1.5
LOOK_SECONDS = 60.0
# How soon the posts are looked at again while one is vacant, or could not be read.
VACANT_LOOK_SECONDS = 3.0


class BroadcastPort(Protocol):
    """Messages to all that subscribe, and from those subscribed to."""

    def publish(self, data: bytes) -> None:
        """Send a message to all that subscribe now."""
        ...

    def subscribe(self, addresses: Iterable[str]) -> None:
        """Hear exactly the proxies at these addresses from now on."""
        ...


class PostStore(Protocol):
    """The part of the platform's store that keeps the posts."""

    async def whole(self, table: str) -> Scan:
        """Return every row of the table as of one moment."""
        ...

    async def commit(self, writes: tuple[Write, ...]) -> int:
        """Write rows under a condition, or raise `RefusedError`."""
        ...


class Feeding:
    """Be fed by the zone's feeders, or feed it; on one event loop."""

    def __init__(
        self,
        own: Feeder,
        keys: tuple[str, ...],
        store: PostStore,
        source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Share the zone's posts, whose keys are given; `connect` comes next."""
        self._own = own
        self._keys = keys
        self._store = store
        self._source = source
        self._clock = clock
        self._relay = Relay(own)
        self._followers: dict[str, TableFollower] = {}
        self._broadcast: BroadcastPort | None = None

    def connect(self, broadcast: BroadcastPort) -> None:
        """Publish and hear through `broadcast`."""
        self._broadcast = broadcast

    def add(self, follower: TableFollower) -> None:
        """Feed a table's follower, and others from it."""
        self._followers[follower.table] = follower

    def is_fed(self, table: str) -> bool:
        """Tell whether a feeder that reaches the store tells of the table's changes."""
        return self._relay.is_fed(table, self._clock())

    def is_current(self, table: str, revision: int) -> bool:
        """Tell whether no feeder knows of changes after a revision."""
        return self._relay.is_current(table, revision, self._clock())

    def publish(self, change: TableChange | None) -> None:
        """Tell others of a change, or of how the tables stand, if this proxy feeds."""
        if self._broadcast is None or not self._relay.is_feeder:
            return
        tables = {name: each.state for name, each in self._followers.items()}
        packet = Packet(Announcement(self._own, tables), change)
        self._broadcast.publish(relay_messages.encode(packet))

    def received(self, data: bytes) -> None:
        """Take in a message of another proxy; one that cannot be read is dropped."""
        try:
            packet = relay_messages.decode(data)
        except RelayMessageError as error:
            logs.log(logs.RelayMessageRefused(str(error)))
            return
        change = packet.change
        if change is not None and change.table in self._followers:
            self._followers[change.table].take(change)
        self._relay.heard(packet.announcement, self._clock())
        for follower in self._followers.values():
            follower.wake()

    async def announce(self) -> None:
        """Tell others that this proxy feeds them, as it must at regular times."""
        self.publish(None)

    async def look_after_posts(self) -> None:
        """Read who holds the posts, and take one that is vacant; until cancelled."""
        await asyncio.sleep(self._source.uniform(0.0, FIRST_LOOK_SECONDS))
        while True:
            was_read = await self._look()
            is_settled = was_read and self._relay.vacancy(self._clock()) is None
            await self._rest(LOOK_SECONDS if is_settled else VACANT_LOOK_SECONDS)

    async def _rest(self, seconds: float) -> None:
        """Wait for a time that differs from proxy to proxy, or until a post is free."""
        until = self._clock() + self._source.uniform(0.5, 1.0) * seconds
        while self._clock() < until:
            await asyncio.sleep(1.0)
            if self._relay.vacancy(self._clock()) is not None:
                until = min(until, self._clock() + self._source.uniform(0.0, 2.0))

    async def _look(self) -> bool:
        """Read the posts, take one if need be, and tell whether the store answered."""
        try:
            await self._read()
            post = self._relay.vacancy(self._clock())
            if post is not None:
                value = relay_messages.encode_feeder(self._own)
                write = Write(POSTS_TABLE, post.key, post.version, value)
                await self._store.commit((write,))
                logs.log(
                    logs.PostTaken(post.key, post.holder.name if post.holder else "")
                )
                await self._read()
        except PortError:
            # Without posts every proxy asks the store itself.
            return False
        return True

    async def _read(self) -> None:
        scan = await self._store.whole(POSTS_TABLE)
        posts = relay_messages.decode_posts(self._keys, scan.rows)
        self._relay.posted(posts, self._clock())
        if self._broadcast is not None:
            self._broadcast.subscribe(each.address for each in self._relay.others)
