"""The benchmarks that `beryltiller bench` runs, by name.

A benchmark is a function that is given the seed, prints its table, and returns
an exit code. It is imported only when it runs.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pkgutil import resolve_name


@dataclass(frozen=True, slots=True)
class Benchmark:
    """Name a benchmark, what it measures, and its `module:function`."""

    name: str
    meaning: str
    function: str


BENCHMARKS = (
    Benchmark(
        "admission",
        "goodput, fairness and waits of the admission queue, on a virtual clock",
        "bench_admission:run",
    ),
    Benchmark(
        "control",
        "cost of membership and configuration per proxy, by number of proxies",
        "bench_control:run",
    ),
    Benchmark(
        "daemon",
        "statements per second of one proxy on one core, and the time of a hop",
        "bench_daemon:run",
    ),
    Benchmark(
        "failover",
        "time without acknowledged writes after the primary is killed or frozen",
        "bench_failover:run",
    ),
    Benchmark(
        "memory",
        "resident memory of what a proxy keeps, by kind",
        "bench_memory:run",
    ),
    Benchmark(
        "overload",
        "goodput and fairness at twice the peak load, and after a proxy's loss",
        "bench_overload:run",
    ),
    Benchmark(
        "scenarios",
        "faults of processes, and the invariants over all callers' histories",
        "scenario:run",
    ),
    Benchmark(
        "sessions",
        "reads by replicas against two baselines, on a virtual clock",
        "bench_sessions:run",
    ),
    Benchmark(
        "session-processes",
        "reads by replicas with read-your-writes, with real processes",
        "bench_session_processes:run",
    ),
)


def run(name: str | None, seed: int) -> int:
    """Run the benchmark of that name, or all; return the first failure's code."""
    chosen = [each for each in BENCHMARKS if name in (None, each.name)]
    if not chosen:
        names = ", ".join(each.name for each in BENCHMARKS)
        print(f"beryltiller: no benchmark {name}; there are: {names}", file=sys.stderr)
        return 2
    codes = [_run(each, seed) for each in chosen]
    return next((code for code in codes if code), 0)


def _run(benchmark: Benchmark, seed: int) -> int:
    print(f"{benchmark.name}: {benchmark.meaning}; seed {seed}", flush=True)
    function: Callable[[int], int]
    function = resolve_name(f"beryltiller.benchmarks.{benchmark.function}")
    return function(seed)
