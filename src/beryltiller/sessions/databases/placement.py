"""Choice of the database for a statement, and of the log position it must have.

A read may run on any database whose log is proved to hold what the route requires; the
nearest and least loaded one is chosen. All other statements run on the leader.
"""

from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass
from statistics import median_low

from beryltiller.core.position import Position
from beryltiller.sessions.connections.connection_limits import ConnectionSupply
from beryltiller.sessions.databases.catalog import Route, RouteKind
from beryltiller.sessions.databases.evidence import Cover
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import NEVER, Member
from beryltiller.sessions.databases.regions import NO_REGIONS, Distance, Regions

# Cost of a statement to another availability zone, expressed as time: a database in the
# proxy's zone is preferred until it is this much slower.
REMOTE_ZONE_COST_SECONDS = 0.04
# The same for another zone of the region, if the settings give several: four round
# trips of 1 ms. A zone has no database of most services then, so that a higher cost
# would overload the databases of zones that have many proxies.
SAME_REGION_COST_SECONDS = 0.004
# The same for another region: four round trips of 60 ms. The link between regions has
# little bandwidth, so reads leave the region only if its databases are overloaded.
REMOTE_REGION_COST_SECONDS = 0.24
# Cost of a replica that recently refused a read because it was too far behind.
LAGGING_COST_SECONDS = 0.5
# Opening a connection takes a slot of the database. A refused connection costs a round
# trip, and takes a slot from statements that only this database can serve.
OPENING_COST_SECONDS = 0.015
SCARCE_COST_SECONDS = 0.1
# The other proxies whose statements are estimated from this proxy's own, at most. With
# more of them a single own statement says nothing of the others'.
MAX_COUNTED_PROXIES = 16
# A draining primary that has no successor after this time gets no new statements.
DRAIN_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class ReadRequirement:
    """A read's requirement on the log of the database that it runs on.

    The log must hold all commits acknowledged before `acknowledged_before`, and the
    session's own commits up to `own_position`.
    """

    acknowledged_before: float
    own_position: Position | None = None


SupplyOf = Callable[[Member], ConnectionSupply]


def always_idle(_: Member) -> ConnectionSupply:
    """Return `ConnectionSupply.IDLE`, for callers that ignore the supply."""
    return ConnectionSupply.IDLE


def one_proxy() -> int:
    """Return 1, for callers that do not know the number of proxies."""
    return 1


@dataclass(frozen=True, slots=True)
class Placement:
    """The database chosen for a statement, whose log must reach `since`.

    `since` is None if no position is required. `needs_proof` is True at the leader: the
    answer counts only with proof that the leader's term is in force. Its log must reach
    what it answered with before in this term, as its process may have restarted.
    `cover` is what a replica's `since` covers the required commits by.
    """

    member: Member
    since: Position | None
    needs_proof: bool
    cover: Cover | None = None


@dataclass(frozen=True, slots=True)
class ReadCost:
    """The parts of a read's cost at one database, in seconds.

    `latency` is the time until the answer under the load there. The others are
    penalties for its distance, for opening a connection, and for a log that is behind.
    """

    member: Member
    latency: float
    distance: float
    connection: float
    lag: float

    @property
    def seconds(self) -> float:
        """Return the sum of the parts."""
        return self.latency + self.distance + self.connection + self.lag


@dataclass(frozen=True, slots=True)
class ReadExclusion:
    """A database that cannot serve a read, and why."""

    member: Member
    reason: str


def read_requirement(
    route: Route,
    arrived_at: float,
    own: Position | None,
    unplaced_own_at: float = NEVER,
) -> ReadRequirement:
    """Return what a read of the route that arrived at `arrived_at` requires.

    `own` is the position of the session's own commits, and `unplaced_own_at` is when
    the last one whose position is not known was acknowledged.
    """
    match route.kind:
        case RouteKind.PRIMARY:
            return ReadRequirement(arrived_at)
        case RouteKind.BOUNDED_STALENESS:
            return ReadRequirement(arrived_at - route.max_staleness_seconds)
        case RouteKind.READ_YOUR_WRITES:
            oldest = arrived_at - route.max_staleness_seconds
            return ReadRequirement(max(oldest, unplaced_own_at), own)


@dataclass(frozen=True, slots=True)
class Placer:
    """The placement rules for statements from one availability zone.

    A draining primary without a successor gets no new work after `drain_seconds`.
    `count_proxies` returns how many proxies send statements to the same databases: a
    proxy takes each of the others to have as many statements there as it has itself.
    """

    availability_zone: str
    drain_seconds: float = DRAIN_SECONDS
    regions: Regions = NO_REGIONS
    count_proxies: Callable[[], int] = one_proxy

    def place_read(
        self,
        group: Group,
        requirement: ReadRequirement,
        now: float,
        tried: Set[str],
        supply_of: SupplyOf = always_idle,
    ) -> Placement | None:
        """Return the cheapest placement of a read, or None if no database can serve it.

        `tried` names databases that already refused this read; `supply_of` returns how
        soon a connection to a member is available.
        """
        cover = group.cover(requirement.acknowledged_before)
        since = _later(cover.position if cover else None, requirement.own_position)
        leader = group.leader
        candidates = [
            member
            for identifier, member in group.members.items()
            if identifier not in tried
            and not _exclusion(member, member is leader, cover, now)
        ]
        if not candidates:
            return None
        costs = self._costs(group, candidates, since, now, supply_of)
        chosen = min(costs, key=lambda each: each.seconds).member
        return _placement(chosen, chosen is leader, since, cover)

    def explain_read(
        self,
        group: Group,
        requirement: ReadRequirement,
        now: float,
        supply_of: SupplyOf = always_idle,
    ) -> tuple[ReadCost | ReadExclusion, ...]:
        """Return what `place_read` weighs for each database, without placing a read."""
        cover = group.cover(requirement.acknowledged_before)
        since = _later(cover.position if cover else None, requirement.own_position)
        reasons = {
            member: _exclusion(member, member is group.leader, cover, now)
            for member in group.members.values()
        }
        usable = [member for member, reason in reasons.items() if not reason]
        excluded = (
            ReadExclusion(member, reason)
            for member, reason in reasons.items()
            if reason
        )
        if not usable:
            return tuple(excluded)
        return (*self._costs(group, usable, since, now, supply_of), *excluded)

    def _costs(
        self,
        group: Group,
        candidates: Sequence[Member],
        since: Position | None,
        now: float,
        supply_of: SupplyOf,
    ) -> list[ReadCost]:
        proxies = min(max(1, self.count_proxies()), MAX_COUNTED_PROXIES)
        neutral = median_low(each.observed.latency_seconds for each in candidates)
        leader = group.leader
        return [
            ReadCost(
                member,
                member.expected_latency_seconds(now, proxies, neutral),
                _distance_cost_seconds(self._distance(member)),
                _supply_cost_seconds(supply_of(member)),
                (
                    LAGGING_COST_SECONDS
                    if member is not leader
                    and _is_behind(member, since)
                    and member.is_lagging(now)
                    else 0.0
                ),
            )
            for member in candidates
        ]

    def place_leader(
        self, group: Group, now: float, tried: Set[str]
    ) -> Placement | None:
        """Return a placement on the leader, or None if no usable leader is known."""
        leader = group.leader
        if leader is None or not leader.is_available(now):
            return None
        if leader.database.identifier in tried:
            return None
        draining_since = leader.draining_since
        if draining_since is not None and now > draining_since + self.drain_seconds:
            return None
        return _leader_placement(leader)

    def _distance(self, member: Member) -> Distance:
        zone = member.database.availability_zone
        return self.regions.distance(self.availability_zone, zone)


def _exclusion(member: Member, is_leader: bool, cover: Cover | None, now: float) -> str:
    """Return why a database cannot serve a read, or empty text if it can."""
    if not member.is_available(now):
        return "it fails, and is tried again later"
    if member.database.is_draining:
        return "it is draining"
    if cover is None and not is_leader:
        return "no position is proved that the read must see"
    return ""


def _distance_cost_seconds(distance: Distance) -> float:
    match distance:
        case Distance.SAME_ZONE:
            return 0.0
        case Distance.SAME_REGION:
            return SAME_REGION_COST_SECONDS
        case Distance.OTHER_ZONE:
            return REMOTE_ZONE_COST_SECONDS
        case Distance.OTHER_REGION:
            return REMOTE_REGION_COST_SECONDS


def _supply_cost_seconds(supply: ConnectionSupply) -> float:
    match supply:
        case ConnectionSupply.IDLE:
            return 0.0
        case ConnectionSupply.OPENING:
            return OPENING_COST_SECONDS
        case ConnectionSupply.SCARCE:
            return SCARCE_COST_SECONDS


def _placement(
    member: Member, is_leader: bool, since: Position | None, cover: Cover | None
) -> Placement:
    if is_leader:
        return _leader_placement(member)
    return Placement(member, since, needs_proof=False, cover=cover)


def _leader_placement(leader: Member) -> Placement:
    since = leader.lead.answered if leader.lead else None
    return Placement(leader, since, needs_proof=True)


def _is_behind(member: Member, since: Position | None) -> bool:
    return since is not None and (member.applied is None or member.applied < since)


def _later(one: Position | None, other: Position | None) -> Position | None:
    if one is None or other is None:
        return one or other
    return max(one, other)
