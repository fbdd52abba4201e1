"""Measure what control costs one proxy, and how that grows with their number.

Two ways: the decisions and the codec of many proxies in one process on a virtual
clock, and a few proxies over real sockets, each with the daemon's actors. Run it as
`python -m beryltiller.benchmarks.bench_control`.
"""

import argparse
import random
import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, fields, is_dataclass, replace

from beryltiller.benchmarks.control_sockets import measure_sockets
from beryltiller.benchmarks.virtual import Network, Proxy, entry_hosts
from beryltiller.configuration.tables import EMPTY, KEY, encode
from beryltiller.core.ports import Row

VIRTUAL_SIZES = (5, 20, 60, 150, 500)
SOCKET_SIZES = (5, 20)
ZONES = 10
SETTLE_SECONDS = 15.0
STEADY_SECONDS = 20.0
SOCKET_SECONDS = 15.0
WATCH_LIMIT_SECONDS = 60.0
HEAL_LIMIT_PROXIES = 60
# A message is two ZeroMQ frames, each sealed by CURVE, in a TCP segment that is
# acknowledged by another.
WIRE_OVERHEAD_BYTES = 184

CPU_LIMIT_PERCENT = 1.7
TRAFFIC_LIMIT_KB = 8.0
MEMORY_LIMIT_KB = 64_000.0

_HEADER = (
    "proxies  cpu %  msg/s  KB/s  peers  state KB  killed s  change s  heal s  reads/s"
)


@dataclass(frozen=True, slots=True)
class Measure:
    """Hold what was measured at one number of proxies, per proxy where it applies.

    Messages are those sent; traffic is sent and received, with `WIRE_OVERHEAD_BYTES`
    a message. Times run from the fault or the change to the last proxy that knows.
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
        """Return the table's line."""
        cells = (
            f"{self.proxies:7}",
            f"{self.cpu_percent:5.2f}",
            f"{self.messages_per_second:5.1f}",
            f"{self.traffic_kb_per_second:4.1f}",
            f"{self.most_peers:5}",
            _cell(self.state_kb, 8),
            _cell(self.killed_seconds, 8),
            _cell(self.change_seconds, 8),
            _cell(self.heal_seconds, 6),
            _cell(self.reads_per_second, 7),
        )
        return "  ".join(cells)

    @property
    def is_within_limits(self) -> bool:
        """Tell whether processor, traffic and state keep to a proxy's limits."""
        return (
            self.cpu_percent <= CPU_LIMIT_PERCENT
            and self.traffic_kb_per_second <= TRAFFIC_LIMIT_KB
            and (self.state_kb or 0.0) <= MEMORY_LIMIT_KB
        )


def measure_virtual(count: int, seed: int) -> Measure:
    """Return what many proxies in one process cost, on a virtual clock."""
    network = _settled_network(count, seed)
    proxies = tuple(network.proxies.values())
    for proxy in proxies:
        proxy.sent.clear()
        proxy.peers.clear()
        proxy.cpu_seconds = 0.0
    reads = network.store.reads
    network.run(STEADY_SECONDS)
    sent = sum(proxy.sent["messages"] for proxy in proxies)
    sent_bytes = sum(proxy.sent["bytes"] for proxy in proxies)
    seconds = count * STEADY_SECONDS
    steady = Measure(
        proxies=count,
        cpu_percent=100 * sum(proxy.cpu_seconds for proxy in proxies) / seconds,
        messages_per_second=sent / seconds,
        traffic_kb_per_second=_traffic_kb(sent, sent_bytes) / seconds,
        most_peers=max(len(proxy.peers) for proxy in proxies),
        state_kb=max(_deep_bytes(proxy) for proxy in proxies) / 1000,
        reads_per_second=(network.store.reads - reads) / STEADY_SECONDS,
    )
    return _with_faults(network, steady)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print both tables; return 1 when a limit is passed."""
    parser = argparse.ArgumentParser(
        prog="beryltiller.benchmarks.bench_control", description=__doc__
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=VIRTUAL_SIZES)
    parser.add_argument("--socket-sizes", type=int, nargs="*", default=SOCKET_SIZES)
    chosen = parser.parse_args(arguments)
    return report(chosen.seed, chosen.sizes, chosen.socket_sizes)


def run(seed: int) -> int:
    """Print both tables at all sizes; return 1 when a limit is passed."""
    return report(seed, VIRTUAL_SIZES, SOCKET_SIZES)


def report(seed: int, sizes: Iterable[int], socket_sizes: Iterable[int]) -> int:
    """Print both tables at the given sizes; return 1 when a limit is passed."""
    print(f"virtual clock, decisions and codec only, {ZONES} availability zones")
    is_good = _print_table(sizes, lambda count: measure_virtual(count, seed))
    print(f"real sockets and actors, all in this process, {SOCKET_SECONDS:.0f} s")
    is_good &= _print_table(socket_sizes, _measure_sockets)
    print(
        f"limits a proxy: {CPU_LIMIT_PERCENT} % of a core, {TRAFFIC_LIMIT_KB} KB/s,"
        f" {MEMORY_LIMIT_KB / 1000:.0f} MB"
    )
    return 0 if is_good else 1


def _print_table(sizes: Iterable[int], measure: Callable[[int], Measure]) -> bool:
    print(_HEADER)
    is_good = True
    for count in sizes:
        measured = measure(count)
        print(measured, flush=True)
        is_good &= measured.is_within_limits
    return is_good


def _measure_sockets(count: int) -> Measure:
    used = measure_sockets(entry_hosts(count, ZONES), SOCKET_SECONDS)
    seconds = count * used.seconds
    return Measure(
        proxies=count,
        cpu_percent=100 * used.cpu_seconds / seconds,
        messages_per_second=used.messages / seconds,
        traffic_kb_per_second=_traffic_kb(used.messages, used.sent_bytes) / seconds,
        most_peers=used.most_peers,
        killed_seconds=used.killed_seconds,
        change_seconds=used.change_seconds,
        reads_per_second=used.reads / used.seconds,
    )


def _settled_network(count: int, seed: int) -> Network:
    network = Network(seed)
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


def _with_faults(network: Network, steady: Measure) -> Measure:
    killed = _kill_one(network)
    network.store.row = Row(KEY, 2, encode(EMPTY))
    change = network.run_until(lambda: _all_have(network, 2), WATCH_LIMIT_SECONDS)
    measured = replace(steady, killed_seconds=killed, change_seconds=change)
    if steady.proxies > HEAL_LIMIT_PROXIES:
        return measured
    return replace(measured, heal_seconds=_cut_and_heal(network))


def _kill_one(network: Network) -> float:
    address = random.Random(len(network.proxies)).choice(sorted(network.proxies))
    network.stop(address)
    return network.run_until(lambda: _all_agree(network), WATCH_LIMIT_SECONDS)


def _cut_and_heal(network: Network) -> float:
    addresses = sorted(network.proxies)
    side = set(addresses[: len(addresses) // 2])
    network.is_cut = lambda source, target: (source in side) != (target in side)
    network.run(SETTLE_SECONDS)
    network.is_cut = lambda source, target: False
    return network.run_until(lambda: _all_agree(network), WATCH_LIMIT_SECONDS)


def _all_agree(network: Network) -> bool:
    count = len(network.proxies)
    return all(len(proxy.members.live) == count for proxy in network.proxies.values())


def _all_have(network: Network, version: int) -> bool:
    return all(p.adoption.version == version for p in network.proxies.values())


def _traffic_kb(messages: int, sent_bytes: int) -> float:
    return 2 * (sent_bytes + messages * WIRE_OVERHEAD_BYTES) / 1000


def _deep_bytes(proxy: Proxy) -> int:
    seen: set[int] = set()
    parts = (proxy.membership, proxy.adoption, proxy.members)
    return sum(_size(part, seen) for part in parts)


def _size(value: object, seen: set[int]) -> int:
    if id(value) in seen:
        return 0
    seen.add(id(value))
    return sys.getsizeof(value) + sum(_size(part, seen) for part in _parts(value))


def _parts(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return (*value.keys(), *value.values())
    if isinstance(value, tuple | list | set | frozenset):
        return tuple(value)
    if is_dataclass(value):
        return tuple(getattr(value, field.name) for field in fields(value))
    return ()


def _cell(value: float | None, width: int) -> str:
    return f"{'-':>{width}}" if value is None else f"{value:{width}.1f}"


if __name__ == "__main__":
    sys.exit(main())
