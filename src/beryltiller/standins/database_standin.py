"""Stand-in for one database of a group: slots, connections and replication."""

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
    Committed,
    DatabaseModel,
    Entry,
    Operation,
    apply_operation,
    parse_operation,
)
from beryltiller.standins.standin import (
    Faults,
    faults_handler,
    parser,
    serve,
    split_address,
    with_faults,
)

PULL_WAIT_SECONDS = 0.2
PULL_PAUSE_SECONDS = 0.002
PULL_RETRY_SECONDS = 0.05
PULL_TIMEOUT_SECONDS = 1.0
PULL_MOST_ENTRIES = 500


class TermModel(msgspec.Struct, frozen=True):
    """Hold the body of `fence`, `open` and `follow`."""

    term: int
    address: str = ""


class PullModel(msgspec.Struct, frozen=True):
    """Hold what a replica has, so that the primary can find the shared part."""

    term: int
    length: int
    history: History
    lag_seconds: float = 0.0


class PulledModel(msgspec.Struct, frozen=True):
    """Hold the length of the shared part and the entries that follow it."""

    shared: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Sizes:
    """Bound what one database takes on."""

    slots: int = 3
    connection_cap: int = 20
    connect_seconds: float = 0.010
    service_seconds: float = 0.002


@dataclass(slots=True)
class Session:
    """Keep one connection: its TCP connection and its open transaction."""

    identifier: str
    transport: asyncio.BaseTransport | None
    operations: list[Operation] | None = None
    term: int = 0


class DatabaseStandin:
    """Answer the endpoint protocol from a `DatabaseModel`."""

    def __init__(self, name: str, sizes: Sizes, source: str = "127.0.0.1") -> None:
        """Start empty, fenced at term 0; `source` is where pulls come from."""
        self.faults = Faults()
        self.model = DatabaseModel(name)
        self.following = ""
        self._sizes = sizes
        self._source = source
        self._sessions: dict[str, Session] = {}
        self._opened = 0
        self._slots = asyncio.Semaphore(sizes.slots)
        self._executing = 0
        self._waiting = 0
        self._appended = asyncio.Event()

    @property
    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[with_faults(self.faults)])
        app.add_routes(
            [
                web.post("/faults", faults_handler(self.faults)),
                web.post("/connections", self._connect),
                web.delete("/connections/{id}", self._disconnect),
                web.post("/statements", self._statement),
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
        """Return the database's view of itself."""
        return EndpointStatus(
            self.model.name,
            self.model.term,
            self.model.role,
            self.model.last,
            self.model.history,
            self.load(),
            self.following,
            self.faults.leaving,
        )

    def load(self) -> Load:
        """Return the present counts of work and connections."""
        self._forget_closed()
        return Load(
            self._sizes.slots,
            self._executing,
            self._waiting,
            len(self._sessions),
            self._sizes.connection_cap,
        )

    async def replicate(self) -> None:
        """Pull the log from the primary that is followed, for ever."""
        local = (self._source, 0)
        connector = aiohttp.TCPConnector(local_addr=local)
        timeout = aiohttp.ClientTimeout(total=PULL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            while True:
                pause = await self._pull(session)
                await asyncio.sleep(pause)

    async def _pull(self, session: aiohttp.ClientSession) -> float:
        address = self.following
        if not address or self.faults.hang:
            return PULL_RETRY_SECONDS
        lag = self.faults.lag_ms / 1000
        model = self.model
        asked = PullModel(model.term, len(model.entries), model.history, lag)
        try:
            async with session.post(
                f"http://{address}/log", data=msgspec.json.encode(asked)
            ) as response:
                body = await response.read()
            if response.status != 200 or address != self.following:
                return PULL_RETRY_SECONDS
            pulled = msgspec.json.decode(body, type=PulledModel)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return PULL_RETRY_SECONDS
        model.replicate(asked.term, pulled.shared, list(pulled.entries))
        return PULL_PAUSE_SECONDS

    async def _log(self, request: web.Request) -> web.Response:
        asked = msgspec.json.decode(await request.read(), type=PullModel)
        self.model.check_log_readable(asked.term)
        shared = self.model.shared_length(asked.history, asked.length)
        deadline = time.monotonic() + PULL_WAIT_SECONDS
        entries = self._ripe(shared, asked.lag_seconds)
        while not entries and shared == asked.length:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            await self._wait_for_entry(min(remaining, self._ripens_in(shared, asked)))
            entries = self._ripe(shared, asked.lag_seconds)
        self.model.check_log_readable(asked.term)
        body = msgspec.json.encode(PulledModel(shared, entries))
        return web.Response(body=body)

    def _ripe(self, shared: int, lag: float) -> tuple[Entry, ...]:
        until = time.time() - lag
        newer = self.model.entries[shared : shared + PULL_MOST_ENTRIES]
        return tuple(entry for entry in newer if entry.committed_at <= until)

    def _ripens_in(self, shared: int, asked: PullModel) -> float:
        if shared >= len(self.model.entries):
            return PULL_WAIT_SECONDS
        ripe_at = self.model.entries[shared].committed_at + asked.lag_seconds
        return max(ripe_at - time.time(), 0.001)

    async def _wait_for_entry(self, seconds: float) -> None:
        self._appended.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._appended.wait(), seconds)

    async def _connect(self, request: web.Request) -> web.Response:
        if self.faults.leaving:
            raise RefusedError("leaving", "takes no new connections")
        await asyncio.sleep(self._sizes.connect_seconds)
        self._forget_closed()
        if len(self._sessions) >= self._sizes.connection_cap:
            raise RefusedError("full", f"{len(self._sessions)} connections")
        self._opened += 1
        session = Session(f"{self.model.name}-{self._opened}", request.transport)
        self._sessions[session.identifier] = session
        return web.json_response({"connection": session.identifier}, status=201)

    async def _disconnect(self, request: web.Request) -> web.Response:
        self._sessions.pop(request.match_info["id"], None)
        return web.Response(status=204)

    def _forget_closed(self) -> None:
        for identifier, session in list(self._sessions.items()):
            transport = session.transport
            if transport is None or transport.is_closing():
                del self._sessions[identifier]

    def _session(self, request: web.Request) -> Session:
        identifier = request.headers.get("Connection-Id", "")
        session = self._sessions.get(identifier)
        if session is None or session.transport is not request.transport:
            raise RefusedError("unknown-connection", identifier)
        return session

    @contextlib.asynccontextmanager
    async def _slot(self) -> AsyncIterator[None]:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._executing += 1
        try:
            await asyncio.sleep(self._sizes.service_seconds)
            yield
        finally:
            self._executing -= 1
            self._slots.release()

    async def _statement(self, request: web.Request) -> web.Response:
        session = self._session(request)
        operation = parse_operation(await request.read())
        headers = request.headers
        is_write = headers.get("Statement-Kind") == "write"
        term = int(headers.get("Term", "0"))
        if is_write:
            self.model.check_writable(term)
        async with self._slot():
            if session.operations is not None:
                return self._buffer(session, operation)
            if is_write:
                key = headers.get("Request-Key", "")
                committed = self._commit_now((operation,), term, key)
            else:
                at_least = Position.parse(headers.get("At-Least", str(ORIGIN)))
                body = self.model.read(operation, at_least)
                committed = Committed(body, self.model.last)
        return self._answer(committed)

    def _commit_now(
        self, operations: tuple[Operation, ...], term: int, key: str
    ) -> Committed:
        committed = self.model.commit(operations, term, key, time.time())
        self._appended.set()
        return committed

    def _answer(self, committed: Committed) -> web.Response:
        headers = {
            "Position": str(committed.position),
            "Load": format_load(self.load()),
        }
        if committed.is_repeat:
            headers["Repeat"] = "true"
        return web.Response(body=committed.answer, headers=headers)

    def _buffer(self, session: Session, operation: Operation) -> web.Response:
        """Run a statement of a transaction against its own view of the data."""
        self.model.check_writable(session.term)
        view = dict(self.model.data)
        for earlier in session.operations or ():
            apply_operation(view, earlier)
        result = apply_operation(view, operation)
        if operation.op != "get" and session.operations is not None:
            session.operations.append(operation)
        return self._answer(Committed(msgspec.json.encode(result), self.model.last))

    async def _begin(self, request: web.Request) -> web.Response:
        session = self._session(request)
        if session.operations is not None:
            raise RefusedError("statement", "a transaction is already open")
        term = int(request.headers.get("Term", "0"))
        self.model.check_writable(term)
        session.operations = []
        session.term = term
        return self._answer(Committed(b"", self.model.last))

    async def _commit(self, request: web.Request) -> web.Response:
        session = self._session(request)
        if session.operations is None:
            raise RefusedError("statement", "no transaction is open")
        operations, session.operations = tuple(session.operations), None
        key = request.headers.get("Request-Key", "")
        async with self._slot():
            committed = self._commit_now(operations, session.term, key)
        return self._answer(committed)

    async def _rollback(self, request: web.Request) -> web.Response:
        self._session(request).operations = None
        return self._answer(Committed(b"", self.model.last))

    def _status_response(self) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.status()), content_type="application/json"
        )

    async def _status(self, request: web.Request) -> web.Response:
        return self._status_response()

    async def _fence(self, request: web.Request) -> web.Response:
        asked = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.fence(asked.term)
        if asked.term > 0 and self.model.role.value == "fenced":
            self.following = ""
        return self._status_response()

    async def _open(self, request: web.Request) -> web.Response:
        asked = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.open(asked.term, time.time())
        self.following = ""
        self._appended.set()
        return self._status_response()

    async def _follow(self, request: web.Request) -> web.Response:
        asked = msgspec.json.decode(await request.read(), type=TermModel)
        self.model.follow(asked.term)
        self.following = asked.address
        return self._status_response()

    async def _data(self, request: web.Request) -> web.Response:
        return web.json_response(self.model.data)


def main() -> int:
    """Run the stand-in until it is told to stop."""
    flags = parser(__doc__ or "")
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
    sizes = Sizes(
        slots=values["slots"],
        connection_cap=values["connection_cap"],
        service_seconds=values["service_ms"] / 1000,
    )
    source, _ = split_address(values["listen"])
    standin = DatabaseStandin(values["name"], sizes, source)
    standin.faults.lag_ms = values["lag_ms"]
    await serve(standin.app, values["listen"], standin.replicate)


if __name__ == "__main__":
    sys.exit(main())
