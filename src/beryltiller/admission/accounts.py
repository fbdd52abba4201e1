"""Callers' accounts of service, each with the caller's waiting tickets."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from beryltiller.admission.tickets import Lane, Ticket


@dataclass(slots=True)
class Entry:
    """Hold one waiting ticket.

    `order` is its key within the caller and lane, `cost` its estimated service time
    in seconds, `seen` the number of grants before it arrived.
    """

    ticket: Ticket
    arrived: float
    seen: int
    order: float
    cost: float
    account: "Account"
    is_live: bool = True


_Heap = list[tuple[float, int, Entry]]


@dataclass(slots=True)
class Account:
    """Hold the service that a caller received, in seconds, and what it waits for.

    `service` never falls. `correction` is the measured less the estimated service
    of earlier grants, settled at the next charge. `reads_ahead` is the service of
    reads less that of writes since one of the two lanes was last empty.
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
    _heaps: tuple[_Heap, _Heap] = field(default_factory=lambda: ([], []))

    @property
    def total_waiting(self) -> int:
        """Return the number of tickets that wait in both lanes."""
        return self.waiting[0] + self.waiting[1]

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits and nothing is in execution."""
        return not self.executing and not self.total_waiting

    def charge(self, cost: float, lane: Lane) -> None:
        """Add a grant's estimated service time, with earlier corrections."""
        due = cost + self.correction
        self.service += max(due, 0.0)
        self.correction = min(due, 0.0)
        self.reads_ahead += cost if lane is Lane.READS else -cost

    def head(self, lane: Lane) -> Entry | None:
        """Return the first waiting entry of a lane."""
        if not self.waiting[lane]:
            return None
        heap = self._heaps[lane]
        while not heap[0][2].is_live:
            heappop(heap)
        return heap[0][2]

    def add(self, entry: Entry, lane: Lane, sequence: int) -> None:
        """Let an entry wait; `sequence` orders entries of equal order."""
        if not self.waiting[lane]:
            self.reads_ahead = 0.0
        self.waiting[lane] += 1
        self.backlog += entry.cost
        heappush(self._heaps[lane], (entry.order, sequence, entry))

    def remove(self, entry: Entry, lane: Lane) -> None:
        """Let an entry wait no more, at a cost that does not grow with the queue."""
        entry.is_live = False
        self.waiting[lane] -= 1
        self.backlog = self.backlog - entry.cost if self.total_waiting else 0.0
        heap = self._heaps[lane]
        if heap[0][2] is entry:
            heappop(heap)
        elif len(heap) > 2 * self.waiting[lane] + 8:
            heap[:] = [item for item in heap if item[2].is_live]
            heapify(heap)
