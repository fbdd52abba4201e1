"""Adapter to a database: its connections and its place in the group."""

from contextlib import AsyncExitStack
from typing import TypeVar

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core.ports import (
    EndpointAnswer,
    EndpointStatus,
    Load,
    LostAnswerError,
    RefusedError,
    Statement,
)
from beryltiller.core.position import ORIGIN, Position

_T = TypeVar("_T")

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 1.0
# The dispatcher ends a step at its caller's deadline; this bound is behind it.
TRANSACTION_TIMEOUT_SECONDS = 60.0


class ConnectionModel(msgspec.Struct, frozen=True):
    """Hold the answer to an opened connection."""

    connection: str


def parse_load(text: str) -> Load:
    """Return the counts of a `Load` header, or zeros when it is absent.

    >>> parse_load("3,1,0,7,20").connections
    7
    """
    if not text:
        return Load()
    return Load(*map(int, text.split(",")))


def format_load(load: Load) -> str:
    """Return a `Load` header.

    >>> format_load(parse_load("3,1,0,7,20"))
    '3,1,0,7,20'
    """
    counts = (
        load.slots,
        load.executing,
        load.waiting,
        load.connections,
        load.connection_cap,
    )
    return ",".join(map(str, counts))


def _timeout(seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=seconds, connect=CONNECT_TIMEOUT_SECONDS)


def _answer(reply: transport.Reply) -> EndpointAnswer:
    headers = reply.headers
    try:
        position = Position.parse(headers["Position"])
        load = parse_load(headers.get("Load", ""))
    except (KeyError, ValueError, TypeError) as error:
        raise LostAnswerError(f"unreadable answer: {error!r}") from error
    return EndpointAnswer(reply.body, position, load, headers.get("Repeat") == "true")


def _statement_headers(statement: Statement, connection: str) -> dict[str, str]:
    headers = {"Connection-Id": connection}
    headers["Statement-Kind"] = "write" if statement.kind.is_write else "read"
    if statement.term:
        headers["Term"] = str(statement.term)
    if statement.at_least != ORIGIN:
        headers["At-Least"] = str(statement.at_least)
    if statement.key:
        headers["Request-Key"] = statement.key
    if statement.trace_parent:
        headers["traceparent"] = statement.trace_parent
    return headers


class HttpConnection:
    """Hold one database connection, which is one TCP connection.

    The database knows the connection by an identifier bound to the TCP
    connection, so a silent reconnect is refused instead of losing a transaction.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        identifier: str,
        max_answer_bytes: int,
    ) -> None:
        """Own `session`, whose only TCP connection is this connection."""
        self._session = session
        self._max_answer_bytes = max_answer_bytes
        self._url = url
        self._identifier = identifier

    @property
    def identifier(self) -> str:
        """Return the database's name for this connection."""
        return self._identifier

    async def run(self, statement: Statement) -> EndpointAnswer:
        """Run a statement and return its whole answer."""
        headers = _statement_headers(statement, self._identifier)
        timeout = _timeout(statement.timeout_seconds)
        return _answer(await self._send("statements", statement.body, headers, timeout))

    async def begin(self, term: int) -> None:
        """Start a transaction on this connection."""
        await self._transaction("begin", {"Term": str(term)})

    async def commit(self, key: str = "") -> EndpointAnswer:
        """Commit the transaction as one log entry and return its position."""
        return await self._transaction("commit", {"Request-Key": key} if key else {})

    async def rollback(self) -> None:
        """Drop the transaction."""
        await self._transaction("rollback", {})

    async def close(self) -> None:
        """Close the TCP connection, and with it the database's connection."""
        await self._session.close()

    async def _transaction(self, verb: str, headers: dict[str, str]) -> EndpointAnswer:
        headers["Connection-Id"] = self._identifier
        timeout = _timeout(TRANSACTION_TIMEOUT_SECONDS)
        reply = await self._send(f"transactions/{verb}", b"", headers, timeout)
        return _answer(reply)

    async def _send(
        self,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout: aiohttp.ClientTimeout,
    ) -> transport.Reply:
        url = f"{self._url}/{path}"
        reply = await transport.send(self._session, "POST", url, body, headers, timeout)
        if reply.status == 404:
            raise RefusedError("statement", f"no operation {path}")
        return reply


class HttpEndpoint:
    """Speak to the database at `address` (`ip:port`), from the IP `source`."""

    def __init__(
        self,
        control: aiohttp.ClientSession,
        address: str,
        source: str,
        max_answer_bytes: int = transport.MAX_ANSWER_BYTES,
    ) -> None:
        """Use `control` for status and terms; connections have their own."""
        self._control = control
        self._max_answer_bytes = max_answer_bytes
        self._url = f"http://{address}"
        self._source = source

    async def connect(self) -> HttpConnection:
        """Open a connection, or raise `RefusedError` with code `full`."""
        connector = aiohttp.TCPConnector(
            limit=1,
            local_addr=(self._source, 0),
            keepalive_timeout=3600,
            use_dns_cache=False,
        )
        async with AsyncExitStack() as stack:
            session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
            stack.push_async_callback(session.close)
            timeout = _timeout(CONNECT_TIMEOUT_SECONDS)
            reply = await transport.send(
                session, "POST", f"{self._url}/connections", timeout=timeout
            )
            model = self._decoded(reply, ConnectionModel)
            stack.pop_all()
        return HttpConnection(
            session, self._url, model.connection, self._max_answer_bytes
        )

    async def status(self) -> EndpointStatus:
        """Return the database's own view of itself."""
        return await self._term("GET", "status")

    async def fence(self, term: int) -> EndpointStatus:
        """Refuse all work of terms below `term` from now on."""
        return await self._term("POST", "fence", {"term": term})

    async def open(self, term: int) -> EndpointStatus:
        """Make a database fenced at `term` the primary of that term."""
        return await self._term("POST", "open", {"term": term})

    async def follow(self, term: int, address: str) -> EndpointStatus:
        """Replicate from the primary of `term` at `address`."""
        return await self._term("POST", "follow", {"term": term, "address": address})

    async def _term(
        self, method: str, verb: str, body: dict[str, object] | None = None
    ) -> EndpointStatus:
        data = msgspec.json.encode(body) if body is not None else None
        timeout = _timeout(CONTROL_TIMEOUT_SECONDS)
        url = f"{self._url}/{verb}"
        reply = await transport.send(self._control, method, url, data, timeout=timeout)
        return self._decoded(reply, EndpointStatus)

    @staticmethod
    def _decoded(reply: transport.Reply, model: type[_T]) -> _T:
        try:
            return msgspec.json.decode(reply.body, type=model)
        except msgspec.MsgspecError as error:
            raise LostAnswerError(f"unreadable answer: {error}") from error
