"""A semaphore that limits the statements a proxy runs at one database at a time.

Waiting statements are admitted by priority, then by deadline. A statement that is not
admitted within its wait time is refused, so that its caller can try elsewhere.
"""

import asyncio
import heapq
import itertools

from beryltiller.sessions.errors import NoCapacityError
from beryltiller.sessions.statements import Code

Waiter = tuple[int, float, int, asyncio.Future[None]]


class PrioritySemaphore:
    """A semaphore whose waiters are admitted by priority, then by deadline.

    At most `limit` statements hold it at a time. Use it on a single event loop.

    >>> semaphore = PrioritySemaphore(limit=2)
    >>> semaphore.try_acquire()
    True
    """

    def __init__(self, limit: int) -> None:
        """Create a semaphore that nobody holds."""
        self._limit = limit
        self._in_use = 0
        self._waiting: list[Waiter] = []
        self._arrival_number = itertools.count()

    @property
    def waiting(self) -> int:
        """Return the number of queued waiters, including ones that timed out."""
        return len(self._waiting)

    @property
    def in_use(self) -> int:
        """Return the number of statements that hold the semaphore."""
        return self._in_use

    def try_acquire(self) -> bool:
        """Acquire without waiting; return False if it is full or others wait."""
        if self._in_use >= self._limit or self._waiting:
            return False
        self._in_use += 1
        return True

    async def acquire(self, priority: int, wait_seconds: float) -> None:
        """Acquire, or raise `NoCapacityError` after waiting for `wait_seconds`.

        A lower `priority` number is admitted first.
        """
        if self.try_acquire():
            return
        loop = asyncio.get_running_loop()
        admitted: asyncio.Future[None] = loop.create_future()
        deadline = loop.time() + wait_seconds
        waiter = (priority, deadline, next(self._arrival_number), admitted)
        heapq.heappush(self._waiting, waiter)
        timer = loop.call_later(wait_seconds, _time_out, admitted)
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self.release()
            raise
        finally:
            timer.cancel()

    def release(self) -> None:
        """Release, and admit the waiters that now fit."""
        self._in_use -= 1
        while self._waiting and self._in_use < self._limit:
            _, _, _, admitted = heapq.heappop(self._waiting)
            if not admitted.done():
                admitted.set_result(None)
                self._in_use += 1


def _time_out(admitted: asyncio.Future[None]) -> None:
    if not admitted.done():
        admitted.set_exception(
            NoCapacityError(Code.BUSY, "the statement waited too long in the queue")
        )
