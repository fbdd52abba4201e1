"""Stand-in for the platform: table service, object store and lagging host list."""

import asyncio
import base64
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

from beryltiller.adapters.platform_client import HostModel
from beryltiller.core.ports import RefusedError, Row
from beryltiller.standins.standin import (
    Faults,
    faults_handler,
    parser,
    serve,
    with_faults,
)


class WriteModel(msgspec.Struct, frozen=True):
    """Hold one write of a transaction; `value` is base64."""

    table: str
    key: str
    expected: int
    value: str


class TransactionModel(msgspec.Struct, frozen=True):
    """Hold the writes that commit together."""

    writes: tuple[WriteModel, ...]


@dataclass(slots=True)
class Tables:
    """Keep versioned rows; each commit takes the next revision.

    A row's version is the revision that wrote it, so versions of one row rise but
    are not consecutive.
    """

    revision: int = 0
    tables: dict[str, dict[str, Row]] = field(default_factory=dict)

    def read(self, table: str, key: str) -> Row | None:
        """Return the row or None."""
        return self.tables.get(table, {}).get(key)

    def scan(self, table: str, since: int) -> list[Row]:
        """Return the rows written after revision `since`."""
        rows = self.tables.get(table, {}).values()
        return [row for row in rows if row.version > since]

    def commit(self, writes: tuple[WriteModel, ...]) -> list[int]:
        """Write all rows, or none and raise `RefusedError` with code `conflict`."""
        for write in writes:
            row = self.read(write.table, write.key)
            version = row.version if row else 0
            if version != write.expected:
                reason = f"{write.table}/{write.key} has version {version}"
                raise RefusedError("conflict", reason)
        self.revision += 1
        for write in writes:
            row = Row(write.key, self.revision, base64.b64decode(write.value))
            self.tables.setdefault(write.table, {})[write.key] = row
        return [self.revision] * len(writes)


@dataclass(slots=True)
class LaggingHosts:
    """Keep the host list and serve it as it was some seconds ago."""

    lists: list[tuple[float, dict[str, HostModel]]] = field(default_factory=list)

    def put(self, host: HostModel, now: float) -> None:
        """Add a host or replace what is listed of it."""
        newest = dict(self.lists[-1][1]) if self.lists else {}
        newest[host.name] = host
        self.lists.append((now, newest))

    def remove(self, name: str, now: float) -> None:
        """Take a host off the list."""
        newest = dict(self.lists[-1][1]) if self.lists else {}
        newest.pop(name, None)
        self.lists.append((now, newest))

    def seen(self, at: float) -> list[HostModel]:
        """Return the list as it was at time `at`; the first list counts at once."""
        seen = self.lists[0][1] if self.lists else {}
        for when, hosts in self.lists:
            if when <= at:
                seen = hosts
        return list(seen.values())


def row_model(row: Row) -> dict[str, Any]:
    """Return the row as it is sent."""
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "version": row.version, "value": value}


class PlatformStandin:
    """Answer the platform's protocol from memory."""

    def __init__(self) -> None:
        """Start empty, with no fault switched on."""
        self.faults = Faults()
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.hosts = LaggingHosts()
        self.requests: dict[str, int] = {}

    @property
    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[with_faults(self.faults), self._count()])
        app.add_routes(
            [
                web.post("/faults", faults_handler(self.faults)),
                web.get("/counts", self._counts),
                web.get("/tables/{table}/rows", self._scan),
                web.get("/tables/{table}/rows/{key}", self._read),
                web.post("/transactions", self._commit),
                web.get("/objects/{name}", self._get),
                web.put("/objects/{name}", self._put),
                web.get("/hosts", self._list),
                web.put("/hosts/{name}", self._put_host),
                web.delete("/hosts/{name}", self._remove_host),
            ]
        )
        return app

    def _count(self) -> Any:
        @web.middleware
        async def count(request: web.Request, handler: Any) -> web.StreamResponse:
            name = f"{request.method} {request.path.split('/')[1]}"
            self.requests[name] = self.requests.get(name, 0) + 1
            response: web.StreamResponse = await handler(request)
            return response

        return count

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.requests)

    async def _scan(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        rows = self.tables.scan(request.match_info["table"], since)
        models = [row_model(row) for row in rows]
        return web.json_response({"revision": self.tables.revision, "rows": models})

    async def _read(self, request: web.Request) -> web.Response:
        path = request.match_info
        row = self.tables.read(path["table"], path["key"])
        if row is None:
            raise web.HTTPNotFound
        return web.json_response(row_model(row))

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.read()
        transaction = msgspec.json.decode(body, type=TransactionModel)
        versions = self.tables.commit(transaction.writes)
        return web.json_response({"versions": versions})

    async def _get(self, request: web.Request) -> web.Response:
        data = self.objects.get(request.match_info["name"])
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def _put(self, request: web.Request) -> web.Response:
        self.objects[request.match_info["name"]] = await request.read()
        return web.Response(status=204)

    async def _list(self, request: web.Request) -> web.Response:
        seen = self.hosts.seen(time.monotonic() - self.faults.lag_ms / 1000)
        return web.json_response({"hosts": msgspec.to_builtins(seen)})

    async def _put_host(self, request: web.Request) -> web.Response:
        host = msgspec.json.decode(await request.read(), type=HostModel)
        self.hosts.put(host, time.monotonic())
        return web.Response(status=204)

    async def _remove_host(self, request: web.Request) -> web.Response:
        self.hosts.remove(request.match_info["name"], time.monotonic())
        return web.Response(status=204)


def main() -> int:
    """Run the stand-in until it is told to stop."""
    arguments = parser(__doc__ or "").parse_args()
    asyncio.run(serve(PlatformStandin().app, arguments.listen))
    return 0


if __name__ == "__main__":
    sys.exit(main())
