"""Stand-ins of the platform, the databases and the clients, and starts of proxies.

They speak what PROTOCOL.md says, on loopback addresses and the real clock. A case
starts them, disturbs them by what its claim names, and judges by what clients,
databases and the platform have seen.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
CRLF = b"\r\n"
SERVICE = "orders"
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "stability_window_ms": 4000,
    "ack_timeout_ms": 5000, "catch_up_s": 4, "drain_timeout_ms": 7000,
    "grace_period_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
    "downgrade_slack_ms": 250, "max_stretch_ms": 12000, "recovery_s": 12,
    "require_fencing": False, "thaw_slack_ms": 300,
}
BEAT_MS = 1200
# The kernel gives higher ports to outgoing connections.
PORTS = range(12_000, 32_000)


def now():
    return time.monotonic()


def free_port(ip):
    while True:
        port = random.choice(PORTS)
        with socket.socket() as found:
            try:
                found.bind((ip, port))
            except OSError:
                continue
            return port


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.began = now()
        self.path = Path(path)
        self.lines = []

    def add(self, text):
        self.lines.append(f"{now() - self.began:9.4f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class Platform:
    """The metadata store and the promotion call.

    `denied` are the IP addresses that the store turns away with 503. A promotion call
    is carried out and answered `promotion_delay` seconds after it has come.
    """

    def __init__(self, record, ip):
        self.record = record
        self.ip = ip
        self.rows = {}
        self.changes = []
        self.version = 10
        self.changed = asyncio.Event()
        self.denied = set()
        self.promotion_delay = 0.0
        self.promotion_status = 0
        self.on_write = lambda table, key, value, ip: None
        self.calls = []
        self.group = None

    async def start(self):
        app = web.Application(client_max_size=2 << 20)
        app.router.add_get("/beryltiller/rows-get", self.get)
        app.router.add_get("/beryltiller/rows-feed", self.feed)
        app.router.add_post("/beryltiller/rows-tx", self.transact)
        app.router.add_post("/promotion", self.promote)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        self.port = free_port(self.ip)
        await web.TCPSite(self.runner, self.ip, self.port).start()
        self.address = f"{self.ip}:{self.port}"

    def put(self, table, key, value):
        self.apply({(table, key): value})

    def apply(self, writes):
        self.version += 1
        for key, value in writes.items():
            self.changes.append((self.version, key, value))
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, status=200, **fields):
        common = {"row_version": self.version, "current_time_ms": round(now() * 1000)}
        return web.json_response({**common, **fields}, status=status)

    def row(self, key):
        version, value = self.rows[key]
        return {
            "table_name": key[0], "part": "", "key": key[1], "row_version": version,
            "value": base64.b64encode(value).decode(),
        }

    async def get(self, request):
        if request.remote in self.denied:
            return web.Response(status=503)
        query = request.query
        start, limit = query.get("start_key", ""), int(query.get("result_limit", 500))
        keys = sorted(
            key for key in self.rows
            if key[0] == query["table_name"] and key[1] >= start
            and ("target" not in query or key[1] < query["target"])
        )
        return self.answer(
            rows=[self.row(key) for key in keys[:limit]], has_more=len(keys) > limit
        )

    async def feed(self, request):
        if request.remote in self.denied:
            return web.Response(status=503)
        query = request.query
        after, table = int(query["after"]), query["table_name"]
        until = now() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [
                (version, key, value) for version, key, value in self.changes
                if version > after and key[0] == table
            ]
            left = until - now()
            if request.remote in self.denied:
                return web.Response(status=503)
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except TimeoutError:
                pass
        rows = []
        for version, key, value in found:
            row = {"table_name": key[0], "part": "", "key": key[1]}
            row["row_version"] = version
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            rows.append(row)
        return self.answer(rows=rows)

    async def transact(self, request):
        body = await request.json()
        if request.remote in self.denied:
            return web.Response(status=503)
        await asyncio.sleep(0.005)
        for row in body.get("expect", ()):
            key = row["table_name"], row["key"]
            version, _ = self.rows.get(key, (0, b""))
            if version != row["row_version"]:
                rows = [self.row(key)] if key in self.rows else []
                return self.answer(412, rows=rows)
        writes = {}
        for row in body.get("writes", ()):
            writes[row["table_name"], row["key"]] = base64.b64decode(row["value"])
        for row in body.get("remove", ()):
            writes[row["table_name"], row["key"]] = None
        self.apply(writes)
        for (table, key), value in writes.items():
            self.record.add(f"store: {request.remote} writes {table}/{key} {value!r}")
            self.on_write(table, key, value, request.remote)
        return self.answer()

    async def promote(self, request):
        body = await request.json()
        holder = request.headers["X-Beryltiller-Duty-Holder"]
        token = int(request.headers["X-Beryltiller-Fencing-Token"])
        name = body["id"]
        self.calls.append((now(), holder, token, name))
        self.record.add(f"promotion call of {holder} for {name}, token {token}")
        if self.promotion_status:
            return web.json_response({}, status=self.promotion_status)
        # The call is carried out also if its sender has left meanwhile.
        work = asyncio.create_task(self.carry_out(name, self.promotion_delay))
        status = await asyncio.shield(work)
        return web.json_response({}, status=status)

    async def carry_out(self, name, delay):
        await asyncio.sleep(delay)
        database = self.group.by_name.get(name)
        if database is None or not database.runs:
            return 409
        if not database.is_primary and not database.is_rising:
            database.is_rising = True
            asyncio.create_task(self.group.take_over(database))
        return 200


class Database:
    """One database: its role, its log and its connections.

    While it is `dark`, nothing that is sent to it arrives, and it sends nothing.
    """

    def __init__(self, group, name, ip, zone):
        self.group = group
        self.name, self.ip, self.zone = name, ip, zone
        self.port = free_port(ip)
        self.is_primary = False
        self.is_rising = False
        self.runs = True
        self.state = "ready"
        self.term = 1
        self.log = []
        self.applied_at = []
        self.fenced = 0
        self.awake = asyncio.Event()
        self.awake.set()
        self.is_deaf = False
        # How often it receives what the primary has written, as a replica.
        self.receive_s = 0.003
        self.received_at = 0.0
        self.sessions = set()
        # The IP addresses of proxies, and the names of databases, without a path here.
        self.cut_from = set()
        self.lost_store_at = None
        self.born = round(time.time() * 1000)
        self.sequence = 0
        self.replaced_since = None
        self.waiting = []
        self.work_s = 0.004

    @property
    def applied(self):
        if self.is_primary:
            return len(self.log)
        moment, count = now(), len(self.applied_at)
        while count and self.applied_at[count - 1] > moment:
            count -= 1
        return count

    @property
    def is_dark(self):
        return not self.awake.is_set()

    def append(self, entry, lag):
        before = self.applied_at[-1] if self.applied_at else 0.0
        self.log.append(entry)
        self.applied_at.append(max(before, now() + lag))

    def position(self, length):
        return f"{self.log[length - 1][0]}.{length}" if length else "-"

    def entry(self):
        return {
            "service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "config_version": "1", "slots": 4, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence,
            "database_role": "primary" if self.is_primary else "replica",
            "born": self.born,
        }

    def report(self):
        if self.is_dark or not self.runs or self.lost_store_at is not None:
            return
        held = self.group.platform.rows.get(("servers", self.name))
        present = json.loads(held[1]) if held else {}
        if {**present, "sequence": 0} != {**self.entry(), "sequence": 0}:
            self.sequence += 1
            value = json.dumps(self.entry()).encode()
            self.group.platform.put("servers", self.name, value)

    async def start(self):
        self.server = await asyncio.start_server(
            lambda r, w: Session(self, r, w).serve(), self.ip, self.port,
            limit=1 << 20,
        )
        self.report()

    def is_silent_for(self, ip):
        return self.is_dark or ip in self.cut_from

    def lose_store(self):
        self.group.record.add(f"{self.name} has no path to the store")
        self.lost_store_at = now()

    def regain_store(self):
        self.group.record.add(f"{self.name} has a path to the store again")
        self.lost_store_at = None
        self.report()

    def beat(self):
        """Let the store remove the entry after three heartbeats of silence."""
        lost = self.lost_store_at
        if lost is None or now() < lost + 3 * BEAT_MS / 1000:
            return
        key = "servers", self.name
        if key in self.group.platform.rows:
            self.group.record.add(f"the store removes the entry of {self.name}")
            self.group.platform.apply({key: None})

    async def go_dark(self, seconds):
        self.group.record.add(f"{self.name} is dark for {seconds} s")
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()
        self.group.record.add(f"{self.name} is back")
        self.report()


class Group:
    """The databases of the service, with replication and changes of primary."""

    def __init__(self, record, platform):
        self.record = record
        self.platform = platform
        platform.group = self
        self.databases = []
        self.by_name = {}
        self.apply_lag = 0.02
        self.promote_s = 0.3
        # What ran: statement id -> list of (time, database, log ids applied, text)
        self.ran = {}
        self.on_lead = lambda database: None

    def add(self, name, ip, zone):
        database = Database(self, name, ip, zone)
        self.databases.append(database)
        self.by_name[name] = database
        return database

    async def run(self):
        while True:
            await asyncio.sleep(0.003)
            for each in self.databases:
                self.exchange(each)
                each.beat()

    def reachable_primaries(self, database):
        return [
            each for each in self.databases
            if each is not database and each.is_primary and each.runs
            and not each.is_dark and each.name not in database.cut_from
            and database.name not in each.cut_from
        ]

    def exchange(self, database):
        if not database.runs or database.is_dark:
            return
        others = self.reachable_primaries(database)
        if database.is_primary:
            if any(each.term > database.term for each in others):
                database.replaced_since = database.replaced_since or now()
                # The old primary goes on until a second after it can reach the new.
                if now() >= database.replaced_since + 1.0:
                    self.step_down(database)
            return
        if database.is_rising or database.fenced or database.is_deaf or not others:
            return
        primary = max(others, key=lambda each: each.term)
        if primary.term < database.term:
            return
        if now() < database.received_at + database.receive_s:
            return
        database.received_at = now()
        database.term = primary.term
        length = min(len(database.log), len(primary.log))
        while length and database.log[length - 1] != primary.log[length - 1]:
            length -= 1
        del database.log[length:], database.applied_at[length:]
        for entry in primary.log[length:length + 50]:
            database.append(entry, self.apply_lag)
        done = [each for each in primary.waiting if each[0] <= len(database.log)]
        primary.waiting = [e for e in primary.waiting if e[0] > len(database.log)]
        for _, received in done:
            if not received.done():
                received.set_result(None)

    def step_down(self, database):
        database.is_primary = False
        database.replaced_since = None
        database.waiting.clear()
        moment = now()
        database.applied_at = [min(moment, each) for each in database.applied_at]
        self.record.add(f"{database.name} is a replica now")
        database.report()

    async def take_over(self, database):
        await asyncio.sleep(self.promote_s)
        database.is_rising = False
        if not database.runs or database.is_primary:
            return
        database.term = max(each.term for each in self.databases) + 1
        database.is_primary = True
        database.replaced_since = None
        for each in self.databases:
            each.fenced = 0
        self.record.add(
            f"{database.name} leads term {database.term}, log ends at "
            f"{database.position(len(database.log))}"
        )
        database.report()
        self.on_lead(database)


class Session:
    """A connection of a proxy to a database."""

    def __init__(self, database, reader, writer):
        self.database, self.reader, self.writer = database, reader, writer
        self.state, self.is_plain, self.has_written = "I", False, False
        self.values, self.prepared, self.written = {}, {}, []
        self.peer = writer.get_extra_info("peername")[0]

    async def serve(self):
        self.database.sessions.add(self)
        try:
            if not await self.accept():
                return
            while True:
                line = await self.line()
                await self.reply(line)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.database.sessions.discard(self)
            self.writer.transport.abort()

    async def line(self):
        while True:
            line = await self.reader.readuntil(CRLF)
            if self.database.is_silent_for(self.peer):
                # The bytes are on their way, and lost if their sender ends the
                # connection meanwhile.
                while self.database.is_silent_for(self.peer):
                    await asyncio.sleep(0.01)
                if self.reader.at_eof() or self.reader.exception():
                    raise ConnectionError
                if self.writer.transport.is_closing():
                    raise ConnectionError
            return line.removesuffix(CRLF).decode(errors="surrogateescape")

    async def write(self, *lines):
        while self.database.is_silent_for(self.peer):
            await asyncio.sleep(0.01)
        data = "\r\n".join([*lines, ""]).encode(errors="surrogateescape")
        self.writer.write(data)
        await self.writer.drain()

    async def accept(self):
        word, service, _, *rest = (await self.line()).split(" ")
        is_own = not rest or rest[0] == self.database.name
        if word != "STARTUP" or service != SERVICE or not is_own:
            await self.write(f"ERROR WRONGNODE {self.database.name}")
            return False
        await asyncio.sleep(0.012)
        await self.write(self.ready())
        return True

    def ready(self):
        database = self.database
        return f"READY {self.state} {database.position(database.applied)}"

    async def reply(self, line):
        _, name, text = line.split(" ", 2)
        lines = await self.answer(name, text)
        await self.write(*lines, self.ready())

    async def answer(self, name, text):
        database = self.database
        full = text
        if text.startswith("SINCE "):
            _, position, text = text.split(" ", 2)
            term, _, index = position.partition(".")
            length = database.applied
            last = database.log[length - 1][0] if length else 0
            if (last, length) < (int(term), int(index)):
                return ["ERROR LAGGING behind"]
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.command(word, rest, full)
        if word == "ROLLBACK":
            self.state, self.written = "I", []
            return ["COMPLETE -"]
        if self.state == "E":
            return ["ERROR MALFORMED the transaction has failed"]
        if word == "SET":
            key, _, value = rest.partition(" ")
            self.values[key] = value
            return ["COMPLETE -"]
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return ["COMPLETE -"]
        if word == "PREPARE":
            key, _, shape = rest.partition(" ")
            self.prepared[key] = shape
            return ["COMPLETE -"]
        if word == "DEALLOCATE":
            known = self.prepared.pop(rest, None)
            return ["COMPLETE -"] if known else [f"ERROR NOSUCHSTMT {rest}"]
        return await self.work(name, word, rest, text)

    async def work(self, name, word, rest, text):
        database = self.database
        if word == "BEGIN":
            if not rest and not database.is_primary:
                return ["ERROR READONLY a replica"]
            self.state, self.is_plain, self.written = "T", not rest, []
            return ["COMPLETE -"]
        is_write = word == "WRITE"
        if word == "EXECUTE":
            shape = self.prepared.get(rest.split(" ")[0])
            if shape is None:
                return ["ERROR NOSUCHSTMT unknown"]
            is_write = shape.startswith("WRITE")
        await asyncio.sleep(database.work_s)
        if not database.is_primary:
            in_plain = self.state == "T" and self.is_plain
            if is_write or (in_plain and (word != "COMMIT" or self.written)):
                if self.state == "T":
                    self.state = "E"
                return ["ERROR READONLY a replica"]
        applied = database.applied
        database.group.ran.setdefault(name, []).append(
            (now(), database, tuple(database.log[:applied]), text)
        )
        signature = f"{database.name}.{name}.{len(database.group.ran[name])}"
        if word == "COMMIT":
            self.state, written = "I", self.written
            self.written = []
            if written:
                await self.commit(name)
        elif is_write and self.state == "T":
            self.written.append(name)
        elif is_write:
            await self.commit(name)
        rows = [] if is_write or word == "COMMIT" else [f"DATAROW {applied}"]
        return [*rows, f"COMPLETE {signature}"]

    async def commit(self, name):
        database = self.database
        database.append((database.term, name), 0.0)
        received = asyncio.get_running_loop().create_future()
        database.waiting.append((len(database.log), received))
        await received

    def command(self, word, rest, full):
        database = self.database
        if word == "PAUSE" and not database.is_primary and int(rest) > database.term:
            database.fenced = max(database.fenced, int(rest))
        elif word == "RESUME":
            database.fenced = 0
        elif word == "STEPDOWN" and database.is_primary and database.term < int(rest):
            database.group.step_down(database)
        if word != "STATUS":
            database.group.record.add(f"{database.name} carries out {full}")
        role = "primary" if database.is_primary else "replica"
        received = database.position(len(database.log))
        return [
            f"DATAROW {role} {database.term} {received} {database.fenced} 0 0 1",
            "COMPLETE -",
        ]


class Proxy:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, record, folder, name, ip, zone, zones, platform):
        self.record, self.name, self.ip, self.zone = record, name, ip, zone
        self.front = free_port(ip)
        self.ready = free_port(ip)
        internal = free_port(ip)
        self.log = Path(folder) / f"{name}.log"
        self.path = Path(folder) / f"{name}.json"
        self.process = None
        settings = {
            "node_name": name, "role": "proxy", "machine_class": "front",
            "serves": ["front"], "ip_address": ip, "zone": zone, "region": "perth",
            "zones": dict.fromkeys(zones, "perth"),
            "listen_addresses": {
                "front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}",
            },
            "internal_port_range": [internal, internal + 15],
            "seed_nodes": [], "bootstrap": True, "counts_toward_tolerance": True,
            "limits": {
                "cpu_share": 0.8, "cpu_cores": 2, "memory_mb": 430,
                "file_descriptors": 6300, "link_mbps": 1500.0, "disk_mb": 0,
            },
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeat_interval_ms": BEAT_MS, "bounds": BOUNDS,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "platform": {
                "address": platform.address, "form": "table", "writes_per_s": 400,
                "reads_per_s": 2000, "transaction_ms": 5.0, "history_s": 20,
                "partition_writes_s": 200, "max_row_bytes": 65536,
                "cross_partition": False, "max_blob_bytes": 8388608,
                "blob_timeout_ms": 25.0, "blob_mb_s": 80.0,
            },
            "cloud_api": {
                "address": platform.address, "rate_per_s": 50.0,
                "duties": ["promotion"], "duties_per_s": 50.0,
            },
        }
        self.path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        _, *arguments = shlex.split(deploy["roles"]["proxy"]["run"])
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERYLTILLER_SETTINGS": str(self.path),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *arguments], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
            )
        self.record.add(f"start {self.name}")

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.record.add(f"{signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(
                    b"GET /beryltiller/readiness HTTP/1.1\r\nHost: p\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Answer:
    def __init__(self, word="", text="", state="", rows=()):
        self.word, self.text, self.state, self.rows = word, text, state, rows

    @property
    def is_success(self):
        return self.word == "COMPLETE" and self.text != "-"


class Client:
    """A client's session; each statement has an id of its own."""

    numbers = iter(range(1, 1 << 40))

    def __init__(self, record, proxy, database):
        self.record, self.proxy, self.database = record, proxy, database
        self.reader = self.writer = None

    async def open(self):
        async with asyncio.timeout(2.0):
            self.reader, self.writer = await asyncio.open_connection(
                self.proxy.ip, self.proxy.front, limit=1 << 20
            )
            self.writer.write(f"STARTUP {self.database} u1\r\n".encode())
            line = (await self.reader.readuntil(CRLF)).decode()
        if not line.startswith("READY"):
            self.close()
            raise ConnectionError(line)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None

    async def run(self, text, seconds=5.0):
        """Send a statement; return its id, when it was sent, and the answer."""
        name = f"{next(self.numbers):016x}"
        sent = now()
        self.record.add(f"{self.proxy.name} gets {name} {text}")
        self.writer.write(f"QUERY {name} {text}\r\n".encode())
        rows = []
        async with asyncio.timeout(seconds):
            while True:
                line = (await self.reader.readuntil(CRLF)).decode()
                word, _, rest = line.removesuffix("\r\n").partition(" ")
                if word == "DATAROW":
                    rows.append(rest)
                elif word in ("COMPLETE", "ERROR"):
                    answer = Answer(word, rest, "", tuple(rows))
                elif word == "READY":
                    answer.state = rest.partition(" ")[0]
                    break
        self.record.add(f"{self.proxy.name} answers {name} {answer.word} {answer.text}")
        return name, sent, answer


CLIENT_ERRORS = (OSError, EOFError, TimeoutError, ConnectionError)


def route(name, kind, timeout_ms, objective_ms, priority, staleness_ms):
    return {
        "name": name, "database_name": name, "service": SERVICE, "route_kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": objective_ms,
        "priority": priority, "max_staleness_ms": staleness_ms,
    }


ROUTES = [
    route("checkout", "primary", 800, 120, 1, 0),
    route("proof-view", "bounded_staleness", 1500, 400, 2, 1500),
    route("dispatch", "read_your_writes", 800, 200, 2, 2500),
]
ZONES = ("perth-a", "perth-b", "perth-c")


class Deployment:
    """A store, one service of three databases, and proxies in three zones."""

    def __init__(self, folder, proxies=3):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = tempfile.mkdtemp(prefix="case-")
        net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.platform = Platform(self.record, f"{net}.2")
        self.group = Group(self.record, self.platform)
        for number, zone in enumerate(ZONES):
            self.group.add(f"i-{number + 1:08x}", f"{net}.{10 + number}", zone)
        self.group.databases[0].is_primary = True
        self.net, self.count = net, proxies
        self.tasks = []

    async def start(self):
        await self.platform.start()
        configuration = {
            "config_version": 3, "routes": ROUTES,
            "services": [
                {"name": SERVICE, "max_connections": 34, "sync_replicas": 1}
            ],
            "limits": {"transaction_idle_ms": 3000},
        }
        self.platform.put("op", "config", json.dumps(configuration).encode())
        for each in self.group.databases:
            await each.start()
        self.spawn(self.group.run())
        self.proxies = [
            Proxy(
                self.record, self.folder, f"front-{ZONES[n % 3]}-{n // 3 + 1}",
                f"{self.net}.{30 + n}", ZONES[n % 3], ZONES, self.platform,
            )
            for n in range(self.count)
        ]
        for each in self.proxies:
            each.start()
        until = now() + 25
        for each in self.proxies:
            while not await each.is_ready():
                if now() > until:
                    raise RuntimeError(f"{each.name} is not ready")
                await asyncio.sleep(0.1)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def until_writes(self, seconds=25):
        """Wait until each proxy has reported a write."""
        for proxy in self.proxies:
            until = now() + seconds
            while True:
                client = Client(self.record, proxy, "checkout")
                try:
                    await client.open()
                    _, _, answer = await client.run("WRITE 1a4 x")
                    if answer.is_success:
                        break
                except CLIENT_ERRORS:
                    pass
                finally:
                    client.close()
                if now() > until:
                    raise RuntimeError(f"{proxy.name} serves no write")
                await asyncio.sleep(0.1)

    async def close(self):
        for each in getattr(self, "proxies", ()):
            each.kill()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for each in self.group.databases:
            server = getattr(each, "server", None)
            if server is not None:
                server.close()
        await self.platform.runner.cleanup()
        self.record.write()
        keep = os.environ.get("KEEP_LOGS")
        for path in Path(self.folder).iterdir():
            if keep:
                Path(keep, path.name).write_bytes(path.read_bytes())
            path.unlink()
        Path(self.folder).rmdir()


def run_case(case, folder, trouble, proxies=3):
    """Run `case(deployment, trouble)`; it returns the findings. Exit as a script."""
    async def main():
        deployment = Deployment(folder, proxies)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                await deployment.until_writes()
                findings = await case(deployment, trouble)
        except Exception as error:
            deployment.record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.close()
        for each in findings[:10]:
            print(each)
        print(f"{len(findings)} findings, trouble {'on' if trouble else 'off'}")
        return 1 if findings else 0

    sys.exit(asyncio.run(main()))
