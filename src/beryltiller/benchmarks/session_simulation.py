"""Simulation of sessions over database groups on a virtual clock.

The session benchmark runs it once for each size, pair of lags and read strategy.
"""

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
from beryltiller.consistency.session import Planner, SessionClaim
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
# The interval at which a proxy reads the status of each database.
PROBE_SECONDS = 0.5
SAME_ZONE_SECONDS = 0.000_1
OTHER_ZONE_SECONDS = 0.000_5
# The mean pause of a caller between two statements.
THINK_SECONDS = 0.3
MAX_AGE_SECONDS = 5.0
TIMEOUT_SECONDS = 5.0
# The baseline guesses that replicas have a write after this time.
GUESS_SECONDS = 1.0
WRITE_SHARE = 0.1
AGED_SHARE = 0.15
TOKENLESS_SHARE = 0.02


@unique
class ReadStrategy(Enum):
    """How the database of a read is chosen.

    The planner uses the session's position; the baselines read from the primary alone,
    or from any replica `GUESS_SECONDS` after the session's last write.
    """

    PLANNER = "planner"
    PRIMARY = "primary-only"
    GUESS = "fixed-guess"


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """The size of a user's system: availability zones, and slots of each database."""

    name: str
    zones: int
    slots: int


@dataclass(slots=True)
class SimulatedCounts:
    """The counts of one run's reads.

    `stale` counts reads that missed the caller's own last write, `non_monotonic` those
    at an older position than the caller's previous read, and `too_old` those that
    exceeded the maximum age. `behind` counts refusals by databases, after which the
    read may be tried again, `refused` the reads that failed.
    """

    reads: int = 0
    by_replica: int = 0
    stale: int = 0
    non_monotonic: int = 0
    too_old: int = 0
    refused: int = 0
    behind: int = 0
    position_requests: int = 0
    read_seconds: list[float] = field(default_factory=list)

    @property
    def replica_share(self) -> float:
        """The fraction of the reads that replicas served."""
        return self.by_replica / self.reads

    def row(self) -> str:
        """Return the counts as the columns of a table's row."""
        times = sorted(self.read_seconds)
        median = times[len(times) // 2] * 1000
        p99 = times[len(times) * 99 // 100] * 1000
        share = 100 * self.replica_share
        return (
            f"{self.reads:6} {share:8.1f} {self.stale:6} {self.non_monotonic:6}"
            f" {self.too_old:7} {self.refused:7} {self.behind / self.reads:10.3f}"
            f" {self.position_requests:9} {median:7.1f} {p99:7.1f}"
        )


@dataclass(slots=True)
class Caller:
    """A caller's session, and the positions of its last write and newest read.

    A read at an older position than either is counted as stale or non-monotonic.
    """

    group: str
    session: Session
    written_position: Position = ORIGIN
    read_position: Position = ORIGIN
    written_at: float = float("-inf")


# A process yields the seconds until its next step.
SimulatedProcess = Generator[float, None, None]


class Simulation:
    """One run of the benchmark: a read strategy at one size and lag of the replicas."""

    def __init__(
        self,
        size: DeploymentSize,
        lags: tuple[float, float],
        strategy: ReadStrategy,
        seed: int,
        timeout_seconds: float,
    ) -> None:
        """Create the groups and proxies; `lags` are the replicas' lags in seconds."""
        self.now = 0.0
        self.counts = SimulatedCounts()
        self._size = size
        self._strategy = strategy
        self._timeout_seconds = timeout_seconds
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, SimulatedProcess]] = []
        self._scheduled_count = 0
        self._groups = {
            name: SimulatedGroup.create(name, (0.0, *lags))
            for name in (f"g{number}" for number in range(GROUPS))
        }
        self._slots_free_at = {
            name: [0.0] * size.slots
            for group in self._groups.values()
            for name in group.databases
        }
        self._planners = [self._create_planner(number) for number in range(PROXIES)]

    def run(self, seconds: float, sessions: int) -> SimulatedCounts:
        """Run the sessions for some virtual seconds, and return the counts."""
        for number in range(sessions):
            caller = Caller(f"g{number % GROUPS}", Session(f"s{number}"))
            self._schedule(
                self._run_caller(caller), self._rng.uniform(0, THINK_SECONDS)
            )
        for proxy in range(PROXIES):
            self._schedule(self._run_probes(proxy), self._rng.uniform(0, PROBE_SECONDS))
        while self._events and self._events[0][0] <= seconds:
            self.now, _, process = heapq.heappop(self._events)
            try:
                delay = next(process)
            except StopIteration:
                continue
            self._schedule(process, delay)
        return self.counts

    def _schedule(self, process: SimulatedProcess, delay: float) -> None:
        """Schedule the next step of a process after a delay in seconds."""
        self._scheduled_count += 1
        heapq.heappush(self._events, (self.now + delay, self._scheduled_count, process))

    def _zone_name(self, number: int) -> str:
        """Return the availability zone of the host with this number."""
        return f"zone-{number % self._size.zones}"

    def _create_planner(self, number: int) -> Planner:
        """Create a proxy's planner, configured with all groups."""
        policy = RoutingPolicy(self._zone_name(number))
        planner = Planner(policy, random.Random(number))
        for name, group in self._groups.items():
            views = (
                DatabaseView(database, self._zone_name(index))
                for index, database in enumerate(group.databases)
            )
            planner.configure(name, views)
            planner.record_term(name, group.term, group.primary, True)
        return planner

    def _run_probes(self, proxy: int) -> SimulatedProcess:
        """Record each database's status at a proxy every `PROBE_SECONDS`."""
        while True:
            for name, group in self._groups.items():
                group.replicate(self.now)
                for database in group.databases.values():
                    status = database.status()
                    self._planners[proxy].record_status(
                        name, status, self.now, self.now
                    )
            yield PROBE_SECONDS

    def _run_caller(self, caller: Caller) -> SimulatedProcess:
        """Send one caller's statements, each to a random proxy."""
        while True:
            draw = self._rng.random()
            proxy = self._rng.randrange(PROXIES)
            if draw < WRITE_SHARE:
                yield from self._write(caller, proxy)
            elif draw < WRITE_SHARE + AGED_SHARE:
                yield from self._read(caller, proxy, Kind.AGED_READ)
            else:
                yield from self._read(caller, proxy, Kind.READ)
            yield self._rng.expovariate(1 / THINK_SECONDS)

    def _write(self, caller: Caller, proxy: int) -> SimulatedProcess:
        """Write at the primary, and keep the session and the position."""
        claim = SessionClaim(caller.session)
        verdict = yield from self._serve_statement(caller, proxy, Kind.WRITE, claim)
        if isinstance(verdict, Done):
            caller.session = verdict.served.session
            caller.written_position = verdict.answer.position
            caller.written_at = self.now

    def _read(self, caller: Caller, proxy: int, kind: Kind) -> SimulatedProcess:
        """Read with this run's strategy, and count the result."""
        started_at = self.now
        if self._strategy is ReadStrategy.PLANNER:
            yield from self._read_with_planner(caller, proxy, kind)
        else:
            database = self._choose_baseline_database(caller, kind)
            yield from self._occupy_database(proxy, database)
            answer = self._database(database).run(Statement(kind, b""), self.now)
            self._count_read(caller, database, answer, kind)
        self.counts.read_seconds.append(self.now - started_at)

    def _choose_baseline_database(self, caller: Caller, kind: Kind) -> str:
        """Return the database that a baseline reads from."""
        group = self._groups[caller.group]
        is_recent = self.now - caller.written_at < GUESS_SECONDS
        if self._strategy is ReadStrategy.PRIMARY or (kind is Kind.READ and is_recent):
            return group.primary
        names = [name for name in group.databases if name != group.primary]
        return self._rng.choice(names)

    def _read_with_planner(
        self, caller: Caller, proxy: int, kind: Kind
    ) -> SimulatedProcess:
        """Serve one read by the planner, and count the result."""
        is_tokenless = self._rng.random() < TOKENLESS_SHARE
        is_known = kind is Kind.AGED_READ or not is_tokenless
        claim = SessionClaim(caller.session, is_known)
        verdict = yield from self._serve_statement(caller, proxy, kind, claim)
        if not isinstance(verdict, Done):
            self.counts.refused += 1
            return
        caller.session = verdict.served.session
        self._count_read(caller, verdict.database, verdict.answer, kind)

    def _serve_statement(
        self, caller: Caller, proxy: int, kind: Kind, claim: SessionClaim
    ) -> Generator[float, None, Verdict]:
        """Serve one statement by the planner; its effects take virtual time."""
        work = Work(kind, self.now + self._timeout_seconds, "", not kind.is_write)
        age = MAX_AGE_SECONDS if kind is Kind.AGED_READ else None
        job = Job(caller.group, work, claim, b"", lambda: True, age)
        steps = serve(self._planners[proxy], job, self.now, self._rng)
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
                    result = yield from self._run_statement(proxy, database, statement)
                case AskPrimaryPosition(database=database):
                    self.counts.position_requests += 1
                    yield self._one_way(proxy, database)
                    result = self._database(database).status()
                    yield self._one_way(proxy, database)
                case Sleep(seconds) | WaitForTerm(seconds=seconds):
                    yield seconds
            reply = Reply(self.now, sent_at, result)

    def _run_statement(
        self, proxy: int, database: str, statement: Statement
    ) -> Generator[float, None, Result]:
        """Run a statement at a database; a refused one takes no slot."""
        yield self._one_way(proxy, database)
        try:
            self._database(database).check_allowed(statement)
        except RefusedError as error:
            self.counts.behind += 1
            yield self._one_way(proxy, database)
            return Refused(error.code)
        yield from self._execute(database)
        answer = self._database(database).run(statement, self.now)
        answer = replace(answer, load=self._current_load(database))
        yield self._one_way(proxy, database)
        return Answered(answer)

    def _database(self, name: str) -> SimulatedDatabase:
        """Return a database after replication up to the present time."""
        group = self._groups[name.rpartition("-")[0]]
        group.replicate(self.now)
        return group.databases[name]

    def _occupy_database(self, proxy: int, database: str) -> SimulatedProcess:
        """Take the time of a round trip to a database and of the execution there."""
        yield 2 * self._one_way(proxy, database)
        yield from self._execute(database)

    def _execute(self, database: str) -> SimulatedProcess:
        """Occupy the first free slot of a database for a random time."""
        free_at = self._slots_free_at[database]
        start = max(free_at[0], self.now)
        end = start + self._rng.expovariate(1 / SERVICE_SECONDS)
        heapq.heapreplace(free_at, end)
        yield end - self.now

    def _current_load(self, database: str) -> Load:
        """Return a database's load, with the number of occupied slots."""
        free_at = self._slots_free_at[database]
        return Load(len(free_at), sum(end > self.now for end in free_at))

    def _one_way(self, proxy: int, database: str) -> float:
        """Return the one-way latency from a proxy to a database, in seconds."""
        index = int(database.rpartition("-")[2]) - 1
        if self._zone_name(proxy) == self._zone_name(index):
            return SAME_ZONE_SECONDS
        return OTHER_ZONE_SECONDS

    def _count_read(
        self, caller: Caller, database: str, answer: EndpointAnswer, kind: Kind
    ) -> None:
        """Count one answered read, and which guarantees it broke."""
        group = self._groups[caller.group]
        counts = self.counts
        counts.reads += 1
        counts.by_replica += database != group.primary
        counts.stale += answer.position < caller.written_position
        counts.non_monotonic += answer.position < caller.read_position
        entries = group.primary_log.entries
        if kind is Kind.AGED_READ and answer.position.index < len(entries):
            missing = entries[answer.position.index]
            counts.too_old += self.now - missing.written_at > MAX_AGE_SECONDS
        caller.read_position = max(caller.read_position, answer.position)
