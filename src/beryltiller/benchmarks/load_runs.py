"""Start load generator processes, join their reports and compute rates from them."""

import os
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from pathlib import Path

import msgspec

from beryltiller.benchmarks.load import BUCKET_SECONDS, LoadPlan, LoadReport
from beryltiller.standins.launcher import LaunchedProcess, Launcher

START_SECONDS_PER_PROCESS = 1.0
_END_TIMEOUT_SECONDS = 10.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class RunningLoad:
    """The load generator processes of one run, and the files of their reports."""

    processes: tuple[LaunchedProcess, ...]
    report_paths: tuple[Path, ...]
    start_at: float
    seconds: float

    async def wait(self) -> LoadReport:
        """Wait until all processes have ended, and return the joined report."""
        end = self.start_at + self.seconds + _END_TIMEOUT_SECONDS
        for process in self.processes:
            await process.wait(max(end - time.monotonic(), 0.0))
        reports = [
            msgspec.json.decode(path.read_bytes(), type=LoadReport)
            for path in self.report_paths
        ]
        return join_reports(reports)


async def start_load(launcher: Launcher, plan: LoadPlan, processes: int) -> RunningLoad:
    """Start processes that share the plan's rate and its callers evenly.

    The plan's `start_at` is replaced by a time that leaves each process
    `START_SECONDS_PER_PROCESS` to get ready.
    """
    start_at = time.monotonic() + START_SECONDS_PER_PROCESS * (processes + 1)
    started, paths = [], []
    for number in range(processes):
        part = msgspec.structs.replace(
            plan,
            start_at=start_at,
            rate=plan.rate / processes,
            callers=plan.callers // processes,
            prefix=f"{plan.prefix}{number}-",
        )
        path = launcher.directory / f"load-{time.monotonic_ns()}-{number}.json"
        command = (
            *(sys.executable, "-m", "beryltiller.benchmarks.load"),
            *("--plan", msgspec.json.encode(part).decode(), "--report", str(path)),
        )
        started.append(await launcher.start(f"load-{number}", command))
        paths.append(path)
    return RunningLoad(tuple(started), tuple(paths), start_at, plan.seconds)


def join_reports(reports: Sequence[LoadReport]) -> LoadReport:
    """Return the sum of reports over the same period.

    >>> one = LoadReport([1, 2], {"a": 3}, {"done": 3})
    >>> join_reports([one, LoadReport([0, 1], {"b": 1}, {"done": 1})]).done
    [1, 3]
    """
    total = LoadReport([0] * max(len(report.done) for report in reports))
    for report in reports:
        total.by_caller.update(report.by_caller)
        total.latencies_ms.extend(report.latencies_ms)
        total.unsent += report.unsent
        for bucket, count in enumerate(report.done):
            total.done[bucket] += count
        _add_counts(total.outcomes, report.outcomes)
        _add_counts(total.refusals, report.refusals)
        _add_counts(total.by_database, report.by_database)
    return total


def _add_counts(total: dict[str, int], counts: Mapping[str, int]) -> None:
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count


def per_second(done: Sequence[int], from_seconds: float, to_seconds: float) -> float:
    """Return the mean rate between two times, from counts per tenth of a second.

    >>> per_second([1, 2, 3, 4], 0.2, 0.4)
    35.0
    """
    first = round(from_seconds / BUCKET_SECONDS)
    last = round(to_seconds / BUCKET_SECONDS)
    return sum(done[first:last]) / ((last - first) * BUCKET_SECONDS)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that a fraction `share` of all values do not exceed.

    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    return sorted(values)[max(ceil(share * len(values)), 1) - 1]


def worst_caller_share(by_caller: Sequence[int]) -> float:
    """Return the lowest count of a caller as a share of the callers' mean.

    >>> worst_caller_share([10, 10, 4])
    0.5
    """
    return min(by_caller) * len(by_caller) / max(sum(by_caller), 1)


def window_rates(done: Sequence[int], since: float, window: float) -> list[float]:
    """Return the rate of each `window` seconds that start at or after `since`.

    >>> window_rates([1, 2, 3, 4], 0.1, 0.2)
    [25.0, 35.0]
    """
    width = round(window / BUCKET_SECONDS)
    starts = range(round(since / BUCKET_SECONDS), len(done) - width + 1)
    return [
        sum(done[start : start + width]) / (width * BUCKET_SECONDS) for start in starts
    ]


def recovery_seconds(rates: Sequence[float], minimum: float) -> float | None:
    """Return the seconds after which all rates are at least `minimum`.

    There is one rate per tenth of a second. None if the last rate is below `minimum`.

    >>> recovery_seconds([100.0, 50.0, 95.0, 92.0], 90.0)
    0.2
    """
    below = [number for number, rate in enumerate(rates) if rate < minimum]
    if not below:
        return 0.0
    if below[-1] == len(rates) - 1:
        return None
    return round((below[-1] + 1) * BUCKET_SECONDS, 1)


def cpu_seconds(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    return parse_cpu_seconds(Path(f"/proc/{process_id}/stat").read_text())


def parse_cpu_seconds(stat: str) -> float:
    """Return the sum of user and system seconds in a line of `/proc/PID/stat`.

    The process's name, in parentheses, may itself contain spaces and parentheses.
    """
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
