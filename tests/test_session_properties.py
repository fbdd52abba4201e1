"""Property tests of sessions on two proxies over a group that lags and fails over.

Random events lose, delay and repeat writes, probes and terms. The tests guard against
stale reads, writes that run twice or run after a refusal, and understated ages.
"""

import random
import unittest
from dataclasses import dataclass, field
from typing import cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from beryltiller.consistency.attempts import (
    Answered,
    Finish,
    Lost,
    Refused,
    Result,
    Work,
)
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    DatabaseView,
    RoutingPolicy,
    SessionLost,
    WaitForTerm,
)
from beryltiller.consistency.serving import Done, Job, Reply, Run, Sleep, Verdict, serve
from beryltiller.consistency.session import Planner, Served, parse_session_header
from beryltiller.consistency.tokens import TokenKeys, encode_token
from beryltiller.core.outcome import Kind, Outcome
from beryltiller.core.ports import EndpointStatus, RefusedError, Statement
from beryltiller.standins.simulated_group import SimulatedGroup

KEYS = TokenKeys(b"0123456789abcdef")
NAMES = ("g-1", "g-2", "g-3")
TIMEOUT_SECONDS = 5.0
MAX_STEPS = 200

proxies = st.integers(0, 1)
sessions = st.integers(0, 2)
databases = st.sampled_from(NAMES)


@dataclass(slots=True)
class Caller:
    """A caller's token, and the values that its later reads must contain."""

    token: str = "new"
    wrote: set[bytes] = field(default_factory=set)
    saw: set[bytes] = field(default_factory=set)

    def restart(self) -> None:
        """Start a new session after the loss of this one's data was reported."""
        self.token = "new"
        self.wrote.clear()
        self.saw.clear()


class SessionMachine(RuleBasedStateMachine):
    """Random events on two proxies and one group, with a check of every answer.

    `trouble` is what happens to a write's first attempt: its answer is lost, its
    request arrives late, or a failover follows it. `learns` is True if the proxy learns
    the current term while a statement waits for one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.group = SimulatedGroup.create("g", (0.0, 0.0, 0.0))
        self.rng = random.Random(7)
        self.planners = [Planner(RoutingPolicy("a"), self.rng) for _ in range(2)]
        for planner in self.planners:
            planner.configure("g", [DatabaseView(name) for name in NAMES])
            planner.record_term("g", 1, self.group.primary, True)
        self.callers = [Caller() for _ in range(3)]
        self.delayed: list[tuple[str, Statement]] = []
        self.probes: list[tuple[int, EndpointStatus, float]] = []
        self.unfinished: list[str] = []
        self.learns = True
        self.acknowledged: dict[bytes, float] = {}
        self.writes = 0

    # Events of the group and of the network.

    @rule(seconds=st.sampled_from((0.01, 0.1, 1.0)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=databases, count=st.integers(1, 4))
    def replicate(self, name: str, count: int) -> None:
        database = self.group.databases[name]
        if database.term != self.group.term:
            return
        primary = self.group.databases[self.group.primary]
        database.copy_from(primary, len(database.log.entries) + count)

    @rule(name=databases)
    def rejoin(self, name: str) -> None:
        primary = self.group.databases[self.group.primary]
        self.group.databases[name].copy_from(primary, 0)

    @rule(fenced=st.permutations(NAMES))
    def fail_over(self, fenced: list[str]) -> None:
        # A new primary opens only after all evidence of the old term has lapsed.
        for planner in self.planners:
            state = planner.group("g")
            assert state is not None
            planner.record_term("g", state.view.term, state.view.primary, False)
        self.group.fail_over((fenced[0], fenced[1]))

    @rule(proxy=proxies)
    def learn_term(self, proxy: int) -> None:
        self.planners[proxy].record_term("g", self.group.term, self.group.primary, True)

    @rule(proxy=proxies, name=databases)
    def probe(self, proxy: int, name: str) -> None:
        self.probes.append((proxy, self.group.databases[name].status(), self.now))

    @rule()
    def deliver_late(self) -> None:
        if self.delayed:
            self._run(*self.delayed.pop(0))
        for proxy, status, asked_at in self.probes:
            self.planners[proxy].record_status("g", status, asked_at, self.now)
        self.probes.clear()

    # Requests of callers.

    @rule(
        caller=sessions,
        proxy=proxies,
        trouble=st.sampled_from(("", "", "lost", "delayed", "failover")),
        learns=st.booleans(),
    )
    def write(self, caller: int, proxy: int, trouble: str, learns: bool) -> None:
        self.writes += 1
        self.learns = learns
        self._write(self.callers[caller], proxy, f"v{self.writes}", trouble, False)

    @rule(caller=sessions, proxy=proxies)
    def repeat(self, caller: int, proxy: int) -> None:
        if self.unfinished:
            self._write(self.callers[caller], proxy, self.unfinished.pop(0), "", True)

    @rule(caller=sessions, proxy=proxies)
    def read(self, caller: int, proxy: int) -> None:
        self._read(self.callers[caller], proxy, Kind.READ)

    @rule(proxy=proxies)
    def read_without_token(self, proxy: int) -> None:
        survivors = {entry.value for entry in self.group.primary_log.entries}
        caller = Caller("", wrote=survivors & self.acknowledged.keys())
        self._read(caller, proxy, Kind.READ)

    @rule(caller=sessions, proxy=proxies, age=st.sampled_from((0.05, 0.5, 2.0)))
    def aged_read(self, caller: int, proxy: int, age: float) -> None:
        self._read(self.callers[caller], proxy, Kind.AGED_READ, age)

    # Serving by a proxy.

    def _serve(self, proxy: int, job: Job, trouble: str = "") -> Verdict:
        """Carry out the effects of one statement, and return its verdict."""
        steps = serve(self.planners[proxy], job, self.now, self.rng)
        reply: Reply | None = None
        for _ in range(MAX_STEPS):
            try:
                effect = next(steps) if reply is None else steps.send(reply)
            except StopIteration as stop:
                return cast(Verdict, stop.value)
            sent_at = self.now
            result: Result | EndpointStatus | None = None
            match effect:
                case Run(name, statement):
                    result = self._attempt(name, statement, trouble)
                    trouble = ""
                case AskPrimaryPosition(database=name):
                    result = self.group.databases[name].status()
                case WaitForTerm(seconds=seconds):
                    self.now += seconds / 4 if self.learns else seconds
                    if self.learns:
                        self.learn_term(proxy)
                case Sleep(seconds):
                    self.now += seconds
            reply = Reply(self.now, sent_at, result)
        raise AssertionError("the statement did not end within MAX_STEPS steps")

    def _run(self, name: str, statement: Statement) -> Result:
        try:
            answer = self.group.databases[name].run(statement, self.now)
        except RefusedError as error:
            return Refused(error.code)
        return Answered(answer)

    def _attempt(self, name: str, statement: Statement, trouble: str) -> Result:
        if trouble == "delayed":
            self.delayed.append((name, statement))
            return Lost()
        result = self._run(name, statement)
        if trouble == "lost" and isinstance(result, Answered):
            return Lost()
        if trouble == "failover":
            self.fail_over([one for one in NAMES if one != name])
        return result

    def _job(
        self, caller: Caller, kind: Kind, key: str = "", age: float | None = None
    ) -> Job:
        claim = parse_session_header(caller.token, KEYS, "s").unwrap()
        work = Work(kind, self.now + TIMEOUT_SECONDS, key, not kind.is_write)
        return Job("g", work, claim, key.encode(), lambda: True, age)

    def _write(
        self, caller: Caller, proxy: int, key: str, trouble: str, is_repeat: bool
    ) -> None:
        job = self._job(caller, Kind.UNSAFE_WRITE, key)
        verdict = self._serve(proxy, job, trouble)
        match verdict:
            case Done(served=served):
                self._acknowledge(caller, served, key.encode())
            case SessionLost():
                caller.restart()
            case Finish(Outcome.UNKNOWN):
                self.unfinished.append(key)
        if is_repeat and not isinstance(verdict, Done):
            # The earlier request with the same key may have run.
            self.unfinished.append(key)
        elif not isinstance(verdict, Done) and key not in self.unfinished:
            self._check_not_run(key)

    def _read(
        self, caller: Caller, proxy: int, kind: Kind, age: float | None = None
    ) -> None:
        match self._serve(proxy, self._job(caller, kind, age=age)):
            case Done(served=served, database=name):
                self._check_read(caller, served, name, age)
            case SessionLost():
                caller.restart()

    # Checks.

    def _acknowledge(self, caller: Caller, served: Served, value: bytes) -> None:
        caller.token = encode_token(served.session, KEYS)
        caller.wrote.add(value)
        self.acknowledged[value] = self.now
        count = [entry.value for entry in self.group.primary_log.entries].count(value)
        assert count == 1, f"{value!r} is {count} times in the log"

    def _check_not_run(self, key: str) -> None:
        for database in self.group.databases.values():
            assert not database.log.index_of_key(
                key
            ), f"write {key} was answered as not run, but ran"

    def _check_read(
        self, caller: Caller, served: Served, name: str, age: float | None
    ) -> None:
        entries = self.group.databases[name].log.entries
        held = {entry.value for entry in entries}
        assert caller.wrote <= held, "a read missed the session's own write"
        assert caller.saw <= held, "a read missed what an earlier one returned"
        if caller.token:
            caller.token = encode_token(served.session, KEYS)
            caller.saw = held
        if age is not None:
            assert served.age_seconds is not None
            assert self._true_age(held) <= served.age_seconds <= age

    def _true_age(self, held: set[bytes]) -> float:
        missing = [
            self.acknowledged[entry.value]
            for entry in self.group.primary_log.entries
            if entry.value in self.acknowledged and entry.value not in held
        ]
        return self.now - min(missing, default=self.now)


class SessionPropertiesTest(unittest.TestCase):
    """No interleaving gives a stale read, a write run twice or an understated age."""

    def test_random_interleavings(self) -> None:
        run_state_machine_as_test(
            SessionMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                database=None,
                max_examples=150,
                stateful_step_count=40,
            ),
        )
