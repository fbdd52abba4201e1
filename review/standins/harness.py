"""A small deployment on loopback addresses, for the scripts of the cases.

The proxies are the project's own program, started with the command of the deploy file.
Databases are processes of `database.py`; the platform runs in this process.
"""

import asyncio
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.platform import Platform

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
ZONES = ("zagreb-a", "zagreb-b", "karlovac")
SERVICE = "workshop-db-1"
HELD, BROKEN, UNABLE = 0, 1, 2
PLATFORM_IP = "127.0.40.1"
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "stability_window_ms": 4000,
    "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 7000,
    "grace_period_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
    "downgrade_slack_ms": 250, "max_stretch_ms": 12000, "recovery_s": 12,
    "require_fencing": False, "thaw_slack_ms": 300,
}
CONFIGURATION = {
    "config_version": 3,
    "routes": [
        {"name": "build-orders", "database_name": "orders", "service": SERVICE,
         "route_kind": "primary", "timeout_ms": 1000, "target_latency_ms": 200,
         "priority": 1, "max_staleness_ms": 0},
        {"name": "stock-lookup", "database_name": "stock", "service": SERVICE,
         "route_kind": "bounded_staleness", "timeout_ms": 2000,
         "target_latency_ms": 600, "priority": 2, "max_staleness_ms": 1500},
        {"name": "cure-tracking", "database_name": "cures", "service": SERVICE,
         "route_kind": "read_your_writes", "timeout_ms": 1000,
         "target_latency_ms": 400, "priority": 2, "max_staleness_ms": 2500},
    ],
    "services": [{"name": SERVICE, "max_connections": 22, "sync_replicas": 1}],
    "limits": {"transaction_idle_ms": 3000},
}


class UnableError(Exception):
    """The case could not be run."""


def free_port(ip: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


class Child:
    """A process that the script started."""

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process

    def send(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """The platform, three databases of one service and some proxies."""

    def __init__(self, folder: Path, proxies: int = 3, promote_seconds: float = 0.3,
                 work_ms: float = 8.0) -> None:
        self.folder = folder
        self.temporary = tempfile.TemporaryDirectory()
        self.started_at = time.time()
        self.lines: list[dict] = []
        self.platform = Platform(self.record, promote_seconds)
        self.children: list[Child] = []
        self.databases: dict[str, Child] = {}
        self.settings: dict[str, dict] = {}
        self.proxies: dict[str, Child] = {}
        self.fronts: dict[str, tuple[str, int]] = {}
        self.readies: dict[str, tuple[str, int]] = {}
        self.proxy_settings: dict[str, str] = {}
        self.tasks: set[asyncio.Task] = set()
        self.promoted: list[dict] = []
        self.proxy_count = proxies
        self.work_ms = work_ms

    def record(self, **event: object) -> None:
        """Add an event to the record of the run."""
        event.setdefault("at", time.time())
        if event.get("event") == "promoted":
            self.promoted.append(event)
        self.lines.append(event)

    def write_record(self) -> None:
        """Write `record.txt`, in the order of time."""
        lines = sorted(self.lines, key=lambda each: each["at"])
        with (self.folder / "record.txt").open("w") as out:
            for line in lines:
                rest = {key: value for key, value in line.items() if key != "at"}
                out.write(f"{line['at'] - self.started_at:8.3f} {json.dumps(rest)}\n")

    # Processes.

    def _start(self, command: list[str], environment: dict[str, str], name: str) -> Child:
        log = open(Path(self.temporary.name) / f"{name}.log", "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        child = Child(process)
        self.children.append(child)
        return child

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _read_output(self, child: Child, name: str, keep: Callable[[dict], bool]) -> None:
        """Record the lines of JSON that a process prints."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=1 << 22)
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), child.process.stdout
        )
        while line := await reader.readline():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if "timestamp" in event:
                event = {"event": "log", "proxy": name, "at": event.pop("timestamp"), **event}
                event.pop("task_uuid", None)
                event.pop("task_level", None)
            if keep(event):
                self.record(**event)

    def start_database(self, name: str, **changes: object) -> None:
        """Start a database's process, with its settings as changed."""
        settings = {**self.settings[name], **changes}
        environment = {"PATH": os.environ.get("PATH", ""), "PYTHONDONTWRITEBYTECODE": "1"}
        program = str(Path(__file__).with_name("database.py"))
        child = self._start(
            [sys.executable, program, json.dumps(settings)], environment, name
        )
        self.databases[name] = child
        self._spawn(self._read_output(child, name, lambda event: True))

    def kill(self, child: Child, name: str) -> None:
        """End a process by SIGKILL."""
        self.record(event="killed", process=name)
        child.send(signal.SIGKILL)
        child.process.wait()

    def start_proxy(self, name: str) -> None:
        """Start a proxy with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["proxy"]["run"])
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": self.temporary.name,
            "PYTHONPATH": str(DEPENDENCIES),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERYLTILLER_SETTINGS": self.proxy_settings[name],
        }
        child = self._start(command, environment, name)
        self.proxies[name] = child
        self._spawn(self._read_output(child, name, lambda event: True))

    async def start(self) -> None:
        """Start everything, and wait until all proxies are ready."""
        if not (DEPENDENCIES / "beryltiller").is_dir():
            raise UnableError("the build of the deploy file has not been run")
        port = free_port(PLATFORM_IP)
        store = f"{PLATFORM_IP}:{port}"
        self.runner = await self.platform.start(PLATFORM_IP, port)
        await self.platform.configure(CONFIGURATION)
        names = [f"i-{letter}" for letter in ("0a", "1b", "2c")]
        addresses = {}
        for number, name in enumerate(names):
            ip = f"127.0.4{number + 1}.1"
            addresses[name] = (ip, free_port(ip), free_port(ip))
            self.platform.peers[name] = (ip, addresses[name][2])
        for number, name in enumerate(names):
            ip, port, peer_port = addresses[name]
            self.settings[name] = {
                "id": name, "service": SERVICE, "ip": ip, "port": port,
                "peer_port": peer_port, "zone": ZONES[number],
                "peers": [[addresses[each][0], addresses[each][2]] for each in names
                          if each != name],
                "store": store, "slots": 3, "work_ms": self.work_ms, "max_connections": 22,
                "role": "primary" if number == 0 else "replica", "term": 1,
            }
            self.start_database(name)
        await asyncio.sleep(0.7)
        for number in range(self.proxy_count):
            self._prepare_proxy(number, store)
            self.start_proxy(f"front-{ZONES[number % 3]}-{number // 3 + 1}")
        await self.wait_until(self.all_ready, 20.0)

    def _prepare_proxy(self, number: int, store: str) -> None:
        zone = ZONES[number % 3]
        name = f"front-{zone}-{number // 3 + 1}"
        ip = f"127.0.5{number % 3 + 1}.{number // 3 + 1}"
        self.fronts[name] = (ip, free_port(ip))
        self.readies[name] = (ip, free_port(ip))
        internal = free_port(ip)
        settings = {
            "node_name": name, "role": "proxy", "machine_class": "front",
            "serves": ["front"], "ip_address": ip, "zone": zone, "region": "hr-central",
            "zones": {each: "hr-central" for each in ZONES},
            "listen_addresses": {
                "front": "%s:%d" % self.fronts[name], "ready": "%s:%d" % self.readies[name],
            },
            "internal_port_range": [internal, internal + 15], "seed_nodes": [],
            "bootstrap": True, "counts_toward_tolerance": False,
            "limits": {"cpu_share": 0.7, "cpu_cores": 3, "memory_mb": 560,
                       "file_descriptors": 8400, "link_mbps": 2000.0, "disk_mb": 0},
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "table", "writes_per_s": 400,
                         "reads_per_s": 2000, "transaction_ms": 5.0,
                         "partition_writes_s": 200, "max_row_bytes": 65536,
                         "cross_partition": False, "history_s": 20,
                         "max_blob_bytes": 8388608, "blob_timeout_ms": 25.0,
                         "blob_mb_s": 80.0},
            "cloud_api": {"address": store, "rate_per_s": 50.0,
                          "duties": ["promotion"], "duties_per_s": 50.0},
        }
        path = Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.proxy_settings[name] = str(path)

    async def is_ready(self, name: str) -> bool:
        """Return True if a proxy answers its readiness question with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.readies[name])
                writer.write(b"GET /beryltiller/readiness HTTP/1.1\r\nHost: p\r\n"
                             b"Connection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def all_ready(self) -> bool:
        """Return True if all proxies are ready."""
        return all([await self.is_ready(name) for name in self.proxies])

    async def wait_until(self, check: Callable[[], Awaitable[bool]], seconds: float) -> None:
        """Wait until a check holds, or raise `UnableError`."""
        until = time.monotonic() + seconds
        while not await check():
            if time.monotonic() > until:
                raise UnableError(f"no {check.__name__} within {seconds} s")
            await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """End all processes that were started."""
        for child in self.children:
            child.send(signal.SIGCONT)
            child.send(signal.SIGKILL)
        for child in self.children:
            child.process.wait()
        await asyncio.sleep(0.2)
        for task in (*self.tasks, *self.platform.tasks):
            task.cancel()
        await self.runner.cleanup()
        self.temporary.cleanup()


class Client:
    """A client's session with one proxy."""

    def __init__(self, deployment: Deployment, proxy: str, database_name: str) -> None:
        self.deployment = deployment
        self.proxy = proxy
        self.database_name = database_name
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Open the session; return False if it is refused."""
        try:
            self.reader, self.writer = await asyncio.open_connection(
                *self.deployment.fronts[self.proxy], limit=1 << 21
            )
            self.writer.write(f"STARTUP {self.database_name} client\r\n".encode())
            async with asyncio.timeout(2.0):
                line = await self.reader.readuntil(b"\r\n")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return False
        return line.startswith(b"READY")

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, identifier: str, text: str, seconds: float = 5.0):
        """Send a statement; return its rows, outcome and state, or None if cut."""
        if self.writer is None and not await self.open():
            return None
        assert self.reader is not None and self.writer is not None
        record = self.deployment.record
        record(event="sent", proxy=self.proxy, id=identifier, text=text)
        rows, outcome = [], ""
        try:
            self.writer.write(f"QUERY {identifier} {text}\r\n".encode())
            async with asyncio.timeout(seconds):
                while True:
                    line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
                    word, _, rest = line.partition(" ")
                    if word == "DATAROW":
                        rows.append(rest)
                    elif word in ("COMPLETE", "ERROR"):
                        outcome = line
                    elif word == "READY":
                        break
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record(event="no answer", proxy=self.proxy, id=identifier, reason=repr(error))
            self.close()
            return None
        record(event="answered", proxy=self.proxy, id=identifier, rows=rows,
               outcome=outcome, state=rest)
        return rows, outcome, rest


def run_case(case: Callable[[bool], Awaitable[int]], has_trouble: bool) -> None:
    """Run a case with or without its disruption, and exit with its result."""

    async def bounded() -> int:
        async with asyncio.timeout(110.0):
            return await case(has_trouble)

    try:
        result = asyncio.run(bounded())
    except (UnableError, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        result = UNABLE
    sys.exit(result)
