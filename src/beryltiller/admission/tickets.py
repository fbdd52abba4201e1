"""Tickets: statements that wait for admission, and what was decided on them."""

from dataclasses import dataclass
from enum import IntEnum, unique

from beryltiller.core.outcome import Kind, Refusal


@unique
class Lane(IntEnum):
    """Tell reads from writes; each is kept from freezing the other."""

    READS = 0
    WRITES = 1

    @property
    def other(self) -> "Lane":
        """Return the opposite lane."""
        return Lane.WRITES if self is Lane.READS else Lane.READS


LANES = {kind: Lane.WRITES if kind.is_write else Lane.READS for kind in Kind}


@dataclass(frozen=True, slots=True)
class Ticket:
    """Ask for one statement to be admitted before `deadline`, in monotonic seconds.

    `request_id` must be unique among the tickets that wait. `caller` is the unit of
    fairness.
    """

    request_id: str
    caller: str
    kind: Kind
    deadline: float


@dataclass(frozen=True, slots=True)
class Grant:
    """Admit a ticket, with the facts that put it before others.

    `number` counts grants from 1. `seen` is the number of the last grant before the
    ticket arrived, so that grants between `seen` and `number` went first. `order` is
    the key within the caller, `service` the caller's account of service received, in
    seconds, when it was chosen. `held_back` names a lane that the reserve kept from
    being chosen at that moment. `is_pinned` marks work of an open transaction, which
    already holds its connection.
    """

    ticket: Ticket
    arrived: float
    granted: float
    number: int
    seen: int
    order: float
    service: float
    cost: float
    held_back: Lane | None = None
    is_pinned: bool = False

    @property
    def lane(self) -> Lane:
        """Return the lane of the ticket's kind."""
        return LANES[self.ticket.kind]


@unique
class Cause(IntEnum):
    """Name why a ticket was refused without being run."""

    DEADLINE_PASSED = 0
    DEADLINE_UNREACHABLE = 1
    QUEUE_FULL = 2
    ALREADY_WAITING = 3
    DRAINING = 4
    NO_CONNECTION = 5
    CALLER_GONE = 6
    TRANSACTION_LIMIT = 7

    @property
    def code(self) -> str:
        """Return the cause as it stands in answers, such as `queue-full`."""
        return self.name.lower().replace("_", "-")


_REASONS = {
    Cause.DEADLINE_PASSED: "its deadline passed before it could be run",
    Cause.DEADLINE_UNREACHABLE: "its deadline could not be met",
    Cause.QUEUE_FULL: "its caller's part of the queue is full",
    Cause.ALREADY_WAITING: "a request of this identifier is already waiting",
    Cause.DRAINING: "this proxy is shutting down",
    Cause.NO_CONNECTION: "no connection to the database could be opened",
    Cause.CALLER_GONE: "its caller went away",
    Cause.TRANSACTION_LIMIT: "too many transactions are open",
}


@dataclass(frozen=True, slots=True)
class Rejection:
    """Refuse a ticket; nothing of it was run.

    `wait_seconds` is the wait that was expected, where that was the cause.
    """

    cause: Cause
    wait_seconds: float = 0.0

    @property
    def refusal(self) -> Refusal:
        """Return the reason for the caller."""
        reason = _REASONS[self.cause]
        if self.cause is Cause.DEADLINE_UNREACHABLE:
            reason += f": expected to wait {self.wait_seconds:.3f} s"
        return Refusal(reason)


@dataclass(frozen=True, slots=True)
class Drop:
    """Refuse a ticket that has waited."""

    ticket: Ticket
    arrived: float
    rejection: Rejection


@unique
class Rule(IntEnum):
    """Name why one admitted ticket went before another."""

    ARRIVED_EARLIER = 0
    LESS_SERVICE = 1
    EARLIER_DEADLINE = 2
    AGEING = 3
    LANE_BALANCE = 4
    RESERVE = 5
    TRANSACTION = 6


def rule_between(first: Grant, second: Grant) -> Rule:
    """Return the rule by which `first` was granted before `second`.

    The answer rests on what was stored when each was granted: whether the first one
    held a connection already, whether the reserve held the second one's lane back,
    then the order within one caller, else the callers' accounts of service.
    """
    if first.is_pinned:
        return Rule.TRANSACTION
    if first.held_back is second.lane:
        return Rule.RESERVE
    if first.ticket.caller != second.ticket.caller:
        return Rule.LESS_SERVICE
    if first.lane is not second.lane:
        return Rule.LANE_BALANCE
    if first.ticket.deadline < second.ticket.deadline:
        return Rule.EARLIER_DEADLINE
    if first.ticket.deadline == second.ticket.deadline:
        return Rule.ARRIVED_EARLIER
    return Rule.AGEING
