"""Dated evidence that a term is in force.

A write may be acknowledged for a primary only while its term is known not to have
been replaced. What proves it is a read of the `terms` table: at the moment the read
was started, or later, the rows stood as it shows them. A promoter waits a lease
period after its claim before it opens the next term, so a read that still showed the
old term speaks for one lease period from its start.

One read of the whole table is evidence for all groups at once. Evidence passed on by
a peer is dated from the moment it was asked for, minus the age the peer stated.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from math import inf

from beryltiller.core.ports import EndpointStatus
from beryltiller.core.position import Position
from beryltiller.primaries.term_rows import TermRow

LOGS_NEEDED = 2


@unique
class Verdict(Enum):
    """Tell what a proxy may do with a write in a term.

    `ACKNOWLEDGE`: the term is in force. `NEED_TWO_LOGS`: it was when last heard of;
    send the write, but acknowledge it only after `is_in_two_logs`. `REFUSE`: the term
    is replaced, pending or unknown; before a send that is *not run*, after it
    *unknown*.
    """

    ACKNOWLEDGE = "acknowledge"
    NEED_TWO_LOGS = "need-two-logs"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Hold how long evidence lasts, and how far two hosts' clock rates may differ."""

    period_seconds: float = 1.0
    clock_rate_margin: float = 1.1

    @property
    def wait_seconds(self) -> float:
        """Return how long a promoter waits for all evidence of a term to lapse."""
        return self.period_seconds * self.clock_rate_margin


@dataclass(frozen=True, slots=True)
class KnownRow:
    """Hold a row and a revision of the table by which it was last written."""

    row: TermRow
    revision: int


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold the newest known rows, and a moment at or after which all were in force.

    It is immutable, so that the statement path may read it without a lock.
    """

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    dated_at: float = -inf
    revision: int = 0
    known: Mapping[str, KnownRow] = field(default_factory=dict)

    def row(self, group: str) -> TermRow | None:
        """Return the newest known row of a group."""
        known = self.known.get(group)
        return known.row if known else None

    def is_fresh(self, now: float) -> bool:
        """Tell whether the evidence has not lapsed."""
        return now < self.dated_at + self.lease.period_seconds

    def verdict(self, group: str, term: int, now: float) -> Verdict:
        """Return what may be done with a write in a term.

        Ask before the write is sent, and again before it is acknowledged.
        """
        row = self.row(group)
        if row is None or row.term != term or not row.is_open:
            return Verdict.REFUSE
        return Verdict.ACKNOWLEDGE if self.is_fresh(now) else Verdict.NEED_TWO_LOGS

    def allows(self, group: str, term: int, now: float) -> bool:
        """Tell whether a write in a term may be acknowledged without further proof."""
        return self.verdict(group, term, now) is Verdict.ACKNOWLEDGE

    def merged(
        self,
        rows: Iterable[TermRow],
        revision: int,
        dated_at: float,
    ) -> "Evidence":
        """Return the evidence with rows that were in force at a moment.

        `rows` are all that changed after a revision that this evidence has reached.
        A row never gives way to an older version, and the date never goes back: a
        row that is newer than a read was written after that read.
        """
        known = dict(self.known)
        for row in rows:
            held = known.get(row.group)
            if held is None or held.row.version <= row.version:
                known[row.group] = KnownRow(row, revision)
        return replace(
            self,
            dated_at=max(self.dated_at, dated_at),
            revision=max(self.revision, revision),
            known=known,
        )

    def with_row(self, row: TermRow) -> "Evidence":
        """Return the evidence with a row that this proxy has just written."""
        held = self.row(row.group)
        if held and held.version >= row.version:
            return self
        known = {**self.known, row.group: KnownRow(row, self.revision + 1)}
        return replace(self, known=known)

    def rows_after(self, revision: int) -> tuple[TermRow, ...]:
        """Return the rows that a peer at a revision may lack."""
        held = self.known.values()
        return tuple(known.row for known in held if known.revision > revision)


def is_in_two_logs(position: Position, statuses: Iterable[EndpointStatus]) -> bool:
    """Tell whether a write is in the logs of two databases still in its term.

    Such a write survives every promotion, for a promotion fences two of three. The
    term matters: an old entry that a later primary has passed on may stand in two
    logs and still give way to the tail of a term between.
    """
    holders = {
        status.database
        for status in statuses
        if status.term == position.term
        and status.history.contains(position, status.last.index)
    }
    return len(holders) >= LOGS_NEEDED
