"""Observation of the groups: what the succession policy is told of each one."""

from collections.abc import Callable, Mapping
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.observability import logs
from beryltiller.sessions.databases.continuity import RESTART_SECONDS
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.succession import lag_relief
from beryltiller.sessions.succession.events import (
    GroupsObserved,
    GroupView,
)
from beryltiller.sessions.succession.known_databases import Known, KnownDatabases
from beryltiller.sessions.succession.leader_changes import leader_change
from beryltiller.sessions.succession.report_lines import Noticed, log_reports

# Within `RESTART_SECONDS`, the clocks of two proxies differ by less than this.
YOUNG_MARGIN_SECONDS = 0.2


class GroupObserver:
    """Observes a fleet's groups, and remembers since when a condition has held."""

    def __init__(
        self,
        fleet: Fleet,
        is_store_reachable: Callable[[], bool],
        started_at: float = 0.0,
    ) -> None:
        """Observe the groups of `fleet`, for a process that started at `started_at`."""
        self._fleet = fleet
        self._started_at = started_at
        self._is_store_reachable = is_store_reachable
        self._primaryless_since: dict[str, float] = {}
        self._known: dict[str, frozenset[str]] = {}
        self._leader_healthy_until: dict[str, float] = {}
        self._overloaded_alone_since: dict[str, float] = {}
        self._leader_since: dict[str, float] = {}
        self._logged_leaders: dict[str, Member] = {}
        self._led: set[str] = set()
        self._known_databases: dict[str, KnownDatabases] = {}

    def process_age(self, now: float) -> float:
        """Return how long this proxy's process has run, in seconds."""
        return round(now - self._started_at, 3)

    def known_databases(self, service: str, now: float) -> Mapping[str, Known]:
        """Return since when each database of a service is known, and by what."""
        known = self._known_databases.setdefault(service, KnownDatabases())
        directory = self._fleet.directory
        departed = (each.database for each in directory.departed_of(service))
        named = self._fleet.group(service).changes.named(now)
        known.record(directory.of_service(service), departed, named, now)
        return known.by_identifier

    def observe(self, now: float) -> GroupsObserved:
        """Return an observation of all groups at `now`."""
        views = tuple(self._view(group, now) for group in self._fleet.watched_groups())
        return GroupsObserved(views, self._is_store_reachable())

    def _view(self, group: Group, now: float) -> GroupView:
        leader = group.leader
        service = group.service
        known = self.known_databases(service, now)
        if leader is not None:
            self._primaryless_since.pop(service, None)
            failing_since = leader.failing_since
            self._leader_healthy_until[service] = (
                now if failing_since is None else failing_since
            )
        else:
            self._record_primaryless(group, now)
        self._record_leader_change(group, leader, now)
        self._record_relief_needed(group, now)
        departed = self._fleet.directory.departed_of(service)
        fenced = (member.fenced_since for member in group.fenced_replicas)
        return GroupView(
            service,
            leader.database.identifier if leader else None,
            leader.database.is_draining if leader else False,
            group.term,
            tuple(member.database.identifier for member in group.replicas),
            frozenset(
                member.database.identifier
                for member in group.replicas
                if member.database.is_draining
            ),
            tuple(each.database.identifier for each in departed),
            leader.failing_since if leader else None,
            leader.stalled_since(now) if leader else None,
            self._primaryless_since.get(service),
            self._overloaded_alone_since.get(service),
            self._leader_healthy_until.get(service),
            group.lost_log_covered_by,
            min((each for each in fenced if each is not None), default=None),
            _former_leaders(group),
            leader.reported_primary_term if leader else 0,
            group.changes.later_term,
            group.changes.reported_anywhere,
            group.changes.pending_names(now),
            any(member.failing_since is None for member in group.replicas),
            _young(known, now) if group.in_sync else frozenset(),
        )

    def _record_primaryless(self, group: Group, now: float) -> None:
        """Record since when a group has had no primary.

        A process that has seen none yet counts anew when an entry appears: after an
        outage of the store the primary's may be among the last ones.
        """
        service, known = group.service, frozenset(group.members)
        is_returning = known > self._known.get(service, frozenset())
        self._known[service] = known
        if is_returning and service not in self._leader_healthy_until:
            self._primaryless_since[service] = now
        self._primaryless_since.setdefault(service, now)

    def _record_relief_needed(self, group: Group, now: float) -> None:
        """Record since when the leader is overloaded and no replica can help it."""
        configuration = self._fleet.configuration
        routes = configuration.routes.values() if configuration else ()
        staleness = lag_relief.min_staleness_seconds(routes, group.service)
        leader_since = self._leader_since.get(group.service, now)
        if lag_relief.needs_relief(group, staleness, leader_since, now):
            self._overloaded_alone_since.setdefault(group.service, now)
        else:
            self._overloaded_alone_since.pop(group.service, None)

    def _record_leader_change(
        self, group: Group, leader: Member | None, now: float
    ) -> None:
        former = self._logged_leaders.get(group.service)
        if _name_of(former) == _name_of(leader):
            if leader is not None:
                self._logged_leaders[group.service] = leader
            return
        self._leader_since[group.service] = now
        self._log_leader_change(group, former, now)
        if former is not None:
            log_reports(self._fleet, group.service, Noticed.LEADER, now)
        if leader is None:
            del self._logged_leaders[group.service]
        else:
            self._logged_leaders[group.service] = leader

    def _log_leader_change(
        self, group: Group, former: Member | None, now: float
    ) -> None:
        is_first = group.leader is not None and group.service not in self._led
        if is_first:
            self._led.add(group.service)
        logs.log(
            replace(
                leader_change(group, former),
                is_first=is_first,
                entries=len(group.members),
                all_entries=len(self._fleet.directory.databases),
                process_age_seconds=self.process_age(now),
            )
        )


def _name_of(member: Member | None) -> str:
    return member.database.identifier if member else ""


def known_log(member: Member) -> Position | None:
    """Return the newest position that a database's log is known to have reached.

    Return None if none is known.
    """
    log_end = member.lead.log_end if member.lead else None
    known = [each for each in (member.applied, log_end) if each is not None]
    return max(known, default=None)


def _former_leaders(group: Group) -> dict[str, Position]:
    """Return the replicas that were primary in the newest term, with their logs."""
    return {
        member.database.identifier: reached
        for member in group.replicas
        if member.led_term
        and member.led_term == group.term
        and (reached := known_log(member)) is not None
    }


def _young(known: Mapping[str, Known], now: float) -> frozenset[str]:
    """Return the databases that proxies without news may not have heard of yet.

    These count a group as complete for a while after their last news.
    """
    since = now - RESTART_SECONDS - YOUNG_MARGIN_SECONDS
    return frozenset(
        name for name, each in known.items() if each.incarnation_since > since
    )
