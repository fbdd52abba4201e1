"""Tests of the connection pool, the admission semaphore and the table follower."""

import asyncio
import random
import unittest
from collections.abc import Callable

from beryltiller.core.ports import (
    Changes,
    HistoryLostError,
    LostAnswerError,
    Row,
    TableRows,
    ignore_large,
)
from beryltiller.sessions.connections.admission_semaphore import AdmissionSemaphore
from beryltiller.sessions.connections.connection_limits import ConnectionPoolPolicy
from beryltiller.sessions.connections.database_pools import DatabasePools
from beryltiller.sessions.connections.pooled_connection import DatabaseConnection
from beryltiller.sessions.connections.statement_queue import StatementTicket
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.statements import Code
from beryltiller.sessions.tables.table_follower import (
    FEED_WAIT_SECONDS,
    Rows,
    TableFollower,
)
from tests.fake_group import FakeConnection, FakeDatabase
from tests.virtual_loop import run_virtual, virtual_now


class PoolFixture:
    """A pool over a fake database with an adjustable connection cap."""

    def __init__(self, share: int = 2, cap: int = 10) -> None:
        self.database = FakeDatabase("d")
        self.cap = cap
        self.attempts = 0
        self.pools = DatabasePools(
            self.connect, AdmissionSemaphore(3), ConnectionPoolPolicy(share)
        )
        self.pool = self.pools.pool()

    async def connect(self, organisation: str) -> DatabaseConnection:
        self.attempts += 1
        await asyncio.sleep(0.01)
        if self.database.connections >= self.cap:
            raise NotSentError(Code.CONNECTION_LIMIT, "full")
        return FakeConnection(self.database)


class ConnectionPoolTest(unittest.TestCase):
    """Connections are reused, limited in number and never leaked."""

    def test_full_pool_waits_for_a_release(self) -> None:
        async def work() -> None:
            fixture = PoolFixture(share=1)
            first = await fixture.pool.acquire({}, 1.0)
            waiting = asyncio.create_task(fixture.pool.acquire({}, 1.0))
            await asyncio.sleep(0.1)
            self.assertFalse(waiting.done())
            fixture.pool.release(first)
            self.assertIs(await waiting, first)
            self.assertEqual(fixture.database.connections, 1)

        run_virtual(work())

    def test_timed_out_wait_leaks_nothing(self) -> None:
        async def work() -> None:
            fixture = PoolFixture(share=1)
            first = await fixture.pool.acquire({}, 1.0)
            with self.assertRaises(NotSentError):
                await fixture.pool.acquire({}, 0.2)
            fixture.pool.release(first)
            self.assertEqual((fixture.pool.size, fixture.pool.in_use), (1, 0))

        run_virtual(work())

    def test_connection_opened_first_is_acquired_first(self) -> None:
        """Guards against closing the connection whose answers show the most."""

        async def work() -> None:
            fixture = PoolFixture(share=2)
            first = await fixture.pool.acquire({}, 1.0)
            second = await fixture.pool.acquire({}, 1.0)
            self.assertLess(first.opened_at, second.opened_at)
            fixture.pool.release(first)
            fixture.pool.release(second)
            self.assertIs(await fixture.pool.acquire({}, 1.0), first)

        run_virtual(work())

    def test_cancelled_wait_leaks_nothing(self) -> None:
        async def work() -> None:
            fixture = PoolFixture(share=1)
            first = await fixture.pool.acquire({}, 1.0)
            waiting = asyncio.create_task(fixture.pool.acquire({}, 1.0))
            await asyncio.sleep(0.1)
            fixture.pool.release(first)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertIs(await fixture.pool.acquire({}, 0.1), first)

        run_virtual(work())

    def test_reached_cap_lowers_the_limit(self) -> None:
        """Guards against many proxies that keep trying to exceed a cap."""

        async def work() -> None:
            fixture = PoolFixture(share=6, cap=3)
            acquired = [await fixture.pool.acquire({}, 1.0) for _ in range(3)]
            for _ in range(4):
                with self.assertRaises(NotSentError):
                    await fixture.pool.acquire({}, 0.2)
            self.assertEqual(
                fixture.attempts, 4, "only one connection beyond the cap was tried"
            )
            fixture.cap = 10
            await asyncio.sleep(2.5)
            await fixture.pool.acquire({}, 0.1)
            self.assertEqual(
                fixture.pool.size, len(acquired) + 1, "the limit grows back"
            )

        run_virtual(work())

    def test_full_database_is_not_retried_at_once(self) -> None:
        async def work() -> None:
            fixture = PoolFixture(cap=0)
            for _ in range(5):
                with self.assertRaises(NotSentError) as raised:
                    await fixture.pool.acquire({}, 1.0)
                self.assertIs(raised.exception.code, Code.CONNECTION_LIMIT)
            self.assertEqual(fixture.attempts, 1)
            await asyncio.sleep(0.2)
            fixture.cap = 1
            await fixture.pool.acquire({}, 1.0)

        run_virtual(work())

    def test_release_after_discard_has_no_effect(self) -> None:
        async def work() -> None:
            fixture = PoolFixture(share=2)
            acquired = await fixture.pool.acquire({}, 0.1)
            fixture.pool.discard(acquired)
            fixture.pool.release(acquired)
            self.assertEqual((fixture.pool.size, fixture.pool.in_use), (0, 0))

        run_virtual(work())

    def test_broken_connection_is_removed(self) -> None:
        async def work() -> None:
            fixture = PoolFixture(share=1)
            first = await fixture.pool.acquire({}, 1.0)
            fixture.pool.discard(first)
            second = await fixture.pool.acquire({}, 1.0)
            self.assertIsNot(second, first)

        run_virtual(work())


class AdmissionSemaphoreTest(unittest.TestCase):
    """Waiters are admitted by priority; late ones are refused."""

    def test_waiters_are_admitted_by_priority_or_time_out(self) -> None:
        async def work() -> None:
            semaphore = AdmissionSemaphore(1)
            order: list[str] = []

            async def acquire(name: str, priority: int, wait: float) -> None:
                try:
                    slot = await semaphore.acquire(
                        StatementTicket(priority, virtual_now() + wait)
                    )
                except NotSentError:
                    order.append(f"{name} refused")
                    return
                order.append(name)
                semaphore.release(slot)

            held = await semaphore.acquire(StatementTicket(1, 1.0))
            tasks = [
                asyncio.create_task(acquire("low", 2, 1.0)),
                asyncio.create_task(acquire("high", 1, 1.0)),
                asyncio.create_task(acquire("hasty", 0, 0.1)),
            ]
            await asyncio.sleep(0.2)
            semaphore.release(held)
            await asyncio.gather(*tasks)
            self.assertEqual(order, ["hasty refused", "high", "low"])
            self.assertEqual(semaphore.in_use, 0)

        run_virtual(work())


class FakeFeed:
    """A table feed that returns or raises each of `answers` in turn."""

    def __init__(self, answers: list[Changes | Exception]) -> None:
        self.answers = answers
        self.full_reads = 0
        self.times: list[float] = []
        self.waits: list[float] = []

    async def read_all(self, table: str) -> TableRows:
        self.full_reads += 1
        return TableRows(10 * self.full_reads, (Row("a", 1, b"1"),))

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_seconds: float,
        on_large: Callable[[], None] = ignore_large,
    ) -> Changes:
        self.times.append(virtual_now())
        self.waits.append(wait_seconds)
        if not self.answers:
            await asyncio.sleep(3600)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class FollowerTest(unittest.TestCase):
    """A follower recovers from lost history and failures of the feed."""

    def follow(self, *answers: Changes | Exception) -> tuple[FakeFeed, list[list[str]]]:
        feed = FakeFeed(list(answers))
        snapshots: list[list[str]] = []

        def on_rows(rows: Rows) -> None:
            snapshots.append(sorted(rows))

        async def work() -> None:
            follower = TableFollower(feed, "t", on_rows, random.Random(1))
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(60)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run_virtual(work())
        return feed, snapshots

    def test_changes_are_applied_in_order(self) -> None:
        _, snapshots = self.follow(
            Changes(11, (Row("b", 11, b"2"),)), Changes(12, (), ("a",)), Changes(13, ())
        )
        self.assertEqual(snapshots, [["a"], ["a", "b"], ["b"]])

    def test_lost_history_rereads_the_table(self) -> None:
        feed, snapshots = self.follow(HistoryLostError("gone"))
        self.assertEqual((feed.full_reads, snapshots), (2, [["a"], ["a"]]))

    def test_failures_are_retried_with_backoff(self) -> None:
        feed, snapshots = self.follow(*[LostAnswerError("no")] * 8)
        self.assertEqual((feed.full_reads, snapshots), (1, [["a"]]))
        delays = [b - a for a, b in zip(feed.times, feed.times[1:], strict=False)]
        self.assertGreater(min(delays), 0.0)
        self.assertLessEqual(max(delays), 1.0)

    def test_quiet_store_is_polled_again_at_once(self) -> None:
        """Guards against a pause after a reply without changes.

        It delayed the next change by half a second.
        """
        feed, _ = self.follow(Changes(10, ()), Changes(10, ()))
        self.assertEqual(feed.times, [0.0, 0.0, 0.0])

    def test_store_is_polled_without_waiting_after_a_failure(self) -> None:
        """Guards against a second long poll that is lost in the outage.

        The lost poll delayed a change.
        """
        feed, _ = self.follow(LostAnswerError("silent"), Changes(11, ()))
        full_wait = FEED_WAIT_SECONDS
        self.assertEqual(feed.waits, [full_wait, 0.0, full_wait])
