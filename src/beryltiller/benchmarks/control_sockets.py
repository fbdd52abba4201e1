"""Measurement of a few proxies' control over loopback sockets with the real actors.

The control benchmark uses it. Control is membership and configuration.
"""

import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from typing import Any

from beryltiller.adapters.peers import PeerKeys, Peers, PeerSettings, open_peers
from beryltiller.benchmarks.control_simulation import (
    CONFIGURATION_KEY,
    POLLERS_PER_ZONE,
)
from beryltiller.configuration import adoption, adoption_state
from beryltiller.configuration.adoption_events import AnnounceVersion, PeersChanged
from beryltiller.configuration.tables import EMPTY, KEY, Configuration, encode
from beryltiller.core.ports import Host, Row, TableRows, Write
from beryltiller.membership import membership, membership_state
from beryltiller.membership.members import Member, Members
from beryltiller.membership.membership_events import (
    HostsListed,
    LocalVersions,
    Received,
    ReportDigest,
    Tick,
)
from beryltiller.membership.messages import Message, ReplyTo
from beryltiller.process.actors import EventLoop, Mailboxes, Part, Supervisor
from beryltiller.process.control_parts import (
    ADOPTION,
    ADOPTION_TICK_SECONDS,
    MEMBERSHIP,
)
from beryltiller.process.distribution import (
    AdoptionCallbacks,
    AdoptionIO,
    to_peer_digest,
)
from beryltiller.process.gossip import (
    MembershipCallbacks,
    MembershipIO,
    is_for_membership,
)

WAIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class ControlUsage:
    """The resources that all proxies used in `seconds`, and the times of two changes.

    `killed_seconds` and `change_seconds` run until all remaining proxies know of the
    loss of a proxy, and of a new configuration.
    """

    seconds: float
    cpu_seconds: float
    messages: int
    sent_bytes: int
    most_peers: int
    reads: int
    killed_seconds: float
    change_seconds: float


class _MemoryTable:
    """A table service with only the configuration's row, in memory; it counts reads."""

    def __init__(self) -> None:
        self.row = Row(KEY, 1, encode(EMPTY))
        self.reads = 0

    async def read(self, table: str, key: str) -> Row | None:
        self.reads += 1
        return self.row

    async def scan(self, table: str, since: int = 0) -> TableRows:
        return TableRows(self.row.version, (self.row,))

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        raise NotImplementedError


class _ProxyControl:
    """One proxy's membership and adoption actors with their sockets."""

    def __init__(self, host: Host, table: _MemoryTable) -> None:
        self._host = host
        self._table = table
        self._mailboxes = Mailboxes()
        self.members: Members | None = None
        self.version = -1

    async def open(self, stack: AsyncExitStack, keys: PeerKeys) -> None:
        settings = PeerSettings("127.0.0.1:0", keys)
        self.peers: Peers = await stack.enter_async_context(
            open_peers(settings, self._receive)
        )

    def start(self, loop: EventLoop) -> None:
        parts = (self._membership_part(), self._adoption_part())
        self._supervisor = Supervisor.start(parts, loop, self._mailboxes, lambda: None)

    def list_hosts(self, hosts: tuple[Host, ...]) -> None:
        self._mailboxes.send(MEMBERSHIP, HostsListed(hosts))
        self._mailboxes.send(ADOPTION, HostsListed(hosts))

    def stop(self) -> None:
        self._supervisor.stop()

    def _membership_part(self) -> Part[Any, Any, Any]:
        callbacks = MembershipCallbacks(
            self._publish_members, self._send_digest, lambda note: None
        )
        zone = self._host.availability_zone
        me = Member(self.peers.address, self._host.name, zone, time.time_ns())
        return Part(
            MEMBERSHIP,
            membership.TICK_SECONDS,
            Tick(),
            lambda now: membership_state.State(me, hash(me.address)),
            membership.decide,
            MembershipIO(self.peers, callbacks).perform,
        )

    def _adoption_part(self) -> Part[Any, Any, Any]:
        callbacks = AdoptionCallbacks(
            self._record_configuration, self._announce_version, lambda _: None
        )
        return Part(
            ADOPTION,
            ADOPTION_TICK_SECONDS,
            Tick(),
            lambda now: adoption_state.State(self.peers.address, 1, now),
            adoption.decide,
            AdoptionIO(self.peers, self._table, callbacks).perform,
        )

    def _receive(self, message: Message, reply_to: ReplyTo) -> None:
        part = MEMBERSHIP if is_for_membership(message) else ADOPTION
        self._mailboxes.send(part, Received(message, reply_to))

    def _publish_members(self, members: Members) -> None:
        self.members = members
        rank = members.rank(CONFIGURATION_KEY, members.me.availability_zone)
        is_polling = rank is not None and rank < POLLERS_PER_ZONE
        live = tuple(member.address for member in members.live)
        self._mailboxes.send(ADOPTION, PeersChanged(live, is_polling))

    def _send_digest(self, report: ReportDigest) -> None:
        self._mailboxes.send(ADOPTION, to_peer_digest(report))

    def _record_configuration(self, configuration: Configuration) -> None:
        self.version = configuration.version

    def _announce_version(self, announcement: AnnounceVersion) -> None:
        self._mailboxes.send(
            MEMBERSHIP, LocalVersions(announcement.version, announcement.confirmed_at)
        )


def measure_sockets(hosts: tuple[Host, ...], seconds: float) -> ControlUsage:
    """Measure what the control of proxies on `hosts` uses without faults or changes.

    All proxies run in this process on one event loop, so the processor time is theirs
    and that of ZeroMQ's threads. After `seconds`, one proxy is stopped and the
    configuration is changed, and the time of each is measured.
    """
    loop = EventLoop()
    table = _MemoryTable()
    controls = [_ProxyControl(host, table) for host in hosts]
    stack = AsyncExitStack()
    try:
        loop.submit(_open_all(controls, stack)).result()
        for control in controls:
            control.start(loop)
        listed_hosts = tuple(
            replace(host, address=control.peers.address)
            for host, control in zip(hosts, controls, strict=True)
        )
        for control in controls:
            control.list_hosts(listed_hosts)
        _wait_until(lambda: _all_agree(controls))
        return _measure(controls, table, seconds)
    finally:
        for control in controls:
            control.stop()
        loop.submit(stack.aclose()).result()
        loop.close()


async def _open_all(controls: Sequence[_ProxyControl], stack: AsyncExitStack) -> None:
    keys = PeerKeys.generate()
    for control in controls:
        await control.open(stack, keys)


def _measure(
    controls: list[_ProxyControl], table: _MemoryTable, seconds: float
) -> ControlUsage:
    before = _read_sent_counters(controls)
    reads = table.reads
    cpu_started_at, started_at = time.process_time(), time.monotonic()
    time.sleep(seconds)
    cpu_seconds = time.process_time() - cpu_started_at
    elapsed = time.monotonic() - started_at
    after = _read_sent_counters(controls)
    most_peers = max(control.peers.open_channel_count for control in controls)
    reads = table.reads - reads
    *remaining, killed = controls
    killed.stop()
    killed_seconds = _wait_until(lambda: _all_agree(remaining))
    table.row = Row(KEY, 2, encode(EMPTY))
    change_seconds = _wait_until(
        lambda: all(control.version == 2 for control in remaining)
    )
    return ControlUsage(
        elapsed,
        cpu_seconds,
        after[0] - before[0],
        after[1] - before[1],
        most_peers,
        reads,
        killed_seconds,
        change_seconds,
    )


def _read_sent_counters(controls: Sequence[_ProxyControl]) -> tuple[int, int]:
    counters = [control.peers.counters for control in controls]
    messages = sum(counter["messages.sent"] for counter in counters)
    return messages, sum(counter["bytes.sent"] for counter in counters)


def _all_agree(controls: Sequence[_ProxyControl]) -> bool:
    views = [control.members for control in controls]
    return all(view is not None and len(view.live) == len(views) for view in views)


def _wait_until(condition: Callable[[], bool]) -> float:
    started_at = time.monotonic()
    while not condition() and time.monotonic() < started_at + WAIT_TIMEOUT_SECONDS:
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started_at
