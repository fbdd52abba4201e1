"""Evidence that a term is in force, valid for one lease period.

A proxy may acknowledge a write to a primary only while it knows that the primary's
term has not been replaced. The proof is a read of the `terms` table: the rows that it
returns were in force when the read was started, or later. A promoter waits for a
lease period after its claim before it opens the next term, so a read that still
showed the old term proves it for one lease period from the start of the read.

One read of the complete table is evidence for all groups. Evidence that a peer sends
is dated from the time it was requested, minus the age that the peer states.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from math import inf

from beryltiller.core.ports import EndpointStatus
from beryltiller.core.position import Position
from beryltiller.primaries.term_rows import TermRow

LOG_QUORUM = 2  # of the three databases of a group; any two such sets overlap


@unique
class Verdict(Enum):
    """What a proxy may do with a write in a term.

    `ACKNOWLEDGE`: the term is in force. `NEED_TWO_LOGS`: the term was in force by the
    newest evidence, but that has lapsed; send the write, and acknowledge it only after
    `is_in_two_logs`. `REFUSE`: the term is replaced, pending or unknown; the outcome
    of the write is *not run* if it has not been sent, otherwise *unknown*.
    """

    ACKNOWLEDGE = "acknowledge"
    NEED_TWO_LOGS = "need-two-logs"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Lifetime of evidence, and the largest ratio of two hosts' clock rates."""

    period_seconds: float = 1.0
    clock_rate_margin: float = 1.1

    @property
    def wait_seconds(self) -> float:
        """Return how long a promoter waits, so that evidence of older terms has lapsed.

        The margin covers a proxy whose clock runs more slowly than the promoter's.
        """
        return self.period_seconds * self.clock_rate_margin


@dataclass(frozen=True, slots=True)
class KnownRow:
    """A group's row, and a table revision; peers with an older one are sent the row.

    For a row from a read, it is the revision of the read. A row that this proxy wrote
    itself has the revision after the newest one read, until a read returns the row.
    """

    row: TermRow
    revision: int


@dataclass(frozen=True, slots=True)
class Evidence:
    """The newest known rows, and a time at or after which all were in force.

    It is immutable, so that the statement path can read it without a lock.
    """

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    dated_at: float = -inf
    revision: int = 0
    known_rows: Mapping[str, KnownRow] = field(default_factory=dict)

    def row(self, group: str) -> TermRow | None:
        """Return the newest known row of a group, or None."""
        known = self.known_rows.get(group)
        return known.row if known else None

    def is_fresh(self, now: float) -> bool:
        """Return True if the evidence is less than one lease period old."""
        return now < self.dated_at + self.lease.period_seconds

    def verdict(self, group: str, term: int, now: float) -> Verdict:
        """Return what the proxy may do with a write in a term.

        Check it before the write is sent, and again before it is acknowledged.
        """
        row = self.row(group)
        if row is None or row.term != term or not row.is_open:
            return Verdict.REFUSE
        return Verdict.ACKNOWLEDGE if self.is_fresh(now) else Verdict.NEED_TWO_LOGS

    def may_acknowledge(self, group: str, term: int, now: float) -> bool:
        """Return True if a write in a term may be acknowledged without more proof."""
        return self.verdict(group, term, now) is Verdict.ACKNOWLEDGE

    def with_read_rows(
        self,
        rows: Iterable[TermRow],
        revision: int,
        dated_at: float,
    ) -> "Evidence":
        """Return a copy with the rows of a read that started at `dated_at`.

        `rows` must include every row that changed after a revision that this evidence
        has reached. A known row that is newer than the one read is kept, because it
        was written after the read. The date never becomes earlier.
        """
        known = dict(self.known_rows)
        for row in rows:
            known_row = known.get(row.group)
            if known_row is None or known_row.row.version <= row.version:
                known[row.group] = KnownRow(row, revision)
        return replace(
            self,
            dated_at=max(self.dated_at, dated_at),
            revision=max(self.revision, revision),
            known_rows=known,
        )

    def with_written_row(self, row: TermRow) -> "Evidence":
        """Return a copy with a row that this proxy has just written to the store."""
        known_row = self.row(row.group)
        if known_row and known_row.version >= row.version:
            return self
        known = {**self.known_rows, row.group: KnownRow(row, self.revision + 1)}
        return replace(self, known_rows=known)

    def rows_newer_than(self, revision: int) -> tuple[TermRow, ...]:
        """Return the rows that a peer with evidence up to `revision` may lack."""
        rows = self.known_rows.values()
        return tuple(known.row for known in rows if known.revision > revision)


def is_in_two_logs(position: Position, statuses: Iterable[EndpointStatus]) -> bool:
    """Return True if a write is in the logs of two databases that are in its term.

    Such a write survives every promotion, because a promotion fences two databases of
    three. The databases must still be in the term of the write: an old entry that a
    later primary has replicated can be in two logs and still be replaced by entries
    of a term in between.
    """
    holders = {
        status.database
        for status in statuses
        if status.term == position.term
        and status.history.contains(position, status.last.index)
    }
    return len(holders) >= LOG_QUORUM
