"""Decide whether a proxy is cut off, so that its callers are better served elsewhere.

A proxy that refuses most statements and cannot reach the store is on the wrong side of
a cut. It then reports itself not ready and lets idle sessions go; balancers send their
callers to proxies that can serve. One that still serves most statements stays ready,
and so do all proxies when only the store is away.
"""

from collections import deque
from dataclasses import dataclass

WINDOW_SECONDS = 1.0
MIN_OUTCOMES = 4
REFUSED_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class _Outcome:
    at: float
    is_served: bool


class IsolationMonitor:
    """Watch outcomes and the store; times are seconds on the clock passed in.

    >>> monitor = IsolationMonitor()
    >>> for _ in range(4):
    ...     monitor.answered(False, now=1.0)
    >>> monitor.is_suspected(now=1.5)
    True
    >>> monitor.store_looked_at(is_reachable=False, now=1.6)
    >>> monitor.is_isolated
    True
    """

    def __init__(self) -> None:
        """Start connected."""
        self._outcomes: deque[_Outcome] = deque()
        self._is_isolated = False

    @property
    def is_isolated(self) -> bool:
        """Tell whether callers are better served elsewhere."""
        return self._is_isolated

    def answered(self, is_served: bool, now: float) -> None:
        """Take in whether a statement was served."""
        self._outcomes.append(_Outcome(now, is_served))
        self._forget(now)

    def is_suspected(self, now: float) -> bool:
        """Tell whether the store should be looked at."""
        self._forget(now)
        total = len(self._outcomes)
        refused = sum(not outcome.is_served for outcome in self._outcomes)
        return total >= MIN_OUTCOMES and refused >= total * REFUSED_SHARE

    def store_looked_at(self, is_reachable: bool, now: float) -> None:
        """Take in whether the store could be reached just now."""
        if is_reachable:
            self._is_isolated = False
        elif self.is_suspected(now):
            self._is_isolated = True

    def _forget(self, now: float) -> None:
        while self._outcomes and self._outcomes[0].at < now - WINDOW_SECONDS:
            self._outcomes.popleft()
