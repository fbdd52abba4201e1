"""Dispatcher: admission, window and connections of one database, joined.

A statement waits in the admission queue until the window has a place and a connection
is idle, runs on that connection, and leaves a record. Which connection and which
statement meet is decided only then, so that a late but urgent one is not held up.

    async with Dispatcher("g1-a", endpoint, share=4, records=records) as dispatcher:
        ticket = Ticket("r1", "shop", Kind.READ, deadline=time.monotonic() + 5.0)
        answer = await dispatcher.run(ticket, statement)

Everything here runs on one event loop; nothing is awaited between a decision and its
effect on the queue, the window and the pool.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from types import TracebackType
from typing import TypeVar

from beryltiller.admission.ledgers import ConnectionLedgerPolicy
from beryltiller.admission.queues import AdmissionQueue, QueuePolicy
from beryltiller.admission.records import AdmissionRecords
from beryltiller.admission.tickets import Cause, Drop, Grant, Rejection, Ticket
from beryltiller.admission.windows import Limits, LimitsPolicy
from beryltiller.core.outcome import Outcome, Refusal
from beryltiller.core.ports import (
    Connection,
    Endpoint,
    EndpointAnswer,
    LostAnswerError,
    PortError,
    RefusedError,
    Statement,
)
from beryltiller.dispatching.connections import ConnectionPool, Lease
from beryltiller.dispatching.dispatch_errors import NotRunError, UnknownOutcomeError

_TEND_SECONDS = 1.0

# Answers that refuse one statement and leave the connection in step.
_CLEAN_REFUSALS = frozenset({"behind", "term", Cause.DEADLINE_PASSED.code})

_Answer = TypeVar("_Answer")


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """Configure the parts of a dispatcher."""

    queue: QueuePolicy = field(default_factory=QueuePolicy)
    limits: LimitsPolicy = field(default_factory=LimitsPolicy)
    pool: ConnectionLedgerPolicy = field(default_factory=ConnectionLedgerPolicy)


@dataclass(frozen=True, slots=True)
class Admission:
    """Hold a granted ticket's connection until it is finished."""

    grant: Grant
    lease: Lease
    record: int


def _not_run(rejection: Rejection) -> NotRunError:
    return NotRunError(rejection.cause.code, rejection.refusal)


class Dispatcher:
    """Run statements on one database in the order of its admission queue."""

    def __init__(
        self,
        database: str,
        endpoint: Endpoint,
        share: int,
        records: AdmissionRecords,
        policy: DispatchPolicy | None = None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Hold up to `share` connections once entered."""
        self._database = database
        self._policy = policy or DispatchPolicy()
        self._records = records
        self._clock = clock
        self._queue = AdmissionQueue(self._policy.queue)
        self._limits = Limits(self._policy.limits)
        self._pool = ConnectionPool(
            endpoint,
            self._policy.pool,
            share,
            clock,
            rng or random.Random(),
            self._on_connection,
        )
        self._waiters: dict[str, asyncio.Future[Admission]] = {}
        self._pace: asyncio.TimerHandle | None = None
        self._tend_timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self._is_draining = False
        self._held = 0
        self._tenders: list[Callable[[], None]] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "Dispatcher":
        """Open the first connections."""
        await self._stack.enter_async_context(self._pool)
        self._stack.callback(self._stop)
        self._tend()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Refuse what waits and close the connections; `drain` first to cut nothing."""
        await self._stack.aclose()

    @property
    def database(self) -> str:
        """Return the database's name."""
        return self._database

    @property
    def queue(self) -> AdmissionQueue:
        """Return the queue, for reading."""
        return self._queue

    @property
    def limits(self) -> Limits:
        """Return the limits on statements in execution, for reading."""
        return self._limits

    @property
    def pool(self) -> ConnectionPool:
        """Return the connections, for reading."""
        return self._pool

    async def run(
        self,
        ticket: Ticket,
        statement: Statement,
        on_admitted: Callable[[], None] = lambda: None,
    ) -> EndpointAnswer:
        """Run one statement and return its whole answer.

        `on_admitted` is called just before the statement is sent.

        Raise `NotRunError` when it is proved not to have run, else
        `UnknownOutcomeError`. Cancelling before the grant leaves no trace in the
        database; afterwards the connection is closed.
        """
        admission = await self.admit(ticket)
        is_clean = False
        try:
            on_admitted()
            answer = await self.execute(
                admission, lambda connection: connection.run(statement)
            )
            is_clean = True
        except NotRunError as error:
            is_clean = error.code in _CLEAN_REFUSALS
            raise
        finally:
            self.release(admission.lease, is_clean)
        return answer

    async def admit(self, ticket: Ticket) -> Admission:
        """Wait for the ticket's turn and a connection.

        The user must call `execute` once and then `release` the lease.
        """
        now = self._clock()
        rejection = self._rejection(ticket, now)
        if rejection is not None:
            raise self._refused(Drop(ticket, now, rejection))
        waiter: asyncio.Future[Admission]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.request_id] = waiter
        self._pump()
        if waiter.done():
            return waiter.result()
        timer = asyncio.get_running_loop().call_later(
            ticket.deadline - now, self._expire, ticket, now
        )
        try:
            return await waiter
        except asyncio.CancelledError:
            self._abandon(ticket, now, waiter)
            raise
        finally:
            timer.cancel()

    async def execute(
        self,
        admission: Admission,
        work: Callable[[Connection], Awaitable[_Answer]],
    ) -> _Answer:
        """Do the admitted work before its deadline, and record the outcome.

        The connection stays lent, whatever comes.
        """
        started = self._clock()
        remaining = admission.grant.ticket.deadline - started
        if remaining <= 0.0:
            self._finish(admission, Outcome.NOT_RUN, None)
            raise _not_run(Rejection(Cause.DEADLINE_PASSED))
        try:
            async with asyncio.timeout(remaining):
                answer = await work(admission.lease.connection)
        except RefusedError as error:
            self._finish(admission, Outcome.NOT_RUN, None)
            raise NotRunError(error.code, Refusal(error.reason)) from error
        except (LostAnswerError, TimeoutError) as error:
            self._lose(admission, started)
            reason = str(error) or "its deadline passed while it ran"
            raise UnknownOutcomeError("lost-answer", Refusal(reason)) from error
        except BaseException:
            self._lose(admission, started)
            raise
        now = self._clock()
        if isinstance(answer, EndpointAnswer):
            is_limited = self._queue.waiting > 0
            is_reserved = self._queue.is_reserved(admission.grant.lane, now)
            self._limits.record_answer(
                answer.load, started, now, is_limited, is_reserved
            )
        self._finish(admission, Outcome.DONE, now - started)
        return answer

    def release(self, lease: Lease, is_clean: bool = True) -> None:
        """Give a connection back and let the next statement go."""
        self._held -= 1
        self._pool.give_back(lease, is_clean)
        self._pump()

    def enter(self, ticket: Ticket, lease: Lease) -> Admission:
        """Admit a statement of an open transaction on its own connection."""
        grant = self._queue.admit_pinned(ticket, self._clock())
        return self._admission(grant, lease)

    def on_tend(self, callback: Callable[[], None]) -> None:
        """Call back once a second while the dispatcher is entered."""
        self._tenders.append(callback)

    def resize(self, share: int) -> None:
        """Change the share of the database's connections."""
        self._pool.resize(share)
        self._pump()

    async def drain(self) -> None:
        """Refuse new work and wait until all that was accepted has ended."""
        self._is_draining = True
        self._check_drained()
        await self._drained.wait()

    def _rejection(self, ticket: Ticket, now: float) -> Rejection | None:
        if self._is_draining:
            return Rejection(Cause.DRAINING)
        ledger = self._pool.ledger
        if ledger.share < 1 or ledger.is_backing_off(now):
            return Rejection(Cause.NO_CONNECTION)
        limit = min(self._limits.all_work.mean_limit, self._pool.ledger.share)
        return self._queue.offer(ticket, now, limit)

    def _pump(self) -> None:
        """Grant whatever the window and the idle connections allow."""
        if self._queue.waiting:
            self._grant_waiting(self._clock())
        self._check_drained()

    def _grant_waiting(self, now: float) -> None:
        limit = self._limits.all_work.limit(now)
        long_limit = self._limits.long_limit(now)
        while self._queue.waiting:
            places = self._queue.executing + self._pool.ledger.idle
            decision = self._queue.take(now, min(limit, places), long_limit)
            match decision:
                case Grant():
                    self._deliver(decision)
                case Drop():
                    self._reject(decision)
                case None:
                    break
        if self._queue.waiting:
            self._pool.prepare(self._demand(now))
            self._wait_for_pace(now)

    def _demand(self, now: float) -> int:
        """Return how many connections the window lets us use."""
        places = max(1, self._limits.all_work.limit(now) - self._queue.executing)
        return self._held + min(self._queue.waiting, places)

    def _deliver(self, grant: Grant) -> None:
        waiter = self._waiters.pop(grant.ticket.request_id)
        if waiter.cancelled():
            # Its task was cancelled and has not run since.
            self._queue.finish(grant, grant.granted, None)
            rejection = Rejection(Cause.CALLER_GONE)
            self._refused(Drop(grant.ticket, grant.arrived, rejection))
            return
        lease = self._pool.lend()
        assert lease is not None
        self._held += 1
        waiter.set_result(self._admission(grant, lease))

    def _admission(self, grant: Grant, lease: Lease) -> Admission:
        record = self._records.record_grant(self._database, grant, lease.serial)
        return Admission(grant, lease, record)

    def _reject(self, drop: Drop) -> None:
        error = self._refused(drop)
        waiter = self._waiters.pop(drop.ticket.request_id)
        if not waiter.cancelled():
            waiter.set_exception(error)

    def _refused(self, drop: Drop) -> NotRunError:
        self._records.record_refusal(self._database, drop, self._clock())
        return _not_run(drop.rejection)

    def _expire(self, ticket: Ticket, arrived: float) -> None:
        """Refuse a ticket whose deadline passed while it waited."""
        if self._queue.cancel(ticket.request_id):
            rejection = Rejection(Cause.DEADLINE_PASSED)
            self._reject(Drop(ticket, arrived, rejection))
            self._check_drained()

    def _abandon(
        self, ticket: Ticket, arrived: float, waiter: "asyncio.Future[Admission]"
    ) -> None:
        """Take back a ticket whose caller went away before anything was sent."""
        if self._queue.cancel(ticket.request_id):
            del self._waiters[ticket.request_id]
            self._refused(Drop(ticket, arrived, Rejection(Cause.CALLER_GONE)))
            self._check_drained()
        elif not waiter.cancelled() and waiter.exception() is None:
            admission = waiter.result()
            self._finish(admission, Outcome.NOT_RUN, None)
            self.release(admission.lease)

    def _lose(self, admission: Admission, started: float) -> None:
        """End an admission whose answer will not be waited for."""
        now = self._clock()
        self._limits.record_lost_answer(started, now)
        self._finish(admission, Outcome.UNKNOWN, now - started)

    def _finish(
        self, admission: Admission, outcome: Outcome, seconds: float | None
    ) -> None:
        now = self._clock()
        self._queue.finish(admission.grant, now, seconds)
        self._records.record_outcome(admission.record, outcome, now)

    def _on_connection(self, error: PortError | None) -> None:
        if error is not None and self._pool.ledger.is_unavailable:
            for drop in self._queue.refuse_all(Cause.NO_CONNECTION):
                self._reject(drop)
        self._pump()

    def _wait_for_pace(self, now: float) -> None:
        """Wake up when a window below one lets the next statement start."""
        delay = self._limits.pause_seconds(now)
        if delay <= 0.0 or self._pace is not None:
            return
        loop = asyncio.get_running_loop()
        self._pace = loop.call_later(delay, self._on_pace)

    def _on_pace(self) -> None:
        self._pace = None
        self._pump()

    def _check_drained(self) -> None:
        if self._is_draining and self._queue.is_empty and not self._held:
            self._drained.set()

    def _tend(self) -> None:
        """Keep the spare connections open and close those idle for long."""
        for tender in self._tenders:
            tender()
        self._pool.evict()
        self._pool.prepare(self._demand(self._clock()))
        loop = asyncio.get_running_loop()
        self._tend_timer = loop.call_later(_TEND_SECONDS, self._tend)

    def _stop(self) -> None:
        self._is_draining = True
        for timer in (self._pace, self._tend_timer):
            if timer is not None:
                timer.cancel()
        for drop in self._queue.refuse_all(Cause.DRAINING):
            self._reject(drop)
