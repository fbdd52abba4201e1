"""Tests of promoters that started after the entries of databases had lapsed.

Such a promoter does not know a database that may have received reported commits.
Proxies that do know it name it in the announcement.
"""

import asyncio
import random
import unittest
from collections.abc import Mapping
from dataclasses import replace

from beryltiller.core.ports import Row
from beryltiller.core.position import Position
from beryltiller.platform.announcements import decode_announcement
from beryltiller.sessions.databases.catalog import Departed, Directory
from beryltiller.sessions.databases.primary_change import ChangeTracker, PrimaryChange
from beryltiller.sessions.databases.registry import DEPARTED_RETENTION_SECONDS
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession import times
from beryltiller.sessions.succession.actions import (
    Action,
    AnnounceChange,
    FenceReplicas,
    Promote,
    UnfenceReplicas,
    WithdrawChange,
)
from beryltiller.sessions.succession.announcement import (
    MAX_NAME_LENGTH,
    MAX_NAMES,
    Announcement,
    bounded_names,
)
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.events import (
    ChangeAnnounced,
    FenceResults,
    PrimarySteppedDown,
)
from beryltiller.sessions.succession.objections import FORGETTING_SECONDS
from beryltiller.sessions.succession.runner import SuccessionRunner
from beryltiller.sessions.succession.state import (
    Phase,
)
from tests.fake_announcements import FEED_SECONDS, FakeAnnouncements
from tests.fake_group import FakeDatabase, GroupFixture, read_same_entries
from tests.fake_promoters import FakeDuty, FakePlatform
from tests.simulated_checker import Findings
from tests.simulated_databases import SimulatedDatabase
from tests.simulated_network import STORE
from tests.simulated_sessions import Simulation
from tests.succession_driver import FAILING, Driver, status
from tests.virtual_loop import pass_time, run_virtual, virtual_now

CUT_AT = 3.0
CHANGE = PrimaryChange(1, Position(1, 10))
ASKED = ("far", "leader", "near")


def depart(fixture: GroupFixture, missing_since: float = 0.0) -> None:
    """Let a proxy know a database `d` whose entry has gone."""
    departed = Departed(FakeDatabase("d").entry(), missing_since)
    entries = fixture.fleet.directory.databases
    fixture.fleet.register(Directory(entries, (departed,)))


class NamedDatabaseTest(unittest.TestCase):
    """Databases that proxies name in the announcement of a promoter."""

    def setUp(self) -> None:
        self.announcements = FakeAnnouncements()

    def proxy(self, fixture: GroupFixture) -> Announcer:
        return self.announcements.add_proxy(fixture.fleet)

    async def announce(
        self, knowing: GroupFixture, asked: tuple[str, ...] = ASKED
    ) -> tuple[bool, tuple[str, ...], frozenset[str]]:
        """Announce beside a proxy; return the outcome and who is named where."""
        unknowing = GroupFixture()
        promoter = self.proxy(unknowing)
        self.proxy(knowing)
        written = await promoter.announce("s", CHANGE, 7, asked)
        assert written is not None
        await pass_time(2 * FEED_SECONDS)
        is_unopposed = await promoter.is_unopposed("s", written.version)
        changes = unknowing.fleet.group("s").changes
        lacking = changes.lacking((), virtual_now())
        return is_unopposed, self.announcements.rows["s"].lacking, lacking

    def test_departed_database_that_was_not_asked_is_named(self) -> None:
        """Guards against dropping what a replica with a lapsed entry received."""
        named = (False, ("d",), frozenset("d"))
        unnamed: tuple[bool, tuple[str, ...], frozenset[str]]
        unnamed = (True, (), frozenset())
        recently = FORGETTING_SECONDS - DEPARTED_RETENTION_SECONDS
        cases = (
            ("not asked", ASKED, 0.0, named),
            ("asked", ("d", *ASKED), 0.0, unnamed),
            ("an earlier release announces", (), 0.0, unnamed),
            ("departed a while ago", ASKED, recently + 0.1, named),
            ("almost forgotten", ASKED, recently - 0.1, unnamed),
        )

        async def work(
            asked: tuple[str, ...], since: float
        ) -> tuple[bool, tuple[str, ...], frozenset[str]]:
            self.announcements = FakeAnnouncements()
            knowing = GroupFixture()
            depart(knowing, since)
            return await self.announce(knowing, asked)

        for name, asked, since, expected in cases:
            with self.subTest(name):
                self.assertEqual(run_virtual(work(asked, since)), expected)

    def test_registered_database_that_was_not_asked_is_named(self) -> None:
        async def work() -> tuple[bool, tuple[str, ...], frozenset[str]]:
            return await self.announce(GroupFixture(), ("far", "leader"))

        self.assertEqual(run_virtual(work()), (False, ("near",), frozenset()))

    def test_departed_database_that_was_replaced_at_its_address_is_not_named(
        self,
    ) -> None:
        """Guards against a group without a primary after a rolling restart."""

        async def work(
            address: str, incarnation: int, asked: tuple[str, ...]
        ) -> tuple[str, ...]:
            self.announcements = FakeAnnouncements()
            knowing = GroupFixture()
            entries = dict(knowing.fleet.directory.databases)
            entries["near"] = replace(entries["near"], incarnation=5)
            ended = replace(entries["near"], identifier="d", incarnation=incarnation)
            departed = Departed(replace(ended, address=address or ended.address), 0.0)
            knowing.fleet.register(Directory(entries, (departed,)))
            _, named, _ = await self.announce(knowing, asked)
            return named

        cases = (
            ("replaced", "", 4, ASKED, ()),
            ("its successor was not asked", "", 4, ("far", "leader"), ("d", "near")),
            ("elsewhere", "127.0.0.9:1", 4, ASKED, ("d",)),
            ("it started later", "", 6, ASKED, ("d",)),
            ("it is not known when it started", "", 0, ASKED, ("d",)),
        )
        for name, address, incarnation, asked, expected in cases:
            with self.subTest(name):
                found = run_virtual(work(address, incarnation, asked))
                self.assertEqual(found, expected)

    def test_later_promoter_learns_of_the_name_until_the_change_is_over(self) -> None:
        """Guards against promoters that start once all others have restarted."""

        async def work(is_over: bool) -> tuple[str, ...]:
            self.announcements = FakeAnnouncements()
            knowing = GroupFixture()
            depart(knowing)
            await self.announce(knowing)
            promoter = self.announcements.announcers[0]
            await promoter.withdraw("s", 7, is_over=is_over)
            later = self.proxy(GroupFixture())
            written = await later.announce("s", CHANGE, 8, ASKED)
            assert written is not None
            return written.lacking

        self.assertEqual(run_virtual(work(is_over=False)), ("d",))
        self.assertEqual(run_virtual(work(is_over=True)), ())

    def test_name_leaves_the_row_once_it_does_not_count(self) -> None:
        """Guards against promoters that wait for a database that ended long ago."""

        async def work(seconds: float) -> tuple[str, ...]:
            self.announcements = FakeAnnouncements()
            knowing = GroupFixture()
            depart(knowing)
            await self.announce(knowing)
            promoter = self.announcements.announcers[0]
            await promoter.withdraw("s", 7)
            await pass_time(seconds)
            for each in self.announcements.announcers:
                await each.clear_names()
                await pass_time(2 * FEED_SECONDS)
            row = self.announcements.rows["s"]
            self.assertTrue(row.is_withdrawn)
            return row.lacking

        self.assertEqual(run_virtual(work(DEPARTED_RETENTION_SECONDS - 1.0)), ("d",))
        self.assertEqual(run_virtual(work(DEPARTED_RETENTION_SECONDS + 1.0)), ())

    def test_row_that_may_leave_out_names_is_opposed(self) -> None:
        async def work(count: int) -> bool:
            self.announcements = FakeAnnouncements()
            fixture = GroupFixture()
            promoter = self.proxy(fixture)
            names = [f"d{index:02}" for index in range(count)]
            changes = fixture.fleet.group("s").changes
            changes.record_lacking(names, names, virtual_now())
            written = await promoter.announce("s", CHANGE, 7, ASKED)
            assert written is not None
            return await promoter.is_unopposed("s", written.version)

        self.assertTrue(run_virtual(work(MAX_NAMES - 1)))
        self.assertFalse(run_virtual(work(MAX_NAMES + 1)))

    def test_names_in_a_row_are_bounded(self) -> None:
        names = [f"{index:03}" + "x" * 1000 for index in range(100)]
        bounded = bounded_names(names)
        self.assertEqual(len(bounded), MAX_NAMES)
        self.assertEqual({len(each) for each in bounded}, {MAX_NAME_LENGTH})

    def test_no_name_that_the_store_allows_is_cut(self) -> None:
        """Guards against a cut name that is another database's, or nobody's."""
        names = ["d" * 199 + last for last in "ab"]
        self.assertEqual(bounded_names(names), tuple(names))

    def test_row_of_an_earlier_release_lists_and_names_none(self) -> None:
        value = b'{"token":1,"replaced_term":2,"log_end_term":2,"log_end_index":9}'
        found = decode_announcement(Row("s", 6, value))
        self.assertEqual((found.asked, found.lacking), ((), ()))


class NamesKeptTest(unittest.TestCase):
    """How long a promoter keeps what it was told."""

    def test_name_counts_as_long_as_a_departed_database(self) -> None:
        """Guards against promoters that keep each other waiting forever."""
        tracker = ChangeTracker()
        end = 1.0 + DEPARTED_RETENTION_SECONDS
        for now, expected in ((1.0, {"d"}), (end - 0.1, {"d"}), (end + 0.1, set())):
            with self.subTest(now):
                tracker.record_lacking(["d"], (), now)
                self.assertEqual(tracker.lacking((), now), expected)

    def test_database_that_registered_since_is_asked_instead(self) -> None:
        tracker = ChangeTracker()
        tracker.record_lacking(["d"], (), 1.0)
        self.assertEqual(tracker.lacking(["d"], 2.0), frozenset())
        self.assertEqual(tracker.lacking((), 3.0), frozenset())
        self.assertEqual(tracker.named(3.0), frozenset("d"))

    def test_change_that_is_over_leaves_no_name(self) -> None:
        tracker = ChangeTracker()
        tracker.record_lacking(["d"], (), 1.0)
        tracker.record_over(CHANGE)
        self.assertEqual(tracker.lacking((), 2.0), frozenset())


class UnknownDatabaseTest(unittest.TestCase):
    """What a promoter does beside a database that only others know."""

    FENCED: Mapping[str, DatabaseStatus | None] = {"a": status(5), "b": status(6)}
    STATUSES: Mapping[str, DatabaseStatus | None] = {**FENCED, "d": None}

    def told(self) -> FenceResults:
        return FenceResults(
            "s",
            self.STATUSES,
            were_already_fenced=True,
            unknown=frozenset("d"),
        )

    def confirm_told(self) -> tuple[Driver, tuple[Action, ...]]:
        """Confirm a change to which a proxy has objected with a name."""
        driver = Driver()
        driver.claim()
        driver.report_fences(self.FENCED)
        driver.handle(ChangeAnnounced("s", 1))
        driver.wait_out_hold()
        return driver, driver.handle(replace(self.told(), fenced_at=driver.now))

    def test_promoter_gives_way_to_proxies_that_know_more(self) -> None:
        """Guards against dropping what the unknown database has received."""
        driver, _ = self.confirm_told()
        done: list[Action] = []
        while "s" in driver.state.successions:
            found = driver.state.successions["s"]
            if found.phase is Phase.FENCING:
                driver.handle(replace(self.told(), fenced_at=driver.now))
            done += driver.observe(FAILING, 0.1)
        claimed_at = found.claimed_at
        kinds = {type(each) for each in done}
        self.assertNotIn(Promote, kinds)
        self.assertLessEqual({WithdrawChange, UnfenceReplicas}, kinds)
        self.assertLess(driver.now, claimed_at + times.LIFT_SECONDS + 0.5)
        claims_again_at = driver.state.claim_not_before["s"]
        excluded_until = claimed_at + times.DUTY_SECONDS
        others_claim_by = (
            excluded_until + times.COOLDOWN_SECONDS + times.MAX_CLAIM_DELAY_SECONDS
        )
        self.assertGreater(claims_again_at, others_claim_by)

    def test_promoter_goes_on_once_the_former_log_is_reached(self) -> None:
        driver = Driver()
        driver.claim()
        driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 6)))
        announce, _ = driver.handle(self.told())
        assert isinstance(announce, AnnounceChange)
        self.assertEqual(announce.asked, ("a", "b", "d", "old"))

    def test_change_is_announced_again_beside_a_database_asked_since(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.FENCED)
        driver.handle(ChangeAnnounced("s", 1))
        driver.wait_out_hold(replace(FAILING, replicas=("a", "b", "c")))
        announce, _ = driver.report_fences({**self.FENCED, "c": status(6)})
        assert isinstance(announce, AnnounceChange)
        self.assertEqual(announce.asked, ("a", "b", "c", "old"))

    def test_named_database_is_silent_until_it_is_known(self) -> None:
        async def work(is_known: bool) -> FenceResults:
            fixture = GroupFixture()
            platform = FakePlatform(fixture.databases)
            announcer = platform.announcements.add_proxy(fixture.fleet)
            named = Announcement("s", CHANGE, 6, asked=ASKED, lacking=("d",), version=1)
            announcer.apply(named)
            if is_known:
                newcomer = fixture.databases["d"] = FakeDatabase("d")
                entries = {**fixture.fleet.directory.databases, "d": newcomer.entry()}
                fixture.fleet.register(Directory(entries))
            runner = SuccessionRunner(
                fixture.fleet,
                FakeDuty(platform, "first"),
                announcer,
                lambda: True,
                read_same_entries,
                random.Random(1),
                virtual_now,
            )
            names = ("near", "far", "d") if is_known else ("near", "far")
            results = await runner.part().perform(FenceReplicas("s", 2, names))
            assert isinstance(results, FenceResults)
            return results

        results = run_virtual(work(is_known=False))
        self.assertEqual(results.unknown, frozenset("d"))
        self.assertIsNone(results.statuses["d"])
        results = run_virtual(work(is_known=True))
        self.assertEqual(results.unknown, frozenset())
        self.assertIsNotNone(results.statuses["d"])


def run_cut_zone(
    seed: int, restart_after: float, cut_seconds: float, restarts_all: bool = False
) -> Findings:
    """Cut off the primary, a replica and a proxy; restart a proxy of the other side.

    Two of the four databases are on the other side, so that the lone replica's longer
    wait does not apply. With `restarts_all` all proxies of the other side restart.
    """

    async def cut(simulation: Simulation) -> None:
        await asyncio.sleep(CUT_AT)
        first, *others = simulation.proxies
        side = ["h1", "h2", first.name]
        rest = ["h3", "h4", STORE, *(each.name for each in others)]
        pairs = [(one, other) for one in side for other in rest]
        for pair in pairs:
            simulation.network.cut(*pair)
        await asyncio.sleep(cut_seconds)
        for pair in pairs:
            simulation.network.mend(*pair)

    async def restart(simulation: Simulation) -> None:
        await asyncio.sleep(CUT_AT + restart_after)
        restarted = simulation.proxies[1:] if restarts_all else simulation.proxies[-1:]
        for proxy in restarted if restart_after else ():
            simulation.checker.trace(f"{proxy.name} restarts")
            proxy.restart()

    simulation = Simulation(seed, (cut, restart), seconds=20.0, sessions=12)
    simulation.group.hosts["h4"] = SimulatedDatabase("d4", "h4", "a")
    return simulation.run()


class RestartedPromoterTest(unittest.TestCase):
    """A promoter that started after the entries of databases had lapsed."""

    def test_commits_that_a_replica_with_a_lapsed_entry_received_are_kept(self) -> None:
        broken = {}
        for seed in range(4):
            findings = run_cut_zone(seed, restart_after=4.0, cut_seconds=12.0)
            if findings.lost or findings.replaced_commits:
                broken[seed] = len(findings.lost), len(findings.replaced_commits)
        self.assertEqual(broken, {})

    def test_commits_are_kept_if_all_proxies_that_knew_the_replica_restarted(
        self,
    ) -> None:
        broken = {}
        for seed in range(4):
            findings = run_cut_zone(seed, 4.0, 12.0, restarts_all=True)
            if findings.lost or findings.replaced_commits:
                broken[seed] = len(findings.lost), len(findings.replaced_commits)
        self.assertEqual(broken, {})

    def test_without_a_restart_commits_are_kept(self) -> None:
        for seed in range(4):
            findings = run_cut_zone(seed, restart_after=0.0, cut_seconds=12.0)
            self.assertEqual((findings.lost, findings.replaced_commits), ([], []))


if __name__ == "__main__":
    unittest.main()
