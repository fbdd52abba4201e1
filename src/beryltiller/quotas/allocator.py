"""The allocator of one shard: exact buckets, and shares lent by recent demand."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from beryltiller.membership.quota_messages import (
    MAX_QUOTA_ENTRIES,
    QuotaGrant,
    QuotaNeed,
    QuotaReply,
    QuotaRequest,
    QuotaShare,
)
from beryltiller.quotas.buckets import TokenBucket
from beryltiller.quotas.demands import Demands, differs
from beryltiller.quotas.holdings import (
    EXPIRY_MARGIN_SECONDS,
    Holdings,
    Process,
)
from beryltiller.quotas.rules import (
    MAX_LENT,
    SHARE_SECONDS,
    WHOLE,
    QuotaRules,
    max_share,
    shard_of,
)
from beryltiller.sessions.organisations import Quota

# A holder of shares sends a request this often, and more rarely if there are many.
INTERVAL_SECONDS = 0.5
MAX_REQUESTS_PER_SECOND = 250.0
# A reply suspends the shares for this many intervals between requests.
SUSPENSION_INTERVALS = 3
# How often the shares that the demand calls for are computed anew.
TARGETS_SECONDS = 1.0
# The longest time for which a reply makes a proxy reject operations.
MAX_RETRY_SECONDS = 2.0


@dataclass(slots=True)
class _Account:
    """One organisation's bucket, demand and holders of shares."""

    quota: Quota
    bucket: TokenBucket
    retry_at: float = 0.0
    holders: set[Process] = field(default_factory=set)
    demands: Demands = field(default_factory=Demands)
    targets: dict[Process, int] = field(default_factory=dict)
    targets_at: float = float("-inf")


class Allocator:
    """Grants the rate of a shard's organisations while its proxy has the lease.

    At any time it grants an organisation's rate less the shares that may be in use:
    those that are not suspended, and the reserve for processes that have not reported.
    """

    def __init__(
        self,
        shard: int,
        term: int,
        rules: QuotaRules,
        unreported: Iterable[Process],
        unreported_share: int,
        now: float,
    ) -> None:
        """Start with empty buckets.

        Each process of `unreported` may have up to `unreported_share` millionths of
        each organisation's rate, until it reports or its shares have expired.
        """
        self.term = term
        self._shard = shard
        self._rules = rules
        self._unreported = set(unreported)
        self._unreported_share = unreported_share
        self._unreported_until = now + SHARE_SECONDS + EXPIRY_MARGIN_SECONDS
        self._accounts: dict[str, _Account] = {}
        self._holdings: dict[Process, Holdings] = {}
        self._starts: dict[str, int] = {}
        self._listed: frozenset[Process] = frozenset()
        self._max_share = 0
        self._proxies = 1

    @property
    def unreported(self) -> frozenset[Process]:
        """Return the processes that may hold shares and have not reported them."""
        return frozenset(self._unreported)

    @property
    def listed(self) -> tuple[frozenset[Process], int]:
        """Return the processes that may be lent shares, and the largest share."""
        return self._listed, self._max_share

    @property
    def granted_share_limit(self) -> int:
        """Return the largest share that any process may have, in millionths."""
        held = (
            each.bound
            for holdings in self._holdings.values()
            for each in holdings.lent.values()
        )
        unreported = self._unreported_share if self._unreported else 0
        return max(max_share(self._proxies), unreported, *held, 0)

    def processes_to_list(self) -> frozenset[Process]:
        """Return the processes that may hold shares, or are to be lent some."""
        holders = {each for each, held in self._holdings.items() if held.lent}
        wanted = {each for item in self._accounts.values() for each in item.targets}
        return frozenset(holders | wanted | self._unreported)

    def set_listed(self, processes: frozenset[Process], share: int) -> None:
        """Set which processes may be lent shares, each at most `share` millionths.

        They must be in the lease's row, by which the next allocator reserves shares.
        """
        self._listed = processes
        self._max_share = share

    def update_limits(self, quotas: Mapping[str, Quota], now: float) -> None:
        """Set the limits in force; only the organisations of this shard matter."""
        for name, account in self._accounts.items():
            self._advance(name, account, now)
        accounts: dict[str, _Account] = {}
        for name, quota in quotas.items():
            if shard_of(name) != self._shard:
                continue
            former = self._accounts.get(name)
            if former is not None:
                former.quota = quota
                # A lower burst applies to what the bucket has already.
                former.bucket.advance(now, 0.0, self._rules.depth(quota.burst))
                accounts[name] = former
                continue
            accounts[name] = account = _Account(quota, TokenBucket(now))
            account.holders = {
                each for each, held in self._holdings.items() if held.bound(name)
            }
        self._accounts = accounts

    def update_proxies(
        self, live: int, processes: Iterable[Process], now: float
    ) -> None:
        """Set how many proxies are live; a later start proves that a process ended."""
        self._proxies = max(1, live)
        for process in processes:
            self._drop_former(process, now)
        for process, holdings in tuple(self._holdings.items()):
            if holdings.expires_at <= now:
                self._forget(process, now)
        if self._unreported and now >= self._unreported_until:
            self._advance_all(now)
            self._unreported.clear()

    def receive(self, request: QuotaRequest, now: float) -> QuotaReply | None:
        """Return the reply to a request, or None to one that is out of date."""
        process = Process(request.name, request.start)
        if request.start < self._starts.get(request.name, 0):
            return None
        self._drop_former(process, now)
        holdings = self._holdings.get(process)
        if holdings is not None and request.sequence <= holdings.sequence:
            return None
        is_known = request.term == self.term
        if not is_known or (holdings is None and not request.is_report):
            return QuotaReply(self.term, 0, is_report_wanted=True)
        if holdings is None:
            holdings = Holdings(request.sequence, now)
            self._holdings[process] = holdings
        holdings.sequence = request.sequence
        if request.is_report:
            self._report(process, holdings, request.shares, now)
        self._acknowledge(process, holdings, request.acknowledged, now)
        return self._reply(process, holdings, request.needs, now)

    def _report(
        self,
        process: Process,
        holdings: Holdings,
        shares: Iterable[QuotaShare],
        now: float,
    ) -> None:
        self._advance_all(now)
        self._unreported.discard(process)
        holdings.report((each.organisation, each.millionths) for each in shares)
        for name, account in self._accounts.items():
            account.holders.discard(process)
            if holdings.bound(name):
                account.holders.add(process)

    def _acknowledge(
        self, process: Process, holdings: Holdings, number: int, now: float
    ) -> None:
        names = tuple(holdings.lent)
        for name in names:
            if name in self._accounts:
                self._advance(name, self._accounts[name], now)
        holdings.acknowledge(number)
        for name in names:
            if name in self._accounts and not holdings.bound(name):
                self._accounts[name].holders.discard(process)

    def _reply(
        self,
        process: Process,
        holdings: Holdings,
        needs: Iterable[QuotaNeed],
        now: float,
    ) -> QuotaReply:
        interval = max(INTERVAL_SECONDS, len(self._holdings) / MAX_REQUESTS_PER_SECOND)
        suspension = SUSPENSION_INTERVALS * interval
        if not holdings.lent:
            # The process has no share yet, and this reply suspends those it sends.
            holdings.suspended_until = max(holdings.suspended_until, now + suspension)
        grants = []
        names = set(holdings.lent)
        for need in needs:
            account = self._accounts.get(need.organisation)
            if account is None:
                continue
            names.add(need.organisation)
            if need.demand:
                account.demands.report(process, need.demand, now)
            if need.count:
                grants.append(self._grant(need, account, now))
        shares = []
        for name in sorted(names)[:MAX_QUOTA_ENTRIES]:
            share = self._share_to_send(process, holdings, name, now)
            if share is not None:
                shares.append(QuotaShare(name, share))
        number = holdings.next_reply(now + suspension, now)
        return QuotaReply(
            self.term,
            number,
            interval_ms=int(interval * 1000),
            suspension_ms=int(suspension * 1000) + 1,
            grants=tuple(grants),
            shares=tuple(shares),
        )

    def _grant(self, need: QuotaNeed, account: _Account, now: float) -> QuotaGrant:
        self._advance(need.organisation, account, now)
        count = account.bucket.take(need.count)
        if count == need.count:
            return QuotaGrant(need.organisation, count)
        rate = account.quota.rate_per_second * (
            1 - self._used_share(need.organisation, account, now) / WHOLE
        )
        # Each reply names a later time, so that proxies do not compete for one token.
        wait = account.bucket.seconds_until(1.0, rate)
        latest = now + MAX_RETRY_SECONDS
        retry_at = min(latest, max(account.retry_at, now + wait))
        account.retry_at = min(latest, retry_at + (1 / rate if rate > 0 else 0.0))
        # Rounded up: before that time there may be no token.
        return QuotaGrant(need.organisation, count, int((retry_at - now) * 1000) + 1)

    def _share_to_send(
        self, process: Process, holdings: Holdings, name: str, now: float
    ) -> int | None:
        """Return the share that the next reply must send, or None to leave it."""
        account = self._accounts.get(name)
        latest = holdings.latest(name)
        if not holdings.is_settled(name):
            share = latest
        else:
            target = 0
            if account is not None:
                target = self._target(account, process, now)
            if not differs(latest, target):
                return None
            share = target
            if account is not None and target > latest:
                share = latest + self._room(process, holdings, account, name, target)
            if share == latest:
                return None
        if account is not None:
            self._advance(name, account, now)
            account.holders.add(process)
        holdings.offer(name, share)
        return share

    def _room(
        self,
        process: Process,
        holdings: Holdings,
        account: _Account,
        name: str,
        target: int,
    ) -> int:
        """Return by how much a process's share may be raised towards the target."""
        if process not in self._listed:
            return 0
        is_new = process not in account.holders
        holders = len(account.holders) + len(self._unreported)
        if is_new and holders >= self._rules.max_holders(account.quota.burst):
            return 0
        lent = sum(self._holdings[each].bound(name) for each in account.holders)
        reserve = len(self._unreported) * self._unreported_share
        limit = min(target, self._max_share) - holdings.latest(name)
        return max(0, min(limit, MAX_LENT - lent - reserve))

    def _target(self, account: _Account, process: Process, now: float) -> int:
        if now - account.targets_at >= TARGETS_SECONDS:
            account.targets_at = now
            account.targets = account.demands.targets(
                max_share(self._proxies),
                self._rules.max_holders(account.quota.burst),
                now,
            )
        return account.targets.get(process, 0)

    def _reserve(self, account: _Account, name: str) -> int:
        lent = sum(self._holdings[each].bound(name) for each in account.holders)
        unreported = len(self._unreported) * self._unreported_share
        return max(0, min(MAX_LENT - lent, unreported))

    def _used_share(self, name: str, account: _Account, now: float) -> int:
        """Return which part of the rate proxies may use by themselves at present."""
        return self._reserve(account, name) + sum(
            self._holdings[each].bound(name)
            for each in account.holders
            if self._holdings[each].suspended_until <= now
        )

    def _advance(self, name: str, account: _Account, now: float) -> None:
        """Fill a bucket with the rate that no share may have used in the meantime."""
        since = account.bucket.at
        if now <= since:
            return
        used = self._reserve(account, name) * (now - since)
        for process in account.holders:
            holdings = self._holdings[process]
            in_use = now - max(since, min(now, holdings.suspended_until))
            used += holdings.bound(name) * in_use
        part = max(0.0, 1 - used / (now - since) / WHOLE)
        quota = account.quota
        account.bucket.advance(
            now, quota.rate_per_second * part, self._rules.depth(quota.burst)
        )

    def _advance_all(self, now: float) -> None:
        for name, account in self._accounts.items():
            self._advance(name, account, now)

    def _drop_former(self, process: Process, now: float) -> None:
        """Forget the former runs of a proxy, whose shares ended with them."""
        if process.start <= self._starts.get(process.name, -1):
            return
        self._starts[process.name] = process.start
        for former in (*self._holdings, *self._unreported):
            if former.name == process.name and former.start < process.start:
                self._forget(former, now)

    def _forget(self, process: Process, now: float) -> None:
        self._advance_all(now)
        self._unreported.discard(process)
        self._holdings.pop(process, None)
        for account in self._accounts.values():
            account.holders.discard(process)
