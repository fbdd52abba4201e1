"""Gate: limits the statements that one proxy has in execution at one database.

Waiting statements are admitted by priority, then by deadline. One that cannot be
admitted in time is refused at once, so that its caller can go elsewhere.
"""

import asyncio
import heapq
import itertools

from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.statements import Code

Waiter = tuple[int, float, int, asyncio.Future[None]]


class Gate:
    """Admit at most `limit` statements at a time; on one event loop.

    >>> gate = Gate(limit=2)
    >>> gate.try_enter()
    True
    """

    def __init__(self, limit: int) -> None:
        """Start open."""
        self._limit = limit
        self._inside = 0
        self._waiting: list[Waiter] = []
        self._serial = itertools.count()

    @property
    def waiting(self) -> int:
        """Return how many statements wait."""
        return len(self._waiting)

    @property
    def inside(self) -> int:
        """Return how many statements are in execution."""
        return self._inside

    def try_enter(self) -> bool:
        """Enter if there is room and nobody waits."""
        if self._inside >= self._limit or self._waiting:
            return False
        self._inside += 1
        return True

    async def enter(self, priority: int, wait_seconds: float) -> None:
        """Enter, waiting for at most `wait_seconds`, or raise `NotSentError`."""
        if self.try_enter():
            return
        loop = asyncio.get_running_loop()
        admitted: asyncio.Future[None] = loop.create_future()
        deadline = loop.time() + wait_seconds
        waiter = (priority, deadline, next(self._serial), admitted)
        heapq.heappush(self._waiting, waiter)
        timer = loop.call_later(wait_seconds, _give_up, admitted)
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self.leave()
            raise
        finally:
            timer.cancel()

    def leave(self) -> None:
        """Leave, and admit the next one."""
        self._inside -= 1
        while self._waiting and self._inside < self._limit:
            _, _, _, admitted = heapq.heappop(self._waiting)
            if not admitted.done():
                admitted.set_result(None)
                self._inside += 1


def _give_up(admitted: asyncio.Future[None]) -> None:
    if not admitted.done():
        admitted.set_exception(NotSentError(Code.BUSY, "queue wait exceeded"))
