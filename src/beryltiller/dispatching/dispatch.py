"""The dispatcher of one database: its admission queue, window and connections.

A statement waits in the admission queue until the window, the adaptive limit on
concurrent statements, has a free slot and a connection is idle. It then runs on that
connection, and its outcome is recorded. Statements are assigned to connections only at
that point, so that an urgent statement that arrives late need not wait for earlier
ones.

    async with Dispatcher("g1-a", endpoint, share=4, records=records) as dispatcher:
        ticket = Ticket("r1", "shop", Kind.READ, deadline=time.monotonic() + 5.0)
        answer = await dispatcher.run(ticket, statement)

All methods run on one event loop. Nothing is awaited between a decision and its effect
on the queue, the window and the pool.
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
from beryltiller.dispatching.connections import (
    AcquiredConnection,
    EndpointConnectionPool,
)
from beryltiller.dispatching.dispatch_errors import NotRunError, UnknownOutcomeError

_MAINTENANCE_INTERVAL_SECONDS = 1.0

# Codes of refusals that end one statement and leave the connection in sync with the
# database, so that it can be reused.
_CLEAN_REFUSALS = frozenset({"behind", "term", Cause.DEADLINE_PASSED.code})

_Answer = TypeVar("_Answer")


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """The settings of a dispatcher's queue, concurrency limits and pool."""

    queue: QueuePolicy = field(default_factory=QueuePolicy)
    limits: LimitsPolicy = field(default_factory=LimitsPolicy)
    pool: ConnectionLedgerPolicy = field(default_factory=ConnectionLedgerPolicy)


@dataclass(frozen=True, slots=True)
class Admission:
    """A granted ticket, with its connection and the number of its admission record."""

    grant: Grant
    acquired: AcquiredConnection
    record: int


def _not_run_error(rejection: Rejection) -> NotRunError:
    return NotRunError(rejection.cause.code, rejection.refusal)


class Dispatcher:
    """Runs statements on one database in the order of its admission queue.

    Use it as an async context manager.
    """

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
        """Set up a dispatcher that opens up to `share` connections once entered."""
        self._database = database
        self._policy = policy or DispatchPolicy()
        self._records = records
        self._clock = clock
        self._queue = AdmissionQueue(self._policy.queue)
        self._limits = Limits(self._policy.limits)
        self._pool = EndpointConnectionPool(
            endpoint,
            self._policy.pool,
            share,
            clock,
            rng or random.Random(),
            self._on_connection_change,
        )
        self._waiters: dict[str, asyncio.Future[Admission]] = {}
        self._pace_timer: asyncio.TimerHandle | None = None
        self._maintenance_timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self._is_draining = False
        self._acquired_count = 0
        self._maintenance_callbacks: list[Callable[[], None]] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "Dispatcher":
        """Start to open the first connections, without waiting for them."""
        await self._stack.enter_async_context(self._pool)
        self._stack.callback(self._stop)
        self._maintain()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Refuse waiting statements and close the connections.

        Await `drain` first to let accepted statements finish.
        """
        await self._stack.aclose()

    @property
    def database(self) -> str:
        """Return the database's name."""
        return self._database

    @property
    def queue(self) -> AdmissionQueue:
        """Return the admission queue; callers must not change it."""
        return self._queue

    @property
    def limits(self) -> Limits:
        """Return the limits on concurrent statements; callers must not change them."""
        return self._limits

    @property
    def pool(self) -> EndpointConnectionPool:
        """Return the connection pool; callers must not change it."""
        return self._pool

    async def run(
        self,
        ticket: Ticket,
        statement: Statement,
        on_admitted: Callable[[], None] = lambda: None,
    ) -> EndpointAnswer:
        """Run one statement and return its complete answer.

        `on_admitted` is called just before the statement is sent.

        Raise `NotRunError` if the statement is proved not to have run, and
        `UnknownOutcomeError` otherwise. If the call is cancelled before the grant,
        nothing is sent to the database; after it, the connection is closed.
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
            self.release(admission.acquired, is_clean)
        return answer

    async def admit(self, ticket: Ticket) -> Admission:
        """Wait until the ticket is granted a connection.

        The caller must call `execute` once and then `release` the connection.
        """
        now = self._clock()
        rejection = self._offer(ticket, now)
        if rejection is not None:
            raise self._record_refusal(Drop(ticket, now, rejection))
        waiter: asyncio.Future[Admission]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.request_id] = waiter
        self._grant_available()
        if waiter.done():
            return waiter.result()
        timer = asyncio.get_running_loop().call_later(
            ticket.deadline - now, self._expire_ticket, ticket, now
        )
        try:
            return await waiter
        except asyncio.CancelledError:
            self._cancel_ticket(ticket, now, waiter)
            raise
        finally:
            timer.cancel()

    async def execute(
        self,
        admission: Admission,
        work: Callable[[Connection], Awaitable[_Answer]],
    ) -> _Answer:
        """Run `work` on the connection until the ticket's deadline; record the outcome.

        The connection stays acquired in every case, also after an error.
        """
        started = self._clock()
        remaining = admission.grant.ticket.deadline - started
        if remaining <= 0.0:
            self._finish(admission, Outcome.NOT_RUN, None)
            raise _not_run_error(Rejection(Cause.DEADLINE_PASSED))
        try:
            async with asyncio.timeout(remaining):
                answer = await work(admission.acquired.connection)
        except RefusedError as error:
            self._finish(admission, Outcome.NOT_RUN, None)
            raise NotRunError(error.code, Refusal(error.reason)) from error
        except (LostAnswerError, TimeoutError) as error:
            self._record_lost_answer(admission, started)
            reason = str(error) or "the statement's deadline passed while it ran"
            raise UnknownOutcomeError("lost-answer", Refusal(reason)) from error
        except BaseException:
            self._record_lost_answer(admission, started)
            raise
        now = self._clock()
        if isinstance(answer, EndpointAnswer):
            is_limited = self._queue.waiting > 0
            leaves_reserve = self._queue.leaves_reserve(admission.grant.lane, now)
            self._limits.record_answer(
                answer.load, started, now, is_limited, leaves_reserve
            )
        self._finish(admission, Outcome.DONE, now - started)
        return answer

    def release(self, acquired: AcquiredConnection, is_clean: bool = True) -> None:
        """Release a connection and grant the next statements."""
        self._acquired_count -= 1
        self._pool.release(acquired, is_clean)
        self._grant_available()

    def admit_pinned(self, ticket: Ticket, acquired: AcquiredConnection) -> Admission:
        """Admit a statement of an open transaction on the transaction's connection."""
        grant = self._queue.admit_pinned(ticket, self._clock())
        return self._create_admission(grant, acquired)

    def on_maintenance(self, callback: Callable[[], None]) -> None:
        """Register a callback to run once a second while the dispatcher is entered."""
        self._maintenance_callbacks.append(callback)

    def resize(self, share: int) -> None:
        """Set this proxy's share of the database's connections."""
        self._pool.resize(share)
        self._grant_available()

    async def drain(self) -> None:
        """Refuse new statements and wait until all accepted ones have ended.

        An open transaction is waited for as well, as it has a connection in use.
        """
        self._is_draining = True
        self._check_drained()
        await self._drained.wait()

    def _offer(self, ticket: Ticket, now: float) -> Rejection | None:
        """Queue a ticket, or return the reason why it is refused at once."""
        if self._is_draining:
            return Rejection(Cause.DRAINING)
        ledger = self._pool.ledger
        if ledger.share < 1 or ledger.is_backing_off(now):
            return Rejection(Cause.NO_CONNECTION)
        limit = min(self._limits.all_work.mean_limit, self._pool.ledger.share)
        return self._queue.offer(ticket, now, limit)

    def _grant_available(self) -> None:
        """Grant as many statements as the window and the idle connections allow."""
        if self._queue.waiting:
            self._grant_waiting(self._clock())
        self._check_drained()

    def _grant_waiting(self, now: float) -> None:
        limit = self._limits.all_work.limit(now)
        long_limit = self._limits.long_limit(now)
        while self._queue.waiting:
            connection_slots = self._queue.executing + self._pool.ledger.idle
            decision = self._queue.take(now, min(limit, connection_slots), long_limit)
            match decision:
                case Grant():
                    self._deliver(decision)
                case Drop():
                    self._reject(decision)
                case None:
                    break
        if self._queue.waiting:
            self._pool.start_opening(self._connection_demand(now))
            self._schedule_paced_grant(now)

    def _connection_demand(self, now: float) -> int:
        """Return how many connections could be used within the window."""
        window_slots = max(1, self._limits.all_work.limit(now) - self._queue.executing)
        return self._acquired_count + min(self._queue.waiting, window_slots)

    def _deliver(self, grant: Grant) -> None:
        waiter = self._waiters.pop(grant.ticket.request_id)
        if waiter.cancelled():
            # The caller's task was cancelled and has not handled that yet.
            self._queue.finish(grant, grant.granted, None)
            rejection = Rejection(Cause.CALLER_GONE)
            self._record_refusal(Drop(grant.ticket, grant.arrived, rejection))
            return
        acquired = self._pool.acquire()
        assert acquired is not None
        self._acquired_count += 1
        waiter.set_result(self._create_admission(grant, acquired))

    def _create_admission(
        self, grant: Grant, acquired: AcquiredConnection
    ) -> Admission:
        record = self._records.record_grant(self._database, grant, acquired.serial)
        return Admission(grant, acquired, record)

    def _reject(self, drop: Drop) -> None:
        error = self._record_refusal(drop)
        waiter = self._waiters.pop(drop.ticket.request_id)
        if not waiter.cancelled():
            waiter.set_exception(error)

    def _record_refusal(self, drop: Drop) -> NotRunError:
        self._records.record_refusal(self._database, drop, self._clock())
        return _not_run_error(drop.rejection)

    def _expire_ticket(self, ticket: Ticket, arrived: float) -> None:
        """Refuse a ticket whose deadline passed while it was in the queue."""
        if self._queue.cancel(ticket.request_id):
            rejection = Rejection(Cause.DEADLINE_PASSED)
            self._reject(Drop(ticket, arrived, rejection))
            self._check_drained()

    def _cancel_ticket(
        self, ticket: Ticket, arrived: float, waiter: "asyncio.Future[Admission]"
    ) -> None:
        """Cancel a ticket whose caller went away before its statement was sent.

        If it has been granted meanwhile, its connection is released.
        """
        if self._queue.cancel(ticket.request_id):
            del self._waiters[ticket.request_id]
            self._record_refusal(Drop(ticket, arrived, Rejection(Cause.CALLER_GONE)))
            self._check_drained()
        elif not waiter.cancelled() and waiter.exception() is None:
            admission = waiter.result()
            self._finish(admission, Outcome.NOT_RUN, None)
            self.release(admission.acquired)

    def _record_lost_answer(self, admission: Admission, started: float) -> None:
        """Finish an admission whose answer was lost or is no longer waited for."""
        now = self._clock()
        self._limits.record_lost_answer(started, now)
        self._finish(admission, Outcome.UNKNOWN, now - started)

    def _finish(
        self, admission: Admission, outcome: Outcome, seconds: float | None
    ) -> None:
        """Free the admission's place in the queue and record its outcome.

        `seconds` is the statement's time at the database, or None if it did not run.
        """
        now = self._clock()
        self._queue.finish(admission.grant, now, seconds)
        self._records.record_outcome(admission.record, outcome, now)

    def _on_connection_change(self, error: PortError | None) -> None:
        """Grant statements after a change in the pool.

        Refuse all waiting ones if no connection is open after a failed attempt.
        """
        if error is not None and self._pool.ledger.is_unavailable:
            for drop in self._queue.refuse_all(Cause.NO_CONNECTION):
                self._reject(drop)
        self._grant_available()

    def _schedule_paced_grant(self, now: float) -> None:
        """Set a timer for the next grant if the window is below one statement."""
        delay = self._limits.pause_seconds(now)
        if delay <= 0.0 or self._pace_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._pace_timer = loop.call_later(delay, self._on_pace_timer)

    def _on_pace_timer(self) -> None:
        self._pace_timer = None
        self._grant_available()

    def _check_drained(self) -> None:
        if self._is_draining and self._queue.is_empty and not self._acquired_count:
            self._drained.set()

    def _maintain(self) -> None:
        """Run the callbacks, close long idle connections and open spare ones."""
        for callback in self._maintenance_callbacks:
            callback()
        self._pool.evict()
        self._pool.start_opening(self._connection_demand(self._clock()))
        loop = asyncio.get_running_loop()
        self._maintenance_timer = loop.call_later(
            _MAINTENANCE_INTERVAL_SECONDS, self._maintain
        )

    def _stop(self) -> None:
        self._is_draining = True
        for timer in (self._pace_timer, self._maintenance_timer):
            if timer is not None:
                timer.cancel()
        for drop in self._queue.refuse_all(Cause.DRAINING):
            self._reject(drop)
