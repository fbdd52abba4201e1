"""Rules of quotas: by how much a limit may be exceeded, and how it is divided."""

import math
from dataclasses import dataclass

from xxhash import xxh64_intdigest

SHARDS = 2
# The part of an organisation's rate that is lent to proxies in total, in millionths.
MAX_LENT = 750_000
# A proxy is lent at most this many times its equal part of the rate.
MAX_EQUAL_PARTS = 4
# The whole rate of an organisation, in millionths.
WHOLE = 1_000_000
# A reply's tokens are valid for this long after its request was sent. With an overage
# of 0.1 in windows of 5 s, the overage covers a validity of 0.5 s.
TOKEN_SECONDS = 0.4
# A share is valid for this long after the request whose reply renewed it.
SHARE_SECONDS = 3_600.0
# A reply is used only within this time, so that none outlasts its allocator's lease.
REPLY_SECONDS = 1.0
# Each holder of a share may use one operation at once beyond its rate. This part of the
# slack pays for it.
HOLDERS_PART_OF_SLACK = 0.4
# This part of the slack deepens the allocator's bucket, as random arrivals at a low
# rate exceed a burst of 1 now and then. The rest is left for operations that reach a
# database late.
DEPTH_PART_OF_SLACK = 0.4


@dataclass(frozen=True, slots=True)
class QuotaRules:
    """By how much a limit may be exceeded: `overage` of it and `slack` operations."""

    window_seconds: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def max_holders(self, burst: float) -> int:
        """Return how many proxies may hold shares of an organisation with a burst.

        Half of the burst pays for the one operation that each may use at once.
        """
        return int(self.slack * HOLDERS_PART_OF_SLACK) + int(burst / 2)

    def depth(self, burst: float) -> float:
        """Return the depth of the allocator's bucket for a burst; at least 1."""
        left = burst - int(burst / 2)
        return max(1.0, left + DEPTH_PART_OF_SLACK * self.slack)

    def share_depth(self, rate: float) -> float:
        """Return the depth of a share's bucket, for its `rate` a second.

        It is paid for by what the tokens' validity leaves of the overage.
        """
        spare = self.overage * self.window_seconds - self.token_seconds
        return 1.0 + max(0.0, spare) * rate

    @property
    def token_seconds(self) -> float:
        """Return how long tokens are valid, which the overage must cover."""
        return min(TOKEN_SECONDS, 0.8 * self.overage * self.window_seconds)


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The rejection of an operation, with the time until one is admitted."""

    seconds: float
    is_over_limit: bool = True

    @property
    def text(self) -> str:
        """Return the text for the caller, with whole milliseconds rounded up.

        >>> RetryAfter(0.2501).text
        'the organisation is over its limit; retry after 251 ms'
        """
        reason = (
            "the organisation is over its limit"
            if self.is_over_limit
            else "the organisation's quota cannot be checked at present"
        )
        return f"{reason}; retry after {math.ceil(self.seconds * 1000)} ms"


def shard_of(organisation: str) -> int:
    """Return the shard whose allocator has the organisation's quota."""
    return xxh64_intdigest(organisation.encode()) % SHARDS


def max_share(proxies: int) -> int:
    """Return the largest share of one proxy among `proxies`, in millionths."""
    return min(MAX_LENT, MAX_EQUAL_PARTS * WHOLE // max(1, proxies))
