"""Tickets for statements that wait for admission, and the decisions on them."""

from dataclasses import dataclass
from enum import IntEnum, unique

from beryltiller.core.outcome import Kind, Refusal


@unique
class Lane(IntEnum):
    """A queue's lane, for reads or for writes; neither may block the other."""

    READS = 0
    WRITES = 1

    @property
    def other(self) -> "Lane":
        """Return the opposite lane."""
        return Lane.WRITES if self is Lane.READS else Lane.READS


LANES = {kind: Lane.WRITES if kind.is_write else Lane.READS for kind in Kind}


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request to admit one statement before `deadline`, in monotonic seconds.

    `request_id` must be unique among the waiting tickets. Service is divided fairly
    between callers, whatever the number of their tickets.
    """

    request_id: str
    caller: str
    kind: Kind
    deadline: float


@dataclass(frozen=True, slots=True)
class Grant:
    """The admission of a ticket, with the facts that decided its order.

    `number` is the number of the grant, from 1. `grants_at_arrival` is the number of
    the last grant before the ticket arrived, so grants between the two numbers went
    first. `order` is the sort key within the caller and lane. `service` is the service
    that the caller had received when the ticket was chosen, and `cost` the estimated
    service time, both in seconds. `held_back` is the lane that the reserve excluded at
    that moment. `is_pinned` is True for a statement of an open transaction, which
    already holds its connection.
    """

    ticket: Ticket
    arrived: float
    granted: float
    number: int
    grants_at_arrival: int
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
    """The reason why a ticket was refused without being run."""

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
        """Return the cause as it is written in answers, such as `queue-full`."""
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
    """The refusal of a ticket that was not run.

    If the deadline could not be met, `wait_seconds` is the expected wait for a ticket
    that was refused on arrival, and the time waited for one that had been queued.
    """

    cause: Cause
    wait_seconds: float = 0.0

    @property
    def refusal(self) -> Refusal:
        """Return the refusal that gives the caller the reason."""
        reason = _REASONS[self.cause]
        if self.cause is Cause.DEADLINE_UNREACHABLE:
            reason += f": expected to wait {self.wait_seconds:.3f} s"
        return Refusal(reason)


@dataclass(frozen=True, slots=True)
class Drop:
    """A ticket that was refused after it had waited, with its time of arrival."""

    ticket: Ticket
    arrived: float
    rejection: Rejection


@unique
class Rule(IntEnum):
    """The rule by which one admitted ticket was granted before another."""

    ARRIVED_EARLIER = 0
    LESS_SERVICE = 1
    EARLIER_DEADLINE = 2
    AGEING = 3
    LANE_BALANCE = 4
    RESERVE = 5
    TRANSACTION = 6


def rule_between(first: Grant, second: Grant) -> Rule:
    """Return the rule by which `first` was granted before `second`.

    It is derived from the facts stored with each grant. The rules are checked in this
    order: whether the first ticket already held a connection, whether the reserve
    excluded the second one's lane, the service of two different callers, and the order
    within one caller.
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
