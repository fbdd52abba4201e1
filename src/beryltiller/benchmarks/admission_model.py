"""Queueing model for the admission benchmark: one database, some proxies, one clock.

The database serves statements on its slots in the order of arrival; a proxy consists of
an admission queue and a window. Service times are exponential. Nothing else is
modelled.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from typing import Protocol

from beryltiller.admission.tickets import Cause, Drop, Grant, Lane, Rejection, Ticket
from beryltiller.admission.windows import Limits
from beryltiller.core.ports import Load

_ONE_WAY_LATENCY_SECONDS = 0.0005


class VirtualClock:
    """A virtual clock that calls scheduled functions in the order of their times."""

    def __init__(self) -> None:
        """Create a clock at time 0 with nothing scheduled."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule a call of `action` in `seconds`."""
        heappush(self._events, (self.now + seconds, next(self._sequence), action))

    def run(self, until: float) -> None:
        """Advance to time `until` and call every function due before it."""
        while self._events and self._events[0][0] < until:
            self.now, _, action = heappop(self._events)
            action()
        self.now = until


class DatabaseQueueModel:
    """A database that serves statements on a number of slots."""

    def __init__(self, clock: VirtualClock, slots: int) -> None:
        """Create an idle database."""
        self.clock = clock
        self.slots = slots
        self._waiting_seconds = 0.0
        self._counted_until = 0.0
        self._executing = 0
        self._waiting: deque[tuple[float, Callable[[Load], None]]] = deque()

    def run(self, seconds: float, answer: Callable[[Load], None]) -> None:
        """Queue a statement with a service time of `seconds`.

        `answer` is called with the load when the statement's answer has arrived.
        """
        self._add_waiting_time()
        self._waiting.append((seconds, answer))
        self._start_waiting()

    @property
    def mean_waiting(self) -> float:
        """The mean number of statements that waited for a slot, over time."""
        self._add_waiting_time()
        return self._waiting_seconds / self.clock.now

    def _add_waiting_time(self) -> None:
        """Add the waiting time since the last change of the queue's length."""
        elapsed = self.clock.now - self._counted_until
        self._waiting_seconds += elapsed * len(self._waiting)
        self._counted_until = self.clock.now

    def _start_waiting(self) -> None:
        while self._waiting and self._executing < self.slots:
            seconds, answer = self._waiting.popleft()
            self._executing += 1
            self.clock.after(seconds, lambda answer=answer: self._end_statement(answer))  # type: ignore[misc]

    def _end_statement(self, answer: Callable[[Load], None]) -> None:
        self._add_waiting_time()
        self._executing -= 1
        self._start_waiting()
        load = Load(self.slots, self._executing, len(self._waiting))
        self.clock.after(_ONE_WAY_LATENCY_SECONDS, lambda: answer(load))


class Queue(Protocol):
    """The part of an admission queue that a proxy uses.

    A caller's statements wait in two lanes, one for reads and one for writes; a queue
    may reserve slots for one lane while the other has long statements. A drop is a
    ticket that is refused after it waited.
    """

    @property
    def waiting(self) -> int:
        """The number of tickets that wait."""
        ...

    def offer(self, ticket: Ticket, now: float, limit: float) -> Rejection | None:
        """Add a ticket, or return why it is refused.

        `limit` is the mean number of statements that execute while others wait.
        """
        ...

    def take(
        self, now: float, limit: int, long_limit: int | None = None
    ) -> Grant | Drop | None:
        """Remove the next ticket and return its grant or drop.

        None if no ticket may be sent now. `limit` is the number of statements that
        may execute, `long_limit` that of a lane with long statements.
        """
        ...

    def leaves_reserve(self, lane: Lane, now: float) -> bool:
        """Return True if `lane` must leave reserved slots to the other lane."""
        ...

    def finish(self, grant: Grant, now: float, service_seconds: float | None) -> None:
        """Release the slot of a grant whose statement has ended."""
        ...


class FirstComeQueue:
    """A baseline queue that grants tickets in arrival order and ignores deadlines."""

    def __init__(self, max_waiting: int = 1024) -> None:
        """Create an empty queue that refuses tickets beyond `max_waiting`."""
        self._max_waiting = max_waiting
        self._tickets: deque[tuple[Ticket, float]] = deque()
        self._executing = 0

    @property
    def waiting(self) -> int:
        """The number of tickets that wait."""
        return len(self._tickets)

    def offer(self, ticket: Ticket, now: float, limit: float) -> Rejection | None:
        """Add a ticket unless the queue is full."""
        if len(self._tickets) >= self._max_waiting:
            return Rejection(Cause.QUEUE_FULL)
        self._tickets.append((ticket, now))
        return None

    def take(
        self, now: float, limit: int, long_limit: int | None = None
    ) -> Grant | Drop | None:
        """Grant the oldest ticket, or return None at the limit."""
        if not self._tickets or self._executing >= limit:
            return None
        ticket, arrived_at = self._tickets.popleft()
        self._executing += 1
        return Grant(ticket, arrived_at, now, 0, 0, 0.0, 0.0, 0.0)

    def leaves_reserve(self, lane: Lane, now: float) -> bool:
        """Return False: this queue has no reserve."""
        return False

    def finish(self, grant: Grant, now: float, service_seconds: float | None) -> None:
        """Release the slot of a grant whose statement has ended."""
        self._executing -= 1


@dataclass(slots=True)
class OfferedStatement:
    """A statement: its ticket, its service time, and what to call at its end.

    `on_end` is called with True if the answer arrived within the deadline.
    """

    ticket: Ticket
    service_seconds: float
    on_end: Callable[["OfferedStatement", bool], None]


class ProxyModel:
    """A proxy that passes statements from its queue to the database within a window."""

    def __init__(
        self,
        clock: VirtualClock,
        database: DatabaseQueueModel,
        queue: Queue,
        limits: Limits,
    ) -> None:
        """Create an idle proxy."""
        self.is_alive = True
        self._clock = clock
        self._database = database
        self._queue = queue
        self._limits = limits
        self._statements: dict[str, OfferedStatement] = {}
        self._executing = 0
        self._is_send_scheduled = False

    def offer(self, statement: OfferedStatement) -> None:
        """Queue a statement, or end it at once if the queue refuses it."""
        ticket = statement.ticket
        now = self._clock.now
        if self._queue.offer(ticket, now, self._limits.all_work.mean_limit) is not None:
            statement.on_end(statement, False)
            return
        self._statements[ticket.request_id] = statement
        self._send_granted()

    def _send_granted(self) -> None:
        now = self._clock.now
        limit = self._limits.all_work.limit(now)
        long_limit = self._limits.long_limit(now)
        while decision := self._queue.take(now, limit, long_limit):
            statement = self._statements.pop(decision.ticket.request_id)
            match decision:
                case Grant():
                    self._send(decision, statement)
                case Drop():
                    statement.on_end(statement, False)
        delay = self._limits.pause_seconds(now)
        if self._queue.waiting and delay > 0.0 and not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._clock.after(delay, self._continue_after_pause)

    def _continue_after_pause(self) -> None:
        self._is_send_scheduled = False
        self._send_granted()

    def _send(self, grant: Grant, statement: OfferedStatement) -> None:
        self._executing += 1

        def answer(load: Load) -> None:
            self._receive_answer(grant, statement, load)

        self._clock.after(
            _ONE_WAY_LATENCY_SECONDS,
            lambda: self._database.run(statement.service_seconds, answer),
        )

    def _receive_answer(
        self, grant: Grant, statement: OfferedStatement, load: Load
    ) -> None:
        now = self._clock.now
        self._executing -= 1
        is_limited = self._queue.waiting > 0
        leaves_reserve = self._queue.leaves_reserve(grant.lane, now)
        self._limits.record_answer(load, grant.granted, now, is_limited, leaves_reserve)
        self._queue.finish(grant, now, now - grant.granted)
        statement.on_end(statement, self.is_alive and now <= statement.ticket.deadline)
        if self.is_alive:
            self._send_granted()


@dataclass(frozen=True, slots=True)
class PolicySetup:
    """A policy to compare: its name and factories of a proxy's queue and limits."""

    name: str
    new_queue: Callable[[], Queue]
    new_limits: Callable[[], Limits]


class AdmissionModel:
    """A simulated system: a clock, a database and its proxies with one policy."""

    def __init__(self, setup: PolicySetup, slots: int, proxies: int, seed: int) -> None:
        """Create an idle system; `seed` is that of its random generator."""
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.database = DatabaseQueueModel(self.clock, slots)
        self.proxies = [
            ProxyModel(self.clock, self.database, setup.new_queue(), setup.new_limits())
            for _ in range(proxies)
        ]
