"""A whole system on loopback: platform, databases and proxies, one process each.

A tool for developers. Every proxy gets an IP number of its own within 127.0.0.0/8,
so that a stand-in can cut off one proxy by the address its requests come from.
"""

import os
import socket
import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from beryltiller.core.addresses import Address
from beryltiller.process.keys import Keys, new_keys
from beryltiller.process.settings import ENVIRONMENT_PREFIX
from beryltiller.standins.launcher import LaunchedProcess, Launcher

_READ_ROUTE_AGE_MS = 2000
_REQUEST_TIMEOUT_SECONDS = 5.0
_NETWORKS = 250


@dataclass(frozen=True, slots=True)
class ClusterSizes:
    """Say how many of each there are, and how large a database is."""

    zones: tuple[str, ...] = ("zone-a", "zone-b")
    proxies: int = 2
    groups: int = 1
    databases_per_group: int = 3
    slots: int = 3
    connection_cap: int = 20
    service_ms: float = 2.0
    lag_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ProxyAddresses:
    """Hold where one proxy listens, and its availability zone."""

    name: str
    zone: str
    caller: Address
    operator: Address
    peer: Address


@dataclass(slots=True)
class Cluster:
    """Hold the running processes, by name.

    Start one with `start_cluster`; its launcher ends the processes.
    """

    launcher: Launcher
    sizes: ClusterSizes
    platform: LaunchedProcess
    keys: Keys = field(default_factory=new_keys)
    settings: Mapping[str, str] = field(default_factory=dict)
    databases: dict[str, LaunchedProcess] = field(default_factory=dict)
    proxies: dict[str, LaunchedProcess] = field(default_factory=dict)
    addresses: dict[str, ProxyAddresses] = field(default_factory=dict)

    @property
    def operators(self) -> tuple[str, ...]:
        """Return the operator address of every proxy."""
        return tuple(str(each.operator) for each in self.addresses.values())

    async def start_database(self, name: str, zone: str) -> None:
        """Start one stand-in database."""
        command = (
            *_module("database_standin"),
            *("--listen", f"{_ip(2, len(self.databases) + 1)}:0"),
            *("--name", name, "--zone", zone),
            *("--slots", str(self.sizes.slots)),
            *("--connection-cap", str(self.sizes.connection_cap)),
            *("--service-ms", str(self.sizes.service_ms)),
            *("--lag-ms", str(self.sizes.lag_ms)),
        )
        self.databases[name] = await self.launcher.start(name, command)

    async def start_proxy(self, name: str) -> None:
        """Start a proxy at the addresses kept for it, and list its host."""
        addresses = self.addresses[name]
        environment = {**_bare_environment(), **self.proxy_variables(addresses)}
        command = (sys.executable, "-m", "beryltiller", "proxy")
        self.proxies[name] = await self.launcher.start(name, command, environment)
        await self.list_host(addresses)

    def proxy_variables(self, addresses: ProxyAddresses) -> dict[str, str]:
        """Return the environment variables of a proxy's settings."""
        values = {
            "host_name": addresses.name,
            "availability_zone": addresses.zone,
            "caller_address": str(addresses.caller),
            "operator_address": str(addresses.operator),
            "peer_address": str(addresses.peer),
            "platform_address": self.platform.address,
            **dict(self.keys.items()),
            **self.settings,
        }
        return {ENVIRONMENT_PREFIX + key.upper(): text for key, text in values.items()}

    async def list_host(self, addresses: ProxyAddresses) -> None:
        """Put a proxy's host on the platform's list."""
        host = {
            "name": addresses.name,
            "kind": "entry",
            "address": str(addresses.peer),
            "availability_zone": addresses.zone,
        }
        await request("PUT", self.platform.address, f"/hosts/{addresses.name}", host)

    async def set_faults(self, process: LaunchedProcess, **faults: Any) -> None:
        """Switch faults of a stand-in, such as `refuse=True` or `cut_from=[...]`."""
        await request("POST", process.address, "/faults", faults)

    def configuration(self) -> dict[str, Any]:
        """Return a configuration: a pool of all groups, and a route of each kind."""
        names = [name for name, _ in self.members()]
        groups = [self._group(name, members) for name, members in self.members()]
        return {
            "version": 0,
            "routes": [
                {"name": "orders", "kind": "write", "pool": "workshop"},
                {"name": "checkout", "kind": "unsafe-write", "pool": "workshop"},
                {"name": "order-reads", "kind": "read", "pool": "workshop"},
                {
                    "name": "stock",
                    "kind": "aged-read",
                    "pool": "workshop",
                    "max_age_ms": _READ_ROUTE_AGE_MS,
                },
            ],
            "pools": [{"name": "workshop", "groups": names}],
            "groups": groups,
        }

    def members(self) -> Iterator[tuple[str, list[tuple[str, str]]]]:
        """Yield each group's name with the names and zones of its databases."""
        zones = self.sizes.zones
        for group in range(1, self.sizes.groups + 1):
            members = [
                (f"g{group}-d{number}", zones[(group + number) % len(zones)])
                for number in range(1, self.sizes.databases_per_group + 1)
            ]
            yield f"g{group}", members

    def _group(self, name: str, members: list[tuple[str, str]]) -> dict[str, Any]:
        databases = [
            {
                "name": database,
                "address": self.databases[database].address,
                "availability_zone": zone,
                "connection_cap": self.sizes.connection_cap,
                "slots": self.sizes.slots,
            }
            for database, zone in members
        ]
        return {"name": name, "databases": databases}


async def start_cluster(
    launcher: Launcher,
    sizes: ClusterSizes,
    settings: Mapping[str, str] | None = None,
) -> Cluster:
    """Start every process and return once all accept connections.

    `settings` are given to each proxy, by name, beside its addresses and keys.
    """
    command = (*_module("platform_standin"), "--listen", f"{_ip(0, 1)}:0")
    platform = await launcher.start("platform", command)
    cluster = Cluster(launcher, sizes, platform, settings=settings or {})
    for _, members in cluster.members():
        for name, zone in members:
            await cluster.start_database(name, zone)
    for number in range(1, sizes.proxies + 1):
        name = f"entry-{number}"
        zone = sizes.zones[(number - 1) % len(sizes.zones)]
        cluster.addresses[name] = _free_addresses(name, number, zone)
        await cluster.start_proxy(name)
    return cluster


async def request(method: str, address: str, path: str, body: Any = None) -> Any:
    """Send one request with a JSON body and return the answer's JSON, if any."""
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
    async with (
        aiohttp.ClientSession(timeout=timeout, raise_for_status=True) as session,
        session.request(method, f"http://{address}{path}", json=body) as response,
    ):
        answer = await response.read()
    return msgspec.json.decode(answer) if answer else None


def _module(name: str) -> tuple[str, str, str]:
    return sys.executable, "-m", f"beryltiller.standins.{name}"


def _ip(network: int, host: int) -> str:
    """Return a loopback number; two runs at once rarely share one."""
    return f"127.{os.getpid() % _NETWORKS + 1}.{network}.{host}"


def _free_addresses(name: str, number: int, zone: str) -> ProxyAddresses:
    ip = _ip(1, number)
    with socket.socket() as one, socket.socket() as two, socket.socket() as three:
        addresses = [_bound(ip, each) for each in (one, two, three)]
    return ProxyAddresses(name, zone, *addresses)


def _bound(ip: str, listener: socket.socket) -> Address:
    listener.bind((ip, 0))
    return Address(*listener.getsockname())


def _bare_environment() -> dict[str, str]:
    """Return this process's environment without settings of a proxy."""
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(ENVIRONMENT_PREFIX)
    }
