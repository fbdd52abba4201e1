"""Events, actions and state of the decisions about successions."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique

from beryltiller.core.position import Position
from beryltiller.sessions.statements import DatabaseStatus

NO_POSITION = Position(0, 0)


@unique
class Cause(Enum):
    """Tell why a primary is replaced."""

    FAILING = "failing"
    STALLED = "acknowledges no write"
    LEAVING = "leaving"
    HEADLESS = "no primary"


@dataclass(frozen=True, slots=True)
class GroupView:
    """What this proxy sees of one group at one moment.

    The times are when the present trouble began, or None. `replicas` are all known
    databases but the leader that may hold acknowledged commits; `departed` are
    databases whose entries are gone, which may live all the same. A leader was well
    at `led_until`, if this proxy has seen one; `acknowledged` is the newest position
    that it acknowledged here.
    """

    service: str
    leader: str | None
    is_leader_leaving: bool
    term: int
    replicas: tuple[str, ...]
    leaving: frozenset[str] = frozenset()
    departed: tuple[str, ...] = ()
    failing_since: float | None = None
    stalled_since: float | None = None
    headless_since: float | None = None
    led_until: float | None = None
    acknowledged: Position = NO_POSITION


@dataclass(frozen=True, slots=True)
class Seen:
    """The groups as they are now."""

    groups: tuple[GroupView, ...]
    is_store_reachable: bool


@dataclass(frozen=True, slots=True)
class Claimed:
    """The store took the claim; it counts from `asked_at`."""

    service: str
    token: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """The store did not take the claim."""

    service: str


@dataclass(frozen=True, slots=True)
class FencesAnswered:
    """What each database answered when it was fenced; None: nothing or a refusal.

    `gone` are those that can't be reached and whose entries are gone for good; in the
    place of those `replaced` another database answers. `were_fenced` tells that all
    the others were fenced already.
    """

    service: str
    statuses: Mapping[str, DatabaseStatus | None]
    gone: frozenset[str] = frozenset()
    replaced: frozenset[str] = frozenset()
    were_fenced: bool = False


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """A primary has become a replica; its log ends at `received`."""

    service: str
    identifier: str
    received: Position


@dataclass(frozen=True, slots=True)
class PromotionAnswered:
    """Whether the platform took the promotion."""

    service: str
    is_accepted: bool
    is_refused: bool


Event = Seen | Claimed | ClaimLost | SteppedDown | FencesAnswered | PromotionAnswered


@dataclass(frozen=True, slots=True)
class Claim:
    """Write the claim of the duty for a service under a condition."""

    service: str
    cause: Cause


@dataclass(frozen=True, slots=True)
class StepDownOne:
    """Make a primary a fenced replica, if it can be reached; nothing waits for it."""

    service: str
    term: int
    identifier: str


@dataclass(frozen=True, slots=True)
class FenceAll:
    """Pause all replicas, below `term`; the trouble began at `trouble_since`."""

    service: str
    term: int
    replicas: tuple[str, ...]
    departed: tuple[str, ...] = ()
    trouble_since: float = 0.0


@dataclass(frozen=True, slots=True)
class LookAfter:
    """Look at the groups again when a succession's next step is due."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Promote:
    """Name the database that takes the lead; not after `deadline`."""

    service: str
    successor: str
    token: int
    deadline: float


@dataclass(frozen=True, slots=True)
class UnfenceAll:
    """Let paused replicas receive again."""

    service: str
    replicas: tuple[str, ...]


Action = Claim | StepDownOne | FenceAll | LookAfter | Promote | UnfenceAll


@unique
class Phase(Enum):
    """Tell how far a succession has come."""

    CLAIMING = "claiming"
    FENCING = "fencing"
    HOLDING = "holding"
    CONFIRMING = "confirming"
    PROMOTING = "promoting"
    AWAITING = "awaiting"


@dataclass(frozen=True, slots=True)
class Succession:
    """One service's succession under this proxy's claim.

    `may_take_effect` tells that a promotion was asked for and not refused;
    `last_position` is the end of the former primary's log once it has stepped down.
    """

    service: str
    cause: Cause
    phase: Phase
    former: str | None
    since: float
    trouble_since: float = 0.0
    last_position: Position | None = None
    token: int = 0
    deadline: float = 0.0
    term: int = 0
    successor: str = ""
    refused: frozenset[str] = frozenset()
    may_take_effect: bool = False
    next_step_at: float = 0.0


@dataclass(frozen=True, slots=True)
class State:
    """All successions of this proxy, and when each service may have another."""

    successions: Mapping[str, Succession] = field(default_factory=dict)
    not_before: Mapping[str, float] = field(default_factory=dict)
    groups: Mapping[str, GroupView] = field(default_factory=dict)
