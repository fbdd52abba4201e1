"""Decisions of a stopping proxy at each moment of its grace period.

Load balancers learn from failed readiness probes that the proxy is stopping; until they
have had time for two probes, it serves as before, for half of the grace period at most.
Then it closes idle callers, and ends transactions once half of the grace period is
over. Shortly before the end it admits no new callers, so that every admitted caller has
time for its statement. In the second half it stops as soon as no connection is left.
The decisions are pure; the caller passes the times in.
"""

from dataclasses import dataclass

# Balancers stop sending callers after two missed probes, which are a second apart.
BALANCER_SECONDS = 2.3
# Time reserved at the end of the grace period to close and to end the process.
STOP_MARGIN_SECONDS = 0.7
# The caller that was admitted last has this long for its statement.
LAST_ADMISSION_SECONDS = 0.8


@dataclass(frozen=True, slots=True)
class ShutdownStep:
    """The actions of a stopping proxy at one moment of its grace period.

    It may close the connections of idle callers, end open transactions and still admit
    new callers. With `is_over` it stops.
    """

    closes_idle: bool = False
    ends_transactions: bool = False
    admits: bool = True
    is_over: bool = False


def shutdown_step(passed: float, grace: float, open_connections: int) -> ShutdownStep:
    """Return what to do after `passed` of `grace` seconds of the grace period.

    >>> shutdown_step(0.5, 6.0, 9)
    ShutdownStep(closes_idle=False, ends_transactions=False, admits=True, is_over=False)
    >>> shutdown_step(4.7, 6.0, 2)
    ShutdownStep(closes_idle=True, ends_transactions=True, admits=False, is_over=False)
    """
    closes_idle = passed >= min(BALANCER_SECONDS, grace / 2)
    ends_transactions = passed > grace / 2
    end = grace - STOP_MARGIN_SECONDS
    is_empty = not open_connections and ends_transactions
    return ShutdownStep(
        closes_idle,
        ends_transactions,
        admits=passed < end - LAST_ADMISSION_SECONDS,
        is_over=passed > end or is_empty,
    )
