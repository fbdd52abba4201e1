"""Stand-in for one database of a group, as a process with an HTTP interface.

It bounds connections and concurrent statements, and a replica pulls the primary's log.
"""

import asyncio
import sys
import time

import msgspec
from aiohttp import web

from beryltiller.adapters.endpoints import format_load
from beryltiller.core.ports import EndpointStatus, RefusedError
from beryltiller.core.position import ORIGIN, Position
from beryltiller.standins.database_connections import (
    DatabaseCapacity,
    DatabaseConnections,
    OpenConnection,
)
from beryltiller.standins.database_model import (
    CommitResult,
    DatabaseModel,
    Operation,
    apply_operation,
    parse_operation,
)
from beryltiller.standins.log_replication import LogReplicator
from beryltiller.standins.standin_server import (
    Faults,
    faults_handler,
    faults_middleware,
    make_flag_parser,
    serve,
    split_address,
)


class TermModel(msgspec.Struct, frozen=True):
    """The body of `/fence`, `/open` and `/follow`.

    `address` is that of the primary to follow; the others ignore it.
    """

    term: int
    address: str = ""


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
        self._connections = DatabaseConnections(name, capacity, self.faults)
        self._replicator = LogReplicator(self.model, self.faults, source)

    @property
    def app(self) -> web.Application:
        """The HTTP application, with the faults as a middleware."""
        app = web.Application(middlewares=[faults_middleware(self.faults)])
        app.add_routes(
            [
                web.post("/faults", faults_handler(self.faults)),
                web.post("/connections", self._connections.connect),
                web.delete("/connections/{id}", self._connections.disconnect),
                web.post("/statements", self._run_statement),
                web.post("/transactions/begin", self._begin),
                web.post("/transactions/commit", self._commit),
                web.post("/transactions/rollback", self._rollback),
                web.get("/status", self._status),
                web.post("/fence", self._fence),
                web.post("/open", self._open),
                web.post("/follow", self._follow),
                web.post("/log", self._replicator.answer_pull),
                web.get("/data", self._data),
            ]
        )
        return app

    @property
    def followed_address(self) -> str:
        """The address of the primary whose log is pulled, or "" for none."""
        return self._replicator.followed_address

    @followed_address.setter
    def followed_address(self, address: str) -> None:
        self._replicator.followed_address = address

    async def replicate(self) -> None:
        """Pull the log of the followed primary repeatedly, until cancelled."""
        await self._replicator.replicate()

    def status(self) -> EndpointStatus:
        """Return the answer to `GET /status`."""
        return EndpointStatus(
            self.model.name,
            self.model.term,
            self.model.role,
            self.model.last_position,
            self.model.history,
            self._connections.load(),
            self._replicator.followed_address,
            self.faults.leaving,
        )

    async def _run_statement(self, request: web.Request) -> web.Response:
        connection = self._connections.connection_of(request)
        operation = parse_operation(await request.read())
        headers = request.headers
        is_write = headers.get("Statement-Kind") == "write"
        term = int(headers.get("Term", "0"))
        if is_write:
            self.model.check_writable(term)
        async with self._connections.occupied_slot():
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
        self._replicator.notify_appended()
        return committed

    def _commit_response(self, committed: CommitResult) -> web.Response:
        headers = {
            "Position": str(committed.position),
            "Load": format_load(self._connections.load()),
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
        connection = self._connections.connection_of(request)
        if connection.operations is not None:
            raise RefusedError("statement", "a transaction is already open")
        term = int(request.headers.get("Term", "0"))
        self.model.check_writable(term)
        connection.operations = []
        connection.term = term
        return self._commit_response(CommitResult(b"", self.model.last_position))

    async def _commit(self, request: web.Request) -> web.Response:
        connection = self._connections.connection_of(request)
        if connection.operations is None:
            raise RefusedError("statement", "no transaction is open")
        operations, connection.operations = tuple(connection.operations), None
        key = request.headers.get("Request-Key", "")
        async with self._connections.occupied_slot():
            committed = self._append_commit(operations, connection.term, key)
        return self._commit_response(committed)

    async def _rollback(self, request: web.Request) -> web.Response:
        self._connections.connection_of(request).operations = None
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
            self._replicator.followed_address = ""
        return self._status_response()

    async def _open(self, request: web.Request) -> web.Response:
        requested = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.open(requested.term, time.time())
        self._replicator.followed_address = ""
        self._replicator.notify_appended()
        return self._status_response()

    async def _follow(self, request: web.Request) -> web.Response:
        requested = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.follow(requested.term)
        self._replicator.followed_address = requested.address
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
