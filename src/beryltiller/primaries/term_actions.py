"""Actions that the decisions about terms ask of the rim."""

from dataclasses import dataclass

from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_rows import TermRow


@dataclass(frozen=True, slots=True)
class ScanTerms:
    """Read the rows that changed after a revision; `started_at` dates the answer."""

    since: int
    started_at: float


@dataclass(frozen=True, slots=True)
class CommitRow:
    """Write a row in place of version `row.version`."""

    row: TermRow


@dataclass(frozen=True, slots=True)
class Fence:
    """Make a database refuse all terms below `term`."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class Open:
    """Make a database that is fenced at `term` its primary."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Make a database replicate in `term` from another, named `primary`."""

    group: str
    database: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class ProbeStatus:
    """Ask a database for its status."""

    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class AskEvidence:
    """Ask a peer for evidence newer than `age_seconds`, with rows after `revision`."""

    peer: str
    asked_at: float
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class TellEvidence:
    """Answer a peer: the rows stood so `age_seconds` before its question came in.

    The age is negative when the store was read after the question came in.
    """

    peer: str
    asked_at: float
    age_seconds: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class AskOpinion:
    """Ask a peer whether it, too, suspects a primary."""

    peer: str
    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class TellOpinion:
    """Answer a peer whether this proxy suspects a primary."""

    peer: str
    group: str
    database: str
    asked_at: float
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class PublishTerms:
    """Hand the newest evidence to the statement path."""

    evidence: Evidence


@dataclass(frozen=True, slots=True)
class ReportPromotion:
    """Log and count a step of a promotion."""

    group: str
    term: int
    step: str


EndpointAction = Fence | Open | Follow | ProbeStatus
PeerAction = AskEvidence | TellEvidence | AskOpinion | TellOpinion
Action = (
    ScanTerms | CommitRow | EndpointAction | PeerAction | PublishTerms | ReportPromotion
)
