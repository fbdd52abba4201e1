"""Queueing model for the policy benchmark: one database, some proxies, one clock.

The database serves statements on its slots, first come first served; a proxy is an
admission queue and a window. Service times are exponential. Nothing else is modelled.
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

_ONE_WAY_SECONDS = 0.0005


class Clock:
    """Call functions in the order of their virtual times."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Call `action` in `seconds`."""
        heappush(self._events, (self.now + seconds, next(self._sequence), action))

    def run(self, until: float) -> None:
        """Call everything that is due before `until`."""
        while self._events and self._events[0][0] < until:
            self.now, _, action = heappop(self._events)
            action()
        self.now = until


class Database:
    """Serve statements on a number of slots."""

    def __init__(self, clock: Clock, slots: int) -> None:
        """Start idle."""
        self.clock = clock
        self.slots = slots
        self._waiting_seconds = 0.0
        self._counted_until = 0.0
        self._executing = 0
        self._waiting: deque[tuple[float, Callable[[Load], None]]] = deque()

    def run(self, seconds: float, answer: Callable[[Load], None]) -> None:
        """Serve a statement of this service time, then answer."""
        self._count()
        self._waiting.append((seconds, answer))
        self._start()

    @property
    def mean_waiting(self) -> float:
        """Return how many statements waited for a slot on average."""
        self._count()
        return self._waiting_seconds / self.clock.now

    def _count(self) -> None:
        """Add up the waiting since the last change of its number."""
        elapsed = self.clock.now - self._counted_until
        self._waiting_seconds += elapsed * len(self._waiting)
        self._counted_until = self.clock.now

    def _start(self) -> None:
        while self._waiting and self._executing < self.slots:
            seconds, answer = self._waiting.popleft()
            self._executing += 1
            self.clock.after(seconds, lambda answer=answer: self._end(answer))  # type: ignore[misc]

    def _end(self, answer: Callable[[Load], None]) -> None:
        self._count()
        self._executing -= 1
        self._start()
        load = Load(self.slots, self._executing, len(self._waiting))
        self.clock.after(_ONE_WAY_SECONDS, lambda: answer(load))


class Queue(Protocol):
    """Be the part of an admission queue that a proxy uses."""

    @property
    def waiting(self) -> int:
        """Return the number of tickets that wait."""
        ...

    def offer(self, ticket: Ticket, now: float, limit: float) -> Rejection | None:
        """Let a ticket wait, or refuse it."""
        ...

    def take(
        self, now: float, limit: int, long_limit: int | None = None
    ) -> Grant | Drop | None:
        """Return the next ticket."""
        ...

    def is_reserved(self, lane: Lane, now: float) -> bool:
        """Tell whether a lane must leave room for the other."""
        ...

    def finish(self, grant: Grant, now: float, service_seconds: float | None) -> None:
        """Give back a grant's place."""
        ...


class FirstComeQueue:
    """Serve tickets in the order of arrival, whatever their deadlines: a baseline."""

    def __init__(self, max_waiting: int = 1024) -> None:
        """Start empty."""
        self._max_waiting = max_waiting
        self._tickets: deque[tuple[Ticket, float]] = deque()
        self._executing = 0

    @property
    def waiting(self) -> int:
        """Return the number of tickets that wait."""
        return len(self._tickets)

    def offer(self, ticket: Ticket, now: float, limit: float) -> Rejection | None:
        """Let a ticket wait unless the queue is full."""
        if len(self._tickets) >= self._max_waiting:
            return Rejection(Cause.QUEUE_FULL)
        self._tickets.append((ticket, now))
        return None

    def take(
        self, now: float, limit: int, long_limit: int | None = None
    ) -> Grant | Drop | None:
        """Return the oldest ticket."""
        if not self._tickets or self._executing >= limit:
            return None
        ticket, arrived = self._tickets.popleft()
        self._executing += 1
        return Grant(ticket, arrived, now, 0, 0, 0.0, 0.0, 0.0)

    def is_reserved(self, lane: Lane, now: float) -> bool:
        """Reserve nothing."""
        return False

    def finish(self, grant: Grant, now: float, service_seconds: float | None) -> None:
        """Give back a grant's place."""
        self._executing -= 1


@dataclass(slots=True)
class Work:
    """Hold a ticket, its true service time, and what to call at its end."""

    ticket: Ticket
    service_seconds: float
    on_end: Callable[["Work", bool], None]


class Proxy:
    """Pass work from a queue to the database within a window."""

    def __init__(
        self, clock: Clock, database: Database, queue: Queue, limits: Limits
    ) -> None:
        """Start idle."""
        self.is_alive = True
        self._clock = clock
        self._database = database
        self._queue = queue
        self._limits = limits
        self._works: dict[str, Work] = {}
        self._executing = 0
        self._is_paced = False

    def offer(self, work: Work) -> None:
        """Queue work or refuse it."""
        ticket = work.ticket
        now = self._clock.now
        if self._queue.offer(ticket, now, self._limits.all_work.mean_limit) is not None:
            work.on_end(work, False)
            return
        self._works[ticket.request_id] = work
        self._pump()

    def _pump(self) -> None:
        now = self._clock.now
        limit = self._limits.all_work.limit(now)
        long_limit = self._limits.long_limit(now)
        while decision := self._queue.take(now, limit, long_limit):
            work = self._works.pop(decision.ticket.request_id)
            match decision:
                case Grant():
                    self._send(decision, work)
                case Drop():
                    work.on_end(work, False)
        delay = self._limits.pause_seconds(now)
        if self._queue.waiting and delay > 0.0 and not self._is_paced:
            self._is_paced = True
            self._clock.after(delay, self._on_pace)

    def _on_pace(self) -> None:
        self._is_paced = False
        self._pump()

    def _send(self, grant: Grant, work: Work) -> None:
        self._executing += 1

        def answer(load: Load) -> None:
            self._answered(grant, work, load)

        self._clock.after(
            _ONE_WAY_SECONDS, lambda: self._database.run(work.service_seconds, answer)
        )

    def _answered(self, grant: Grant, work: Work, load: Load) -> None:
        now = self._clock.now
        self._executing -= 1
        is_limited = self._queue.waiting > 0
        is_reserved = self._queue.is_reserved(grant.lane, now)
        self._limits.record_answer(load, grant.granted, now, is_limited, is_reserved)
        self._queue.finish(grant, now, now - grant.granted)
        work.on_end(work, self.is_alive and now <= work.ticket.deadline)
        if self.is_alive:
            self._pump()


@dataclass(frozen=True, slots=True)
class Setup:
    """Name a way to order and limit statements."""

    name: str
    new_queue: Callable[[], Queue]
    new_limits: Callable[[], Limits]


class Model:
    """Hold a clock, a database and its proxies of one setup."""

    def __init__(self, setup: Setup, slots: int, proxies: int, seed: int) -> None:
        """Start idle."""
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.database = Database(self.clock, slots)
        self.proxies = [
            Proxy(self.clock, self.database, setup.new_queue(), setup.new_limits())
            for _ in range(proxies)
        ]
