"""Specification of which commits are reported to callers, checked exhaustively.

A commit is acknowledged by the primary once one other database has received it, and
reported to its caller by a proxy. No commit that was reported may be missing from the
log of a database when its promotion takes effect. There are three models:

`Reporting`: a group has a primary, a registered replica, and a database without an
entry yet, which follows the primary too. A cut separates the primary, that database and
a proxy from the replica, the promoter and the store.

`LaterTerm`: a second promoter does not know that another one promoted a database before
it. Term 2 has begun at a database that does not answer, and is followed by a replica.
The former primary of term 1 answers, and has stepped down.

`LateCommands`: an earlier promoter has fenced two replicas. Its commands to lift the
fences have got no answer, and may act at any time.

In each model any step may come late or never.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, NamedTuple

from minicheck import Protocol

WRITES = 2
NONE = -1
LOST = "reported commit lost"


class Rule(Enum):
    """The rules that keep reported commits, each of which a check can leave out.

    A proxy reports a commit once a registered replica has shown its RECEIPT. A change
    is ANNOUNCED before the promotion, and the announcement is OUTLASTING: proxies apply
    it for as long as the promotion may take effect. After the announcement, the
    promoter uses ENTRIES_AS_OF_CONFIRMATION, no older ones. A proxy that knows an entry
    knows the announcements that were written before: it follows them IN_ORDER. A change
    is announced AFTER_EARLIER promotions can no longer take effect, as proxies apply
    the newest announcement only.

    The row NAMES_NEWEST_TERM that a promotion may have begun; databases that do not
    answer are left out only if no later term than the known one is named. EVERY_CHANGE
    is written to the row, also that of a primary that has stepped down, and the term of
    one that was WITHDRAWN_COUNTS too. A proxy that knows a LATER_TERM_OBJECTS.

    A promoter that finds foreign fences waits until commands to lift them CANNOT_ACT.
    It does so ALSO_WITHOUT_FENCES: they may have been lifted already, by the first of
    two commands or by a restart.
    """

    RECEIPT = auto()
    ANNOUNCED = auto()
    OUTLASTING = auto()
    ENTRIES_AS_OF_CONFIRMATION = auto()
    IN_ORDER = auto()
    AFTER_EARLIER = auto()
    NAMES_NEWEST_TERM = auto()
    EVERY_CHANGE = auto()
    WITHDRAWN_COUNTS = auto()
    LATER_TERM_OBJECTS = auto()
    CANNOT_ACT = auto()
    ALSO_WITHOUT_FENCES = auto()


class Phase(Enum):
    """How far a promoter has come."""

    IDLE = auto()
    FENCING = auto()
    COMPARED = auto()
    ANNOUNCED = auto()
    ENTRIES_READ = auto()
    REQUESTED = auto()
    DONE = auto()


class Entry(Enum):
    """Whether the unknown database's entry came before or after the announcement."""

    NONE = auto()
    EARLY = auto()
    LATE = auto()


def _protocol(
    name: str, initial: Any, transitions: Callable[[Any], list[tuple[str, Any]]]
) -> Protocol:
    """Return a model whose states have a field `is_lost`.

    It is explored only until a commit is lost. Breadth-first search reaches that by a
    shortest path.
    """
    lost: list[Any] = []

    def next_states(world: Any) -> list[tuple[str, Any]]:
        if lost:
            return []
        steps = transitions(world)
        lost.extend(following for _, following in steps if following.is_lost)
        return steps

    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=next_states,
        invariants={LOST: lambda fields: not fields["is_lost"]},
    )


@dataclass(frozen=True, slots=True)
class ReportingBounds:
    """The limits of the model `Reporting`, and the exception from the rule RECEIPT.

    `cuts` is how often a cut may begin. With `at_once` a proxy that knows no change of
    the entries reports commits without a receipt, while a replica has shown that it
    receives them. With `is_heard_in_time` a proxy that is not cut off has heard of an
    announcement, and objected, before the confirmation. With `is_cut_noticed` a proxy
    that is cut off reports nothing at once. With `is_start_known` the database that is
    unknown at first starts later, and a proxy that is not cut off then knows that one
    is starting. With `is_start_slow` what replicas showed before the start, or the cut,
    is out of date when that database first receives a commit.
    """

    cuts: int = 1
    at_once: bool = False
    is_heard_in_time: bool = False
    is_cut_noticed: bool = False
    is_start_known: bool = False
    is_start_slow: bool = False


class ReportingWorld(NamedTuple):
    """A state of the model `Reporting`.

    Logs are represented by their lengths in term 1. `shown` is the greatest length that
    a registered replica has shown to the proxy, and with `is_recent` one has shown
    within a second that it receives all commits. `knows_entry` and `knows_start` are of
    the proxy, `is_known` is of the promoter; all three concern the unknown database.
    `heard_end` is where the successor's log ends by the announcement that the proxy
    applies, or -1, and `has_heard` tells whether that is the present one. `pending_end`
    is where the log ends of a database that an earlier promotion may still promote, or
    -1.
    """

    primary: int = 0
    replica: int = 0
    unknown: int = 0
    is_started: bool = True
    replica_fenced: bool = False
    unknown_fenced: bool = False
    shown: int = 0
    reported: int = 0
    is_recent: bool = False
    entry: Entry = Entry.NONE
    knows_entry: bool = False
    knows_start: bool = False
    has_heard: bool = False
    heard_end: int = NONE
    is_opposed: bool = False
    is_cut: bool = False
    cuts: int = 0
    phase: Phase = Phase.IDLE
    is_known: bool = False
    log_end: int = 0
    pending_end: int = NONE
    is_lost: bool = False


ReportingSteps = Iterator[tuple[str, ReportingWorld]]


class Reporting:
    """The reports of a proxy while a database is not registered yet."""

    def __init__(self, bounds: ReportingBounds, without: frozenset[Rule]) -> None:
        self._bounds = bounds
        self._without = without

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        initial = ReportingWorld(is_started=not self._bounds.is_start_known)
        return _protocol("reporting", initial, self._transitions)

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _transitions(self, world: ReportingWorld) -> list[tuple[str, ReportingWorld]]:
        if world.phase is Phase.DONE:
            return []
        return [
            *self._commits(world),
            *self._cuts(world),
            *self._receipts(world),
            *self._reports(world),
            *self._announcement(world),
            *self._earlier_promotion(world),
            *self._promoter(world),
        ]

    def _commits(self, world: ReportingWorld) -> ReportingSteps:
        if world.primary < WRITES:
            yield "append", world._replace(primary=world.primary + 1)
        is_behind = world.replica < world.primary
        if is_behind and not (world.replica_fenced or world.is_cut):
            yield "replica receives", world._replace(replica=world.replica + 1)
        is_following = world.is_started and not world.unknown_fenced
        if is_following and world.unknown < world.primary:
            yield "unknown receives", world._replace(unknown=world.unknown + 1)
        if not world.is_started:
            yield "unknown starts", world._replace(
                is_started=True,
                knows_start=not world.is_cut,
                is_recent=world.is_recent and not self._bounds.is_start_slow,
            )
        if world.is_started and world.entry is Entry.NONE:
            entry = Entry.LATE if _is_announced(world) else Entry.EARLY
            yield "entry arrives", world._replace(entry=entry)

    def _cuts(self, world: ReportingWorld) -> ReportingSteps:
        if world.is_cut:
            is_start_read = world.is_started and self._bounds.is_start_known
            yield "cut ends", world._replace(
                is_cut=False, knows_start=world.knows_start or is_start_read
            )
        elif world.cuts < self._bounds.cuts:
            yield "cut begins", world._replace(is_cut=True, cuts=world.cuts + 1)

    def _receipts(self, world: ReportingWorld) -> ReportingSteps:
        """Ask the registered replicas for their logs, and read entries."""
        if not world.is_cut:
            has_all = world.replica == world.primary and not world.replica_fenced
            yield "replica's status", world._replace(
                shown=max(world.shown, world.replica),
                is_recent=world.is_recent or (has_all and self._bounds.at_once),
            )
        if world.knows_entry:
            shown = max(world.shown, world.unknown)
            yield "unknown's status", world._replace(shown=shown)
        if world.is_recent:
            yield "a second passes", world._replace(is_recent=False)
        is_read = world.entry is not Entry.NONE and not world.is_cut
        is_ordered = self._has(Rule.IN_ORDER) and self._has(Rule.ANNOUNCED)
        is_overtaking = world.entry is Entry.LATE and not world.has_heard
        if is_read and not (is_overtaking and is_ordered):
            yield "proxy reads the entry", world._replace(knows_entry=True)

    def _reports(self, world: ReportingWorld) -> ReportingSteps:
        limit = max(world.replica, world.unknown)
        if self._has(Rule.RECEIPT) and not self._may_report_at_once(world):
            limit = min(limit, world.shown)
        if world.heard_end != NONE:
            limit = min(limit, world.heard_end)
        if world.reported < limit:
            yield "report", world._replace(reported=world.reported + 1)

    def _may_report_at_once(self, world: ReportingWorld) -> bool:
        is_noticed = world.is_cut and self._bounds.is_cut_noticed
        is_settled = not (world.knows_entry or world.knows_start)
        return world.is_recent and is_settled and not is_noticed

    def _announcement(self, world: ReportingWorld) -> ReportingSteps:
        is_written = _is_announced(world) and self._has(Rule.ANNOUNCED)
        if is_written and not world.is_cut and not world.has_heard:
            end = world.log_end if _has_announced(world) else world.pending_end
            yield "proxy hears of the change", world._replace(
                has_heard=True, heard_end=end, is_opposed=world.reported > end
            )
        if world.heard_end != NONE and not self._has(Rule.OUTLASTING):
            yield "announcement lapses", world._replace(heard_end=NONE)

    def _promoter(self, world: ReportingWorld) -> ReportingSteps:
        match world.phase:
            case Phase.IDLE:
                is_known = world.entry is not Entry.NONE
                yield "claim and read entries", world._replace(
                    phase=Phase.FENCING, is_known=is_known
                )
            case Phase.FENCING:
                yield from self._fence(world)
            case Phase.COMPARED:
                is_awaited = self._has(Rule.AFTER_EARLIER)
                if world.pending_end == NONE or not is_awaited:
                    yield "announce", world._replace(
                        phase=Phase.ANNOUNCED, has_heard=False, is_opposed=False
                    )
            case Phase.ANNOUNCED:
                yield from self._read_entries(world)
            case Phase.ENTRIES_READ:
                if self._is_confirmed(world):
                    yield "request the promotion", world._replace(phase=Phase.REQUESTED)
            case Phase.REQUESTED:
                yield "promotion takes effect", _promoted(world, world.log_end)
                yield "claim ends", _claim_ended(world)

    def _earlier_promotion(self, world: ReportingWorld) -> ReportingSteps:
        """Let a promotion take effect that an earlier promoter requested, or never.

        Nobody lifts fences or withdraws announcements before.
        """
        if world.pending_end != NONE:
            yield "earlier promotion has no effect", world._replace(
                pending_end=NONE, entry=_earlier(world.entry)
            )
            yield "earlier promotion takes effect", _promoted(world, world.pending_end)
        elif world.phase not in (Phase.IDLE, Phase.REQUESTED):
            yield "give up", _given_up(world)

    def _fence(self, world: ReportingWorld) -> ReportingSteps:
        if not world.replica_fenced:
            yield "fence the replica", world._replace(replica_fenced=True)
        if world.is_known and not (world.is_cut or world.unknown_fenced):
            yield "fence the unknown", world._replace(unknown_fenced=True)
        if self._are_fenced(world):
            yield "compare", world._replace(
                phase=Phase.COMPARED, log_end=_longest(world)
            )

    def _read_entries(self, world: ReportingWorld) -> ReportingSteps:
        """Read the entries once more; start over if a database has joined."""
        is_new = world.entry is not Entry.NONE and not world.is_known
        if is_new and self._has(Rule.ENTRIES_AS_OF_CONFIRMATION):
            is_pending = world.pending_end != NONE
            yield "find a new entry", world._replace(
                phase=Phase.FENCING,
                is_known=True,
                entry=world.entry if is_pending else _earlier(world.entry),
            )
        else:
            yield "find no new entry", world._replace(phase=Phase.ENTRIES_READ)

    def _are_fenced(self, world: ReportingWorld) -> bool:
        """Return True if all known databases answer that they are fenced."""
        is_unknown_fenced = world.unknown_fenced and not world.is_cut
        return world.replica_fenced and (is_unknown_fenced or not world.is_known)

    def _is_confirmed(self, world: ReportingWorld) -> bool:
        """Return True if the comparison holds and no proxy is known to object."""
        is_due = self._bounds.is_heard_in_time and not world.is_cut
        is_consent = not world.is_opposed and (world.has_heard or not is_due)
        is_same = self._are_fenced(world) and _longest(world) == world.log_end
        # That earlier promotions are waited for is a rule of tests/spec_succession.py.
        return is_same and is_consent and world.pending_end == NONE


def _has_announced(world: ReportingWorld) -> bool:
    """Return True if the present promoter has announced its change."""
    return world.phase in (Phase.ANNOUNCED, Phase.ENTRIES_READ, Phase.REQUESTED)


def _is_announced(world: ReportingWorld) -> bool:
    """Return True while an announced promotion may take effect."""
    return _has_announced(world) or world.pending_end != NONE


def _earlier(entry: Entry) -> Entry:
    """Return when an entry arrived with regard to announcements to come."""
    return Entry.NONE if entry is Entry.NONE else Entry.EARLY


def _claim_ended(world: ReportingWorld) -> ReportingWorld:
    """Return the world after a promoter ended whose promotion may still take effect.

    Its fences stay, and so does its announcement.
    """
    return world._replace(phase=Phase.IDLE, pending_end=world.log_end)


def _promoted(world: ReportingWorld, log_end: int) -> ReportingWorld:
    """Return the world after the promotion of a database took effect."""
    return world._replace(phase=Phase.DONE, is_lost=world.reported > log_end)


def _longest(world: ReportingWorld) -> int:
    """Return the length of the longest log that the promoter knows."""
    return max(world.replica, world.unknown if world.is_known else 0)


def _given_up(world: ReportingWorld) -> ReportingWorld:
    """Return the world after a promoter lifted its fences and withdrew its change."""
    return world._replace(
        phase=Phase.IDLE,
        replica_fenced=False,
        unknown_fenced=False,
        entry=_earlier(world.entry),
        has_heard=False,
        heard_end=NONE,
        is_opposed=False,
    )


@dataclass(frozen=True, slots=True)
class LaterTermBounds:
    """The limits of the model `LaterTerm`.

    With `is_proxy_cut` the proxy that reaches term 2 hears of announcements only after
    the cut. With `is_proxy_ahead` it has learned of term 2 before the second promoter's
    announcement, and the former primary has not stepped down for that promoter. With
    `is_row_lost` the store may come back from a copy of before the row.
    """

    is_proxy_cut: bool = True
    is_proxy_ahead: bool = False
    is_row_lost: bool = False


class LaterTermWorld(NamedTuple):
    """A state of the model `LaterTerm`.

    `leader` and `replica` are lengths of logs in term 2. `row_term` is the newest term
    that a promotion may have begun as the row names it. `has_departed` tells that the
    entries of the databases that do not answer have lapsed. `known_term` is the newest
    term that the second promoter knows of.
    """

    is_requested: bool = False
    has_begun: bool = False
    leader: int = 0
    replica: int = 0
    reported: int = 0
    proxy_term: int = 1
    is_cut: bool = True
    row_term: int = 1
    is_row_withdrawn: bool = False
    has_departed: bool = False
    phase: Phase = Phase.IDLE
    known_term: int = 1
    is_heard: bool = False
    is_opposed: bool = False
    is_lost: bool = False


LaterTermSteps = Iterator[tuple[str, LaterTermWorld]]


class LaterTerm:
    """A promotion by one who may not know of the term that has begun before."""

    def __init__(self, bounds: LaterTermBounds, without: frozenset[Rule]) -> None:
        self._bounds = bounds
        self._without = without

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return _protocol("later term", LaterTermWorld(), self._transitions)

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _transitions(self, world: LaterTermWorld) -> list[tuple[str, LaterTermWorld]]:
        if world.phase is Phase.DONE:
            return []
        return [
            *self._first_promotion(world),
            *self._commits(world),
            *self._row(world),
            *self._proxy(world),
            *self._second_promoter(world),
        ]

    def _first_promotion(self, world: LaterTermWorld) -> LaterTermSteps:
        """Promote a database, and announce this unless the primary has stepped down.

        The second promoter requests nothing before that can no longer take effect.
        """
        is_early = world.phase is not Phase.REQUESTED
        if not world.is_requested and world.phase is Phase.IDLE:
            announced = world._replace(is_requested=True, row_term=2)
            yield "announce and request the first promotion", announced
            is_written = self._has(Rule.EVERY_CHANGE)
            unannounced = announced if is_written else world._replace(is_requested=True)
            yield "request the first promotion after a step-down", unannounced
        if world.is_requested and not world.has_begun and is_early:
            yield "term 2 begins", world._replace(has_begun=True)

    def _commits(self, world: LaterTermWorld) -> LaterTermSteps:
        if world.has_begun and world.leader < 1:
            yield "append in term 2", world._replace(leader=world.leader + 1)
        if world.replica < world.leader:
            yield "replica receives", world._replace(replica=world.replica + 1)
        if world.is_cut:
            yield "cut ends", world._replace(is_cut=False)
            yield "entries lapse", world._replace(has_departed=True)

    def _row(self, world: LaterTermWorld) -> LaterTermSteps:
        if world.row_term == 2 and world.phase is Phase.IDLE:
            yield "a later holder withdraws the row", world._replace(
                is_row_withdrawn=True
            )
            if self._bounds.is_row_lost:
                yield "the row is lost", world._replace(row_term=1)

    def _proxy(self, world: LaterTermWorld) -> LaterTermSteps:
        is_due = not (self._bounds.is_proxy_ahead and world.phase is Phase.ANNOUNCED)
        if world.has_begun and is_due:
            yield "proxy learns of term 2", world._replace(proxy_term=2)
        # The replica has shown its log, and is registered.
        is_received = world.proxy_term == 2 and world.reported < world.replica
        if is_received:
            yield "report", world._replace(reported=world.reported + 1)
        is_reached = not (world.is_cut and self._bounds.is_proxy_cut)
        if world.phase is Phase.ANNOUNCED and is_reached and not world.is_heard:
            is_opposed = world.proxy_term > world.known_term
            yield "proxy hears of the change", world._replace(
                is_heard=True,
                is_opposed=is_opposed and self._has(Rule.LATER_TERM_OBJECTS),
            )

    def _second_promoter(self, world: LaterTermWorld) -> LaterTermSteps:
        match world.phase:
            case Phase.IDLE:
                if self._bounds.is_proxy_ahead and world.proxy_term < 2:
                    return
                yield "claim and read the row", world._replace(
                    phase=Phase.FENCING, known_term=self._term_in_row(world)
                )
            case Phase.FENCING:
                yield from self._compare(world)
            case Phase.ANNOUNCED:
                is_consent = world.is_heard or self._bounds.is_proxy_cut
                if is_consent and not world.is_opposed and self._may_leave_out(world):
                    yield "request after the announcement", world._replace(
                        phase=Phase.REQUESTED
                    )
            case Phase.REQUESTED:
                yield "promotion takes effect", world._replace(
                    phase=Phase.DONE, is_lost=world.reported > 0
                )

    def _term_in_row(self, world: LaterTermWorld) -> int:
        is_counted = not world.is_row_withdrawn or self._has(Rule.WITHDRAWN_COUNTS)
        is_read = is_counted and self._has(Rule.NAMES_NEWEST_TERM)
        return world.row_term if is_read else 1

    def _compare(self, world: LaterTermWorld) -> LaterTermSteps:
        """Leave out those that do not answer, as the former primary does.

        It has stepped down for this promoter, or it once led in the newest term known,
        and the others have departed; then the change is announced.
        """
        if not self._may_leave_out(world):
            return
        if not self._bounds.is_proxy_ahead:
            yield "request after the step-down", world._replace(phase=Phase.REQUESTED)
        if world.has_departed:
            yield "announce", world._replace(phase=Phase.ANNOUNCED)

    def _may_leave_out(self, world: LaterTermWorld) -> bool:
        """Return True if nothing known speaks for a term after the first one.

        Databases that answer tell the term, or that an earlier promoter fenced them.
        """
        return world.is_cut and world.known_term == 1


@dataclass(frozen=True, slots=True)
class LateCommandsBounds:
    """The limits of the model `LateCommands`.

    `commands` is how many commands to lift the second replica's fence may be under way.
    With `restarts` it may restart before the promoter's first command, without a fence.
    """

    commands: int = 1
    restarts: bool = False


class LateCommandsWorld(NamedTuple):
    """A state of the model `LateCommands`.

    The first replica is on the promoter's side of a cut, with the store, and the second
    one on the side of the primary and the proxy. Logs are represented by their lengths
    in term 1. `lifting` counts the commands to lift the second one's fence that are
    under way. A fence is foreign as long as the promoter has not sent its own.
    """

    primary: int = 0
    lengths: tuple[int, int] = (0, 0)
    fenced: tuple[bool, bool] = (True, True)
    lifting: int = 1
    has_restarted: bool = False
    reported: int = 0
    is_cut: bool = False
    cuts: int = 0
    phase: Phase = Phase.IDLE
    is_told: bool = False
    found_fences: bool = False
    answered: tuple[bool, bool] = (False, False)
    log_end: int = 0
    is_lost: bool = False


LateCommandsSteps = Iterator[tuple[str, LateCommandsWorld]]


class LateCommands:
    """A promotion while an earlier promoter's commands may still act."""

    def __init__(self, bounds: LateCommandsBounds, without: frozenset[Rule]) -> None:
        self._bounds = bounds
        self._without = without

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        initial = LateCommandsWorld(lifting=self._bounds.commands)
        return _protocol("late commands", initial, self._transitions)

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _transitions(
        self, world: LateCommandsWorld
    ) -> list[tuple[str, LateCommandsWorld]]:
        if world.phase is Phase.DONE:
            return []
        return [
            *self._commits(world),
            *self._earlier_promoter(world),
            *self._proxy(world),
            *self._promoter(world),
        ]

    def _commits(self, world: LateCommandsWorld) -> LateCommandsSteps:
        if world.primary < WRITES:
            yield "append", world._replace(primary=world.primary + 1)
        first, second = world.lengths
        if first < world.primary and not (world.fenced[0] or world.is_cut):
            yield "first receives", world._replace(lengths=(first + 1, second))
        if second < world.primary and not world.fenced[1]:
            yield "second receives", world._replace(lengths=(first, second + 1))
        if world.is_cut:
            yield "cut ends", world._replace(is_cut=False)
        elif world.cuts < 2:
            yield "cut begins", world._replace(is_cut=True, cuts=world.cuts + 1)

    def _earlier_promoter(self, world: LateCommandsWorld) -> LateCommandsSteps:
        """Let the earlier promoter's commands act; the first one's fence is lifted."""
        lifted = (world.fenced[0], False)
        if world.phase is Phase.IDLE and world.fenced[0]:
            yield "lift the first fence", world._replace(
                fenced=(False, world.fenced[1])
            )
        if world.lifting:
            yield "lift the second fence", world._replace(
                fenced=lifted, lifting=world.lifting - 1
            )
            yield "a command is lost", world._replace(lifting=world.lifting - 1)
        may_restart = self._bounds.restarts and world.phase is Phase.IDLE
        if may_restart and not world.has_restarted:
            yield "second restarts", world._replace(fenced=lifted, has_restarted=True)

    def _proxy(self, world: LateCommandsWorld) -> LateCommandsSteps:
        """Report what a registered replica has shown, unless the change drops it."""
        shown = max(0 if world.is_cut else world.lengths[0], world.lengths[1])
        limit = min(shown, world.log_end) if world.is_told else shown
        if world.reported < limit:
            yield "report", world._replace(reported=world.reported + 1)
        is_announced = world.phase in (Phase.ANNOUNCED, Phase.REQUESTED)
        if is_announced and not world.is_cut and not world.is_told:
            yield "proxy hears of the change", world._replace(is_told=True)

    def _promoter(self, world: LateCommandsWorld) -> LateCommandsSteps:
        match world.phase:
            case Phase.IDLE:
                yield "claim", world._replace(phase=Phase.FENCING)
            case Phase.FENCING:
                yield from self._fence(world)
                if all(world.answered):
                    yield "compare and announce", world._replace(
                        phase=Phase.ANNOUNCED, log_end=max(world.lengths)
                    )
            case Phase.ANNOUNCED:
                yield "give up", _again(world)
                if self._is_confirmed(world) and not self._must_wait(world):
                    yield "request the promotion", world._replace(phase=Phase.REQUESTED)
            case Phase.REQUESTED:
                yield "promotion takes effect", world._replace(
                    phase=Phase.DONE, is_lost=world.reported > world.log_end
                )

    def _fence(self, world: LateCommandsWorld) -> LateCommandsSteps:
        for index in range(2):
            is_reached = index == 0 or not world.is_cut
            if is_reached and not world.answered[index]:
                others = (world.fenced[1 - index], world.answered[1 - index])
                yield "fence", world._replace(
                    fenced=_pair(index, True, others[0]),
                    answered=_pair(index, True, others[1]),
                    found_fences=world.found_fences or world.fenced[index],
                )

    def _is_confirmed(self, world: LateCommandsWorld) -> bool:
        is_same = max(world.lengths) == world.log_end
        is_kept = world.reported <= world.log_end or not world.is_told
        return all(world.fenced) and not world.is_cut and is_same and is_kept

    def _must_wait(self, world: LateCommandsWorld) -> bool:
        """Return True while a command that the promoter waits for may still act."""
        is_due = world.found_fences or self._has(Rule.ALSO_WITHOUT_FENCES)
        return bool(world.lifting) and is_due and self._has(Rule.CANNOT_ACT)


def _pair(index: int, item: bool, other: bool) -> tuple[bool, bool]:
    """Return a pair with one item at an index, and another one at the other index."""
    return (item, other) if index == 0 else (other, item)


def _again(world: LateCommandsWorld) -> LateCommandsWorld:
    """Return the world after the promoter started over, with all fences left."""
    return world._replace(phase=Phase.FENCING, answered=(False, False), is_told=False)


Bounds = ReportingBounds | LaterTermBounds | LateCommandsBounds


def model(bounds: Bounds, *without: Rule) -> Any:
    """Return the checker's model, leaving out the given rules."""
    left_out = frozenset(without)
    match bounds:
        case ReportingBounds():
            return Reporting(bounds, left_out).protocol()
        case LaterTermBounds():
            return LaterTerm(bounds, left_out).protocol()
        case LateCommandsBounds():
            return LateCommands(bounds, left_out).protocol()
