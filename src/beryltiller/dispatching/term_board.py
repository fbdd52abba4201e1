"""The newest evidence about terms, as the statement path reads it.

The board lives on the event loop. Statements that wait for a group's term are woken
by each newer snapshot.
"""

import asyncio
import time
from collections.abc import Callable

from beryltiller.consistency.session import Planner
from beryltiller.primaries.evidence import Evidence, Verdict


class TermBoard:
    """Hold the evidence and tell the planner what may be done by it now."""

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
        """Return the newest evidence."""
        return self._evidence

    def publish(self, evidence: Evidence) -> None:
        """Adopt newer evidence and wake all that wait for a term."""
        self._evidence = evidence
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def verdict(self, group: str, term: int) -> Verdict:
        """Return what may be done with a write in a term now."""
        return self._evidence.verdict(group, term, self._clock())

    def refresh(self, group: str) -> None:
        """Tell the planner the group's term, and whether its evidence is in force."""
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

    async def wait(self, group: str, term: int, seconds: float) -> None:
        """Return once the group is open in `term` or later, or after `seconds`."""
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
