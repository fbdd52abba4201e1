"""Events that the I/O layer passes to `terms.decide`."""

from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.core.ports import EndpointStatus
from beryltiller.primaries.term_rows import TermRow


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer has fired."""


@dataclass(frozen=True, slots=True)
class TermsRead:
    """A scan of the `terms` table returned the rows changed since the last one."""

    started_at: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class ScanFailed:
    """A scan of the `terms` table was refused, or its answer was lost."""

    started_at: float


@dataclass(frozen=True, slots=True)
class RowWritten:
    """The store wrote a row; `row` has its new version."""

    row: TermRow


@dataclass(frozen=True, slots=True)
class WriteUncertain:
    """A write conflicted or was refused, or its answer was lost.

    The row must be read again to find out whether the write took effect.
    """

    row: TermRow


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """A database answered a probe, fence, open or follow request with its status.

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
    """A request to a database ended, sent as a probe or by the statement path."""

    group: str
    database: str
    observation: Observation


@dataclass(frozen=True, slots=True)
class TermRefused:
    """A database refused a request because it has accepted a higher term."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class EvidenceRequested:
    """A peer requested evidence newer than `age_seconds` and rows after `revision`."""

    peer: str
    asked_at: float
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """A peer answered with evidence; `asked_at` is by this proxy's own clock."""

    peer: str
    asked_at: float
    age_seconds: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class SuspicionReportRequested:
    """A peer requested whether this proxy suspects a primary."""

    peer: str
    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class SuspicionReportReceived:
    """A peer answered whether it suspects a primary."""

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
    """The live proxies, including this one, or those in the platform's list changed.

    Listed proxies count towards a majority: a proxy that is cut off takes its peers
    for dead, but the platform's list still contains them.
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
    """A configuration with these database groups has come into force."""

    groups: tuple[DatabaseGroup, ...]


@dataclass(frozen=True, slots=True)
class SwitchoverRequested:
    """A switchover to `target` was requested, or to any replica if it is empty."""

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
