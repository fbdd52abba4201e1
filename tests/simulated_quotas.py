"""Many proxies with quotas on a virtual clock: their network, store and a checker."""

import asyncio
import random
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Sequence
from contextlib import suppress

from beryltiller.adapters.channels import PeerLostError, PeerRefusedError
from beryltiller.core import revisions
from beryltiller.core.decoding import decode_json
from beryltiller.core.ports import LostAnswerError, RefusedError, Row, TableRows, Write
from beryltiller.membership.members import Member, Members, MemberState
from beryltiller.membership.messages import Message, Refused, decode, encode
from beryltiller.quota_service.service import Quotas
from beryltiller.quotas.leases import LeaseModel
from beryltiller.quotas.rules import QuotaRules
from beryltiller.sessions.organisations import Organisation, Organisations, Quota
from tests.virtual_loop import pass_time, virtual_now

WINDOW_SECONDS = 5.0


class SimulatedStore:
    """Rows with versions, whose calls can fail, be slow, or lose their replies."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.is_down = False
        self.delay = 0.005
        self.loss = 0.0
        self.era = 0
        self.count = 0
        self.rows: dict[str, Row] = {}
        self.calls: list[float] = []

    def copy(self) -> dict[str, Row]:
        return dict(self.rows)

    def restore(self, rows: dict[str, Row]) -> None:
        """Replace the rows by an older copy, with versions of a new era."""
        self.era += 1
        self.rows = {
            key: Row(
                key,
                revisions.join(self.era, revisions.split(row.version)[1]),
                row.value,
            )
            for key, row in rows.items()
        }

    async def read_all(self, table: str) -> TableRows:
        await self._arrive()
        rows = tuple(self.rows.values())
        await self._answer()
        return TableRows(0, rows)

    async def commit(self, writes: Sequence[Write]) -> int:
        if self._rng.random() < self.loss:
            late = self._rng.uniform(0.0, 4.0)
            asyncio.get_running_loop().call_later(late, self._write_late, writes)
        await self._arrive()
        version = self._write(writes)
        await self._answer()
        return version

    def _write_late(self, writes: Sequence[Write]) -> None:
        with suppress(RefusedError):
            self._write(writes)

    def _write(self, writes: Sequence[Write]) -> int:
        for write in writes:
            row = self.rows.get(write.key)
            if (row.version if row else 0) != write.expected:
                raise RefusedError("conflict")
        self.count += 1
        version = revisions.join(self.era, self.count)
        for write in writes:
            self.rows[write.key] = Row(write.key, version, write.value)
        return version

    async def _arrive(self) -> None:
        self.calls.append(virtual_now())
        await pass_time(self.delay / 2)
        if self.is_down:
            raise RefusedError("unreachable")

    async def _answer(self) -> None:
        await pass_time(self.delay / 2)
        if self._rng.random() < self.loss:
            raise LostAnswerError("lost")


class SimulatedProxy:
    """One proxy: a process that can be killed, started, frozen and cut off.

    While it is frozen nothing arrives at it or leaves it, and it admits nothing.
    """

    def __init__(self, deployment: "Deployment", number: int) -> None:
        self.deployment = deployment
        self.number = number
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:7100"
        self.start_number = 0
        self.group = 0
        self.thawed: asyncio.Event = asyncio.Event()
        self.thawed.set()
        self.view: Members | None = None
        self.view_source: tuple[Member, ...] = ()
        self.quotas: Quotas | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        return f"proxy-{self.number}"

    def start(self) -> None:
        self.start_number += 1
        self.view = None
        deployment = self.deployment
        rng = random.Random(f"{deployment.seed} {self.number} {self.start_number}")
        self.quotas = Quotas(
            self,
            lambda: deployment.view(self),
            self,
            lambda: deployment.organisations_at(self),
            virtual_now,
            rng,
            QuotaRules(),
        )
        self.task = asyncio.create_task(self.quotas.run())

    async def kill(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self.quotas = self.task = None

    async def freeze(self, seconds: float) -> None:
        self.thawed.clear()
        await pass_time(seconds)
        self.thawed.set()

    async def request(
        self, address: str, message: Message, timeout_seconds: float
    ) -> Message:
        return await self.deployment.request(self, address, message, timeout_seconds)

    async def read_all(self, table: str) -> TableRows:
        await self.thawed.wait()
        rows = await self.deployment.store.read_all(table)
        await self.thawed.wait()
        return rows

    async def commit(self, writes: Sequence[Write]) -> int:
        await self.thawed.wait()
        version = await self.deployment.store.commit(writes)
        await self.thawed.wait()
        return version


class Deployment:
    """Proxies, a network between them, a store, and what arrived at databases."""

    def __init__(
        self, count: int, organisations: Sequence[Organisation], seed: int
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.store = SimulatedStore(self.rng)
        self.loss = 0.0
        self.late = 0.0
        self.messages = 0
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.offered: dict[str, int] = defaultdict(int)
        self.rejected: dict[str, int] = defaultdict(int)
        self.rejected_at: dict[str, list[float]] = defaultdict(list)
        self.configurations: list[tuple[float, Organisations]] = []
        self.configure(organisations)
        self.proxies = [SimulatedProxy(self, number) for number in range(count)]
        self._by_address = {proxy.address: proxy for proxy in self.proxies}
        self._views: dict[tuple[object, ...], tuple[Member, ...]] = {}
        for proxy in self.proxies:
            proxy.start()

    def configure(self, organisations: Sequence[Organisation]) -> None:
        at = virtual_now()
        known = Organisations.of((each, ()) for each in organisations)
        self.configurations.append((at, known))

    def organisations_at(self, proxy: SimulatedProxy) -> Organisations:
        """Return the configuration at a proxy, which gets it up to 4 s late."""
        known = virtual_now() - proxy.number % 5
        return [each for at, each in self.configurations if at <= known or at == 0][-1]

    def view(self, proxy: SimulatedProxy) -> Members:
        """Return a proxy's view of the members, which is up to 3 s old."""
        period = int((virtual_now() + proxy.number % 7 / 2) / 3)
        key = (period, proxy.group)
        members = self._views.get(key)
        if members is None:
            states = tuple(
                (p.start_number, p.group, p.task is None) for p in self.proxies
            )
            members = tuple(
                Member(
                    each.address,
                    each.name,
                    "zone",
                    start,
                    state=(
                        MemberState.ALIVE
                        if group == proxy.group and not is_down
                        else MemberState.DEAD
                    ),
                )
                for each, (start, group, is_down) in zip(
                    self.proxies, states, strict=True
                )
            )
            self._views[key] = members
        me = members[proxy.number]
        if proxy.view is None or proxy.view_source is not members:
            own = Member(me.address, me.name, "zone", proxy.start_number)
            others = tuple(each for each in members if each.address != me.address)
            proxy.view, proxy.view_source = Members(own, others), members
        return proxy.view

    async def request(
        self,
        sender: SimulatedProxy,
        address: str,
        message: Message,
        timeout_seconds: float,
    ) -> Message:
        self.messages += 1
        target = self._by_address[address]
        data = encode(message)
        sent = asyncio.create_task(self._deliver(sender, target, data))
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await asyncio.shield(sent)
        except TimeoutError as error:
            raise PeerLostError("no reply") from error
        if reply is None:
            raise PeerRefusedError("unreachable")
        decoded = decode(reply).unwrap()
        if isinstance(decoded, Refused):
            raise PeerRefusedError(decoded.code)
        return decoded

    async def _deliver(
        self, sender: SimulatedProxy, target: SimulatedProxy, data: bytes
    ) -> bytes | None:
        await self._transfer(sender, target)
        if target.quotas is None:
            return None
        replies: list[bytes] = []
        target.quotas.receive(
            decode(data).unwrap(), lambda each: replies.append(encode(each))
        )
        await self._transfer(target, sender)
        return replies[0]

    async def _transfer(self, sender: SimulatedProxy, target: SimulatedProxy) -> None:
        await sender.thawed.wait()
        if sender.group != target.group or self.rng.random() < self.loss:
            await pass_time(60.0)
            return
        is_late = self.rng.random() < self.late
        await pass_time(self.rng.uniform(0.0005, 0.002) + is_late * self.rng.random())
        await target.thawed.wait()

    def allocators(self) -> list[SimulatedProxy]:
        """Return the proxies that the rows of the store name."""
        addresses = {
            decode_json(row.value, LeaseModel).address
            for row in self.store.rows.values()
        }
        return [each for each in self.proxies if each.address in addresses]

    async def operate(self, organisation: str, proxy: SimulatedProxy) -> bool:
        """Run one operation, and return True if it was admitted."""
        if proxy.quotas is None or not proxy.thawed.is_set():
            return False
        found = self.organisations_at(proxy).by_name[organisation]
        self.offered[organisation] += 1
        quotas = proxy.quotas
        if await quotas.admit(found, 3.0) is not None:
            self.rejected[organisation] += 1
            self.rejected_at[organisation].append(virtual_now())
            return False
        if proxy.quotas is quotas:
            at = virtual_now() + self.rng.uniform(0.0, 0.01)
            self.arrivals[organisation].append(at)
        return True

    async def send(
        self,
        organisation: str,
        rate: float,
        seconds: float,
        choose: Callable[[], SimulatedProxy] | None = None,
    ) -> None:
        """Send operations at random times, each to a proxy that `choose` returns."""
        until = virtual_now() + seconds
        tasks = set()
        while virtual_now() < until:
            await pass_time(self.rng.expovariate(rate))
            proxy = choose() if choose else self.rng.choice(self.proxies)
            task = asyncio.create_task(self._send_one(organisation, proxy))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def _send_one(self, organisation: str, proxy: SimulatedProxy) -> None:
        await self.operate(organisation, proxy)

    def most_in_a_window(self, organisation: str, since: float = 0.0) -> int:
        """Return the most operations in any sliding window that begins at `since`."""
        times = sorted(at for at in self.arrivals[organisation] if at >= since)
        most = 0
        for index, at in enumerate(times):
            first = bisect_left(times, at - WINDOW_SECONDS)
            most = max(most, index - first + 1)
        return most

    async def close(self) -> None:
        for proxy in self.proxies:
            proxy.thawed.set()
            await proxy.kill()


def allowed(quota: Quota) -> float:
    """Return how many operations may arrive in a window, as the requirement says."""
    return (quota.rate_per_second * WINDOW_SECONDS + quota.burst) * 1.1 + 20
