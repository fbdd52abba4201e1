"""A proxy's part in allocating quotas: leases, allocators and requests of peers."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from beryltiller.core.ports import (
    HistoryLostError,
    LostAnswerError,
    PortError,
    RefusedError,
    Write,
)
from beryltiller.membership.members import Member, Members, MemberState
from beryltiller.membership.messages import Message, Refused
from beryltiller.membership.quota_messages import QuotaRedirect, QuotaRequest
from beryltiller.observability import limit_events, logs
from beryltiller.quota_service.ports import QuotaStore
from beryltiller.quotas.allocator import Allocator
from beryltiller.quotas.holdings import Process
from beryltiller.quotas.leases import (
    RENEWAL_SECONDS,
    Claim,
    Lease,
    LeaseError,
    lease_key,
)
from beryltiller.quotas.rules import SHARDS, QuotaRules, max_share
from beryltiller.sessions.organisations import Quota

LEASES_TABLE = "quotas"
# How many members, in the order of rendezvous hashing, may take a shard's lease.
CANDIDATES = 2
# The delay before the first read of the leases. Proxies that start together know only
# themselves until membership has spread.
FIRST_POLL_SECONDS = 3.0
# How often leases are checked without a call to the store.
CHECK_SECONDS = 0.5
STORE_TIMEOUT_SECONDS = 2.0
# Terms are random numbers; those of 53 bits are exact in every JSON reader.
TERM_BITS = 53

_T = TypeVar("_T")


def shard_key(shard: int) -> str:
    """Return the key by which members are ranked for a shard."""
    return f"quotas {shard}"


def process_of(member: Member) -> Process:
    """Return the process that a member describes."""
    return Process(member.name, member.incarnation)


@dataclass(slots=True)
class _Shard:
    """A shard's lease as this proxy knows it, and the allocator while it has it."""

    lease: Lease
    allocator: Allocator | None = None
    renew_at: float = 0.0


class Allocation:
    """Takes and renews the leases of shards, and answers requests for quotas."""

    def __init__(
        self,
        members: Callable[[], Members],
        store: QuotaStore,
        clock: Callable[[], float],
        rng: random.Random,
        rules: QuotaRules,
        counters: Counter[str],
        is_bootstrap: bool = False,
    ) -> None:
        """Allocate for the process of `me` in what `members` returns.

        With `is_bootstrap` the whole system starts for the first time.
        """
        self._is_bootstrap = is_bootstrap
        self._members = members
        self._store = store
        self._clock = clock
        self._rng = rng
        self._rules = rules
        self._counters = counters
        self._quotas: Mapping[str, Quota] = {}
        self._shards: tuple[_Shard, ...] = ()
        self._slot_at = 0.0
        self._jitter = 1.0
        self._ranked: Members | None = None
        self._candidacies: tuple[bool, ...] = ()

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Set the limits in force."""
        self._quotas = quotas
        for shard in self._shards:
            if shard.allocator is not None:
                shard.allocator.update_limits(quotas, self._clock())

    def answer(self, request: QuotaRequest) -> Message:
        """Return the answer to a request of a proxy, or of this one."""
        if request.shard >= len(self._shards):
            return QuotaRedirect()
        shard = self._shards[request.shard]
        now = self._clock()
        if shard.allocator is None or not shard.lease.is_held(now):
            address = shard.lease.holder_address
            is_own = address == self._members().me.address
            return QuotaRedirect("" if is_own else address)
        reply = shard.allocator.receive(request, now)
        return reply if reply is not None else Refused("stale")

    async def run(self) -> None:
        """Maintain the leases until cancelled."""
        me = self._members().me
        self._shards = tuple(
            _Shard(Lease(number, process_of(me), me.address))
            for number in range(SHARDS)
        )
        await asyncio.sleep(FIRST_POLL_SECONDS)
        self._slot_at = self._clock() - self._rng.uniform(0.0, RENEWAL_SECONDS)
        while True:
            await self._maintain()
            await asyncio.sleep(CHECK_SECONDS)

    async def _maintain(self) -> None:
        members = self._members()
        for shard in self._shards:
            if members.me.is_draining:
                await self._release(shard)
            self._update(shard, members)
        if self._quotas and self._is_read_due(members):
            await self._read(members)
        for shard in self._shards:
            now = self._clock()
            if shard.allocator is not None and now >= shard.renew_at:
                await self._renew(shard)
            elif (
                self._quotas
                and self._is_candidate(shard, members)
                and shard.lease.may_take(now, self._is_bootstrap)
            ):
                await self._take(shard, members)

    def _update(self, shard: _Shard, members: Members) -> None:
        now = self._clock()
        if shard.allocator is None:
            return
        if not shard.lease.is_own:
            self._lose(shard, "another row is in the store")
            return
        shard.allocator.update_proxies(len(members.live), map(process_of, members), now)

    def _is_candidate(self, shard: _Shard, members: Members) -> bool:
        if self._ranked is not members:
            self._ranked = members
            ranks = (members.rank(shard_key(number)) for number in range(SHARDS))
            self._candidacies = tuple(
                rank is not None and rank < CANDIDATES for rank in ranks
            )
        return self._candidacies[shard.lease.shard]

    def _is_read_due(self, members: Members) -> bool:
        """Return True if a candidate may read the rows now.

        Where members cannot reach each other, each group has its own candidates. They
        read more rarely, so that the calls of all groups do not add up.
        """
        known = sum(member.state is not MemberState.LEFT for member in members)
        spread = max(1.0, known / max(1, len(members.live)))
        wait = RENEWAL_SECONDS * spread * self._jitter
        return self._clock() - self._slot_at >= wait

    async def _read(self, members: Members) -> None:
        """Read the rows, if this proxy may take a lease."""
        self._slot_at = self._clock()
        self._jitter = self._rng.uniform(1.0, 1.3)
        if not any(
            shard.allocator is None and self._is_candidate(shard, members)
            for shard in self._shards
        ):
            return
        await self._observe()

    async def _observe(self) -> None:
        try:
            table = await self._call(self._store.read_all(LEASES_TABLE))
        except PortError:
            return
        rows = {row.key: row for row in table.rows}
        for shard in self._shards:
            shard.lease.observe(rows.get(lease_key(shard.lease.shard)), self._clock())
            if shard.allocator is not None and not shard.lease.is_own:
                self._lose(shard, "another row is in the store")

    async def _renew(self, shard: _Shard) -> None:
        allocator = shard.allocator
        if allocator is None:
            return
        shard.renew_at = self._clock() + RENEWAL_SECONDS
        listed = allocator.processes_to_list()
        share = allocator.granted_share_limit
        former, former_share = allocator.listed
        allocator.set_listed(former & listed, min(former_share, share))
        claim = self._claim(shard, allocator.term, listed, share)
        if claim is None:
            return
        try:
            is_confirmed = await self._commit(shard, claim)
        except LostAnswerError:
            # The write may have taken effect or do so later, so the row is read.
            await self._observe()
            shard.renew_at = self._clock() + CHECK_SECONDS
            return
        if not is_confirmed:
            await self._observe()
        elif shard.allocator is allocator:
            allocator.set_listed(listed, share)

    async def _release(self, shard: _Shard) -> None:
        """Let another proxy take the lease at once, as this one stops."""
        allocator, shard.allocator = shard.allocator, None
        if allocator is None or not shard.lease.is_own:
            return
        share = allocator.granted_share_limit
        try:
            claim = shard.lease.release(allocator.processes_to_list(), share)
        except LeaseError:
            self._counters["leases.too-large"] += 1
            return
        write = Write(
            LEASES_TABLE, lease_key(shard.lease.shard), claim.expected, claim.value
        )
        self._lose(shard, "the proxy stops")
        try:
            await self._call(self._store.commit((write,)))
        except PortError:
            # Another proxy takes the lease once it has lapsed.
            self._counters["leases.not-released"] += 1

    async def _take(self, shard: _Shard, members: Members) -> None:
        row = shard.lease.listed
        unreported = set(row.holders) if row is not None else set()
        share = max_share(len(members.live))
        if row is not None:
            share = max(share, row.max_share)
        if not shard.lease.is_trusted:
            unreported.update(map(process_of, members))
        term = self._rng.getrandbits(TERM_BITS) | 1
        claim = self._claim(shard, term, unreported, share)
        if claim is None:
            return
        try:
            is_confirmed = await self._commit(shard, claim)
        except LostAnswerError:
            is_confirmed = False
        if not is_confirmed:
            shard.lease.forget()
            return
        now = self._clock()
        number = shard.lease.shard
        allocator = Allocator(number, term, self._rules, unreported, share, now)
        allocator.update_limits(self._quotas, now)
        allocator.update_proxies(len(members.live), map(process_of, members), now)
        shard.allocator = allocator
        shard.renew_at = now + RENEWAL_SECONDS
        self._counters["leases.taken"] += 1
        logs.log(limit_events.QuotaLeaseTaken(number, len(allocator.unreported)))

    def _claim(
        self,
        shard: _Shard,
        term: int,
        processes: frozenset[Process] | set[Process],
        share: int,
    ) -> Claim | None:
        try:
            return shard.lease.claim(term, processes, share)
        except LeaseError:
            self._counters["leases.too-large"] += 1
            return None

    async def _commit(self, shard: _Shard, claim: Claim) -> bool:
        """Write a row; return False if the store refused, as another was written.

        Raise `LostAnswerError` if the write may take effect.
        """
        sent_at = self._clock()
        key = lease_key(shard.lease.shard)
        write = Write(LEASES_TABLE, key, claim.expected, claim.value)
        try:
            version = await self._call(self._store.commit((write,)))
        except RefusedError:
            return False
        shard.lease.confirm(claim, version, sent_at, self._clock())
        return shard.lease.is_held(self._clock())

    async def _call(self, call: Awaitable[_T]) -> _T:
        self._counters["store.calls"] += 1
        try:
            async with asyncio.timeout(STORE_TIMEOUT_SECONDS):
                return await call
        except TimeoutError as error:
            raise LostAnswerError("the store did not reply in time") from error
        except HistoryLostError as error:
            raise LostAnswerError("the store has lost its history") from error

    def _lose(self, shard: _Shard, reason: str) -> None:
        shard.allocator = None
        shard.lease.stop()
        self._counters["leases.lost"] += 1
        logs.log(limit_events.QuotaLeaseLost(shard.lease.shard, reason))
