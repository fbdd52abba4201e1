"""Tests of announced changes of primary: what proxies report, refuse and object to."""

import asyncio
import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.evidence import (
    CommitCovers,
    Evidence,
    EvidenceKind,
    Sample,
    TermProofs,
)
from beryltiller.sessions.databases.primary_change import (
    CHANGE_SECONDS,
    ChangeTracker,
    PrimaryChange,
)
from beryltiller.sessions.statements import Code, Reply, Write
from beryltiller.sessions.succession.actions import Action, AnnounceChange, Promote
from beryltiller.sessions.succession.events import ChangeAnnounced
from tests.fake_announcements import FakeAnnouncements
from tests.fake_group import ROUND_TRIP_SECONDS, GroupFixture
from tests.succession_driver import HEALTHY, Driver, status
from tests.virtual_loop import pass_time, run_virtual, virtual_now

CHANGE = PrimaryChange(1, Position(1, 10))


class ChangeTrackerTest(unittest.TestCase):
    """When a change is under way, and which commits are a reason to object."""

    def test_change_is_under_way_until_it_ends(self) -> None:
        cases = (
            ("announced", 1, 1.0, CHANGE),
            ("a later term is known", 2, 1.0, None),
            ("long ago", 1, 1.0 + CHANGE_SECONDS, None),
        )
        for name, term, now, expected in cases:
            with self.subTest(name):
                tracker = ChangeTracker()
                tracker.announce(CHANGE, 0.5)
                self.assertEqual(tracker.under_way(term, now), expected)

    def test_withdrawn_change_is_not_under_way(self) -> None:
        tracker = ChangeTracker()
        tracker.announce(CHANGE, 0.5)
        tracker.withdraw()
        self.assertIsNone(tracker.under_way(1, 0.6))

    def test_objects_to_the_loss_of_a_reported_commit_however_long_ago(self) -> None:
        """Guards against promoting an empty replica once commits are some time old."""
        for reported, expected in ((Position(1, 11), True), (Position(1, 10), False)):
            with self.subTest(reported=reported):
                tracker = ChangeTracker()
                tracker.record_reported(reported)
                self.assertEqual(tracker.objects_to(CHANGE, 1), expected)

    def test_does_not_object_for_a_commit_that_an_earlier_change_has_dropped(
        self,
    ) -> None:
        for is_told_by_the_row in (True, False):
            tracker = ChangeTracker()
            tracker.record_reported(Position(1, 11))
            if is_told_by_the_row:
                tracker.record_over(CHANGE)
            else:
                tracker.record_lead(2, CHANGE.log_end)
            following = PrimaryChange(2, CHANGE.log_end)
            self.assertFalse(tracker.objects_to(following, 2))
            self.assertEqual(tracker.reported_anywhere, CHANGE.log_end)

    def test_objects_if_a_later_term_than_those_replaced_is_known(self) -> None:
        """Guards against a promotion that drops what a later primary acknowledged."""
        for reported in (Position(1, 5), Position(2, 11)):
            is_lost = reported > CHANGE.log_end
            for known_term, expected in ((1, is_lost), (2, True), (3, True)):
                with self.subTest(reported=reported, known_term=known_term):
                    tracker = ChangeTracker()
                    tracker.record_reported(reported)
                    found = tracker.objects_to(CHANGE, known_term)
                    self.assertEqual(found, expected)


class SurveyTest(unittest.TestCase):
    """Surveys of all known logs, beside commits that none of them has."""

    def test_survey_that_misses_a_reported_commit_does_not_count(self) -> None:
        """Guards against stale reads by logs of which one is not known."""
        covers = CommitCovers(proofs := TermProofs())
        proofs.record_led(1, 1.0)
        proofs.record_unfenced(1, Evidence(EvidenceKind.STATUS, "a", 1.0), 1.5)
        covers.add_sample(Sample(1.0, Position(1, 5), 1, "p"))
        covers.add_survey(Position(1, 7), 2.0)
        for reported, is_covered in ((Position(1, 7), True), (Position(1, 8), False)):
            with self.subTest(reported):
                self.assertEqual(covers.cover(1.8, reported) is not None, is_covered)

    def test_objection_tells_all_proxies_of_the_commit(self) -> None:
        tracker = ChangeTracker()
        tracker.record_objection(Position(1, 11))
        tracker.record_objection(Position(1, 9))
        self.assertEqual(tracker.reported_anywhere, Position(1, 11))


class CallersTest(unittest.TestCase):
    """What callers are told of writes during a change of primary."""

    def test_commit_that_the_promotion_drops_is_not_reported_as_done(self) -> None:
        """Guards against commits that an unknown replica acknowledges meanwhile."""

        async def work() -> tuple[Reply, Reply]:
            fixture = GroupFixture()
            changes = fixture.fleet.group("s").changes
            await fixture.run(fixture.session(), Write("i", "d"))
            write = asyncio.create_task(fixture.run(fixture.session(), Write("i", "d")))
            await pass_time(ROUND_TRIP_SECONDS / 2)
            changes.announce(PrimaryChange(1, Position(1, 11)), virtual_now())
            unknown = await write
            changes.withdraw()
            return unknown, await fixture.run(fixture.session(), Write("i", "d"))

        unknown, done = run_virtual(work())
        self.assertIs(unknown.code, Code.UNKNOWN_OUTCOME)
        self.assertIsNone(done.code)

    def test_change_of_an_earlier_claim_counts_beside_a_later_one(self) -> None:
        """Guards against a promotion that takes effect after its claim has ended."""
        longer = PrimaryChange(1, Position(1, 15))
        for first, second in ((CHANGE, longer), (longer, CHANGE)):
            tracker = ChangeTracker()
            tracker.announce(first, 1.0, token=7)
            tracker.announce(second, 2.0, token=8)
            with self.subTest(first):
                self.assertTrue(tracker.drops(Position(1, 11), 1, 3.0))
                self.assertEqual(tracker.under_way(1, 3.0), second)
                tracker.withdraw(8)
                self.assertEqual(tracker.under_way(1, 3.0), first)
                self.assertIsNone(tracker.under_way(1, 1.1 + CHANGE_SECONDS))

    def test_change_goes_on_while_the_store_is_not_followed(self) -> None:
        """Guards against reporting commits at a primary that was replaced."""

        async def work() -> list[bool]:
            fixture = GroupFixture()
            group = fixture.fleet.group("s")
            group.changes.announce(CHANGE, virtual_now())
            under_way = []
            for is_followed in (False, True):
                fixture.fleet.set_follows_store(is_followed)
                await pass_time(CHANGE_SECONDS - 0.1)
                fixture.fleet.set_follows_store(is_followed)
                await pass_time(0.2)
                under_way.append(group.change_under_way(virtual_now()) is not None)
            return under_way

        self.assertEqual(run_virtual(work()), [True, False])

    def test_dropped_commit_is_not_reported_once_the_successor_is_known(self) -> None:
        """Guards against a late answer of the former primary."""
        tracker = ChangeTracker()
        tracker.announce(CHANGE, 1.0)
        for position, expected in ((Position(1, 11), True), (Position(2, 11), False)):
            with self.subTest(position):
                self.assertEqual(tracker.drops(position, 2, 2.0), expected)
        self.assertFalse(tracker.drops(None, 2, 2.0))
        late = 1.1 + CHANGE_SECONDS
        self.assertFalse(tracker.drops(Position(1, 11), 2, late))
        tracker.record_over(CHANGE)
        self.assertTrue(tracker.drops(Position(1, 11), 2, late))

    def test_write_is_refused_at_once_while_the_primary_changes(self) -> None:
        async def work() -> tuple[Code | None, float, int]:
            fixture = GroupFixture()
            fixture.fleet.group("s").changes.announce(CHANGE, virtual_now())
            began = virtual_now()
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            return reply.code, virtual_now() - began, len(fixture.leader.ran)

        code, passed, ran = run_virtual(work())
        self.assertEqual((code, ran), (Code.BUSY, 0))
        self.assertLess(passed, 0.1)


class SecondPromoterTest(unittest.TestCase):
    """A promoter that has not heard of what another one's promotion began."""

    def test_silent_successor_of_the_first_one_is_waited_for(self) -> None:
        """Guards against dropping what it acknowledged as primary of a later term."""
        led = replace(
            HEALTHY,
            leader=None,
            primaryless_since=0.0,
            departed=("c",),
            former_leaders={"a": Position(1, 7)},
        )
        statuses = {"a": status(7), "b": status(6), "c": None}

        async def work(is_withdrawn: bool) -> tuple[Action, ...]:
            announcements = FakeAnnouncements()
            first, second = (
                announcements.add_proxy(GroupFixture().fleet) for _ in range(2)
            )
            await first.announce("s", CHANGE, 5)
            if is_withdrawn:
                await first.withdraw("s", 5)
            driver = Driver()
            driver.claim(led)
            announce, _ = driver.report_fences(statuses)
            assert isinstance(announce, AnnounceChange)
            written = await second.announce("s", announce.change, announce.token)
            assert written is not None
            driver.handle(ChangeAnnounced("s", written.version, written.begun_term))
            return driver.confirm(statuses, view=led)

        for is_withdrawn in (False, True):
            with self.subTest(is_withdrawn=is_withdrawn):
                actions = run_virtual(work(is_withdrawn))
                is_promoted = any(isinstance(each, Promote) for each in actions)
                self.assertEqual(is_promoted, is_withdrawn)
