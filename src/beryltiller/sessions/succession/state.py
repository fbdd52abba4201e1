"""Events, actions and state of the succession policy.

A succession is a planned or forced change of a service's primary. The policy receives
events and returns actions, which the runner performs.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases.primary_change import PrimaryChange
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
    `reported` is the newest position known of a commit that a proxy has reported.
    `has_working_replica` is False if every replica has failed since its last answer.
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
    has_working_replica: bool = True


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
    know, and cannot ask: another one has named them.
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


@dataclass(frozen=True, slots=True)
class ClaimDuty:
    """A request to claim a service's promotion duty by a conditional write."""

    service: str
    cause: Cause


@dataclass(frozen=True, slots=True)
class StepDownPrimary:
    """A request to step a primary down and fence it if it can be reached.

    No step of the succession waits for its result.
    """

    service: str
    term: int
    identifier: str


@dataclass(frozen=True, slots=True)
class FenceReplicas:
    """A request to fence replicas and departed databases against terms below `term`.

    A database whose entry went missing after `possible_partition_since` may be cut off
    together with the former primary, so it does not count as gone. If a change was
    announced, the results state whether version `announced_version` is unopposed.
    """

    service: str
    term: int
    replicas: tuple[str, ...]
    departed: tuple[str, ...] = ()
    possible_partition_since: float = 0.0
    former_primary: str | None = None
    announced_version: int = 0


@dataclass(frozen=True, slots=True)
class AnnounceChange:
    """A request to announce to all proxies that the primary is about to change.

    `asked` are the databases that were asked, or found silent, and the former primary.
    """

    service: str
    change: PrimaryChange
    token: int
    asked: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WithdrawChange:
    """A request to tell all proxies that a change announced so far will not happen.

    With `is_over` it has happened, so that proxies which start now need not apply it;
    its successor leads in `successor_term`, or 0 if that is not known.
    `token` is the fencing token of this proxy's claim: later ones stay.
    """

    service: str
    token: int
    is_over: bool = False
    successor_term: int = 0


@dataclass(frozen=True, slots=True)
class ObserveAfter:
    """A request to observe the groups after `seconds`, when a next step is due."""

    seconds: float


@dataclass(frozen=True, slots=True)
class PromotionBasis:
    """On which knowledge a promotion is requested, for the log.

    `left_out` are the databases that did not answer and were not waited for, each with
    the reason. `newest_term` is the newest term known, `begun_term` the newest one that
    promotions announced before may have begun, or 0, and `announced_version` the
    version of the announcement. `claimed_at` is when the duty was claimed, and
    `confirmed_at` when the fence commands that confirmed the comparison were sent.
    """

    cause: Cause
    former_primary: str
    term: int
    statuses: Mapping[str, DatabaseStatus | None]
    replacements: Mapping[str, DatabaseStatus]
    left_out: Mapping[str, str]
    former_log_end: Position | None
    lost_log_covered_by: Position | None
    newest_term: int
    begun_term: int
    announced_version: int
    claimed_at: float
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class Promote:
    """A request to have the platform promote `successor` before `deadline`."""

    service: str
    successor: str
    token: int
    deadline: float
    basis: PromotionBasis


@dataclass(frozen=True, slots=True)
class UnfenceReplicas:
    """A request to let fenced replicas receive log entries again.

    Instead of one that has ended, this is the database at its address. No command is
    sent after `deadline`: the replicas may then be fenced by another proxy that holds
    the promotion duty.
    """

    service: str
    replicas: tuple[str, ...]
    deadline: float


Action = (
    ClaimDuty
    | StepDownPrimary
    | FenceReplicas
    | AnnounceChange
    | WithdrawChange
    | ObserveAfter
    | Promote
    | UnfenceReplicas
)


@unique
class Phase(Enum):
    """The step that a succession is at.

    HOLDING lasts for the hold time, so that all proofs of the former term have expired
    when the promotion takes effect. CONFIRMING fences the replicas once more. In
    AWAITING the promotion was accepted, but the new primary is not observed yet. In
    LIFTING no promotion of this proxy is under way, and fences are lifted once those of
    earlier claims have taken effect.
    """

    CLAIMING = "claiming"
    FENCING = "fencing"
    HOLDING = "holding"
    CONFIRMING = "confirming"
    PROMOTING = "promoting"
    AWAITING = "awaiting"
    LIFTING = "lifting"


@dataclass(frozen=True, slots=True)
class Succession:
    """A change of one service's primary that this proxy drives under its claim.

    `waiting_since` is when this proxy decided to claim the duty or, once AWAITING, when
    the platform accepted the promotion. `former_log_end` is the end of the former
    primary's log, and `former_term` the term in which it led, known once it has stepped
    down; `asked_step_down` is True once it was asked to. With `recalls_former` it may
    lead again, as the replicas' logs do not reach what was reported. `claimed_at` is
    when the duty was asked for, `accepted_at` when the store had granted it, and
    `deadline` the last moment at which the claim, with fencing token `token`, may be
    used to promote or unfence.
    `refused_successors` are replicas that the platform reported as not running.
    `unknown_replacements` are the ended databases at whose addresses unknown ones were
    fenced. `fenced_here` are those that this proxy has fenced, and
    `confirm_not_before` is the time until which the promotion and the commands of an
    earlier claim may act. `announced` is the change that was announced, `has_announced`
    is True if any was, and `announced_version` the announcement's version, or 0 while
    it is not confirmed; it lists the databases `announced_asked`. `knows_less` is True
    if a database must be waited for that this proxy does not know, and another has
    named. `begun_term` is the newest term that a promotion announced before may have
    begun, as far as is known. `promotion_may_take_effect` is True once a promotion was
    requested and not refused; `earlier_may_take_effect` tells the same of the
    promotions before the last one.
    """

    service: str
    cause: Cause
    phase: Phase
    former_primary: str | None
    waiting_since: float
    possible_partition_since: float = 0.0
    former_log_end: Position | None = None
    former_term: int = 0
    asked_step_down: bool = False
    recalls_former: bool = False
    token: int = 0
    claimed_at: float = 0.0
    accepted_at: float = 0.0
    deadline: float = 0.0
    term: int = 0
    successor: str = ""
    refused_successors: frozenset[str] = frozenset()
    unknown_replacements: frozenset[str] = frozenset()
    fenced_here: frozenset[str] = frozenset()
    confirm_not_before: float = 0.0
    announced: PrimaryChange | None = None
    announced_version: int = 0
    announced_asked: tuple[str, ...] = ()
    has_announced: bool = False
    knows_less: bool = False
    begun_term: int = 0
    promotion_may_take_effect: bool = False
    earlier_may_take_effect: bool = False
    next_step_at: float = 0.0


@dataclass(frozen=True, slots=True)
class State:
    """The successions under way, and the earliest next claim time of each service."""

    successions: Mapping[str, Succession] = field(default_factory=dict)
    claim_not_before: Mapping[str, float] = field(default_factory=dict)
    groups: Mapping[str, GroupView] = field(default_factory=dict)
