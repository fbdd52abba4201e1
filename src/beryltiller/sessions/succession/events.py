"""Events that the succession policy receives, and the view of a group that it has.

A succession is a planned or forced change of a service's primary.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.statements import DatabaseStatus


@unique
class Cause(Enum):
    """The reason why a primary is replaced; a LEAVING one is draining.

    With REPLICAS_LAG it works, but all its replicas lag too far to serve reads. With
    FENCES_LEFT it works and stays, and fences that a promoter left are lifted.
    """

    FAILING = "failing"
    STALLED = "acknowledges no write"
    LEAVING = "leaving"
    NO_PRIMARY = "no primary"
    REPLICAS_LAG = "replicas lag"
    FENCES_LEFT = "fences left"


@dataclass(frozen=True, slots=True)
class GroupView:
    """A group as one proxy observes it at one moment.

    Each `..._since` time is when that condition began, or None while it does not hold.
    `replicas` are all known databases that may hold acknowledged commits, except the
    leader. `departed` are databases whose registry entries are gone but that may still
    be running. `leader_healthy_until` is when this proxy last saw a healthy leader, or
    None if it never did. `overloaded_alone_since` is since when the leader has been
    overloaded while no replica could serve reads. `lost_log_covered_by` is a position
    that covers all that was acknowledged before the last loss of a log, or None while
    none is known. `former_leaders` are replicas that were primary in the newest term,
    each with the newest position that its log is known to have reached. `leader_term`
    is the term in which the leader has shown that it leads, or 0 before, and
    `opposing_term` the newest one that a proxy has objected with to a change, or 0.
    `fenced_since` is since when some replica has shown a fence whenever it was asked.
    `reported` is the newest position known of a commit that a proxy has reported, and
    `pending` are the databases that a promotion requested before may still promote.
    `has_working_replica` is False if every replica has failed since its last answer.
    `young` are the databases, or starts of them, that became known a moment ago.
    """

    service: str
    leader: str | None
    is_leader_draining: bool
    term: int
    replicas: tuple[str, ...]
    draining: frozenset[str] = frozenset()
    departed: tuple[str, ...] = ()
    failing_since: float | None = None
    stalled_since: float | None = None
    primaryless_since: float | None = None
    overloaded_alone_since: float | None = None
    leader_healthy_until: float | None = None
    lost_log_covered_by: Position | None = None
    fenced_since: float | None = None
    former_leaders: Mapping[str, Position] = field(default_factory=dict)
    leader_term: int = 0
    opposing_term: int = 0
    reported: Position = ORIGIN
    pending: frozenset[str] = frozenset()
    has_working_replica: bool = True
    young: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class GroupsObserved:
    """An observation of all groups, and of whether the store can be reached."""

    groups: tuple[GroupView, ...]
    is_store_reachable: bool


@dataclass(frozen=True, slots=True)
class ClaimAccepted:
    """The acceptance of a claim by the store; it is valid from `asked_at`.

    `token` is the claim's fencing token.
    """

    service: str
    token: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The failure of a claim, or its end because the primary turned out to work."""

    service: str


@dataclass(frozen=True, slots=True)
class FenceResults:
    """The status of each database after fencing, or None if it failed or refused.

    If one of them already was primary, none was fenced, and the statuses are those
    that they reported before.
    `gone` are databases that cannot be reached and whose registry entries are gone for
    good. `replaced` are those that have ended and whose address and log another one in
    `statuses`, or the former primary, has. `replacements` are the statuses of unknown
    databases that answer at the addresses of others that have ended, by the names of
    the latter; they have their logs. `ended` are those at whose address a database of
    another service answers. `were_already_fenced` is True if all databases had been
    fenced before this round, except departed ones that do not answer, and no command of
    this proxy may unfence them any more, and
    `found_fenced` are those that had been, in whichever term. `fenced_at` is when the
    fence commands of this round were sent. `is_unopposed` is True if a change was
    announced, no proxy has objected, and the round asked all databases that were
    registered since. `unknown` are databases in `statuses` that this proxy does not
    know, and cannot ask: another one has named them. `in_sync` are the processes that
    the promotion must account for, and `answered_by` those processes of them, or at
    their addresses, that are known to have answered. `incarnations` are those of the
    databases that are registered now. `silent_registered` are those with an entry that
    do not answer; `were_already_fenced` tells of the others.
    """

    service: str
    statuses: Mapping[str, DatabaseStatus | None]
    gone: frozenset[str] = frozenset()
    replaced: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    replacements: Mapping[str, DatabaseStatus] = field(default_factory=dict)
    were_already_fenced: bool = False
    found_fenced: frozenset[str] = frozenset()
    fenced_at: float = 0.0
    is_unopposed: bool = False
    unknown: frozenset[str] = frozenset()
    in_sync: tuple[InSyncProcess, ...] = ()
    incarnations: Mapping[str, int] = field(default_factory=dict)
    answered_by: tuple[InSyncProcess, ...] = ()
    silent_registered: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PrimarySteppedDown:
    """The change of a primary to a replica, whose log ends at `received`.

    It was primary in `term` until then.
    """

    service: str
    identifier: str
    term: int
    received: Position


@dataclass(frozen=True, slots=True)
class ChangeAnnounced:
    """The outcome of announcing a change of primary to all proxies.

    `version` is that of the announcement, or 0 if it failed. `begun_term` is the newest
    term that a promotion announced before may have begun.
    """

    service: str
    version: int
    begun_term: int = 0


@dataclass(frozen=True, slots=True)
class PromotionResult:
    """The platform's response to a promotion request.

    `is_refused` is True if it refused because the successor is not running. With both
    flags False the outcome is unknown, or the request was not sent in time.
    """

    service: str
    is_accepted: bool
    is_refused: bool


Event = (
    GroupsObserved
    | ClaimAccepted
    | ClaimFailed
    | PrimarySteppedDown
    | FenceResults
    | ChangeAnnounced
    | PromotionResult
)
