"""Tests of the cache of holders, as members join and leave."""

import random
import unittest

from beryltiller.membership.holder_cache import HolderCache
from beryltiller.membership.members import Member
from beryltiller.membership.shares import EndpointCap, SharePolicy, holders, share

ZONES = ("a", "b", "c")
CAPS = tuple(
    EndpointCap(f"d{number}", ZONES[number % 3], cap)
    for number, cap in enumerate((0, 1, 6, 20, 20, 35))
)
POLICY = SharePolicy()


def member(number: int, incarnation: int = 1) -> Member:
    """Return the member with this number, in one of the zones."""
    zone = ZONES[number % 3]
    return Member(f"127.0.0.1:{number}", f"p{number}", zone, incarnation)


class HolderCacheTest(unittest.TestCase):
    """The cached holders equal those from ranking all members again."""

    def check_holders(self, cache: HolderCache, members: list[Member]) -> None:
        for cap in CAPS:
            expected = holders(cap, members, POLICY)
            self.assertEqual(cache.holders(cap.name), expected)
            for each in members[:5]:
                self.assertEqual(
                    cache.share(cap.name, each.name),
                    share(cap, members, each.name, POLICY),
                )

    def test_holders_after_random_changes_of_members(self) -> None:
        rng = random.Random(5)
        cache = HolderCache(POLICY)
        cache.configure(CAPS)
        for _ in range(200):
            numbers = rng.sample(range(40), rng.randint(0, 40))
            members = [member(each, rng.randint(1, 2)) for each in numbers]
            cache.update(members)
            self.check_holders(cache, members)

    def test_holders_after_a_new_configuration(self) -> None:
        members = [member(number) for number in range(9)]
        cache = HolderCache(POLICY)
        cache.configure(CAPS[:2])
        cache.update(members)
        cache.configure(CAPS)
        self.check_holders(cache, members)
        self.assertEqual(cache.share("unknown", "p1"), 0)
