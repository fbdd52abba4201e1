"""Events that the I/O layer passes to `terms.decide`."""

from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.core.ports import EndpointStatus
from beryltiller.primaries.term_rows import TermRow


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer."""


@dataclass(frozen=True, slots=True)
class TermsRead:
    """The rows of the `terms` table that changed after the `since` of a scan."""

    started_at: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class ScanFailed:
    """A scan of the `terms` table that was refused or whose answer was lost."""

    started_at: float


@dataclass(frozen=True, slots=True)
class RowWritten:
    """A row that the store has written, with its new version."""

    row: TermRow


@dataclass(frozen=True, slots=True)
class WriteUncertain:
    """A write of `row` that conflicted or was refused, or whose answer was lost.

    The row must be read again to find out whether the write took effect.
    """

    row: TermRow


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """A database's status: the answer to a probe, fence, open or follow request.

    `asked_at` is the time when the request was sent.
    """

    group: str
    database: str
    status: EndpointStatus
    asked_at: float
    is_fence: bool = False


@unique
class Observation(Enum):
    """How a request to a database ended."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class DatabaseObserved:
    """The end of a request to a database, from a probe or the statement path."""

    group: str
    database: str
    observation: Observation


@dataclass(frozen=True, slots=True)
class TermRefused:
    """A database's refusal of a request, because it has accepted a higher term.

    `term` is the term of the refused request.
    """

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class EvidenceRequested:
    """A peer's request for evidence that is newer than its own.

    `revision` and `age_seconds` are those of the peer's evidence; `asked_at` is only
    returned with the answer.
    """

    peer: str
    asked_at: float
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """A peer's evidence, dated `age_seconds` before the peer received the request.

    `asked_at` is when this proxy sent its request, by its own clock.
    """

    peer: str
    asked_at: float
    age_seconds: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class SuspicionReportRequested:
    """A peer's request to report whether this proxy suspects `database`."""

    peer: str
    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class SuspicionReportReceived:
    """A peer's report, `is_suspected`, on the primary `database`."""

    peer: str
    group: str
    database: str
    asked_at: float
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class Member:
    """A proxy's name and availability zone."""

    name: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """A change of the live proxies, including this one, or of the platform's list.

    Listed proxies count towards a majority: a proxy that is cut off considers its peers
    dead, but the platform's list still contains them.
    """

    members: tuple[Member, ...]
    listed: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Database:
    """A database's name, and the address from which its replicas replicate."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class DatabaseGroup:
    """A group of replicated databases."""

    name: str
    databases: tuple[Database, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Return the databases' names, in the configured order."""
        return tuple(database.name for database in self.databases)

    def address(self, name: str) -> str:
        """Return a database's address, or an empty string if it is not in the group."""
        found = (each.address for each in self.databases if each.name == name)
        return next(found, "")


@dataclass(frozen=True, slots=True)
class GroupsChanged:
    """The database groups of a configuration that has come into force."""

    groups: tuple[DatabaseGroup, ...]


@dataclass(frozen=True, slots=True)
class SwitchoverRequested:
    """A request for a switchover to `target`, or to any replica if it is empty."""

    group: str
    target: str = ""


Event = (
    Tick
    | TermsRead
    | ScanFailed
    | RowWritten
    | WriteUncertain
    | StatusReceived
    | DatabaseObserved
    | TermRefused
    | EvidenceRequested
    | EvidenceReceived
    | SuspicionReportRequested
    | SuspicionReportReceived
    | MembersChanged
    | GroupsChanged
    | SwitchoverRequested
)
