"""What an allocator knows of the processes that hold shares of one shard."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from beryltiller.quotas.rules import SHARE_SECONDS

# Covers the difference between the rates of two hosts' clocks over `SHARE_SECONDS`.
EXPIRY_MARGIN_SECONDS = 30.0


@dataclass(frozen=True, slots=True, order=True)
class Process:
    """One run of a proxy; `start` rises with each start of the proxy `name`."""

    name: str
    start: int


@dataclass(slots=True)
class _Lent:
    """One process's share of an organisation, in millionths.

    `bound` is the most that the process may have: `latest` once the reply `number`
    that sent it is acknowledged.
    """

    bound: int
    latest: int
    number: int
    is_acknowledged: bool = False


@dataclass(slots=True)
class Holdings:
    """The shares that a process which has reported them may have.

    Up to `suspended_until` it does not use them. `replies` counts the replies sent to
    it, with the time until which each suspends the shares.
    """

    sequence: int
    expires_at: float
    replies: int = 0
    suspended_until: float = 0.0
    lent: dict[str, _Lent] = field(default_factory=dict)
    _unacknowledged: dict[int, float] = field(default_factory=dict)

    def report(self, shares: Iterable[tuple[str, int]]) -> None:
        """Set the shares that the process reports to have."""
        self.lent = {
            name: _Lent(share, share, 0, is_acknowledged=True)
            for name, share in shares
            if share
        }

    def acknowledge(self, number: int) -> None:
        """Record that the process has applied the reply `number`."""
        until = self._unacknowledged.get(number)
        if until is not None:
            self.suspended_until = max(self.suspended_until, until)
            for each in tuple(self._unacknowledged):
                if each <= number:
                    del self._unacknowledged[each]
        # A later reply says nothing of the shares that an earlier one has sent.
        for name, lent in tuple(self.lent.items()):
            if lent.number == number and not lent.is_acknowledged:
                lent.bound = lent.latest
                lent.is_acknowledged = True
                if not lent.bound:
                    del self.lent[name]

    def next_reply(self, suspended_until: float, now: float) -> int:
        """Return the number of the next reply, which renews and suspends the shares."""
        self.replies += 1
        self.expires_at = now + SHARE_SECONDS + EXPIRY_MARGIN_SECONDS
        self._unacknowledged[self.replies] = suspended_until
        for each in tuple(self._unacknowledged):
            if self._unacknowledged[each] <= now:
                del self._unacknowledged[each]
        return self.replies

    def bound(self, organisation: str) -> int:
        """Return the most that the process may have of an organisation's rate."""
        lent = self.lent.get(organisation)
        return lent.bound if lent is not None else 0

    def latest(self, organisation: str) -> int:
        """Return the share that was last sent to the process."""
        lent = self.lent.get(organisation)
        return lent.latest if lent is not None else 0

    def is_settled(self, organisation: str) -> bool:
        """Return True if the process has acknowledged the share last sent to it."""
        lent = self.lent.get(organisation)
        return lent is None or lent.is_acknowledged

    def offer(self, organisation: str, share: int) -> None:
        """Record a share that the next reply sends."""
        number = self.replies + 1
        former = self.lent.get(organisation)
        bound = max(share, former.bound if former is not None else 0)
        self.lent[organisation] = _Lent(bound, share, number)
