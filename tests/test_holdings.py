"""Tests of the holders that are kept as members come and go."""

import random
import unittest

from beryltiller.membership.holdings import Holdings
from beryltiller.membership.members import Member
from beryltiller.membership.shares import EndpointCap, SharePolicy, holders, share

ZONES = ("a", "b", "c")
CAPS = tuple(
    EndpointCap(f"d{number}", ZONES[number % 3], cap)
    for number, cap in enumerate((0, 1, 6, 20, 20, 35))
)
POLICY = SharePolicy()


def member(number: int, incarnation: int = 1) -> Member:
    """Return a member by its number."""
    zone = ZONES[number % 3]
    return Member(f"127.0.0.1:{number}", f"p{number}", zone, incarnation)


class HoldingsTest(unittest.TestCase):
    """What is kept equals what ranking everyone anew would give."""

    def check(self, holdings: Holdings, members: list[Member]) -> None:
        for cap in CAPS:
            wanted = holders(cap, members, POLICY)
            self.assertEqual(holdings.holders(cap.name), wanted)
            for each in members[:5]:
                self.assertEqual(
                    holdings.share(cap.name, each.name),
                    share(cap, members, each.name, POLICY),
                )

    def test_any_change_of_members(self) -> None:
        source = random.Random(5)
        holdings = Holdings(POLICY)
        holdings.configure(CAPS)
        for _ in range(200):
            numbers = source.sample(range(40), source.randint(0, 40))
            members = [member(each, source.randint(1, 2)) for each in numbers]
            holdings.update(members)
            self.check(holdings, members)

    def test_a_new_configuration(self) -> None:
        members = [member(number) for number in range(9)]
        holdings = Holdings(POLICY)
        holdings.configure(CAPS[:2])
        holdings.update(members)
        holdings.configure(CAPS)
        self.check(holdings, members)
        self.assertEqual(holdings.share("unknown", "p1"), 0)
