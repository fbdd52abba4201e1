"""The commits that this proxy reported last, and which receipts it relied on.

This is for the log, and nothing is decided by it. It is kept in memory, bounded, and
formatted only when a line is written.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.sessions.databases.announced import KnownAnnouncements
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.primary_change import CHANGE_SECONDS

# How many reported commits are remembered of each group.
MAX_REPORTS = 32


@dataclass(frozen=True, slots=True)
class Receipt:
    """A replica that showed a log up to `shown`, on a connection of `connected_at`."""

    replica: str
    incarnation: int
    is_draining: bool
    shown: Position
    connected_at: float


@dataclass(frozen=True, slots=True)
class Report:
    """A commit that was reported at `reported_at`, and what that relied on.

    Announcements were known up to the revision `announced_revision`, and those made
    until `announced_at`.
    """

    position: Position
    reported_at: float
    receipts: tuple[Receipt, ...]
    announced_revision: int
    announced_at: float


class ReportHistory:
    """The newest reports of one group, and which of them were written to the log."""

    def __init__(self) -> None:
        """Create a history without reports."""
        self._reports: deque[Report] = deque(maxlen=MAX_REPORTS)
        self._total = 0
        self._written_total = 0
        self._written_term = 0
        self._written_at = float("-inf")

    @property
    def total(self) -> int:
        """Return how many commits this process has reported on a receipt."""
        return self._total

    def record(self, report: Report) -> None:
        """Add a report; the earliest one is forgotten if there are too many."""
        self._reports.append(report)
        self._total += 1

    def take(self, replaced_term: int, now: float) -> tuple[Report, ...]:
        """Return the reports to write now at a change of primary, the newest first.

        These are those of terms up to the one that is replaced. Return none if none of
        them is new since the last writing. The stages of one change follow each other:
        only at the first one are the reports of its term written.
        """
        unwritten = self._total - self._written_total
        newest_first = tuple(reversed(self._reports))
        later = sum(each.position.term > replaced_term for each in newest_first)
        reports = newest_first[later:]
        if not reports or later >= unwritten:
            return ()
        term = reports[0].position.term
        if term == self._written_term and now < self._written_at + CHANGE_SECONDS:
            return ()
        self._written_total = self._total
        self._written_term, self._written_at = term, now
        return reports


class ReportHistories:
    """The histories of one proxy's groups; use it on a single event loop."""

    def __init__(
        self, announced: KnownAnnouncements, clock: Callable[[], float]
    ) -> None:
        """Create histories without reports, by what is known to be `announced`."""
        self._announced = announced
        self._clock = clock
        self._histories: dict[str, ReportHistory] = {}

    def of(self, service: str) -> ReportHistory:
        """Return the history of a service's group."""
        history = self._histories.get(service)
        if history is None:
            history = self._histories[service] = ReportHistory()
        return history

    def record(self, group: Group, source: Member, position: Position) -> None:
        """Record that a commit of `source` is reported now, on a receipt."""
        revision, at = self._announced.until, self._announced.at
        receipts = _receipts(group, source, position, revision, at)
        report = Report(position, self._clock(), receipts, revision, at)
        self.of(group.service).record(report)


def _receipts(
    group: Group,
    source: Member,
    position: Position,
    announced_revision: int,
    announced_at: float,
) -> tuple[Receipt, ...]:
    """Return the replicas that showed a commit, by what is known to be announced.

    Whether they suffice is decided by `receipts.is_received`. That leaves out draining
    ones unless there are no others.
    """
    found = []
    for replica in group.replicas:
        database = replica.database
        shown = replica.answer_before(announced_at)
        if (
            shown is not None
            and database.identifier != source.database.identifier
            and replica.led_term != position.term
            and replica.registered_revision <= announced_revision
            and shown.position.term == position.term
            and shown.position >= position
        ):
            found.append(
                Receipt(
                    database.identifier,
                    database.incarnation,
                    database.is_draining,
                    shown.position,
                    shown.connected_at,
                )
            )
    return tuple(found)
