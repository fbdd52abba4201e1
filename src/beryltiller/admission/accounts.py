"""Accounts of the service that callers received, with their waiting tickets."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace
from typing import Generic, TypeVar

from beryltiller.admission.tickets import Lane

# The kind of ticket that a queue holds.
TicketT = TypeVar("TicketT")


@dataclass(slots=True, eq=False)
class Entry(Generic[TicketT]):
    """A ticket in an admission queue.

    `order` is the sort key within the caller and lane, and `cost` the estimated service
    time in seconds. `grants_at_arrival` is the number of grants made before the ticket
    arrived. `is_live` is False once the entry was removed.
    """

    ticket: TicketT
    arrived: float
    grants_at_arrival: int
    order: float
    cost: float
    account: "Account[TicketT]"
    is_live: bool = True


@dataclass(slots=True, eq=False)
class Account(Generic[TicketT]):
    """A caller's account: the service it received, in seconds, and its waiting tickets.

    `number` breaks ties between accounts of equal service. `service` never falls. The
    queue raises it to its virtual time when a caller without waiting tickets returns.
    `correction` is the measured service time of earlier grants less their estimates,
    and is added at the next charge. `reads_ahead` is the service of reads less that of
    writes since a ticket last arrived in an empty lane. `backlog` is the estimated
    service time of the waiting tickets, and `executing` the number of grants that are
    not finished. `waiting`, the number of waiting tickets, and `is_listed` are indexed
    by lane. `is_listed` is True while the queue has the account in its list of accounts
    with tickets in the lane; the list may also hold accounts whose tickets are gone.
    """

    caller: str
    number: int
    service: float
    correction: float = 0.0
    reads_ahead: float = 0.0
    backlog: float = 0.0
    executing: int = 0
    waiting: list[int] = field(default_factory=lambda: [0, 0])
    is_listed: list[bool] = field(default_factory=lambda: [False, False])
    _heaps: tuple[
        list[tuple[float, int, Entry[TicketT]]],
        list[tuple[float, int, Entry[TicketT]]],
    ] = field(default_factory=lambda: ([], []))

    @property
    def total_waiting(self) -> int:
        """Return the number of waiting tickets in both lanes."""
        return self.waiting[0] + self.waiting[1]

    @property
    def is_idle(self) -> bool:
        """Return True if no ticket of the caller is waiting or in execution."""
        return not self.executing and not self.total_waiting

    def charge(self, cost: float, lane: Lane) -> None:
        """Add a grant's estimated service time and the correction of earlier estimates.

        A negative sum is kept as the next correction, since `service` never falls.
        """
        due = cost + self.correction
        self.service += max(due, 0.0)
        self.correction = min(due, 0.0)
        self.reads_ahead += cost if lane is Lane.READS else -cost

    def head(self, lane: Lane) -> Entry[TicketT] | None:
        """Return the waiting entry of a lane that is first in order, or None."""
        if not self.waiting[lane]:
            return None
        heap = self._heaps[lane]
        while not heap[0][2].is_live:
            heappop(heap)
        return heap[0][2]

    def work_before(self, order: float, lane: Lane) -> float:
        """Return the estimated service time of the entries with an earlier order."""
        heap = self._heaps[lane]
        return sum(e.cost for at, _, e in heap if at <= order and e.is_live)

    def add(self, entry: Entry[TicketT], lane: Lane, sequence: int) -> None:
        """Add a waiting entry; `sequence` breaks ties between equal orders."""
        if not self.waiting[lane]:
            self.reads_ahead = 0.0
        self.waiting[lane] += 1
        self.backlog += entry.cost
        heappush(self._heaps[lane], (entry.order, sequence, entry))

    def remove(self, entry: Entry[TicketT], lane: Lane) -> None:
        """Remove a waiting entry.

        Unless it is first in the heap, it is only marked. Marked entries are removed
        from the heap in bulk, so that the cost does not grow with the queue.
        """
        entry.is_live = False
        self.waiting[lane] -= 1
        self.backlog = self.backlog - entry.cost if self.total_waiting else 0.0
        heap = self._heaps[lane]
        if heap[0][2] is entry:
            heappop(heap)
        elif len(heap) > 2 * self.waiting[lane] + 8:
            heap[:] = [item for item in heap if item[2].is_live]
            heapify(heap)


class ServiceOrder(Generic[TicketT]):
    """The accounts with tickets waiting in a lane, by the service that they received.

    Accounts whose tickets are gone, or whose service has grown, are put right when they
    come first.
    """

    def __init__(self, lane: Lane) -> None:
        """List no account yet."""
        self._lane = lane
        self._listed: list[tuple[float, int, Account[TicketT]]] = []

    def add(self, account: Account[TicketT]) -> None:
        """List an account in which a ticket waits, unless it is listed already."""
        if not account.is_listed[self._lane]:
            account.is_listed[self._lane] = True
            heappush(self._listed, (account.service, account.number, account))

    def least_served(self) -> Account[TicketT] | None:
        """Return the least served account with a ticket waiting, or None."""
        listed, lane = self._listed, self._lane
        while listed:
            service, number, account = listed[0]
            if not account.waiting[lane]:
                heappop(listed)
                account.is_listed[lane] = False
            elif service < account.service:
                heapreplace(listed, (account.service, number, account))
            else:
                return account
        return None
