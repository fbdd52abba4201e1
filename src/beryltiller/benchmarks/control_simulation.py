"""Simulation of many proxies' control decisions in one process, without I/O.

Control is membership and configuration. The simulation runs the daemon's decision
functions on a virtual clock, which is a queue of scheduled calls. A seeded random
generator decides which messages are lost. Tests and the control benchmark use it to
run hundreds of proxies within seconds. It has no statements and no databases.
"""

import heapq
import itertools
import math
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from beryltiller.configuration import adoption, adoption_events
from beryltiller.configuration.adoption_events import AskPeer, PutInForce, ReadStore
from beryltiller.configuration.adoption_state import State as Adoption
from beryltiller.core.ports import Host, HostKind, Row
from beryltiller.membership import membership, membership_events
from beryltiller.membership.members import Member, Members
from beryltiller.membership.membership_events import (
    HostsListed,
    LocalVersions,
    Received,
    Reply,
    Tick,
)
from beryltiller.membership.membership_state import State as Membership
from beryltiller.membership.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Message,
    ReplyTo,
    decode,
    encode,
)
from beryltiller.process.distribution import to_peer_digest

LATENCY_SECONDS = 0.0005
HOST_LIST_SECONDS = 5.0
# The proxies of an availability zone are ranked by this key; the first
# `POLLERS_PER_ZONE` of them poll the table service for the configuration.
POLLERS_PER_ZONE = 2
CONFIGURATION_KEY = "configuration"

_ScheduledCall = tuple[float, int, Callable[[], object]]


@dataclass(slots=True)
class SimulatedStore:
    """The table service, with the configuration's row and a count of its reads.

    `is_down` returns True if the proxy at an address cannot read.
    """

    row: Row | None = None
    is_down: Callable[[str], bool] = lambda address: False
    reads: int = 0


@dataclass(slots=True)
class SimulatedProxy:
    """The control state of one proxy, with counts of what it has used.

    `applied_versions` are the configuration versions that it has put in force, in
    order; `sent_counts` counts messages and bytes; `contacted_peers` are the addresses
    that it has sent requests to.
    """

    membership: Membership
    adoption: Adoption
    members: Members
    applied_versions: list[int] = field(default_factory=list)
    sent_counts: Counter[str] = field(default_factory=Counter)
    cpu_seconds: float = 0.0
    contacted_peers: set[str] = field(default_factory=set)

    @property
    def address(self) -> str:
        """The proxy's peer address."""
        return self.membership.me.address


class SimulatedNetwork:
    """Proxies on a virtual clock, with faults of the network between them.

    `loss_probability` is the probability that a message is lost. `is_partitioned`
    returns True if messages from a source address do not reach a target address.
    """

    def __init__(self, seed: int) -> None:
        """Create a network without proxies at time 0."""
        self.now = 0.0
        self.store = SimulatedStore()
        self.proxies: dict[str, SimulatedProxy] = {}
        self.hosts: tuple[Host, ...] = ()
        self.loss_probability = 0.0
        self.is_partitioned: Callable[[str, str], bool] = lambda source, target: False
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._queue: list[_ScheduledCall] = []
        self._pending_replies: dict[bytes, Callable[[Message], None]] = {}

    def start(self, host: Host) -> SimulatedProxy:
        """Start a proxy on a host; it replaces the one that ran there, if any."""
        incarnation = math.floor(self.now * 1000) * 65536 + self._rng.getrandbits(16)
        me = Member(host.address, host.name, host.availability_zone, incarnation)
        seed = self._rng.getrandbits(32)
        proxy = SimulatedProxy(
            Membership(me, seed), Adoption(me.address, seed, self.now), Members(me)
        )
        self.proxies[host.address] = proxy
        self._schedule(self._rng.random() * membership.TICK_SECONDS, self._tick, proxy)
        self._list_hosts(proxy)
        return proxy

    def stop(self, address: str) -> None:
        """Kill the proxy at an address, without a notice to the others."""
        del self.proxies[address]

    def run(self, seconds: float) -> None:
        """Advance virtual time, and make every call that becomes due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_seconds: float) -> float:
        """Advance virtual time until a condition holds; return the seconds it took.

        At most about `limit_seconds` pass if it never holds.
        """
        started_at = self.now
        while not condition() and self.now < started_at + limit_seconds:
            self.run(membership.TICK_SECONDS)
        return self.now - started_at

    def deliver_membership_event(
        self, proxy: SimulatedProxy, event: membership_events.Event
    ) -> None:
        """Pass an event to a proxy's membership, and perform the resulting actions."""
        if not self._is_running(proxy):
            return
        started_at = time.process_time()
        proxy.membership, actions = membership.decide(proxy.membership, event, self.now)
        proxy.cpu_seconds += time.process_time() - started_at
        for action in actions:
            self._perform_membership(proxy, action)

    def deliver_adoption_event(
        self, proxy: SimulatedProxy, event: adoption_events.Event
    ) -> None:
        """Pass an event to a proxy's adoption, and perform the resulting actions."""
        if not self._is_running(proxy):
            return
        started_at = time.process_time()
        proxy.adoption, actions = adoption.decide(proxy.adoption, event, self.now)
        proxy.cpu_seconds += time.process_time() - started_at
        for action in actions:
            self._perform_adoption(proxy, action)

    def _is_running(self, proxy: SimulatedProxy) -> bool:
        return self.proxies.get(proxy.address) is proxy

    def _tick(self, proxy: SimulatedProxy) -> None:
        if not self._is_running(proxy):
            return
        self.deliver_membership_event(proxy, Tick())
        self.deliver_adoption_event(proxy, Tick())
        self._schedule(membership.TICK_SECONDS, self._tick, proxy)

    def _list_hosts(self, proxy: SimulatedProxy) -> None:
        if not self._is_running(proxy):
            return
        self.deliver_membership_event(proxy, HostsListed(self.hosts))
        self.deliver_adoption_event(proxy, HostsListed(self.hosts))
        self._schedule(HOST_LIST_SECONDS, self._list_hosts, proxy)

    def _perform_membership(
        self, proxy: SimulatedProxy, action: membership_events.Action
    ) -> None:
        match action:
            case membership_events.Request():
                self._send_probe(proxy, action)
            case Reply(reply_to, message):
                self._reply(proxy, reply_to, message)
            case membership_events.PublishMembers(members):
                self._publish(proxy, members)
            case membership_events.ReportDigest():
                self.deliver_adoption_event(proxy, to_peer_digest(action))
            case _:
                pass

    def _send_probe(
        self, proxy: SimulatedProxy, request: membership_events.Request
    ) -> None:
        def handle_reply(reply: Message) -> None:
            event = membership_events.Replied(request.address, reply, request.asked_at)
            self.deliver_membership_event(proxy, event)

        self._request(
            proxy,
            request.address,
            request.message,
            request.timeout_seconds,
            handle_reply,
        )

    def _publish(self, proxy: SimulatedProxy, members: Members) -> None:
        proxy.members = members
        rank = members.rank(CONFIGURATION_KEY, members.me.availability_zone)
        is_polling = rank is not None and rank < POLLERS_PER_ZONE
        addresses = tuple(member.address for member in members.live)
        self.deliver_adoption_event(
            proxy, adoption_events.PeersChanged(addresses, is_polling)
        )

    def _perform_adoption(
        self, proxy: SimulatedProxy, action: adoption_events.Action
    ) -> None:
        match action:
            case ReadStore(asked_at):
                self._read_store(proxy, asked_at)
            case AskPeer(address, above, asked_at):
                self._request_configuration(proxy, address, above, asked_at)
            case Reply(reply_to, message):
                self._reply(proxy, reply_to, message)
            case PutInForce(configuration):
                proxy.applied_versions.append(configuration.version)
            case adoption_events.AnnounceVersion(version, confirmed_at):
                self.deliver_membership_event(
                    proxy, LocalVersions(version, confirmed_at)
                )
            case _:
                pass

    def _read_store(self, proxy: SimulatedProxy, asked_at: float) -> None:
        self.store.reads += 1
        if self.store.is_down(proxy.address):
            failed = adoption_events.StoreFailed()
            self._schedule(1.0, self.deliver_adoption_event, proxy, failed)
            return
        answer = adoption_events.StoreAnswered(self.store.row, asked_at)
        self._schedule(2 * LATENCY_SECONDS, self.deliver_adoption_event, proxy, answer)

    def _request_configuration(
        self, proxy: SimulatedProxy, address: str, above: int, asked_at: float
    ) -> None:
        def handle_reply(reply: Message) -> None:
            if isinstance(reply, ConfigurationReply):
                event = adoption_events.PeerAnswered(address, reply, asked_at)
                self.deliver_adoption_event(proxy, event)

        message = ConfigurationRequest(above)
        self._request(
            proxy, address, message, adoption.ASK_TIMEOUT_SECONDS, handle_reply
        )

    def _request(
        self,
        proxy: SimulatedProxy,
        address: str,
        message: Message,
        timeout_seconds: float,
        on_message: Callable[[Message], None],
    ) -> None:
        number = next(self._sequence).to_bytes(8, "big")
        self._pending_replies[number] = on_message
        self._schedule(timeout_seconds, self._pending_replies.pop, number, None)
        reply_to = ReplyTo(proxy.address.encode(), number)
        proxy.contacted_peers.add(address)
        self._send(
            proxy, address, message, lambda m: self._deliver(address, m, reply_to)
        )

    def _deliver(self, address: str, message: Message, reply_to: ReplyTo) -> None:
        proxy = self.proxies.get(address)
        if proxy is None:
            return
        if isinstance(message, ConfigurationRequest):
            self.deliver_adoption_event(proxy, Received(message, reply_to))
        else:
            self.deliver_membership_event(proxy, Received(message, reply_to))

    def _reply(
        self, proxy: SimulatedProxy, reply_to: ReplyTo, message: Message
    ) -> None:
        def handle_reply(reply: Message) -> None:
            on_message = self._pending_replies.pop(reply_to.request, None)
            if on_message is not None:
                on_message(reply)

        self._send(proxy, reply_to.identity.decode(), message, handle_reply)

    def _send(
        self,
        proxy: SimulatedProxy,
        address: str,
        message: Message,
        on_message: Callable[[Message], None],
    ) -> None:
        started_at = time.process_time()
        data = encode(message)
        received = decode(data).unwrap()
        proxy.cpu_seconds += time.process_time() - started_at
        proxy.sent_counts["messages"] += 1
        proxy.sent_counts["bytes"] += len(data)
        is_lost = self._rng.random() < self.loss_probability
        if is_lost or self.is_partitioned(proxy.address, address):
            return
        self._schedule(LATENCY_SECONDS, on_message, received)

    def _schedule(
        self, seconds: float, callback: Callable[..., object], *arguments: object
    ) -> None:
        due_at = self.now + seconds
        bound: Callable[[], object] = partial(callback, *arguments)
        entry: _ScheduledCall = (due_at, next(self._sequence), bound)
        heapq.heappush(self._queue, entry)


def entry_hosts(count: int, zones: int) -> tuple[Host, ...]:
    """Return `count` entry hosts, spread evenly over availability zones."""
    return tuple(
        Host(
            f"entry-{number}",
            HostKind.ENTRY,
            f"10.0.{number // 250}.{number % 250 + 1}:7100",
            f"zone-{number % zones}",
        )
        for number in range(count)
    )
