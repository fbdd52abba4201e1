"""A proxy among its peers: membership, the peer channel, and forwarding over it.

Everything here runs on the event loop; the decisions of membership run in their part's
actor.
"""

import random
import time
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from beryltiller.adapters.peer_requests import PeerRequests
from beryltiller.adapters.peers import Peers, PeerSettings, open_peers
from beryltiller.core.ports import Host, HostKind
from beryltiller.membership import membership, membership_state
from beryltiller.membership.members import DEFAULT_WEIGHT, Member, Members
from beryltiller.membership.membership_events import (
    Drain,
    HostsListed,
    Leave,
    Received,
    Tick,
)
from beryltiller.membership.messages import Message, PlacementQuestion, Refused, ReplyTo
from beryltiller.membership.quota_messages import QuotaRequest
from beryltiller.observability import logs, session_events
from beryltiller.process.actors import Part
from beryltiller.process.gossip import (
    MembershipCallbacks,
    MembershipIO,
    is_for_membership,
)
from beryltiller.quota_service.ports import QuotaStore
from beryltiller.quota_service.service import Quotas
from beryltiller.quotas.rules import QuotaRules
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.databases.regions import Regions
from beryltiller.sessions.forwarding.forwarding_client import ForwardingClient
from beryltiller.sessions.forwarding.forwarding_plan import ForwardingPlan
from beryltiller.sessions.forwarding.peer_covers import PeerCovers
from beryltiller.sessions.forwarding.placement_explainer import PlacementExplainer
from beryltiller.sessions.organisations import Organisations
from beryltiller.sessions.serving.session_service import SessionService

MEMBERSHIP = "membership"
MEMBERSHIP_TICK_SECONDS = 0.2
# Connections to peers; a proxy sends to all holders of all services, and gossips.
MAX_OPEN_PEERS = 256
MAX_UNANSWERED_REQUESTS = 2_048

SendEvent = Callable[[str, object], None]


@dataclass(frozen=True, slots=True)
class PeeringSettings:
    """This proxy as its peers see it, and the regions of the availability zones.

    `address` is the `ip:port` of its peer channel, and `weight` its capacity in
    hundredths of an ordinary host's.
    """

    host_name: str
    address: str
    availability_zone: str
    regions: Regions
    weight: int = DEFAULT_WEIGHT


class Peering:
    """The members that this proxy knows, and the statements that pass between them.

    `plan` tells which services are forwarded to whom. After `open`, `requests` sends
    requests to peers, and `sessions` runs what they forward.
    """

    def __init__(
        self,
        settings: PeeringSettings,
        fleet: Fleet,
        service: SessionService,
        placer: Placer,
        send_event: SendEvent,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Create the parts; `send_event` sends an event to a part's actor by name."""
        self._settings = settings
        self._fleet = fleet
        self._service = service
        self._placer = placer
        self._send_event = send_event
        self._rng = rng
        self._clock = clock
        self._incarnation = time.time_ns()
        self._me = Member(
            settings.address,
            settings.host_name,
            settings.availability_zone,
            self._incarnation,
            weight=settings.weight,
        )
        self._members = Members(self._me)
        self._quotas: Quotas | None = None
        self._forwarded_services: frozenset[str] = frozenset()
        self.plan = ForwardingPlan(settings.regions)

    @property
    def members(self) -> Members:
        """Return the newest view of the members, at first with this proxy alone."""
        return self._members

    async def open(self, stack: AsyncExitStack) -> None:
        """Bind the peer channel, and forward over it until `stack` closes.

        Raise `zmq.ZMQError` if the address cannot be bound.
        """
        settings = self._settings
        peer_settings = PeerSettings(
            settings.address,
            None,
            max_open_peers=MAX_OPEN_PEERS,
            max_unanswered_requests=MAX_UNANSWERED_REQUESTS,
        )
        self._peers: Peers = await stack.enter_async_context(
            open_peers(peer_settings, self._handle_request)
        )
        self.requests = PeerRequests(self._peers.request, self._clock)
        callbacks = MembershipCallbacks(
            self._handle_members, lambda digest: None, lambda note: None
        )
        self._membership_io = MembershipIO(self._peers, callbacks)
        self._client = ForwardingClient(
            self.requests,
            self.plan,
            self._fleet,
            settings.regions,
            f"{settings.address}/{self._incarnation}",
            self._clock,
        )
        stack.callback(self._client.close)
        covers = PeerCovers(self.requests, self.plan, settings.regions, self._clock)
        stack.callback(covers.close)
        self.sessions = self._service.forwarded_sessions(self._peers.reply)
        self._service.forward_to(self._client, covers)
        self._fleet.watch_only(self.plan.is_connected)
        self._explainer = PlacementExplainer(
            settings.host_name,
            self._fleet,
            self._placer,
            self.plan,
            self._client,
            self._clock,
        )

    def open_quotas(
        self, store: QuotaStore, rules: QuotaRules, is_bootstrap: bool
    ) -> Quotas:
        """Return the quota service, whose `run` is to be a task; call `open` first.

        It admits the operations of organisations with a quota from now on. With
        `is_bootstrap` the whole system starts for the first time.
        """
        self._quotas = Quotas(
            self._peers,
            lambda: self._members,
            store,
            self._organisations,
            self._clock,
            self._rng,
            rules,
            is_bootstrap,
        )
        self._service.enforce_quotas(self._quotas)
        return self._quotas

    def _organisations(self) -> Organisations | None:
        configuration = self._fleet.configuration
        return configuration.organisations if configuration else None

    def part(self) -> Part[Any, Any, Any]:
        """Return the part that decides membership; call `open` first."""
        return Part(
            MEMBERSHIP,
            MEMBERSHIP_TICK_SECONDS,
            Tick(),
            self._initial_membership,
            membership.decide,
            self._membership_io.perform,
        )

    def list_seeds(self, addresses: Iterable[str]) -> None:
        """Probe the proxies at these peer addresses, to learn of all members."""
        hosts = tuple(Host(each, HostKind.ENTRY, each, "") for each in addresses)
        self._send_event(MEMBERSHIP, HostsListed(hosts))

    def drain(self) -> None:
        """Announce that this proxy takes no new work, and refuse it."""
        self._send_event(MEMBERSHIP, Drain())
        self.sessions.drain()

    def leave(self) -> None:
        """Announce that this process is about to end, and answer what is unanswered."""
        self._send_event(MEMBERSHIP, Leave())
        self.sessions.give_up()

    def update_plan(self) -> None:
        """Update the plan after a change of the members or of the configuration."""
        self.plan.update(self._members, self._fleet.configuration, self._clock())
        configuration = self._fleet.configuration
        names = configuration.services if configuration else {}
        plans = {name: self.plan.service(name) for name in names}
        forwarded = {name: each for name, each in plans.items() if each.is_forwarded}
        self._fleet.limit_connections(
            {
                name: each.share if self.plan.is_connected(name) else 0
                for name, each in forwarded.items()
            }
        )
        if forwarded.keys() != self._forwarded_services:
            self._forwarded_services = frozenset(forwarded)
            logs.log(
                session_events.ForwardingChanged(
                    " ".join(sorted(forwarded)), self.plan.proxies
                )
            )

    async def maintain(self) -> None:
        """End the transactions of dead or silent peers; call it at short intervals."""
        self.sessions.expire(self._members)

    def _initial_membership(self, now: float) -> membership_state.State:
        return membership_state.State(self._me, self._rng.getrandbits(32))

    def _handle_members(self, members: Members) -> None:
        self._members = members
        self.update_plan()

    def _handle_request(self, message: Message, reply_to: ReplyTo) -> None:
        if is_for_membership(message):
            self._send_event(MEMBERSHIP, Received(message, reply_to))
        elif isinstance(message, QuotaRequest) and self._quotas is not None:
            self._quotas.receive(
                message, lambda reply: self._peers.reply(reply_to, reply)
            )
        elif isinstance(message, PlacementQuestion):
            self._peers.reply(reply_to, self._explainer.answer(message))
        elif not self.sessions.receive(message, reply_to):
            self._peers.reply(reply_to, Refused("unsupported"))
