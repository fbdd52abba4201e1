"""Tests of how evenly many proxies load the databases of a group.

Each runs the product's placement and the one that it replaced on the same seeds; see
`load_spread`.
"""

import unittest

from tests.load_spread import (
    EQUAL,
    ERRORS,
    TURNS_SLOW,
    UNEQUAL,
    Scenario,
    Spread,
    least_cost,
    mean_spread,
    placed,
)

SEEDS = (1, 2, 3)
PROXIES = (5, 27, 83)
SCENARIOS = {"equal": EQUAL, "unequal": UNEQUAL, "one turns slow": TURNS_SLOW}
# What the product's placement leaves of the old one's waits and variation, at most.
MAX_REMAINING_SHARE = 0.9


def before_and_after(scenario: Scenario, proxies: int) -> tuple[Spread, Spread]:
    """Return what the replaced placement and the product's give."""
    return (
        mean_spread(scenario, proxies, least_cost, SEEDS),
        mean_spread(scenario, proxies, placed, SEEDS),
    )


class LoadSpreadTest(unittest.TestCase):
    """Databases are loaded more evenly than by each proxy's own statements alone."""

    def assert_improved(self, before: list[Spread], after: list[Spread]) -> None:
        for name, values in (
            ("variation", [each.variation for each in (*before, *after)]),
            ("wait", [each.p99_wait for each in (*before, *after)]),
        ):
            old, new = sum(values[: len(before)]), sum(values[len(before) :])
            self.assertLess(new, MAX_REMAINING_SHARE * old, name)

    def test_few_proxies_gain_with_any_databases(self) -> None:
        for name, scenario in SCENARIOS.items():
            with self.subTest(name):
                before, after = before_and_after(scenario, 5)
                self.assert_improved([before], [after])

    def test_many_proxies_do_not_overrun_the_databases_in_turn(self) -> None:
        """Guards against proxies that choose the same database at the same moment.

        Each took only its own statements for the load. A single scenario differs
        between seeds by as much as it gains, so the sums of all are compared.
        """
        for proxies in (27, 83):
            with self.subTest(proxies=proxies):
                found = [before_and_after(each, proxies) for each in SCENARIOS.values()]
                self.assert_improved(
                    [before for before, _ in found], [after for _, after in found]
                )

    def test_database_that_answers_with_errors_attracts_no_load(self) -> None:
        """Guards against a faulty database that looks idle, as its errors are quick."""
        for proxies in PROXIES:
            with self.subTest(proxies=proxies):
                before, after = before_and_after(ERRORS, proxies)
                self.assertGreater(before.shares[-1], 1 / 3)
                self.assertLess(after.shares[-1], 1 / 4)
