"""Tests of lending connections, of the gate before them, and of following a table."""

import asyncio
import random
import unittest

from beryltiller.core.ports import (
    Changes,
    HistoryLostError,
    LostAnswerError,
    Row,
    Scan,
)
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.following import FEED_WAIT_SECONDS, Rows, TableFollower
from beryltiller.sessions.gates import Gate
from beryltiller.sessions.lending import DatabaseConnection, Lender
from beryltiller.sessions.limits import LendingPolicy
from beryltiller.sessions.statements import Code
from tests.fake_group import FakeConnection, FakeDatabase
from tests.virtual_loop import run_virtual, virtual_now


class Bank:
    """A lender over a fake database whose cap can be set."""

    def __init__(self, share: int = 2, cap: int = 10) -> None:
        self.database = FakeDatabase("d")
        self.cap = cap
        self.attempts = 0
        self.lender = Lender(self.connect, Gate(3), LendingPolicy(share))

    async def connect(self) -> DatabaseConnection:
        self.attempts += 1
        await asyncio.sleep(0.01)
        if self.database.connections >= self.cap:
            raise NotSentError(Code.CONNECTION_LIMIT, "full")
        return FakeConnection(self.database)


class LenderTest(unittest.TestCase):
    """Connections are reused, bounded, and never leaked."""

    def test_reuses_and_waits_within_its_share(self) -> None:
        async def work() -> None:
            bank = Bank(share=1)
            first = await bank.lender.lend({}, 1.0)
            waiting = asyncio.create_task(bank.lender.lend({}, 1.0))
            await asyncio.sleep(0.1)
            self.assertFalse(waiting.done())
            bank.lender.give_back(first)
            self.assertIs(await waiting, first)
            self.assertEqual(bank.database.connections, 1)

        run_virtual(work())

    def test_wait_ends_in_time_and_takes_nothing(self) -> None:
        async def work() -> None:
            bank = Bank(share=1)
            first = await bank.lender.lend({}, 1.0)
            with self.assertRaises(NotSentError):
                await bank.lender.lend({}, 0.2)
            bank.lender.give_back(first)
            self.assertEqual((bank.lender.held, bank.lender.lent), (1, 0))

        run_virtual(work())

    def test_cancelled_wait_leaks_nothing(self) -> None:
        async def work() -> None:
            bank = Bank(share=1)
            first = await bank.lender.lend({}, 1.0)
            waiting = asyncio.create_task(bank.lender.lend({}, 1.0))
            await asyncio.sleep(0.1)
            bank.lender.give_back(first)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.assertIs(await bank.lender.lend({}, 0.1), first)

        run_virtual(work())

    def test_cap_that_is_reached_leaves_room_for_other_proxies(self) -> None:
        """With many proxies each tried again and again for more than was there."""

        async def work() -> None:
            bank = Bank(share=6, cap=3)
            lent = [await bank.lender.lend({}, 1.0) for _ in range(3)]
            for _ in range(4):
                with self.assertRaises(NotSentError):
                    await bank.lender.lend({}, 0.2)
            self.assertEqual(bank.attempts, 4, "only one beyond the cap was tried")
            bank.cap = 10
            await asyncio.sleep(2.5)
            await bank.lender.lend({}, 0.1)
            self.assertEqual(bank.lender.held, len(lent) + 1, "it grows back")

        run_virtual(work())

    def test_full_database_is_not_tried_again_at_once(self) -> None:
        async def work() -> None:
            bank = Bank(cap=0)
            for _ in range(5):
                with self.assertRaises(NotSentError) as raised:
                    await bank.lender.lend({}, 1.0)
                self.assertIs(raised.exception.code, Code.CONNECTION_LIMIT)
            self.assertEqual(bank.attempts, 1)
            await asyncio.sleep(0.2)
            bank.cap = 1
            await bank.lender.lend({}, 1.0)

        run_virtual(work())

    def test_connection_that_was_dropped_comes_back_only_once(self) -> None:
        async def work() -> None:
            bank = Bank(share=2)
            lent = await bank.lender.lend({}, 0.1)
            bank.lender.drop(lent)
            bank.lender.give_back(lent)
            self.assertEqual((bank.lender.held, bank.lender.lent), (0, 0))

        run_virtual(work())

    def test_broken_connection_is_forgotten(self) -> None:
        async def work() -> None:
            bank = Bank(share=1)
            first = await bank.lender.lend({}, 1.0)
            bank.lender.drop(first)
            second = await bank.lender.lend({}, 1.0)
            self.assertIsNot(second, first)

        run_virtual(work())


class GateTest(unittest.TestCase):
    """Who enters first, and who is refused."""

    def test_priority_goes_first_and_late_ones_are_refused(self) -> None:
        async def work() -> None:
            gate = Gate(1)
            order: list[str] = []

            async def enter(name: str, priority: int, wait: float) -> None:
                try:
                    await gate.enter(priority, wait)
                except NotSentError:
                    order.append(f"{name} refused")
                    return
                order.append(name)
                gate.leave()

            await gate.enter(1, 1.0)
            tasks = [
                asyncio.create_task(enter("low", 2, 1.0)),
                asyncio.create_task(enter("high", 1, 1.0)),
                asyncio.create_task(enter("hasty", 0, 0.1)),
            ]
            await asyncio.sleep(0.2)
            gate.leave()
            await asyncio.gather(*tasks)
            self.assertEqual(order, ["hasty refused", "high", "low"])
            self.assertEqual(gate.inside, 0)

        run_virtual(work())


class FakeFeed:
    """A table feed that fails as told; `answers` are given one after the other."""

    def __init__(self, answers: list[Changes | Exception]) -> None:
        self.answers = answers
        self.wholes = 0
        self.times: list[float] = []
        self.waits: list[float] = []

    async def whole(self, table: str) -> Scan:
        self.wholes += 1
        return Scan(10 * self.wholes, (Row("a", 1, b"1"),))

    async def changes(self, table: str, after: int, wait_seconds: float) -> Changes:
        self.times.append(virtual_now())
        self.waits.append(wait_seconds)
        if not self.answers:
            await asyncio.sleep(3600)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class FollowerTest(unittest.TestCase):
    """A table is followed through lost history and failures."""

    def follow(self, *answers: Changes | Exception) -> tuple[FakeFeed, list[list[str]]]:
        feed = FakeFeed(list(answers))
        seen: list[list[str]] = []

        def on_rows(rows: Rows) -> None:
            seen.append(sorted(rows))

        async def work() -> None:
            follower = TableFollower(feed, "t", on_rows, random.Random(1))
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(60)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        run_virtual(work())
        return feed, seen

    def test_changes_are_applied_in_order(self) -> None:
        _, seen = self.follow(
            Changes(11, (Row("b", 11, b"2"),)), Changes(12, (), ("a",)), Changes(13, ())
        )
        self.assertEqual(seen, [["a"], ["a", "b"], ["b"]])

    def test_lost_history_reads_the_table_whole(self) -> None:
        feed, seen = self.follow(HistoryLostError("gone"))
        self.assertEqual((feed.wholes, seen), (2, [["a"], ["a"]]))

    def test_failures_are_retried_with_backoff(self) -> None:
        feed, seen = self.follow(*[LostAnswerError("no")] * 8)
        self.assertEqual((feed.wholes, seen), (1, [["a"]]))
        gaps = [b - a for a, b in zip(feed.times, feed.times[1:], strict=False)]
        self.assertGreater(min(gaps), 0.0)
        self.assertLessEqual(max(gaps), 1.0)

    def test_quiet_store_is_asked_again_at_once(self) -> None:
        """A change just after an answer without news came half a second late."""
        feed, _ = self.follow(Changes(10, ()), Changes(10, ()))
        self.assertEqual(feed.times, [0.0, 0.0, 0.0])

    def test_store_that_was_away_is_asked_without_waiting(self) -> None:
        """A second long question was lost in the outage, and a change came too late."""
        feed, _ = self.follow(LostAnswerError("silent"), Changes(11, ()))
        long = FEED_WAIT_SECONDS
        self.assertEqual(feed.waits, [long, 0.0, long])
