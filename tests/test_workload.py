"""Tests of a scenario's callers, against a minimal proxy that misbehaves."""

import asyncio
import doctest
import json
import unittest
from collections import Counter
from pkgutil import resolve_name

from aiohttp import web

from beryltiller.benchmarks import bench, workload
from beryltiller.benchmarks.history import Record, Rule, check_history
from beryltiller.benchmarks.scenario import longest_write_gap
from beryltiller.benchmarks.workload import Workload, WorkloadSizes, split_value
from beryltiller.core.outcome import Outcome

_STOP_AFTER_REQUESTS = 60


class FaultyProxy:
    """A proxy that answers from memory, with a fault at every tenth request if set.

    With the fault "forget" it acknowledges a write without storing it.
    """

    def __init__(self, fault: str = "") -> None:
        self.values: dict[str, str] = {}
        self.workload: Workload | None = None
        self._fault = fault
        self._requests = 0
        self._claimed: set[str] = set()

    async def answer(self, request: web.Request) -> web.Response:
        self._requests += 1
        if self._requests == _STOP_AFTER_REQUESTS and self.workload is not None:
            self.workload.stop()
        fault = self._fault if self._requests % 10 == 0 else ""
        operation = json.loads(await request.read())
        if fault == "refuse":
            return web.Response(status=503, headers={"Beryl-Outcome": "not-run"})
        if fault != "forget":
            self._apply(operation, request.headers.get("Beryl-Request-Key", ""))
        if fault == "refuse after running":
            return web.Response(status=503, headers={"Beryl-Outcome": "not-run"})
        if fault == "lose answer" and request.transport is not None:
            request.transport.abort()
        value = self.values.get(operation["key"], "") + (
            operation.get("value", "") if fault == "forget" else ""
        )
        body = json.dumps(
            {"key": operation["key"], "value": value, "tag": operation["tag"]}
        )
        if fault == "cut answer":
            body = body[:-5]
        return web.Response(text=body, headers={"Beryl-Outcome": "done"})

    def _apply(self, operation: dict[str, str], key: str) -> None:
        if operation["op"] == "append" and key not in self._claimed:
            old = self.values.get(operation["key"], "")
            self.values[operation["key"]] = old + operation["value"]
            self._claimed |= {key} - {""}


async def _run_workload(fault: str) -> tuple[list[Record], dict[str, tuple[str, ...]]]:
    proxy = FaultyProxy(fault)
    app = web.Application()
    app.router.add_post("/v1/statements", proxy.answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    sizes = WorkloadSizes(callers=1, keys=4, write_share=0.6, pause_seconds=0.0)
    proxy.workload = Workload((f"{host}:{port}",), sizes, seed=1)
    try:
        async with asyncio.timeout(10):
            await proxy.workload.run()
    finally:
        await runner.cleanup()
    final_values = {key: split_value(value) for key, value in proxy.values.items()}
    return proxy.workload.records, final_values


class WorkloadTest(unittest.IsolatedAsyncioTestCase):
    """Callers must record a proxy's answers so that the checker finds its faults."""

    async def test_checker_finds_faults_of_a_proxy(self) -> None:
        cases: tuple[tuple[str, Outcome, set[Rule]], ...] = (
            ("", Outcome.DONE, set()),
            ("refuse", Outcome.NOT_RUN, set()),
            ("lose answer", Outcome.UNKNOWN, set()),
            ("refuse after running", Outcome.NOT_RUN, {Rule.RAN_THOUGH_REFUSED}),
            ("cut answer", Outcome.DONE, {Rule.INCOMPLETE}),
            ("forget", Outcome.DONE, {Rule.LOST}),
        )
        for fault, outcome, rules in cases:
            with self.subTest(fault=fault):
                records, final_values = await _run_workload(fault)
                self.assertGreaterEqual(len(records), _STOP_AFTER_REQUESTS // 2)
                self.assertIn(outcome, {record.outcome for record in records})
                found = {
                    violation.rule for violation in check_history(records, final_values)
                }
                self.assertLessEqual(rules, found)
                self.assertTrue(rules or not found, found)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(workload).failed, 0)


class ScenarioTest(unittest.TestCase):
    """Write gaps that end before the fault do not count, and each benchmark can run."""

    def test_write_gaps_before_the_fault_do_not_count(self) -> None:
        end_times = Counter({0.0: 1, 5.0: 1, 6.0: 1, 8.5: 1, 9.0: 1})
        records = [
            Record("c", 1, "t", "k", True, Outcome.DONE, ended=end) for end in end_times
        ]
        self.assertEqual(longest_write_gap(records, since=7.0), 2.5)
        self.assertEqual(longest_write_gap(records, since=4.0), 5.0)
        self.assertEqual(longest_write_gap([], since=0.0), 0.0)

    def test_each_benchmark_resolves_to_a_function(self) -> None:
        for benchmark in bench.BENCHMARKS:
            with self.subTest(benchmark=benchmark.name):
                function = resolve_name(f"beryltiller.benchmarks.{benchmark.function}")
                self.assertTrue(callable(function))

    def test_unknown_benchmark_is_refused(self) -> None:
        self.assertEqual(bench.run("no-such", seed=1), 2)
