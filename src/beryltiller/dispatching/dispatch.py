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
from beryltiller.admission.tickets import Cause, Rejection, Ticket
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
from beryltiller.dispatching.admitter import Admission, Admitter, not_run_error
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
        self._admitter = Admitter(
            database, self._queue, self._limits, self._pool, records, clock
        )
        self._maintenance_timer: asyncio.TimerHandle | None = None
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
        return await self._admitter.admit(ticket)

    def admit_pinned(self, ticket: Ticket, acquired: AcquiredConnection) -> Admission:
        """Admit a statement of an open transaction on the transaction's connection."""
        return self._admitter.admit_pinned(ticket, acquired)

    def release(self, acquired: AcquiredConnection, is_clean: bool = True) -> None:
        """Release a connection and grant the next statements."""
        self._admitter.release(acquired, is_clean)

    async def drain(self) -> None:
        """Refuse new statements and wait until all accepted ones have ended.

        An open transaction is waited for as well, as it has a connection in use.
        """
        await self._admitter.drain()

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
            self._admitter.finish(admission, Outcome.NOT_RUN, None)
            raise not_run_error(Rejection(Cause.DEADLINE_PASSED))
        try:
            async with asyncio.timeout(remaining):
                answer = await work(admission.acquired.connection)
        except RefusedError as error:
            self._admitter.finish(admission, Outcome.NOT_RUN, None)
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
        self._admitter.finish(admission, Outcome.DONE, now - started)
        return answer

    def on_maintenance(self, callback: Callable[[], None]) -> None:
        """Register a callback to run once a second while the dispatcher is entered."""
        self._maintenance_callbacks.append(callback)

    def resize(self, share: int) -> None:
        """Set this proxy's share of the database's connections."""
        self._pool.resize(share)
        self._admitter.grant_available()

    def _record_lost_answer(self, admission: Admission, started: float) -> None:
        """Finish an admission whose answer was lost or is no longer waited for."""
        now = self._clock()
        self._limits.record_lost_answer(started, now)
        self._admitter.finish(admission, Outcome.UNKNOWN, now - started)

    def _on_connection_change(self, error: PortError | None) -> None:
        """Grant statements after a change in the pool.

        Refuse all waiting ones if no connection is open after a failed attempt.
        """
        if error is not None and self._pool.ledger.is_unavailable:
            self._admitter.refuse_waiting(Cause.NO_CONNECTION)
        self._admitter.grant_available()

    def _maintain(self) -> None:
        """Run the callbacks, close long idle connections and open spare ones."""
        for callback in self._maintenance_callbacks:
            callback()
        self._pool.evict()
        self._admitter.open_connections()
        loop = asyncio.get_running_loop()
        self._maintenance_timer = loop.call_later(
            _MAINTENANCE_INTERVAL_SECONDS, self._maintain
        )

    def _stop(self) -> None:
        if self._maintenance_timer is not None:
            self._maintenance_timer.cancel()
        self._admitter.stop()
