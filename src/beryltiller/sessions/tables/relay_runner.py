"""Run the relay: publish and receive table changes, and maintain feeder leases."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from beryltiller.core.ports import PortError, TableRows, Write
from beryltiller.observability import logs, session_events
from beryltiller.sessions.tables import relay_messages
from beryltiller.sessions.tables.relay import (
    Feeder,
    FeederAnnouncement,
    Relay,
    TableChange,
)
from beryltiller.sessions.tables.relay_messages import Packet, RelayMessageError
from beryltiller.sessions.tables.store_time import StoreTime
from beryltiller.sessions.tables.table_follower import TableFollower

FEEDER_LEASES_TABLE = "feeders"
# How often `announce` is called.
ANNOUNCE_SECONDS = 0.5
# Proxies that start together in a zone first read the leases after a random delay of
# up to this long; the first ones take the leases.
MAX_FIRST_POLL_DELAY_SECONDS = 1.5
# The minimum time between two log messages about refused relay messages.
REFUSAL_LOG_SECONDS = 60.0
# The longest time between two polls of the leases.
LEASE_POLL_SECONDS = 60.0
# The poll interval while a lease may be taken or the leases could not be read.
AVAILABLE_LEASE_POLL_SECONDS = 3.0


class BroadcastPort(Protocol):
    """A transport that broadcasts messages from a proxy to its subscribers."""

    def publish(self, data: bytes) -> None:
        """Send a message to all present subscribers."""
        ...

    def subscribe(self, addresses: Iterable[str]) -> None:
        """Receive messages from the proxies at these addresses, and no others."""
        ...


class FeederLeaseStore(Protocol):
    """The part of the platform's store that holds the feeder leases."""

    async def read_all(self, table: str) -> TableRows:
        """Return all rows of the table from one consistent snapshot."""
        ...

    async def commit(self, writes: tuple[Write, ...]) -> int:
        """Write rows if their versions match, or raise `RefusedError`."""
        ...


class RelayRunner:
    """Runs one proxy's part in the relay of its availability zone.

    The proxy receives changes from feeders, or is a feeder itself. Use it on a single
    event loop.
    """

    def __init__(
        self,
        own: Feeder,
        keys: tuple[str, ...],
        store: FeederLeaseStore,
        rng: random.Random,
        clock: Callable[[], float],
        store_time: StoreTime | None = None,
    ) -> None:
        """Create a runner that may take a lease at `keys`; call `connect` before use.

        `rng` supplies random delays, so that proxies do not poll all at once. The times
        in the store's answers set `store_time`.
        """
        self._own = own
        self._keys = keys
        self._store = store
        self._rng = rng
        self._clock = clock
        self._store_time = store_time or StoreTime()
        self._relay = Relay(own)
        self._followers: dict[str, TableFollower] = {}
        self._broadcast: BroadcastPort | None = None
        self._report_feeders: Callable[[Sequence[Feeder]], None] | None = None
        self._next_refusal_log = float("-inf")

    def connect(self, broadcast: BroadcastPort) -> None:
        """Set the transport used to send and receive messages."""
        self._broadcast = broadcast

    def report_feeders(self, report: Callable[[Sequence[Feeder]], None]) -> None:
        """Pass the feeders of all availability zones to `report` once they are read."""
        self._report_feeders = report

    def add_follower(self, follower: TableFollower) -> None:
        """Pass received changes to a follower, and announce the state of its table."""
        self._followers[follower.table] = follower

    def has_live_feeder(self, table: str) -> bool:
        """Return True if a live feeder that reaches the store relays the table."""
        return self._relay.has_live_feeder(table, self._clock())

    def is_current(self, table: str, revision: int) -> bool:
        """Return True if no live feeder knows of changes after a revision."""
        return self._relay.is_current(table, revision, self._clock())

    def known_until(self, table: str, revision: int) -> int:
        """Return up to which revision a proxy with all changes before one knows all."""
        return self._relay.known_until(table, revision, self._clock())

    def known_ms(self, table: str, revision: int) -> int:
        """Return until when such a proxy knows all, by the store's clock, or 0."""
        return self._relay.known_ms(table, revision, self._clock())

    def publish(self, change: TableChange | None) -> None:
        """Send others the state of the tables, with a change if there is one.

        Nothing is sent unless this proxy is a feeder.
        """
        if self._broadcast is None or not self._relay.is_feeder:
            return
        tables = {name: each.state for name, each in self._followers.items()}
        packet = Packet(FeederAnnouncement(self._own, tables), change)
        self._broadcast.publish(relay_messages.encode(packet))

    def receive(self, data: bytes) -> None:
        """Handle a message of another proxy; drop a malformed one.

        That is logged now and then, as there may be many.
        """
        try:
            packet = relay_messages.decode(data)
        except RelayMessageError as error:
            self._log_refusal(str(error))
            return
        change = packet.change
        if change is not None and change.table in self._followers:
            self._followers[change.table].apply_relayed(change)
        self._relay.record_announcement(packet.announcement, self._clock())
        for follower in self._followers.values():
            follower.wake()

    def _log_refusal(self, reason: str) -> None:
        now = self._clock()
        if now >= self._next_refusal_log:
            self._next_refusal_log = now + REFUSAL_LOG_SECONDS
            logs.log(session_events.RelayMessageRefused(reason))

    async def announce(self) -> None:
        """Announce this proxy as a feeder, if it is one.

        Call it every `ANNOUNCE_SECONDS`: proxies that receive no announcements for a
        while poll the store themselves.
        """
        self.publish(None)

    async def maintain_lease(self) -> None:
        """Poll the feeder leases and take one that is available, until cancelled."""
        await asyncio.sleep(self._rng.uniform(0.0, MAX_FIRST_POLL_DELAY_SECONDS))
        while True:
            was_read = await self._poll_leases()
            is_settled = was_read and self._relay.lease_to_take(self._clock()) is None
            await self._wait_for_next_poll(
                LEASE_POLL_SECONDS if is_settled else AVAILABLE_LEASE_POLL_SECONDS
            )

    async def _wait_for_next_poll(self, seconds: float) -> None:
        """Wait for a random time, shortened when a lease becomes available.

        The time differs between proxies, so that they do not poll all at once.
        """
        until = self._clock() + self._rng.uniform(0.5, 1.0) * seconds
        while self._clock() < until:
            await asyncio.sleep(1.0)
            if self._relay.lease_to_take(self._clock()) is not None:
                until = min(until, self._clock() + self._rng.uniform(0.0, 2.0))

    async def _poll_leases(self) -> bool:
        """Read the leases and take one if possible; return False on a store error."""
        try:
            await self._read_leases()
            lease = self._relay.lease_to_take(self._clock())
            if lease is not None:
                value = relay_messages.encode_feeder(self._own)
                write = Write(FEEDER_LEASES_TABLE, lease.key, lease.version, value)
                await self._store.commit((write,))
                logs.log(
                    session_events.FeederLeaseTaken(
                        lease.key, lease.holder.name if lease.holder else ""
                    )
                )
                await self._read_leases()
        except PortError:
            # Without leases every proxy polls the store itself.
            return False
        return True

    async def _read_leases(self) -> None:
        asked_at = self._clock()
        scan = await self._store.read_all(FEEDER_LEASES_TABLE)
        if scan.now_ms is not None:
            self._store_time.record(asked_at, scan.now_ms, self._clock())
        leases = relay_messages.decode_leases(self._keys, scan.rows)
        self._relay.update_leases(leases, self._clock())
        if self._report_feeders is not None:
            self._report_feeders(relay_messages.decode_feeders(scan.rows))
        if self._broadcast is not None:
            self._broadcast.subscribe(
                each.address for each in self._relay.other_feeders
            )
