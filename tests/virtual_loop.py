"""An event loop on a virtual clock, which skips sleeps and raises on a deadlock."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _InstantSelector(selectors.DefaultSelector):
    """A selector that advances the loop's clock where a real one would wait."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when every task waits."""

    def __init__(self) -> None:
        self.now = 0.0
        selector = _InstantSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run_virtual(work: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine on a new virtual loop, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)


def virtual_now() -> float:
    """Return the virtual time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()


async def pass_time(seconds: float) -> None:
    """Return once the virtual clock has advanced by `seconds`."""
    loop = asyncio.get_running_loop()
    passed: asyncio.Future[None] = loop.create_future()
    loop.call_later(seconds, _end_wait, passed)
    await passed


def _end_wait(passed: "asyncio.Future[None]") -> None:
    # A wait that was cancelled at this very time has its result already.
    if not passed.done():
        passed.set_result(None)
