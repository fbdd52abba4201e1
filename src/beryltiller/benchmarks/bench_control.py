"""Benchmark of the control cost per proxy, by the number of proxies.

Control is membership and configuration. It is measured in two ways: the decisions and
the codec of many proxies in one process on a virtual clock, and a few proxies over
real sockets, each with the daemon's actors. Run it as
`python -m beryltiller.benchmarks.bench_control`.
"""

import argparse
import random
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, fields, is_dataclass, replace

from beryltiller.benchmarks.control_simulation import (
    SimulatedNetwork,
    SimulatedProxy,
    entry_hosts,
)
from beryltiller.benchmarks.control_sockets import measure_sockets
from beryltiller.configuration.tables import EMPTY, KEY, encode
from beryltiller.core.ports import Row

VIRTUAL_SIZES = (5, 20, 60, 150, 500)
SOCKET_SIZES = (5, 20)
ZONES = 10
SETTLE_SECONDS = 15.0
STEADY_SECONDS = 20.0
SOCKET_SECONDS = 15.0
# The longest wait for all proxies to know of a fault or change.
WATCH_LIMIT_SECONDS = 60.0
# The healing of a partition is not measured with more proxies than this.
HEAL_LIMIT_PROXIES = 60
# A message is two ZeroMQ frames, each encrypted by CURVE, in one TCP segment, which
# another segment acknowledges.
WIRE_OVERHEAD_BYTES = 184

CPU_LIMIT_PERCENT = 1.7
TRAFFIC_LIMIT_KB = 8.0
MEMORY_LIMIT_KB = 64_000.0

_HEADER = (
    "proxies  cpu %  msg/s  KB/s  peers  state KB  killed s  change s  heal s  reads/s"
)


@dataclass(frozen=True, slots=True)
class ControlCost:
    """The control cost measured at one number of proxies.

    Processor time, messages, traffic and state are per proxy. Only sent messages are
    counted; traffic is sent and received bytes with `WIRE_OVERHEAD_BYTES` per message.
    `most_peers` is the largest number of peers that one proxy contacted. Times run
    from the fault or change until the last proxy knows of it.
    """

    proxies: int
    cpu_percent: float
    messages_per_second: float
    traffic_kb_per_second: float
    most_peers: int
    state_kb: float | None = None
    killed_seconds: float | None = None
    change_seconds: float | None = None
    heal_seconds: float | None = None
    reads_per_second: float | None = None

    def __str__(self) -> str:
        """Return the row of the table, with `-` for a value that was not measured."""
        cells = (
            f"{self.proxies:7}",
            f"{self.cpu_percent:5.2f}",
            f"{self.messages_per_second:5.1f}",
            f"{self.traffic_kb_per_second:4.1f}",
            f"{self.most_peers:5}",
            _format_cell(self.state_kb, 8),
            _format_cell(self.killed_seconds, 8),
            _format_cell(self.change_seconds, 8),
            _format_cell(self.heal_seconds, 6),
            _format_cell(self.reads_per_second, 7),
        )
        return "  ".join(cells)

    @property
    def is_within_limits(self) -> bool:
        """Return True if processor time, traffic and state are within the limits."""
        return (
            self.cpu_percent <= CPU_LIMIT_PERCENT
            and self.traffic_kb_per_second <= TRAFFIC_LIMIT_KB
            and (self.state_kb or 0.0) <= MEMORY_LIMIT_KB
        )


def measure_virtual(count: int, seed: int) -> ControlCost:
    """Measure `count` proxies in one process on a virtual clock."""
    network = _settled_network(count, seed)
    proxies = tuple(network.proxies.values())
    for proxy in proxies:
        proxy.sent_counts.clear()
        proxy.contacted_peers.clear()
        proxy.cpu_seconds = 0.0
    reads = network.store.reads
    network.run(STEADY_SECONDS)
    sent = sum(proxy.sent_counts["messages"] for proxy in proxies)
    sent_bytes = sum(proxy.sent_counts["bytes"] for proxy in proxies)
    seconds = count * STEADY_SECONDS
    steady = ControlCost(
        proxies=count,
        cpu_percent=100 * sum(proxy.cpu_seconds for proxy in proxies) / seconds,
        messages_per_second=sent / seconds,
        traffic_kb_per_second=_traffic_kb(sent, sent_bytes) / seconds,
        most_peers=max(len(proxy.contacted_peers) for proxy in proxies),
        state_kb=max(_state_bytes(proxy) for proxy in proxies) / 1000,
        reads_per_second=(network.store.reads - reads) / STEADY_SECONDS,
    )
    return _measure_faults(network, steady)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print both tables at the sizes in the flags; return 1 if a limit is exceeded."""
    parser = argparse.ArgumentParser(
        prog="beryltiller.benchmarks.bench_control", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=VIRTUAL_SIZES)
    parser.add_argument("--socket-sizes", type=int, nargs="*", default=SOCKET_SIZES)
    options = parser.parse_args(arguments)
    return print_report(options.seed, options.sizes, options.socket_sizes)


def run(seed: int) -> int:
    """Print both tables at the default sizes; return 1 if a limit is exceeded."""
    return print_report(seed, VIRTUAL_SIZES, SOCKET_SIZES)


def print_report(seed: int, sizes: Iterable[int], socket_sizes: Iterable[int]) -> int:
    """Print both tables at the given sizes; return 1 if a limit is exceeded."""
    print(f"virtual clock, decisions and codec only, {ZONES} availability zones")
    is_passed = _print_table(sizes, lambda count: measure_virtual(count, seed))
    print(f"real sockets and actors, all in this process, {SOCKET_SECONDS:.0f} s")
    is_passed &= _print_table(socket_sizes, _measure_sockets)
    print(
        f"limits per proxy: {CPU_LIMIT_PERCENT} % of a core, {TRAFFIC_LIMIT_KB} KB/s,"
        f" {MEMORY_LIMIT_KB / 1000:.0f} MB"
    )
    return 0 if is_passed else 1


def _print_table(sizes: Iterable[int], measure: Callable[[int], ControlCost]) -> bool:
    print(_HEADER)
    is_passed = True
    for count in sizes:
        measured_cost = measure(count)
        print(measured_cost, flush=True)
        is_passed &= measured_cost.is_within_limits
    return is_passed


def _measure_sockets(count: int) -> ControlCost:
    usage = measure_sockets(entry_hosts(count, ZONES), SOCKET_SECONDS)
    seconds = count * usage.seconds
    return ControlCost(
        proxies=count,
        cpu_percent=100 * usage.cpu_seconds / seconds,
        messages_per_second=usage.messages / seconds,
        traffic_kb_per_second=_traffic_kb(usage.messages, usage.sent_bytes) / seconds,
        most_peers=usage.most_peers,
        killed_seconds=usage.killed_seconds,
        change_seconds=usage.change_seconds,
        reads_per_second=usage.reads / usage.seconds,
    )


def _settled_network(count: int, seed: int) -> SimulatedNetwork:
    network = SimulatedNetwork(seed)
    network.hosts = entry_hosts(count, ZONES)
    network.store.row = Row(KEY, 1, encode(EMPTY))
    for host in network.hosts:
        network.start(host)
    members = {address: p.membership.me for address, p in network.proxies.items()}
    for address, proxy in network.proxies.items():
        others = {other: me for other, me in members.items() if other != address}
        proxy.membership = replace(proxy.membership, others=others, is_synced=True)
    network.run(SETTLE_SECONDS)
    return network


def _measure_faults(network: SimulatedNetwork, steady: ControlCost) -> ControlCost:
    killed_seconds = _stop_one(network)
    network.store.row = Row(KEY, 2, encode(EMPTY))
    change_seconds = network.run_until(
        lambda: _all_use_version(network, 2), WATCH_LIMIT_SECONDS
    )
    measured_cost = replace(
        steady, killed_seconds=killed_seconds, change_seconds=change_seconds
    )
    if steady.proxies > HEAL_LIMIT_PROXIES:
        return measured_cost
    return replace(measured_cost, heal_seconds=_partition_and_heal(network))


def _stop_one(network: SimulatedNetwork) -> float:
    address = random.Random(len(network.proxies)).choice(sorted(network.proxies))
    network.stop(address)
    return network.run_until(lambda: _all_agree(network), WATCH_LIMIT_SECONDS)


def _partition_and_heal(network: SimulatedNetwork) -> float:
    addresses = sorted(network.proxies)
    one_side = set(addresses[: len(addresses) // 2])
    network.is_partitioned = lambda source, target: (source in one_side) != (
        target in one_side
    )
    network.run(SETTLE_SECONDS)
    network.is_partitioned = lambda source, target: False
    return network.run_until(lambda: _all_agree(network), WATCH_LIMIT_SECONDS)


def _all_agree(network: SimulatedNetwork) -> bool:
    count = len(network.proxies)
    return all(len(proxy.members.live) == count for proxy in network.proxies.values())


def _all_use_version(network: SimulatedNetwork, version: int) -> bool:
    return all(p.adoption.version == version for p in network.proxies.values())


def _traffic_kb(messages: int, sent_bytes: int) -> float:
    return 2 * (sent_bytes + messages * WIRE_OVERHEAD_BYTES) / 1000


def _state_bytes(proxy: SimulatedProxy) -> int:
    visited: set[int] = set()
    parts = (proxy.membership, proxy.adoption, proxy.members)
    return sum(_deep_size(part, visited) for part in parts)


def _deep_size(value: object, visited: set[int]) -> int:
    if id(value) in visited:
        return 0
    visited.add(id(value))
    return sys.getsizeof(value) + sum(
        _deep_size(part, visited) for part in _referenced_objects(value)
    )


def _referenced_objects(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return (*value.keys(), *value.values())
    if isinstance(value, tuple | list | set | frozenset):
        return tuple(value)
    if is_dataclass(value):
        return tuple(getattr(value, field.name) for field in fields(value))
    return ()


def _format_cell(value: float | None, width: int) -> str:
    return f"{'-':>{width}}" if value is None else f"{value:{width}.1f}"


if __name__ == "__main__":
    sys.exit(main())
