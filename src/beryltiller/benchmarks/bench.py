"""Registry of the benchmarks that `beryltiller bench` runs.

Each benchmark is a function that takes the random seed, prints a table of results and
returns an exit code. Its module is imported only when the benchmark runs.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pkgutil import resolve_name


@dataclass(frozen=True, slots=True)
class Benchmark:
    """A benchmark's name, what it measures, and its function as `module:function`."""

    name: str
    description: str
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
        "statements per second of one proxy on one core, and the latency it adds",
        "bench_daemon:run",
    ),
    Benchmark(
        "failover",
        "time without acknowledged writes after the primary is killed or frozen",
        "bench_failover:run",
    ),
    Benchmark(
        "memory",
        "Python memory per object that a proxy keeps, by kind",
        "bench_memory:run",
    ),
    Benchmark(
        "overload",
        "goodput and fairness at twice the peak load, and after a proxy's loss",
        "bench_overload:run",
    ),
    Benchmark(
        "scenarios",
        "consistency guarantees under faults of processes",
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
    """Run the benchmark called `name`, or all benchmarks if it is None.

    Return the first nonzero exit code of a benchmark, 0 if there is none, and 2 if no
    benchmark has that name.
    """
    selected = [each for each in BENCHMARKS if name in (None, each.name)]
    if not selected:
        names = ", ".join(each.name for each in BENCHMARKS)
        print(
            f"beryltiller: no benchmark is named {name}; the names are: {names}",
            file=sys.stderr,
        )
        return 2
    codes = [_run(each, seed) for each in selected]
    return next((code for code in codes if code), 0)


def _run(benchmark: Benchmark, seed: int) -> int:
    print(f"{benchmark.name}: {benchmark.description}; seed {seed}", flush=True)
    function: Callable[[int], int]
    function = resolve_name(f"beryltiller.benchmarks.{benchmark.function}")
    return function(seed)
