"""Specification of which commits are reported to callers, checked exhaustively.

A commit is acknowledged by the primary once one other database has received it, and
reported to its caller by a proxy. No commit that was reported may be missing from the
log of a database when its promotion takes effect. There are three models:

`Reporting`: a group has a primary, a registered replica, and a database without an
entry yet, which follows the primary too. A cut separates the primary, that database and
a proxy from the replica, the promoter and the store.

`LaterTerm`, in tests/spec_later_terms.py: a promoter may not know of the newest term.

`LateCommands`, in tests/spec_late_commands.py: commands to lift fences may act late.

In each model any step may come late or never.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

from tests.spec_late_commands import LateCommands, LateCommandsBounds
from tests.spec_later_terms import LaterTerm, LaterTermBounds
from tests.spec_parts import LOST, WRITES, Phase, Rule, safety_protocol

NONE = -1
MAX_STATES = 150_000


class Entry(Enum):
    """Whether the unknown database's entry came before or after the announcement."""

    NONE = auto()
    EARLY = auto()
    LATE = auto()


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
    is out of date when that database first receives a commit. `restarts` is how often
    that database may start again, with its log and without its fence.
    """

    cuts: int = 1
    at_once: bool = False
    is_heard_in_time: bool = False
    is_cut_noticed: bool = False
    is_start_known: bool = False
    is_start_slow: bool = False
    restarts: int = 0


class ReportingWorld(NamedTuple):
    """A state of the model `Reporting`.

    Logs are represented by their lengths in term 1. `shown` is the greatest length that
    a registered replica has shown to the proxy, and with `is_recent` one has shown
    within a second that it receives all commits. `knows_entry` and `knows_start` are of
    the proxy, `is_known` is of the promoter; all three concern the unknown database.
    `heard_end` is where the successor's log ends by the announcement that the proxy
    applies, or -1, and `has_heard` tells whether that is the present one. `pending_end`
    is where the log ends of a database that an earlier promotion may still promote, or
    -1. `is_connection_new` is True if the unknown database has started again since the
    proxy last knew all announcements.
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
    restarts: int = 0
    is_connection_new: bool = False
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
        return safety_protocol("reporting", initial, self._transitions)

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
        if world.is_started and world.restarts < self._bounds.restarts:
            yield "unknown restarts", world._replace(
                unknown_fenced=False,
                restarts=world.restarts + 1,
                is_connection_new=True,
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
        is_unshown = world.is_connection_new and self._has(Rule.SAME_PROCESS)
        if world.knows_entry and not is_unshown:
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
                has_heard=True,
                heard_end=end,
                is_opposed=world.reported > end,
                is_connection_new=False,
            )
        elif world.is_connection_new and not world.is_cut:
            yield "proxy hears of no change", world._replace(is_connection_new=False)
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


def is_kept(bounds: Bounds, *without: Rule) -> bool:
    """Return True if an exhaustive check finds no reported commit that is lost."""
    result = check_safety(model(bounds, *without), max_states=MAX_STATES)
    assert result["exhaustive"]
    holds = result["properties"][LOST]["holds"]
    assert isinstance(holds, bool)
    return holds
