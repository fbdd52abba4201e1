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
    """A minimal implementation of the `Member` protocol."""

    name: str
    availability_zone: str
    address: str = "127.0.0.1:1"


def proxies(count: int) -> list[Proxy]:
    """Return `count` proxies spread over the zones."""
    return [Proxy(f"p{n}", ZONES[n % 4]) for n in range(count)]


def endpoint(cap: int, name: str = "d1") -> EndpointCap:
    """Return an endpoint in the first zone."""
    return EndpointCap(name, ZONES[0], cap)


class ShareTest(unittest.TestCase):
    """The sum of the shares stays within the cap if views differ by one member."""

    def test_cap_is_divided_with_a_reserve_of_one_share(self) -> None:
        cases = ((5, 20, 3), (5, 35, 5), (4, 20, 4), (1, 20, 10), (1, 1, 1), (0, 9, 0))
        for count, cap, each in cases:
            members = proxies(count)
            sizes = {share(endpoint(cap), members, m.name) for m in members}
            with self.subTest(count=count, cap=cap):
                self.assertEqual(sizes, {each} if members else set())

    def test_sum_stays_within_the_cap_while_views_differ_by_one_member(self) -> None:
        for count in range(2, 16):
            members = proxies(count)
            for cap in (*range(2, 50), 100):
                target_endpoint = endpoint(cap, f"d{cap}")
                for removed in members:
                    remaining = [member for member in members if member is not removed]
                    others_total = sum(
                        max(
                            share(target_endpoint, remaining, m.name),
                            share(target_endpoint, members, m.name),
                        )
                        for m in remaining
                    )
                    total = others_total + share(target_endpoint, members, removed.name)
                    self.assertLessEqual(total, cap, (count, cap, removed))

    def test_shares_grow_when_a_holder_leaves(self) -> None:
        members = proxies(5)
        before = share(endpoint(20), members, "p0")
        self.assertGreater(share(endpoint(20), members[:-1], "p0"), before)

    def test_few_members_hold_connections_in_a_large_cluster(self) -> None:
        members = proxies(500)
        for cap, limit in ((20, 5), (35, 10)):
            held = holders(endpoint(cap), members)
            sizes = [share(endpoint(cap), members, m.name) for m in held]
            with self.subTest(cap=cap):
                self.assertEqual(len(held), limit)
                self.assertGreaterEqual(min(sizes), 2)
                self.assertEqual({m.availability_zone for m in held}, {ZONES[0]})

    def test_endpoints_are_spread_over_members(self) -> None:
        members = proxies(40)
        held = Counter(
            member.name
            for number in range(530)
            for member in holders(endpoint(20, f"d{number}"), members)
        )
        held_in_zone = [
            held[m.name] for m in members if m.availability_zone == ZONES[0]
        ]
        self.assertLess(max(held_in_zone) / min(held_in_zone), 1.5)

    def test_leaving_member_changes_at_most_one_holder(self) -> None:
        members = proxies(60)
        before = {m.name for m in holders(endpoint(20), members)}
        for removed in members:
            remaining = [member for member in members if member is not removed]
            after = {m.name for m in holders(endpoint(20), remaining)}
            self.assertLessEqual(len(after - before), removed.name in before)

    def test_holders_do_not_depend_on_the_order_of_the_view(self) -> None:
        members = proxies(60)
        target_endpoint = endpoint(20)
        self.assertEqual(
            holders(target_endpoint, members), holders(target_endpoint, members[::-1])
        )


class ForwardTest(unittest.TestCase):
    """A member without connections forwards to a holder, and all holders are used."""

    def test_all_holders_and_only_holders_are_targets(self) -> None:
        members = proxies(60)
        held = holders(endpoint(20), members)
        others = [member for member in members if member not in held]
        targets = Counter(
            target.name
            for sender in others
            if (target := forward_target(endpoint(20), members, sender))
        )
        self.assertEqual(set(targets), {member.name for member in held})

    def test_target_is_reachable_and_preferably_in_the_same_zone(self) -> None:
        members = proxies(5)
        sender = Proxy("p9", ZONES[1])
        first = forward_target(endpoint(20), members, sender)
        second = forward_target(endpoint(20), members, sender, {"p1"})
        all_names = {member.name for member in members}
        self.assertEqual(first and first.name, "p1")
        self.assertNotIn(second and second.name, (None, "p1"))
        self.assertIsNone(forward_target(endpoint(20), members, sender, all_names))

    def test_policy_without_spare_holders_leaves_no_reserve(self) -> None:
        policy = SharePolicy(spare_holders=0)
        self.assertEqual(share(endpoint(20), proxies(5), "p0", policy), 4)
