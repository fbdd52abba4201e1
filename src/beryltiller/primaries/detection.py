"""Failure detection of primaries, and the conditions for claiming a new term.

Each group has a few watchers among the proxies; every proxy that knows the same
members selects the same ones. They probe the group's databases. A watcher suspects a
primary at once when it refuses connections or answers that it is no longer primary,
and after a timeout when it does not answer.

A suspicion alone does not start a promotion, because the watcher itself may be cut
off. It must also reach enough other databases and the store, and most of the group's
watchers must suspect the same primary. The watchers then claim the next term in a
fixed order with a delay between them, so that claims seldom collide.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf

from xxhash import xxh64_intdigest

from beryltiller.primaries.evidence import LOG_QUORUM
from beryltiller.primaries.term_events import DatabaseGroup, Member, Observation


@dataclass(frozen=True, slots=True)
class DetectionSettings:
    """Intervals of probes and of requests between watchers, and detection timeouts.

    A database that does not answer is suspected after `silence_seconds`, counted from
    the end of the first failed request. The store and the other databases
    count as reachable if they answered within `reachability_window_seconds`. Reports
    are requested every `suspicion_poll_seconds` while a primary is suspected, and each
    counts for `suspicion_lifetime_seconds` from the time it was requested. Each watcher
    claims `claim_stagger_seconds` later than the one before it.
    """

    watchers_per_group: int = 5
    primary_probe_seconds: float = 0.25
    replica_probe_seconds: float = 0.5
    silence_seconds: float = 0.5
    reachability_window_seconds: float = 1.2
    suspicion_poll_seconds: float = 0.2
    suspicion_lifetime_seconds: float = 1.0
    claim_stagger_seconds: float = 0.15


@dataclass(frozen=True, slots=True)
class Health:
    """A database's latest request results, as one watcher saw them.

    `failing_since` is the end of the first failed request since the last answer, or
    None while the database answers. `is_unreachable` is true if the last request failed
    at once: the connection was refused, or the database answered that it is no longer
    primary. `probed_at` is the time of the last status probe.
    """

    answered_at: float = -inf
    failing_since: float | None = None
    is_unreachable: bool = False
    probed_at: float = -inf

    def with_observation(self, observation: Observation, now: float) -> "Health":
        """Return a copy that includes the result of one more request."""
        if observation is Observation.ANSWERED:
            return Health(answered_at=now, probed_at=self.probed_at)
        since = now if self.failing_since is None else self.failing_since
        is_unreachable = observation is Observation.UNREACHABLE
        return replace(self, failing_since=since, is_unreachable=is_unreachable)

    def is_suspected(self, now: float, settings: DetectionSettings) -> bool:
        """Return True if the database is unreachable or has been timing out too long.

        `silence_seconds` count from the first failed request, not from the last
        answer, so that a proxy that was itself paused does not mistake its own pause
        for a failure of the database.
        """
        if self.failing_since is None:
            return False
        is_silent = now - self.failing_since >= settings.silence_seconds
        return self.is_unreachable or is_silent


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """A peer's report on one primary; `asked_at` is when it was requested."""

    primary: str
    is_suspected: bool
    asked_at: float


@dataclass(frozen=True, slots=True)
class Detection:
    """One watcher's view of a group: its databases' health and the peers' reports.

    `watchers` are in claim order, and `name` is the one that this view belongs to.
    `confirmed_since` is the time from which all conditions for a claim have held
    without a break, or None. `reports_requested_at` is when the watcher last requested
    reports from the others.
    """

    group: DatabaseGroup
    watchers: tuple[str, ...]
    name: str
    health_by_database: Mapping[str, Health] = field(default_factory=dict)
    suspicion_reports: Mapping[str, SuspicionReport] = field(default_factory=dict)
    confirmed_since: float | None = None
    reports_requested_at: float = -inf

    def health(self, database: str) -> Health:
        """Return a database's health; one never probed counts as not failing."""
        return self.health_by_database.get(database, Health())

    def with_health(self, database: str, health: Health) -> "Detection":
        """Return a copy with one database's health replaced."""
        return replace(
            self, health_by_database={**self.health_by_database, database: health}
        )

    def with_observation(
        self,
        database: str,
        observation: Observation,
        now: float,
    ) -> "Detection":
        """Return a copy that includes the result of one request to a database."""
        return self.with_health(
            database,
            self.health(database).with_observation(observation, now),
        )

    def with_suspicion_report(self, peer: str, report: SuspicionReport) -> "Detection":
        """Return a copy with a peer's report, unless a newer one is known.

        Reports from peers that are not watchers of the group are ignored.
        """
        previous = self.suspicion_reports.get(peer)
        if peer not in self.watchers or (
            previous and previous.asked_at > report.asked_at
        ):
            return self
        return replace(self, suspicion_reports={**self.suspicion_reports, peer: report})

    def is_suspected_by_majority(
        self,
        primary: str,
        now: float,
        settings: DetectionSettings,
    ) -> bool:
        """Return True if most watchers, including this one, suspect the primary."""
        if not self.health(primary).is_suspected(now, settings):
            return False
        oldest = now - settings.suspicion_lifetime_seconds
        confirming = sum(
            report.is_suspected
            and report.primary == primary
            and report.asked_at >= oldest
            for peer, report in self.suspicion_reports.items()
            if peer in self.watchers
        )
        return 2 * (1 + confirming) > len(self.watchers)

    def reaches_other_databases(
        self,
        primary: str,
        now: float,
        settings: DetectionSettings,
    ) -> bool:
        """Return True if enough other databases answered since the primary failed.

        The answers must also lie within `reachability_window_seconds`. An empty
        `primary` stands for none: all databases of the group are then counted.
        """
        failing_since = self.health(primary).failing_since or -inf
        oldest = max(now - settings.reachability_window_seconds, failing_since)
        reached = (
            name
            for name in self.group.names
            if name != primary and self.health(name).answered_at >= oldest
        )
        return sum(1 for _ in reached) >= LOG_QUORUM

    def with_confirmation(
        self,
        primary: str,
        is_store_reached: bool,
        now: float,
        settings: DetectionSettings,
    ) -> "Detection":
        """Return a copy whose `confirmed_since` reflects the conditions at `now`."""
        is_confirmed = (
            is_store_reached
            and self.reaches_other_databases(primary, now, settings)
            and self.is_suspected_by_majority(primary, now, settings)
        )
        if not is_confirmed:
            return replace(self, confirmed_since=None)
        since = now if self.confirmed_since is None else self.confirmed_since
        return replace(self, confirmed_since=since)

    def is_claim_due(self, now: float, settings: DetectionSettings) -> bool:
        """Return True if the failure is confirmed and the claim delay has passed."""
        if self.confirmed_since is None:
            return False
        return now >= self.confirmed_since + self.claim_delay_seconds(settings)

    def claim_delay_seconds(self, settings: DetectionSettings) -> float:
        """Return how long this watcher waits for those before it to claim first."""
        return self.watchers.index(self.name) * settings.claim_stagger_seconds

    def probes_due(
        self,
        primary: str,
        now: float,
        settings: DetectionSettings,
    ) -> tuple[str, ...]:
        """Return the databases whose probe interval has passed.

        When the primary starts to fail, every database that has not been probed since
        then is probed at once.
        """
        failing_since = self.health(primary).failing_since or -inf
        periods = {primary: settings.primary_probe_seconds}
        return tuple(
            name
            for name in self.group.names
            if self.health(name).probed_at < failing_since
            or now - self.health(name).probed_at
            >= periods.get(name, settings.replica_probe_seconds)
        )


def select_watchers(
    group: str, members: Iterable[Member], count: int
) -> tuple[str, ...]:
    """Return a group's watchers in claim order, spread over availability zones.

    Rendezvous hashing gives each proxy about the same number of groups, and reassigns
    few of them when the members change.

    >>> members = [Member("p1", "a"), Member("p2", "a"), Member("p3", "b")]
    >>> sorted(select_watchers("orders", members, 3))
    ['p1', 'p2', 'p3']
    """
    by_zone: dict[str, list[str]] = defaultdict(list)
    for member in sorted(members, key=lambda each: _rendezvous_score(group, each.name)):
        by_zone[member.availability_zone].append(member.name)
    ranked = [
        (rank, _rendezvous_score(group, name), name)
        for names in by_zone.values()
        for rank, name in enumerate(names)
    ]
    return tuple(name for _, _, name in sorted(ranked)[:count])


def _rendezvous_score(group: str, name: str) -> int:
    return xxh64_intdigest(f"{group}/{name}".encode())
