"""Limits of the memory that callers may take.

Each caller has an account, which has a limit of its own, and all accounts share a
budget. A small part of each account is not counted against the budget, so that a few
callers who use it up refuse nothing to those who take little.
"""

import sys
from collections.abc import Callable
from enum import Enum, unique

from beryltiller.observability import limit_events, logs
from beryltiller.sessions.clocks import loop_time

# Any single message fits: one of 1 MiB takes up to 4 MiB of memory as text.
MAX_SESSION_BYTES = 6 * 1024 * 1024
UNCOUNTED_BYTES = 8 * 1024
# What an entry of a session takes beside its texts.
ENTRY_BYTES = 256
DEFAULT_TOTAL_BYTES = 32 * 1024 * 1024
# The share of a process's memory that one budget may take.
TOTAL_SHARE_OF_MEMORY = 0.125
# A budget that is used up is logged at most this often.
LOG_INTERVAL_SECONDS = 60.0


@unique
class Excess(Enum):
    """The limit that would be exceeded: of the account, or of the proxy's budget."""

    ACCOUNT = "account"
    PROXY = "proxy"


def text_bytes(*texts: str) -> int:
    """Return the memory that one entry of these texts takes.

    >>> text_bytes("") < text_bytes("a" * 1000) < text_bytes("é" + "a" * 2000)
    True
    """
    return ENTRY_BYTES + sum(map(sys.getsizeof, texts))


def total_bytes(memory_bytes: int | None) -> int:
    """Return the budget of a process that may use `memory_bytes`, if that is known.

    >>> total_bytes(80), total_bytes(None) == DEFAULT_TOTAL_BYTES
    (10, True)
    """
    if memory_bytes is None:
        return DEFAULT_TOTAL_BYTES
    return int(memory_bytes * TOTAL_SHARE_OF_MEMORY)


class MemoryBudget:
    """The memory that all callers of a proxy may take for one purpose."""

    def __init__(
        self,
        purpose: str,
        max_bytes: int = DEFAULT_TOTAL_BYTES,
        clock: Callable[[], float] = loop_time,
    ) -> None:
        """Create a budget that is unused; `purpose` is for the log.

        `clock` limits how often a refusal is logged.
        """
        self._purpose = purpose
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._clock = clock
        self._refusals = 0
        self._logged_at = float("-inf")

    @property
    def used_bytes(self) -> int:
        """Return the memory that is counted against the budget."""
        return self._used_bytes

    def try_change(self, size: int) -> bool:
        """Take `size` bytes, or return False if less is left; a negative size returns.

        >>> budget = MemoryBudget("messages", max_bytes=10)
        >>> budget.try_change(10), budget.try_change(-4), budget.used_bytes
        (True, True, 6)
        """
        if size > 0 and self._used_bytes + size > self._max_bytes:
            self._log_refusal()
            return False
        self._used_bytes += size
        return True

    def _log_refusal(self) -> None:
        self._refusals += 1
        now = self._clock()
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        logs.log(
            limit_events.MemoryRefused(
                self._purpose, self._used_bytes, self._max_bytes, self._refusals
            )
        )
        self._refusals = 0


class MemoryAccount:
    """The memory that one caller takes, as part of a budget."""

    def __init__(
        self,
        budget: MemoryBudget,
        max_bytes: int = MAX_SESSION_BYTES,
        uncounted_bytes: int = UNCOUNTED_BYTES,
    ) -> None:
        """Create the account of a caller that takes nothing yet."""
        self._uncounted_bytes = uncounted_bytes
        self._budget = budget
        self._max_bytes = max_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Return the memory that the caller takes."""
        return self._used_bytes

    def change(self, size: int) -> Excess | None:
        """Take `size` bytes, or return the limit that forbids it.

        With a negative size, bytes are given back.
        """
        used = self._used_bytes + size
        if size > 0 and used > self._max_bytes:
            return Excess.ACCOUNT
        counted = self._counted(used) - self._counted(self._used_bytes)
        if not self._budget.try_change(counted):
            return Excess.PROXY
        self._used_bytes = used
        return None

    def clear(self) -> None:
        """Give everything back, as the caller has left."""
        self.change(-self._used_bytes)

    def _counted(self, used_bytes: int) -> int:
        return max(0, used_bytes - self._uncounted_bytes)
