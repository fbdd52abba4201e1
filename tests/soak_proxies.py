"""The proxies of a soak, each a process of its own, as the deploy file starts them."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import beryltiller
from beryltiller.core.addresses import Address
from beryltiller.platform.settings import SETTINGS_VARIABLE
from tests.soak_record import Record

ROOT = Path(__file__).resolve().parent.parent
SOURCE = Path(beryltiller.__file__).resolve().parents[1]
GRACE_SECONDS = 2.0
DRAIN_SECONDS = 2.0
START_SECONDS = 20.0
PROBE_SECONDS = 1.0
POLL_SECONDS = 0.05
INTERNAL_PORTS = 16
# The system gives higher ports to connections, also to those of the proxy itself.
SERVER_PORTS = range(12_000, 32_000)


def free_port(ip: str) -> int:
    """Return a port that is free at an address, and is not given to connections."""
    while True:
        port = random.choice(SERVER_PORTS)
        with socket.socket() as found, suppress(OSError):
            found.bind((ip, port))
            return port


async def until(check: Callable[[], Awaitable[bool]], seconds: float) -> None:
    """Wait until `check()` returns True; raise `TimeoutError` if it takes too long."""
    async with asyncio.timeout(seconds):
        while not await check():
            await asyncio.sleep(POLL_SECONDS)


class ProxyProcess:
    """A proxy of one host; it is started and ended many times."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path) -> None:
        """Choose ports on the host, and files in `folder` for settings and log."""
        self.name = name
        self.ip = ip
        self.front = Address(ip, free_port(ip))
        self.is_wanted = False
        self._zone = zone
        self._ready = Address(ip, free_port(ip))
        self._internal_port = free_port(ip)
        self._settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Return True if its process has not ended."""
        return self._process is not None and self._process.poll() is None

    def settings(self, store_address: str) -> dict[str, object]:
        """Return the content of the settings file."""
        internal = self._internal_port
        return {
            "node_name": self.name,
            "ip_address": self.ip,
            "zone": self._zone,
            "listen_addresses": {"front": str(self.front), "ready": str(self._ready)},
            "internal_port_range": [internal, internal + INTERNAL_PORTS - 1],
            "platform": {"address": store_address},
            "cloud_api": {"address": store_address},
            "bounds": {
                "grace_period_s": GRACE_SECONDS,
                "drain_timeout_ms": DRAIN_SECONDS * 1000,
            },
        }

    def write_settings(self, store_address: str) -> None:
        """Write the settings file."""
        settings = json.dumps(self.settings(store_address))
        self._settings.write_text(settings, encoding="utf-8")

    def command(self) -> list[str]:
        """Return the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        _, *arguments = shlex.split(deploy["roles"]["proxy"]["run"])
        return [sys.executable, *arguments]

    def start(self) -> None:
        """Start the process."""
        self.is_wanted = True
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(SOURCE),
            SETTINGS_VARIABLE: str(self._settings),
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self.command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """End the process at once, and wait for that."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def ended(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            await asyncio.to_thread(self._process.wait)

    async def is_ready(self) -> bool:
        """Return True if the proxy answers its readiness probe with 200."""
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                reader, writer = await asyncio.open_connection(
                    self._ready.ip, self._ready.port
                )
                writer.write(
                    b"GET /beryltiller/readiness HTTP/1.1\r\nHost: proxy\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Proxies:
    """All proxies of a soak, which end with it."""

    def __init__(
        self, hosts: dict[str, tuple[str, str]], folder: Path, record: Record
    ) -> None:
        """Create a proxy for each name, with the IP address and zone of its host."""
        self._record = record
        self.all = [
            ProxyProcess(name, ip, zone, folder) for name, (ip, zone) in hosts.items()
        ]

    async def start(self, stack: AsyncExitStack, store_address: str) -> None:
        """Start all until `stack` closes; return when they are ready."""
        for proxy in self.all:
            proxy.write_settings(store_address)
            stack.callback(proxy.kill)
            proxy.start()
        await until(self.are_ready, START_SECONDS)

    async def are_ready(self) -> bool:
        """Return True if all are ready."""
        return all(await asyncio.gather(*(each.is_ready() for each in self.all)))

    async def kill(self, proxies: list[ProxyProcess]) -> None:
        """End some proxies together."""
        self._record.add(f"kill {', '.join(each.name for each in proxies)}")
        for proxy in proxies:
            proxy.is_wanted = False
            proxy.send(signal.SIGKILL)
        await asyncio.gather(*(each.ended() for each in proxies))

    def start_again(self, proxies: list[ProxyProcess]) -> None:
        """Start proxies that have ended."""
        self._record.add(f"start {', '.join(each.name for each in proxies)}")
        for proxy in proxies:
            proxy.start()

    async def stop(self, proxy: ProxyProcess) -> None:
        """Ask a proxy to stop, and wait for its end."""
        self._record.add(f"stop {proxy.name}")
        proxy.is_wanted = False
        proxy.send(signal.SIGTERM)
        await proxy.ended()

    async def freeze(self, proxy: ProxyProcess, seconds: float) -> None:
        """Let a proxy do nothing for some seconds."""
        self._record.add(f"freeze {proxy.name} for {seconds:.2f} s")
        proxy.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        proxy.send(signal.SIGCONT)
        self._record.add(f"thaw {proxy.name}")

    def reload(self, proxy: ProxyProcess) -> None:
        """Ask a proxy to read its settings again."""
        self._record.add(f"reload {proxy.name}")
        proxy.send(signal.SIGHUP)
