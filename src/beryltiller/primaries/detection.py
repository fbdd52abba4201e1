"""Suspicion of a primary, and the hold-off before a promotion.

Each group has a few watchers among the proxies, the same on every proxy that knows
the same members. They probe the group's databases. A primary is suspected at once
when it refuses connections or answers that it is no longer primary, and by a deadline
when it is silent.

A suspicion alone promotes nobody: the proxy itself may be cut off. It must also reach
enough other databases and the store, and most of the group's watchers must suspect
the same primary. Watchers then claim in their order, so that claims seldom collide.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf

from xxhash import xxh64_intdigest

from beryltiller.primaries.evidence import LOGS_NEEDED
from beryltiller.primaries.term_events import DatabaseGroup, Member, Observation


@dataclass(frozen=True, slots=True)
class DetectionSettings:
    """Hold the pace of probes and the deadlines of suspicion."""

    watchers_per_group: int = 5
    primary_probe_seconds: float = 0.25
    replica_probe_seconds: float = 0.5
    silence_seconds: float = 0.5
    reach_seconds: float = 1.2
    opinion_period_seconds: float = 0.2
    opinion_lifetime_seconds: float = 1.0
    claim_stagger_seconds: float = 0.15


@dataclass(frozen=True, slots=True)
class Health:
    """Hold how a database last behaved; `failing_since` is unset while it answers."""

    answered_at: float = -inf
    failing_since: float | None = None
    is_unreachable: bool = False
    probed_at: float = -inf

    def observed(self, observation: Observation, now: float) -> "Health":
        """Return the health after the end of one more request."""
        if observation is Observation.ANSWERED:
            return Health(answered_at=now, probed_at=self.probed_at)
        since = now if self.failing_since is None else self.failing_since
        is_unreachable = observation is Observation.UNREACHABLE
        return replace(self, failing_since=since, is_unreachable=is_unreachable)

    def is_suspected(self, now: float, settings: DetectionSettings) -> bool:
        """Tell whether the database is taken for lost.

        Silence counts from the first timeout, not from the last answer: a proxy that
        was itself paused does not take its own absence for the database's.
        """
        if self.failing_since is None:
            return False
        is_silent = now - self.failing_since >= settings.silence_seconds
        return self.is_unreachable or is_silent


@dataclass(frozen=True, slots=True)
class Opinion:
    """Hold a watcher's opinion, dated from when it was asked."""

    primary: str
    is_suspected: bool
    asked_at: float


@dataclass(frozen=True, slots=True)
class Detection:
    """Hold what one watcher knows of a group's databases and of the other watchers."""

    group: DatabaseGroup
    watchers: tuple[str, ...]
    name: str
    healths: Mapping[str, Health] = field(default_factory=dict)
    opinions: Mapping[str, Opinion] = field(default_factory=dict)
    agreed_since: float | None = None
    asked_at: float = -inf

    def health(self, database: str) -> Health:
        """Return a database's health; an unknown one has not failed."""
        return self.healths.get(database, Health())

    def with_health(self, database: str, health: Health) -> "Detection":
        """Return the detection with one database's health replaced."""
        return replace(self, healths={**self.healths, database: health})

    def observed(
        self,
        database: str,
        observation: Observation,
        now: float,
    ) -> "Detection":
        """Return the detection after the end of one request."""
        return self.with_health(
            database,
            self.health(database).observed(observation, now),
        )

    def with_opinion(self, peer: str, opinion: Opinion) -> "Detection":
        """Return the detection with a watcher's newest opinion."""
        held = self.opinions.get(peer)
        if peer not in self.watchers or (held and held.asked_at > opinion.asked_at):
            return self
        return replace(self, opinions={**self.opinions, peer: opinion})

    def is_majority(
        self,
        primary: str,
        now: float,
        settings: DetectionSettings,
    ) -> bool:
        """Tell whether most watchers, this one among them, suspect the primary."""
        if not self.health(primary).is_suspected(now, settings):
            return False
        oldest = now - settings.opinion_lifetime_seconds
        agreeing = sum(
            opinion.is_suspected
            and opinion.primary == primary
            and opinion.asked_at >= oldest
            for peer, opinion in self.opinions.items()
            if peer in self.watchers
        )
        return 2 * (1 + agreeing) > len(self.watchers)

    def reaches_others(
        self,
        primary: str,
        now: float,
        settings: DetectionSettings,
    ) -> bool:
        """Tell whether enough other databases answered after the primary failed."""
        failing_since = self.health(primary).failing_since or -inf
        oldest = max(now - settings.reach_seconds, failing_since)
        reached = (
            name
            for name in self.group.names
            if name != primary and self.health(name).answered_at >= oldest
        )
        return sum(1 for _ in reached) >= LOGS_NEEDED

    def judged(
        self,
        primary: str,
        is_store_reached: bool,
        now: float,
        settings: DetectionSettings,
    ) -> "Detection":
        """Return the detection with the moment since which all conditions held."""
        is_agreed = (
            is_store_reached
            and self.reaches_others(primary, now, settings)
            and self.is_majority(primary, now, settings)
        )
        if not is_agreed:
            return replace(self, agreed_since=None)
        since = now if self.agreed_since is None else self.agreed_since
        return replace(self, agreed_since=since)

    def may_claim(self, now: float, settings: DetectionSettings) -> bool:
        """Tell whether this watcher's turn to claim has come."""
        if self.agreed_since is None:
            return False
        return now >= self.agreed_since + self.stagger_seconds(settings)

    def stagger_seconds(self, settings: DetectionSettings) -> float:
        """Return how long this watcher lets those before it go first."""
        return self.watchers.index(self.name) * settings.claim_stagger_seconds

    def probes_due(
        self,
        primary: str,
        now: float,
        settings: DetectionSettings,
    ) -> tuple[str, ...]:
        """Return the databases to probe: at their pace, and once the primary fails."""
        failing_since = self.health(primary).failing_since or -inf
        periods = {primary: settings.primary_probe_seconds}
        return tuple(
            name
            for name in self.group.names
            if self.health(name).probed_at < failing_since
            or now - self.health(name).probed_at
            >= periods.get(name, settings.replica_probe_seconds)
        )


def watchers_of(group: str, members: Iterable[Member], count: int) -> tuple[str, ...]:
    """Return a group's watchers in order, from as many availability zones as possible.

    Rendezvous hashing gives each proxy about the same number of groups, and moves few
    of them when the members change.

    >>> members = [Member("p1", "a"), Member("p2", "a"), Member("p3", "b")]
    >>> sorted(watchers_of("orders", members, 3))
    ['p1', 'p2', 'p3']
    """
    by_zone: dict[str, list[str]] = defaultdict(list)
    for member in sorted(members, key=lambda each: _score(group, each.name)):
        by_zone[member.availability_zone].append(member.name)
    ranked = [
        (rank, _score(group, name), name)
        for names in by_zone.values()
        for rank, name in enumerate(names)
    ]
    return tuple(name for _, _, name in sorted(ranked)[:count])


def _score(group: str, name: str) -> int:
    return xxh64_intdigest(f"{group}/{name}".encode())
