"""Specification of the in-sync set of a group, checked exhaustively.

The set of the processes in sync is kept in the row of the announced change. A commit is
reported once two processes of the set are known to have it. A promoter accounts for all
of the set but one. All that a proxy knows may be forgotten at any step.

A group has a primary and two replicas. One of the three is `mobile`: its process may
end and start again, with its log or empty, as another process under its identifier. Any
entry may be late or lapse, so that it tells nothing. There are two proxies: a reporter,
and a keeper, which also promotes. What the reporter knows of the row may be old.

Any step may come late or never, except that a promotion that was confirmed takes
effect. A process may join at any time: no commit depends on how far its log is then.

Bounded: one promotion, fences that stay after it, one restart of one database, whose
second process does not leave, and a leaving process that is not taken back.
"""

from collections.abc import Iterator
from typing import Any

from minicheck import Protocol, check_safety

from tests.spec_in_sync_world import (
    DATABASES,
    NONE,
    PRIMARY,
    REPLICAS,
    End,
    Evidence,
    InSyncBounds,
    InSyncWorld,
    Known,
    Membership,
    Phase,
    Row,
    Rule,
    idle,
    replaced,
    with_log,
    without_reporter,
)
from tests.spec_parts import LOST, safety_protocol

MAX_STATES = 1_000_000

Steps = Iterator[tuple[str, InSyncWorld]]


class InSync:
    """The reports, the changes of the set and the promotion of a group."""

    def __init__(self, bounds: InSyncBounds, without: frozenset[Rule]) -> None:
        self._bounds = bounds
        self._mobile = bounds.mobile
        self._without = without

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        joining = Row(former=Membership.ABSENT)
        row = joining if self._bounds.is_joining else Row()
        initial = InSyncWorld(row=row, known=self._read(row))
        return safety_protocol("in sync", initial, self._transitions)

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _transitions(self, world: InSyncWorld) -> list[tuple[str, InSyncWorld]]:
        is_over = world.phase is Phase.PROMOTED and (
            self._bounds.writes in (world.reported, world.log_end)
        )
        if is_over:
            return []
        steps = [*self._commits(world), *self._processes(world), *self._joins(world)]
        if world.reported < self._bounds.writes:
            steps += self._reporter(world)
        if world.phase is not Phase.PROMOTED:
            steps += [
                *self._marks(world),
                *self._removal(world),
                *self._promoter(world),
            ]
        return steps

    def _is_up(self, world: InSyncWorld, database: int) -> bool:
        return world.is_up or database != self._mobile

    def _leads(self, world: InSyncWorld) -> bool:
        return world.leads and self._is_up(world, PRIMARY)

    def _commits(self, world: InSyncWorld) -> Steps:
        if not self._leads(world):
            return
        end = world.logs[PRIMARY]
        if end < self._bounds.writes:
            yield "append", with_log(world, PRIMARY, end + 1)
        for each in REPLICAS:
            is_following = self._is_up(world, each) and not world.fenced[each]
            if is_following and world.logs[each] < end:
                length = world.logs[each] + 1
                yield f"database {each} receives", with_log(world, each, length)

    def _processes(self, world: InSyncWorld) -> Steps:
        """End the mobile database's process, and start another one."""
        if world.is_up and not world.is_restarted:
            yield "process ends", world._replace(
                is_up=False,
                fenced=replaced(world.fenced, self._mobile, False),
                is_connected=False,
            )
        if not world.is_up:
            started = world._replace(is_up=True, is_restarted=True)
            yield "another process starts with its log", started
            leads = world.leads and self._mobile != PRIMARY
            empty = with_log(started, self._mobile, 0)
            yield "another process starts empty", empty._replace(leads=leads)

    def _reporter(self, world: InSyncWorld) -> Steps:
        """Let the reporter connect, read the row, restart, and report.

        A connection that was opened after the row was known is of no use until it is
        read again, so these two are one step.
        """
        known = self._read(world.row)
        yield "reporter reads the row", world._replace(known=known)
        if world.is_up and not world.is_connected:
            yield "reporter connects and reads the row", world._replace(
                known=known, is_connected=True
            )
            if not self._has(Rule.CONNECTION_BEFORE_ROW):
                yield "reporter connects", world._replace(is_connected=True)
        yield "reporter restarts and reads the row", without_reporter(world)._replace(
            known=known
        )
        yield from self._reports(world)

    def _read(self, row: Row) -> Known:
        counted = {Membership.MEMBER}
        if not self._has(Rule.LEAVING_MEMBER_SHOWS_NOTHING):
            counted.add(Membership.LEAVING)
        is_member = row.former in counted or row.successor in counted
        is_limited = row.end < self._bounds.writes and self._has(Rule.SAME_ROW)
        return Known(is_member, row.end if is_limited else NONE)

    def _reported(self, world: InSyncWorld) -> InSyncWorld:
        """Return the world after a report, which a promotion may have dropped."""
        reported = world.reported + 1
        is_promoted = world.phase is Phase.PROMOTED
        world = world._replace(
            reported=reported, is_lost=is_promoted and reported > world.log_end
        )
        is_last = reported == self._bounds.writes
        return without_reporter(world) if is_last else world

    def _reports(self, world: InSyncWorld) -> Steps:
        """Let the reporter hear of an acknowledgement, and report on a receipt.

        A receipt that was shown before the acknowledgement is of no further use.
        """
        copied = max(world.logs[each] for each in REPLICAS)
        acknowledged = world.acknowledged + 1
        is_acknowledging = self._leads(world) and acknowledged <= copied
        if is_acknowledging and self._counts(world, PRIMARY, Rule.SOURCE_IS_MEMBER):
            yield "primary acknowledges", world._replace(acknowledged=acknowledged)
        reported = world.reported + 1
        is_allowed = world.known.end == NONE or reported <= world.known.end
        if reported > world.acknowledged or not is_allowed:
            return
        for each in REPLICAS:
            is_shown = self._is_up(world, each) and reported <= world.logs[each]
            if is_shown and self._counts(world, each, Rule.RECEIPT_OF_MEMBER):
                yield f"report by the receipt of {each}", self._reported(world)

    def _counts(self, world: InSyncWorld, database: int, rule: Rule) -> bool:
        """Return True if the reporter takes what a database shows for a member's.

        The entry by which it knows the process may be late.
        """
        if database != self._mobile:
            return True
        return world.is_connected and (world.known.is_member or not self._has(rule))

    def _marks(self, world: InSyncWorld) -> Steps:
        if world.row.former is Membership.MEMBER:
            marked = world.row._replace(former=Membership.LEAVING)
            yield "mark as leaving", self._written(world, marked)

    def _joins(self, world: InSyncWorld) -> Steps:
        """Add the mobile database's process that runs."""
        row = world.row
        if not world.is_up:
            return
        is_new = self._bounds.is_joining and not world.is_restarted
        if is_new and row.former is Membership.ABSENT:
            joined = row._replace(former=Membership.MEMBER)
            yield "first process joins", self._written(world, joined)
        if world.is_restarted and row.successor is Membership.ABSENT:
            joined = row._replace(successor=Membership.MEMBER)
            yield "other process joins", self._written(world, joined)

    def _written(self, world: InSyncWorld, row: Row) -> InSyncWorld:
        """Return the world after a write of the row by another than the promoter."""
        is_refused = self._has(Rule.UNDER_ROW_VERSION)
        if world.phase is Phase.ANNOUNCED and is_refused:
            world = idle(world)
        return world._replace(row=row)

    def _removal(self, world: InSyncWorld) -> Steps:
        """Let the keeper learn of the end of the first process, and remove it."""
        evidence = world.evidence
        if evidence.end is End.UNKNOWN and world.row.former is not Membership.ABSENT:
            is_marked = world.row.former is Membership.LEAVING
            for end in self._ends(world):
                shown = evidence._replace(end=end, was_marked=is_marked)
                yield f"end shown: {end.name}", world._replace(evidence=shown)
        is_due = evidence.end is not End.UNKNOWN or not self._has(Rule.ASKED_AFTER_END)
        if is_due and evidence.log_end == NONE and self._leads(world):
            asked = evidence._replace(log_end=world.logs[PRIMARY])
            yield "primary tells its log end", world._replace(evidence=asked)
        if self._may_remove(world):
            yield "remove the first process", self._removed(world)

    def _ends(self, world: InSyncWorld) -> Iterator[End]:
        if not world.is_up or not self._has(Rule.END_SHOWN):
            yield End.NOTHING_LISTENS
        if world.is_restarted:
            yield End.REGISTERED_ANEW

    def _may_remove(self, world: InSyncWorld) -> bool:
        """Return True if the keeper may remove the mobile database's first process."""
        evidence, row = world.evidence, world.row
        is_shown = evidence.end is not End.UNKNOWN and evidence.log_end != NONE
        if not is_shown or row.former is Membership.ABSENT:
            return False
        if not evidence.was_marked and self._has(Rule.MARKED_BEFORE_REMOVED):
            return False
        others = [each for each in DATABASES if each != self._mobile]
        if world.is_up and row.successor is Membership.MEMBER:
            others.append(self._mobile)
        copies = sum(world.logs[each] >= evidence.log_end for each in others)
        return copies >= 2 or not self._has(Rule.TWO_COPIES_LEFT)

    def _removed(self, world: InSyncWorld) -> InSyncWorld:
        row = world.row._replace(former=Membership.ABSENT)
        is_succeeded = world.evidence.end is End.REGISTERED_ANEW
        if is_succeeded and self._has(Rule.REPLACED_BY_MEMBER):
            row = row._replace(successor=Membership.MEMBER)
        return self._written(world, row)._replace(evidence=Evidence())

    def _promoter(self, world: InSyncWorld) -> Steps:
        if world.evidence != Evidence() or world.phase is Phase.ANNOUNCED:
            yield "keeper restarts", idle(world)._replace(
                evidence=Evidence(), stepped_down=NONE
            )
        yield from self._fences(world)
        if world.phase is Phase.IDLE:
            for end in sorted(self._ends_of_logs(world, world.row)):
                row = world.row._replace(end=end)
                yield f"announce {end}", world._replace(
                    phase=Phase.ANNOUNCED, row=row, required=row, log_end=end
                )
            return
        if world.log_end in self._ends_of_logs(world, world.required):
            yield "confirm and promote", world._replace(
                phase=Phase.PROMOTED,
                required=Row(),
                evidence=Evidence(),
                stepped_down=NONE,
                is_lost=world.reported > world.log_end,
            )
        withdrawn = world.row._replace(end=NONE)
        yield "another proxy withdraws the change", self._written(world, withdrawn)
        yield "give up", idle(world)._replace(row=withdrawn, fenced=(False,) * 3)

    def _fences(self, world: InSyncWorld) -> Steps:
        """Fence a replica, or have the primary step down."""
        if self._leads(world):
            yield "primary steps down", world._replace(
                leads=False, stepped_down=world.logs[PRIMARY]
            )
        for each in REPLICAS:
            if self._is_up(world, each) and not world.fenced[each]:
                fenced = replaced(world.fenced, each, True)
                yield f"fence database {each}", world._replace(fenced=fenced)

    def _ends_of_logs(self, world: InSyncWorld, required: Row) -> set[int]:
        """Return the ends of the longest logs with which a change may be made.

        Any of the databases that are fenced may answer, or not.
        """
        answering = [
            each
            for each in DATABASES
            if self._is_up(world, each) and self._is_fenced(world, each)
        ]
        ends = {world.logs[each] for each in answering}
        return {
            end
            for end in ends
            if self._is_accounted(
                world, required, {e for e in answering if world.logs[e] <= end}, end
            )
        }

    def _is_fenced(self, world: InSyncWorld, database: int) -> bool:
        """Return True if a database's log cannot grow; an ended primary leads not."""
        return world.fenced[database] if database != PRIMARY else not world.leads

    def _is_accounted(
        self, world: InSyncWorld, required: Row, answers: set[int], end: int
    ) -> bool:
        """Return True if some databases' answers stand for all of the set but one."""
        if world.stepped_down != NONE:
            is_reached = end >= world.stepped_down
            if is_reached or not self._has(Rule.FORMER_LOG_IS_REACHED):
                return True
        static = (each for each in DATABASES if each != self._mobile)
        missing = sum(each not in answers for each in static)
        missing += self._missing_processes(world, required, answers, end)
        return missing <= (1 if self._has(Rule.ALL_BUT_ONE) else 2)

    def _missing_processes(
        self, world: InSyncWorld, required: Row, answers: set[int], end: int
    ) -> int:
        """Return how many of the mobile database's processes are not accounted for."""
        if not self._has(Rule.KEPT_IN_STORE):
            return 0
        counted = {Membership.MEMBER}
        if self._has(Rule.STILL_REQUIRED):
            counted.add(Membership.LEAVING)
        has_answered = self._mobile in answers
        is_successor_there = has_answered and world.is_restarted
        is_former = not (world.is_restarted and self._has(Rule.SAME_INCARNATION))
        is_former_there = (has_answered and is_former) or self._covers(
            world.evidence, end, is_successor_there
        )
        missing = required.former in counted and not is_former_there
        return missing + (required.successor in counted and not is_successor_there)

    def _covers(self, evidence: Evidence, end: int, is_successor_there: bool) -> bool:
        """Return True if a log's end covers what the first process may have had."""
        if evidence.log_end == NONE or end < evidence.log_end:
            return False
        match evidence.end:
            case End.UNKNOWN:
                return False
            case End.NOTHING_LISTENS:
                is_marked_first = self._has(Rule.COVERED_ONCE_MARKED)
                return evidence.was_marked or not is_marked_first or is_successor_there
            case End.REGISTERED_ANEW:
                is_needed = self._has(Rule.COVERED_BESIDE_SUCCESSOR)
                return is_successor_there or not is_needed


def check(bounds: InSyncBounds, *without: Rule) -> Any:
    """Return the result of an exhaustive check, leaving out the given rules."""
    model = InSync(bounds, frozenset(without)).protocol()
    return check_safety(model, max_states=MAX_STATES)


def is_kept(bounds: InSyncBounds, *without: Rule) -> bool:
    """Return True if an exhaustive check finds no reported commit that is lost."""
    result = check(bounds, *without)
    assert result["exhaustive"]
    holds = result["properties"][LOST]["holds"]
    assert isinstance(holds, bool)
    return holds
