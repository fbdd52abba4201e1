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

The second replica may end once the first one has its log; its address is then empty
until a database with that log starts there, which is not fenced and follows the
primary. The promoter does not know it before its entry arrives. At an empty address the
promoter takes the replica as gone.

A promotion lifts all fences, before each replica has heard of the new term. Its request
may get no answer and take effect later, also after the promoter started over.
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
    sends commands to unfence only UNDER_CLAIM, and TO_FENCED replicas, one at a time:
    a fence tells of a command on its way, which may arrive after the claim. A promoter
    that finds a fence has AWAITED such commands before it confirms. Fences are lifted
    AFTER_PROMOTION, when no promotion can take effect any more.

    The promoter fences whichever database answers AT_ADDRESS of an ended replica, and
    compares its log. Evidence is taken from answers OF_ALL replicas. While a request
    without an answer may take effect, the promoter chooses the SAME_SUCCESSOR.
    """

    FENCE_ALL = auto()
    CHOOSE_LONGEST = auto()
    HOLD = auto()
    CONFIRM = auto()
    EVIDENCE_OF_UNFENCED = auto()
    UNDER_CLAIM = auto()
    TO_FENCED = auto()
    AWAITED = auto()
    AFTER_PROMOTION = auto()
    AT_ADDRESS = auto()
    EVIDENCE_OF_ALL = auto()
    SAME_SUCCESSOR = auto()


class Restart(Enum):
    """The period in which a fenced replica may restart, or one starts in its place."""

    NEVER = auto()
    BEFORE_REQUEST = auto()
    ANY_TIME = auto()


class Evidence(Enum):
    """A proxy's evidence: none, or from before or after all replicas were fenced."""

    NONE = auto()
    EARLY = auto()
    LATE = auto()


class Place(Enum):
    """The second replica's address: held by a known database, empty, or taken."""

    HELD = auto()
    EMPTY = auto()
    TAKEN = auto()


class World(NamedTuple):
    """A state of the protocol.

    A log is represented by its length in term 1, as only one primary writes there.
    `reported_lengths` are the lengths that the replicas reported when they were fenced,
    or -1. With `evidence` a proxy may return reads of the old primary; the promoter's
    hold time outlasts only evidence taken before all replicas were fenced. With
    `new_commit` the new leader has committed in term 2. While `earlier_claim` holds, an
    earlier promoter holds the duty. `unfencing` tells for each replica whether a
    command to unfence it is on its way. With `has_found_fence` the promoter found a
    replica fenced when it first commanded it. `unanswered` is the replica that an
    earlier request without an answer may still promote. With `is_overthrown` a second
    promotion took the lead from a leader that had committed, with a log that may lack
    this.
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
    has_found_fence: bool = False
    place: Place = Place.HELD
    unanswered: int = NO_DATABASE
    is_overthrown: bool = False


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits of the state space: the number of writes, and possible restarts.

    With `other_promoters` there is an earlier promoter and a later holder of the duty.
    `replacement` is the period in which a database may start in the place of the second
    replica after that ended. With `unanswered_request` one request gets no answer. With
    `cut_off_replica` a replica whose fence was lifted still follows the old primary.
    """

    writes: int = 2
    restart: Restart = Restart.NEVER
    other_promoters: bool = False
    replacement: Restart = Restart.NEVER
    unanswered_request: bool = False
    cut_off_replica: bool = False


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
            *self._replacement(world),
            *self._promotion(world),
            *self._unanswered_request(world),
        ]

    def _commits(self, world: World) -> Steps:
        if world.lengths[PRIMARY] < self._bounds.writes:
            yield "write", with_length(world, PRIMARY, world.lengths[PRIMARY] + 1)
        for replica in REPLICAS:
            length = world.lengths[replica]
            if self._follows(world, replica) and length < world.lengths[PRIMARY]:
                yield "receive", with_length(world, replica, length + 1)
        received = max(world.lengths[replica] for replica in REPLICAS)
        is_followed = world.leader == NO_DATABASE or self._bounds.cut_off_replica
        if is_followed and received > world.acknowledged:
            yield "acknowledge", world._replace(acknowledged=received)
        if world.leader != NO_DATABASE:
            yield "commit in term 2", world._replace(new_commit=True)

    def _follows(self, world: World, replica: int) -> bool:
        """Return True if a replica receives the log of the primary of term 1."""
        if world.fenced[replica - 1] or not _is_running(world, replica):
            return False
        is_cut_off = self._bounds.cut_off_replica and replica != world.leader
        return world.leader == NO_DATABASE or is_cut_off

    def _evidence(self, world: World) -> Steps:
        if world.evidence is not Evidence.NONE:
            yield "evidence lapses", world._replace(evidence=Evidence.NONE)
        is_late = world.is_requested or all(world.fenced)
        taken = Evidence.LATE if is_late else Evidence.EARLY
        for replica in REPLICAS:
            if self._gives_evidence(world, replica):
                yield "take evidence", world._replace(evidence=taken)

    def _gives_evidence(self, world: World, replica: int) -> bool:
        """Return True if a proxy takes a replica's answer as evidence of term 1."""
        asked = REPLICAS if self._has(Rule.EVIDENCE_OF_ALL) else (replica,)
        if world.leader in asked or not _is_running(world, replica):
            return False
        return all(self._passes_as_unfenced(world, each) for each in asked)

    def _passes_as_unfenced(self, world: World, replica: int) -> bool:
        """Return True unless a replica that runs is fenced, if that is asked."""
        is_asked = self._has(Rule.EVIDENCE_OF_UNFENCED) and _is_running(world, replica)
        return not (is_asked and world.fenced[replica - 1])

    def _fences(self, world: World) -> Steps:
        for replica in REPLICAS:
            index = replica - 1
            is_due = not world.fenced[index] or world.reported_lengths[index] < 0
            is_promoter = not world.earlier_claim and world.leader == NO_DATABASE
            if is_due and is_promoter:
                answers = self._answers(world, replica)
                fenced = with_item(world.fenced, index, answers)
                reported_lengths = with_item(
                    world.reported_lengths,
                    index,
                    world.lengths[replica] if answers else 0,
                )
                is_first = world.reported_lengths[index] < 0
                yield "fence", world._replace(
                    fenced=fenced,
                    reported_lengths=reported_lengths,
                    has_found_fence=world.has_found_fence
                    or (is_first and world.fenced[index]),
                )
            if self._may_restart(world) and world.fenced[index]:
                # Its connections end with it, and what is on its way over them.
                yield "restart", world._replace(
                    fenced=with_item(world.fenced, index, False),
                    unfencing=with_item(world.unfencing, index, False),
                )

    def _answers(self, world: World, replica: int) -> bool:
        """Return True if the promoter commands a database at a replica's address."""
        if replica == REPLICAS[0] or world.place is Place.HELD:
            return True
        return world.place is Place.TAKEN and self._has(Rule.AT_ADDRESS)

    def _replacement(self, world: World) -> Steps:
        """End the second replica, and start another database with its log there."""
        first, second = REPLICAS
        if self._bounds.replacement is Restart.NEVER or second == world.leader:
            return
        is_early = not world.is_requested
        is_covered = world.lengths[first] >= world.lengths[second]
        fenced = with_item(world.fenced, second - 1, False)
        if world.place is Place.HELD and is_covered and is_early:
            unfencing = with_item(world.unfencing, second - 1, False)
            ended = world._replace(
                place=Place.EMPTY, fenced=fenced, unfencing=unfencing
            )
            if world.successor == second:
                # Its promotion would be refused.
                ended = _without_choice(ended)
            yield "end", ended
        may_start = is_early or self._bounds.replacement is Restart.ANY_TIME
        if world.place is Place.EMPTY and may_start:
            yield "start in its place", world._replace(place=Place.TAKEN)
        if world.place is Place.TAKEN and is_early:
            yield "entry", world._replace(place=Place.HELD)

    def _unanswered_request(self, world: World) -> Steps:
        is_first = world.unanswered == NO_DATABASE
        is_pending = world.is_requested and world.leader == NO_DATABASE
        if self._bounds.unanswered_request and is_first and is_pending:
            yield "no answer", _without_choice(world)._replace(
                unanswered=world.successor, is_requested=False
            )
        if not is_first:
            is_overthrown = world.new_commit and world.leader != world.unanswered
            late = _with_leader(world, world.unanswered)
            yield "unanswered promotion takes effect", late._replace(
                unanswered=NO_DATABASE,
                is_overthrown=world.is_overthrown or is_overthrown,
            )

    def _other_promoters(self, world: World) -> Steps:
        if not self._bounds.other_promoters:
            return
        may_unfence = world.earlier_claim or not self._has(Rule.UNDER_CLAIM)
        for index, is_arriving in enumerate(world.unfencing):
            if world.earlier_claim:
                fenced = with_item(world.fenced, index, True)
                yield "fence by the earlier promoter", world._replace(fenced=fenced)
            is_told = world.fenced[index] or not self._has(Rule.TO_FENCED)
            if may_unfence and is_told and not is_arriving:
                unfencing = with_item(world.unfencing, index, True)
                yield "send a command to unfence", world._replace(unfencing=unfencing)
            if is_arriving:
                yield "unfence", world._replace(
                    fenced=with_item(world.fenced, index, False),
                    unfencing=with_item(world.unfencing, index, False),
                )
        if world.earlier_claim:
            yield "the earlier claim ends", world._replace(earlier_claim=False)
        is_requested = world.is_requested or world.unanswered != NO_DATABASE
        is_pending = is_requested and world.leader == NO_DATABASE
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
                if not self._may_choose(world, replica):
                    continue
                if is_longest or not self._has(Rule.CHOOSE_LONGEST):
                    yield "choose a successor", world._replace(successor=replica)
        is_held = world.evidence is Evidence.EARLY and self._has(Rule.HOLD)
        is_awaiting = world.has_found_fence and any(world.unfencing)
        if is_awaiting and self._has(Rule.AWAITED) and not world.is_requested:
            return
        if world.successor != NO_DATABASE and not world.is_requested and not is_held:
            yield from self._request_promotion(world)
        if world.is_requested and world.leader == NO_DATABASE and not is_held:
            yield "promotion takes effect", _with_leader(world, world.successor)

    def _may_choose(self, world: World, replica: int) -> bool:
        """Return True if a replica is known, and no other one may be promoted."""
        is_known = replica == REPLICAS[0] or world.place is Place.HELD
        is_same = world.unanswered in (NO_DATABASE, replica)
        return is_known and (is_same or not self._has(Rule.SAME_SUCCESSOR))

    def _request_promotion(self, world: World) -> Steps:
        """Request the promotion, or start over if a replica has changed."""
        answering = [each for each in REPLICAS if self._answers(world, each)]
        longest = max(world.lengths[replica] for replica in answering)
        is_longest = world.lengths[world.successor] == longest
        is_checked = self._has(Rule.CONFIRM) and self._has(Rule.FENCE_ALL)
        are_fenced = all(world.fenced[replica - 1] for replica in answering)
        if not is_checked or (are_fenced and self._is_best(is_longest)):
            yield "request the promotion", world._replace(is_requested=True)
        else:
            may_take_effect = world.unanswered != NO_DATABASE
            stays_fenced = may_take_effect and self._has(Rule.AFTER_PROMOTION)
            yield "start over", _without_choice(world)._replace(
                fenced=world.fenced if stays_fenced else (False, False)
            )

    def _is_best(self, is_longest: bool) -> bool:
        return is_longest or not self._has(Rule.CHOOSE_LONGEST)

    def _may_restart(self, world: World) -> bool:
        match self._bounds.restart:
            case Restart.NEVER:
                return False
            case Restart.BEFORE_REQUEST:
                is_unanswered = world.unanswered != NO_DATABASE
                return not (world.is_requested or is_unanswered)
            case Restart.ANY_TIME:
                return True


def with_length(world: World, database: int, length: int) -> World:
    """Return the world with one log's length replaced."""
    return world._replace(lengths=with_item(world.lengths, database, length))


def _is_running(world: World, replica: int) -> bool:
    return replica == REPLICAS[0] or world.place is not Place.EMPTY


def _without_choice(world: World) -> World:
    return world._replace(successor=NO_DATABASE, reported_lengths=(-1, -1))


def _with_leader(world: World, replica: int) -> World:
    """Return the world after a promotion took effect, which lifts all fences."""
    return world._replace(leader=replica, fenced=(False, False))


def with_item(items: tuple[Any, ...], index: int, item: object) -> Any:
    """Return the tuple with one item replaced."""
    return (*items[:index], item, *items[index + 1 :])


def violations(world: World) -> list[str]:
    """Return the invariants that do not hold in a state."""
    found = []
    if world.leader != NO_DATABASE and world.lengths[world.leader] < world.acknowledged:
        found.append(LOST)
    if world.is_overthrown and LOST not in found:
        found.append(LOST)
    if world.new_commit and world.evidence is not Evidence.NONE:
        found.append(STALE)
    return found


def model(bounds: Bounds, *without: Rule) -> Any:
    """Return the checker's model, leaving out the given rules."""
    return Specification(bounds, frozenset(without)).protocol()
