"""Actions that `terms.decide` requests and the I/O layer performs."""

from dataclasses import dataclass

from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_rows import TermRow


@dataclass(frozen=True, slots=True)
class ScanTerms:
    """Read the rows that changed after revision `since`; `started_at` dates them."""

    since: int
    started_at: float


@dataclass(frozen=True, slots=True)
class CommitRow:
    """Write a row if the stored version is still `row.version` (0: no row)."""

    row: TermRow


@dataclass(frozen=True, slots=True)
class Fence:
    """Make a database accept `term` and refuse requests in lower terms."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class Open:
    """Make a database that is fenced at `term` the primary of that term."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class Follow:
    """Make a database replicate from the database named `primary` in `term`."""

    group: str
    database: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class ProbeStatus:
    """Request a database's status."""

    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class RequestEvidence:
    """Request a peer's evidence newer than `age_seconds` and rows after `revision`."""

    peer: str
    asked_at: float
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class SendEvidence:
    """Answer a peer's request: `rows` were in force `age_seconds` before it arrived.

    The age is negative if the store was read after the request arrived.
    """

    peer: str
    asked_at: float
    age_seconds: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class RequestSuspicionReport:
    """Request from a peer whether it also suspects a primary."""

    peer: str
    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class SendSuspicionReport:
    """Answer a peer's request whether this proxy suspects a primary."""

    peer: str
    group: str
    database: str
    asked_at: float
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class PublishTerms:
    """Make the newest evidence available to the statement path."""

    evidence: Evidence


@dataclass(frozen=True, slots=True)
class ReportPromotion:
    """Log and count a step that a promotion has entered."""

    group: str
    term: int
    step: str


EndpointAction = Fence | Open | Follow | ProbeStatus
PeerAction = (
    RequestEvidence | SendEvidence | RequestSuspicionReport | SendSuspicionReport
)
Action = (
    ScanTerms | CommitRow | EndpointAction | PeerAction | PublishTerms | ReportPromotion
)
