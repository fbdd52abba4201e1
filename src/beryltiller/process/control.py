"""Control of one proxy: membership, configuration, draining and terms.

Each of these four parts runs in its own actor. `Control` receives the results that
they publish, on the event loop, and passes them to the statement path and to the
other parts.
"""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from beryltiller.adapters.monitored_platform import MonitoredPlatform
from beryltiller.adapters.network import Network
from beryltiller.adapters.peers import Peers
from beryltiller.configuration.adoption_events import (
    AnnounceVersion,
    PeersChanged,
    RejectDocument,
)
from beryltiller.configuration.tables import Configuration
from beryltiller.consistency.plans import DatabaseView
from beryltiller.core.ports import Host, HostKind, PortError
from beryltiller.dispatching.database_observer import DRAINING_PART, TERMS_PART
from beryltiller.membership import draining
from beryltiller.membership.members import Members
from beryltiller.membership.membership_events import (
    Drain,
    EndpointNote,
    HostsListed,
    Leave,
    LocalVersions,
    Received,
    ReportDigest,
)
from beryltiller.membership.messages import ConfigurationRequest, Message, ReplyTo
from beryltiller.observability import events, logs
from beryltiller.observability.metrics import Gauge, Metrics
from beryltiller.observability.state_change_logger import StateChangeLogger
from beryltiller.primaries.term_actions import PublishTerms, ReportPromotion
from beryltiller.primaries.term_events import (
    Database,
    DatabaseGroup,
    GroupsChanged,
    MembersChanged,
)
from beryltiller.primaries.term_events import Member as TermMember
from beryltiller.process.actors import Part
from beryltiller.process.adopter import Adopter
from beryltiller.process.control_parts import (
    ADOPTION,
    MEMBERSHIP,
    InitialStates,
    Performers,
    control_parts,
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
from beryltiller.process.settings import Settings
from beryltiller.process.statement_path import StatementPath
from beryltiller.process.terms_io import TermsIO

POLLERS_PER_ZONE = 2
RARE_HOST_LIST_POLL_SECONDS = 10.0

SendEvent = Callable[[str, object], None]


class Control:
    """The control parts of a proxy, and the handlers of the results they publish.

    `members` is the newest list of the proxies, or None before the first one.
    `leaving_databases` are the names of the databases known to be leaving.
    """

    def __init__(
        self,
        settings: Settings,
        path: StatementPath,
        peers: Peers,
        platform: MonitoredPlatform,
        send_event: SendEvent,
        metrics: Metrics,
        rng: random.Random,
        on_leaving: Callable[[], None],
    ) -> None:
        """Create the parts' I/O; `send_event` sends an event to a part by name.

        `on_leaving` is called when the platform lists this host as leaving.
        """
        self._settings = settings
        self._path = path
        self._peers = peers
        self._platform = platform
        self._send_event = send_event
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._state_change_logger = StateChangeLogger(metrics)
        self._listed_members: tuple[TermMember, ...] = ()
        self._local_versions = LocalVersions()
        self._adopter = Adopter(self._apply_configuration)
        self._initial_states = InitialStates(settings, rng)
        self._tasks: set[asyncio.Task[None]] = set()
        self.members: Members | None = None
        self.leaving_databases: frozenset[str] = frozenset()
        self._create_io()

    def _create_io(self) -> None:
        self._membership_io = MembershipIO(
            self._peers,
            MembershipCallbacks(
                self._handle_members, self._forward_digest, self._forward_endpoint_note
            ),
        )
        self._adoption_io = AdoptionIO(
            self._peers,
            self._platform,
            AdoptionCallbacks(
                self._start_adoption,
                self._announce_version,
                self._log_rejected_document,
            ),
        )
        self._terms_io = TermsIO(
            self._platform,
            Network(self._peers, self._path.databases),
            self._handle_published_terms,
            time.monotonic,
            on_status=self._path.database_observer.record_status,
        )

    def parts(self) -> tuple[Part[Any, Any, Any], ...]:
        """Return the four parts whose actors a supervisor runs."""
        performers = Performers(
            self._membership_io.perform,
            self._adoption_io.perform,
            self._perform_draining,
            self._terms_io.perform,
        )
        return control_parts(self._initial_states, performers)

    def route_request(self, message: Message, reply_to: ReplyTo) -> bool:
        """Send a peer's request to the part that answers it, or return False."""
        if is_for_membership(message):
            self._send_event(MEMBERSHIP, Received(message, reply_to))
        elif isinstance(message, ConfigurationRequest):
            self._send_event(ADOPTION, Received(message, reply_to))
        elif event := self._terms_io.event_for_request(message, reply_to):
            self._send_event(TERMS_PART, event)
        else:
            return False
        return True

    def drain(self) -> None:
        """Announce to the peers that this proxy accepts no new work."""
        self._send_event(MEMBERSHIP, Drain())

    def leave(self) -> None:
        """Announce to the peers that this proxy leaves the set of members."""
        self._send_event(MEMBERSHIP, Leave())

    async def poll_hosts(self) -> None:
        """Poll the platform's host list until cancelled.

        Only the pollers of each availability zone use the configured interval; the
        other proxies wait at least `RARE_HOST_LIST_POLL_SECONDS` between two polls.
        """
        while True:
            try:
                hosts = await self._platform.hosts()
            except PortError:
                pass
            else:
                for part in (MEMBERSHIP, ADOPTION, DRAINING_PART):
                    self._send_event(part, HostsListed(hosts))
                self._handle_host_list(hosts)
            seconds = self._settings.host_list_poll_seconds
            if not self._is_poller("hosts"):
                seconds = max(seconds, RARE_HOST_LIST_POLL_SECONDS)
            await asyncio.sleep(seconds)

    def _handle_members(self, members: Members) -> None:
        self.members = members
        self._state_change_logger.log_members(members)
        self._path.databases.update_members(members.live)
        self._send_members_to_terms(members)
        addresses = tuple(
            member.address for member in members.live if member is not members.me
        )
        self._send_event(
            ADOPTION, PeersChanged(addresses, self._is_poller("configuration"))
        )

    def _send_members_to_terms(self, members: Members) -> None:
        live = tuple(
            TermMember(member.address, member.availability_zone)
            for member in members.live
        )
        self._send_event(TERMS_PART, MembersChanged(live, self._listed_members))

    def _handle_host_list(self, hosts: tuple[Host, ...]) -> None:
        own = str(self._settings.peer_address)
        if any(host.address == own and host.is_leaving for host in hosts):
            self._on_leaving()
        listed = tuple(
            TermMember(host.address, host.availability_zone)
            for host in hosts
            if host.kind is HostKind.ENTRY and not host.is_leaving
        )
        if listed != self._listed_members and self.members is not None:
            self._listed_members = listed
            self._send_members_to_terms(self.members)

    def _is_poller(self, key: str) -> bool:
        """Return True if this proxy is one of its zone's pollers for `key`.

        The pollers of a zone are the `POLLERS_PER_ZONE` proxies that rank first for
        `key`, so that not all proxies send requests to the platform's services. Also
        return True while the members are not known, and if this proxy has no rank
        because it is not serving.
        """
        if self.members is None:
            return True
        rank = self.members.rank(key, self._settings.availability_zone)
        return rank is None or rank < POLLERS_PER_ZONE

    def _forward_digest(self, report: ReportDigest) -> None:
        self._send_event(ADOPTION, to_peer_digest(report))

    def _forward_endpoint_note(self, note: EndpointNote) -> None:
        self._send_event(DRAINING_PART, note)

    def _start_adoption(self, configuration: Configuration) -> None:
        self._spawn(self._adopter.adopt(configuration))

    async def _apply_configuration(self, configuration: Configuration) -> None:
        await self._path.databases.configure(configuration)
        for group in configuration.groups:
            views = (
                DatabaseView(each.name, each.availability_zone)
                for each in group.databases
            )
            self._path.planner.configure(group.name, views)
        self._update_draining()
        is_first = not self._path.proxy.is_ready
        self._path.proxy.configure(configuration)
        groups = tuple(
            DatabaseGroup(
                group.name,
                tuple(Database(each.name, each.address) for each in group.databases),
            )
            for group in configuration.groups
        )
        self._send_event(TERMS_PART, GroupsChanged(groups))
        logs.log(events.ConfigurationInForce(configuration.version, "adopted"))
        if is_first:
            logs.log(events.Ready(configuration.version))
        self._metrics.set_gauge(Gauge.CONFIGURATION_VERSION, configuration.version)

    def _announce_version(self, announcement: AnnounceVersion) -> None:
        self._local_versions = replace(
            self._local_versions,
            configuration_version=announcement.version,
            configuration_confirmed_at=announcement.confirmed_at,
        )
        self._send_event(MEMBERSHIP, self._local_versions)

    def _log_rejected_document(self, rejected: RejectDocument) -> None:
        reason = str(rejected.invalid)
        logs.log(events.ConfigurationRefused(rejected.version, reason))

    def _handle_published_terms(
        self, published: PublishTerms | ReportPromotion
    ) -> None:
        match published:
            case PublishTerms(evidence):
                self._path.board.publish(evidence)
                for group, known in evidence.known_rows.items():
                    self._path.statement_runner.cancel_replaced_writes(
                        group, known.row.term
                    )
                self._state_change_logger.log_terms(evidence)
            case ReportPromotion():
                self._state_change_logger.log_promotion(published)

    async def _perform_draining(self, action: draining.Action) -> None:
        match action:
            case draining.NotifyPeers(note):
                self._send_event(MEMBERSHIP, note)
            case draining.PublishLeaving(endpoints):
                for name in sorted(endpoints - self.leaving_databases):
                    logs.log(events.EndpointLeaving(name, "news"))
                self.leaving_databases = endpoints
                self._update_draining()

    def _update_draining(self) -> None:
        for group in self._path.databases.groups:
            if self._path.planner.group(group) is not None:
                self._path.planner.record_draining(group, self.leaving_databases)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            details = {
                "message": "a background task of Control failed",
                "exception": task.exception(),
            }
            task.get_loop().call_exception_handler(details)
