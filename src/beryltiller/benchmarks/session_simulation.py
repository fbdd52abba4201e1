"""Serve reads over simulated groups on a virtual clock, in one of several ways."""

import heapq
import random
from collections.abc import Generator
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from typing import cast

from beryltiller.consistency.attempts import Answered, Refused, Result, Work
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    DatabaseView,
    RoutingPolicy,
    WaitForTerm,
)
from beryltiller.consistency.serving import Done, Job, Reply, Run, Sleep, Verdict, serve
from beryltiller.consistency.session import Claim, Planner
from beryltiller.consistency.tokens import Session
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import (
    EndpointAnswer,
    EndpointStatus,
    Load,
    RefusedError,
    Statement,
)
from beryltiller.core.position import ORIGIN, Position
from beryltiller.standins.simulated_group import SimulatedDatabase, SimulatedGroup

GROUPS = 3
PROXIES = 5
SERVICE_SECONDS = 0.003
PROBE_SECONDS = 0.5
SAME_ZONE_SECONDS = 0.000_1
OTHER_ZONE_SECONDS = 0.000_5
THINK_SECONDS = 0.3
MAX_AGE_SECONDS = 5.0
TIMEOUT_SECONDS = 5.0
GUESS_SECONDS = 1.0
WRITE_SHARE = 0.1
AGED_SHARE = 0.15
TOKENLESS_SHARE = 0.02


@unique
class Way(Enum):
    """Name the ways of serving reads that are compared."""

    PLANNER = "planner"
    PRIMARY = "primary-only"
    GUESS = "fixed-guess"


@dataclass(frozen=True, slots=True)
class Size:
    """Hold a user's size: availability zones, and slots of each database."""

    name: str
    zones: int
    slots: int


@dataclass(slots=True)
class Counts:
    """Count what came of the reads of one run."""

    reads: int = 0
    by_replica: int = 0
    stale: int = 0
    older: int = 0
    too_old: int = 0
    refused: int = 0
    behind: int = 0
    questions: int = 0
    read_seconds: list[float] = field(default_factory=list)

    @property
    def replica_share(self) -> float:
        """Return the part of the reads that replicas served."""
        return self.by_replica / self.reads

    def row(self) -> str:
        """Return the counts as columns."""
        times = sorted(self.read_seconds)
        middle = times[len(times) // 2] * 1000
        late = times[len(times) * 99 // 100] * 1000
        share = 100 * self.replica_share
        return (
            f"{self.reads:6} {share:8.1f} {self.stale:6} {self.older:6}"
            f" {self.too_old:7} {self.refused:7} {self.behind / self.reads:10.3f}"
            f" {self.questions:9} {middle:7.1f} {late:7.1f}"
        )


@dataclass(slots=True)
class Caller:
    """Hold a caller's session and the positions that it must not go back behind."""

    group: str
    session: Session
    wrote: Position = ORIGIN
    read: Position = ORIGIN
    wrote_at: float = float("-inf")


Wait = Generator[float, None, None]


class Simulation:
    """Run one way of serving at one size and lag."""

    def __init__(
        self,
        size: Size,
        lags: tuple[float, float],
        way: Way,
        seed: int,
        timeout_seconds: float,
    ) -> None:
        """Lay out groups, proxies and the first events."""
        self.now = 0.0
        self.counts = Counts()
        self._size = size
        self._way = way
        self._timeout_seconds = timeout_seconds
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Wait]] = []
        self._started = 0
        self._groups = {
            name: SimulatedGroup.create(name, (0.0, *lags))
            for name in (f"g{number}" for number in range(GROUPS))
        }
        self._busy = {
            name: [0.0] * size.slots
            for group in self._groups.values()
            for name in group.databases
        }
        self._proxies = [self._proxy(number) for number in range(PROXIES)]

    def run(self, seconds: float, sessions: int) -> Counts:
        """Serve the sessions for some virtual seconds and return the counts."""
        for number in range(sessions):
            caller = Caller(f"g{number % GROUPS}", Session(f"s{number}"))
            self._start(self._call(caller), self._random.uniform(0, THINK_SECONDS))
        for proxy in range(PROXIES):
            self._start(self._probe(proxy), self._random.uniform(0, PROBE_SECONDS))
        while self._events and self._events[0][0] <= seconds:
            self.now, _, wait = heapq.heappop(self._events)
            try:
                delay = next(wait)
            except StopIteration:
                continue
            self._start(wait, delay)
        return self.counts

    def _start(self, wait: Wait, delay: float) -> None:
        """Go on with a generator after a delay."""
        self._started += 1
        heapq.heappush(self._events, (self.now + delay, self._started, wait))

    def _zone(self, number: int) -> str:
        """Return the zone of the host with this number."""
        return f"zone-{number % self._size.zones}"

    def _proxy(self, number: int) -> Planner:
        """Return a proxy's planner that knows all groups."""
        policy = RoutingPolicy(self._zone(number))
        planner = Planner(policy, random.Random(number))
        for name, group in self._groups.items():
            views = (
                DatabaseView(database, self._zone(index))
                for index, database in enumerate(group.databases)
            )
            planner.configure(name, views)
            planner.record_term(name, group.term, group.primary, True)
        return planner

    def _probe(self, proxy: int) -> Wait:
        """Let a proxy ask each database for its status from time to time."""
        while True:
            for name, group in self._groups.items():
                group.replicate(self.now)
                for database in group.databases.values():
                    status = database.status()
                    self._proxies[proxy].record_status(name, status, self.now, self.now)
            yield PROBE_SECONDS

    def _call(self, caller: Caller) -> Wait:
        """Send one caller's statements, each to a random proxy."""
        while True:
            draw = self._random.random()
            proxy = self._random.randrange(PROXIES)
            if draw < WRITE_SHARE:
                yield from self._write(caller, proxy)
            elif draw < WRITE_SHARE + AGED_SHARE:
                yield from self._read(caller, proxy, Kind.AGED_READ)
            else:
                yield from self._read(caller, proxy, Kind.READ)
            yield self._random.expovariate(1 / THINK_SECONDS)

    def _write(self, caller: Caller, proxy: int) -> Wait:
        """Write at the primary and keep the token and the position."""
        claim = Claim(caller.session)
        verdict = yield from self._serve(caller, proxy, Kind.WRITE, claim)
        if isinstance(verdict, Done):
            caller.session = verdict.served.session
            caller.wrote = verdict.answer.position
            caller.wrote_at = self.now

    def _read(self, caller: Caller, proxy: int, kind: Kind) -> Wait:
        """Read by this run's way and check the answer."""
        started_at = self.now
        if self._way is Way.PLANNER:
            yield from self._planned_read(caller, proxy, kind)
        else:
            database = self._guess(caller, kind)
            yield from self._work(proxy, database)
            answer = self._database(database).run(Statement(kind, b""), self.now)
            self._count(caller, database, answer, kind)
        self.counts.read_seconds.append(self.now - started_at)

    def _guess(self, caller: Caller, kind: Kind) -> str:
        """Return the database that a baseline reads from."""
        group = self._groups[caller.group]
        is_recent = self.now - caller.wrote_at < GUESS_SECONDS
        if self._way is Way.PRIMARY or (kind is Kind.READ and is_recent):
            return group.primary
        names = [name for name in group.databases if name != group.primary]
        return self._random.choice(names)

    def _planned_read(self, caller: Caller, proxy: int, kind: Kind) -> Wait:
        """Serve one read by the planner and check the answer."""
        is_tokenless = self._random.random() < TOKENLESS_SHARE
        is_known = kind is Kind.AGED_READ or not is_tokenless
        claim = Claim(caller.session, is_known)
        verdict = yield from self._serve(caller, proxy, kind, claim)
        if not isinstance(verdict, Done):
            self.counts.refused += 1
            return
        caller.session = verdict.served.session
        self._count(caller, verdict.database, verdict.answer, kind)

    def _serve(
        self, caller: Caller, proxy: int, kind: Kind, claim: Claim
    ) -> Generator[float, None, Verdict]:
        """Carry out the effects of one statement on the virtual clock."""
        work = Work(kind, self.now + self._timeout_seconds, "", not kind.is_write)
        age = MAX_AGE_SECONDS if kind is Kind.AGED_READ else None
        job = Job(caller.group, work, claim, b"", lambda: True, age)
        steps = serve(self._proxies[proxy], job, self.now, self._random)
        reply: Reply | None = None
        while True:
            try:
                effect = next(steps) if reply is None else steps.send(reply)
            except StopIteration as stop:
                return cast(Verdict, stop.value)
            sent_at = self.now
            result: Result | EndpointStatus | None = None
            match effect:
                case Run(database, statement):
                    result = yield from self._run(proxy, database, statement)
                case AskPrimaryPosition(database=database):
                    self.counts.questions += 1
                    yield self._one_way(proxy, database)
                    result = self._database(database).status()
                    yield self._one_way(proxy, database)
                case Sleep(seconds) | WaitForTerm(seconds=seconds):
                    yield seconds
            reply = Reply(self.now, sent_at, result)

    def _run(
        self, proxy: int, database: str, statement: Statement
    ) -> Generator[float, None, Result]:
        """Run a statement at a database; one that is refused takes no slot."""
        yield self._one_way(proxy, database)
        try:
            self._database(database).check_allowed(statement)
        except RefusedError as error:
            self.counts.behind += 1
            yield self._one_way(proxy, database)
            return Refused(error.code)
        yield from self._execute(database)
        answer = self._database(database).run(statement, self.now)
        answer = replace(answer, load=self._load(database))
        yield self._one_way(proxy, database)
        return Answered(answer)

    def _database(self, name: str) -> SimulatedDatabase:
        """Return a database with what has reached it by now."""
        group = self._groups[name.rpartition("-")[0]]
        group.replicate(self.now)
        return group.databases[name]

    def _work(self, proxy: int, database: str) -> Wait:
        """Go to a database, execute there and come back."""
        yield 2 * self._one_way(proxy, database)
        yield from self._execute(database)

    def _execute(self, database: str) -> Wait:
        """Take the first free slot of a database for a random time."""
        busy = self._busy[database]
        start = max(busy[0], self.now)
        end = start + self._random.expovariate(1 / SERVICE_SECONDS)
        heapq.heapreplace(busy, end)
        yield end - self.now

    def _load(self, database: str) -> Load:
        """Return how many slots of a database are taken."""
        busy = self._busy[database]
        return Load(len(busy), sum(end > self.now for end in busy))

    def _one_way(self, proxy: int, database: str) -> float:
        """Return the seconds from a proxy's zone to a database's."""
        index = int(database.rpartition("-")[2]) - 1
        if self._zone(proxy) == self._zone(index):
            return SAME_ZONE_SECONDS
        return OTHER_ZONE_SECONDS

    def _count(
        self, caller: Caller, database: str, answer: EndpointAnswer, kind: Kind
    ) -> None:
        """Count one answered read and what it broke."""
        group = self._groups[caller.group]
        counts = self.counts
        counts.reads += 1
        counts.by_replica += database != group.primary
        counts.stale += answer.position < caller.wrote
        counts.older += answer.position < caller.read
        entries = group.primary_log.entries
        if kind is Kind.AGED_READ and answer.position.index < len(entries):
            missing = entries[answer.position.index]
            counts.too_old += self.now - missing.written_at > MAX_AGE_SECONDS
        caller.read = max(caller.read, answer.position)
