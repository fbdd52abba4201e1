"""Tests of how an endpoint's cap is divided among proxies."""

import unittest
from collections import Counter
from dataclasses import dataclass

from beryltiller.membership.shares import (
    EndpointCap,
    SharePolicy,
    forward_target,
    holders,
    share,
)

ZONES = ("zagreb-a", "zagreb-b", "karlovac", "varazdin")


@dataclass(frozen=True, slots=True)
class Proxy:
    """Be a member."""

    name: str
    availability_zone: str
    address: str = "127.0.0.1:1"


def proxies(number: int) -> list[Proxy]:
    """Return proxies spread over the zones."""
    return [Proxy(f"p{n}", ZONES[n % 4]) for n in range(number)]


def endpoint(cap: int, name: str = "d1") -> EndpointCap:
    """Return an endpoint in the first zone."""
    return EndpointCap(name, ZONES[0], cap)


class ShareTest(unittest.TestCase):
    """Shares keep the cap, also while two views differ by one member."""

    def test_shares(self) -> None:
        cases = ((5, 20, 3), (5, 35, 5), (4, 20, 4), (1, 20, 10), (1, 1, 1), (0, 9, 0))
        for number, cap, each in cases:
            members = proxies(number)
            sizes = {share(endpoint(cap), members, m.name) for m in members}
            with self.subTest(number=number, cap=cap):
                self.assertEqual(sizes, {each} if members else set())

    def test_sum_keeps_the_cap_while_views_differ_by_one(self) -> None:
        for number in range(2, 16):
            members = proxies(number)
            for cap in (*range(2, 50), 100):
                one = endpoint(cap, f"d{cap}")
                for gone in members:
                    left = [member for member in members if member is not gone]
                    most = sum(
                        max(share(one, left, m.name), share(one, members, m.name))
                        for m in left
                    )
                    total = most + share(one, members, gone.name)
                    self.assertLessEqual(total, cap, (number, cap, gone))

    def test_survivors_take_over(self) -> None:
        members = proxies(5)
        before = share(endpoint(20), members, "p0")
        self.assertGreater(share(endpoint(20), members[:-1], "p0"), before)

    def test_few_hold_at_size(self) -> None:
        members = proxies(500)
        for cap, most in ((20, 5), (35, 10)):
            held = holders(endpoint(cap), members)
            sizes = [share(endpoint(cap), members, m.name) for m in held]
            with self.subTest(cap=cap):
                self.assertEqual(len(held), most)
                self.assertGreaterEqual(min(sizes), 2)
                self.assertEqual({m.availability_zone for m in held}, {ZONES[0]})

    def test_endpoints_are_spread_over_members(self) -> None:
        members = proxies(40)
        held = Counter(
            member.name
            for number in range(530)
            for member in holders(endpoint(20, f"d{number}"), members)
        )
        local = [held[m.name] for m in members if m.availability_zone == ZONES[0]]
        self.assertLess(max(local) / min(local), 1.5)

    def test_one_change_moves_one_holder(self) -> None:
        members = proxies(60)
        before = {m.name for m in holders(endpoint(20), members)}
        for gone in members:
            left = [member for member in members if member is not gone]
            after = {m.name for m in holders(endpoint(20), left)}
            self.assertLessEqual(len(after - before), gone.name in before)

    def test_view_may_come_in_any_order(self) -> None:
        members = proxies(60)
        one = endpoint(20)
        self.assertEqual(holders(one, members), holders(one, members[::-1]))


class ForwardTest(unittest.TestCase):
    """Members without connections forward one hop to a holder."""

    def test_target(self) -> None:
        members = proxies(60)
        held = holders(endpoint(20), members)
        others = [member for member in members if member not in held]
        targets = Counter(
            target.name
            for sender in others
            if (target := forward_target(endpoint(20), members, sender))
        )
        self.assertEqual(set(targets), {member.name for member in held})

    def test_prefers_its_zone_and_the_reachable(self) -> None:
        members = proxies(5)
        sender = Proxy("p9", ZONES[1])
        first = forward_target(endpoint(20), members, sender)
        second = forward_target(endpoint(20), members, sender, {"p1"})
        nobody = {member.name for member in members}
        self.assertEqual(first and first.name, "p1")
        self.assertNotIn(second and second.name, (None, "p1"))
        self.assertIsNone(forward_target(endpoint(20), members, sender, nobody))

    def test_policy_without_spare_divides_all(self) -> None:
        policy = SharePolicy(spare_holders=0)
        self.assertEqual(share(endpoint(20), proxies(5), "p0", policy), 4)
