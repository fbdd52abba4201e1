"""The recent demand for an organisation's quota by proxy, and the shares for it."""

from dataclasses import dataclass

from beryltiller.quotas.holdings import Process
from beryltiller.quotas.rules import MAX_LENT

# A proxy's demand is forgotten after this time without a report of it.
DEMAND_EXPIRY_SECONDS = 8.0
# A share is changed when it differs by more than this part of the larger of the two
# from the share that the demand calls for.
CHANGE_PART = 0.25


@dataclass(frozen=True, slots=True)
class _Report:
    """A proxy's demand in operations in 1,000 seconds, and when it was reported."""

    demand: int
    at: float


class Demands:
    """The demand for one organisation's quota, as the proxies report it."""

    def __init__(self) -> None:
        """Start without a report."""
        self._reports: dict[Process, _Report] = {}

    def report(self, process: Process, demand: int, now: float) -> None:
        """Record a process's demand, in operations in 1,000 seconds."""
        self._reports[process] = _Report(demand, now)

    def targets(self, cap: int, max_holders: int, now: float) -> dict[Process, int]:
        """Return the shares for the processes with the most demand, in millionths.

        Each is at most `cap`, and all together are at most `MAX_LENT`.
        """
        for process, report in tuple(self._reports.items()):
            if now - report.at > DEMAND_EXPIRY_SECONDS:
                del self._reports[process]
        ranked = sorted(
            self._reports.items(), key=lambda item: (-item[1].demand, item[0])
        )[:max_holders]
        total = sum(report.demand for _, report in ranked)
        if not total:
            return {}
        return {
            process: min(cap, MAX_LENT * report.demand // total)
            for process, report in ranked
        }


def differs(share: int, target: int) -> bool:
    """Return True if a share must be changed to reach a target.

    >>> differs(1000, 1100), differs(1000, 2000), differs(1000, 0)
    (False, True, True)
    """
    if not target:
        return share > 0
    return abs(target - share) > CHANGE_PART * max(share, target)
