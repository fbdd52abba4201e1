"""Model of terms and promotion, small enough for an exhaustive check.

Pauses, crashes, cut links and lost messages need no transitions of their own, because
any step may come late or never. A lost answer is a step whose effect the sender does
not see. Time is abstract: evidence may lapse at any moment, and a promoter's wait is
over when all evidence that was read before its claim has lapsed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum, auto
from functools import lru_cache
from typing import Any, NamedTuple

from minicheck import Protocol

Log = tuple[int, ...]
NO_DATABASE = -1


class Rule(Enum):
    """Safety rules of the protocol, each of which can be removed from the model.

    `CLAIM_BY_COMPARE_AND_SET`: a claim replaces only the row that was read.
    `CLAIM_OWN_TERM`: a promoter acts only in a term that it has claimed itself.
    `FENCE_TWO`: two databases are fenced before one is opened.
    `CHOOSE_MOST_ADVANCED`: of the fenced databases, the one with the most advanced log
    is opened. `COMPARE_TERM_FIRST`: logs are compared by the term of the last entry,
    then by its index. `KEEP_CHOICE`: at most one database is opened in a term.
    `WAIT_FOR_LAPSE`: unless the former primary is fenced, evidence of older terms must
    have lapsed. `COUNT_FORMER_PRIMARY`: a fenced former primary may be chosen.
    `DATE_FROM_START`: evidence is dated from the start of its read, so that the answers
    to reads in flight lapse as well. `PENDING_IS_NO_EVIDENCE`: a pending row is no
    evidence of the term before it. `COUNT_LOGS_IN_TERM`: the two-log check counts only
    databases whose accepted term is that of the write.
    """

    CLAIM_BY_COMPARE_AND_SET = auto()
    CLAIM_OWN_TERM = auto()
    FENCE_TWO = auto()
    CHOOSE_MOST_ADVANCED = auto()
    COMPARE_TERM_FIRST = auto()
    KEEP_CHOICE = auto()
    WAIT_FOR_LAPSE = auto()
    COUNT_FORMER_PRIMARY = auto()
    DATE_FROM_START = auto()
    PENDING_IS_NO_EVIDENCE = auto()
    COUNT_LOGS_IN_TERM = auto()


class Role(IntEnum):
    """Role of a database in the highest term that it has accepted."""

    PRIMARY = auto()
    REPLICA = auto()
    FENCED = auto()


class Database(NamedTuple):
    """A database: its accepted term and role, and the term of each log entry."""

    accepted_term: int
    role: Role
    log: Log = ()

    @property
    def last(self) -> tuple[int, int]:
        """Return the term and index of the last log entry, or (0, 0) without one."""
        return (self.log[-1] if self.log else 0, len(self.log))

    def holds(self, entry: tuple[int, int]) -> bool:
        """Return True if the log has an entry of this term at this index."""
        term, index = entry
        return len(self.log) >= index and self.log[index - 1] == term


class Row(NamedTuple):
    """The group's row in the store; `primary` is that of the last open term."""

    term: int
    is_open: bool
    promoter: int
    primary: int


class Promoter(NamedTuple):
    """A promoter's knowledge of its promotion.

    `former_position` is the last log position of the former primary, once fenced.
    `best` is the fenced database with the most advanced log, and `best_last` that
    log's last position.
    """

    term: int = 0
    former_primary: int = NO_DATABASE
    fenced: tuple[int, ...] = ()
    best: int = NO_DATABASE
    best_last: tuple[int, int] = (0, 0)
    former_position: tuple[int, int] | None = None


class World(NamedTuple):
    """A state of the model.

    `evidence` is the term that a proxy's evidence allows writes in, or 0, and
    `read_in_flight` the term shown by a store read that is not answered yet.
    `first_holder` is the first status of the two-log check, as term, index and
    database; `safe_write` is the first write acknowledged by that check. `opened` has
    the term, promoter and database of each opened term.
    """

    row: Row
    databases: tuple[Database, ...]
    promoters: tuple[Promoter, ...]
    evidence: int = 0
    read_in_flight: int = 0
    first_holder: tuple[int, int, int] | None = None
    safe_write: tuple[int, int] | None = None
    opened: tuple[tuple[int, int, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the state space, and the parts of the protocol that are modelled.

    Without `is_interleaved`, replication, store reads and the two-log check take steps
    only while the row is open.
    """

    terms: int
    writes: int
    promoters: int
    has_evidence: bool
    has_two_logs: bool
    has_switchover: bool = True
    has_lost_answers: bool = True
    is_interleaved: bool = True


Steps = Iterator[tuple[str, World]]


def with_database(world: World, index: int, database: Database) -> World:
    """Return a copy of the state with one database replaced."""
    changed = (*world.databases[:index], database, *world.databases[index + 1 :])
    return world._replace(databases=changed)


def with_promoter(world: World, index: int, promoter: Promoter) -> World:
    """Return a copy of the state with one promoter replaced."""
    changed = (*world.promoters[:index], promoter, *world.promoters[index + 1 :])
    return world._replace(promoters=changed)


class Specification:
    """The protocol as a transition system within bounds, without removed rules."""

    def __init__(
        self, bounds: Bounds, removed_rules: frozenset[Rule] = frozenset()
    ) -> None:
        self._bounds = bounds
        self._removed_rules = removed_rules
        self._has_violation = False

    def protocol(self) -> Protocol:
        """Return the transition system, its initial state and its invariant."""
        databases = (
            Database(1, Role.PRIMARY),
            Database(1, Role.REPLICA),
            Database(1, Role.REPLICA),
        )
        promoters = (Promoter(),) * self._bounds.promoters
        initial = World(Row(1, True, 0, 0), databases, promoters, opened=((1, 0, 0),))
        return Protocol(
            name="terms",
            candidate=False,
            fields=World._fields,
            initial=initial,
            transitions=self._transitions,
            invariants={"safe": self._is_safe},
        )

    def _enforces(self, rule: Rule) -> bool:
        return rule not in self._removed_rules

    def _is_safe(self, fields: dict[str, Any]) -> bool:
        if violations(World(**fields)):
            self._has_violation = True
            return False
        return True

    def _transitions(self, world: World) -> list[tuple[str, World]]:
        if self._has_violation:
            return []
        steps: list[tuple[str, World]] = []
        if self._bounds.is_interleaved or world.row.is_open:
            steps += self._replication_steps(world)
            steps += self._evidence_steps(world) if self._bounds.has_evidence else ()
            steps += self._two_log_steps(world) if self._bounds.has_two_logs else ()
        for index, promoter in enumerate(world.promoters):
            steps += self._claim_steps(world, index)
            if promoter.term:
                steps += self._promotion_steps(world, index, promoter)
        return steps

    def _replication_steps(self, world: World) -> Steps:
        written = written_entries(world)
        for index, primary in enumerate(world.databases):
            if primary.role is not Role.PRIMARY:
                continue
            if len(written) < self._bounds.writes:
                appended = primary._replace(log=(*primary.log, primary.accepted_term))
                yield "write", with_database(world, index, appended)
            for other, replica in enumerate(world.databases):
                if other == index or replica.accepted_term > primary.accepted_term:
                    continue
                if (
                    replica.accepted_term < primary.accepted_term
                    or replica.role is Role.FENCED
                ):
                    common = common_prefix(replica.log, primary.log)
                    follower = Database(primary.accepted_term, Role.REPLICA, common)
                    yield "follow", with_database(world, other, follower)
                elif len(replica.log) < len(primary.log):
                    log = primary.log[: len(replica.log) + 1]
                    yield "copy", with_database(world, other, replica._replace(log=log))

    def _evidence_steps(self, world: World) -> Steps:
        is_readable = world.row.is_open or not self._enforces(
            Rule.PENDING_IS_NO_EVIDENCE
        )
        if is_readable:
            term = world.row.term if world.row.is_open else world.row.term - 1
            yield "read", world._replace(read_in_flight=term)
        if world.read_in_flight:
            yield "read answered", world._replace(
                evidence=world.read_in_flight, read_in_flight=0
            )
        if world.evidence:
            yield "lapse", world._replace(evidence=0)

    def _two_log_steps(self, world: World) -> Steps:
        if world.safe_write:
            return
        for index, database in enumerate(world.databases):
            for term, position in entries(database.log):
                if (
                    self._enforces(Rule.COUNT_LOGS_IN_TERM)
                    and database.accepted_term != term
                ):
                    continue
                first = world.first_holder
                if not first:
                    first_holder = (term, position, index)
                    yield "find first log", world._replace(first_holder=first_holder)
                elif first[:2] == (term, position) and first[2] != index:
                    safe_write = (term, position)
                    yield "find second log", world._replace(
                        first_holder=None, safe_write=safe_write
                    )

    def _claim_steps(self, world: World, index: int) -> Steps:
        row = world.row
        if row.term < self._bounds.terms:
            claimed = Row(row.term + 1, False, index, row.primary)
            former_primary = row.primary if row.is_open else NO_DATABASE
            promoter = Promoter(claimed.term, former_primary)
            claim = with_promoter(world._replace(row=claimed), index, promoter)
            yield "claim", claim
        is_other = not row.is_open and row.promoter != index
        if is_other and world.promoters[index].term != row.term:
            if not self._enforces(Rule.CLAIM_OWN_TERM):
                yield "resume", with_promoter(world, index, Promoter(row.term))
            if not self._enforces(Rule.CLAIM_BY_COMPARE_AND_SET):
                overwritten = world._replace(row=row._replace(promoter=index))
                yield "blind claim", with_promoter(
                    overwritten, index, Promoter(row.term)
                )

    def _promotion_steps(self, world: World, index: int, promoter: Promoter) -> Steps:
        term = promoter.term
        chosen = promoter.best
        has_opened = (term, index, chosen) in world.opened
        if not has_opened:
            yield from self._fence_steps(world, index, promoter)
            yield from self._catch_up_steps(world, index, promoter)
            yield from self._open_steps(world, index, promoter)
            return
        if not self._enforces(Rule.KEEP_CHOICE):
            yield from self._open_steps(world, index, promoter)
        if world.row[:3] == (term, False, index):
            recorded = world._replace(row=Row(term, True, index, chosen))
            yield "record", with_promoter(recorded, index, Promoter())

    def _fence_steps(self, world: World, index: int, promoter: Promoter) -> Steps:
        for target, database in enumerate(world.databases):
            if database.accepted_term > promoter.term or target in promoter.fenced:
                continue
            fenced = database
            if database.accepted_term < promoter.term:
                fenced = database._replace(
                    accepted_term=promoter.term, role=Role.FENCED
                )
            effect = with_database(world, target, fenced)
            if self._bounds.has_lost_answers:
                yield "fence, answer lost", effect
            updated = promoter._replace(
                fenced=tuple(sorted((*promoter.fenced, target)))
            )
            if target == promoter.former_primary:
                updated = updated._replace(former_position=fenced.last)
            if self._prefers(target, fenced.last, promoter):
                updated = updated._replace(best=target, best_last=fenced.last)
            yield "fence", with_promoter(effect, index, updated)

    def _prefers(self, target: int, last: tuple[int, int], promoter: Promoter) -> bool:
        is_former = target == promoter.former_primary
        if is_former and not self._enforces(Rule.COUNT_FORMER_PRIMARY):
            return False
        if promoter.best == NO_DATABASE:
            return True
        if not self._enforces(Rule.CHOOSE_MOST_ADVANCED):
            return False
        if not self._enforces(Rule.COMPARE_TERM_FIRST):
            return last[1] >= promoter.best_last[1]
        return last >= promoter.best_last

    def _catch_up_steps(self, world: World, index: int, promoter: Promoter) -> Steps:
        if promoter.former_position is None or not self._bounds.has_switchover:
            return
        source = world.databases[promoter.former_primary]
        if source.accepted_term != promoter.term or source.role is not Role.FENCED:
            return
        for target, database in enumerate(world.databases):
            if (
                database.accepted_term <= promoter.term
                and target not in promoter.fenced
            ):
                copy = Database(promoter.term, Role.FENCED, source.log)
                if copy != database:
                    yield "catch up", with_database(world, target, copy)

    def _open_steps(self, world: World, index: int, promoter: Promoter) -> Steps:
        needed = 2 if self._enforces(Rule.FENCE_TWO) else 1
        if len(promoter.fenced) < needed or not self._may_open(world, promoter):
            return
        choices = [promoter.best]
        if not self._enforces(Rule.KEEP_CHOICE):
            choices = list(promoter.fenced)
        for choice in choices:
            database = world.databases[choice]
            if database.accepted_term != promoter.term or database.role is Role.PRIMARY:
                continue
            opened = with_database(world, choice, database._replace(role=Role.PRIMARY))
            opening = (promoter.term, index, choice)
            yield "open", opened._replace(
                opened=tuple(sorted((*world.opened, opening)))
            )

    def _may_open(self, world: World, promoter: Promoter) -> bool:
        if promoter.best == NO_DATABASE:
            return False
        if promoter.former_position is not None or not self._enforces(
            Rule.WAIT_FOR_LAPSE
        ):
            return True
        in_flight = world.read_in_flight if self._enforces(Rule.DATE_FROM_START) else 0
        return not any(0 < held < promoter.term for held in (world.evidence, in_flight))


@lru_cache
def entries(log: Log) -> tuple[tuple[int, int], ...]:
    """Return the term and index of each log entry."""
    return tuple((term, index) for index, term in enumerate(log, start=1))


def written_entries(world: World) -> set[tuple[int, int]]:
    """Return the entries that are in any database's log."""
    return {entry for database in world.databases for entry in entries(database.log)}


def common_prefix(first: Log, second: Log) -> Log:
    """Return the entries of two logs up to their first difference."""
    length = 0
    while length < min(len(first), len(second)) and first[length] == second[length]:
        length += 1
    return first[:length]


def is_write_missing(world: World, primary: Database) -> bool:
    """Return True if a newer primary lacks a write that evidence still allows.

    Such a write may be acknowledged although it is lost.
    """
    if not 0 < world.evidence < primary.accepted_term:
        return False
    allowed = (entry for entry in written_entries(world) if entry[0] == world.evidence)
    return not all(primary.holds(entry) for entry in allowed)


def violations(world: World) -> list[str]:
    """Return a description of each invariant that a state violates."""
    found = []
    primaries = [d for d in world.databases if d.role is Role.PRIMARY]
    if any(is_write_missing(world, primary) for primary in primaries):
        found.append("write of a replaced primary acknowledged on evidence")
    if world.safe_write:
        later = [d for d in primaries if d.accepted_term > world.safe_write[0]]
        if any(not primary.holds(world.safe_write) for primary in later):
            found.append("write in two logs lost")
    if len({primary.accepted_term for primary in primaries}) < len(primaries):
        found.append("two open primaries in one term")
    if len({opening[0] for opening in world.opened}) < len(world.opened):
        found.append("term opened twice")
    return found


def model(bounds: Bounds, *removed_rules: Rule) -> Any:
    """Return the model for the checker, without the rules in `removed_rules`."""
    return Specification(bounds, frozenset(removed_rules)).protocol()
