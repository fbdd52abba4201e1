"""A group of databases with slots and queues, and proxies that choose among them.

Each proxy knows only what its own statements showed. All run on the virtual clock
without a network, so the same seed gives the same run. A `Choice` is a way to choose;
`placed` is that of the product, and `least_cost` the one that it replaced.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from statistics import fmean, pstdev

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.placement import Placer, ReadRequirement
from beryltiller.sessions.statements import DatabaseStatus
from tests.virtual_loop import run_virtual, virtual_now

SLOTS = 4
QUEUE = 60
WORK_SECONDS = 0.026
HOP_SECONDS = 0.0005
# The share of the slots that the load occupies.
UTILISATION = 0.75
# The same of the capacity that counts if a database turns slow or faulty.
REDUCED_CAPACITY = 0.7
RUN_SECONDS = 12.0
# Nothing is measured before the proxies have made observations.
WARM_UP_SECONDS = 4.0
SAMPLE_SECONDS = 0.02
# The wait that a statement refused by two databases counts with.
REFUSED_WAIT_SECONDS = 2.0

Choice = Callable[[Group, float, frozenset[str], random.Random, int], Member]


@dataclass
class QueueingDatabase:
    """A database that runs some statements at a time and queues others.

    A statement takes `slowness` times its work. `error_share` of the statements are
    answered with an error at once.
    """

    name: str
    slots: int = SLOTS
    slowness: float = 1.0
    error_share: float = 0.0
    running: int = 0
    arrivals: int = 0
    waiting: deque[tuple[float, Callable[[float], None]]] = field(default_factory=deque)

    @property
    def load(self) -> float:
        """Return the statements here over the slots."""
        return (self.running + len(self.waiting)) / self.slots

    def arrive(self, on_start: Callable[[float], None]) -> bool:
        """Start or queue a statement; return False if the queue is full."""
        self.arrivals += 1
        if self.running < self.slots:
            self.running += 1
            on_start(0.0)
        elif len(self.waiting) < QUEUE:
            self.waiting.append((virtual_now(), on_start))
        else:
            return False
        return True

    def finish(self) -> None:
        self.running -= 1
        if self.waiting:
            arrived, on_start = self.waiting.popleft()
            self.running += 1
            on_start(virtual_now() - arrived)


@dataclass(frozen=True)
class Spread:
    """What a run showed: the spread of the loads, and the waits in seconds.

    `variation` is the standard deviation of the databases' loads, averaged over time,
    and `shares` are the databases' shares of the statements.
    """

    variation: float
    p99_wait: float
    shares: tuple[float, ...]


@dataclass(frozen=True)
class Scenario:
    """Databases, and a change of one of them after the warm-up."""

    slots: tuple[int, ...] = (SLOTS, SLOTS, SLOTS)
    slowness: tuple[float, ...] = (1.0, 1.0, 1.0)
    late_slowness: float = 1.0
    error_share: float = 0.0


EQUAL = Scenario()
UNEQUAL = Scenario(slots=(4, 4, 2), slowness=(1.0, 1.0, 1.5))
TURNS_SLOW = Scenario(late_slowness=3.0)
ERRORS = Scenario(error_share=0.5)


def least_cost(
    group: Group, now: float, tried: frozenset[str], rng: random.Random, proxies: int
) -> Member:
    """Choose the least cost by this proxy's own observations, as before this work."""
    members = [each for name, each in group.members.items() if name not in tried]
    return min(members, key=unaged_cost)


def unaged_cost(member: Member) -> float:
    """Return a database's latency times its own statements over the slots."""
    slots = member.database.slots
    return member.observed.latency_seconds * (1 + member.in_flight / slots)


def placed(
    group: Group, now: float, tried: frozenset[str], rng: random.Random, proxies: int
) -> Member:
    """Choose by the product's placement."""
    placer = Placer("z", count_proxies=lambda: proxies)
    placement = placer.place_read(group, ReadRequirement(0.0), now, tried)
    assert placement is not None
    return placement.member


class LoadSpread:
    """One run of a scenario with a number of proxies and a choice."""

    def __init__(
        self, scenario: Scenario, proxies: int, choice: Choice, seed: int
    ) -> None:
        self._scenario = scenario
        self._choice = choice
        self._arrivals_rng = random.Random(seed)
        self._choice_rng = random.Random(seed + 1000)
        self._databases = {
            name: QueueingDatabase(name, slots, slowness)
            for name, slots, slowness in zip(
                ("p", "r1", "r2"), scenario.slots, scenario.slowness, strict=True
            )
        }
        self._groups = [self._create_group() for _ in range(proxies)]
        self._variations: list[float] = []
        self._waits: list[float] = []

    def run(self) -> Spread:
        return run_virtual(self._run())

    def _create_group(self) -> Group:
        group = Group("s")
        entries = tuple(
            Database(name, "s", "127.0.0.1:1", "z", each.slots, name == "p", False)
            for name, each in self._databases.items()
        )
        group.update(entries, 0.0)
        leader = group.members["p"]
        position = Position(1, 4)
        group.record_status(leader, DatabaseStatus(True, 1, position, 0), 0.0)
        group.record_position(leader, position, 0.0)
        group.record_commit(leader, 0.0, position)
        return group

    async def _run(self) -> Spread:
        loop = asyncio.get_running_loop()
        loop.call_later(0.0, self._arrive)
        await asyncio.sleep(WARM_UP_SECONDS)
        last = self._databases["r2"]
        last.slowness *= self._scenario.late_slowness
        last.error_share = self._scenario.error_share
        before = [each.arrivals for each in self._databases.values()]
        while virtual_now() < RUN_SECONDS:
            await asyncio.sleep(SAMPLE_SECONDS)
            self._variations.append(
                pstdev(each.load for each in self._databases.values())
            )
        counts = [
            each.arrivals - earlier
            for each, earlier in zip(self._databases.values(), before, strict=True)
        ]
        waits = sorted(self._waits)
        return Spread(
            fmean(self._variations),
            waits[int(0.99 * len(waits))],
            tuple(count / sum(counts) for count in counts),
        )

    def _rate(self) -> float:
        scenario = self._scenario
        capacity = sum(
            slots / slowness
            for slots, slowness in zip(scenario.slots, scenario.slowness, strict=True)
        )
        if scenario.late_slowness > 1 or scenario.error_share:
            capacity *= REDUCED_CAPACITY
        return UTILISATION * capacity / WORK_SECONDS

    def _arrive(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._arrivals_rng.expovariate(self._rate()), self._arrive)
        group = self._arrivals_rng.choice(self._groups)
        work = self._arrivals_rng.expovariate(1 / WORK_SECONDS)
        self._send(group, work, frozenset())

    def _send(self, group: Group, work: float, tried: frozenset[str]) -> None:
        loop = asyncio.get_running_loop()
        now = virtual_now()
        member = self._choice(group, now, tried, self._choice_rng, len(self._groups))
        database = self._databases[member.database.identifier]
        member.record_sent(now)

        def arrive() -> None:
            is_error = self._choice_rng.random() < database.error_share
            if is_error:
                database.arrivals += 1
            if is_error or not database.arrive(start):
                loop.call_later(HOP_SECONDS, refuse)

        def refuse() -> None:
            member.record_end(virtual_now(), True)
            member.observed.record_error(virtual_now())
            if len(tried) < 1:
                self._send(group, work, tried | {database.name})
            else:
                self._record_wait(REFUSED_WAIT_SECONDS)

        def start(waited: float) -> None:
            self._record_wait(waited)
            loop.call_later(work * database.slowness, end)

        def end() -> None:
            database.finish()
            loop.call_later(HOP_SECONDS, reply)

        def reply() -> None:
            member.record_end(virtual_now(), True)
            member.observed.record_answer(virtual_now() - now, virtual_now())

        loop.call_later(HOP_SECONDS, arrive)

    def _record_wait(self, seconds: float) -> None:
        if virtual_now() >= WARM_UP_SECONDS:
            self._waits.append(seconds)


def mean_spread(
    scenario: Scenario, proxies: int, choice: Choice, seeds: Sequence[int]
) -> Spread:
    """Return the means of runs with several seeds."""
    runs = [LoadSpread(scenario, proxies, choice, seed).run() for seed in seeds]
    return Spread(
        fmean(each.variation for each in runs),
        fmean(each.p99_wait for each in runs),
        tuple(map(fmean, zip(*(each.shares for each in runs), strict=True))),
    )
