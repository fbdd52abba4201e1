"""A network between simulated nodes, whose links are cut, slow or lose answers."""

import asyncio
import random

from tests.virtual_loop import virtual_now

STORE = "store"
# What is sent over a link that is cut arrives if the link is back within this time.
UNACKNOWLEDGED_SECONDS = 0.9
LATE_SHARE = 0.06
LOST_SHARE = 0.01


class Network:
    """Links between named nodes, which can be cut, lose answers and be slow.

    While it `holds_up_commands`, connections deliver some commands late, and no answer.
    While it `refuses`, new connections over a link that is cut are refused at once.
    """

    def __init__(self, rng: random.Random, late_share: float) -> None:
        self._rng = rng
        self._late_share = late_share
        self._cuts: dict[frozenset[str], int] = {}
        self.is_slow = False
        self.holds_up_commands = False
        self.refuses = False

    def cut(self, one: str, other: str) -> None:
        """Cut a link; each cut must be mended."""
        pair = frozenset((one, other))
        self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def mend(self, one: str, other: str) -> None:
        """Undo one cut of a link."""
        pair = frozenset((one, other))
        self._cuts[pair] -= 1
        if not self._cuts[pair]:
            del self._cuts[pair]

    def is_cut(self, one: str, other: str) -> bool:
        """Return True if nothing passes the link."""
        return frozenset((one, other)) in self._cuts

    async def transfer(self, one: str, other: str) -> bool:
        """Wait until something sent now arrives; return False if it is lost."""
        delay = self._rng.uniform(0.0005, 0.003)
        if self.is_slow and self._rng.random() < self._late_share:
            delay += self._rng.uniform(0.05, 1.0)
        if self.is_slow and self._rng.random() < LOST_SHARE:
            return False
        await asyncio.sleep(delay)
        lost_at = virtual_now() + UNACKNOWLEDGED_SECONDS
        while self.is_cut(one, other):
            await asyncio.sleep(0.02)
            if virtual_now() > lost_at:
                return False
        return True
