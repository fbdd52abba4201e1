"""A proxy's requests to the allocator of one shard, and the operations that wait."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from beryltiller.adapters.channels import PeerError
from beryltiller.membership.members import Members
from beryltiller.membership.messages import Message
from beryltiller.membership.quota_messages import (
    QuotaRedirect,
    QuotaReply,
    QuotaRequest,
)
from beryltiller.quota_service.allocation import CANDIDATES, process_of, shard_key
from beryltiller.quota_service.ports import PeerRequests
from beryltiller.quotas.client import QuotaClient
from beryltiller.quotas.rules import QuotaRules, RetryAfter
from beryltiller.sessions.organisations import Organisation, Quota

REQUEST_TIMEOUT_SECONDS = 0.3
# The least time between two requests, in which further operations join the next one.
MIN_GAP_SECONDS = 0.01
# After a failed request the next one waits longer, up to the maximum.
FAILURE_GAP_SECONDS = 0.05
MAX_FAILURE_GAP_SECONDS = 1.0
# After a failed request the next one is sent within this time, so that an allocator is
# found before an operation needs it.
FAILED_INTERVAL_SECONDS = 2.0
# An operation waits at most this long for tokens.
MAX_WAIT_SECONDS = 0.7
MAX_WAITING = 1_000
# After so many failures in a row operations no longer wait for a reply.
FAILURES_UNTIL_DOWN = 3


@dataclass(slots=True, eq=False)
class _Waiting:
    """An operation that waits for tokens, up to a time."""

    organisation: str
    quota: Quota
    until: float
    answer: asyncio.Future[RetryAfter | None]


class AllocatorClient:
    """The connection of one proxy to the allocator of one shard.

    One request is under way at a time, for all organisations of the shard.
    """

    def __init__(
        self,
        shard: int,
        peers: PeerRequests,
        members: Callable[[], Members],
        answer_locally: Callable[[QuotaRequest], Message],
        clock: Callable[[], float],
        rules: QuotaRules,
        counters: Counter[str],
    ) -> None:
        """Create a client; `answer_locally` answers if this proxy is the allocator."""
        self._shard = shard
        self._peers = peers
        self._members = members
        self._answer_locally = answer_locally
        self._clock = clock
        self._counters = counters
        self._rules = rules
        self._process = process_of(members().me)
        self._client = self._new_client()
        self._waiting: list[_Waiting] = []
        self._wake = asyncio.Event()
        self._allocator = ""
        self._failures = 0
        self._sent_at = float("-inf")

    @property
    def _earliest(self) -> float:
        """The earliest time of the next request."""
        gap = MIN_GAP_SECONDS
        if self._failures:
            gap = FAILURE_GAP_SECONDS * 2 ** min(10, self._failures - 1)
        return self._sent_at + min(gap, MAX_FAILURE_GAP_SECONDS)

    async def admit(
        self, organisation: Organisation, quota: Quota, deadline_seconds: float
    ) -> RetryAfter | None:
        """Return None to admit an operation, or its rejection.

        The answer comes within `deadline_seconds`, and at most `MAX_WAIT_SECONDS`.
        """
        now = self._clock()
        name = organisation.name
        self._follow_process()
        self._client.arrive(name, now)
        decision = self._client.admit(name, quota, now)
        if decision is not None:
            return _rejection(decision)
        is_down = self._failures >= FAILURES_UNTIL_DOWN and now < self._earliest
        if is_down or len(self._waiting) >= MAX_WAITING:
            self._wake.set()
            return self._unreachable(name, quota)
        until = now + min(MAX_WAIT_SECONDS, deadline_seconds)
        answer: asyncio.Future[RetryAfter | None] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = _Waiting(name, quota, until, answer)
        self._waiting.append(waiting)
        self._client.wait(name, now, 1)
        self._wake.set()
        try:
            async with asyncio.timeout(until - now):
                return await answer
        except TimeoutError:
            return self._unreachable(name, quota)
        finally:
            self._waiting.remove(waiting)
            self._client.wait(name, self._clock(), -1)

    async def run(self) -> None:
        """Exchange messages with the allocator until cancelled."""
        while True:
            await self._wait_until_due()
            await self._exchange()
            self._settle()

    async def _wait_until_due(self) -> None:
        delay = self._earliest - self._clock()
        if delay > 0:
            await asyncio.sleep(delay)
        if self._client.has_waiting or self._client.is_report_due:
            return
        self._wake.clear()
        interval = self._client.request_interval(self._clock())
        if self._failures:
            interval = min(interval, FAILED_INTERVAL_SECONDS)
        try:
            async with asyncio.timeout(self._sent_at + interval - self._clock()):
                await self._wake.wait()
        except TimeoutError:
            pass

    async def _exchange(self) -> None:
        """Send one request, and once more where a reply redirects it."""
        address = self._allocator or self._candidate()
        for _ in range(2):
            reply = await self._request(address)
            if not isinstance(reply, QuotaRedirect):
                break
            known = {member.address for member in self._members()}
            if reply.address not in known or reply.address == address:
                reply = None
                break
            address = reply.address
        if isinstance(reply, QuotaReply) and self._client.apply(
            reply, self._sent_at, self._clock()
        ):
            self._allocator = address
            self._failures = 0
            return
        self._allocator = ""
        self._failures += 1
        self._counters["requests.failed"] += 1

    def _new_client(self) -> QuotaClient:
        process = self._process
        return QuotaClient(self._shard, process.name, process.start, self._rules)

    def _follow_process(self) -> None:
        """Start again without shares if this process is known by a later start.

        Membership raises the start if the clock was set back before a restart. Peers
        take that for a proof that the shares of the earlier start have ended, and
        refuse its requests.
        """
        process = process_of(self._members().me)
        if process == self._process:
            return
        self._process = process
        self._client = self._new_client()
        for waiting in self._waiting:
            self._client.wait(waiting.organisation, self._clock(), 1)

    async def _request(self, address: str) -> Message | None:
        self._follow_process()
        self._sent_at = self._clock()
        request = self._client.request(self._sent_at)
        if address == self._members().me.address:
            return self._answer_locally(request)
        self._counters["requests.sent"] += 1
        try:
            return await self._peers.request(address, request, REQUEST_TIMEOUT_SECONDS)
        except PeerError:
            return None

    def _candidate(self) -> str:
        """Return the address of a proxy that may be the allocator or know it."""
        members = self._members()
        # One more than may take the lease, as the views of the members may differ.
        ranked = members.ranked(shard_key(self._shard))[: CANDIDATES + 1]
        if not ranked:
            return members.me.address
        return ranked[self._failures % len(ranked)].address

    def _settle(self) -> None:
        """Answer the operations that need not wait any longer, in their order."""
        now = self._clock()
        for waiting in tuple(self._waiting):
            if waiting.answer.done():
                continue
            decision = self._client.admit(waiting.organisation, waiting.quota, now)
            if decision is not None:
                waiting.answer.set_result(_rejection(decision))
            elif self._failures >= FAILURES_UNTIL_DOWN:
                waiting.answer.set_result(
                    self._unreachable(waiting.organisation, waiting.quota)
                )

    def _unreachable(self, organisation: str, quota: Quota) -> RetryAfter:
        """Return the rejection of an operation without an allocator."""
        seconds = self._client.seconds_until_share(organisation, quota, self._clock())
        wait = MAX_FAILURE_GAP_SECONDS if seconds is None else seconds
        return RetryAfter(min(wait, MAX_FAILURE_GAP_SECONDS), is_over_limit=False)


def _rejection(decision: Literal[True] | RetryAfter) -> RetryAfter | None:
    """Return the rejection in a decision, or None if it admits the operation."""
    return None if decision is True else decision
