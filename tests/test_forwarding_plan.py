"""Tests of the choice of the proxies that connect to a service's databases."""

import unittest
from collections import Counter

from beryltiller.membership.members import Member, Members, MemberState
from beryltiller.sessions.databases.catalog import Configuration, Service
from beryltiller.sessions.databases.regions import Regions
from beryltiller.sessions.forwarding import holders
from beryltiller.sessions.forwarding.forwarding_plan import ForwardingPlan, ProxyCount
from beryltiller.sessions.organisations import Organisation, Organisations


def members(count: int, zones: str = "abc", weight: int = 100) -> list[Member]:
    """Return that many proxies, spread over zones of one letter each."""
    return [
        Member(f"127.0.{n}.1:7", f"front-{n}", zones[n % len(zones)], 1, weight=weight)
        for n in range(count)
    ]


def configuration(cap: int, organisations: int = 0) -> Configuration:
    """Return a configuration with one service and some organisations."""
    names = [Organisation(f"o{n}") for n in range(organisations)]
    found = Organisations.of((each, (each.name,)) for each in names)
    service = Service("s", cap, 1)
    return Configuration(1, {}, {"s": service}, 3.0, found if organisations else None)


def plan_of(
    me: Member,
    all_members: list[Member],
    cap: int,
    now: float = 0.0,
    organisations: int = 0,
) -> ForwardingPlan:
    """Return the plan of one proxy with a view of all."""
    plan = ForwardingPlan(Regions(dict.fromkeys("abc", "north")))
    others = tuple(each for each in all_members if each is not me)
    plan.update(Members(me, others), configuration(cap, organisations), now)
    return plan


def never_loaded(address: str) -> int:
    """Return that no statement is on its way to an address."""
    return 0


class HolderTest(unittest.TestCase):
    """Connections, and what is asked on them, do not grow with the proxies."""

    def test_few_proxies_connect_themselves_and_many_forward(self) -> None:
        cases = (
            (5, 22, 0, False),
            (78, 144, 0, False),
            (83, 46, 0, True),
            (37, 82, 88, True),
            (300, 144, 0, True),
        )
        for count, cap, organisations, is_forwarded in cases:
            with self.subTest(count=count, cap=cap):
                found = members(count)
                plan = plan_of(found[0], found, cap, organisations=organisations)
                self.assertIs(plan.service("s").is_forwarded, is_forwarded)

    def test_connections_of_all_holders_stay_below_the_cap_at_any_size(self) -> None:
        for count in (50, 83, 300, 1000):
            found = members(count)
            plan = plan_of(found[0], found, 46).service("s")
            held = plan.by_region["north"]
            with self.subTest(count):
                self.assertEqual(len(held), 3)
                self.assertLessEqual(len(held) * plan.share, 46 * holders.HELD_SHARE)
                self.assertEqual({each.availability_zone for each in held}, set("abc"))

    def test_all_proxies_with_one_view_choose_the_same_holders(self) -> None:
        found = members(60)
        chosen = {
            plan_of(me, found, 46).service("s").by_region["north"] for me in found
        }
        self.assertEqual(len(chosen), 1)

    def test_member_that_leaves_moves_only_its_own_part(self) -> None:
        found = members(60)
        before = plan_of(found[0], found, 46).service("s").by_region["north"]
        gone = before[-1]
        left = [each for each in found if each is not gone]
        after = plan_of(left[0], left, 46).service("s").by_region["north"]
        self.assertEqual(len(set(before) & set(after)), len(before) - 1)

    def test_draining_and_dead_members_hold_nothing(self) -> None:
        found = members(60)
        first = plan_of(found[0], found, 46).service("s").by_region["north"][0]
        changed = [
            Member(
                each.address,
                each.name,
                each.availability_zone,
                1,
                state=MemberState.DEAD if each is first else MemberState.ALIVE,
                is_draining=each is found[1],
            )
            for each in found
        ]
        held = plan_of(changed[0], changed, 46).service("s").by_region["north"]
        self.assertNotIn(first.address, [each.address for each in held])
        self.assertNotIn(found[1].address, [each.address for each in held])

    def test_host_of_four_times_the_weight_holds_about_four_times_as_much(self) -> None:
        strong = members(10, weight=200)
        weak = [
            Member(f"127.1.{n}.1:7", f"weak-{n}", "abc"[n % 3], 1, weight=50)
            for n in range(10)
        ]
        first = Counter(
            holders.rank(f"s{n}", [*strong, *weak])[0].weight for n in range(2000)
        )
        self.assertGreater(first[200], 3 * first[50])
        self.assertLess(first[200], 5 * first[50])


class PartitionTest(unittest.TestCase):
    """A part that is cut off does not connect to the databases all at once."""

    def test_forwarding_goes_on_with_few_proxies_in_sight(self) -> None:
        found = members(83)
        plan = plan_of(found[0], found, 46, now=0.0)
        own_zone = [each for each in found[1:] if each.availability_zone == "a"]
        view = Members(found[0], tuple(own_zone))
        plan.update(view, configuration(46), now=10.0)
        held = plan.service("s").by_region["north"]
        self.assertTrue(plan.service("s").is_forwarded)
        self.assertEqual({each.availability_zone for each in held}, {"a"})

    def test_count_of_proxies_falls_after_ten_minutes(self) -> None:
        count = ProxyCount()
        for now, seen in ((0.0, 83), (10.0, 30), (20.0, 40)):
            count.record(seen, now)
        self.assertEqual(count.largest(500.0), 83)
        self.assertEqual(count.largest(625.0), 40)


class CandidateTest(unittest.TestCase):
    """Statements go to holders near by, and an organisation's to its one home."""

    def test_organisation_has_the_same_home_for_all_proxies(self) -> None:
        found = members(37)
        homes = {
            plan_of(me, found, 82, organisations=88).candidates(
                "s", "north", "o1", never_loaded
            )[0]
            for me in found
        }
        self.assertEqual(len(homes), 1)

    def test_holder_in_the_own_zone_comes_first_and_the_less_loaded_of_two(
        self,
    ) -> None:
        found = members(83)
        me = found[0]
        plan = plan_of(me, found, 70)
        first, second, *_ = plan.candidates("s", "north", "", never_loaded)
        self.assertEqual(first.availability_zone, me.availability_zone)
        self.assertEqual(second.availability_zone, me.availability_zone)
        loaded = plan.candidates(
            "s", "north", "", lambda address: int(address == first.address)
        )
        self.assertEqual(loaded[0], second)
