"""Specification of succession under synchronous replication, checked exhaustively.

There are three databases: the primary of term 1 and two replicas. A commit is
acknowledged once one replica has received it. A promoting proxy fences the replicas and
chooses a successor, whose promotion takes effect later. Another proxy may hold evidence
that term 1 is in force, with which it returns reads of the old primary. Any step may
come late or never; a dead primary is one that takes no more steps. A replica that
restarts is no longer fenced, so right before the promotion is requested, all replicas
are fenced and compared once more.

An earlier promoter may have fenced replicas too, and may unfence them; its commands to
unfence can arrive late. The promoter that is described above holds the duty after it. A
later holder may lift fences that are left.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, NamedTuple

from minicheck import Protocol

PRIMARY = 0
REPLICAS = (1, 2)
NO_DATABASE = -1

LOST = "acknowledged write lost"
STALE = "read of a replaced primary returned"


class Rule(Enum):
    """The safety rules of the protocol, each of which a check can leave out.

    Every replica is fenced, not just one; the successor has the longest log; HOLD lets
    early evidence lapse before the promotion; CONFIRM repeats the comparison right
    before the request; only a replica that is not fenced gives evidence. A promoter
    sends commands to unfence only UNDER_CLAIM, and a claim is OUTLASTING: no other one
    is accepted while such a command may still arrive. A later holder lifts fences
    AFTER_PROMOTION, when no promotion can take effect any more.
    """

    FENCE_ALL = auto()
    CHOOSE_LONGEST = auto()
    HOLD = auto()
    CONFIRM = auto()
    EVIDENCE_OF_UNFENCED = auto()
    UNDER_CLAIM = auto()
    OUTLASTING = auto()
    AFTER_PROMOTION = auto()


class Restart(Enum):
    """The period in which a fenced replica may restart."""

    NEVER = auto()
    BEFORE_REQUEST = auto()
    ANY_TIME = auto()


class Evidence(Enum):
    """A proxy's evidence: none, or from before or after all replicas were fenced."""

    NONE = auto()
    EARLY = auto()
    LATE = auto()


class World(NamedTuple):
    """A state of the protocol.

    A log is represented by its length in term 1, as only one primary writes there.
    `reported_lengths` are the lengths that the replicas reported when they were fenced,
    or -1. With `evidence` a proxy may return reads of the old primary; the promoter's
    hold time outlasts only evidence taken before all replicas were fenced. With
    `new_commit` the new leader has committed in term 2. While `earlier_claim` holds, an
    earlier promoter holds the duty. `unfencing` tells for each replica whether a
    command to unfence it is on its way.
    """

    lengths: tuple[int, int, int] = (0, 0, 0)
    fenced: tuple[bool, bool] = (False, False)
    reported_lengths: tuple[int, int] = (-1, -1)
    acknowledged: int = 0
    evidence: Evidence = Evidence.NONE
    successor: int = NO_DATABASE
    is_requested: bool = False
    leader: int = NO_DATABASE
    new_commit: bool = False
    earlier_claim: bool = False
    unfencing: tuple[bool, bool] = (False, False)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits of the state space: the number of writes, and possible restarts.

    With `other_promoters` there is an earlier promoter and a later holder of the duty.
    """

    writes: int = 2
    restart: Restart = Restart.NEVER
    other_promoters: bool = False


Steps = Iterator[tuple[str, World]]


class Specification:
    """The protocol's transitions, except for the rules that are left out."""

    def __init__(self, bounds: Bounds, without: frozenset[Rule]) -> None:
        self._bounds = bounds
        self._without = without

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name="succession",
            candidate=False,
            fields=World._fields,
            initial=World(earlier_claim=self._bounds.other_promoters),
            transitions=self._transitions,
            invariants={
                LOST: lambda fields: LOST not in violations(World(**fields)),
                STALE: lambda fields: STALE not in violations(World(**fields)),
            },
        )

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _transitions(self, world: World) -> list[tuple[str, World]]:
        return [
            *self._commits(world),
            *self._evidence(world),
            *self._fences(world),
            *self._other_promoters(world),
            *self._promotion(world),
        ]

    def _commits(self, world: World) -> Steps:
        if world.lengths[PRIMARY] < self._bounds.writes:
            yield "write", with_length(world, PRIMARY, world.lengths[PRIMARY] + 1)
        for replica in REPLICAS:
            length = world.lengths[replica]
            follows = not world.fenced[replica - 1] and world.leader == NO_DATABASE
            if follows and length < world.lengths[PRIMARY]:
                yield "receive", with_length(world, replica, length + 1)
        received = max(world.lengths[replica] for replica in REPLICAS)
        if world.leader == NO_DATABASE and received > world.acknowledged:
            yield "acknowledge", world._replace(acknowledged=received)
        if world.leader != NO_DATABASE:
            yield "commit in term 2", world._replace(new_commit=True)

    def _evidence(self, world: World) -> Steps:
        if world.evidence is not Evidence.NONE:
            yield "evidence lapses", world._replace(evidence=Evidence.NONE)
        is_late = world.is_requested or all(world.fenced)
        taken = Evidence.LATE if is_late else Evidence.EARLY
        for replica in REPLICAS:
            is_unfenced = not world.fenced[replica - 1]
            if self._has(Rule.EVIDENCE_OF_UNFENCED) and not is_unfenced:
                continue
            if world.leader == NO_DATABASE:
                yield "take evidence", world._replace(evidence=taken)

    def _fences(self, world: World) -> Steps:
        for replica in REPLICAS:
            index = replica - 1
            is_due = not world.fenced[index] or world.reported_lengths[index] < 0
            is_promoter = not world.earlier_claim and world.leader == NO_DATABASE
            if is_due and is_promoter:
                fenced = with_item(world.fenced, index, True)
                reported_lengths = with_item(
                    world.reported_lengths, index, world.lengths[replica]
                )
                yield "fence", world._replace(
                    fenced=fenced, reported_lengths=reported_lengths
                )
            if self._may_restart(world) and world.fenced[index]:
                fenced = with_item(world.fenced, index, False)
                yield "restart", world._replace(fenced=fenced)

    def _other_promoters(self, world: World) -> Steps:
        if not self._bounds.other_promoters:
            return
        may_unfence = world.earlier_claim or not self._has(Rule.UNDER_CLAIM)
        for index, is_arriving in enumerate(world.unfencing):
            if world.earlier_claim:
                fenced = with_item(world.fenced, index, True)
                yield "fence by the earlier promoter", world._replace(fenced=fenced)
            if may_unfence and not is_arriving:
                unfencing = with_item(world.unfencing, index, True)
                yield "send a command to unfence", world._replace(unfencing=unfencing)
            if is_arriving:
                yield "unfence", world._replace(
                    fenced=with_item(world.fenced, index, False),
                    unfencing=with_item(world.unfencing, index, False),
                )
        is_outlasting = self._has(Rule.OUTLASTING)
        if world.earlier_claim and not (is_outlasting and any(world.unfencing)):
            yield "the earlier claim ends", world._replace(earlier_claim=False)
        is_pending = world.is_requested and world.leader == NO_DATABASE
        if is_pending and not self._has(Rule.AFTER_PROMOTION):
            yield "a later holder unfences", world._replace(fenced=(False, False))

    def _promotion(self, world: World) -> Steps:
        if world.earlier_claim:
            return
        repliers = [
            replica for replica in REPLICAS if world.reported_lengths[replica - 1] >= 0
        ]
        needed = len(REPLICAS) if self._has(Rule.FENCE_ALL) else 1
        if world.successor == NO_DATABASE and len(repliers) >= needed:
            longest = max(world.reported_lengths)
            for replica in repliers:
                is_longest = world.reported_lengths[replica - 1] == longest
                if is_longest or not self._has(Rule.CHOOSE_LONGEST):
                    yield "choose a successor", world._replace(successor=replica)
        is_held = world.evidence is Evidence.EARLY and self._has(Rule.HOLD)
        if world.successor != NO_DATABASE and not world.is_requested and not is_held:
            yield from self._request_promotion(world)
        if world.is_requested and world.leader == NO_DATABASE and not is_held:
            yield "promotion takes effect", world._replace(leader=world.successor)

    def _request_promotion(self, world: World) -> Steps:
        """Request the promotion, or start over if a replica has changed."""
        longest = max(world.lengths[replica] for replica in REPLICAS)
        is_longest = world.lengths[world.successor] == longest
        is_checked = self._has(Rule.CONFIRM) and self._has(Rule.FENCE_ALL)
        if not is_checked or (all(world.fenced) and self._is_best(is_longest)):
            yield "request the promotion", world._replace(is_requested=True)
        else:
            yield "start over", world._replace(
                successor=NO_DATABASE, reported_lengths=(-1, -1), fenced=(False, False)
            )

    def _is_best(self, is_longest: bool) -> bool:
        return is_longest or not self._has(Rule.CHOOSE_LONGEST)

    def _may_restart(self, world: World) -> bool:
        match self._bounds.restart:
            case Restart.NEVER:
                return False
            case Restart.BEFORE_REQUEST:
                return not world.is_requested
            case Restart.ANY_TIME:
                return True


def with_length(world: World, database: int, length: int) -> World:
    """Return the world with one log's length replaced."""
    return world._replace(lengths=with_item(world.lengths, database, length))


def with_item(items: tuple[Any, ...], index: int, item: object) -> Any:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def violations(world: World) -> list[str]:
    """Return the invariants that do not hold in a state."""
    found = []
    if world.leader != NO_DATABASE and world.lengths[world.leader] < world.acknowledged:
        found.append(LOST)
    if world.new_commit and world.evidence is not Evidence.NONE:
        found.append(STALE)
    return found


def model(bounds: Bounds, *without: Rule) -> Any:
    """Return the checker's model, leaving out the given rules."""
    return Specification(bounds, frozenset(without)).protocol()
