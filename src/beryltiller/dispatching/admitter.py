"""Admission of statements at one database: its queue, window and idle connections.

A ticket waits in the queue until the window has a free slot and a connection is idle.
Nothing is awaited between a decision and its effect on the queue, the window and the
pool.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.admission.queues import AdmissionQueue
from beryltiller.admission.records import AdmissionRecords
from beryltiller.admission.tickets import Cause, Drop, Grant, Rejection, Ticket
from beryltiller.admission.windows import Limits
from beryltiller.core.outcome import Outcome
from beryltiller.dispatching.connections import (
    AcquiredConnection,
    EndpointConnectionPool,
)
from beryltiller.dispatching.dispatch_errors import NotRunError


@dataclass(frozen=True, slots=True)
class Admission:
    """A granted ticket, with its connection and the number of its admission record."""

    grant: Grant
    acquired: AcquiredConnection
    record: int


def not_run_error(rejection: Rejection) -> NotRunError:
    """Return the error of a statement that was refused before it ran."""
    return NotRunError(rejection.cause.code, rejection.refusal)


class Admitter:
    """Admits statements to one database in the order of its admission queue.

    It records each grant, refusal and outcome, and counts the connections in use.
    """

    def __init__(
        self,
        database: str,
        queue: AdmissionQueue,
        limits: Limits,
        pool: EndpointConnectionPool,
        records: AdmissionRecords,
        clock: Callable[[], float],
    ) -> None:
        """Set the objects that it decides by, of which the caller owns the pool."""
        self._database = database
        self._queue = queue
        self._limits = limits
        self._pool = pool
        self._records = records
        self._clock = clock
        self._waiters: dict[str, asyncio.Future[Admission]] = {}
        self._pace_timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self._is_draining = False
        self._acquired_count = 0

    async def admit(self, ticket: Ticket) -> Admission:
        """Wait until the ticket is granted a connection.

        The caller must call `finish` once and then `release` the connection.
        """
        now = self._clock()
        rejection = self._offer(ticket, now)
        if rejection is not None:
            raise self._record_refusal(Drop(ticket, now, rejection))
        waiter: asyncio.Future[Admission]
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.request_id] = waiter
        self.grant_available()
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

    def admit_pinned(self, ticket: Ticket, acquired: AcquiredConnection) -> Admission:
        """Admit a statement of an open transaction on the transaction's connection."""
        grant = self._queue.admit_pinned(ticket, self._clock())
        return self._create_admission(grant, acquired)

    def finish(
        self, admission: Admission, outcome: Outcome, seconds: float | None
    ) -> None:
        """Free the admission's place in the queue and record its outcome.

        `seconds` is the statement's time at the database, or None if it did not run.
        """
        now = self._clock()
        self._queue.finish(admission.grant, now, seconds)
        self._records.record_outcome(admission.record, outcome, now)

    def release(self, acquired: AcquiredConnection, is_clean: bool = True) -> None:
        """Release a connection and grant the next statements."""
        self._acquired_count -= 1
        self._pool.release(acquired, is_clean)
        self.grant_available()

    def grant_available(self) -> None:
        """Grant as many statements as the window and the idle connections allow."""
        if self._queue.waiting:
            self._grant_waiting(self._clock())
        self._check_drained()

    def open_connections(self) -> None:
        """Start to open as many connections as could be used within the window."""
        self._pool.start_opening(self._connection_demand(self._clock()))

    def refuse_waiting(self, cause: Cause) -> None:
        """Refuse all statements in the queue."""
        for drop in self._queue.refuse_all(cause):
            self._reject(drop)

    def stop(self) -> None:
        """Refuse new and waiting statements, and cancel the timer of the next grant."""
        self._is_draining = True
        if self._pace_timer is not None:
            self._pace_timer.cancel()
        self.refuse_waiting(Cause.DRAINING)

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
        return not_run_error(drop.rejection)

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
            self.finish(admission, Outcome.NOT_RUN, None)
            self.release(admission.acquired)

    def _schedule_paced_grant(self, now: float) -> None:
        """Set a timer for the next grant if the window is below one statement."""
        delay = self._limits.pause_seconds(now)
        if delay <= 0.0 or self._pace_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._pace_timer = loop.call_later(delay, self._on_pace_timer)

    def _on_pace_timer(self) -> None:
        self._pace_timer = None
        self.grant_available()

    def _check_drained(self) -> None:
        if self._is_draining and self._queue.is_empty and not self._acquired_count:
            self._drained.set()
