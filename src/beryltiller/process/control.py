"""Control of one proxy: membership, configuration, draining and terms.

Four parts decide in their actors. What they publish arrives here, on the event loop,
and is handed to the statement path and to the other parts.
"""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from beryltiller.adapters.network import Network
from beryltiller.adapters.peers import Peers
from beryltiller.adapters.platform_watch import PlatformWatch
from beryltiller.configuration import adoption, adoption_state
from beryltiller.configuration.adoption_events import (
    AnnounceVersion,
    PeersChanged,
    RejectDocument,
)
from beryltiller.configuration.tables import Configuration
from beryltiller.consistency.plans import DatabaseView
from beryltiller.consistency.session import Planner
from beryltiller.core.ports import Host, HostKind, PortError
from beryltiller.dispatching.database_observer import (
    DRAINING_PART,
    TERMS_PART,
    DatabaseObserver,
)
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.statement_runner import StatementRunner
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.membership import draining, membership, membership_state
from beryltiller.membership.members import Member, Members
from beryltiller.membership.membership_events import (
    Drain,
    EndpointNote,
    HostsListed,
    Leave,
    LocalVersions,
    Received,
    ReportDigest,
    Tick,
)
from beryltiller.membership.messages import (
    ConfigurationRequest,
    Message,
    ReplyTo,
)
from beryltiller.observability import logs
from beryltiller.observability.announcer import Announcer
from beryltiller.observability.metrics import (
    Gauge,
    Metrics,
)
from beryltiller.primaries import terms
from beryltiller.primaries.detection import DetectionSettings
from beryltiller.primaries.evidence import Evidence, LeaseSettings
from beryltiller.primaries.evidence_refresh import Refresh, RefreshSettings
from beryltiller.primaries.promotion_state import PromotionSettings
from beryltiller.primaries.term_actions import PublishTerms, ReportPromotion
from beryltiller.primaries.term_events import (
    Database,
    DatabaseGroup,
    GroupsChanged,
    MembersChanged,
)
from beryltiller.primaries.term_events import Member as TermMember
from beryltiller.primaries.term_events import Tick as TermsTick
from beryltiller.primaries.terms_state import TermsSettings, TermsState
from beryltiller.process.actors import Part
from beryltiller.process.adopter import Adopter
from beryltiller.process.authority import Authority
from beryltiller.process.distribution import AdoptionIO, AdoptionOutlets, to_peer_digest
from beryltiller.process.gossip import (
    MembershipIO,
    MembershipOutlets,
    is_for_membership,
)
from beryltiller.process.proxy import Proxy
from beryltiller.process.settings import Settings

MEMBERSHIP = "membership"
ADOPTION = "adoption"

MEMBERSHIP_TICK_SECONDS = 0.1
ADOPTION_TICK_SECONDS = 0.25
DRAINING_TICK_SECONDS = 1.0
TERMS_TICK_SECONDS = 0.05
POLLERS_PER_ZONE = 2
RARE_HOST_LIST_POLL_SECONDS = 10.0

Tell = Callable[[str, object], None]


@dataclass(frozen=True, slots=True)
class StatementPath:
    """Hold what serves statements, as far as control changes it."""

    planner: Planner
    board: TermBoard
    databases: Databases
    observer: DatabaseObserver
    driver: StatementRunner
    proxy: Proxy


class Control:
    """Own what the control parts have published, and pass it on."""

    def __init__(
        self,
        settings: Settings,
        path: StatementPath,
        peers: Peers,
        platform: PlatformWatch,
        tell: Tell,
        metrics: Metrics,
        source: random.Random,
        on_leaving: Callable[[], None],
    ) -> None:
        """Use `tell` to reach a part by its name.

        `on_leaving` is called when the platform lists this host as leaving.
        """
        self._settings = settings
        self._path = path
        self._peers = peers
        self._platform = platform
        self._tell = tell
        self._metrics = metrics
        self._source = source
        self._on_leaving = on_leaving
        self._announcer = Announcer(metrics)
        self._listed: tuple[TermMember, ...] = ()
        self._facts = LocalVersions()
        self._adopter = Adopter(self._adopt)
        self._incarnation = time.time_ns()
        self._promoters = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.members: Members | None = None
        self.leaving: frozenset[str] = frozenset()
        self._open_parts()

    def _open_parts(self) -> None:
        self._membership_io = MembershipIO(
            self._peers,
            MembershipOutlets(
                self._members_changed, self._digest_told, self._endpoint_told
            ),
        )
        self._adoption_io = AdoptionIO(
            self._peers,
            self._platform,
            AdoptionOutlets(self._put_in_force, self._confirmed, self._rejected),
        )
        self._authority = Authority(
            self._platform,
            Network(self._peers, self._path.databases),
            self._terms_published,
            time.monotonic,
            on_status=self._path.observer.record_status,
        )

    def parts(self) -> tuple[Part[Any, Any, Any], ...]:
        """Return the parts whose actors a supervisor runs; after `open`."""
        return (
            Part(
                MEMBERSHIP,
                MEMBERSHIP_TICK_SECONDS,
                Tick(),
                self._first_membership,
                membership.decide,
                self._membership_io.perform,
            ),
            Part(
                ADOPTION,
                ADOPTION_TICK_SECONDS,
                Tick(),
                self._first_adoption,
                adoption.decide,
                self._adoption_io.perform,
            ),
            Part(
                DRAINING_PART,
                DRAINING_TICK_SECONDS,
                Tick(),
                lambda now: draining.State(),
                draining.decide,
                self._perform_draining,
            ),
            Part(
                TERMS_PART,
                TERMS_TICK_SECONDS,
                TermsTick(),
                self._first_terms,
                terms.decide,
                self._authority.perform,
            ),
        )

    def received(self, message: Message, reply_to: ReplyTo) -> bool:
        """Hand a peer's request to the part that answers it, if one does."""
        if is_for_membership(message):
            self._tell(MEMBERSHIP, Received(message, reply_to))
        elif isinstance(message, ConfigurationRequest):
            self._tell(ADOPTION, Received(message, reply_to))
        elif event := self._authority.question(message, reply_to):
            self._tell(TERMS_PART, event)
        else:
            return False
        return True

    def drain(self) -> None:
        """Tell the peers that this proxy takes no new work."""
        self._tell(MEMBERSHIP, Drain())

    def leave(self) -> None:
        """Tell the peers that this proxy is gone."""
        self._tell(MEMBERSHIP, Leave())

    async def poll_hosts(self) -> None:
        """Read the platform's host list, often only where this proxy is a poller."""
        while True:
            try:
                hosts = await self._platform.hosts()
            except PortError:
                pass
            else:
                for part in (MEMBERSHIP, ADOPTION, DRAINING_PART):
                    self._tell(part, HostsListed(hosts))
                self._hosts_listed(hosts)
            seconds = self._settings.host_list_poll_seconds
            if not self._is_poller("hosts"):
                seconds = max(seconds, RARE_HOST_LIST_POLL_SECONDS)
            await asyncio.sleep(seconds)

    def _first_membership(self, now: float) -> membership_state.State:
        settings = self._settings
        me = Member(
            str(settings.peer_address),
            settings.host_name,
            settings.availability_zone,
            self._incarnation,
        )
        return membership_state.State(me, self._source.getrandbits(32))

    def _first_adoption(self, now: float) -> adoption_state.State:
        address = str(self._settings.peer_address)
        return adoption_state.State(address, self._source.getrandbits(32), now)

    def _first_terms(self, now: float) -> TermsState:
        settings = self._settings
        lease = LeaseSettings(settings.lease_seconds)
        refresh = RefreshSettings(poll_seconds=settings.evidence_interval_seconds)
        detection = DetectionSettings(
            silence_seconds=settings.detection_timeout_seconds
        )
        # A restarted part must not take its predecessor's claims for its own.
        self._promoters += 1
        return TermsState(
            str(settings.peer_address),
            f"{settings.host_name}/{self._incarnation}/{self._promoters}",
            TermsSettings(PromotionSettings(lease=lease), detection),
            Evidence(lease=lease),
            Refresh(refresh),
        )

    def _members_changed(self, members: Members) -> None:
        self.members = members
        self._announcer.members(members)
        self._path.databases.update_members(members.live)
        self._tell_voters(members)
        addresses = tuple(
            member.address for member in members.live if member is not members.me
        )
        self._tell(ADOPTION, PeersChanged(addresses, self._is_poller("configuration")))

    def _tell_voters(self, members: Members) -> None:
        live = tuple(
            TermMember(member.address, member.availability_zone)
            for member in members.live
        )
        self._tell(TERMS_PART, MembersChanged(live, self._listed))

    def _hosts_listed(self, hosts: tuple[Host, ...]) -> None:
        own = str(self._settings.peer_address)
        if any(host.address == own and host.is_leaving for host in hosts):
            self._on_leaving()
        listed = tuple(
            TermMember(host.address, host.availability_zone)
            for host in hosts
            if host.kind is HostKind.ENTRY and not host.is_leaving
        )
        if listed != self._listed and self.members is not None:
            self._listed = listed
            self._tell_voters(self.members)

    def _is_poller(self, key: str) -> bool:
        """Tell whether this proxy is among those of its zone that poll the store."""
        if self.members is None:
            return True
        rank = self.members.rank(key, self._settings.availability_zone)
        return rank is None or rank < POLLERS_PER_ZONE

    def _digest_told(self, report: ReportDigest) -> None:
        self._tell(ADOPTION, to_peer_digest(report))

    def _endpoint_told(self, note: EndpointNote) -> None:
        self._tell(DRAINING_PART, note)

    def _put_in_force(self, configuration: Configuration) -> None:
        self._spawn(self._adopter.adopt(configuration))

    async def _adopt(self, configuration: Configuration) -> None:
        await self._path.databases.configure(configuration)
        for group in configuration.groups:
            views = (
                DatabaseView(each.name, each.availability_zone)
                for each in group.databases
            )
            self._path.planner.configure(group.name, views)
        self._note_leaving()
        is_first = not self._path.proxy.is_ready
        self._path.proxy.configure(configuration)
        groups = tuple(
            DatabaseGroup(
                group.name,
                tuple(Database(each.name, each.address) for each in group.databases),
            )
            for group in configuration.groups
        )
        self._tell(TERMS_PART, GroupsChanged(groups))
        logs.log(logs.ConfigurationInForce(configuration.version, "adopted"))
        if is_first:
            logs.log(logs.Ready(configuration.version))
        self._metrics.gauge(Gauge.CONFIGURATION_VERSION, configuration.version)

    def _confirmed(self, confirm: AnnounceVersion) -> None:
        self._facts = replace(
            self._facts,
            configuration_version=confirm.version,
            configuration_confirmed_at=confirm.confirmed_at,
        )
        self._tell(MEMBERSHIP, self._facts)

    def _rejected(self, rejected: RejectDocument) -> None:
        reason = str(rejected.invalid)
        logs.log(logs.ConfigurationRefused(rejected.version, reason))

    def _terms_published(self, published: PublishTerms | ReportPromotion) -> None:
        match published:
            case PublishTerms(evidence):
                self._path.board.publish(evidence)
                for group, known in evidence.known.items():
                    self._path.driver.cancel_replaced_writes(group, known.row.term)
                self._announcer.evidence(evidence)
            case ReportPromotion():
                self._announcer.promotion(published)

    async def _perform_draining(self, action: draining.Action) -> None:
        match action:
            case draining.NotifyPeers(note):
                self._tell(MEMBERSHIP, note)
            case draining.PublishLeaving(endpoints):
                for name in sorted(endpoints - self.leaving):
                    logs.log(logs.EndpointLeaving(name, "news"))
                self.leaving = endpoints
                self._note_leaving()

    def _note_leaving(self) -> None:
        for group in self._path.databases.groups:
            if self._path.planner.group(group) is not None:
                self._path.planner.record_draining(group, self.leaving)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            details = {"message": "a task failed", "exception": task.exception()}
            task.get_loop().call_exception_handler(details)
