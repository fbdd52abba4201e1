"""Virtual time: many proxies' control decisions in one process, without I/O.

Runs the same decision functions as the daemon, with a queue of future events for a
clock and a random source for what goes wrong. Tests and the control benchmark use it
to see hundreds of proxies in seconds; it knows no statements and no databases.
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
POLLERS_PER_ZONE = 2
CONFIGURATION_KEY = "configuration"

_Entry = tuple[float, int, Callable[[], object]]


@dataclass(slots=True)
class Store:
    """Hold the configuration's row; count the reads."""

    row: Row | None = None
    is_down: Callable[[str], bool] = lambda address: False
    reads: int = 0


@dataclass(slots=True)
class Proxy:
    """Hold the control state of one proxy, and what it has used."""

    membership: Membership
    adoption: Adoption
    members: Members
    versions: list[int] = field(default_factory=list)
    sent: Counter[str] = field(default_factory=Counter)
    cpu_seconds: float = 0.0
    peers: set[str] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Return the proxy's peer address."""
        return self.membership.me.address


class Network:
    """Run proxies on a virtual clock; cut and lose messages between them."""

    def __init__(self, seed: int) -> None:
        """Start with no proxies at time 0."""
        self.now = 0.0
        self.store = Store()
        self.proxies: dict[str, Proxy] = {}
        self.hosts: tuple[Host, ...] = ()
        self.loss = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._queue: list[_Entry] = []
        self._awaited: dict[bytes, Callable[[Message], None]] = {}

    def start(self, host: Host) -> Proxy:
        """Start a process on a host, in place of any that ran there."""
        incarnation = math.floor(self.now * 1000) * 65536 + self._random.getrandbits(16)
        me = Member(host.address, host.name, host.availability_zone, incarnation)
        seed = self._random.getrandbits(32)
        proxy = Proxy(
            Membership(me, seed), Adoption(me.address, seed, self.now), Members(me)
        )
        self.proxies[host.address] = proxy
        self._later(self._random.random() * membership.TICK_SECONDS, self._tick, proxy)
        self._list_hosts(proxy)
        return proxy

    def stop(self, address: str) -> None:
        """Kill the process at an address."""
        del self.proxies[address]

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_seconds: float) -> float:
        """Let time pass until the condition holds; return the seconds it took."""
        began = self.now
        while not condition() and self.now < began + limit_seconds:
            self.run(membership.TICK_SECONDS)
        return self.now - began

    def tell_membership(self, proxy: Proxy, event: membership_events.Event) -> None:
        """Hand an event to a proxy's membership and carry out its actions."""
        if not self._is_running(proxy):
            return
        began = time.process_time()
        proxy.membership, actions = membership.decide(proxy.membership, event, self.now)
        proxy.cpu_seconds += time.process_time() - began
        for action in actions:
            self._perform_membership(proxy, action)

    def tell_adoption(self, proxy: Proxy, event: adoption_events.Event) -> None:
        """Hand an event to a proxy's adoption and carry out its actions."""
        if not self._is_running(proxy):
            return
        began = time.process_time()
        proxy.adoption, actions = adoption.decide(proxy.adoption, event, self.now)
        proxy.cpu_seconds += time.process_time() - began
        for action in actions:
            self._perform_adoption(proxy, action)

    def _is_running(self, proxy: Proxy) -> bool:
        return self.proxies.get(proxy.address) is proxy

    def _tick(self, proxy: Proxy) -> None:
        if not self._is_running(proxy):
            return
        self.tell_membership(proxy, Tick())
        self.tell_adoption(proxy, Tick())
        self._later(membership.TICK_SECONDS, self._tick, proxy)

    def _list_hosts(self, proxy: Proxy) -> None:
        if not self._is_running(proxy):
            return
        self.tell_membership(proxy, HostsListed(self.hosts))
        self.tell_adoption(proxy, HostsListed(self.hosts))
        self._later(HOST_LIST_SECONDS, self._list_hosts, proxy)

    def _perform_membership(
        self, proxy: Proxy, action: membership_events.Action
    ) -> None:
        match action:
            case membership_events.Request():
                self._probe(proxy, action)
            case Reply(reply_to, message):
                self._reply(proxy, reply_to, message)
            case membership_events.PublishMembers(members):
                self._publish(proxy, members)
            case membership_events.ReportDigest():
                self.tell_adoption(proxy, to_peer_digest(action))
            case _:
                pass

    def _probe(self, proxy: Proxy, request: membership_events.Request) -> None:
        def answered(reply: Message) -> None:
            event = membership_events.Replied(request.address, reply, request.asked_at)
            self.tell_membership(proxy, event)

        self._request(
            proxy, request.address, request.message, request.timeout_seconds, answered
        )

    def _publish(self, proxy: Proxy, members: Members) -> None:
        proxy.members = members
        rank = members.rank(CONFIGURATION_KEY, members.me.availability_zone)
        is_polling = rank is not None and rank < POLLERS_PER_ZONE
        addresses = tuple(member.address for member in members.live)
        self.tell_adoption(proxy, adoption_events.PeersChanged(addresses, is_polling))

    def _perform_adoption(self, proxy: Proxy, action: adoption_events.Action) -> None:
        match action:
            case ReadStore(asked_at):
                self._read(proxy, asked_at)
            case AskPeer(address, above, asked_at):
                self._ask(proxy, address, above, asked_at)
            case Reply(reply_to, message):
                self._reply(proxy, reply_to, message)
            case PutInForce(configuration):
                proxy.versions.append(configuration.version)
            case adoption_events.AnnounceVersion(version, confirmed_at):
                self.tell_membership(proxy, LocalVersions(version, confirmed_at))
            case _:
                pass

    def _read(self, proxy: Proxy, asked_at: float) -> None:
        self.store.reads += 1
        if self.store.is_down(proxy.address):
            failed = adoption_events.StoreFailed()
            self._later(1.0, self.tell_adoption, proxy, failed)
            return
        answer = adoption_events.StoreAnswered(self.store.row, asked_at)
        self._later(2 * LATENCY_SECONDS, self.tell_adoption, proxy, answer)

    def _ask(self, proxy: Proxy, address: str, above: int, asked_at: float) -> None:
        def answered(reply: Message) -> None:
            if isinstance(reply, ConfigurationReply):
                event = adoption_events.PeerAnswered(address, reply, asked_at)
                self.tell_adoption(proxy, event)

        message = ConfigurationRequest(above)
        self._request(proxy, address, message, adoption.ASK_TIMEOUT_SECONDS, answered)

    def _request(
        self,
        proxy: Proxy,
        address: str,
        message: Message,
        timeout_seconds: float,
        then: Callable[[Message], None],
    ) -> None:
        number = next(self._order).to_bytes(8, "big")
        self._awaited[number] = then
        self._later(timeout_seconds, self._awaited.pop, number, None)
        reply_to = ReplyTo(proxy.address.encode(), number)
        proxy.peers.add(address)
        self._send(proxy, address, message, lambda m: self._take(address, m, reply_to))

    def _take(self, address: str, message: Message, reply_to: ReplyTo) -> None:
        proxy = self.proxies.get(address)
        if proxy is None:
            return
        if isinstance(message, ConfigurationRequest):
            self.tell_adoption(proxy, Received(message, reply_to))
        else:
            self.tell_membership(proxy, Received(message, reply_to))

    def _reply(self, proxy: Proxy, reply_to: ReplyTo, message: Message) -> None:
        def answered(reply: Message) -> None:
            then = self._awaited.pop(reply_to.request, None)
            if then is not None:
                then(reply)

        self._send(proxy, reply_to.identity.decode(), message, answered)

    def _send(
        self,
        proxy: Proxy,
        address: str,
        message: Message,
        then: Callable[[Message], None],
    ) -> None:
        began = time.process_time()
        data = encode(message)
        received = decode(data).unwrap()
        proxy.cpu_seconds += time.process_time() - began
        proxy.sent["messages"] += 1
        proxy.sent["bytes"] += len(data)
        is_lost = self._random.random() < self.loss
        if is_lost or self.is_cut(proxy.address, address):
            return
        self._later(LATENCY_SECONDS, then, received)

    def _later(
        self, seconds: float, call: Callable[..., object], *arguments: object
    ) -> None:
        due = self.now + seconds
        bound: Callable[[], object] = partial(call, *arguments)
        entry: _Entry = (due, next(self._order), bound)
        heapq.heappush(self._queue, entry)


def entry_hosts(count: int, zones: int) -> tuple[Host, ...]:
    """Return entry hosts spread evenly over availability zones."""
    return tuple(
        Host(
            f"entry-{number}",
            HostKind.ENTRY,
            f"10.0.{number // 250}.{number % 250 + 1}:7100",
            f"zone-{number % zones}",
        )
        for number in range(count)
    )
