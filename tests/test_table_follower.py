"""Tests of copies of the store's tables, which feeders and the store keep current."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from beryltiller.core.ports import (
    Changes,
    HistoryLostError,
    LostAnswerError,
    Row,
    TableRows,
    ignore_large,
)
from beryltiller.sessions.tables.relay import TableChange
from beryltiller.sessions.tables.table_follower import (
    FEED_WAIT_SECONDS,
    Rows,
    TableFollower,
)
from tests.relay_zone import TABLE
from tests.virtual_loop import run_virtual


class ScriptedRelay:
    """A relay with settable answers that keeps what is published."""

    def __init__(self) -> None:
        self.is_live = False
        self.is_up_to_date = True
        self.read_ms = 0
        self.published: list[TableChange | None] = []

    def has_live_feeder(self, table: str) -> bool:
        return self.is_live

    def is_current(self, table: str, revision: int) -> bool:
        return self.is_up_to_date

    def known_until(self, table: str, revision: int) -> int:
        return revision

    def known_ms(self, table: str, revision: int) -> int:
        return self.read_ms

    def publish(self, change: TableChange | None) -> None:
        self.published.append(change)


class ScriptedFeed:
    """A feed that returns each of `answers` when the test adds it."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.afters: list[int] = []
        self.answers: asyncio.Queue[Changes | Exception] = asyncio.Queue()

    async def read_all(self, table: str) -> TableRows:
        return TableRows(10, (Row("a", 5, b"old"),))

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_seconds: float,
        on_large: Callable[[], None] = ignore_large,
    ) -> Changes:
        self.waits.append(wait_seconds)
        self.afters.append(after)
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


class RefreshFeed(ScriptedFeed):
    """A feed that answers only polls which do not wait for a change."""

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_seconds: float,
        on_large: Callable[[], None] = ignore_large,
    ) -> Changes:
        if wait_seconds:
            await asyncio.Event().wait()
        return await super().read_changes(table, after, wait_seconds)


class RefreshTest(unittest.TestCase):
    """A copy that is asked for what the store has now."""

    def refresh(self, answer: Changes | Exception) -> tuple[bool, int]:
        """Return the result of a refresh, and the revision known afterwards."""

        async def work() -> tuple[bool, int]:
            feed = RefreshFeed()
            feed.answers.put_nowait(answer)
            follower = TableFollower(feed, TABLE, lambda rows: None, random.Random(1))
            run = asyncio.create_task(follower.run())
            while not follower.known_until:
                await asyncio.sleep(0)
            is_done = await follower.refresh()
            run.cancel()
            return is_done, follower.known_until

        return run_virtual(work())

    def test_revision_of_an_answer_without_changes_is_known(self) -> None:
        self.assertEqual(self.refresh(Changes(14, (), ())), (True, 14))

    def test_table_is_read_anew_if_the_history_is_lost(self) -> None:
        self.assertEqual(self.refresh(HistoryLostError("lost")), (True, 10))

    def test_changes_are_known_until_the_store_was_asked(self) -> None:
        """Guards against answers of later processes that count too early."""

        async def work() -> None:
            feed = RefreshFeed()
            follower = TableFollower(feed, TABLE, lambda rows: None, random.Random(1))
            run = asyncio.create_task(follower.run())
            await asyncio.sleep(2.0)
            self.assertEqual(follower.known_at, 0.0)
            refresh = asyncio.create_task(follower.refresh())
            await asyncio.sleep(1.0)
            feed.answers.put_nowait(Changes(14, (), ()))
            await refresh
            self.assertEqual(follower.known_at, 2.0)
            feed.answers.put_nowait(LostAnswerError("lost"))
            await follower.refresh()
            self.assertEqual(follower.known_at, 2.0)
            run.cancel()

        run_virtual(work())

    def test_changes_are_known_until_the_store_answered(self) -> None:
        """Guards against an answer that waited being taken for an old one."""

        async def work() -> tuple[float, ...]:
            feed, known = RefreshFeed(), []
            follower = TableFollower(feed, TABLE, lambda rows: None, random.Random(1))
            run = asyncio.create_task(follower.run())
            await asyncio.sleep(1.0)
            for now_ms, seconds in ((7_000, 0.0), (8_500, 1.5)):
                refresh = asyncio.create_task(follower.refresh())
                await asyncio.sleep(seconds)
                feed.answers.put_nowait(Changes(14, (), (), now_ms))
                await refresh
                known.append(round(follower.known_at, 1))
            run.cancel()
            return tuple(known)

        self.assertEqual(run_virtual(work()), (1.0, 2.5))

    def test_what_a_feeder_has_read_is_dated_by_the_store(self) -> None:
        """Guards against proxies that read by a feeder and know nothing's age."""

        async def work() -> tuple[float, ...]:
            feed, relay = RefreshFeed(), ScriptedRelay()
            follower = TableFollower(
                feed, TABLE, lambda rows: None, random.Random(1), relay
            )
            relay.read_ms = 9_000
            follower.wake()
            run = asyncio.create_task(follower.run())
            await asyncio.sleep(1.0)
            known = [follower.known_at]
            feed.answers.put_nowait(Changes(14, (), (), 7_000))
            await follower.refresh()
            for read_ms in (0, 8_500, 60_000):
                await asyncio.sleep(2.0)
                relay.read_ms = read_ms
                follower.wake()
                known.append(round(follower.known_at, 1))
            run.cancel()
            return tuple(known)

        # A time that cannot be yet counts as now.
        self.assertEqual(run_virtual(work()), (0.0, 1.0, 2.5, 7.0))

    def test_failure_and_an_earlier_revision_are_told(self) -> None:
        for answer in (LostAnswerError("lost"), Changes(9, (), ())):
            with self.subTest(answer):
                self.assertEqual(self.refresh(answer), (False, 10))


class CatchUpTest(unittest.TestCase):
    """A copy that is behind what it is told to know, beside a feeder that is no help.

    Guards against one wait and one call of the store for each change of an entry.
    """

    def catch_up(
        self, revisions: range, pause_seconds: float, *answers: Changes | Exception
    ) -> tuple[list[int], int, int]:
        """Ask for revisions one by one, while the store answers when asked.

        Return the revisions after which the store was asked, how many of the tasks
        were ever under way together, and the revision known in the end.
        """

        async def work() -> tuple[list[int], int, int]:
            feed, relay = RefreshFeed(), ScriptedRelay()
            relay.is_live = True
            follower = TableFollower(
                feed, TABLE, lambda rows: None, random.Random(1), relay
            )
            run = asyncio.create_task(follower.run())
            await asyncio.sleep(0.1)
            tasks: list[asyncio.Task[None]] = []
            most = 0
            for revision in revisions:
                tasks.append(asyncio.create_task(follower.catch_up(revision)))
                await asyncio.sleep(pause_seconds)
                most = max(most, sum(not each.done() for each in tasks))
            for answer in answers:
                while feed.answers.qsize() or not feed.afters:
                    await asyncio.sleep(0.1)
                await asyncio.sleep(0.2)
                feed.answers.put_nowait(answer)
            _, unanswered = await asyncio.wait(tasks, timeout=10.0)
            for task in (run, *unanswered):
                task.cancel()
            return feed.afters, most, follower.known_until

        return run_virtual(work())

    def test_changes_during_the_wait_for_a_feeder_cost_one_call_of_the_store(
        self,
    ) -> None:
        found = self.catch_up(range(11, 31), 0.04, Changes(30, ()))
        self.assertEqual(found, ([10], 1, 30))

    def test_refusing_store_is_asked_once_for_changes_during_the_wait(self) -> None:
        found = self.catch_up(range(11, 31), 0.04, LostAnswerError("lost"))
        self.assertEqual(found, ([10], 1, 10))

    def test_change_during_a_call_of_the_store_is_asked_for_after_it(self) -> None:
        found = self.catch_up(range(11, 14), 0.8, Changes(12, ()), Changes(13, ()))
        self.assertEqual(found, ([10, 12], 1, 13))

    def test_change_after_a_failure_is_asked_for_again(self) -> None:
        async def work() -> int:
            feed = RefreshFeed()
            follower = TableFollower(feed, TABLE, lambda rows: None, random.Random(1))
            run = asyncio.create_task(follower.run())
            await asyncio.sleep(0.1)
            feed.answers.put_nowait(LostAnswerError("lost"))
            await follower.catch_up(11)
            feed.answers.put_nowait(Changes(12, ()))
            await follower.catch_up(12)
            run.cancel()
            return follower.known_until

        self.assertEqual(run_virtual(work()), 12)


class FollowerTest(unittest.TestCase):
    """Changes from feeders and from the store are applied in order."""

    def run_steps(
        self,
        steps: Callable[[TableFollower, ScriptedFeed, ScriptedRelay], Awaitable[None]],
    ) -> dict[str, bytes]:
        """Run the steps and return the rows that the follower has after them."""
        rows: dict[str, bytes] = {}

        def on_rows(found: Rows) -> None:
            rows.clear()
            rows.update({key: row.value for key, row in found.items()})

        async def work() -> None:
            feed, relay = ScriptedFeed(), ScriptedRelay()
            follower = TableFollower(feed, TABLE, on_rows, random.Random(1), relay)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(1.0)
            await steps(follower, feed, relay)
            await asyncio.sleep(1.0)
            task.cancel()

        run_virtual(work())
        return rows

    def test_change_after_a_missed_one_is_not_applied(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            follower.apply_relayed(TableChange(TABLE, 11, 13, (Row("c", 13, b"new"),)))
            feed.answers.put_nowait(Changes(11, ()))
            await asyncio.sleep(0.1)
            self.assertEqual(feed.afters, [10, 11])
            missed = (Row("b", 12, b"new"), Row("c", 13, b"new"))
            feed.answers.put_nowait(Changes(13, missed))

        self.assertEqual(self.run_steps(steps), {"a": b"old", "b": b"new", "c": b"new"})

    def test_relayed_change_is_known_to_a_proxy_that_becomes_a_feeder(self) -> None:
        """Guards against asking the store since a feeder seems to be outdated."""

        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            follower.apply_relayed(TableChange(TABLE, 10, 13, (Row("a", 13, b"new"),)))
            self.assertEqual(follower.state.changed_at, 13)
            follower.apply_relayed(TableChange(TABLE, 20, 21, (Row("b", 21, b"new"),)))
            self.assertEqual(follower.state.changed_at, 13)

        self.assertEqual(self.run_steps(steps), {"a": b"new"})

    def test_older_relayed_change_is_ignored(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            follower.apply_relayed(TableChange(TABLE, 10, 13, (Row("a", 13, b"new"),)))
            follower.apply_relayed(
                TableChange(TABLE, 10, 12, (Row("a", 12, b"older"),))
            )
            all_rows = (Row("a", 9, b"oldest"),)
            follower.apply_relayed(TableChange(TABLE, 0, 9, all_rows, (), True))

        self.assertEqual(self.run_steps(steps), {"a": b"new"})

    def test_older_reply_of_the_store_is_ignored(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            follower.apply_relayed(TableChange(TABLE, 10, 13, (Row("a", 13, b"new"),)))
            feed.answers.put_nowait(Changes(12, (Row("a", 12, b"older"),)))

        self.assertEqual(self.run_steps(steps), {"a": b"new"})

    def test_missed_change_is_polled_for_without_waiting(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            relay.is_live, relay.is_up_to_date = True, False
            feed.answers.put_nowait(Changes(11, ()))
            await asyncio.sleep(0.1)
            self.assertEqual(feed.waits, [FEED_WAIT_SECONDS, 0.0])

        self.run_steps(steps)

    def test_store_outage_and_recovery_are_published_at_once(self) -> None:
        async def steps(
            follower: TableFollower, feed: ScriptedFeed, relay: ScriptedRelay
        ) -> None:
            relay.published.clear()
            feed.answers.put_nowait(LostAnswerError("away"))
            await asyncio.sleep(0.0)
            await asyncio.sleep(0.0)
            self.assertEqual(relay.published, [None])
            self.assertFalse(follower.state.is_reachable)
            feed.answers.put_nowait(Changes(11, ()))
            await asyncio.sleep(1.0)
            self.assertEqual(relay.published, [None, None])

        self.run_steps(steps)
