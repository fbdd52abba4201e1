"""Stand-in for the users' platform: its metadata store and its promotions."""

import asyncio
import base64
import json
import time
from collections.abc import Callable

from aiohttp import web

BEAT_SECONDS = 1.2
MISSED_BEATS = 3


class Platform:
    """The store's rows, the databases' entries and the promotion endpoint."""

    def __init__(self, record: Callable[..., None], promote_seconds: float) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.changes: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.version = 0
        self.record = record
        self.promote_seconds = promote_seconds
        self.beats: dict[str, float] = {}
        self.peers: dict[str, tuple[str, int]] = {}
        self.services: dict[str, str] = {}
        self.primaries: dict[str, str] = {}
        self.terms: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.tasks: set[asyncio.Task] = set()
        # Addresses of machines that the store turns away.
        self.refused: set[str] = set()
        self.on_promotion: Callable[[str], None] = lambda name: None

    async def put(self, writes: list, removed: list = ()) -> int:
        """Write and remove rows in one transaction."""
        async with self.changed:
            self.version += 1
            for key, value in writes:
                self.rows[key] = (value, self.version)
                self.changes.append((self.version, key, value))
            for key in removed:
                if self.rows.pop(key, None) is not None:
                    self.changes.append((self.version, key, None))
            self.changed.notify_all()
        return self.version

    async def configure(self, configuration: dict) -> None:
        """Write the operator's configuration."""
        value = base64.b64encode(json.dumps(configuration).encode()).decode()
        await self.put([(("op", "", "config"), value)])

    # The store.

    def answer(self, **fields: object) -> web.Response:
        now = round(time.monotonic() * 1000)
        return web.json_response({"row_version": self.version, "current_time_ms": now, **fields})

    def row(self, key: tuple[str, str, str], value: str, version: int) -> dict:
        table, part, name = key
        return {"table_name": table, "part": part, "key": name, "value": value,
                "row_version": version}

    async def rows_tx(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = [
            ((each["table_name"], each["part"], each["key"]), each["row_version"])
            for each in body.get("expect", [])
        ]
        await asyncio.sleep(0.004)
        if any(self.rows.get(key, ("", 0))[1] != version for key, version in expected):
            present = [self.row(key, *self.rows[key]) for key, _ in expected if key in self.rows]
            now = round(time.monotonic() * 1000)
            return web.json_response(
                {"rows": present, "row_version": self.version, "current_time_ms": now}, status=412
            )
        writes = [
            ((each["table_name"], each["part"], each["key"]), each["value"])
            for each in body.get("writes", [])
        ]
        for key, value in writes:
            text = base64.b64decode(value).decode(errors="replace")
            self.record(event="row", key="/".join(key), value=text)
        await self.put(writes)
        return self.answer()

    async def rows_get(self, request: web.Request) -> web.Response:
        query = request.query
        table, part = query["table_name"], query.get("part", "")
        start, end = query.get("start_key", ""), query.get("target")
        limit = min(500, int(query.get("result_limit", "500")))
        found = [
            self.row(key, *self.rows[key])
            for key in sorted(self.rows)
            if key[0] == table and key[1] == part and key[2] >= start
            and (end is None or key[2] < end)
        ]
        return self.answer(rows=found[:limit], has_more=len(found) > limit)

    async def rows_feed(self, request: web.Request) -> web.Response:
        query = request.query
        table, after = query["table_name"], int(query["after"])
        wait = min(30_000, int(query.get("wait_ms", "0"))) / 1000

        def found() -> list:
            return [each for each in self.changes if each[0] > after and each[1][0] == table]

        async with self.changed:
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait_for(lambda: bool(found()))
            except TimeoutError:
                pass
        rows = []
        for version, key, value in found():
            row = self.row(key, value or "", version)
            rows.append(row if value is not None else {**row, "deleted": True})
        return self.answer(rows=rows)

    # Databases.

    async def beat(self, request: web.Request) -> web.Response:
        body = await request.json()
        name, entry = body["id"], body["entry"]
        self.beats[name] = time.monotonic()
        self.services[name] = entry["service"]
        if entry["database_role"] == "primary":
            self.primaries.setdefault(entry["service"], name)
            self.terms.setdefault(entry["service"], 1)
        key = ("servers", "", name)
        old = self.rows.get(key)
        present = json.loads(base64.b64decode(old[0])) if old else {}
        if {**present, "sequence": 0} != {**entry, "sequence": 0}:
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            await self.put([(key, value)])
            self.record(event="entry", db=name, role=entry["database_role"],
                        state=entry["state"], born=entry["born"])
        return web.json_response({})

    async def expire(self) -> None:
        """Remove the entries of databases that are silent."""
        while True:
            await asyncio.sleep(0.1)
            for name, at in tuple(self.beats.items()):
                if time.monotonic() > at + MISSED_BEATS * BEAT_SECONDS:
                    del self.beats[name]
                    await self.put([], [("servers", "", name)])
                    self.record(event="entry expired", db=name)

    async def call(self, name: str, message: dict) -> bool:
        """Send a message to a database; return False if it is not running."""
        try:
            reader, writer = await asyncio.open_connection(*self.peers[name])
            writer.write(json.dumps(message).encode() + b"\n")
            await reader.readline()
            writer.close()
        except OSError:
            return False
        return True

    async def promotion(self, request: web.Request) -> web.Response:
        body = await request.json()
        service, name = body["service"], body["id"]
        self.on_promotion(name)
        self.record(
            event="promotion asked", service=service, db=name,
            holder=request.headers.get("X-Beryltiller-Duty-Holder"),
            token=request.headers.get("X-Beryltiller-Fencing-Token"),
        )
        if self.primaries.get(service) == name:
            return web.json_response({})
        if self.services.get(name) != service or not await self.call(name, {"kind": "ping"}):
            return web.json_response({}, status=409)
        task = asyncio.create_task(self.promote(service, name))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return web.json_response({})

    async def promote(self, service: str, name: str) -> None:
        """Have a database lead the next term, which ends the pauses of all others."""
        await asyncio.sleep(self.promote_seconds)
        if self.primaries.get(service) == name:
            return
        self.terms[service] = self.terms.get(service, 1) + 1
        if not await self.call(name, {"kind": "promote", "term": self.terms[service]}):
            return
        self.primaries[service] = name
        for other, its in tuple(self.services.items()):
            if its == service and other != name:
                await self.call(other, {"kind": "resume"})

    async def start(self, ip: str, port: int) -> web.AppRunner:
        """Start to serve."""
        @web.middleware
        async def turn_away(request: web.Request, handler) -> web.StreamResponse:
            if request.remote in self.refused and request.path.startswith("/beryltiller/"):
                return web.json_response({}, status=503)
            return await handler(request)

        app = web.Application(middlewares=[turn_away])
        app.router.add_post("/beryltiller/rows-tx", self.rows_tx)
        app.router.add_get("/beryltiller/rows-get", self.rows_get)
        app.router.add_get("/beryltiller/rows-feed", self.rows_feed)
        app.router.add_post("/promotion", self.promotion)
        app.router.add_post("/standin/beat", self.beat)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, ip, port).start()
        task = asyncio.create_task(self.expire())
        self.tasks.add(task)
        return runner
