"""Tests of surveys beside the store: databases that a proxy had not heard of."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace

from beryltiller.sessions.databases.catalog import Departed, Directory, RouteKind
from beryltiller.sessions.databases.present_entries import (
    READ_TIMEOUT_SECONDS,
    PresentEntries,
    ReadEntries,
)
from beryltiller.sessions.databases.surveys import SURVEY_WAIT_SECONDS
from beryltiller.sessions.statements import Read, Reply, Write
from tests.fake_group import ROUND_TRIP_SECONDS, GroupFixture, read_same_entries
from tests.session_runs import run_with_fixture
from tests.simulated_checker import Findings
from tests.simulated_lifecycle import Lifecycle
from tests.simulated_sessions import Simulation
from tests.virtual_loop import run_virtual, virtual_now


async def fail_to_read() -> bool:
    """Stand for a store that refuses."""
    return False


async def read_for_ever() -> bool:
    """Stand for a store that never answers."""
    await asyncio.Event().wait()
    return True


def always(read_entries: ReadEntries) -> Callable[[GroupFixture], ReadEntries]:
    """Return the same way to read for any fixture."""
    return lambda _: read_entries


async def fail_leader(fixture: GroupFixture) -> None:
    """Make the leader fail when only a survey can show what a read must see."""
    await fixture.run(fixture.session(), Write("i", "d"))
    fixture.near.index = fixture.far.index = fixture.leader.index
    await asyncio.sleep(6.0)
    fixture.leader.is_unreachable = True
    await fixture.run(fixture.session(), Read("i"))
    await asyncio.sleep(0.5)


class UnknownDatabaseTest(unittest.TestCase):
    """A database that is registered, but that the surveying proxy does not know."""

    def read_after(self, read_entries: Callable[[GroupFixture], ReadEntries]) -> Reply:
        """Return the reply to a read that needs a survey."""
        replies: list[Reply] = []

        async def work(fixture: GroupFixture) -> None:
            fixture.fleet.read_entries_with(read_entries(fixture))
            await fail_leader(fixture)
            replies.append(await fixture.run(fixture.session(), Read("i")))

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)
        return replies[0]

    def test_survey_counts_if_the_store_has_no_other_database(self) -> None:
        self.assertTrue(self.read_after(always(read_same_entries)).is_success)

    def test_survey_without_the_store_does_not_count(self) -> None:
        """Guards against a stale read: a database that is not known is not asked."""
        for read_entries in (fail_to_read, read_for_ever):
            with self.subTest(read_entries=read_entries.__name__):
                self.assertFalse(self.read_after(always(read_entries)).is_success)

    def test_survey_does_not_leave_out_a_database_that_the_store_shows(self) -> None:
        def register_on_read(fixture: GroupFixture) -> ReadEntries:
            async def read() -> bool:
                joined = replace(fixture.far.entry(), identifier="joined")
                fixture.databases["joined"] = replace(
                    fixture.far, identifier="joined", is_unreachable=True
                )
                entries = {**fixture.fleet.directory.databases, "joined": joined}
                fixture.fleet.register(Directory(entries))
                return True

            return read

        self.assertFalse(self.read_after(register_on_read).is_success)

    def test_survey_does_not_leave_out_a_database_found_to_have_departed(self) -> None:
        def register_on_read(fixture: GroupFixture) -> ReadEntries:
            async def read() -> bool:
                gone = replace(fixture.far.entry(), identifier="gone")
                departed = (Departed(gone, virtual_now()),)
                entries = fixture.fleet.directory.databases
                fixture.fleet.register(Directory(entries, departed))
                return True

            return read

        self.assertFalse(self.read_after(register_on_read).is_success)


class SlowStoreTest(unittest.TestCase):
    """A store that is slow or gone holds up neither reads nor searches for a leader."""

    def test_survey_is_not_waited_for_longer_than_allowed(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.fleet.read_entries_with(read_for_ever)
            await fail_leader(fixture)
            began = virtual_now()
            await fixture.fleet.survey(fixture.fleet.group("s"), virtual_now())
            self.assertAlmostEqual(virtual_now(), began + SURVEY_WAIT_SECONDS)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)

    def test_survey_counts_again_soon_after_the_store_hung(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.fleet.read_entries_with(read_for_ever)
            await fail_leader(fixture)
            await fixture.run(fixture.session(), Read("i"))
            fixture.fleet.read_entries_with(read_same_entries)
            await asyncio.sleep(READ_TIMEOUT_SECONDS)
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertTrue(reply.is_success, reply.text)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)

    def test_leader_is_found_without_the_store_as_soon_as_databases_answer(
        self,
    ) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.fleet.read_entries_with(read_for_ever)
            await fail_leader(fixture)
            group = fixture.fleet.group("s")
            await fixture.fleet.survey(group, virtual_now())
            fixture.near.is_primary = True
            fixture.near.term = fixture.far.term = 2
            assert group.leader is not None
            group.leader.record_probe_failure(virtual_now())
            began = virtual_now()
            await fixture.fleet.find_leader(group)
            self.assertLessEqual(virtual_now(), began + 2.5 * ROUND_TRIP_SECONDS)
            self.assertIs(group.leader, group.members["near"])

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)


class CostTest(unittest.TestCase):
    """What surveys cost the store and the databases while the primary is gone."""

    def costs(self, known_at: Callable[[], float]) -> tuple[int, int, int]:
        """Return reads served in a second, readings, and questions to a replica."""
        counts = [0, 0, 0]

        async def read_entries() -> bool:
            counts[1] += 1
            await asyncio.sleep(0.005)
            return True

        async def work(fixture: GroupFixture) -> None:
            fixture.fleet.read_entries_with(read_entries, known_at)
            await fail_leader(fixture)
            asked = fixture.near.asked
            counts[1] = 0
            for _ in range(50):
                reply = await fixture.run(fixture.session(), Read("i"))
                counts[0] += reply.is_success
                await asyncio.sleep(0.02)
            counts[2] = fixture.near.asked - asked

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)
        return counts[0], counts[1], counts[2]

    def test_reads_of_one_age_share_a_reading_and_a_round(self) -> None:
        """Guards against a call to the store and a round of questions each 0.02 s."""
        served, readings, questions = self.costs(lambda: float("-inf"))
        self.assertEqual(served, 50)
        self.assertLessEqual(readings, 2)
        self.assertLessEqual(questions, 3)

    def test_no_reading_is_needed_while_the_entries_are_followed(self) -> None:
        served, readings, _ = self.costs(lambda: virtual_now() - 1.4)
        self.assertEqual((served, readings), (50, 0))


class PresentEntriesTest(unittest.TestCase):
    """Readings that are shared must have begun after they were asked for."""

    def test_callers_share_the_first_reading_that_begins_after_their_call(self) -> None:
        async def work() -> None:
            begins: list[float] = []

            async def read() -> bool:
                begins.append(virtual_now())
                await asyncio.sleep(0.2)
                return True

            entries = PresentEntries()
            entries.read_with(read)
            first = asyncio.create_task(entries.read())
            await asyncio.sleep(0.1)
            later = [asyncio.create_task(entries.read()) for _ in range(5)]
            self.assertTrue(all(await asyncio.gather(first, *later)))
            self.assertEqual(len(begins), 2)
            self.assertAlmostEqual(begins[1], begins[0] + 0.2)

        run_virtual(work())

    def test_caller_that_gives_up_does_not_end_the_reading_of_others(self) -> None:
        async def work() -> None:
            async def read() -> bool:
                await asyncio.sleep(0.2)
                return True

            entries = PresentEntries()
            entries.read_with(read)
            first, second = (asyncio.create_task(entries.read()) for _ in range(2))
            await asyncio.sleep(0.1)
            first.cancel()
            self.assertTrue(await second)

        run_virtual(work())

    def test_nothing_is_read_before_a_way_to_read_is_given(self) -> None:
        async def work() -> None:
            self.assertFalse(await PresentEntries().read())

        run_virtual(work())


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


class RefusedProxyTest(unittest.TestCase):
    """Surveys by a proxy that the store refuses, in whole simulated runs."""

    def test_reads_include_commits_that_a_database_unknown_here_received(self) -> None:
        broken = {}
        for seed in range(4):
            findings = run_survey(seed)
            if not findings.is_clean:
                broken[seed] = len(findings.stale_answers), len(findings.lost)
        self.assertEqual(broken, {})


if __name__ == "__main__":
    unittest.main()
