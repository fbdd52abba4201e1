"""Tests of admission: the order of statements, early refusals, callers that leave."""

import asyncio
import functools
import random
import unittest
from unittest import mock

from beryltiller.observability.limit_events import OverloadBegan, OverloadEnded
from beryltiller.sessions.connections.admission_semaphore import AdmissionSemaphore
from beryltiller.sessions.connections.statement_queue import (
    OPEN_TRANSACTION_PRIORITY,
    TURN_INTERVAL,
    DeadlineUnreachable,
    QueueEntry,
    StatementQueue,
    StatementTicket,
)
from beryltiller.sessions.errors import NoCapacityError, QueueTooLongError
from beryltiller.sessions.running.overload_log import QUIET_SECONDS, OverloadLog
from beryltiller.sessions.running.transaction_holds import (
    MIN_HELD_SECONDS,
    MIN_STATEMENTS,
    is_too_long,
)
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Commit,
    Read,
    Rollback,
    SessionState,
    Write,
)
from tests.fake_group import FakeDatabase, GroupFixture
from tests.session_runs import run_with_fixture
from tests.virtual_loop import run_virtual, virtual_now

WORK_SECONDS = 0.01


class OrderTest(unittest.TestCase):
    """Waiting statements are admitted by priority, organisation, then time left."""

    def setUp(self) -> None:
        self.queue = StatementQueue(1)
        self.running = self.queue.admit_at_once(StatementTicket(0, 1.0))

    def offer(
        self,
        priority: int,
        organisation: str = "",
        deadline: float = 100.0,
        organisation_priority: int = 1,
    ) -> QueueEntry:
        ticket = StatementTicket(
            priority, deadline, WORK_SECONDS, organisation, organisation_priority
        )
        entry = self.queue.offer(ticket, 0.0)
        assert not isinstance(entry, DeadlineUnreachable)
        return entry

    def take(self) -> QueueEntry:
        assert self.running is not None
        self.queue.finish(self.running, WORK_SECONDS)
        self.running = self.queue.take()
        assert self.running is not None
        return self.running

    def test_order_of_priorities_and_deadlines(self) -> None:
        later = self.offer(1, deadline=9.0)
        low = self.offer(2, deadline=5.0)
        sooner = self.offer(1, deadline=8.0)
        preferred = self.offer(1, "o", 9.0, organisation_priority=0)
        high = self.offer(0, deadline=10.0)
        opened = self.offer(OPEN_TRANSACTION_PRIORITY, deadline=11.0)
        order = [opened, high, preferred, sooner, later, low]
        self.assertEqual([self.take() for _ in order], order)

    def test_organisations_have_equal_shares(self) -> None:
        """Guards against an organisation that takes the turns of the others."""
        for _ in range(70):
            self.offer(1, "loud", deadline=1.0)
        for name in "abc" * 10:
            self.offer(1, name)
        first = [self.take().ticket.organisation for _ in range(40)]
        for name in ("a", "b", "c"):
            self.assertEqual(first.count(name), 10)

    def test_lowest_priority_is_not_starved(self) -> None:
        low = [self.offer(2) for _ in range(3)]
        for _ in range(3 * TURN_INTERVAL):
            self.offer(0)
        taken = [self.take() for _ in range(3 * TURN_INTERVAL)]
        places = [taken.index(each) + 1 for each in low]
        self.assertEqual(places, [TURN_INTERVAL * n for n in (1, 2, 3)])

    def test_random_use_leaves_nothing_behind(self) -> None:
        """Guards against counts that drift as tickets are cancelled and admitted."""
        rng = random.Random(1)
        queue = StatementQueue(3)
        waiting: set[QueueEntry] = set()
        running: list[QueueEntry] = []
        for step in range(5000):
            ticket = StatementTicket(
                rng.randrange(-1, 3), step + rng.random(), 0.1, rng.choice("abcd")
            )
            match rng.randrange(3):
                case 0:
                    found = queue.admit_at_once(ticket)
                    if found is not None:
                        running.append(found)
                    elif not isinstance(
                        entry := queue.offer(ticket, step), DeadlineUnreachable
                    ):
                        waiting.add(entry)
                case 1 if waiting:
                    queue.remove(entry := rng.choice(sorted(waiting, key=id)))
                    waiting.remove(entry)
                case 2 if running:
                    queue.finish(running.pop(), rng.random())
            while (taken := queue.take()) is not None:
                waiting.remove(taken)
                running.append(taken)
            self.assertEqual(
                (queue.waiting, queue.in_use), (len(waiting), len(running))
            )
            self.assertTrue(len(running) == 3 or not waiting)


class EstimateTest(unittest.TestCase):
    """Statements that cannot be served in time are refused on arrival."""

    def test_refusal_by_the_queue_ahead(self) -> None:
        queue = StatementQueue(2)
        for _ in range(2):
            queue.admit_at_once(StatementTicket(1, 1.0, 0.1))
        for _ in range(4):
            entry = queue.offer(StatementTicket(1, 0.5, 0.1), 0.0)
            self.assertNotIsInstance(entry, DeadlineUnreachable)
        refused = queue.offer(StatementTicket(1, 0.5, 0.1), 0.4)
        assert isinstance(refused, DeadlineUnreachable)
        self.assertAlmostEqual(refused.wait_seconds, 0.2)
        self.assertAlmostEqual(refused.left_seconds, 0.1)
        # Statements that go first, and those of open transactions, are not refused.
        for priority in (0, OPEN_TRANSACTION_PRIORITY):
            ticket = StatementTicket(priority, 0.5, 0.1)
            self.assertNotIsInstance(queue.offer(ticket, 0.4), DeadlineUnreachable)

    def test_nothing_is_refused_while_nothing_is_in_execution(self) -> None:
        queue = StatementQueue(1)
        self.assertIsNotNone(queue.admit_at_once(StatementTicket(1, 0.01, 1e9)))

    def test_wrong_estimate_heals(self) -> None:
        """Guards against one slow moment that has all later statements refused."""

        async def work(fixture: GroupFixture) -> None:
            for database in fixture.databases.values():
                database.hang.add(Read)
            await self._read_together(fixture)
            for database in fixture.databases.values():
                database.hang.clear()
            await asyncio.sleep(2.0)
            for _ in range(20):
                await self._read_together(fixture)
            self.assertEqual(await self._read_together(fixture), 12)

        run_with_fixture(work)

    async def _read_together(self, fixture: GroupFixture) -> int:
        replies = await asyncio.gather(
            *(fixture.run(fixture.session(), Read("i")) for _ in range(12))
        )
        return sum(reply.is_success for reply in replies)


class SemaphoreTest(unittest.TestCase):
    """Waiters that are refused, cancelled or too late leave nothing behind."""

    def test_refused_on_arrival_or_at_the_deadline(self) -> None:
        async def work() -> None:
            semaphore = AdmissionSemaphore(1)
            held = await semaphore.acquire(StatementTicket(1, 1.0))
            waiting = asyncio.create_task(
                semaphore.acquire(StatementTicket(1, 0.2, 0.1))
            )
            await asyncio.sleep(0)
            with self.assertRaisesRegex(QueueTooLongError, "take 0.100 s.* 0.050 s"):
                await semaphore.acquire(StatementTicket(2, 0.05))
            self.assertEqual(virtual_now(), 0.0)
            with self.assertRaisesRegex(NoCapacityError, "waited too long"):
                await waiting
            self.assertEqual(virtual_now(), 0.2)
            semaphore.release(held)
            self.assertEqual((semaphore.waiting, semaphore.in_use), (0, 0))

        run_virtual(work())

    def test_cancelled_at_each_moment(self) -> None:
        """Guards against a place that is given to a task which is cancelled."""

        async def work(is_released_first: bool) -> None:
            semaphore = AdmissionSemaphore(1)
            held = await semaphore.acquire(StatementTicket(1, 1.0))
            waiting = asyncio.create_task(semaphore.acquire(StatementTicket(1, 1.0)))
            await asyncio.sleep(0)
            if is_released_first:
                semaphore.release(held)
            waiting.cancel()
            if not is_released_first:
                semaphore.release(held)
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertEqual((semaphore.waiting, semaphore.in_use), (0, 0))

        for is_released_first in (True, False):
            with self.subTest(is_released_first=is_released_first):
                run_virtual(work(is_released_first))


class LongTransactionTest(unittest.TestCase):
    """Transactions that hold connections for long make way for others."""

    async def _open(
        self, fixture: GroupFixture, count: int, pause: float
    ) -> list[Session]:
        """Fill the leader's pool with transactions that pause between statements."""
        sessions = [fixture.session() for _ in range(6)]
        for session in sessions:
            await fixture.run(session, Begin())
        for _ in range(count):
            for session in sessions:
                reply = await fixture.run(session, Write("i", "d"))
                self.assertTrue(reply.is_success, reply)
            await asyncio.sleep(pause)
        return sessions

    async def _other_is_served(self, fixture: GroupFixture) -> bool:
        reply = await fixture.run(fixture.session(), Write("i", "d"))
        return reply.is_success

    def test_pausing_one_is_rolled_back_for_a_waiting_statement(self) -> None:
        for last in (Write("i", "d"), Commit()):
            with self.subTest(type(last).__name__):
                run_with_fixture(functools.partial(self._end, last=last))

    async def _end(self, fixture: GroupFixture, last: CallerStatement) -> None:
        sessions = await self._open(fixture, MIN_STATEMENTS, 0.1)
        self.assertTrue(await self._other_is_served(fixture))
        replies = [await fixture.run(each, last) for each in sessions]
        codes = [reply.code for reply in replies if reply.code is not None]
        self.assertEqual(codes, [Code.ABORTED])
        ended = next(s for s, r in zip(sessions, replies, strict=True) if r.code)
        if ended.state is SessionState.FAILED:
            await fixture.run(ended, Rollback())
        for session in sessions:
            await fixture.service.end_session(session)
        pool = fixture.fleet.connection_pool(fixture.leader.entry())
        self.assertEqual((pool.in_use, pool.semaphore.in_use), (0, 0))
        self.assertIs(ended.state, SessionState.IDLE)

    def test_ordinary_ones_are_not_rolled_back(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            sessions = await self._open(fixture, 12, 0.5)
            self.assertFalse(await self._other_is_served(fixture))
            for session in sessions:
                reply = await fixture.run(session, Commit())
                self.assertTrue(reply.is_success, reply)

        run_with_fixture(work)

    def test_many_statements_in_a_short_time_are_not_too_long(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            await fixture.run(session, Write("i", "d"))
            transaction = session.transaction
            assert transaction is not None
            transaction.statements = 10 * MIN_STATEMENTS
            held_since = transaction.held_since
            self.assertFalse(is_too_long(transaction, held_since))
            self.assertTrue(is_too_long(transaction, held_since + MIN_HELD_SECONDS))

        run_with_fixture(work)


class OverloadLogTest(unittest.TestCase):
    """An overload is logged when it begins and when it has ended."""

    def test_one_line_per_change(self) -> None:
        """Guards against a line for each of thousands of refusals."""
        database = FakeDatabase("d").entry()
        log = OverloadLog()
        with mock.patch("beryltiller.observability.logs.log") as lines:
            for n in range(100):
                log.record_refusal(database, n % 2 == 0, n / 100)
                log.record_admission(database, n / 100)
            log.record_admission(database, 0.99 + QUIET_SECONDS)
            log.record_admission(database, 9.0)
        self.assertEqual(
            [call.args[0] for call in lines.call_args_list],
            [OverloadBegan("s", "d"), OverloadEnded("s", "d", 0.99, 50, 50)],
        )
