"""Keep recurring work of a process going when one run of it fails.

An unexpected error costs one run and a log line, and never the process: its callers
and everything else that it does go on.
"""

import asyncio
from collections.abc import Awaitable, Callable

from beryltiller.observability import logs

RESTART_SECONDS = 0.5

Work = Callable[[], Awaitable[None]]


async def every(seconds: float, work: Work) -> None:
    """Do the work again and again, with a pause before each run; until cancelled."""
    while True:
        await asyncio.sleep(seconds)
        await _once(work)


async def lasting(work: Work) -> None:
    """Do work that never ends, and start it again when it fails; until cancelled."""
    while True:
        await _once(work)
        await asyncio.sleep(RESTART_SECONDS)


async def _once(work: Work) -> None:
    try:
        await work()
    except Exception as error:
        name = getattr(work, "__qualname__", repr(work))
        logs.log(logs.WorkFailed(name, repr(error)))
