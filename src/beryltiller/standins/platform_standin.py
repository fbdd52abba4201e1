"""Stand-in for the platform, with everything in memory.

It has a table service, an object store, and a host list that lags behind its changes.
"""

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
from beryltiller.standins.standin_server import (
    Faults,
    faults_handler,
    faults_middleware,
    make_flag_parser,
    serve,
)


class WriteModel(msgspec.Struct, frozen=True):
    """A write to one row, which must have version `expected`; `value` is base64."""

    table: str
    key: str
    expected: int
    value: str


class TransactionModel(msgspec.Struct, frozen=True):
    """The body of `POST /transactions`: writes of which all or none are committed."""

    writes: tuple[WriteModel, ...]


@dataclass(slots=True)
class Tables:
    """Tables of versioned rows; each commit increments the revision.

    A row's version is the revision that wrote it, so the versions of one row increase
    but are not consecutive.
    """

    revision: int = 0
    tables: dict[str, dict[str, Row]] = field(default_factory=dict)

    def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if the table has no such key."""
        return self.tables.get(table, {}).get(key)

    def scan(self, table: str, since: int) -> list[Row]:
        """Return the rows of a table that were written after revision `since`."""
        rows = self.tables.get(table, {}).values()
        return [row for row in rows if row.version > since]

    def commit(self, writes: tuple[WriteModel, ...]) -> list[int]:
        """Write all rows and return their new versions.

        If any row has another version than expected (0 for a missing one), write none
        and raise `RefusedError` with code `conflict`.
        """
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
class LaggingHostList:
    """A host list with its history, from which a list that lags can be answered."""

    lists: list[tuple[float, dict[str, HostModel]]] = field(default_factory=list)

    def put(self, host: HostModel, now: float) -> None:
        """Add a host to the list, or replace its entry."""
        newest = dict(self.lists[-1][1]) if self.lists else {}
        newest[host.name] = host
        self.lists.append((now, newest))

    def remove(self, name: str, now: float) -> None:
        """Remove a host from the list, if it is listed."""
        newest = dict(self.lists[-1][1]) if self.lists else {}
        newest.pop(name, None)
        self.lists.append((now, newest))

    def list_at(self, at: float) -> list[HostModel]:
        """Return the list as it was at time `at`.

        For a time before the first change, return the list after that change.
        """
        hosts_at_time = self.lists[0][1] if self.lists else {}
        for when, hosts in self.lists:
            if when <= at:
                hosts_at_time = hosts
        return list(hosts_at_time.values())


def row_model(row: Row) -> dict[str, Any]:
    """Return the JSON object that a row is sent as."""
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "version": row.version, "value": value}


class PlatformStandin:
    """An HTTP server of the platform's protocol, for tests and demonstrations.

    `request_counts` counts requests by method and first part of the path, without those
    that a fault refused or left unanswered before they ran.
    """

    def __init__(self) -> None:
        """Create a platform without rows, objects, hosts or faults."""
        self.faults = Faults()
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.hosts = LaggingHostList()
        self.request_counts: dict[str, int] = {}

    @property
    def app(self) -> web.Application:
        """The HTTP application, with the faults and request counts as middlewares."""
        app = web.Application(
            middlewares=[faults_middleware(self.faults), self._counting_middleware()]
        )
        app.add_routes(
            [
                web.post("/faults", faults_handler(self.faults)),
                web.get("/counts", self._list_counts),
                web.get("/tables/{table}/rows", self._scan_rows),
                web.get("/tables/{table}/rows/{key}", self._read_row),
                web.post("/transactions", self._commit_transaction),
                web.get("/objects/{name}", self._get_object),
                web.put("/objects/{name}", self._put_object),
                web.get("/hosts", self._list_hosts),
                web.put("/hosts/{name}", self._put_host),
                web.delete("/hosts/{name}", self._remove_host),
            ]
        )
        return app

    def _counting_middleware(self) -> Any:
        @web.middleware
        async def count(request: web.Request, handler: Any) -> web.StreamResponse:
            name = f"{request.method} {request.path.split('/')[1]}"
            self.request_counts[name] = self.request_counts.get(name, 0) + 1
            response: web.StreamResponse = await handler(request)
            return response

        return count

    async def _list_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.request_counts)

    async def _scan_rows(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        rows = self.tables.scan(request.match_info["table"], since)
        models = [row_model(row) for row in rows]
        return web.json_response({"revision": self.tables.revision, "rows": models})

    async def _read_row(self, request: web.Request) -> web.Response:
        path = request.match_info
        row = self.tables.read(path["table"], path["key"])
        if row is None:
            raise web.HTTPNotFound
        return web.json_response(row_model(row))

    async def _commit_transaction(self, request: web.Request) -> web.Response:
        body = await request.read()
        transaction = msgspec.json.decode(body, type=TransactionModel)
        versions = self.tables.commit(transaction.writes)
        return web.json_response({"versions": versions})

    async def _get_object(self, request: web.Request) -> web.Response:
        data = self.objects.get(request.match_info["name"])
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def _put_object(self, request: web.Request) -> web.Response:
        self.objects[request.match_info["name"]] = await request.read()
        return web.Response(status=204)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        hosts = self.hosts.list_at(time.monotonic() - self.faults.lag_ms / 1000)
        return web.json_response({"hosts": msgspec.to_builtins(hosts)})

    async def _put_host(self, request: web.Request) -> web.Response:
        host = msgspec.json.decode(await request.read(), type=HostModel)
        self.hosts.put(host, time.monotonic())
        return web.Response(status=204)

    async def _remove_host(self, request: web.Request) -> web.Response:
        self.hosts.remove(request.match_info["name"], time.monotonic())
        return web.Response(status=204)


def main() -> int:
    """Run the stand-in until SIGTERM or SIGINT."""
    arguments = make_flag_parser(__doc__ or "").parse_args()
    asyncio.run(serve(PlatformStandin().app, arguments.listen))
    return 0


if __name__ == "__main__":
    sys.exit(main())
