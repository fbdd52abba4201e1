"""Faults of real processes under load, and the promises checked over each run.

Each scenario starts a system of its own on loopback, lets callers write and read,
brings in one fault, heals it, stops the callers, and checks their whole history.
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
    check,
    check_left,
    check_uncut,
)
from beryltiller.benchmarks.workload import Workload, WorkloadSizes, split_value
from beryltiller.core.outcome import Outcome
from beryltiller.core.text import columns
from beryltiller.standins.cluster import Cluster, ClusterSizes, send_json, start_cluster
from beryltiller.standins.cluster_setup import configure
from beryltiller.standins.launcher import LaunchedProcess, Launcher, LaunchError

_SIZES = ClusterSizes(zones=("zone-a", "zone-b", "zone-c"), proxies=3)
_BEFORE_SECONDS = 2.0
_AFTER_SECONDS = 6.0
_SETTLE_SECONDS = 1.0
_DRAIN_TIMEOUT_SECONDS = 10.0
_SHOWN_VIOLATIONS = 5

PLAIN_ROUTE = "orders"
REPLICATION_SECONDS = 0.05
LEAVE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class KillProxy:
    """End one proxy at once."""


@dataclass(frozen=True, slots=True)
class FreezeProxy:
    """Stop one proxy where it stands for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class KillPrimary:
    """End a group's primary at once."""


@dataclass(frozen=True, slots=True)
class FreezePrimary:
    """Stop a group's primary where it stands for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class PlatformOutage:
    """Let the platform refuse everything for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class CutProxy:
    """Cut one proxy off from the platform for some seconds."""

    seconds: float


@dataclass(frozen=True, slots=True)
class DrainProxy:
    """Tell one proxy to shut down; it must cut no request."""


@dataclass(frozen=True, slots=True)
class Failover:
    """Ask one proxy for a new primary while all is well."""


@dataclass(frozen=True, slots=True)
class LeavePrimary:
    """Let a group's primary say that it is leaving; no host list tells of it."""


Fault = (
    KillProxy
    | FreezeProxy
    | KillPrimary
    | FreezePrimary
    | PlatformOutage
    | CutProxy
    | DrainProxy
    | Failover
    | LeavePrimary
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Name a fault, and the replicas' lag while it comes."""

    name: str
    fault: Fault
    lag_ms: float = 0.0


SCENARIOS = (
    Scenario("kill-proxy", KillProxy()),
    Scenario("freeze-proxy", FreezeProxy(3.0)),
    Scenario("drain-proxy", DrainProxy()),
    Scenario("cut-proxy", CutProxy(4.0)),
    Scenario("kill-primary", KillPrimary()),
    Scenario("kill-primary-lag", KillPrimary(), lag_ms=200.0),
    Scenario("freeze-primary", FreezePrimary(4.0)),
    Scenario("failover", Failover()),
    Scenario("leave-primary", LeavePrimary()),
    Scenario("platform-outage", PlatformOutage(4.0)),
)


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Hold what came of one scenario."""

    name: str
    records: tuple[Record, ...]
    fault_at: float
    violations: tuple[Violation, ...]
    losses: tuple[Violation, ...] = ()

    def describe(self, violation: Violation) -> str:
        """Return a line that places a violation in time around the fault."""
        record = violation.record
        started, ended = record.started - self.fault_at, record.ended - self.fault_at
        return (
            f"{violation} (route {record.route}, from {started:+.3f} s"
            f" to {ended:+.3f} s of the fault)"
        )

    def row(self) -> tuple[str, ...]:
        """Return the scenario's line in the table."""
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
            str(len(self.losses)),
            rules or "none",
        )


def run(seed: int) -> int:
    """Run every scenario and print the table; return 1 when a promise was broken."""
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
    last = ("LOST IN LAG", "BROKEN PROMISES")
    print(*columns((*header, *last), rows), sep="\n")
    for result in results:
        for violation in result.violations[:_SHOWN_VIOLATIONS]:
            print(f"{result.name}: {result.describe(violation)}", file=sys.stderr)
    return 1 if any(result.violations for result in results) else 0


async def run_scenario(scenario: Scenario, seed: int) -> ScenarioResult:
    """Run one scenario on a system of its own."""
    sizes = replace(_SIZES, lag_ms=scenario.lag_ms)
    source = random.Random(f"{seed}/{scenario.name}")
    async with Launcher() as launcher:
        cluster = await start_cluster(launcher, sizes)
        await configure(cluster)
        callers = [str(each.caller) for each in cluster.addresses.values()]
        workload = Workload(callers, WorkloadSizes(), seed)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(workload.run())
            await asyncio.sleep(_BEFORE_SECONDS)
            fault_at = time.monotonic()
            before = await _primary(cluster)
            await _bring_in(scenario.fault, cluster, source)
            await asyncio.sleep(_AFTER_SECONDS)
            workload.stop()
        await asyncio.sleep(_SETTLE_SECONDS)
        final = await _final_values(cluster)
        _check_errors(cluster)
    records = tuple(workload.records)
    violations = check(records, final)
    if isinstance(scenario.fault, DrainProxy):
        violations += tuple(check_uncut(records))
    if isinstance(scenario.fault, LeavePrimary):
        left_at = fault_at + LEAVE_SECONDS
        violations += tuple(check_left(records, before.name, left_at))
    losses = tuple(
        each for each in violations if is_loss_in_lag(each, scenario, fault_at)
    )
    broken = tuple(each for each in violations if each not in losses)
    return ScenarioResult(scenario.name, records, fault_at, broken, losses)


def _check_errors(cluster: Cluster) -> None:
    """Raise `LaunchError` if a proxy wrote anything but its log."""
    for name, process in cluster.proxies.items():
        lines = [line for line in process.error_output.splitlines() if line[:1] != "{"]
        if lines:
            raise LaunchError(f"{name} reported: {lines[-1]}")


def is_loss_in_lag(violation: Violation, scenario: Scenario, fault_at: float) -> bool:
    """Tell whether a lost write is one that the guarantees allow to be lost.

    That is a plain write which was acknowledged by the primary alone, no longer
    before its loss than the replicas lag. Work unsafe to repeat is never allowed to.
    """
    if not isinstance(scenario.fault, KillPrimary | FreezePrimary):
        return False
    record = violation.record
    if violation.rule is not Rule.LOST or record.route != PLAIN_ROUTE:
        return False
    window = scenario.lag_ms / 1000 + REPLICATION_SECONDS
    return fault_at - window <= record.ended <= fault_at + REPLICATION_SECONDS


async def _bring_in(fault: Fault, cluster: Cluster, source: random.Random) -> None:
    """Bring in a fault, and heal it after its time if it has one."""
    name = source.choice(sorted(cluster.proxies))
    match fault:
        case KillProxy():
            await cluster.proxies[name].kill()
        case FreezeProxy(seconds):
            await _freeze(cluster.proxies[name], seconds)
        case KillPrimary() | FreezePrimary() | LeavePrimary():
            await _bring_to_primary(fault, cluster)
        case PlatformOutage(seconds):
            await cluster.set_faults(cluster.platform, refuse=True)
            await asyncio.sleep(seconds)
            await cluster.set_faults(cluster.platform, refuse=False)
        case CutProxy(seconds):
            ip = cluster.addresses[name].caller.ip
            await cluster.set_faults(cluster.platform, cut_from=[ip])
            await asyncio.sleep(seconds)
            await cluster.set_faults(cluster.platform, cut_from=[])
        case DrainProxy():
            cluster.proxies[name].terminate()
            code = await cluster.proxies[name].wait(_DRAIN_TIMEOUT_SECONDS)
            if code != 0:
                raise LaunchError(f"{name}: drained with exit code {code}")
        case Failover():
            operator = str(cluster.addresses[name].operator)
            await send_json("POST", operator, "/v1/failover/g1", {})


async def _bring_to_primary(
    fault: KillPrimary | FreezePrimary | LeavePrimary, cluster: Cluster
) -> None:
    """Bring a fault to the present primary."""
    primary = await _primary(cluster)
    match fault:
        case KillPrimary():
            await primary.kill()
        case FreezePrimary(seconds):
            await _freeze(primary, seconds)
        case LeavePrimary():
            await cluster.set_faults(primary, leaving=True)


async def _freeze(process: LaunchedProcess, seconds: float) -> None:
    process.freeze()
    await asyncio.sleep(seconds)
    process.resume()


async def _primary(cluster: Cluster) -> LaunchedProcess:
    """Return the running database that is the primary of the greatest term."""
    primaries: list[tuple[int, str]] = []
    for name, process in cluster.databases.items():
        if process.is_running:
            status: Any = await send_json("GET", process.address, "/status")
            if status["role"] == "primary":
                primaries.append((status["term"], name))
    if not primaries:
        raise LaunchError("no database is a primary")
    return cluster.databases[max(primaries)[1]]


async def _final_values(cluster: Cluster) -> FinalValues:
    primary = await _primary(cluster)
    data: dict[str, str] = await send_json("GET", primary.address, "/data")
    return {key: split_value(value) for key, value in data.items()}


def longest_write_gap(records: Sequence[Record], since: float) -> float:
    """Return the longest time between two acknowledged writes, in seconds.

    Only gaps that end after `since` count: the first one begins with the last
    acknowledgement before the fault.
    """
    done = sorted(
        record.ended
        for record in records
        if record.is_write and record.outcome is Outcome.DONE
    )
    gaps = (after - before for before, after in pairwise(done) if after >= since)
    return max(gaps, default=0.0)
