"""Detection of a group that a planned change of primary makes able to serve its reads.

The load: every replica applies its log later than any route of the service accepts, so
the primary must run all reads, and refuses statements for lack of capacity. A database
that is promoted has applied all that it received, and the former primary follows it
without lag; the group then has two databases that can serve reads instead of one.

The functions are pure. Times are seconds on the proxy's clock.
"""

from collections.abc import Iterable

from beryltiller.sessions.catalog import Route, RouteKind
from beryltiller.sessions.groups import Group

# A primary is not replaced for its replicas' lag before it has led for this long, so
# that replicas which stay behind do not cause one change of primary after the other.
MIN_LEAD_SECONDS = 10.0


def max_staleness_seconds(routes: Iterable[Route], service: str) -> float | None:
    """Return the greatest staleness that a route of the service accepts, or None.

    >>> max_staleness_seconds((), "orders") is None
    True
    """
    return max(
        (
            route.max_staleness_seconds
            for route in routes
            if route.service == service and route.kind is not RouteKind.PRIMARY
        ),
        default=None,
    )


def needs_relief(
    group: Group, max_staleness: float | None, leader_since: float, now: float
) -> bool:
    """Return True if the leader is overloaded and no replica can serve reads for it.

    `leader_since` is when the leader was first observed to lead. A replica whose
    position is not known, or was stated long ago, counts as able to serve.
    """
    leader = group.leader
    if leader is None or max_staleness is None or not group.replicas:
        return False
    if now < leader_since + MIN_LEAD_SECONDS or not leader.is_overloaded(now):
        return False
    return all(
        group.lag_seconds(replica, now) > max_staleness for replica in group.replicas
    )
