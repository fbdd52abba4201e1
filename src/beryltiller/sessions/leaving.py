"""Decide what a proxy that was told to stop does at each moment of its grace period.

Balancers learn from its readiness that it leaves, and need two questions for that.
Meanwhile it serves as before. Then callers leave as they become idle, transactions get
half of the grace, and nobody new is let in shortly before the end, so that nobody who
was let in is cut off. Pure decisions; the caller passes the times in.
"""

from dataclasses import dataclass

# Balancers need two missed probes, a second apart, to send no more callers.
BALANCER_SECONDS = 2.3
# What is left of the grace period for closing and the process's own end.
STOP_MARGIN_SECONDS = 0.7
# Whoever was let in last has this long for its statement.
LAST_ADMISSION_SECONDS = 0.8


@dataclass(frozen=True, slots=True)
class Leaving:
    """What to do now: close idle callers, end open transactions, admit, or stop."""

    closes_idle: bool = False
    ends_transactions: bool = False
    admits: bool = True
    is_over: bool = False


def leaving(passed: float, grace: float, open_connections: int) -> Leaving:
    """Return what to do `passed` seconds into a grace period of `grace` seconds.

    >>> leaving(0.5, 6.0, 9)
    Leaving(closes_idle=False, ends_transactions=False, admits=True, is_over=False)
    >>> leaving(4.7, 6.0, 2)
    Leaving(closes_idle=True, ends_transactions=True, admits=False, is_over=False)
    """
    closes_idle = passed >= min(BALANCER_SECONDS, grace / 2)
    ends_transactions = passed > grace / 2
    end = grace - STOP_MARGIN_SECONDS
    is_empty = not open_connections and ends_transactions
    return Leaving(
        closes_idle,
        ends_transactions,
        admits=passed < end - LAST_ADMISSION_SECONDS,
        is_over=passed > end or is_empty,
    )
