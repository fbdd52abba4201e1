"""A semaphore that limits the statements a proxy runs at one database at a time.

`statement_queue` decides the order of those that wait and which are refused at once. A
statement that is not admitted by its deadline is refused, so that its caller can try
elsewhere.
"""

import asyncio
from dataclasses import dataclass

from beryltiller.sessions.connections.statement_queue import (
    DeadlineUnreachable,
    QueueEntry,
    StatementQueue,
    StatementTicket,
)
from beryltiller.sessions.errors import NoCapacityError, QueueTooLongError
from beryltiller.sessions.statements import Code

_ANY_TICKET = StatementTicket(priority=0, deadline=float("inf"))


@dataclass(frozen=True, slots=True)
class Slot:
    """A place in execution, held by a statement that was admitted at `admitted_at`."""

    entry: QueueEntry
    admitted_at: float


class AdmissionSemaphore:
    """A semaphore whose waiters are admitted in the order of a `StatementQueue`.

    At most `limit` statements hold it at a time. Use it on a single event loop.

    >>> semaphore = AdmissionSemaphore(limit=2)
    >>> semaphore.waiting, semaphore.in_use
    (0, 0)
    """

    def __init__(self, limit: int) -> None:
        """Create a semaphore that nobody holds."""
        self._queue = StatementQueue(limit)
        self._admitted: dict[QueueEntry, asyncio.Future[Slot]] = {}

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait."""
        return self._queue.waiting

    @property
    def in_use(self) -> int:
        """Return the number of statements that hold the semaphore."""
        return self._queue.in_use

    def try_acquire(self, ticket: StatementTicket = _ANY_TICKET) -> Slot | None:
        """Acquire without waiting; return None if it is full or others wait."""
        entry = self._queue.admit_at_once(ticket)
        if entry is None:
            return None
        return Slot(entry, asyncio.get_running_loop().time())

    async def acquire(self, ticket: StatementTicket) -> Slot:
        """Acquire, or raise `NoCapacityError` at the deadline of the ticket.

        The error is raised at once if the queue ahead takes longer. Deadlines are times
        of the event loop.
        """
        slot = self.try_acquire(ticket)
        if slot is not None:
            return slot
        loop = asyncio.get_running_loop()
        entry = self._queue.offer(ticket, loop.time())
        if isinstance(entry, DeadlineUnreachable):
            raise QueueTooLongError(entry.wait_seconds, entry.left_seconds)
        admitted: asyncio.Future[Slot] = loop.create_future()
        self._admitted[entry] = admitted
        timer = loop.call_at(ticket.deadline, self._time_out, entry)
        # A place may be free if all that waited before have left.
        self._admit_next()
        try:
            return await admitted
        except asyncio.CancelledError:
            if self._admitted.pop(entry, None) is not None:
                self._queue.remove(entry)
            elif not admitted.cancelled() and admitted.exception() is None:
                self.release(admitted.result())
            raise
        finally:
            timer.cancel()

    def release(self, slot: Slot) -> float:
        """Release, admit the waiters that now fit, and return for how long it was held.

        The time is in seconds.
        """
        seconds = asyncio.get_running_loop().time() - slot.admitted_at
        self._queue.finish(slot.entry, seconds)
        self._admit_next()
        return seconds

    def _admit_next(self) -> None:
        while (entry := self._queue.take()) is not None:
            admitted = self._admitted.pop(entry)
            slot = Slot(entry, asyncio.get_running_loop().time())
            if admitted.done():
                # Its task was cancelled and has not run since.
                self._queue.finish(entry, 0.0)
            else:
                admitted.set_result(slot)

    def _time_out(self, entry: QueueEntry) -> None:
        admitted = self._admitted.pop(entry, None)
        if admitted is None:
            return
        self._queue.remove(entry)
        if not admitted.done():
            admitted.set_exception(
                NoCapacityError(Code.BUSY, "the statement waited too long in the queue")
            )
