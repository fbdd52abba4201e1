"""Proxies that share one fake group and forward statements to each other, in memory."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.adapters.channels import PeerLostError, PeerRefusedError
from beryltiller.adapters.peer_requests import PeerRequests
from beryltiller.membership import messages
from beryltiller.membership.members import Member, Members
from beryltiller.membership.messages import Message, Refused, ReplyTo
from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.databases.regions import Regions
from beryltiller.sessions.forwarding.forwarded_sessions import ForwardedSessions
from beryltiller.sessions.forwarding.forwarding_client import ForwardingClient
from beryltiller.sessions.forwarding.forwarding_plan import ForwardingPlan
from beryltiller.sessions.forwarding.peer_covers import PeerCovers
from tests.fake_group import GroupFixture
from tests.virtual_loop import virtual_now

HOP_SECONDS = 0.001


@dataclass
class Faults:
    """What happens to requests to a proxy.

    One that is `is_unreachable` refuses them unsent, one that `loses_requests` never
    gets them, and one that `loses_replies` runs them without an answer.
    """

    is_unreachable: bool = False
    loses_requests: bool = False
    loses_replies: bool = False


class PeerNetwork:
    """The peer channels between proxies, which carry encoded messages."""

    def __init__(self) -> None:
        self.faults: dict[str, Faults] = {}
        self.handlers: dict[str, Callable[[Message, ReplyTo], bool]] = {}
        self.sent: list[Message] = []
        self._pending: dict[ReplyTo, asyncio.Future[Message]] = {}
        self._count = 0

    async def request(self, address: str, message: Message, seconds: float) -> Message:
        faults = self.faults[address]
        if faults.is_unreachable:
            raise PeerRefusedError("unreachable")
        self.sent.append(message)
        decoded = messages.decode(messages.encode(message)).unwrap()
        self._count += 1
        reply_to = ReplyTo(address.encode(), str(self._count).encode())
        future = self._pending[reply_to] = asyncio.get_running_loop().create_future()
        await asyncio.sleep(HOP_SECONDS)
        if not faults.loses_requests:
            self.handlers[address](decoded, reply_to)
        try:
            reply: Message = await asyncio.wait_for(future, seconds)
        except TimeoutError as error:
            raise PeerLostError("no reply in time") from error
        await asyncio.sleep(HOP_SECONDS)
        if isinstance(reply, Refused):
            raise PeerRefusedError(reply.code, reply.reason)
        return reply

    def reply(self, reply_to: ReplyTo, message: Message) -> None:
        decoded = messages.decode(messages.encode(message)).unwrap()
        future = self._pending[reply_to]
        is_lost = self.faults[reply_to.identity.decode()].loses_replies
        if not future.done() and not is_lost:
            future.set_result(decoded)


@dataclass
class ForwardingProxy:
    """One proxy, whose databases are those of all proxies of the fixture."""

    group: GroupFixture
    plan: ForwardingPlan
    me: Member
    client: ForwardingClient
    covers: PeerCovers
    sessions: ForwardedSessions


class ForwardingFixture:
    """Proxies of one service, whose databases accept fewer connections."""

    def __init__(
        self,
        kind: RouteKind = RouteKind.READ_YOUR_WRITES,
        zones: tuple[str, ...] = ("a", "a", "a"),
        regions: Regions | None = None,
        max_connections: int = 2,
    ) -> None:
        self.network = PeerNetwork()
        self._regions = regions or Regions({})
        self._max_connections = max_connections
        self.proxies: list[ForwardingProxy] = []
        for number, zone in enumerate(zones):
            self._add(number, zone, kind)
        self.update_members()

    def update_members(self, missing: tuple[int, ...] = ()) -> None:
        """Give each proxy a view of the others, without some of them."""
        for proxy in self.proxies:
            others = (
                each.me
                for number, each in enumerate(self.proxies)
                if each is not proxy and number not in missing
            )
            members = Members(proxy.me, tuple(others))
            configuration = proxy.group.fleet.configuration
            proxy.plan.update(members, configuration, virtual_now())

    @property
    def holder(self) -> ForwardingProxy:
        """Return the first holder of the first proxy's zone."""
        first = self.proxies[0]
        held = first.plan.candidates("s", "", "", lambda address: 0)
        return next(each for each in self.proxies if each.me.address == held[0].address)

    @property
    def others(self) -> list[ForwardingProxy]:
        """Return the proxies that are not the holder."""
        holder = self.holder
        return [each for each in self.proxies if each is not holder]

    def in_zone(self, zone: str) -> list[ForwardingProxy]:
        return [each for each in self.proxies if each.me.availability_zone == zone]

    def faults(self, proxy: ForwardingProxy) -> Faults:
        return self.network.faults[proxy.me.address]

    def close(self) -> None:
        for proxy in self.proxies:
            proxy.group.fleet.close()
            proxy.covers.close()

    def _add(self, number: int, zone: str, kind: RouteKind) -> None:
        address = f"127.0.0.{number + 1}:7"
        group = GroupFixture(kind, zone=zone)
        if self.proxies:
            group.share_databases(self.proxies[0].group)
        group.limit_connections(self._max_connections)
        requests = PeerRequests(self.network.request, virtual_now)
        plan = ForwardingPlan(self._regions)
        me = Member(address, f"front-{number}", zone, 1)
        client = ForwardingClient(
            requests, plan, group.fleet, self._regions, f"{address}/1", virtual_now
        )
        covers = PeerCovers(requests, plan, self._regions, virtual_now)
        group.service.forward_to(client, covers)
        group.fleet.watch_only(plan.is_connected)
        sessions = group.service.forwarded_sessions(self.network.reply)
        self.network.faults[address] = Faults()
        self.network.handlers[address] = sessions.receive
        self.proxies.append(ForwardingProxy(group, plan, me, client, covers, sessions))
