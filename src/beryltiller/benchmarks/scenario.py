"""Benchmark of the consistency guarantees under faults of real processes.

Each scenario starts its own system on loopback, runs callers that write and read,
injects one fault, reverts it if it has a duration, stops the callers and checks all
their requests.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import pairwise
from typing import Any

from beryltiller.benchmarks.history import (
    FinalValues,
    Record,
    Rule,
    Violation,
    check_graceful_shutdown,
    check_history,
    check_leaving_database,
)
from beryltiller.benchmarks.workload import Workload, WorkloadSizes, split_value
from beryltiller.core.outcome import Outcome
from beryltiller.core.text import columns
from beryltiller.standins.cluster import Cluster, ClusterSizes, send_json, start_cluster
from beryltiller.standins.cluster_setup import configure
from beryltiller.standins.launcher import LaunchedProcess, Launcher, LaunchError

_SIZES = ClusterSizes(zones=("zone-a", "zone-b", "zone-c"), proxies=3)
_BEFORE_FAULT_SECONDS = 2.0
_AFTER_FAULT_SECONDS = 6.0
_SETTLE_SECONDS = 1.0
_DRAIN_TIMEOUT_SECONDS = 10.0
_SHOWN_VIOLATIONS = 5

WRITE_ROUTE = "orders"
# The allowed time of replication in addition to the lag of the scenario.
REPLICATION_SECONDS = 0.05
# A primary that reports leaving may serve no request that starts more than this time
# after the report.
LEAVING_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class KillProxy:
    """The fault in which one proxy is killed."""


@dataclass(frozen=True, slots=True)
class FreezeProxy:
    """The fault in which one proxy's process is suspended for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class KillPrimary:
    """The fault in which a group's primary is killed."""


@dataclass(frozen=True, slots=True)
class FreezePrimary:
    """The fault in which a group's primary is suspended for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class PlatformOutage:
    """The fault in which the platform refuses all requests for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class IsolateProxy:
    """The fault in which one proxy cannot reach the platform for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class DrainProxy:
    """A graceful shutdown of one proxy, which must not interrupt any request."""


@dataclass(frozen=True, slots=True)
class Failover:
    """A failover requested from one proxy while the system is healthy."""


@dataclass(frozen=True, slots=True)
class ReportPrimaryLeaving:
    """A primary that reports that it is leaving while no host list says so."""


Fault = (
    KillProxy
    | FreezeProxy
    | KillPrimary
    | FreezePrimary
    | PlatformOutage
    | IsolateProxy
    | DrainProxy
    | Failover
    | ReportPrimaryLeaving
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fault to inject, and the replicas' lag during the run."""

    name: str
    fault: Fault
    lag_ms: float = 0.0


SCENARIOS = (
    Scenario("kill-proxy", KillProxy()),
    Scenario("freeze-proxy", FreezeProxy(3.0)),
    Scenario("drain-proxy", DrainProxy()),
    Scenario("cut-proxy", IsolateProxy(4.0)),
    Scenario("kill-primary", KillPrimary()),
    Scenario("kill-primary-lag", KillPrimary(), lag_ms=200.0),
    Scenario("freeze-primary", FreezePrimary(4.0)),
    Scenario("failover", Failover()),
    Scenario("leave-primary", ReportPrimaryLeaving()),
    Scenario("platform-outage", PlatformOutage(4.0)),
)


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """The requests and violations of one scenario's run.

    `violations` broke a guarantee; `allowed_losses` are lost writes that the guarantees
    allow.
    """

    name: str
    records: tuple[Record, ...]
    fault_at: float
    violations: tuple[Violation, ...]
    allowed_losses: tuple[Violation, ...] = ()

    def describe(self, violation: Violation) -> str:
        """Return a line on a violation, with its times relative to the fault."""
        record = violation.record
        started, ended = record.started - self.fault_at, record.ended - self.fault_at
        return (
            f"{violation} (route {record.route}, from {started:+.3f} s"
            f" to {ended:+.3f} s relative to the fault)"
        )

    def row(self) -> tuple[str, ...]:
        """Return the scenario's row of the table."""
        outcomes = Counter(record.outcome for record in self.records)
        broken = Counter(
            f"{each.rule.value} {each.record.route}" for each in self.violations
        )
        rules = ", ".join(f"{rule} {count}" for rule, count in sorted(broken.items()))
        return (
            self.name,
            str(len(self.records)),
            *(str(outcomes[outcome]) for outcome in Outcome),
            f"{longest_write_gap(self.records, self.fault_at):.2f}",
            str(len(self.allowed_losses)),
            rules or "none",
        )


def run(seed: int) -> int:
    """Run all scenarios and print the table.

    Return 1 if a guarantee was broken, or at the first scenario that cannot be run.
    """
    results = []
    for scenario in SCENARIOS:
        print(f"{scenario.name} ...", file=sys.stderr, flush=True)
        try:
            results.append(asyncio.run(run_scenario(scenario, seed)))
        except LaunchError as error:
            print(f"beryltiller: {scenario.name}: {error}", file=sys.stderr)
            return 1
    header = ("SCENARIO", "REQUESTS", "DONE", "NOT RUN", "UNKNOWN", "WRITE GAP S")
    rows = [result.row() for result in results]
    last = ("ALLOWED LOSSES", "BROKEN GUARANTEES")
    print(*columns((*header, *last), rows), sep="\n")
    for result in results:
        for violation in result.violations[:_SHOWN_VIOLATIONS]:
            print(f"{result.name}: {result.describe(violation)}", file=sys.stderr)
    return 1 if any(result.violations for result in results) else 0


async def run_scenario(scenario: Scenario, seed: int) -> ScenarioResult:
    """Run one scenario on a new system, and check its requests."""
    sizes = replace(_SIZES, lag_ms=scenario.lag_ms)
    rng = random.Random(f"{seed}/{scenario.name}")
    async with Launcher() as launcher:
        cluster = await start_cluster(launcher, sizes)
        await configure(cluster)
        callers = [str(each.caller) for each in cluster.addresses.values()]
        workload = Workload(callers, WorkloadSizes(), seed)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(workload.run())
            await asyncio.sleep(_BEFORE_FAULT_SECONDS)
            fault_at = time.monotonic()
            primary_before = await _find_primary(cluster)
            await _inject_fault(scenario.fault, cluster, rng)
            await asyncio.sleep(_AFTER_FAULT_SECONDS)
            workload.stop()
        await asyncio.sleep(_SETTLE_SECONDS)
        final_values = await _read_final_values(cluster)
        _check_error_output(cluster)
    records = tuple(workload.records)
    violations = check_history(records, final_values)
    if isinstance(scenario.fault, DrainProxy):
        violations += tuple(check_graceful_shutdown(records))
    if isinstance(scenario.fault, ReportPrimaryLeaving):
        must_have_left_at = fault_at + LEAVING_SECONDS
        violations += tuple(
            check_leaving_database(records, primary_before.name, must_have_left_at)
        )
    allowed_losses = tuple(
        each for each in violations if is_allowed_loss(each, scenario, fault_at)
    )
    broken = tuple(each for each in violations if each not in allowed_losses)
    return ScenarioResult(scenario.name, records, fault_at, broken, allowed_losses)


def _check_error_output(cluster: Cluster) -> None:
    """Raise `LaunchError` if a proxy's error output has anything but log lines."""
    for name, process in cluster.proxies.items():
        lines = [line for line in process.error_output.splitlines() if line[:1] != "{"]
        if lines:
            raise LaunchError(f"{name} wrote to its error output: {lines[-1]}")


def is_allowed_loss(violation: Violation, scenario: Scenario, fault_at: float) -> bool:
    """Return True if the guarantees allow the write of this violation to be lost.

    They allow it for a write on a route of kind `write`, which the primary alone
    acknowledges, if it was acknowledged before the fault by no more than the replicas'
    lag. `REPLICATION_SECONDS` are allowed in addition before and after the fault. A
    write that is unsafe to repeat must never be lost.
    """
    if not isinstance(scenario.fault, KillPrimary | FreezePrimary):
        return False
    record = violation.record
    if violation.rule is not Rule.LOST or record.route != WRITE_ROUTE:
        return False
    window = scenario.lag_ms / 1000 + REPLICATION_SECONDS
    return fault_at - window <= record.ended <= fault_at + REPLICATION_SECONDS


async def _inject_fault(fault: Fault, cluster: Cluster, rng: random.Random) -> None:
    """Inject a fault, and revert it after its duration if it has one."""
    name = rng.choice(sorted(cluster.proxies))
    match fault:
        case KillProxy():
            await cluster.proxies[name].kill()
        case FreezeProxy(seconds):
            await _freeze(cluster.proxies[name], seconds)
        case KillPrimary() | FreezePrimary() | ReportPrimaryLeaving():
            await _inject_primary_fault(fault, cluster)
        case PlatformOutage(seconds):
            await cluster.set_faults(cluster.platform, refuse=True)
            await asyncio.sleep(seconds)
            await cluster.set_faults(cluster.platform, refuse=False)
        case IsolateProxy(seconds):
            ip = cluster.addresses[name].caller.ip
            await cluster.set_faults(cluster.platform, cut_from=[ip])
            await asyncio.sleep(seconds)
            await cluster.set_faults(cluster.platform, cut_from=[])
        case DrainProxy():
            cluster.proxies[name].terminate()
            code = await cluster.proxies[name].wait(_DRAIN_TIMEOUT_SECONDS)
            if code != 0:
                raise LaunchError(f"{name}: exit code after draining is {code}, not 0")
        case Failover():
            operator = str(cluster.addresses[name].operator)
            await send_json("POST", operator, "/v1/failover/g1", {})


async def _inject_primary_fault(
    fault: KillPrimary | FreezePrimary | ReportPrimaryLeaving, cluster: Cluster
) -> None:
    """Inject a fault into the current primary."""
    primary = await _find_primary(cluster)
    match fault:
        case KillPrimary():
            await primary.kill()
        case FreezePrimary(seconds):
            await _freeze(primary, seconds)
        case ReportPrimaryLeaving():
            await cluster.set_faults(primary, leaving=True)


async def _freeze(process: LaunchedProcess, seconds: float) -> None:
    process.freeze()
    await asyncio.sleep(seconds)
    process.resume()


async def _find_primary(cluster: Cluster) -> LaunchedProcess:
    """Return the running primary of the highest term, or raise `LaunchError`."""
    primaries: list[tuple[int, str]] = []
    for name, process in cluster.databases.items():
        if process.is_running:
            status: Any = await send_json("GET", process.address, "/status")
            if status["role"] == "primary":
                primaries.append((status["term"], name))
    if not primaries:
        raise LaunchError("no running database is a primary")
    return cluster.databases[max(primaries)[1]]


async def _read_final_values(cluster: Cluster) -> FinalValues:
    primary = await _find_primary(cluster)
    data: dict[str, str] = await send_json("GET", primary.address, "/data")
    return {key: split_value(value) for key, value in data.items()}


def longest_write_gap(records: Sequence[Record], since: float) -> float:
    """Return the longest time between two acknowledged writes, in seconds.

    Only gaps that end at or after `since` count; the first of them starts at the last
    acknowledgement before that time.
    """
    acknowledged_at = sorted(
        record.ended
        for record in records
        if record.is_write and record.outcome is Outcome.DONE
    )
    gaps = (
        after - before for before, after in pairwise(acknowledged_at) if after >= since
    )
    return max(gaps, default=0.0)
