"""Tests of the rates and shares that benchmarks compute from load reports."""

import doctest
import unittest

import msgspec

from beryltiller.benchmarks import bench_overload, load, load_runs
from beryltiller.benchmarks.load import LoadPlan, LoadReport, caller_names, refusal_code
from beryltiller.benchmarks.load_runs import (
    join_reports,
    parse_cpu_seconds,
    percentile,
    recovery_seconds,
    window_rates,
    worst_caller_share,
)


class ReportTest(unittest.TestCase):
    """Benchmarks must not misreport rates, shares and times from joined reports."""

    def test_examples(self) -> None:
        for module in (bench_overload, load, load_runs):
            self.assertEqual(doctest.testmod(module).failed, 0)

    def test_plan_is_decoded_from_the_command_line(self) -> None:
        plan = LoadPlan(("127.0.0.1:1",), 1.5, 2.0, 2, "c", 7, rate=10.0)
        text = msgspec.json.encode(plan)
        self.assertEqual(msgspec.json.decode(text, type=LoadPlan), plan)
        self.assertEqual(caller_names(plan), ("c0", "c1"))

    def test_join_sums_callers_and_outcomes(self) -> None:
        one = LoadReport(
            [1], {"a": 1}, {"done": 1, "not-run": 2}, {"late": 2}, {"d": 1}, [1.0], 1
        )
        two = LoadReport(
            [2], {"b": 2}, {"done": 2, "unknown": 1}, {"late": 1}, {"d": 2}, [2.0, 3.0]
        )
        total = join_reports([one, two])
        self.assertEqual(total.by_caller, {"a": 1, "b": 2})
        self.assertEqual(total.outcomes, {"done": 3, "not-run": 2, "unknown": 1})
        self.assertEqual(total.latencies_ms, [1.0, 2.0, 3.0])
        self.assertEqual(total.refusals, {"late": 3})
        self.assertEqual(total.by_database, {"d": 3})
        self.assertEqual(total.unsent, 1)

    def test_percentile_of_unsorted_and_empty_values(self) -> None:
        values = [float(number) for number in range(100, 0, -1)]
        cases = ((0.01, 1.0), (0.5, 50.0), (0.99, 99.0), (1.0, 100.0))
        for share, expected in cases:
            with self.subTest(share=share):
                self.assertEqual(percentile(values, share), expected)
        self.assertEqual(percentile([], 0.5), 0.0)

    def test_worst_share_counts_callers_without_any_answer(self) -> None:
        self.assertEqual(worst_caller_share([10, 0]), 0.0)
        self.assertEqual(worst_caller_share([0, 0]), 0.0)

    def test_recovery_must_last(self) -> None:
        cases: tuple[tuple[str, list[int], float | None], ...] = (
            ("no loss", [10] * 8, 0.0),
            ("late", [10, 10, 1, 1, 1, 9, 9, 9], 0.3),
            ("one burst is not enough", [10, 10, 0, 20, 0, 9, 9, 9], 0.3),
            ("never", [10, 10, 1, 1, 1, 1, 1, 1], None),
        )
        for name, done, expected in cases:
            with self.subTest(name=name):
                rates = window_rates(done, since=0.2, window=0.2)
                self.assertEqual(recovery_seconds(rates, 90.0), expected)

    def test_refusals_without_a_reason(self) -> None:
        self.assertEqual(refusal_code(b""), "no answer")
        self.assertEqual(refusal_code(b'{"reason": "draining"}'), "draining")

    def test_cpu_seconds_of_a_name_with_brackets(self) -> None:
        fields = " ".join(str(number) for number in range(3, 30))
        ticks = 14 + 15
        found = parse_cpu_seconds(f"42 (a) b) S {fields.split(' ', 1)[1]}")
        per_second = load_runs.TICKS_PER_SECOND
        self.assertAlmostEqual(found, ticks / per_second)


if __name__ == "__main__":
    unittest.main()
