"""The ways to choose a database that docs/design/even-load.md compares.

`python -m tests.load_choices SEEDS [NAME...]` prints the spread that each one gives.
"""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median_low

from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from tests.load_spread import (
    EQUAL,
    ERRORS,
    TURNS_SLOW,
    UNEQUAL,
    Choice,
    least_cost,
    mean_spread,
    placed,
)

PROXIES = (5, 27, 83)
SCENARIOS = {
    "equal": EQUAL,
    "unequal": UNEQUAL,
    "turns slow": TURNS_SLOW,
    "errors": ERRORS,
}


def first_least(costs: list[float], rng: random.Random) -> int:
    """Return the index of the first least cost."""
    return costs.index(min(costs))


def least_of_two(costs: list[float], rng: random.Random) -> int:
    """Return the cheaper one of two drawn at random."""
    drawn = rng.sample(range(len(costs)), min(2, len(costs)))
    return min(drawn, key=costs.__getitem__)


def drawn_by_cost(exponent: float) -> Callable[[list[float], random.Random], int]:
    """Return a draw whose weights are the costs to the power of `-exponent`."""

    def draw(costs: list[float], rng: random.Random) -> int:
        weights = [cost**-exponent for cost in costs]
        return rng.choices(range(len(costs)), weights)[0]

    return draw


@dataclass(frozen=True)
class Option:
    """A choice by the costs; a `Choice`.

    With `is_aged` observations count less with age, with `counts_all` this proxy's
    statements count for those of all proxies.
    """

    draw: Callable[[list[float], random.Random], int]
    is_aged: bool = False
    counts_all: bool = False

    def __call__(
        self,
        group: Group,
        now: float,
        tried: frozenset[str],
        rng: random.Random,
        proxies: int,
    ) -> Member:
        members = [each for name, each in group.members.items() if name not in tried]
        seconds = [each.observed.latency_seconds for each in members]
        if self.is_aged:
            neutral = median_low(seconds)
            seconds = [each.observed.expected_seconds(now, neutral) for each in members]
        counted = proxies if self.counts_all else 1
        costs = [
            latency * (1 + each.in_flight * counted / each.database.slots)
            for latency, each in zip(seconds, members, strict=True)
        ]
        return members[self.draw(costs, rng)]


CHOICES: dict[str, Choice] = {
    "least": least_cost,
    "two": Option(least_of_two),
    "drawn/2": Option(drawn_by_cost(2)),
    "drawn/4": Option(drawn_by_cost(4)),
    "least+age": Option(first_least, is_aged=True),
    "least+all": Option(first_least, counts_all=True),
    "two+all": Option(least_of_two, counts_all=True),
    "two+age+all": Option(least_of_two, is_aged=True, counts_all=True),
    "drawn/4+age+all": Option(drawn_by_cost(4), is_aged=True, counts_all=True),
    "least+age+all": Option(first_least, is_aged=True, counts_all=True),
    "product": placed,
}


def main(seeds: int, names: list[str]) -> None:
    """Print the spreads of the choices."""
    for name in names or CHOICES:
        for scenario_name, scenario in SCENARIOS.items():
            for proxies in PROXIES:
                found = mean_spread(
                    scenario, proxies, CHOICES[name], range(1, seeds + 1)
                )
                print(
                    f"{name},{scenario_name},{proxies},{found.variation:.2f},"
                    f"{found.p99_wait * 1000:.0f},{found.shares[-1]:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2:])
