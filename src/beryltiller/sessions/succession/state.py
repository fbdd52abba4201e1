"""State of the succession policy: the successions under way, and each one's phase."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique

from beryltiller.core.position import Position
from beryltiller.sessions.databases.primary_change import PrimaryChange
from beryltiller.sessions.succession.events import Cause, GroupView


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
    fenced. `fenced_here` are those that this proxy has fenced, and `confirm_not_before`
    is the time until which the promotion and the commands of an earlier claim may act.
    `announced` is the change that was announced, `has_announced` is True if any was,
    and `announced_version` the announcement's version, or 0 while it is not confirmed;
    it lists the databases `announced_asked`, and names `announced_successor`.
    `knows_less` is True if a database must be waited for that this proxy does not know,
    and another has named. `begun_term` is the newest term that a promotion announced
    before may have begun, as far as is known. `promotion_may_take_effect` is True once
    a promotion was requested and not refused; `earlier_may_take_effect` tells the same
    of the promotions before the last one. `lacks_answer` is True if a request had no
    answer.
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
    lacks_answer: bool = False
    next_step_at: float = 0.0


@dataclass(frozen=True, slots=True)
class State:
    """The successions under way, and the earliest next claim time of each service."""

    successions: Mapping[str, Succession] = field(default_factory=dict)
    claim_not_before: Mapping[str, float] = field(default_factory=dict)
    groups: Mapping[str, GroupView] = field(default_factory=dict)
