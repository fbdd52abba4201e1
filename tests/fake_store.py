"""A fake of the platform's metadata store and promotion call, over HTTP."""

import base64
from typing import Any

from aiohttp import web

from beryltiller.core.addresses import Address

IP = "127.0.0.1"


class FakeStore:
    """A store of rows, each with an empty `part`, as the project writes them.

    If `refusal_status` is not 0, `get` and `commit` answer with it as the HTTP status.
    With `loses_answers` a commit is applied, but its connection is then aborted. The
    feed refuses versions before `oldest_feed_version` with status 410. `removed` has
    the version, table and key of each deleted row, `promotions` the service,
    identifier, holder and fencing token of each promotion call, which is answered with
    `promotion_status`.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.version = 10
        self.now_ms = 50_000
        self.refusal_status = 0
        self.loses_answers = False
        self.oldest_feed_version = 0
        self.removed: list[tuple[int, str, str]] = []
        self.promotions: list[tuple[str, str, str, str]] = []
        self.promotion_status = 200

    async def start(self) -> tuple[web.AppRunner, str]:
        """Listen on loopback; return the runner to clean up, and the address."""
        app = web.Application()
        app.router.add_get("/beryltiller/rows-get", self.get)
        app.router.add_get("/beryltiller/rows-feed", self.feed)
        app.router.add_post("/beryltiller/rows-tx", self.commit)
        app.router.add_post("/promotion", self.promote)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, IP, 0)
        await site.start()
        port = runner.addresses[0][1]
        return runner, str(Address(IP, port))

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as another writer would."""
        self.version += 1
        self.rows[table, key] = (self.version, value)

    def delete(self, table: str, key: str) -> None:
        """Remove a row as another writer would."""
        self.version += 1
        del self.rows[table, key]
        self.removed.append((self.version, table, key))

    async def get(self, request: web.Request) -> web.Response:
        if self.refusal_status:
            return web.Response(status=self.refusal_status)
        query = request.query
        limit = int(query.get("result_limit", 500))
        keys = sorted(key for table, key in self.rows if table == query["table_name"])
        keys = [key for key in keys if key >= query.get("start_key", "")]
        keys = [key for key in keys if "target" not in query or key < query["target"]]
        rows = [self.row(query["table_name"], key) for key in keys[:limit]]
        return self.answer(rows=rows, has_more=len(keys) > limit)

    async def feed(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        if after < self.oldest_feed_version:
            return web.Response(status=410)
        table = request.query["table_name"]
        rows = [
            self.row(name, key)
            for (name, key), (version, _) in self.rows.items()
            if name == table and version > after
        ]
        rows += [
            {"key": key, "row_version": version, "deleted": True}
            for version, name, key in self.removed
            if name == table and version > after
        ]
        return self.answer(rows=sorted(rows, key=lambda row: row["row_version"]))

    async def commit(self, request: web.Request) -> web.Response:
        if self.refusal_status:
            return web.Response(status=self.refusal_status)
        body = await request.json()
        for row in body["expect"]:
            held = self.rows.get((row["table_name"], row["key"]), (0, b""))
            if held[0] != row["row_version"]:
                return web.Response(status=412)
        self.version += 1
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self.rows[row["table_name"], row["key"]] = (self.version, value)
        if self.loses_answers:
            assert request.transport is not None
            request.transport.abort()
        return self.answer()

    async def promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        headers = request.headers
        holder = headers["X-Beryltiller-Duty-Holder"]
        token = headers["X-Beryltiller-Fencing-Token"]
        self.promotions.append((body["service"], body["id"], holder, token))
        return web.Response(status=self.promotion_status)

    def row(self, table: str, key: str) -> dict[str, Any]:
        """Return the wire format of a row."""
        version, value = self.rows[table, key]
        encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "row_version": version}

    def answer(self, **fields: object) -> web.Response:
        """Return an answer with `fields` and the two fields that all answers have."""
        common = {"row_version": self.version, "current_time_ms": self.now_ms}
        return web.json_response({**common, **fields})
