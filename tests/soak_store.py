"""The platform of a soak: its metadata store and its promotion calls, over HTTP."""

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from enum import Enum
from typing import Any

from aiohttp import web

from tests.soak_record import Record

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
RowKey = tuple[str, str]

MAX_PAGE_ROWS = 500
TRANSACTION_SECONDS = 0.005
CHECK_SECONDS = 0.05


class Access(Enum):
    """How the store treats the calls of a host.

    A deaf store performs nothing, and a mute one performs calls; neither answers.
    """

    SERVED = "served"
    REFUSED = "refused"
    DEAF = "deaf"
    MUTE = "mute"


class SoakStore:
    """Rows of tables, all of the part without a name, and the promotion call.

    `access` is by the IP address of a host that calls; other hosts are served.
    `promote` gets the identifier of a database and the fencing token, and returns the
    HTTP status of the answer.
    """

    def __init__(self, record: Record, promote: Callable[[str, str, int], int]) -> None:
        """Create a store without rows."""
        self.access: dict[str, Access] = {}
        self._record = record
        self._promote = promote
        self._rows: dict[RowKey, tuple[int, bytes]] = {}
        self._changes: list[tuple[int, RowKey, bytes | None]] = []
        self._version = 10
        self._changed = asyncio.Event()

    async def start(self, stack: AsyncExitStack, ip: str) -> str:
        """Serve until `stack` closes; return the `ip:port`."""
        app = web.Application(middlewares=[self._pass_access])
        app.router.add_get("/beryltiller/rows-get", self._get)
        app.router.add_get("/beryltiller/rows-feed", self._feed)
        app.router.add_post("/beryltiller/rows-tx", self._transact)
        app.router.add_post("/promotion", self._answer_promotion)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, ip, 0).start()
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    def is_served(self, ip: str) -> bool:
        """Return True if the store performs and answers the calls of a host."""
        return self.access.get(ip, Access.SERVED) is Access.SERVED

    def value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None without one."""
        row = self._rows.get((table, key))
        return row[1] if row else None

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row."""
        self._apply({(table, key): value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row, if there is one."""
        if (table, key) in self._rows:
            self._apply({(table, key): None})

    def _apply(self, writes: dict[RowKey, bytes | None]) -> None:
        self._version += 1
        for key, value in writes.items():
            self._changes.append((self._version, key, value))
            if value is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _pass_access(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path == "/promotion":
            return await handler(request)
        match self.access.get(request.remote or "", Access.SERVED):
            case Access.REFUSED:
                return web.Response(status=503)
            case Access.DEAF:
                return await _hang(request)
            case Access.MUTE:
                await handler(request)
                return await _hang(request)
        return await handler(request)

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        table, start = query["table_name"], query.get("start_key", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("result_limit", MAX_PAGE_ROWS)))
        keys = sorted(
            key
            for key in self._rows
            if key[0] == table
            and key[1] >= start
            and ("target" not in query or key[1] < query["target"])
        )
        rows = [_encode(key, *self._rows[key]) for key in keys[:limit]]
        return self._answer(rows=rows, has_more=len(keys) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        after, table = int(query["after"]), query["table_name"]
        try:
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                while not self._changes_after(after, table):
                    await self._changed.wait()
        except TimeoutError:
            pass
        # The answer tells of all changes up to its version, also of one that was made
        # after the time was over and before this is reached.
        return self._answer(rows=self._changes_after(after, table))

    def _changes_after(self, after: int, table: str) -> list[dict[str, Any]]:
        return [
            _encode(key, version, value)
            for version, key, value in self._changes
            if version > after and key[0] == table
        ]

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(TRANSACTION_SECONDS)
        for row in body["expect"]:
            version, _ = self._rows.get(_key(row), (0, b""))
            if version != row["row_version"]:
                return self._answer(412)
        writes: dict[RowKey, bytes | None] = {
            _key(row): base64.b64decode(row["value"]) for row in body["writes"]
        }
        writes |= {_key(row): None for row in body.get("remove", ())}
        self._apply(writes)
        for key, value in writes.items():
            self._record.add(f"{request.remote} writes {key}: {value!r}")
        return self._answer()

    async def _answer_promotion(self, request: web.Request) -> web.Response:
        body = await request.json()
        holder = request.headers["X-Beryltiller-Duty-Holder"]
        token = int(request.headers["X-Beryltiller-Fencing-Token"])
        status = self._promote(body["id"], holder, token)
        return web.json_response({}, status=status)

    def _answer(self, status: int = 200, **fields: object) -> web.Response:
        now_ms = round(time.monotonic() * 1000)
        common = {"row_version": self._version, "current_time_ms": now_ms}
        return web.json_response({**common, **fields}, status=status)


async def _hang(request: web.Request) -> web.Response:
    """Give no answer as long as the caller waits for one."""
    while request.transport is not None:
        await asyncio.sleep(CHECK_SECONDS)
    return web.Response()


def _key(row: dict[str, Any]) -> RowKey:
    return row["table_name"], row["key"]


def _encode(key: RowKey, version: int, value: bytes | None) -> dict[str, Any]:
    row = {"table_name": key[0], "part": "", "key": key[1], "row_version": version}
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}
