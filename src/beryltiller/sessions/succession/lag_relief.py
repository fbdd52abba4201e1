"""Detection of a group that a planned change of primary makes able to serve its reads.

The load: every replica applies its log later than some route of the service accepts, so
the primary must run all of that route's reads, and has no capacity for them. A database
that is promoted has applied all that it received, and the former primary follows it
without lag; the group then has two databases that can serve reads instead of one.

The functions are pure. Times are seconds on the proxy's clock.
"""

from collections.abc import Iterable

from beryltiller.sessions.databases.catalog import Route, RouteKind
from beryltiller.sessions.databases.groups import Group

# A primary is not replaced for its replicas' lag before it has led for this long, so
# that replicas which stay behind do not cause one change of primary after the other.
MIN_LEAD_SECONDS = 10.0
# A change of primary interrupts writes for about this long. A smaller lag is no reason
# for one, whatever the routes accept: the replicas may soon have caught up.
MIN_LAG_SECONDS = 1.0


def min_staleness_seconds(routes: Iterable[Route], service: str) -> float | None:
    """Return the least staleness that replicas may have for a route, or None.

    >>> min_staleness_seconds((), "orders") is None
    True
    """
    return min(
        (
            route.max_staleness_seconds
            for route in routes
            if route.service == service and route.kind is not RouteKind.PRIMARY
        ),
        default=None,
    )


def needs_relief(
    group: Group, min_staleness: float | None, leader_since: float, now: float
) -> bool:
    """Return True if the leader is overloaded and no replica can serve reads for it.

    `leader_since` is when the leader was first observed to lead. A replica whose
    position is not known, or was stated long ago, counts as able to serve.
    """
    leader = group.leader
    if leader is None or min_staleness is None or not group.replicas:
        return False
    if now < leader_since + MIN_LEAD_SECONDS or not leader.is_overloaded(now):
        return False
    useless = max(min_staleness, MIN_LAG_SECONDS)
    return all(group.lag_seconds(replica, now) > useless for replica in group.replicas)
