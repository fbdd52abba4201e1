"""A proxy's side of the quotas of one shard: its tokens, shares and rejections."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal

from beryltiller.core.decoding import MAX_NUMBER
from beryltiller.membership.quota_messages import (
    MAX_QUOTA_ENTRIES,
    QuotaNeed,
    QuotaReply,
    QuotaRequest,
    QuotaShare,
)
from beryltiller.quotas.buckets import TokenBucket
from beryltiller.quotas.rules import (
    REPLY_SECONDS,
    SHARE_SECONDS,
    WHOLE,
    QuotaRules,
    RetryAfter,
)
from beryltiller.sessions.organisations import Quota

# The demand is averaged over about this time.
DEMAND_SECONDS = 3.0
# The demand is reported this often, if there is any.
DEMAND_REPORT_SECONDS = 2.0
# An organisation without operations and shares is forgotten after this time.
FORGET_SECONDS = 10.0
# Tokens for the demand of this time are requested beyond the operations that wait.
PREFETCH_SECONDS = 0.05
# An organisation that the allocator does not know is asked for again after this time.
UNKNOWN_RETRY_SECONDS = 0.25
# A changed share is acknowledged after this time: until then the allocator withholds
# what a lowered one has set free.
ACKNOWLEDGEMENT_SECONDS = 0.1
# A proxy without shares and demand sends a request this often, so that a new allocator
# learns that it has no shares.
IDLE_REQUEST_SECONDS = 10.0


@dataclass(slots=True)
class _Account:
    """One organisation's tokens, share and demand at one proxy.

    `share` is in millionths of the rate, and `demand` in operations a second.
    """

    used_at: float
    tokens: int = 0
    tokens_until: float = 0.0
    retry_at: float = 0.0
    waiting: int = 0
    share: int = 0
    share_bucket: TokenBucket = field(default_factory=lambda: TokenBucket(0.0))
    demand: float = 0.0

    def record_operation(self, now: float) -> None:
        """Count an operation in the demand."""
        self.demand = self.demand_at(now) + 1 / DEMAND_SECONDS
        self.used_at = now

    def demand_at(self, now: float) -> float:
        """Return the demand, which falls to 0 without operations."""
        return self.demand * max(0.0, 1 - (now - self.used_at) / DEMAND_SECONDS)


class QuotaClient:
    """The tokens and shares of a shard's organisations at one proxy.

    While the allocator replies, the client uses tokens only, and the allocator grants
    the rate of the suspended shares to any proxy. The shares are used again once the
    suspension in the last reply has ended.
    """

    def __init__(self, shard: int, name: str, start: int, rules: QuotaRules) -> None:
        """Create the client of a process, which `name` and `start` identify."""
        self._shard = shard
        self._name = name
        self._start = start
        self._rules = rules
        self._accounts: dict[str, _Account] = {}
        self._sequence = 0
        self._term = 0
        self._acknowledged = 0
        self._is_report_due = True
        self._suspended_until = 0.0
        self._shares_until = 0.0
        self._interval = 0.0
        self._demand_due_at = 0.0
        self._asked: frozenset[str] = frozenset()
        self._has_unacknowledged_shares = False

    @property
    def has_waiting(self) -> bool:
        """Return True if an operation waits for tokens."""
        return any(account.waiting for account in self._accounts.values())

    @property
    def is_report_due(self) -> bool:
        """Return True if an allocator waits for a report of the shares."""
        return self._is_report_due and self._term != 0

    @property
    def shares(self) -> Mapping[str, int]:
        """Return the shares in millionths, by organisation."""
        return {name: each.share for name, each in self._accounts.items() if each.share}

    def request_interval(self, now: float) -> float:
        """Return the seconds until the next request if no operation waits."""
        if self._has_unacknowledged_shares:
            return ACKNOWLEDGEMENT_SECONDS
        if self.shares and now < self._shares_until:
            return self._interval
        has_demand = any(each.demand_at(now) > 0 for each in self._accounts.values())
        return DEMAND_REPORT_SECONDS if has_demand else IDLE_REQUEST_SECONDS

    def arrive(self, organisation: str, now: float) -> None:
        """Record the arrival of an operation, admitted or not."""
        self._account(organisation, now).record_operation(now)

    def admit(
        self, organisation: str, quota: Quota, now: float
    ) -> Literal[True] | RetryAfter | None:
        """Return True to admit an operation, its rejection, or None if it must wait.

        An operation waits for the reply to a request for tokens.
        """
        account = self._account(organisation, now)
        if account.tokens and now < account.tokens_until:
            account.tokens -= 1
            return True
        if self._takes_share(account, quota, now):
            return True
        if now < account.retry_at:
            return RetryAfter(account.retry_at - now)
        return None

    def wait(self, organisation: str, now: float, change: int) -> None:
        """Change by `change` the number of operations that wait for tokens."""
        self._account(organisation, now).waiting += change

    def seconds_until_share(
        self, organisation: str, quota: Quota, now: float
    ) -> float | None:
        """Return the seconds until the share admits an operation; None without one."""
        account = self._accounts.get(organisation)
        if account is None or not account.share or now >= self._shares_until:
            return None
        rate = quota.rate_per_second * account.share / WHOLE
        waited = account.share_bucket.seconds_until(1.0, rate)
        return max(0.0, account.share_bucket.at - now) + waited

    def request(self, now: float) -> QuotaRequest:
        """Return the next request, with all needs, and the demand if it is due."""
        self._sequence += 1
        reports_demand = now >= self._demand_due_at
        if reports_demand:
            self._demand_due_at = now + DEMAND_REPORT_SECONDS
            self._forget_unused(now)
        needs: list[QuotaNeed] = []
        for name, account in self._accounts.items():
            demand = account.demand_at(now) if reports_demand or account.waiting else 0
            if (account.waiting or demand) and len(needs) < MAX_QUOTA_ENTRIES:
                count = 0
                if account.waiting:
                    count = account.waiting + int(demand * PREFETCH_SECONDS)
                needs.append(
                    QuotaNeed(name, count, min(MAX_NUMBER, int(demand * 1000)))
                )
        self._asked = frozenset(each.organisation for each in needs if each.count)
        shares: tuple[QuotaShare, ...] = ()
        is_report = self.is_report_due
        if is_report and now < self._shares_until:
            self._drop_shares_beyond(MAX_QUOTA_ENTRIES)
            shares = tuple(QuotaShare(*item) for item in self.shares.items())
        return QuotaRequest(
            self._shard,
            self._name,
            self._start,
            self._sequence,
            self._term,
            self._acknowledged,
            is_report,
            tuple(needs),
            shares,
        )

    def apply(self, reply: QuotaReply, sent_at: float, now: float) -> bool:
        """Apply the reply to the request of `sent_at`; return False if it is too late.

        Replies must be applied in the order of their requests.
        """
        if now - sent_at > REPLY_SECONDS:
            return False
        if reply.is_report_wanted:
            self._term = reply.term
            self._acknowledged = 0
            self._is_report_due = True
            return True
        if reply.term != self._term:
            return False
        self._drop_expired_shares(now)
        self._is_report_due = False
        self._acknowledged = reply.number
        self._interval = reply.interval_ms / 1000
        self._suspended_until = now + reply.suspension_ms / 1000
        self._shares_until = sent_at + SHARE_SECONDS
        self._has_unacknowledged_shares = bool(reply.shares)
        for share in reply.shares:
            self._account(share.organisation, now).share = share.millionths
        for account in self._accounts.values():
            # A share that is used again starts with an empty bucket.
            account.share_bucket = TokenBucket(self._suspended_until)
        for grant in reply.grants:
            account = self._account(grant.organisation, now)
            account.retry_at = now + grant.retry_ms / 1000
            if grant.count:
                # The tokens of earlier replies are dropped: the new ones are for all
                # operations that wait.
                account.tokens = grant.count
                account.tokens_until = sent_at + self._rules.token_seconds
        for name in self._asked - {each.organisation for each in reply.grants}:
            # The allocator does not have the configuration with this one yet.
            self._account(name, now).retry_at = now + UNKNOWN_RETRY_SECONDS
        return True

    def _takes_share(self, account: _Account, quota: Quota, now: float) -> bool:
        if not account.share or not self._suspended_until <= now < self._shares_until:
            return False
        rate = quota.rate_per_second * account.share / WHOLE
        account.share_bucket.advance(now, rate, self._rules.share_depth(rate))
        return account.share_bucket.take(1) == 1

    def _drop_expired_shares(self, now: float) -> None:
        if now >= self._shares_until:
            for account in self._accounts.values():
                account.share = 0

    def _drop_shares_beyond(self, count: int) -> None:
        """Drop the shares that a report has no place for: they would be lent again."""
        for name in tuple(self.shares)[count:]:
            self._accounts[name].share = 0

    def _account(self, organisation: str, now: float) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account(now)
            account.share_bucket = TokenBucket(self._suspended_until)
        return account

    def _forget_unused(self, now: float) -> None:
        for name, account in tuple(self._accounts.items()):
            is_unused = now - account.used_at > FORGET_SECONDS
            if is_unused and not account.share and not account.waiting:
                del self._accounts[name]
