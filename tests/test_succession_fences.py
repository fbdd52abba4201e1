"""Tests of fences that several promoting proxies set and lift, on a virtual clock."""

import asyncio
import random
import unittest
from dataclasses import replace

from beryltiller.sessions.databases.catalog import Departed, Directory
from beryltiller.sessions.databases.evidence import PROMOTION_HOLD_SECONDS
from beryltiller.sessions.databases.primary_change import PrimaryChange
from beryltiller.sessions.statements import Code, Fence, Unfence
from beryltiller.sessions.succession.actions import (
    FenceReplicas,
)
from beryltiller.sessions.succession.events import (
    FenceResults,
)
from beryltiller.sessions.succession.runner import SuccessionRunner
from beryltiller.sessions.succession.times import DUTY_SECONDS
from tests.fake_group import (
    FakeDatabase,
    GroupFixture,
    read_same_entries,
)
from tests.fake_promoters import EFFECT_SECONDS, FakeDuty, FakePlatform, Promoter
from tests.virtual_loop import run_virtual, virtual_now

# How late a command arrives that was sent again over a link that loses packets.
LATE_SECONDS = 1.5
# A fence that nobody needs any more is lifted within this time.
LIFTED_SECONDS = 10.0
# The same for a replica in an availability zone without proxies.
REMOTE_LIFTED_SECONDS = 50.0


def fail_leader(*promoters: Promoter) -> None:
    """Let the promoters' proxies find the leader failing from now on."""
    for promoter in promoters:
        promoter.fixture.leader.is_unreachable = True
        leader = promoter.fixture.fleet.group("s").members["leader"]
        leader.record_failure(virtual_now())


class TwoPromotersTest(unittest.TestCase):
    """A promoter whose claim has ended, while another one replaces the primary."""

    def test_frozen_promoter_does_not_unfence_under_another_claim(self) -> None:
        """Guards against lost commits and stale reads in a promotion's last moment."""

        async def work() -> FakePlatform:
            source = GroupFixture()
            platform = FakePlatform(source.databases)
            first = Promoter(platform, source, "first", 1)
            second = Promoter(platform, source, "second", 2)
            fail_leader(first, second)
            first.start()
            await first.reach("HOLDING")
            first.freeze()
            await asyncio.sleep(DUTY_SECONDS)
            second.start()
            await second.reach("AWAITING")
            first.resume()
            await asyncio.sleep(1.0)
            return platform

        platform = run_virtual(work())
        self.assertEqual(len(platform.promoted), 1)
        self.assertEqual(platform.unfenced_meanwhile, [])

    def test_unfence_that_arrives_late_does_not_meet_another_claim(self) -> None:
        """Guards against a command given up by one promoter that still arrives."""

        async def work() -> FakePlatform:
            source = GroupFixture()
            platform = FakePlatform(source.databases)
            first = Promoter(platform, source, "first", 1)
            second = Promoter(platform, source, "second", 2)
            fail_leader(first, second)
            source.near.hang.add(Fence)
            source.far.late[Unfence] = LATE_SECONDS
            first.start()
            await first.reach("FENCING")
            await asyncio.sleep(platform.held_until - 0.15 - virtual_now())
            first.freeze()
            source.near.hang.clear()
            second.start()
            await second.reach("AWAITING")
            await asyncio.sleep(1.0)
            return platform

        platform = run_virtual(work())
        self.assertEqual(len(platform.promoted), 1)
        self.assertEqual(platform.unfenced_meanwhile, [])

    def test_promoter_paused_after_the_confirmation_confirms_again(self) -> None:
        """Guards against a promotion on a confirmation that no longer holds."""

        async def work() -> FakePlatform:
            source = GroupFixture()
            platform = FakePlatform(source.databases)
            promoter = Promoter(platform, source, "first", 1)
            fail_leader(promoter)
            promoter.start()
            await promoter.reach("CONFIRMING")
            promoter.freeze()
            await asyncio.sleep(0.6)
            source.near.fenced_term = 0  # It restarted.
            promoter.resume()
            await asyncio.sleep(3.0)
            return platform

        platform = run_virtual(work())
        self.assertEqual(len(platform.promoted), 1)
        self.assertEqual(platform.unfenced_meanwhile, [])


class LeftFenceTest(unittest.TestCase):
    """Fences left by a promoter that ended, which other proxies lift."""

    def fixture_after(self, seconds: float, *fenced: str) -> GroupFixture:
        """Return a group some time after the promoter that fenced some replicas."""

        async def work() -> GroupFixture:
            source = GroupFixture()
            platform = FakePlatform(source.databases)
            for name in fenced:
                source.databases[name].fenced_term = 2
            Promoter(platform, source, "second", 2).start()
            await asyncio.sleep(seconds)
            return source

        return run_virtual(work())

    def test_fence_of_one_replica_is_lifted(self) -> None:
        """Guards against a replica that receives nothing for good."""
        source = self.fixture_after(LIFTED_SECONDS, "near")
        self.assertEqual(source.near.fenced_term, 0)
        self.assertTrue(source.leader.is_primary)

    def test_fence_in_a_zone_without_proxies_is_lifted(self) -> None:
        """Guards against a command to unfence that was lost, with nobody near."""
        source = self.fixture_after(REMOTE_LIFTED_SECONDS, "far")
        self.assertEqual(source.far.fenced_term, 0)
        self.assertTrue(source.leader.is_primary)

    def test_fences_of_all_replicas_are_lifted_without_any_write(self) -> None:
        """Guards against a group whose reads at the primary are never proved."""
        source = self.fixture_after(LIFTED_SECONDS, "near", "far")
        self.assertEqual((source.near.fenced_term, source.far.fenced_term), (0, 0))
        self.assertTrue(source.leader.is_primary)

    def test_fences_are_lifted_if_no_write_is_acknowledged(self) -> None:
        async def work() -> FakePlatform:
            source = GroupFixture()
            platform = FakePlatform(source.databases)
            first = Promoter(platform, source, "first", 1)
            second = Promoter(platform, source, "second", 2)
            fail_leader(first)
            first.start()
            await first.reach("HOLDING")
            first.freeze()
            source.leader.is_unreachable = False
            second.start()
            leader = second.fixture.fleet.group("s").members["leader"]
            for _ in range(round(LIFTED_SECONDS / 0.1)):
                now = virtual_now()
                if source.near.fenced_term and source.far.fenced_term:
                    leader.record_unacknowledged_write(now - 0.6, now)
                await asyncio.sleep(0.1)
            return platform

        platform = run_virtual(work())
        fences = [each.fenced_term for each in platform.databases.values()]
        self.assertEqual(fences, [0, 0, 0])


class HoldTest(unittest.TestCase):
    """The hold, which begins once the last replica is fenced."""

    def test_hold_begins_when_the_last_replica_is_fenced(self) -> None:
        async def work() -> float:
            source = GroupFixture()
            platform = FakePlatform(source.databases)
            promoter = Promoter(platform, source, "first", 1)
            fail_leader(promoter)
            source.near.refuse[Fence] = Code.BUSY
            promoter.start()
            await promoter.reach("FENCING")
            await asyncio.sleep(0.5)
            source.near.refuse.clear()
            while not source.near.fenced_term:
                await asyncio.sleep(0.001)
            fenced_at = virtual_now()
            while not platform.promoted:
                await asyncio.sleep(0.001)
            return virtual_now() - fenced_at

        passed = run_virtual(work())
        self.assertGreaterEqual(passed, PROMOTION_HOLD_SECONDS + EFFECT_SECONDS)


class FirstAnswerTest(unittest.TestCase):
    """A database that answers for the first time at the confirmation."""

    def test_departed_database_that_answers_late_is_held(self) -> None:
        """Guards against evidence of a replica that was fenced just before."""

        async def work() -> FenceResults:
            fixture = GroupFixture()
            fixture.near.fenced_term = fixture.far.fenced_term = 2
            fixture.databases["d"] = FakeDatabase("d")
            departed = Departed(replace(fixture.far.entry(), identifier="d"), -30.0)
            entries = fixture.fleet.directory.databases
            fixture.fleet.register(Directory(entries, (departed,)))
            platform = FakePlatform(fixture.databases)
            duty = FakeDuty(platform, "first")
            runner = SuccessionRunner(
                fixture.fleet,
                duty,
                platform.announcements.add_proxy(fixture.fleet),
                lambda: True,
                read_same_entries,
                random.Random(1),
                virtual_now,
            )
            action = FenceReplicas("s", 2, ("near", "far"), ("d",), virtual_now())
            results = await runner.part().perform(action)
            assert isinstance(results, FenceResults)
            return results

        self.assertFalse(run_virtual(work()).were_already_fenced)


class ConfirmedEntriesTest(unittest.TestCase):
    """The entries that the store has when a change of primary is confirmed."""

    def confirm(self, finds_newcomer: bool, is_read: bool) -> FenceResults:
        """Return the results of a round after an announcement that stands."""

        async def work() -> FenceResults:
            fixture = GroupFixture()
            fixture.near.fenced_term = fixture.far.fenced_term = 2
            platform = FakePlatform(fixture.databases)
            announcer = platform.announcements.add_proxy(fixture.fleet)
            change = PrimaryChange(1, fixture.near.position)
            written = await announcer.announce("s", change, 7)
            assert written is not None

            async def read_entries() -> bool:
                if finds_newcomer:
                    newcomer = fixture.databases["new"] = FakeDatabase("new")
                    entries = fixture.fleet.directory.databases
                    fixture.fleet.register(
                        Directory({**entries, "new": newcomer.entry()})
                    )
                return is_read

            runner = SuccessionRunner(
                fixture.fleet,
                FakeDuty(platform, "first"),
                announcer,
                lambda: True,
                read_entries,
                random.Random(1),
                virtual_now,
            )
            action = FenceReplicas(
                "s",
                2,
                ("near", "far"),
                former_primary="leader",
                announced_version=written.version,
            )
            results = await runner.part().perform(action)
            assert isinstance(results, FenceResults)
            return results

        return run_virtual(work())

    def test_change_is_not_confirmed_beside_a_database_that_registered_meanwhile(
        self,
    ) -> None:
        """Guards against dropping commits that only the newcomer has received."""
        for finds_newcomer, is_read, expected in (
            (False, True, True),
            (True, True, False),
            (False, False, False),
        ):
            with self.subTest(finds_newcomer=finds_newcomer, is_read=is_read):
                results = self.confirm(finds_newcomer, is_read)
                self.assertEqual(results.is_unopposed, expected)
