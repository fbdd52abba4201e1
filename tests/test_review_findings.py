"""Review: ways by which a reported commit can still be lost. These tests fail."""

import asyncio
import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases import receipts
from beryltiller.sessions.databases.catalog import Directory, RouteKind
from beryltiller.sessions.databases.primary_change import PrimaryChange
from beryltiller.sessions.statements import Code, DatabaseStatus, Read, Write
from beryltiller.sessions.succession.announcer import Announcement
from tests.fake_group import FakeDatabase, GroupFixture
from tests.simulated_checker import Findings
from tests.simulated_lifecycle import Lifecycle
from tests.simulated_sessions import Simulation
from tests.test_receipts import create_group, run_with_fixture
from tests.virtual_loop import run_virtual, virtual_now


class SourceTest(unittest.TestCase):
    """A database is no copy of its own commits, whichever member stands for it."""

    def test_primary_whose_entry_lapsed_and_returned_shows_no_receipt(self) -> None:
        group = create_group()
        source = group.members["p"]
        others = tuple(FakeDatabase(name).entry() for name in ("q", "r"))
        group.update(others, 1.0)
        group.update((*others, FakeDatabase("p").entry()), 2.0)
        status = DatabaseStatus(False, 2, Position(2, 7), 3)
        group.record_status(group.members["p"], status, 2.1)
        self.assertFalse(receipts.is_received(group, source, Position(2, 7), 0))


class WaitTest(unittest.TestCase):
    """Commits that wait for receipts, and writes beside them."""

    def test_commit_without_a_position_is_not_reported(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.leader.followers = ()
            fixture.leader.hides_position = True
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertIs(reply.code, Code.UNKNOWN_OUTCOME)

        run_with_fixture(work)

    def test_commit_of_an_ended_term_does_not_stop_writes_at_the_new_primary(
        self,
    ) -> None:
        async def work(fixture: GroupFixture) -> None:
            old, new, far = fixture.leader, fixture.near, fixture.far
            old.followers = ()
            first = asyncio.create_task(fixture.run(fixture.session(), Write("i", "d")))
            await asyncio.sleep(0.1)
            old.is_primary, new.is_primary = False, True
            old.term = new.term = far.term = 2
            new.followers = (old, far)
            fixture.register()
            await asyncio.sleep(0.2)
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertTrue(reply.is_success, reply.text)
            self.assertIs((await first).code, Code.UNKNOWN_OUTCOME)

        run_with_fixture(work)

    def test_write_is_not_sent_before_announcements_are_known(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.fleet.follow_announcements(lambda: 0)
            entries = {
                each.identifier: replace(each.entry(), incarnation=2, revision=7)
                for each in fixture.databases.values()
            }
            fixture.fleet.register(Directory(entries))
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertEqual(fixture.leader.statement_names(), [])
            self.assertIs(reply.code, Code.BUSY)

        run_with_fixture(work)

    def test_withdrawn_change_of_an_outage_does_not_stop_writes_for_all_of_it(
        self,
    ) -> None:
        async def work(fixture: GroupFixture) -> None:
            group = fixture.fleet.group("s")
            end = fixture.leader.log_end
            group.changes.announce(PrimaryChange(1, end), virtual_now(), 7)
            for _ in range(100):
                fixture.fleet.set_follows_store(False)
                await asyncio.sleep(0.3)
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertTrue(reply.is_success, reply.text)

        run_with_fixture(work)

    def test_new_primary_takes_writes_although_an_earlier_claim_named_its_term(
        self,
    ) -> None:
        """A withdrawn change of term 1 was taken to have begun term 2."""

        async def work(fixture: GroupFixture) -> None:
            group = fixture.fleet.group("s")
            old, new, far = fixture.leader, fixture.near, fixture.far
            announced = Announcement(
                "s", PrimaryChange(1, old.log_end), 8, begun_term=2
            )
            group.changes.announce(announced.covering, virtual_now(), 8)
            old.is_primary, new.is_primary = False, True
            old.term = new.term = far.term = 2
            new.followers = (old, far)
            fixture.register()
            await fixture.fleet.confirm_leaders()
            began = virtual_now()
            while virtual_now() < began + 10.0:
                reply = await fixture.run(fixture.session(), Write("i", "d"))
                if reply.is_success:
                    break
                await asyncio.sleep(0.1)
            self.assertLess(virtual_now(), began + 1.0)

        run_with_fixture(work)

    def test_reads_at_the_primary_go_on_while_commits_wait_for_receipts(self) -> None:
        async def run() -> None:
            fixture = GroupFixture(RouteKind.PRIMARY)
            fixture.leader.followers = ()
            session = fixture.session()
            self.assertTrue((await fixture.run(session, Read("i"))).is_success)
            writes = [
                asyncio.create_task(fixture.run(fixture.session(), Write("i", "d")))
                for _ in range(4)
            ]
            await asyncio.sleep(0.1)
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertTrue(reply.is_success, reply.text)
            await asyncio.gather(*writes)
            fixture.fleet.close()

        run_virtual(run())


def run_survey(seed: int) -> Findings:
    """Let a proxy that the store refuses survey a group that another one joined."""

    async def join(simulation: Simulation) -> None:
        await asyncio.sleep(2.0)
        surveying = simulation.proxies[0]
        surveying.is_refused_by_store = True
        await Lifecycle(simulation).join(3.0, 0.0)
        (joined,) = simulation.group.hosts.keys() - {"h1", "h2", "h3"}
        others = [each.name for each in simulation.proxies[1:]]
        pairs = [
            (one, other)
            for one in ("h1", joined, *others)
            for other in ("h2", "h3", surveying.name)
        ]
        for pair in pairs:
            simulation.network.cut(*pair)
        await asyncio.sleep(6.0)
        for pair in pairs:
            simulation.network.mend(*pair)

    return Simulation(seed, (join,), seconds=13.0, sessions=12).run()


class SurveyTest(unittest.TestCase):
    """Surveys by a proxy that does not know a registered database."""

    def test_reads_include_commits_that_a_database_unknown_here_received(self) -> None:
        broken = {}
        for seed in range(4):
            findings = run_survey(seed)
            if not findings.is_clean:
                broken[seed] = len(findings.stale_answers), len(findings.lost)
        self.assertEqual(broken, {})


if __name__ == "__main__":
    unittest.main()
