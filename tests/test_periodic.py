"""Tests that periodic and permanent tasks continue after a run has failed."""

import asyncio
import unittest

from beryltiller.process import periodic
from tests.virtual_loop import run_virtual


class PeriodicTest(unittest.TestCase):
    """An unexpected error ends one run, and the next run starts as usual.

    Guards against periodic work that stops for good without the process ending.
    """

    def count_runs(self, is_permanent: bool) -> int:
        """Return how often work that fails twice is started in 9.5 seconds."""
        started = 0

        async def work() -> None:
            nonlocal started
            started += 1
            if started <= 2:
                raise KeyError("unexpected")
            if is_permanent:
                await asyncio.Event().wait()

        async def run_and_cancel() -> None:
            task_loop = (
                periodic.run_forever(work)
                if is_permanent
                else periodic.run_every(1.0, work)
            )
            task = asyncio.create_task(task_loop)
            await asyncio.sleep(9.5)
            self.assertFalse(task.done())
            task.cancel()

        run_virtual(run_and_cancel())
        return started

    def test_work_continues_after_an_error(self) -> None:
        self.assertEqual(self.count_runs(is_permanent=False), 9)
        self.assertEqual(self.count_runs(is_permanent=True), 3)

    def test_work_ends_when_cancelled(self) -> None:
        async def run_and_cancel() -> None:
            task = asyncio.create_task(periodic.run_forever(asyncio.Event().wait))  # type: ignore[arg-type]
            await asyncio.sleep(1.0)
            task.cancel()
            await asyncio.wait((task,))
            self.assertTrue(task.cancelled())

        run_virtual(run_and_cancel())
