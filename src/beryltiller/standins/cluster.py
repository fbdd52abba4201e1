"""A complete system on loopback, with one process per platform, database and proxy.

It is a tool for developers. Each proxy has its own IP address within 127.0.0.0/8, so
that a stand-in can cut off one proxy by the source address of its requests.
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

_AGED_READ_MAX_AGE_MS = 2000
_REQUEST_TIMEOUT_SECONDS = 5.0
# A run uses one of the networks 127.1.0.0/16 to 127.250.0.0/16, so that concurrent runs
# rarely share one.
_NETWORK_COUNT = 250


@dataclass(frozen=True, slots=True)
class ClusterSizes:
    """The number of processes of each kind, and the capacity of every database.

    Proxies and databases are spread over `zones` in turn. Each database runs `slots`
    statements at once, each for `service_ms`; a replica receives an entry `lag_ms`
    after its commit.
    """

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
    """A proxy's name and availability zone, and the addresses that it listens on."""

    name: str
    zone: str
    caller: Address
    operator: Address
    peer: Address


@dataclass(slots=True)
class Cluster:
    """A running system, with its processes by name.

    `start_cluster` starts one; leaving its launcher ends the processes. `settings`
    are given to each proxy, and `addresses` are kept when a proxy is started again.
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
    def operator_addresses(self) -> tuple[str, ...]:
        """The operator address of every proxy, as `ip:port`."""
        return tuple(str(each.operator) for each in self.addresses.values())

    async def start_database(self, name: str, zone: str) -> None:
        """Start a stand-in database and wait until it listens."""
        command = (
            *_standin_command("database_standin"),
            *("--listen", f"{_loopback_ip(2, len(self.databases) + 1)}:0"),
            *("--name", name, "--zone", zone),
            *("--slots", str(self.sizes.slots)),
            *("--connection-cap", str(self.sizes.connection_cap)),
            *("--service-ms", str(self.sizes.service_ms)),
            *("--lag-ms", str(self.sizes.lag_ms)),
        )
        self.databases[name] = await self.launcher.start(name, command)

    async def start_proxy(self, name: str) -> None:
        """Start a proxy at its `addresses`, and put its host on the platform's list."""
        addresses = self.addresses[name]
        environment = {
            **_environment_without_settings(),
            **self.proxy_variables(addresses),
        }
        command = (sys.executable, "-m", "beryltiller", "proxy")
        self.proxies[name] = await self.launcher.start(name, command, environment)
        await self.register_host(addresses)

    def proxy_variables(self, addresses: ProxyAddresses) -> dict[str, str]:
        """Return a proxy's settings as environment variables.

        These are its addresses, the cluster's keys and the cluster's `settings`.
        """
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

    async def register_host(self, addresses: ProxyAddresses) -> None:
        """Add a proxy's host to the platform's host list."""
        host = {
            "name": addresses.name,
            "kind": "entry",
            "address": str(addresses.peer),
            "availability_zone": addresses.zone,
        }
        await send_json("PUT", self.platform.address, f"/hosts/{addresses.name}", host)

    async def set_faults(self, process: LaunchedProcess, **faults: Any) -> None:
        """Set faults of a stand-in, such as `refuse=True` or `cut_from=[...]`.

        Faults that are not named keep their values.
        """
        await send_json("POST", process.address, "/faults", faults)

    def build_configuration(self) -> dict[str, Any]:
        """Return a configuration: one pool of all groups, and a route of each kind."""
        names = [name for name, _ in self.group_members()]
        groups = [
            self._group_document(name, group_members)
            for name, group_members in self.group_members()
        ]
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
                    "max_age_ms": _AGED_READ_MAX_AGE_MS,
                },
            ],
            "pools": [{"name": "workshop", "groups": names}],
            "groups": groups,
        }

    def group_members(self) -> Iterator[tuple[str, list[tuple[str, str]]]]:
        """Yield each group's name with the names and zones of its databases."""
        zones = self.sizes.zones
        for group in range(1, self.sizes.groups + 1):
            group_members = [
                (f"g{group}-d{number}", zones[(group + number) % len(zones)])
                for number in range(1, self.sizes.databases_per_group + 1)
            ]
            yield f"g{group}", group_members

    def _group_document(
        self, name: str, group_members: list[tuple[str, str]]
    ) -> dict[str, Any]:
        databases = [
            {
                "name": database,
                "address": self.databases[database].address,
                "availability_zone": zone,
                "connection_cap": self.sizes.connection_cap,
                "slots": self.sizes.slots,
            }
            for database, zone in group_members
        ]
        return {"name": name, "databases": databases}


async def start_cluster(
    launcher: Launcher,
    sizes: ClusterSizes,
    settings: Mapping[str, str] | None = None,
) -> Cluster:
    """Start every process and return once all accept connections.

    `settings` are further settings of each proxy, by name; addresses and keys are
    set in any case.
    """
    command = (
        *_standin_command("platform_standin"),
        "--listen",
        f"{_loopback_ip(0, 1)}:0",
    )
    platform = await launcher.start("platform", command)
    cluster = Cluster(launcher, sizes, platform, settings=settings or {})
    for _, group_members in cluster.group_members():
        for name, zone in group_members:
            await cluster.start_database(name, zone)
    for number in range(1, sizes.proxies + 1):
        name = f"entry-{number}"
        zone = sizes.zones[(number - 1) % len(sizes.zones)]
        cluster.addresses[name] = _pick_free_addresses(name, number, zone)
        await cluster.start_proxy(name)
    return cluster


async def send_json(method: str, address: str, path: str, body: Any = None) -> Any:
    """Send a request with a JSON body and return the decoded answer, None if empty.

    Raise an aiohttp error for a status of 400 or above.
    """
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
    async with (
        aiohttp.ClientSession(timeout=timeout, raise_for_status=True) as session,
        session.request(method, f"http://{address}{path}", json=body) as response,
    ):
        answer = await response.read()
    return msgspec.json.decode(answer) if answer else None


def _standin_command(name: str) -> tuple[str, str, str]:
    return sys.executable, "-m", f"beryltiller.standins.{name}"


def _loopback_ip(subnet: int, host: int) -> str:
    """Return a loopback address.

    `subnet` is 0 for the platform, 1 for proxies and 2 for databases. The run's
    network is chosen by the process id.
    """
    return f"127.{os.getpid() % _NETWORK_COUNT + 1}.{subnet}.{host}"


def _pick_free_addresses(name: str, number: int, zone: str) -> ProxyAddresses:
    ip = _loopback_ip(1, number)
    with socket.socket() as one, socket.socket() as two, socket.socket() as three:
        addresses = [_bind_free_port(ip, each) for each in (one, two, three)]
    return ProxyAddresses(name, zone, *addresses)


def _bind_free_port(ip: str, listener: socket.socket) -> Address:
    listener.bind((ip, 0))
    return Address(*listener.getsockname())


def _environment_without_settings() -> dict[str, str]:
    """Return this process's environment without the variables of proxy settings."""
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(ENVIRONMENT_PREFIX)
    }
