"""Randomized test of evidence: answers, promotions, restarts and late entries.

The model knows which log holds what. Answers are recorded late and in any order, and
changes of the databases' entries are learned in any order.
"""

import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.evidence import TERM_PROOF_SECONDS
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.statements import NO_POSITION, DatabaseStatus

NAMES = ("a", "b", "c")
AGES_SECONDS = (0.0, 0.2, 0.6, 1.5)


@dataclass
class ModelDatabase:
    """A database with its log; `incarnation` counts its starts."""

    is_primary: bool
    term: int = 1
    fenced_term: int = 0
    incarnation: int = 0
    log: list[Position] = field(default_factory=list)

    @property
    def log_end(self) -> Position:
        return self.log[-1] if self.log else NO_POSITION

    def follow(self, primary: "ModelDatabase", count: int) -> None:
        """Drop what the primary does not have, and receive its next entries."""
        self.term = primary.term
        while self.log and self.log != primary.log[: len(self.log)]:
            self.log.pop()
        self.log += primary.log[len(self.log) : len(self.log) + count]


@dataclass(frozen=True)
class Answer:
    """An answer that has not been recorded yet, and the log that it came from."""

    member: Member
    asked_at: float
    position: Position
    log: tuple[Position, ...]
    status: DatabaseStatus | None = None
    is_commit: bool = False


class EvidenceMachine:
    """A proxy's group beside the databases that it hears of."""

    def __init__(self) -> None:
        self.now = 10.0
        self.databases = {name: ModelDatabase(name == "a") for name in NAMES}
        self.acknowledged: dict[Position, float] = {}
        self.leader = "a"
        self.promotion: tuple[str, float] | None = None
        self.answers: list[Answer] = []
        self.group = Group("s")
        self.entries = {name: self.entry(name) for name in NAMES}
        self.group.update(tuple(self.entries.values()), self.now)

    def entry(self, name: str) -> Database:
        database = self.databases[name]
        return Database(
            name,
            "s",
            f"{name}:1",
            "z",
            3,
            database.is_primary,
            False,
            database.incarnation,
        )

    @property
    def primary(self) -> ModelDatabase:
        """Return the database that was promoted last, which may have restarted."""
        return self.databases[self.leader]

    def wait(self, seconds: float) -> None:
        self.now += seconds
        if self.promotion is not None and self.now >= self.promotion[1]:
            self.promote(self.promotion[0])

    def write(self, name: str) -> None:
        """Append to the log of a primary, whether or not it is in force."""
        database = self.databases[name]
        if database.is_primary:
            index = database.log_end.index + 1
            database.log.append(Position(database.term, index))

    def replicate(self, name: str, count: int, is_recorded: bool) -> None:
        """Let a replica receive; what it holds is acknowledged, perhaps through us."""
        database, primary = self.databases[name], self.primary
        if not primary.is_primary or database.is_primary or database.fenced_term:
            return
        asked_at = self.now
        self.now += 0.01
        database.follow(primary, count)
        for position in database.log:
            if position.term == primary.term:
                self.acknowledged.setdefault(position, self.now)
        if is_recorded and primary.log_end.term == primary.term:
            self.add_answer(
                self.leader, asked_at, is_commit=database.log == primary.log
            )

    def ask(self, name: str, is_status: bool, delay: float) -> None:
        asked_at = self.now
        since = self.required(self.group.members[name])
        self.now += delay
        database = self.databases[name]
        if is_status:
            status = DatabaseStatus(
                database.is_primary,
                database.term,
                database.log_end,
                database.fenced_term,
            )
            self.add_answer(name, asked_at, status=status)
        elif since is None or database.log_end >= since:
            self.add_answer(name, asked_at)

    def required(self, member: Member) -> Position | None:
        """Return the position that a read at the leader carries."""
        if member is not self.group.leader or member.lead is None:
            return None
        return member.lead.answered

    def add_answer(
        self,
        name: str,
        asked_at: float,
        status: DatabaseStatus | None = None,
        is_commit: bool = False,
    ) -> None:
        database = self.databases[name]
        self.answers.append(
            Answer(
                self.group.members[name],
                asked_at,
                database.log_end,
                tuple(database.log),
                status,
                is_commit,
            )
        )

    def record(self, index: int) -> None:
        """Record an answer, in any order; a proved read must have seen every commit."""
        answer = self.answers.pop(index)
        member, asked_at = answer.member, answer.asked_at
        if answer.status is not None:
            self.group.record_status(member, answer.status, asked_at)
            return
        if answer.is_commit:
            self.group.record_commit(member, asked_at, answer.position)
        self.group.record_position(member, answer.position, asked_at)
        for age in AGES_SECONDS:
            moment = asked_at - age
            if self.group.is_answer_proved(member, answer.position, moment):
                self.check_holds(answer.log, moment)

    def learn_entry(self, name: str) -> None:
        self.entries[name] = self.entry(name)
        self.group.update(tuple(self.entries.values()), self.now)

    def fence(self) -> None:
        """Fence all replicas; the most advanced is promoted once proofs have ended."""
        primary = self.primary
        for database in self.databases.values():
            if database is not primary:
                database.is_primary = False
                database.fenced_term = primary.term + 1
        fenced = [name for name in NAMES if name != self.leader]
        successor = max(fenced, key=lambda name: self.databases[name].log_end)
        self.promotion = successor, self.now + TERM_PROOF_SECONDS

    def promote(self, name: str) -> None:
        self.promotion = None
        self.leader = name
        successor = self.databases[name]
        successor.term = successor.fenced_term
        successor.is_primary = True
        for database in self.databases.values():
            if database.fenced_term and database is not successor:
                database.follow(successor, 0)
            database.fenced_term = 0
        kept = set(successor.log)
        for position in self.acknowledged.keys() - kept:
            del self.acknowledged[position]

    def step_down(self, name: str) -> None:
        """Let a primary that was replaced notice it."""
        database, primary = self.databases[name], self.primary
        if database.is_primary and database is not primary:
            database.is_primary = False
            database.follow(primary, 0)

    def restart(self, name: str) -> None:
        """Let a database restart with an empty log.

        The primary does so only if another is being promoted, and a replica only if
        none is, as it would lose its fence.
        """
        database = self.databases[name]
        if (name == self.leader) == (self.promotion is not None):
            self.databases[name] = ModelDatabase(
                False, self.primary.term, incarnation=database.incarnation + 1
            )

    def survey(self, missing: str) -> None:
        """Survey two databases, unless a restart has not been learned of yet."""
        for name, database in self.databases.items():
            if self.entries[name].incarnation != database.incarnation:
                return
        asked = [self.databases[name] for name in NAMES if name != missing]
        positions = tuple(each.log_end for each in asked)
        if NO_POSITION not in positions:
            self.group.record_survey(positions, self.now)

    def covering_positions_cover(self) -> None:
        """Check that a log which reaches a covering position holds what it covers."""
        for age in AGES_SECONDS:
            moment = self.now - age
            covering = self.group.covering_position(moment)
            for database in self.databases.values():
                if covering is not None and database.log_end >= covering:
                    self.check_holds(tuple(database.log), moment)

    def check_holds(self, log: tuple[Position, ...], moment: float) -> None:
        for position, acknowledged_at in self.acknowledged.items():
            assert acknowledged_at >= moment or position in log, (position, moment, log)


STEPS = 120
RUNS = 1000


def take_step(machine: EvidenceMachine, generator: random.Random) -> None:
    """Take a random step; most answers are recorded soon."""
    name = generator.choice(NAMES)
    actions: dict[Callable[[], None], int] = {
        lambda: machine.wait(generator.choice((0.01, 0.1, 0.3, 0.6))): 6,
        lambda: machine.write(machine.leader): 8,
        lambda: machine.write(name): 1,
        lambda: machine.replicate(
            name, generator.randint(1, 3), generator.random() < 0.5
        ): 10,
        lambda: machine.ask(
            name, generator.random() < 0.3, generator.choice((0.0, 0.05))
        ): 14,
        lambda: machine.learn_entry(name): 3,
        lambda: machine.step_down(name): 1,
        lambda: machine.restart(name): 1,
        lambda: machine.survey(name): 3,
    }
    if machine.promotion is None:
        actions[machine.fence] = 1
    if machine.answers:
        newest = len(machine.answers) - 1
        actions[lambda: machine.record(newest)] = 20
        actions[lambda: machine.record(generator.randint(0, newest))] = 4
    (action,) = generator.choices(list(actions), list(actions.values()))
    action()
    machine.covering_positions_cover()


class EvidencePropertyTest(unittest.TestCase):
    """Evidence never covers less than it claims to."""

    def test_no_read_misses_an_acknowledged_commit(self) -> None:
        """Guards against stale reads by evidence of another database, term or log."""
        for seed in range(RUNS):
            self.run_seed(seed)

    def test_read_at_a_leader_that_restarts_before_its_first_answer(self) -> None:
        """Guards against a stale read: its log was empty when it stated its term."""
        self.run_seed(2281)

    def run_seed(self, seed: int) -> None:
        generator = random.Random(seed)
        machine = EvidenceMachine()
        for _ in range(STEPS):
            take_step(machine, generator)
