"""Comparison of the logs of a fenced group, from which the successor is chosen.

The functions are pure. A successor must hold every acknowledged commit; so a database
that does not answer may be left out only if others hold whatever it may have received.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases.in_sync_set import COPIES, InSyncProcess
from beryltiller.sessions.databases.primary_change import PrimaryChange
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession.actions import (
    PromotionBasis,
)
from beryltiller.sessions.succession.events import (
    FenceResults,
    GroupView,
)
from beryltiller.sessions.succession.state import (
    Succession,
)


@unique
class LeftOut(Enum):
    """Why a database that does not answer is not waited for.

    FORMER_LOG_REACHED: the primary of the newest term that may have begun has stepped
    down, and a log reaches the end of its log; or it answers itself, and the database
    has departed.
    GONE: its registry entry was removed before the trouble began. REPLACED: it has
    ended, and a database that answered has its address and log. ENDED: a database of
    another service answers at its address. HELD_BY_OTHERS: all processes in sync but
    one have answered, so that each reported commit is in one of their logs.
    """

    FORMER_LOG_REACHED = "former log reached"
    GONE = "gone"
    REPLACED = "replaced"
    ENDED = "ended"
    HELD_BY_OTHERS = "held by others"


@dataclass(frozen=True, slots=True)
class Comparison:
    """What the answers of a group's databases show.

    `primaries` are the databases that report to be primary. `newest_term` is the newest
    one that a database or this proxy knows of, and `begun_term` the newest one that may
    have begun, also by a promotion that another proxy has announced. `not_fenced` are
    those that answered and are not fenced in the succession's term, `silent` those that
    did not answer and must be waited for, and `left_out` those that need not be.
    `longest` is the end of the most advanced log, and `successor` a replica that has
    it, or "" if none of those whose names are known has it. With `lacks_reported` it
    does not reach a commit that was reported: the logs that had it are lost.
    `missing` are the processes in sync whose logs nothing of this accounts for.
    `unfenced` are silent databases with an entry that have to be fenced all the same.
    """

    primaries: Mapping[str, DatabaseStatus]
    newest_term: int
    begun_term: int
    newest_fence: int
    not_fenced: frozenset[str]
    silent: frozenset[str]
    left_out: Mapping[str, LeftOut]
    longest: Position
    successor: str
    lacks_reported: bool = False
    missing: tuple[InSyncProcess, ...] = ()
    unfenced: frozenset[str] = frozenset()

    @property
    def has_candidate(self) -> bool:
        """Return True if a database that answered may succeed the primary."""
        return bool(self.successor) and not self.lacks_reported

    @property
    def change(self) -> PrimaryChange:
        """Return the change of primary that promotes the successor."""
        return PrimaryChange(self.newest_term, self.longest)

    @property
    def is_conclusive(self) -> bool:
        """Return True if all that may hold commits are fenced and one can succeed."""
        is_answered = not (self.silent or self.not_fenced or self.lacks_processes)
        return self.has_candidate and is_answered

    @property
    def lacks_processes(self) -> bool:
        """Return True if the missing processes may share a commit."""
        return _may_share_a_commit(self.missing)

    @property
    def has_present_primary(self) -> bool:
        """Return True if some database is primary in the newest term."""
        return any(each.term >= self.newest_term for each in self.primaries.values())


def compare(
    view: GroupView, succession: Succession, results: FenceResults
) -> Comparison:
    """Compare the databases' answers to the fence commands of a succession."""
    answers = {name: item for name, item in results.statuses.items() if item}
    silent = results.statuses.keys() - answers.keys() - results.replacements.keys()
    everyone = {**answers, **results.replacements}
    longest = max((each.received for each in everyone.values()), default=Position(0, 0))
    terms = [each.term for each in everyone.values()]
    newest_term = max([view.term, *terms])
    # A silent database may lead in a term of which this proxy has not heard.
    begun_term = max(newest_term, succession.begun_term, view.opposing_term)
    is_former_log_reached = (
        succession.former_log_end is not None
        and 0 < succession.former_term >= begun_term
        and longest >= succession.former_log_end
    )
    former_leaders = [
        name
        for name, each in answers.items()
        if each.term >= begun_term and _still_has_led_log(name, view, each)
    ]
    left_out: dict[str, LeftOut] = {}
    for name in silent:
        is_departed = name in view.departed or name in results.unknown
        is_departed_beside_leader = bool(former_leaders) and is_departed
        reason = _left_out(name, view, results, longest)
        if is_former_log_reached or is_departed_beside_leader:
            reason = LeftOut.FORMER_LOG_REACHED
        if reason is not None:
            left_out[name] = reason
    missing: tuple[InSyncProcess, ...] = ()
    if not is_former_log_reached:
        missing = _missing(view, results, longest)
    if len(results.in_sync) >= COPIES and not _may_share_a_commit(missing):
        left_out |= dict.fromkeys(silent - left_out.keys(), LeftOut.HELD_BY_OTHERS)
    term = succession.term
    return Comparison(
        primaries={name: each for name, each in everyone.items() if each.is_primary},
        newest_term=newest_term,
        begun_term=begun_term,
        newest_fence=max((each.fenced_term for each in everyone.values()), default=0),
        not_fenced=frozenset(
            name for name, each in everyone.items() if each.fenced_term < term
        ),
        silent=frozenset(silent - left_out.keys()),
        left_out=left_out,
        longest=longest,
        successor=_choose_successor(view, succession, answers, longest),
        lacks_reported=longest < view.reported or _is_lost(succession, longest),
        missing=missing,
        unfenced=_unfenced(results, left_out),
    )


def _is_lost(succession: Succession, longest: Position) -> bool:
    """Return True if all logs are empty beside that of the former primary."""
    former_log_end = succession.former_log_end
    return longest == ORIGIN and former_log_end is not None and former_log_end > ORIGIN


def _unfenced(results: FenceResults, left_out: Mapping[str, LeftOut]) -> frozenset[str]:
    """Return the silent databases that may run on beside the former primary.

    Others hold all that was reported, or every database has to be fenced.
    """
    return frozenset(
        name
        for name in results.silent_registered
        if left_out.get(name) is not LeftOut.HELD_BY_OTHERS
    )


def _may_share_a_commit(processes: tuple[InSyncProcess, ...]) -> bool:
    """Return True if some reported commit may be in the logs of these alone.

    It was reported once two databases were known to have it. Processes with one
    identifier have run one after the other.
    """
    return len({each.identifier for each in processes}) >= COPIES


def _missing(
    view: GroupView,
    results: FenceResults,
    longest: Position,
) -> tuple[InSyncProcess, ...]:
    """Return the processes in sync whose logs the answers do not stand for.

    The log of one that has ended is held by another database that has started at its
    address and has a log. Or a process with its identifier has started and answers, and
    a log reaches a position known to cover all that was reported until then. One that
    had drained, and has no entry any more, may run on, and count for proxies without
    news.
    """
    covered_by = view.lost_log_covered_by
    is_covered = covered_by is not None and longest >= covered_by
    answered = {(each.identifier, each.incarnation) for each in results.answered_by}
    logs_at = {
        each.address
        for each in results.answered_by
        if (status := results.statuses.get(each.identifier)) is not None
        and status.received > ORIGIN
    }

    def is_accounted(process: InSyncProcess) -> bool:
        name = process.identifier
        if (name, process.incarnation) in answered:
            return True
        if name in results.replacements:
            return results.replacements[name].received > ORIGIN
        if name in results.replaced:
            return process.address in logs_at
        registered = results.incarnations.get(name, process.incarnation)
        has_restarted = registered != process.incarnation
        return has_restarted and (name, registered) in answered and is_covered

    return tuple(each for each in results.in_sync if not is_accounted(each))


def _still_has_led_log(name: str, view: GroupView, answer: DatabaseStatus) -> bool:
    """Return True if a former leader's log reaches what it is known to have reached.

    A process that has started again holds nothing of before.
    """
    reached = view.former_leaders.get(name)
    return reached is not None and answer.received >= reached


def _left_out(
    name: str,
    view: GroupView,
    results: FenceResults,
    longest: Position,
) -> LeftOut | None:
    """Return why a database that does not answer is not waited for, or None if it is.

    One that has departed without a replacement receives no further commits. It may
    have been the only replica with earlier ones, unless a log reaches a position that
    covers all that was acknowledged before it departed.
    """
    if name in results.replaced:
        return LeftOut.REPLACED
    covered_by = view.lost_log_covered_by
    if name not in view.departed or covered_by is None or longest < covered_by:
        return None
    if name in results.gone:
        return LeftOut.GONE
    return LeftOut.ENDED if name in results.ended else None


def _choose_successor(
    view: GroupView,
    succession: Succession,
    answers: Mapping[str, DatabaseStatus],
    longest: Position,
) -> str:
    """Return the replica with the most advanced log, or "" if there is none.

    One that became known a moment ago is no successor yet: a proxy without news could
    not tell that all databases it knows are replicas still, and this one is primary.
    Among equal logs, replicas that are not draining are preferred, then those that an
    earlier request may promote, as that then changes nothing, and the current choice.
    """
    names = [name for name, each in answers.items() if each.received == longest]
    excluded = succession.refused_successors | view.young
    names = [name for name in names if name not in excluded]
    current_choice = succession.successor
    names.sort(
        key=lambda name: (
            name in view.draining,
            name not in view.pending,
            name != current_choice,
            name,
        )
    )
    return names[0] if names else ""


def promotion_basis(
    view: GroupView, succession: Succession, results: FenceResults, found: Comparison
) -> PromotionBasis:
    """Return what a promotion that `found` allows is based on."""
    return PromotionBasis(
        succession.cause,
        succession.former_primary or "",
        succession.term,
        results.statuses,
        results.replacements,
        {name: reason.value for name, reason in found.left_out.items()},
        succession.former_log_end,
        view.lost_log_covered_by,
        found.newest_term,
        max(succession.begun_term, view.opposing_term),
        succession.announced_version,
        succession.claimed_at,
        results.fenced_at,
    )


def asked_databases(succession: Succession, results: FenceResults) -> set[str]:
    """Return the databases that a round has asked or waited for, and the primary."""
    former_primary = succession.former_primary
    return {*results.statuses, *((former_primary,) if former_primary else ())}


def is_announced(
    succession: Succession, results: FenceResults, found: Comparison
) -> bool:
    """Return True if a change was announced as one of all terms that may have begun.

    The announcement then lists all databases that were asked.
    """
    covered_term = max(found.newest_term, succession.begun_term)
    return (
        succession.announced == found.change
        and covered_term >= found.begun_term
        and asked_databases(succession, results).issubset(succession.announced_asked)
    )
