"""Tests of the keeper of in-sync sets, and of the row that it shares with promoters."""

import asyncio
import random
import sys
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Database, Departed, Directory
from beryltiller.sessions.databases.in_sync import InSyncChange
from beryltiller.sessions.databases.in_sync_set import (
    DRAIN_LEASE_SECONDS,
    SET_LEASE_SECONDS,
    InSyncProcess,
    InSyncSet,
    process_of,
)
from beryltiller.sessions.databases.primary_change import CHANGE_SECONDS, PrimaryChange
from beryltiller.sessions.statements import AskStatus, Code, Write
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.ended_processes import EndedProcesses
from beryltiller.sessions.succession.in_sync_keeper import InSyncKeeper
from tests.fake_announcements import FakeAnnouncements
from tests.fake_group import ROUND_TRIP_SECONDS, FakeDatabase, GroupFixture
from tests.virtual_loop import pass_time, run_virtual, virtual_now

CHANGE = PrimaryChange(1, Position(1, 10))


class StoppedFeed:
    """The feed of a proxy that has had no news since a moment."""

    known_until = sys.maxsize
    is_reachable = False

    def __init__(self, known_at: float) -> None:
        self.known_at = known_at

    async def refresh(self) -> bool:
        return False


class Kept:
    """A proxy that keeps the in-sync set of a fake group."""

    def __init__(self) -> None:
        self.fixture = GroupFixture()
        self.fixture.fleet.keep_in_sync_sets(entry_seconds=4.0)
        self.announcements = FakeAnnouncements()
        self.announcer = self.add_announcer(self.fixture)
        self.is_store_reachable = True
        self.keeper = InSyncKeeper(
            self.fixture.fleet,
            self.announcer,
            lambda: self.is_store_reachable,
            random.Random(1),
            virtual_now,
        )

    def add_announcer(self, fixture: GroupFixture) -> Announcer:
        return self.announcements.add_proxy(fixture.fleet)

    async def keep(self, seconds: float) -> None:
        """Let the keeper work for some seconds."""
        until = virtual_now() + seconds
        while virtual_now() < until:
            await self.fixture.fleet.confirm_leaders()
            await self.keeper.check()
            await pass_time(0.1)

    def row(self) -> tuple[InSyncProcess, ...]:
        row = self.announcements.rows.get("s")
        return row.in_sync if row else ()

    def names(self) -> list[str]:
        """Return the processes in the row, with a mark on those that leave."""
        return [
            f"{each.identifier}{' leaving' if each.is_leaving else ''}"
            for each in self.row()
        ]

    def _entries(self) -> dict[str, Database]:
        databases = self.fixture.databases.items()
        return {key: each.entry() for key, each in databases}

    def drain(self, name: str) -> None:
        """Let the entry of a database tell that it drains."""
        entries = self._entries()
        entries[name] = replace(entries[name], is_draining=True)
        self.fixture.fleet.register(Directory(entries))

    def depart(self, name: str) -> None:
        """Let the entry of a database go."""
        entries = self._entries()
        del entries[name]
        departed = Departed(self.fixture.databases[name].entry(), virtual_now())
        self.fixture.fleet.register(Directory(entries, (departed,)))


def run_kept(work: Callable[[Kept], Awaitable[None]]) -> None:
    """Run a test with a proxy on a virtual clock, once its group is in sync."""

    async def run() -> None:
        kept = Kept()
        await kept.keep(1.0)
        assert kept.names() == ["far", "leader", "near"], kept.names()
        await work(kept)
        kept.fixture.fleet.close()

    run_virtual(run())


class JoinTest(unittest.TestCase):
    """A set that is empty at first."""

    def test_nothing_is_written_without_the_store(self) -> None:
        async def work() -> None:
            kept = Kept()
            kept.is_store_reachable = False
            await kept.keep(2.0)
            self.assertEqual(kept.announcements.version, 0)
            kept.fixture.fleet.close()

        run_virtual(work())

    def test_replica_that_lags_is_asked_less_and_less(self) -> None:
        async def work() -> None:
            kept = Kept()
            kept.fixture.far.index = 3
            await kept.keep(2.0)
            asked_at_first = kept.fixture.far.asked
            await kept.keep(60.0)
            self.assertEqual(kept.names(), ["leader", "near"])
            self.assertLess(kept.fixture.far.asked, asked_at_first + 6)
            kept.fixture.fleet.close()

        run_virtual(work())

    def test_write_is_refused_until_its_primary_is_in_sync(self) -> None:
        async def work() -> None:
            kept = Kept()
            fixture = kept.fixture
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertIs(reply.code, Code.BUSY)
            self.assertEqual(fixture.leader.ran, [])
            await kept.keep(1.0)
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertTrue(reply.is_success)
            fixture.fleet.close()

        run_virtual(work())

    def test_row_tells_what_was_reported(self) -> None:
        """Guards against promoters that know of no report, all having restarted."""

        async def work(kept: Kept) -> None:
            reported = Position(1, 25)
            kept.fixture.fleet.group("s").changes.record_reported(reported)
            kept.depart("far")
            await kept.keep(1.0)
            later = GroupFixture()
            announcer = kept.add_announcer(later)
            announcer.apply(kept.announcements.rows["s"])
            changes = later.fleet.group("s").changes
            self.assertEqual(changes.reported_anywhere, reported)

        run_kept(work)


class LeaveTest(unittest.TestCase):
    """A replica whose entry has gone."""

    def leave(self, change: Callable[[Kept], None], seconds: float = 5.0) -> list[str]:
        """Return the set some time after the entry of `far` has gone."""
        found: list[str] = []

        async def work(kept: Kept) -> None:
            change(kept)
            kept.depart("far")
            await kept.keep(seconds)
            found.extend(kept.names())

        run_kept(work)
        return found

    def test_process_is_removed_once_no_proxy_counts_it(self) -> None:
        """Guards against a cut, or a lapsed entry, taken for an ended process.

        It makes no difference whether the process answers, is silent, or its host
        refuses connections.
        """

        def go_on(kept: Kept) -> None:
            pass

        def silence(kept: Kept) -> None:
            kept.fixture.far.is_unreachable = True

        def stop(kept: Kept) -> None:
            kept.fixture.far.is_stopped = True

        for change in (go_on, silence, stop):
            for drains in (False, True):
                with self.subTest(change=change.__name__, drains=drains):
                    lease = DRAIN_LEASE_SECONDS if drains else SET_LEASE_SECONDS
                    removed_after = self.removed_after(change, drains)
                    self.assertGreater(removed_after, lease)
                    self.assertLess(removed_after, lease + 5.0)

    def removed_after(self, change: Callable[[Kept], None], drains: bool) -> float:
        """Return how long after its mark `far` is removed, in seconds.

        By then a proxy that has not read the mark does not count it alone, and not at
        all if it has not drained.
        """
        found: list[float] = []

        async def work(kept: Kept) -> None:
            # Nobody has left for a while.
            await kept.keep(SET_LEASE_SECONDS + 1.0)
            unaware = GroupFixture()
            unaware.fleet.keep_in_sync_sets(entry_seconds=4.0)
            unaware.fleet.follow_announcements(StoppedFeed(virtual_now()))
            announcer = Announcer(unaware.fleet, kept.announcements, virtual_now)
            announcer.apply(kept.announcements.rows["s"])
            group = unaware.fleet.group("s")
            far = group.members["far"]
            self.assertTrue(group.counts_alone(far))
            if drains:
                kept.drain("far")
            else:
                kept.depart("far")
            while "far leaving" not in kept.names():
                await kept.keep(0.1)
            marked_at = virtual_now()
            change(kept)
            kept.depart("far")
            while "far leaving" in kept.names():
                self.assertLess(virtual_now(), marked_at + 60.0)
                await kept.keep(0.1)
            self.assertFalse(group.counts_alone(far))
            self.assertEqual(group.is_set_current, drains)
            found.append(virtual_now() - marked_at)
            unaware.fleet.close()

        run_kept(work)
        return found[0]

    def test_process_whose_address_another_one_has_is_removed(self) -> None:
        def replace_far(kept: Kept) -> None:
            kept.fixture.far.is_replaced = True
            kept.fixture.fleet.close()

        self.assertEqual(self.leave(replace_far), ["leader", "near"])

    def test_process_stays_while_the_other_replica_lacks_commits(self) -> None:
        def stop_and_lag(kept: Kept) -> None:
            kept.fixture.far.is_stopped = True
            kept.fixture.leader.index = 12

        found = self.leave(stop_and_lag, seconds=30.0)
        self.assertEqual(found, ["leader", "near", "far leaving"])

    def test_process_stays_while_no_primary_is_in_force(self) -> None:
        def stop_all(kept: Kept) -> None:
            kept.fixture.far.is_stopped = True
            kept.fixture.leader.hang.add(AskStatus)

        found = self.leave(stop_all, seconds=30.0)
        self.assertEqual(found, ["leader", "near", "far leaving"])

    def test_process_that_started_again_is_replaced_by_its_successor(self) -> None:
        async def work(kept: Kept) -> None:
            fixture = kept.fixture
            entries = {key: each.entry() for key, each in fixture.databases.items()}
            fixture.far.index = 0
            entries["far"] = replace(entries["far"], incarnation=9)
            fixture.fleet.register(Directory(entries))
            await kept.keep(3.0)
            self.assertEqual(kept.names(), ["leader", "near", "far leaving"])
            fixture.far.index = 10
            await kept.keep(30.0)
            self.assertEqual(kept.names(), ["far", "leader", "near"])
            self.assertEqual(kept.row()[0].incarnation, 9)

        run_kept(work)


class ChangingSetTest(unittest.TestCase):
    """A set that changes while it is found out who has ended."""

    LATE = replace(process_of(FakeDatabase("late").entry()), is_leaving=True)

    def test_set_that_changes_meanwhile_is_looked_at_again(self) -> None:
        """Guards against two removals by two proxies, where one at most may be."""

        async def work(kept: Kept) -> None:
            await kept.keep(SET_LEASE_SECONDS + 1.0)
            kept.drain("far")
            await kept.keep(2.0)
            kept.depart("far")
            kept.is_store_reachable = False
            await kept.keep(DRAIN_LEASE_SECONDS + 1.0)
            left = InSyncSet(kept.row())
            self.assertEqual(await self.due(kept, left, left), ["far"])
            before = InSyncSet((*left.processes, self.LATE))
            self.assertEqual(await self.due(kept, before, left), [])

        run_kept(work)

    async def due(self, kept: Kept, before: InSyncSet, after: InSyncSet) -> list[str]:
        """Return who is due for removal if the set changes while databases answer."""
        fleet = kept.fixture.fleet
        kept.fixture.databases["late"] = FakeDatabase("late", is_unreachable=True)
        ended = EndedProcesses(fleet, random.Random(1), virtual_now)
        group = fleet.group("s")
        group.record_in_sync(before)
        # The first attempts are due a little later, at different times.
        self.assertEqual(await ended.due(group), {})
        await kept.keep(2.0)
        asking = asyncio.create_task(ended.due(group))
        await pass_time(ROUND_TRIP_SECONDS / 2)
        group.record_in_sync(after)
        return [each.identifier for each in await asking]


class SharedRowTest(unittest.TestCase):
    """The set and the announced change are one row."""

    JOINING = InSyncChange(joining=(process_of(FakeDatabase("late").entry()),))

    def test_set_stays_in_the_row_through_a_change(self) -> None:
        async def work(kept: Kept) -> None:
            await kept.announcer.announce("s", CHANGE, 7)
            self.assertEqual(len(kept.row()), 3)
            await kept.announcer.withdraw("s", 7, is_over=True, successor_term=2)
            self.assertEqual(len(kept.row()), 3)

        run_kept(work)

    def test_set_does_not_change_while_a_change_is_in_force(self) -> None:
        """Guards against promoters that have to announce again and again."""

        async def work(kept: Kept) -> None:
            written = await kept.announcer.announce("s", CHANGE, 7)
            assert written is not None
            kept.depart("far")
            await kept.keep(CHANGE_SECONDS - 0.5)
            self.assertEqual(kept.announcements.version, written.version)
            await kept.keep(2.0)
            self.assertIn("far leaving", kept.names())

        run_kept(work)

    def test_promoter_learns_of_a_process_that_joined_after_its_announcement(
        self,
    ) -> None:
        """Guards against dropping what the newcomer alone has received."""

        async def work(kept: Kept) -> None:
            other = kept.add_announcer(GroupFixture())
            await other.change_in_sync("s", InSyncChange())
            written = await kept.announcer.announce("s", CHANGE, 7)
            assert written is not None
            await pass_time(0.1)
            self.assertTrue(await other.change_in_sync("s", self.JOINING))
            is_unopposed = await kept.announcer.is_unopposed("s", written.version)
            self.assertTrue(is_unopposed)
            in_sync = kept.fixture.fleet.group("s").in_sync
            assert in_sync is not None
            self.assertEqual(in_sync.processes, kept.row())
            self.assertEqual(len(in_sync.processes), 4)

        run_kept(work)

    def test_joining_process_does_not_let_an_announced_change_count_longer(
        self,
    ) -> None:
        """Guards against refusing writes anew with each process that joins."""

        async def work(kept: Kept) -> None:
            other_fixture = GroupFixture()
            other = kept.add_announcer(other_fixture)
            await kept.announcer.announce("s", CHANGE, 7)
            await pass_time(CHANGE_SECONDS - 0.5)
            self.assertTrue(await kept.announcer.change_in_sync("s", self.JOINING))
            await pass_time(1.0)
            for fixture in (kept.fixture, other_fixture):
                group = fixture.fleet.group("s")
                self.assertIsNone(group.change_under_way(virtual_now()))
            self.assertFalse(other.is_new("s", kept.announcements.version))

        run_kept(work)


class RestoredStoreTest(unittest.TestCase):
    """The store comes back from a copy that was made before the row."""

    def test_set_is_written_again(self) -> None:
        async def work(kept: Kept) -> None:
            kept.announcements.rows.clear()
            kept.announcements.version += 100
            kept.announcer.record_rows(kept.announcements.rows.keys())
            await kept.keep(10.0)
            self.assertEqual(kept.names(), ["far", "leader", "near"])

        run_kept(work)

    def test_announcement_keeps_the_set_that_its_promoter_knows(self) -> None:
        async def work(kept: Kept) -> None:
            kept.announcements.rows.clear()
            kept.announcements.version += 100
            written = await kept.announcer.announce("s", CHANGE, 7, successor="near")
            assert written is not None
            in_sync = kept.fixture.fleet.group("s").in_sync
            assert in_sync is not None
            self.assertEqual(len(in_sync.processes), 3)
            self.assertEqual(kept.names(), ["far", "leader", "near"])

        run_kept(work)


class PendingPromotionTest(unittest.TestCase):
    """Promotions that may act after their claims, as the row names them."""

    def pending_after(self, work: Callable[[Kept], Awaitable[None]]) -> tuple[str, ...]:
        found: list[tuple[str, ...]] = []

        async def run(kept: Kept) -> None:
            await kept.announcer.announce("s", CHANGE, 7, successor="near")
            await work(kept)
            pending = kept.announcements.rows["s"].pending
            found.append(tuple(each.identifier for each in pending))

        run_kept(run)
        return found[0]

    def test_later_announcement_names_what_was_announced_and_not_ended(self) -> None:
        async def announce(kept: Kept) -> None:
            await kept.announcer.announce("s", CHANGE, 8, successor="far")

        self.assertEqual(self.pending_after(announce), ("near",))

    def test_proxy_that_withdraws_for_another_one_names_it(self) -> None:
        async def withdraw(kept: Kept) -> None:
            await kept.announcer.withdraw("s", 8)

        self.assertEqual(self.pending_after(withdraw), ("near",))

    def test_own_change_that_was_not_requested_leaves_nothing(self) -> None:
        async def withdraw(kept: Kept) -> None:
            await kept.announcer.withdraw("s", 7)
            await kept.announcer.announce("s", CHANGE, 8, successor="far")

        self.assertEqual(self.pending_after(withdraw), ())

    def test_change_that_is_over_leaves_a_request_without_an_answer(self) -> None:
        for is_repeated, expected in ((True, ("near",)), (False, ())):

            async def end(kept: Kept, is_repeated: bool = is_repeated) -> None:
                await kept.announcer.withdraw("s", 7, True, 2, is_repeated)

            with self.subTest(is_repeated=is_repeated):
                self.assertEqual(self.pending_after(end), expected)

    def test_name_leaves_the_row_once_it_does_not_count(self) -> None:
        async def wait(kept: Kept) -> None:
            await kept.announcer.announce("s", CHANGE, 8, successor="far")
            await kept.announcer.withdraw("s", 8)
            await asyncio.sleep(20.0)
            await kept.announcer.clear_names()

        self.assertEqual(self.pending_after(wait), ())


if __name__ == "__main__":
    unittest.main()
