"""Actions that `terms.decide` requests and the I/O layer performs."""

from dataclasses import dataclass

from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_rows import TermRow


@dataclass(frozen=True, slots=True)
class ScanTerms:
    """A read of the rows changed after revision `since`; `started_at` dates them."""

    since: int
    started_at: float


@dataclass(frozen=True, slots=True)
class CommitRow:
    """A write of a row, if the stored version is still `row.version` (0: no row)."""

    row: TermRow


@dataclass(frozen=True, slots=True)
class Fence:
    """A request to a database to accept `term` and refuse requests in lower terms."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class Open:
    """A request to a database fenced at `term` to become primary of that term."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class Follow:
    """A request to a database to replicate from the one named `primary` in `term`."""

    group: str
    database: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class ProbeStatus:
    """A request for a database's status."""

    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class RequestEvidence:
    """A request for a peer's evidence that is newer than this proxy's.

    `revision` and `age_seconds` are those of this proxy's evidence.
    """

    peer: str
    asked_at: float
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class SendEvidence:
    """An answer to a peer: `rows` were in force `age_seconds` before its request.

    The age counts from the arrival of the request, and is negative if the store was
    read after that.
    """

    peer: str
    asked_at: float
    age_seconds: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class RequestSuspicionReport:
    """A request to a peer to report whether it also suspects `database`."""

    peer: str
    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class SendSuspicionReport:
    """An answer to a peer: whether this proxy suspects `database`, a primary."""

    peer: str
    group: str
    database: str
    asked_at: float
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class PublishTerms:
    """A publication of the newest evidence, for the code that runs statements."""

    evidence: Evidence


@dataclass(frozen=True, slots=True)
class ReportPromotion:
    """A step that a promotion has entered, to be logged and counted."""

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
