"""Tests of the costs that placement decides by: distance, load, age and errors."""

import unittest

from beryltiller.core.position import Position
from beryltiller.sessions.databases.announced import KnownAnnouncements
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.observed_load import (
    HALF_LIFE_SECONDS,
    ObservedLoad,
)
from beryltiller.sessions.databases.placement import (
    REMOTE_REGION_COST_SECONDS,
    Placer,
    ReadRequirement,
)
from beryltiller.sessions.databases.receipt_queries import ReceiptQueries
from beryltiller.sessions.databases.regions import NO_REGIONS, Distance, Regions
from beryltiller.sessions.errors import SessionError
from beryltiller.sessions.statements import Code, DatabaseStatus
from tests.test_session_groups import database, make_group, status
from tests.virtual_loop import run_virtual, virtual_now

REGIONS = Regions({"a": "north", "b": "north", "c": "south", "d": "south"})


def current_group(*zones: str) -> Group:
    """Return a group whose databases, a leader first, are all recent enough."""
    group = make_group(
        *(database(f"d{n}", zone, n == 0) for n, zone in enumerate(zones))
    )
    leader = group.members["d0"]
    group.record_status(leader, status(1, is_primary=True), 0.5)
    group.record_position(leader, Position(1, 4), 1.0)
    group.record_commit(leader, 1.0, Position(1, 4))
    return group


def place(group: Group, placer: Placer, now: float = 2.0) -> str | None:
    """Return the name of the database that a read is placed at."""
    placement = placer.place_read(group, ReadRequirement(0.5), now, frozenset())
    return placement.member.database.identifier if placement else None


class RegionTest(unittest.TestCase):
    """Reads stay in the region while its databases are not overloaded."""

    def test_near_databases_are_preferred(self) -> None:
        cases = (
            ("b", ("c", "a", "b"), REGIONS, "d2"),
            ("b", ("c", "a", "d"), REGIONS, "d1"),
            ("d", ("a", "b", "c"), REGIONS, "d2"),
            ("d", ("a", "b", "c"), NO_REGIONS, "d0"),
            ("d", ("a", "b", "c"), Regions(dict.fromkeys("abcd", "north")), "d0"),
        )
        for zone, zones, regions, expected in cases:
            with self.subTest(zone=zone, zones=zones, regions=regions):
                placer = Placer(zone, regions=regions)
                self.assertEqual(place(current_group(*zones), placer), expected)

    def test_overloaded_region_is_left(self) -> None:
        """Guards against reads that wait for the region's one slow database."""
        group = current_group("c", "a", "d")
        placer = Placer("b", regions=REGIONS)
        slow = group.members["d1"].observed
        for _ in range(20):
            slow.record_answer(REMOTE_REGION_COST_SECONDS / 2, 2.0)
        self.assertEqual(place(group, placer), "d1")
        for _ in range(20):
            slow.record_answer(2 * REMOTE_REGION_COST_SECONDS, 2.0)
        self.assertNotEqual(place(group, placer), "d1")

    def test_region_changes_no_rule_for_the_leader(self) -> None:
        group = current_group("c", "a", "d")
        placement = Placer("b", regions=REGIONS).place_leader(group, 2.0, frozenset())
        assert placement is not None
        self.assertEqual(placement.member.database.identifier, "d0")
        self.assertTrue(placement.needs_proof)

    def test_receipts_are_asked_for_in_the_region_first(self) -> None:
        """Guards against a commit that waits for a replica of another region."""
        group = current_group("a", "d", "c", "b")
        asked: list[str] = []

        async def ask(member: Member) -> DatabaseStatus:
            asked.append(member.database.availability_zone)
            raise SessionError(Code.BUSY, "full")

        def distance(member: Member) -> Distance:
            return REGIONS.distance("a", member.database.availability_zone)

        async def work() -> None:
            queries = ReceiptQueries(ask, distance, KnownAnnouncements(), virtual_now)
            await queries.wait(group, group.members["d0"], Position(1, 9), 0.005)
            queries.close()

        run_virtual(work())
        self.assertEqual(asked[0], "b")


class LoadTest(unittest.TestCase):
    """Costs follow from the proxy's observations and from the number of proxies."""

    def test_own_statements_count_for_those_of_all_proxies(self) -> None:
        group = current_group("a", "b")
        group.members["d0"].record_sent(2.0)
        self.assertEqual(place(group, Placer("a")), "d0")
        self.assertEqual(place(group, Placer("a", count_proxies=lambda: 10)), "d1")

    def test_old_observation_counts_less(self) -> None:
        """Guards against a database that is avoided for ever for one slow moment."""
        load = ObservedLoad()
        for _ in range(30):
            load.record_answer(1.0, 10.0)
        self.assertAlmostEqual(load.expected_seconds(10.0, 0.02), 1.0, delta=0.01)
        late = 10.0 + 10 * HALF_LIFE_SECONDS
        self.assertAlmostEqual(load.expected_seconds(late, 0.02), 0.02, delta=0.01)

    def test_errors_raise_the_cost_until_statements_succeed(self) -> None:
        load = ObservedLoad()
        for _ in range(20):
            load.record_error(1.0)
        failing = load.expected_seconds(1.0, 0.03)
        self.assertGreater(failing, 0.2)
        for _ in range(20):
            load.record_answer(0.03, 1.0)
        self.assertLess(load.expected_seconds(1.0, 0.03), 0.04)
