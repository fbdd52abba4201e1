"""Random whole sessions that share connections to databases, beside a model of each.

They set values, prepare, execute and use transactions, while databases refuse
statements, cut connections and stay silent. The model of a session says what the
databases may run. A seed gives the same events on each run.
"""

import asyncio
import functools
import random
import unittest
from dataclasses import dataclass, field
from unittest import mock

from beryltiller.sessions.connections import pooled_connection
from beryltiller.sessions.connections.prepared_names import MAX_NAMES, PreparedNames
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Reply,
    Rollback,
    SessionState,
    SetValue,
    Write,
)
from tests.page_group import (
    CUT_AFTER,
    CUT_BEFORE,
    HANG,
    REFUSALS,
    Committed,
    PageGroup,
    RanHere,
    TransactionId,
)
from tests.virtual_loop import run_virtual

SESSIONS = 4
SEEDS = range(120)
STEPS = 80


@dataclass
class ModelTransaction:
    """A transaction of a caller, and those at databases in which it ran."""

    ran_in: set[TransactionId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Sent:
    """A statement that a caller sent, and what its session had at that moment."""

    statement: CallerStatement
    values: tuple[tuple[str, str], ...]
    prepared: Prepare | None
    transaction: ModelTransaction | None
    has_failed: bool


@dataclass
class ModelSession:
    """What a caller knows of its session from the replies that it got."""

    session: Session
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepare] = field(default_factory=dict)
    transaction: ModelTransaction | None = None
    has_failed: bool = False

    def sent(self, statement: CallerStatement) -> Sent:
        prepared = None
        if isinstance(statement, Execute):
            prepared = self.prepared.get(statement.name)
        values = tuple(sorted(self.values.items()))
        return Sent(statement, values, prepared, self.transaction, self.has_failed)

    def receive(self, statement: CallerStatement, reply: Reply) -> None:
        if reply.is_success:
            self._apply(statement)
        self.has_failed = reply.state is SessionState.FAILED
        if reply.state is SessionState.IDLE:
            self.transaction = None
        elif self.transaction is None:
            self.transaction = ModelTransaction()

    def _apply(self, statement: CallerStatement) -> None:
        match statement:
            case SetValue(name, value):
                self.values[name] = value
            case Prepare(name):
                self.prepared[name] = statement
            case Deallocate(name):
                del self.prepared[name]


class Callers:
    """The callers of a group; `problems` lists what must not have happened."""

    def __init__(self, group: PageGroup) -> None:
        self.group = group
        self.models = [ModelSession(group.session()) for _ in range(SESSIONS)]
        self.sent: dict[str, Sent] = {}
        self.replies: dict[str, Reply] = {}
        self.problems: list[str] = []

    async def send(self, number: int, statement: CallerStatement) -> None:
        model = self.models[number]
        identifier = f"i{len(self.sent)}"
        sent = self.sent[identifier] = model.sent(statement)
        reply = await self.group.run(model.session, statement, identifier)
        self.replies[identifier] = reply
        self._check_name(sent, reply, identifier)
        model.receive(statement, reply)

    async def leave(self, number: int) -> None:
        await self.group.service.end_session(self.models[number].session)
        self.models[number] = ModelSession(self.group.session())

    def check(self) -> None:
        """Compare all that ran with what was sent, and the answers with it."""
        owners: dict[TransactionId, ModelTransaction] = {}
        for ran in self.group.record.ran:
            self._check_ran(ran, owners)
        for committed in self.group.record.committed:
            self._check_commit(committed, owners)
        for identifier, reply in self.replies.items():
            self._check_reply(identifier, reply)
        for text in self.group.record.unreadable:
            self.problems.append(f"UNASKED line {text[:80]}")

    def _check_commit(
        self, committed: Committed, owners: dict[TransactionId, ModelTransaction]
    ) -> None:
        sent = self.sent.get(committed.identifier)
        mine = sent.transaction if sent is not None else None
        is_asked = sent is not None and isinstance(sent.statement, Commit)
        owner = owners.setdefault(committed.transaction, mine or ModelTransaction())
        if not is_asked or owner is not mine:
            self.problems.append(f"UNASKED {committed}")

    def _check_name(self, sent: Sent, reply: Reply, identifier: str) -> None:
        if reply.code is Code.NO_SUCH_STATEMENT and sent.prepared is not None:
            self.problems.append(f"PINNED {identifier}: the name is unknown")

    def _check_ran(
        self, here: RanHere, owners: dict[TransactionId, ModelTransaction]
    ) -> None:
        ran = here.ran
        sent = self.sent.get(ran.identifier)
        if sent is None or sent.has_failed:
            self.problems.append(f"UNASKED {ran}")
            return
        self._check_text(here, sent)
        if ran.values != sent.values:
            self.problems.append(f"PINNED {ran}: values are {sent.values}")
        self._check_transaction(here, sent, owners)

    def _check_text(self, here: RanHere, sent: Sent) -> None:
        ran = here.ran
        match sent.statement:
            case Read(item):
                is_right = ran.text == f"READ {item}"
            case Write(item, data):
                is_right = ran.text == f"WRITE {item} {data}"
            case Execute(_, arguments):
                self._check_shape(here, sent)
                is_right = ran.arguments == arguments
            case _:
                is_right = False
        if not is_right:
            self.problems.append(f"UNASKED {ran}: sent {sent.statement}")

    def _check_shape(self, here: RanHere, sent: Sent) -> None:
        ran, prepared = here.ran, sent.prepared
        if prepared is None:
            self.problems.append(f"PINNED {ran}: nothing is prepared")
        elif (ran.is_write, ran.shape) != (prepared.is_write, prepared.shape):
            self.problems.append(f"PINNED {ran}: prepared {prepared}")

    def _check_transaction(
        self, here: RanHere, sent: Sent, owners: dict[TransactionId, ModelTransaction]
    ) -> None:
        mine, there = sent.transaction, here.transaction
        if mine is None or there is None:
            if mine is not None or there is not None:
                self.problems.append(f"PINNED {here}: not in its transaction")
            return
        mine.ran_in.add(there)
        if len(mine.ran_in) > 1 or owners.setdefault(there, mine) is not mine:
            self.problems.append(f"PINNED {here}: in another transaction")

    def _check_promise(
        self, identifier: str, reply: Reply, runs: list[RanHere]
    ) -> None:
        is_promise = reply.code is not None and reply.code.promises_no_effect
        ended = [
            each.transaction
            for each in self.group.record.committed
            if each.identifier == identifier
        ]
        writes = [each for each in self.group.record.ran if each.ran.is_write]
        has_kept = any(each.transaction is None for each in runs if each in writes)
        has_kept |= any(each.transaction in ended for each in writes)
        if is_promise and has_kept:
            self.problems.append(f"REFUSED {identifier}: {reply.code}")

    def _check_reply(self, identifier: str, reply: Reply) -> None:
        sent = self.sent[identifier]
        runs = [r for r in self.group.record.ran if r.ran.identifier == identifier]
        if sum(r.ran.is_write for r in runs) > 1:
            self.problems.append(f"TWICE {identifier}")
        self._check_promise(identifier, reply, runs)
        if not reply.is_success:
            return
        if isinstance(sent.statement, Read | Write | Execute):
            answers = [(r.rows, r.signature) for r in runs]
            if (reply.rows, reply.signature) not in answers:
                self.problems.append(f"MIXED {identifier}: {reply}")


# Texts that are words of the protocol, or names that the proxy may give.
WORDS = ("q1", "q2f", "READ", "WRITE", "p1", "RESET", "x")
NAMES = ("s1", "s2", "p1", "READ")
VALUE_NAMES = ("a", "b")
ITEMS = ("1a4", "p1", "READ")
CONNECTION_FAULTS = (CUT_BEFORE, CUT_AFTER, HANG)
SET_UP_WORDS = ("SET", "PREPARE", "DEALLOCATE", "RESET")
OTHER_WORDS = ("EXECUTE", "READ", "WRITE", "BEGIN", "COMMIT", "ROLLBACK")
FAULT_SHARE = 0.15
LEAVE_SHARE = 0.05
PAUSE_SECONDS = 0.2
FEW_NAMES = 2
FEW_CHARACTERS = 4


class RandomCallers:
    """Callers that act at random."""

    def __init__(self, seed: int, max_names: int) -> None:
        self.rng = random.Random(seed)
        self.max_names = max_names
        self.group = PageGroup()
        self.callers = Callers(self.group)

    async def play(self) -> list[str]:
        """Return what must not have happened."""
        for _ in range(STEPS):
            await self._step()
        self.callers.check()
        self.group.fleet.close()
        if self.group.record.most_prepared > self.max_names:
            self.callers.problems.append("more names at a database than are known")
        return self.callers.problems

    async def _step(self) -> None:
        kind = self.rng.random()
        if kind < FAULT_SHARE:
            word, fault = self._fault()
            self.group.trouble.next_faults[word] = fault
        elif kind < FAULT_SHARE + LEAVE_SHARE:
            await self.callers.leave(self.rng.randrange(SESSIONS))
        else:
            together = self.rng.choice((1, 1, 1, 2, SESSIONS))
            numbers = self.rng.sample(range(SESSIONS), together)
            sends = [self.callers.send(n, self._statement(n)) for n in numbers]
            await asyncio.gather(*sends)
        await asyncio.sleep(self.rng.choice((0.0, PAUSE_SECONDS)))

    def _fault(self) -> tuple[str, str]:
        choose = self.rng.choice
        match choose(("connection", "set-up", "statement", "start")):
            case "connection":
                words = (*SET_UP_WORDS, *OTHER_WORDS)
                return choose(words), choose(CONNECTION_FAULTS)
            case "set-up":
                return choose(SET_UP_WORDS), choose(REFUSALS)
            case "statement":
                codes = ("BUSY", "FAILED", "READONLY", "LAGGING")
                return choose(OTHER_WORDS), choose(codes)
            case _:
                return "STARTUP", "CONNLIMIT"

    def _statement(self, number: int) -> CallerStatement:
        model = self.callers.models[number]
        if model.has_failed and self.rng.random() < 0.8:
            return self.rng.choice((Commit(), Rollback()))
        weights = {"execute": 8, "prepare": 4, "set": 2, "read": 1, "write": 1}
        weights |= {"deallocate": 1, "end": 1, "begin": 2}
        if model.transaction is not None:
            weights |= {"end": 2, "begin": 0}
        (kind,) = self.rng.choices(tuple(weights), tuple(weights.values()))
        return self._statement_of(kind, model)

    def _statement_of(self, kind: str, model: ModelSession) -> CallerStatement:
        choose = self.rng.choice
        match kind:
            case "execute":
                known = tuple(model.prepared) or NAMES
                return Execute(choose(known), choose((self._item(), self._work())))
            case "prepare":
                return Prepare(choose(NAMES), choose((True, False)), self._text())
            case "set":
                return SetValue(choose(VALUE_NAMES), self._text())
            case "read":
                return Read(self._item())
            case "write":
                return Write(self._item(), self._text())
            case "deallocate":
                return Deallocate(choose(NAMES))
            case "begin":
                return Begin(choose((True, False)))
        return choose((Commit(), Commit(), Rollback()))

    def _item(self) -> str:
        return self.rng.choice(ITEMS)

    def _work(self) -> str:
        return f"{self._item()} {self._text()}"

    def _text(self) -> str:
        count = self.rng.choice((1, 1, 1, 2, 3, 4))
        return " ".join(self.rng.choice(WORDS) for _ in range(count))


class SharedSessionsTest(unittest.TestCase):
    """Databases run what each session has sent, prepared and set, and nothing else."""

    def test_statements_run_with_the_state_of_their_own_session(self) -> None:
        self._play_all()

    def test_statements_run_in_their_own_shape_when_names_are_removed(self) -> None:
        few_names = functools.partial(PreparedNames, max_names=FEW_NAMES)
        with mock.patch.object(pooled_connection, "PreparedNames", few_names):
            self._play_all(FEW_NAMES)

    def test_statements_run_with_their_values_when_connections_forget_them(
        self,
    ) -> None:
        with mock.patch.object(
            pooled_connection, "MAX_IDLE_VALUE_CHARACTERS", FEW_CHARACTERS
        ):
            self._play_all()

    def _play_all(self, max_names: int = MAX_NAMES) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(play(seed, max_names)), [])


async def play(seed: int, max_names: int = MAX_NAMES) -> list[str]:
    """Play random callers at a new group, and return what must not have happened."""
    return await RandomCallers(seed, max_names).play()
