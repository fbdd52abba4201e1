"""Tests of recurring work that goes on after one run of it has failed."""

import asyncio
import unittest

from beryltiller.process import upkeep
from tests.virtual_loop import run_virtual


class UpkeepTest(unittest.TestCase):
    """An unexpected error costs one run."""

    def runs(self, is_lasting: bool) -> int:
        """Return how often work that fails at first was begun within ten seconds."""
        begun = 0

        async def work() -> None:
            nonlocal begun
            begun += 1
            if begun <= 2:
                raise KeyError("unexpected")
            if is_lasting:
                await asyncio.Event().wait()

        async def play() -> None:
            keep = upkeep.lasting(work) if is_lasting else upkeep.every(1.0, work)
            task = asyncio.create_task(keep)
            await asyncio.sleep(9.5)
            self.assertFalse(task.done())
            task.cancel()

        run_virtual(play())
        return begun

    def test_goes_on_after_an_error(self) -> None:
        self.assertEqual(self.runs(is_lasting=False), 9)
        self.assertEqual(self.runs(is_lasting=True), 3)

    def test_ends_when_cancelled(self) -> None:
        async def play() -> None:
            task = asyncio.create_task(upkeep.lasting(asyncio.Event().wait))  # type: ignore[arg-type]
            await asyncio.sleep(1.0)
            task.cancel()
            await asyncio.wait((task,))
            self.assertTrue(task.cancelled())

        run_virtual(play())
