"""The quota service of a proxy: admits operations, and answers peers' requests."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from beryltiller.membership.members import Members
from beryltiller.membership.messages import Message, Refused
from beryltiller.membership.quota_messages import QuotaRequest
from beryltiller.observability import limit_events, logs
from beryltiller.quota_service.allocation import Allocation
from beryltiller.quota_service.allocator_client import AllocatorClient
from beryltiller.quota_service.ports import PeerRequests, QuotaStore
from beryltiller.quotas.rules import SHARDS, QuotaRules, RetryAfter, shard_of
from beryltiller.sessions.organisations import Organisation, Organisations, Quota

# How often the configuration in force is compared with the limits in use.
CHECK_SECONDS = 0.25
# An organisation ceases to be over its limit after this time without a rejection.
KEPT_SECONDS = 5.0


@dataclass(slots=True)
class _Excess:
    """The rejections of an organisation that is over its limit."""

    rejected: int = 0
    last_at: float = 0.0


class Quotas:
    """Enforces the quotas of organisations at one proxy; run it on its event loop.

    `counters` counts admitted and rejected operations, requests to allocators, calls to
    the store, and leases taken and lost. `rejected` counts rejections by organisation.
    """

    def __init__(
        self,
        peers: PeerRequests,
        members: Callable[[], Members],
        store: QuotaStore,
        organisations: Callable[[], Organisations | None],
        clock: Callable[[], float],
        rng: random.Random,
        rules: QuotaRules,
        is_bootstrap: bool = False,
    ) -> None:
        """Enforce the quotas of `organisations()`, once `run` is called.

        With `is_bootstrap` the whole system starts for the first time.

        `members` returns the present view of the proxies, whose own member names this
        process by its name and incarnation.
        """
        self.counters: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()
        self._clock = clock
        self._organisations = organisations
        self._in_use: Organisations | None = None
        self._excesses: dict[str, _Excess] = {}
        self._allocation = Allocation(
            members, store, clock, rng, rules, self.counters, is_bootstrap
        )
        self._clients = tuple(
            AllocatorClient(
                shard,
                peers,
                members,
                self._allocation.answer,
                clock,
                rules,
                self.counters,
            )
            for shard in range(SHARDS)
        )

    async def admit(
        self, organisation: Organisation, deadline_seconds: float
    ) -> RetryAfter | None:
        """Return None to admit an operation, or its rejection.

        The answer comes within `deadline_seconds`. Without a quota it comes at once.
        """
        quota = organisation.quota
        if quota is None:
            return None
        client = self._clients[shard_of(organisation.name)]
        retry = await client.admit(organisation, quota, deadline_seconds)
        if retry is None:
            self.counters["admitted"] += 1
        elif retry.is_over_limit:
            self._record_excess(organisation.name)
        else:
            self.counters["rejected.unreachable"] += 1
        return retry

    def receive(self, message: Message, reply: Callable[[Message], None]) -> None:
        """Answer a request of a peer; one that is not for quotas is refused."""
        if isinstance(message, QuotaRequest):
            reply(self._allocation.answer(message))
        else:
            reply(Refused("unexpected"))

    async def run(self) -> None:
        """Take part in the allocation until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_configuration())
            await self._wait_for_quotas()
            tasks.create_task(self._allocation.run())
            for client in self._clients:
                tasks.create_task(client.run())

    async def _wait_for_quotas(self) -> None:
        """Wait until a configuration has quotas; until then no message is sent."""
        while not _quotas(self._in_use):
            await asyncio.sleep(CHECK_SECONDS)

    async def _follow_configuration(self) -> None:
        while True:
            organisations = self._organisations()
            if organisations is not self._in_use:
                self._in_use = organisations
                self._allocation.set_quotas(_quotas(organisations))
            self._end_excesses()
            await asyncio.sleep(CHECK_SECONDS)

    def _record_excess(self, organisation: str) -> None:
        self.counters["rejected.over-limit"] += 1
        self.rejected[organisation] += 1
        excess = self._excesses.get(organisation)
        if excess is None:
            excess = self._excesses[organisation] = _Excess()
            logs.log(limit_events.QuotaExceeded(organisation))
        excess.rejected += 1
        excess.last_at = self._clock()

    def _end_excesses(self) -> None:
        now = self._clock()
        for name, excess in tuple(self._excesses.items()):
            if now - excess.last_at >= KEPT_SECONDS:
                del self._excesses[name]
                logs.log(limit_events.QuotaKept(name, excess.rejected))


def _quotas(organisations: Organisations | None) -> Mapping[str, Quota]:
    """Return the quotas in force by organisation."""
    if organisations is None:
        return {}
    return {
        name: each.quota
        for name, each in organisations.by_name.items()
        if each.quota is not None
    }
