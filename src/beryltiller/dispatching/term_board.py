"""The newest evidence about terms, for the code that runs statements.

Evidence is what the terms table was last known to contain, and the time as of which
it was known; it lapses after the lease period (see `primaries.evidence`).

All methods run on the event loop. Each newer snapshot of the evidence wakes the
statements that wait for a group's term.
"""

import asyncio
import time
from collections.abc import Callable

from beryltiller.consistency.session import Planner
from beryltiller.primaries.evidence import Evidence, Verdict


class TermBoard:
    """The newest evidence about terms; its methods inform the planner and waiters."""

    def __init__(
        self, planner: Planner, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Start without evidence."""
        self._planner = planner
        self._clock = clock
        self._evidence = Evidence()
        self._changed = asyncio.Event()

    @property
    def evidence(self) -> Evidence:
        """Return the evidence that was published last."""
        return self._evidence

    def publish(self, evidence: Evidence) -> None:
        """Replace the evidence by a newer one and wake all statements that wait."""
        self._evidence = evidence
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def verdict(self, group: str, term: int) -> Verdict:
        """Return what the evidence now allows for a write in a term."""
        return self._evidence.verdict(group, term, self._clock())

    def update_planner(self, group: str) -> None:
        """Update the planner with the group's term and whether evidence is in force."""
        row = self._evidence.row(group)
        if row is None or self._planner.group(group) is None:
            return
        verdict = self.verdict(group, row.term)
        self._planner.record_term(
            group,
            row.term,
            row.primary,
            is_open=verdict is Verdict.ACKNOWLEDGE,
            has_lapsed=verdict is Verdict.NEED_TWO_LOGS,
        )

    async def wait_for_term(self, group: str, term: int, seconds: float) -> None:
        """Wait until the group's writes may be acknowledged in `term` or a later one.

        Return after `seconds` at the latest.
        """
        try:
            async with asyncio.timeout(seconds):
                while not self._is_open(group, term):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _is_open(self, group: str, term: int) -> bool:
        row = self._evidence.row(group)
        if row is None or row.term < term:
            return False
        return self._evidence.may_acknowledge(group, row.term, self._clock())
