"""Tests of the announcer: what a promoter announces and other proxies hear of."""

import doctest
import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.primary_change import CHANGE_SECONDS, PrimaryChange
from beryltiller.sessions.succession import announcer
from beryltiller.sessions.succession.announcement import Announcement
from beryltiller.sessions.succession.announcement_rows import HEDGE_SECONDS
from beryltiller.sessions.succession.announcer import Announcer
from tests.fake_announcements import FEED_SECONDS, FakeAnnouncements
from tests.fake_group import GroupFixture
from tests.virtual_loop import pass_time, run_virtual, virtual_now

CHANGE = PrimaryChange(1, Position(1, 10))


def version_of(written: Announcement | None) -> int:
    """Return the version of an announcement, or 0 if it was not written."""
    return written.version if written else 0


class AnnouncerTest(unittest.TestCase):
    """One promoter that announces, and another proxy that hears of it."""

    def setUp(self) -> None:
        self.announcements = FakeAnnouncements()

    def announce(self, reported: Position | None = None) -> tuple[int, bool, bool]:
        """Announce a change; the other proxy has reported a commit at `reported`.

        Return the version, whether it is unopposed, and whether the other proxy takes
        the change to be under way.
        """

        async def work() -> tuple[int, bool, bool]:
            promoter = self._proxy()
            self._proxy()
            changes = self._newest_group.changes
            if reported is not None:
                changes.record_reported(reported)
            version = version_of(await promoter.announce("s", CHANGE, 7))
            await pass_time(2 * FEED_SECONDS)
            is_unopposed = await promoter.is_unopposed("s", version)
            is_under_way = changes.under_way(1, virtual_now()) is not None
            return version, is_unopposed, is_under_way

        return run_virtual(work())

    def _proxy(self) -> Announcer:
        fixture = GroupFixture()
        self._newest_group = fixture.fleet.group("s")
        return self.announcements.add_proxy(fixture.fleet)

    def test_other_proxies_learn_of_the_change(self) -> None:
        self.assertEqual(self.announce(), (1, True, True))

    def test_other_proxy_objects_if_it_reported_a_commit_that_is_dropped(self) -> None:
        _, is_unopposed, _ = self.announce(Position(1, 11))
        self.assertFalse(is_unopposed)

    def test_other_proxy_objects_if_it_knows_of_a_later_term(self) -> None:
        """Guards against a promotion beside a primary unknown to the promoter."""

        async def work() -> tuple[bool, Announcement | None]:
            promoter = self._proxy()
            own = self._newest_group
            self._proxy()
            later = Position(2, 11)
            group = self._newest_group
            group.record_position(group.members["near"], later, virtual_now())
            version = version_of(await promoter.announce("s", CHANGE, 7))
            await pass_time(2 * FEED_SECONDS)
            self.assertFalse(await promoter.is_unopposed("s", version))
            row = self.announcements.rows["s"]
            self.assertEqual((row.later_term, row.objection), (2, None))
            self.assertEqual(own.changes.later_term, 2)
            again = await promoter.announce("s", CHANGE, 7)
            await pass_time(2 * FEED_SECONDS)
            return await promoter.is_unopposed("s", version_of(again)), again

        is_unopposed, again = run_virtual(work())
        self.assertEqual(again and again.begun_term, 2)
        self.assertTrue(is_unopposed)

    def test_late_objection_leaves_the_successor_alone(self) -> None:
        """Guards against refusing its writes once proxies know its term."""

        async def work(is_over: bool) -> tuple[Announcement, list[bool]]:
            self.announcements = FakeAnnouncements()
            promoter = self._proxy()
            own = self._newest_group
            await promoter.announce("s", CHANGE, 7)
            await pass_time(2 * FEED_SECONDS)
            late = self._proxy()
            for group in (own, self._newest_group):
                position = Position(2, 11)
                group.record_position(group.members["near"], position, virtual_now())
                group.changes.record_reported(position)
            row = self.announcements.rows["s"]
            if is_over:
                await promoter.withdraw("s", 7, is_over=True, successor_term=2)
            self.assertTrue(late.apply(row))
            await late.object_to(row)
            await pass_time(2 * FEED_SECONDS)
            shown = [
                (each.change_under_way(virtual_now()) is not None)
                or each.changes.drops(Position(2, 12), 2, virtual_now())
                for each in (own, self._newest_group)
            ]
            if not is_over:
                self.assertEqual(self.announcements.rows["s"].later_term, 2)
                await promoter.withdraw("s", 7, is_over=True, successor_term=2)
            return self.announcements.rows["s"], shown

        for is_over in (False, True):
            with self.subTest(is_over=is_over):
                row, shown = run_virtual(work(is_over))
                self.assertEqual((row.is_over, row.may_have_begun), (True, 2))
                self.assertEqual(shown, [False, False])

    def test_objection_that_is_not_answered_is_sent_again(self) -> None:
        """Guards against a promotion that no objection reaches in time."""

        async def work() -> bool:
            promoter = self._proxy()
            self._proxy()
            self._newest_group.changes.record_reported(Position(1, 11))
            version = version_of(await promoter.announce("s", CHANGE, 7))
            self.announcements.hanging_writes = 1
            await pass_time(2 * FEED_SECONDS + HEDGE_SECONDS)
            return await promoter.is_unopposed("s", version)

        self.assertFalse(run_virtual(work()))

    def test_objection_does_not_replace_a_later_announcement(self) -> None:
        async def work() -> Announcement:
            promoter, other = self._proxy(), self._proxy()
            self._newest_group.changes.record_reported(Position(1, 11))
            await promoter.announce("s", CHANGE, 7)
            early = self.announcements.rows["s"]
            await promoter.announce("s", PrimaryChange(2, Position(2, 20)), 8)
            await other.object_to(early)
            return self.announcements.rows["s"]

        self.assertIsNone(run_virtual(work()).objection)

    def test_announcement_whose_answer_was_lost_is_found(self) -> None:
        self.announcements.lost_answers = 1
        self.assertEqual(self.announce(), (1, True, True))

    def test_write_that_is_not_answered_is_sent_again(self) -> None:
        """Guards against a promotion that waits for a write that is done late."""
        self.announcements.hanging_writes = 2
        self.assertEqual(self.announce(), (1, True, True))

    def test_announcement_without_the_store_fails(self) -> None:
        self.announcements.is_down = True
        self.assertEqual(self.announce(), (0, False, False))

    def test_withdrawn_change_is_under_way_nowhere(self) -> None:
        async def work() -> list[object]:
            promoter = self._proxy()
            own = self._newest_group.changes
            self._proxy()
            others = self._newest_group.changes
            await promoter.announce("s", CHANGE, 7)
            await promoter.withdraw("s", 7)
            await pass_time(2 * FEED_SECONDS)
            return [each.under_way(1, virtual_now()) for each in (own, others)]

        self.assertEqual(run_virtual(work()), [None, None])

    def test_change_that_is_over_is_applied_by_no_proxy_that_starts(self) -> None:
        """Guards against refusing writes after each start of a process."""

        async def work() -> list[bool]:
            promoter = self._proxy()
            early = self._newest_group
            self._proxy()
            await promoter.announce("s", CHANGE, 7)
            await promoter.withdraw("s", 7, is_over=True)
            late = self._proxy()
            late.apply(self.announcements.rows["s"])
            groups = (early, self._newest_group)
            now = virtual_now()
            return [each.changes.under_way(1, now) is not None for each in groups]

        self.assertEqual(run_virtual(work()), [True, False])

    def test_later_announcement_is_not_withdrawn(self) -> None:
        async def work() -> Announcement:
            first, second = self._proxy(), self._proxy()
            await first.announce("s", CHANGE, 7)
            await second.announce("s", PrimaryChange(2, Position(2, 20)), 8)
            await first.withdraw("s", 7)
            return self.announcements.rows["s"]

        self.assertFalse(run_virtual(work()).is_withdrawn)

    def test_later_announcement_tells_which_term_may_have_begun(self) -> None:
        """Guards against a promotion that knows of no other promoter's one."""
        early = Announcement("s", CHANGE, 7, begun_term=1, version=3)
        withdrawn = replace(early, is_withdrawn=True)
        over = replace(early, is_over=True)
        cases = (
            ("no row", None, 0),
            ("under way", early, 2),
            ("after another one", replace(early, begun_term=4), 5),
            ("withdrawn", withdrawn, 1),
            ("over", over, 2),
            ("over, successor known", replace(over, successor_term=4), 4),
            ("of this claim", replace(early, token=8), 1),
            ("of an earlier release", replace(early, begun_term=0), 2),
        )

        async def work(row: Announcement | None, is_read: bool) -> Announcement | None:
            self.announcements = FakeAnnouncements()
            promoter = self._proxy()
            if row is not None:
                self.announcements.rows["s"] = row
                self.announcements.version = row.version
                if is_read:
                    promoter.apply(row)
            self.announcements.lost_answers = 1
            return await promoter.announce("s", CHANGE, 8)

        for name, row, expected in cases:
            for is_read in (False, True):
                with self.subTest(name, is_read=is_read):
                    found = run_virtual(work(row, is_read))
                    written = self.announcements.rows["s"]
                    self.assertEqual((written.begun_term, written.token), (expected, 8))
                    self.assertEqual(found, written)

    def test_change_is_announced_if_a_restored_store_lacks_the_row(self) -> None:
        """Guards against a group that never gets a primary after a restoration."""

        async def work() -> int:
            promoter = self._proxy()
            promoter.apply(Announcement("s", CHANGE, 7, version=4))
            return version_of(await promoter.announce("s", CHANGE, 8))

        self.assertEqual(run_virtual(work()), 1)

    def test_term_that_may_have_begun_is_known_after_a_restoration(self) -> None:
        """Guards against forgetting it with a row of an older copy of the store."""
        older = Announcement("s", CHANGE, 7, is_withdrawn=True, version=3)
        lost = Announcement("s", PrimaryChange(2, Position(2, 20)), 8, version=4)

        async def work(copy: Announcement | None) -> int:
            self.announcements = FakeAnnouncements()
            promoter = self._proxy()
            promoter.apply(lost)
            if copy is not None:
                self.announcements.rows["s"] = replace(copy, version=100)
                promoter.apply(replace(copy, version=100))
            written = await promoter.announce("s", CHANGE, 200)
            return written.begun_term if written else -1

        for copy in (older, None):
            with self.subTest(copy):
                self.assertEqual(run_virtual(work(copy)), 3)

    def test_term_that_may_have_begun_stays_when_a_later_claim_withdraws(self) -> None:
        async def work(token: int) -> int:
            self.announcements = FakeAnnouncements()
            proxy = self._proxy()
            await proxy.announce("s", CHANGE, 7)
            await proxy.withdraw("s", token)
            row = self.announcements.rows["s"]
            self.assertTrue(row.is_withdrawn)
            return row.may_have_begun

        for token, expected in ((7, 0), (8, 2)):
            with self.subTest(token=token):
                self.assertEqual(run_virtual(work(token)), expected)

    def test_commits_of_the_successor_are_reported_once_its_term_is_known(self) -> None:
        """Guards against refusing them as those of a term that may have begun."""
        under_way = Announcement("s", CHANGE, 7, begun_term=3, version=1)
        over = replace(under_way, is_over=True, version=2)
        known = replace(over, successor_term=3)
        cases = (
            ("under way", under_way, [True, True, True], True),
            ("over", known, [True, True, False], False),
            ("over, successor's term not known", over, [True, False, False], False),
        )

        async def work(row: Announcement) -> tuple[list[bool], bool]:
            proxy = self._proxy()
            proxy.apply(under_way)
            proxy.apply(row)
            changes, now = self._newest_group.changes, virtual_now()
            positions = (Position(term, 11) for term in (1, 2, 3))
            drops = [changes.drops(each, 3, now) for each in positions]
            return drops, changes.under_way(3, now) is not None

        for name, row, drops, is_under_way in cases:
            with self.subTest(name):
                self.assertEqual(run_virtual(work(row)), (drops, is_under_way))

    def test_announcement_that_is_done_late_is_withdrawn_before(self) -> None:
        """Guards against refusing writes after the promoter has given up."""

        async def work() -> tuple[int, bool]:
            promoter = self._proxy()
            self.announcements.hanging_writes = 100
            version = version_of(await promoter.announce("s", CHANGE, 7))
            self.announcements.hanging_writes = 0
            await promoter.withdraw("s", 7)
            return version, self.announcements.rows["s"].is_withdrawn

        self.assertEqual(run_virtual(work()), (0, True))

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(announcer).failed, 0)

    def test_row_of_an_older_copy_does_not_bring_back_what_has_ended(self) -> None:
        """Guards against refusing writes, or accepting them, after a restoration."""
        begun = Announcement("s", CHANGE, 7, version=1)
        later = Announcement("s", PrimaryChange(2, Position(2, 20)), 8, version=3)
        withdrawn = replace(begun, is_withdrawn=True, version=2)
        happened = replace(begun, is_over=True, version=2)
        cases = (
            ("withdrawn", withdrawn, begun, 0.1, None),
            ("happened", happened, begun, CHANGE_SECONDS, None),
            ("a later one", later, begun, 0.1, later.change),
            ("its end, a later one", later, withdrawn, 0.1, later.change),
        )

        async def work(
            applied: Announcement, copied: Announcement, seconds: float
        ) -> PrimaryChange | None:
            proxy = self._proxy()
            proxy.apply(begun)
            proxy.apply(applied)
            await pass_time(1.0)
            proxy.apply(replace(copied, version=100))
            await pass_time(seconds)
            return self._newest_group.changes.under_way(1, virtual_now())

        for name, applied, copied, seconds, expected in cases:
            with self.subTest(name):
                found = run_virtual(work(applied, copied, seconds))
                self.assertEqual(found, expected)
