"""Periodic and permanent tasks that continue after an unexpected error.

An error ends only the run that raised it, and is logged. The process and its other
tasks continue.
"""

import asyncio
from collections.abc import Awaitable, Callable

from beryltiller.observability import events, logs

RESTART_DELAY_SECONDS = 0.5

Work = Callable[[], Awaitable[None]]


async def run_every(seconds: float, work: Work) -> None:
    """Run the work periodically until cancelled, with a pause before each run."""
    while True:
        await asyncio.sleep(seconds)
        await _run_and_log_errors(work)


async def run_forever(work: Work) -> None:
    """Run work that does not end by itself, until cancelled; restart it if it fails.

    Work that ends is also restarted, in either case after `RESTART_DELAY_SECONDS`.
    """
    while True:
        await _run_and_log_errors(work)
        await asyncio.sleep(RESTART_DELAY_SECONDS)


async def _run_and_log_errors(work: Work) -> None:
    try:
        await work()
    except Exception as error:
        name = getattr(work, "__qualname__", repr(work))
        logs.log(events.WorkFailed(name, repr(error)))
