"""Tests of the supervisor of decision actors."""

import logging
import threading
import unittest

from beryltiller.process.actors import (
    MAX_RESTARTS,
    EventLoop,
    Mailboxes,
    Part,
    Supervisor,
)

WAIT_SECONDS = 5.0


async def perform(action: str) -> None:
    """Perform no action."""


class SupervisorTest(unittest.TestCase):
    """A failed part is restarted, up to a maximum number of restarts.

    Guards against a process that goes on without one of its parts, and against one
    that restarts a part without end.
    """

    def test_failing_part_is_restarted_until_the_supervisor_gives_up(self) -> None:
        starts: list[float] = []
        gave_up = threading.Event()

        def initial_state(now: float) -> int:
            starts.append(now)
            return 0

        def decide(state: int, event: str, now: float) -> tuple[int, tuple[str, ...]]:
            raise ZeroDivisionError

        loop = EventLoop()
        self.addCleanup(loop.close)
        part = Part("failing", 0.01, "tick", initial_state, decide, perform)
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        supervisor = Supervisor.start((part,), loop, Mailboxes(), gave_up.set)
        self.addCleanup(supervisor.stop)
        self.assertTrue(gave_up.wait(WAIT_SECONDS))
        self.assertEqual(len(starts), MAX_RESTARTS + 1)
