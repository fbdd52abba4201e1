"""Actions that the succession policy returns, and the runner performs."""

from collections.abc import Mapping
from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.sessions.databases.primary_change import PrimaryChange
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession.events import Cause


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
    The promotion is to be that of `successor`.
    """

    service: str
    change: PrimaryChange
    token: int
    asked: tuple[str, ...] = ()
    successor: str = ""


@dataclass(frozen=True, slots=True)
class WithdrawChange:
    """A request to tell all proxies that a change announced so far will not happen.

    With `is_over` it has happened, so that proxies which start now need not apply it;
    its successor leads in `successor_term`, or 0 if that is not known.
    `token` is the fencing token of this proxy's claim: later ones stay. With
    `is_repeated` some request had no answer, and may have an effect once more.
    """

    service: str
    token: int
    is_over: bool = False
    successor_term: int = 0
    is_repeated: bool = False


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
