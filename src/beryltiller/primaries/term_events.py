"""Events that the decisions about terms are told of."""

from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.core.ports import EndpointStatus
from beryltiller.primaries.term_rows import TermRow


@dataclass(frozen=True, slots=True)
class Tick:
    """Tell that time has passed."""


@dataclass(frozen=True, slots=True)
class TermsRead:
    """Tell what a scan of the `terms` table returned."""

    started_at: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class ScanFailed:
    """Tell that a scan was refused or its answer lost."""

    started_at: float


@dataclass(frozen=True, slots=True)
class RowWritten:
    """Tell that a row was written; it carries its new version."""

    row: TermRow


@dataclass(frozen=True, slots=True)
class WriteUncertain:
    """Tell that a write conflicted, was refused or lost its answer: read it back."""

    row: TermRow


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """Tell a database's status: the answer to a probe, fence, open or follow."""

    group: str
    database: str
    status: EndpointStatus
    asked_at: float
    is_fence: bool = False


@unique
class Observation(Enum):
    """Tell how a request to a database ended."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class DatabaseObserved:
    """Tell how a request to a database ended, from a probe or the statement path."""

    group: str
    database: str
    observation: Observation


@dataclass(frozen=True, slots=True)
class TermRefused:
    """Tell that a database refused a request, having accepted a higher term."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class EvidenceAsked:
    """Tell that a peer asks for evidence."""

    peer: str
    asked_at: float
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class EvidenceTold:
    """Tell a peer's answer; `asked_at` is this proxy's own clock, sent back."""

    peer: str
    asked_at: float
    age_seconds: float
    revision: int
    rows: tuple[TermRow, ...]


@dataclass(frozen=True, slots=True)
class OpinionAsked:
    """Tell that a peer asks whether a primary is suspected."""

    peer: str
    group: str
    database: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class OpinionTold:
    """Tell a peer's opinion of a primary."""

    peer: str
    group: str
    database: str
    asked_at: float
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class Member:
    """Name a proxy and its availability zone."""

    name: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Tell the live proxies, this one among them, and those the platform lists.

    The listed ones count when a majority is asked for: a proxy that is cut off sees
    its peers die, but the platform's list still has them.
    """

    members: tuple[Member, ...]
    listed: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Database:
    """Name a database and the address that its replicas follow."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class DatabaseGroup:
    """Name a group and its databases."""

    name: str
    databases: tuple[Database, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the databases."""
        return tuple(database.name for database in self.databases)

    def address(self, name: str) -> str:
        """Return the address of a database, or nothing if it is not in the group."""
        found = (each.address for each in self.databases if each.name == name)
        return next(found, "")


@dataclass(frozen=True, slots=True)
class GroupsChanged:
    """Tell the database groups of the configuration in force."""

    groups: tuple[DatabaseGroup, ...]


@dataclass(frozen=True, slots=True)
class SwitchoverAsked:
    """Tell that an operator wants another primary, any if `target` is empty."""

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
    | EvidenceAsked
    | EvidenceTold
    | OpinionAsked
    | OpinionTold
    | MembersChanged
    | GroupsChanged
    | SwitchoverAsked
)
