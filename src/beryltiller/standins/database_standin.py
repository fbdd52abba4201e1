"""Stand-in for one database of a group, as a process with an HTTP interface.

It bounds connections and concurrent statements, and a replica pulls the primary's log.
"""

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec
from aiohttp import web

from beryltiller.adapters.endpoints import format_load
from beryltiller.core.ports import EndpointStatus, Load, RefusedError
from beryltiller.core.position import ORIGIN, History, Position
from beryltiller.standins.database_model import (
    CommitResult,
    DatabaseModel,
    Entry,
    Operation,
    apply_operation,
    parse_operation,
)
from beryltiller.standins.standin_server import (
    Faults,
    faults_handler,
    faults_middleware,
    make_flag_parser,
    serve,
    split_address,
)

# A primary without new entries answers a pull after this time.
PULL_WAIT_SECONDS = 0.2
# Pauses of a replica after a pull that succeeded, and after one that failed.
PULL_PAUSE_SECONDS = 0.002
PULL_RETRY_SECONDS = 0.05
PULL_TIMEOUT_SECONDS = 1.0
MAX_PULLED_ENTRIES = 500


class TermModel(msgspec.Struct, frozen=True):
    """The body of `/fence`, `/open` and `/follow`.

    `address` is that of the primary to follow; the others ignore it.
    """

    term: int
    address: str = ""


class PullModel(msgspec.Struct, frozen=True):
    """A replica's request for log entries.

    It describes the replica's log, so that the primary can find the part that both
    share. Entries younger than `lag_seconds` are withheld.
    """

    term: int
    length: int
    history: History
    lag_seconds: float = 0.0


class PulledModel(msgspec.Struct, frozen=True):
    """The answer to a pull: how many entries both logs share, and those after them."""

    shared: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class DatabaseCapacity:
    """The limits of a stand-in database, and how long its work takes.

    `slots` is the number of statements that run at once; `connect_seconds` and
    `service_seconds` are the times to open a connection and to run a statement.
    """

    slots: int = 3
    connection_cap: int = 20
    connect_seconds: float = 0.010
    service_seconds: float = 0.002


@dataclass(slots=True)
class OpenConnection:
    """A connection that a proxy opened; it ends with the TCP connection that it uses.

    `operations` are the writes of its open transaction, None without one; `term` is
    the term of that transaction.
    """

    identifier: str
    transport: asyncio.BaseTransport | None
    operations: list[Operation] | None = None
    term: int = 0


class DatabaseStandin:
    """An HTTP server that proxies use as a database, on top of a `DatabaseModel`."""

    def __init__(
        self, name: str, capacity: DatabaseCapacity, source: str = "127.0.0.1"
    ) -> None:
        """Create an empty database, fenced in term 0.

        `source` is the local IP address that its pulls of a log are sent from.
        """
        self.faults = Faults()
        self.model = DatabaseModel(name)
        self.followed_address = ""
        self._capacity = capacity
        self._source = source
        self._connections: dict[str, OpenConnection] = {}
        self._opened_count = 0
        self._slots = asyncio.Semaphore(capacity.slots)
        self._executing = 0
        self._waiting = 0
        self._entry_appended = asyncio.Event()

    @property
    def app(self) -> web.Application:
        """The HTTP application, with the faults as a middleware."""
        app = web.Application(middlewares=[faults_middleware(self.faults)])
        app.add_routes(
            [
                web.post("/faults", faults_handler(self.faults)),
                web.post("/connections", self._connect),
                web.delete("/connections/{id}", self._disconnect),
                web.post("/statements", self._run_statement),
                web.post("/transactions/begin", self._begin),
                web.post("/transactions/commit", self._commit),
                web.post("/transactions/rollback", self._rollback),
                web.get("/status", self._status),
                web.post("/fence", self._fence),
                web.post("/open", self._open),
                web.post("/follow", self._follow),
                web.post("/log", self._log),
                web.get("/data", self._data),
            ]
        )
        return app

    def status(self) -> EndpointStatus:
        """Return the answer to `GET /status`."""
        return EndpointStatus(
            self.model.name,
            self.model.term,
            self.model.role,
            self.model.last_position,
            self.model.history,
            self.load(),
            self.followed_address,
            self.faults.leaving,
        )

    def load(self) -> Load:
        """Return the counts of statements and connections, with their limits."""
        self._remove_closed_connections()
        return Load(
            self._capacity.slots,
            self._executing,
            self._waiting,
            len(self._connections),
            self._capacity.connection_cap,
        )

    async def replicate(self) -> None:
        """Pull the log of the followed primary repeatedly, until cancelled."""
        local = (self._source, 0)
        connector = aiohttp.TCPConnector(local_addr=local)
        timeout = aiohttp.ClientTimeout(total=PULL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as http_session:
            while True:
                pause = await self._pull(http_session)
                await asyncio.sleep(pause)

    async def _pull(self, http_session: aiohttp.ClientSession) -> float:
        """Pull once and return the seconds to wait before the next pull."""
        address = self.followed_address
        if not address or self.faults.hang:
            return PULL_RETRY_SECONDS
        lag = self.faults.lag_ms / 1000
        model = self.model
        requested = PullModel(model.term, len(model.entries), model.history, lag)
        try:
            async with http_session.post(
                f"http://{address}/log", data=msgspec.json.encode(requested)
            ) as response:
                body = await response.read()
            if response.status != 200 or address != self.followed_address:
                return PULL_RETRY_SECONDS
            pulled = msgspec.json.decode(body, type=PulledModel)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return PULL_RETRY_SECONDS
        model.replicate(requested.term, pulled.shared, list(pulled.entries))
        return PULL_PAUSE_SECONDS

    async def _log(self, request: web.Request) -> web.Response:
        requested = msgspec.json.decode(await request.read(), type=PullModel)
        self.model.check_log_readable(requested.term)
        shared = self.model.shared_length(requested.history, requested.length)
        deadline = time.monotonic() + PULL_WAIT_SECONDS
        entries = self._visible_entries(shared, requested.lag_seconds)
        while not entries and shared == requested.length:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            await self._wait_for_entry(
                min(remaining, self._seconds_until_visible(shared, requested))
            )
            entries = self._visible_entries(shared, requested.lag_seconds)
        self.model.check_log_readable(requested.term)
        body = msgspec.json.encode(PulledModel(shared, entries))
        return web.Response(body=body)

    def _visible_entries(self, shared: int, lag: float) -> tuple[Entry, ...]:
        until = time.time() - lag
        newer = self.model.entries[shared : shared + MAX_PULLED_ENTRIES]
        return tuple(entry for entry in newer if entry.committed_at <= until)

    def _seconds_until_visible(self, shared: int, requested: PullModel) -> float:
        if shared >= len(self.model.entries):
            return PULL_WAIT_SECONDS
        visible_at = self.model.entries[shared].committed_at + requested.lag_seconds
        return max(visible_at - time.time(), 0.001)

    async def _wait_for_entry(self, seconds: float) -> None:
        self._entry_appended.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._entry_appended.wait(), seconds)

    async def _connect(self, request: web.Request) -> web.Response:
        if self.faults.leaving:
            raise RefusedError(
                "leaving", "the database is leaving and accepts no new connections"
            )
        await asyncio.sleep(self._capacity.connect_seconds)
        self._remove_closed_connections()
        if len(self._connections) >= self._capacity.connection_cap:
            raise RefusedError(
                "full", f"all {len(self._connections)} connections are in use"
            )
        self._opened_count += 1
        connection = OpenConnection(
            f"{self.model.name}-{self._opened_count}", request.transport
        )
        self._connections[connection.identifier] = connection
        return web.json_response({"connection": connection.identifier}, status=201)

    async def _disconnect(self, request: web.Request) -> web.Response:
        self._connections.pop(request.match_info["id"], None)
        return web.Response(status=204)

    def _remove_closed_connections(self) -> None:
        for identifier, connection in list(self._connections.items()):
            transport = connection.transport
            if transport is None or transport.is_closing():
                del self._connections[identifier]

    def _connection_of(self, request: web.Request) -> OpenConnection:
        identifier = request.headers.get("Connection-Id", "")
        connection = self._connections.get(identifier)
        if connection is None or connection.transport is not request.transport:
            raise RefusedError("unknown-connection", identifier)
        return connection

    @contextlib.asynccontextmanager
    async def _occupied_slot(self) -> AsyncIterator[None]:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._executing += 1
        try:
            await asyncio.sleep(self._capacity.service_seconds)
            yield
        finally:
            self._executing -= 1
            self._slots.release()

    async def _run_statement(self, request: web.Request) -> web.Response:
        connection = self._connection_of(request)
        operation = parse_operation(await request.read())
        headers = request.headers
        is_write = headers.get("Statement-Kind") == "write"
        term = int(headers.get("Term", "0"))
        if is_write:
            self.model.check_writable(term)
        async with self._occupied_slot():
            if connection.operations is not None:
                return self._run_in_transaction(connection, operation)
            if is_write:
                key = headers.get("Request-Key", "")
                committed = self._append_commit((operation,), term, key)
            else:
                at_least = Position.parse(headers.get("At-Least", str(ORIGIN)))
                body = self.model.read(operation, at_least)
                committed = CommitResult(body, self.model.last_position)
        return self._commit_response(committed)

    def _append_commit(
        self, operations: tuple[Operation, ...], term: int, key: str
    ) -> CommitResult:
        committed = self.model.commit(operations, term, key, time.time())
        self._entry_appended.set()
        return committed

    def _commit_response(self, committed: CommitResult) -> web.Response:
        headers = {
            "Position": str(committed.position),
            "Load": format_load(self.load()),
        }
        if committed.is_repeat:
            headers["Repeat"] = "true"
        return web.Response(body=committed.answer, headers=headers)

    def _run_in_transaction(
        self, connection: OpenConnection, operation: Operation
    ) -> web.Response:
        """Run a statement of an open transaction.

        It sees the committed data with the transaction's earlier writes. A write is
        kept for the commit.
        """
        self.model.check_writable(connection.term)
        view = dict(self.model.data)
        for earlier in connection.operations or ():
            apply_operation(view, earlier)
        result = apply_operation(view, operation)
        if operation.op != "get" and connection.operations is not None:
            connection.operations.append(operation)
        return self._commit_response(
            CommitResult(msgspec.json.encode(result), self.model.last_position)
        )

    async def _begin(self, request: web.Request) -> web.Response:
        connection = self._connection_of(request)
        if connection.operations is not None:
            raise RefusedError("statement", "a transaction is already open")
        term = int(request.headers.get("Term", "0"))
        self.model.check_writable(term)
        connection.operations = []
        connection.term = term
        return self._commit_response(CommitResult(b"", self.model.last_position))

    async def _commit(self, request: web.Request) -> web.Response:
        connection = self._connection_of(request)
        if connection.operations is None:
            raise RefusedError("statement", "no transaction is open")
        operations, connection.operations = tuple(connection.operations), None
        key = request.headers.get("Request-Key", "")
        async with self._occupied_slot():
            committed = self._append_commit(operations, connection.term, key)
        return self._commit_response(committed)

    async def _rollback(self, request: web.Request) -> web.Response:
        self._connection_of(request).operations = None
        return self._commit_response(CommitResult(b"", self.model.last_position))

    def _status_response(self) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.status()), content_type="application/json"
        )

    async def _status(self, request: web.Request) -> web.Response:
        return self._status_response()

    async def _fence(self, request: web.Request) -> web.Response:
        requested = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.fence(requested.term)
        if requested.term > 0 and self.model.role.value == "fenced":
            self.followed_address = ""
        return self._status_response()

    async def _open(self, request: web.Request) -> web.Response:
        requested = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.open(requested.term, time.time())
        self.followed_address = ""
        self._entry_appended.set()
        return self._status_response()

    async def _follow(self, request: web.Request) -> web.Response:
        requested = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.follow(requested.term)
        self.followed_address = requested.address
        return self._status_response()

    async def _data(self, request: web.Request) -> web.Response:
        return web.json_response(self.model.data)


def main() -> int:
    """Run the stand-in until SIGTERM or SIGINT."""
    flags = make_flag_parser(__doc__ or "")
    flags.add_argument("--name", required=True)
    flags.add_argument("--zone", default="")
    flags.add_argument("--slots", type=int, default=3)
    flags.add_argument("--connection-cap", type=int, default=20)
    flags.add_argument("--service-ms", type=float, default=2.0)
    flags.add_argument("--lag-ms", type=float, default=0.0)
    arguments = flags.parse_args()
    asyncio.run(_run(arguments))
    return 0


async def _run(arguments: object) -> None:
    values = vars(arguments)
    capacity = DatabaseCapacity(
        slots=values["slots"],
        connection_cap=values["connection_cap"],
        service_seconds=values["service_ms"] / 1000,
    )
    source, _ = split_address(values["listen"])
    standin = DatabaseStandin(values["name"], capacity, source)
    standin.faults.lag_ms = values["lag_ms"]
    await serve(standin.app, values["listen"], standin.replicate)


if __name__ == "__main__":
    sys.exit(main())
