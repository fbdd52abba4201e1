"""Decide whether a proxy is cut off, so that its callers are better served elsewhere.

A proxy that can reach neither the store nor a majority of any service's databases is on
the wrong side of a cut, and so is one that refuses many statements while the store and
some service's majority are out of reach. It then reports itself not ready and lets idle
sessions go; balancers send their callers to proxies that can serve. All proxies stay
ready when only the store is away.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from beryltiller.observability import logs
from beryltiller.sessions.fleet import Fleet, ServiceReachability
from beryltiller.sessions.member import NEVER

WINDOW_SECONDS = 1.0
MIN_OUTCOMES = 4
REFUSED_SHARE = 0.4
# Databases are not asked again sooner, as each question takes one of their slots.
ASK_AGAIN_SECONDS = 1.0
# A store that answered is not asked again sooner: all proxies are in doubt together.
STORE_AGAIN_SECONDS = 0.4


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
    >>> monitor.looked(False, ServiceReachability(services=3, with_majority=1), now=1.6)
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

    def looked(
        self, is_store_reachable: bool, reach: ServiceReachability, now: float
    ) -> None:
        """Take in whether the store, and which databases, could be reached just now."""
        if is_store_reachable or reach.with_majority == reach.services:
            self._is_isolated = False
        elif not reach.with_majority or self.is_suspected(now):
            self._is_isolated = True

    def _forget(self, now: float) -> None:
        while self._outcomes and self._outcomes[0].at < now - WINDOW_SECONDS:
            self._outcomes.popleft()


class IsolationWatch:
    """Look at the store and the databases while in doubt; on one event loop."""

    def __init__(
        self,
        monitor: IsolationMonitor,
        fleet: Fleet,
        is_store_reachable: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
    ) -> None:
        """Tell the monitor; `is_store_reachable` asks the store."""
        self._monitor = monitor
        self._fleet = fleet
        self._is_store_reachable = is_store_reachable
        self._clock = clock
        self._reach = ServiceReachability(0, 0)
        self._asked_at = NEVER
        self._store_answered_at = NEVER
        self._isolated_since: float | None = None

    def isolated_seconds(self) -> float:
        """Return for how long the proxy has been cut off, or 0."""
        since = self._isolated_since
        return 0.0 if since is None else self._clock() - since

    async def look(self) -> None:
        """Find out whether the proxy is cut off, if there is a reason to doubt."""
        monitor = self._monitor
        is_in_doubt = self._fleet.has_unresponsive_leader()
        if not (monitor.is_isolated or is_in_doubt or monitor.is_suspected(self._now)):
            return
        is_reachable = await self._has_store_answered()
        if not is_reachable and self._now >= self._asked_at + ASK_AGAIN_SECONDS:
            self._asked_at = self._now
            self._reach = await self._fleet.count_reachable_services()
        monitor.looked(is_reachable, self._reach, self._now)
        self._log()

    async def _has_store_answered(self) -> bool:
        """Tell whether the store answers, or did so just now."""
        asked_at = self._now
        if asked_at < self._store_answered_at + STORE_AGAIN_SECONDS:
            return True
        is_reachable = await self._is_store_reachable()
        if is_reachable:
            self._store_answered_at = asked_at
        return is_reachable

    @property
    def _now(self) -> float:
        return self._clock()

    def _log(self) -> None:
        is_isolated = self._monitor.is_isolated
        if is_isolated == (self._isolated_since is not None):
            return
        self._isolated_since = self._now if is_isolated else None
        reach = self._reach
        logs.log(
            logs.IsolationChanged(is_isolated, reach.with_majority, reach.services)
        )
