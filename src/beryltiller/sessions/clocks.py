"""The clock that is used where no other one is given."""

import asyncio
from collections.abc import Callable

Clock = Callable[[], float]


def loop_time() -> float:
    """Return the time of the running event loop, in seconds."""
    return asyncio.get_running_loop().time()
