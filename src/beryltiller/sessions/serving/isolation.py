"""Detection of an isolated proxy, whose callers other proxies serve better.

A proxy is isolated if it can reach neither the store nor a majority of any service's
databases, or if it refuses many statements while the store and some service's majority
are unreachable. It stays isolated until the store or the majority of every service
answers. While isolated it reports itself not ready and closes idle sessions; balancers
send their callers to proxies that can serve. All proxies stay ready when only the store
is unreachable.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.member import NEVER
from beryltiller.sessions.databases.service_reachability import ServiceReachability

# The databases and the store are checked if `REFUSED_SHARE` of at least `MIN_OUTCOMES`
# statements in the last `WINDOW_SECONDS` were refused.
WINDOW_SECONDS = 1.0
MIN_OUTCOMES = 4
REFUSED_SHARE = 0.4
# Minimum time between probes of the databases, each of which takes one of their slots.
PROBE_INTERVAL_SECONDS = 1.0
# Minimum time between checks of a store that answered: when a primary fails, all
# proxies check the store at the same time.
STORE_CHECK_INTERVAL_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class _Outcome:
    at: float
    is_served: bool


class IsolationMonitor:
    """Decides from statement outcomes and reachability whether the proxy is isolated.

    Times are seconds on the caller's clock, passed in.

    >>> monitor = IsolationMonitor()
    >>> for _ in range(4):
    ...     monitor.record_outcome(False, now=1.0)
    >>> monitor.is_suspected(now=1.5)
    True
    >>> reachability = ServiceReachability(services=3, with_majority=1)
    >>> monitor.record_check(False, reachability, now=1.6)
    >>> monitor.is_isolated
    True
    """

    def __init__(self) -> None:
        """Create a monitor of a proxy that is not isolated."""
        self._outcomes: deque[_Outcome] = deque()
        self._is_isolated = False

    @property
    def is_isolated(self) -> bool:
        """Return True if callers are better served by other proxies."""
        return self._is_isolated

    def record_outcome(self, is_served: bool, now: float) -> None:
        """Record whether a statement was served or refused."""
        self._outcomes.append(_Outcome(now, is_served))
        self._drop_old_outcomes(now)

    def is_suspected(self, now: float) -> bool:
        """Return True if so many statements were refused that a check is needed."""
        self._drop_old_outcomes(now)
        total = len(self._outcomes)
        refused = sum(not outcome.is_served for outcome in self._outcomes)
        return total >= MIN_OUTCOMES and refused >= total * REFUSED_SHARE

    def record_check(
        self, is_store_reachable: bool, reachability: ServiceReachability, now: float
    ) -> None:
        """Record which of the store and the databases could be reached just now."""
        if is_store_reachable or reachability.with_majority == reachability.services:
            self._is_isolated = False
        elif not reachability.with_majority or self.is_suspected(now):
            self._is_isolated = True

    def _drop_old_outcomes(self, now: float) -> None:
        while self._outcomes and self._outcomes[0].at < now - WINDOW_SECONDS:
            self._outcomes.popleft()


class IsolationWatch:
    """Checks the store and the databases when needed; bound to one event loop."""

    def __init__(
        self,
        monitor: IsolationMonitor,
        fleet: Fleet,
        is_store_reachable: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
    ) -> None:
        """Create a watch that records its checks in the monitor."""
        self._monitor = monitor
        self._fleet = fleet
        self._is_store_reachable = is_store_reachable
        self._clock = clock
        self._reachability = ServiceReachability(0, 0)
        self._databases_asked_at = NEVER
        self._store_answered_at = NEVER
        self._isolated_since: float | None = None

    def isolated_seconds(self) -> float:
        """Return for how long the proxy has been isolated, or 0."""
        since = self._isolated_since
        return 0.0 if since is None else self._clock() - since

    async def check(self) -> None:
        """Check the store, and then the databases, if the proxy may be isolated.

        That is the case if it was isolated before, if a leader is unresponsive, or if
        many statements were refused. Call this method at short intervals.
        """
        monitor = self._monitor
        is_leader_suspected = self._fleet.has_unresponsive_leader()
        if not (
            monitor.is_isolated
            or is_leader_suspected
            or monitor.is_suspected(self._now)
        ):
            return
        is_reachable = await self._has_store_answered()
        if (
            not is_reachable
            and self._now >= self._databases_asked_at + PROBE_INTERVAL_SECONDS
        ):
            self._databases_asked_at = self._now
            self._reachability = await self._fleet.count_reachable_services()
        monitor.record_check(is_reachable, self._reachability, self._now)
        self._log()

    async def _has_store_answered(self) -> bool:
        """Return True if the store answers, or did so recently."""
        asked_at = self._now
        if asked_at < self._store_answered_at + STORE_CHECK_INTERVAL_SECONDS:
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
        reachability = self._reachability
        logs.log(
            session_events.IsolationChanged(
                is_isolated, reachability.with_majority, reachability.services
            )
        )
