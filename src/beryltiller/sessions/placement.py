"""Choose the database for a statement, and how far its log must reach.

A read may run on any log that is proved to hold what its route demands; the nearest
and least loaded one is taken. Everything else runs at the leader.
"""

from collections.abc import Callable, Set
from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.sessions.catalog import Route, RouteKind
from beryltiller.sessions.connection_limits import ConnectionSupply
from beryltiller.sessions.groups import Group
from beryltiller.sessions.member import Member

# What a statement to another availability zone costs, expressed as time, so that a
# nearby database is preferred until it is this much slower.
REMOTE_ZONE_SECONDS = 0.04
LAGGING_SECONDS = 0.5
# Opening a connection takes the database a slot; one that is refused costs a round
# trip, and takes a place from statements that only this database can serve.
OPENING_SECONDS = 0.015
SCARCE_SECONDS = 0.1
DRAIN_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Need:
    """What a read demands of the log that it runs on.

    All commits acknowledged before `moment` must be in it, and the session's own up
    to `own`.
    """

    moment: float
    own: Position | None = None


SupplyOf = Callable[[Member], ConnectionSupply]


def always_idle(_: Member) -> ConnectionSupply:
    """Tell that a connection can be had at once."""
    return ConnectionSupply.IDLE


@dataclass(frozen=True, slots=True)
class Placement:
    """Run a read at `member`, whose log must hold `since`.

    At the leader, `needs_proof` asks for evidence that its term is in force.
    """

    member: Member
    since: Position | None
    needs_proof: bool


def read_need(route: Route, arrived_at: float, own: Position | None) -> Need:
    """Return what a read that arrived at a moment demands."""
    match route.kind:
        case RouteKind.PRIMARY:
            return Need(arrived_at)
        case RouteKind.BOUNDED_STALENESS:
            return Need(arrived_at - route.max_staleness_seconds)
        case RouteKind.READ_YOUR_WRITES:
            return Need(arrived_at - route.max_staleness_seconds, own)


@dataclass(frozen=True, slots=True)
class Placer:
    """Place statements from one availability zone.

    A draining primary without a successor gets no new work after `drain_seconds`.
    """

    availability_zone: str
    drain_seconds: float = DRAIN_SECONDS

    def place_read(
        self,
        group: Group,
        need: Need,
        now: float,
        tried: Set[str],
        supply_of: SupplyOf = always_idle,
    ) -> Placement | None:
        """Return where to read, or None when no log is known to serve.

        `tried` names databases that have refused this read already; `supply_of` tells
        how soon a connection to one can be had.
        """
        floor = group.floor(need.moment)
        since = _later(floor, need.own)
        leader = group.leader
        best: Placement | None = None
        best_cost = float("inf")
        for identifier, member in group.members.items():
            is_leader = member is leader
            if identifier in tried or not member.is_available(now):
                continue
            if member.database.is_draining or (floor is None and not is_leader):
                continue
            cost = self._cost(member, is_leader, since, now)
            cost += _supply_seconds(supply_of(member))
            if cost < best_cost:
                best_cost = cost
                best = _placement(member, is_leader, since)
        return best

    def place_leader(
        self, group: Group, now: float, tried: Set[str]
    ) -> Placement | None:
        """Return the leader, or None when none is known to work."""
        leader = group.leader
        if leader is None or not leader.is_available(now):
            return None
        if leader.database.identifier in tried:
            return None
        drains_since = leader.drains_since
        if drains_since is not None and now > drains_since + self.drain_seconds:
            return None
        return Placement(leader, None, needs_proof=True)

    def _cost(
        self, member: Member, is_leader: bool, since: Position | None, now: float
    ) -> float:
        cost = member.expected_seconds()
        if member.database.availability_zone != self.availability_zone:
            cost += REMOTE_ZONE_SECONDS
        if not is_leader and _is_behind(member, since) and member.is_lagging(now):
            cost += LAGGING_SECONDS
        return cost


def _supply_seconds(supply: ConnectionSupply) -> float:
    match supply:
        case ConnectionSupply.IDLE:
            return 0.0
        case ConnectionSupply.OPENING:
            return OPENING_SECONDS
        case ConnectionSupply.SCARCE:
            return SCARCE_SECONDS


def _placement(member: Member, is_leader: bool, since: Position | None) -> Placement:
    if is_leader:
        return Placement(member, None, needs_proof=True)
    return Placement(member, since, needs_proof=False)


def _is_behind(member: Member, since: Position | None) -> bool:
    return since is not None and (member.applied is None or member.applied < since)


def _later(one: Position | None, other: Position | None) -> Position | None:
    if one is None or other is None:
        return one or other
    return max(one, other)
