"""HTTP client of a database: its connections, status and terms."""

from contextlib import AsyncExitStack
from typing import Annotated, TypeVar

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core.decoding import DecodingError, decode_json, parse_count
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
# Only an upper limit: the dispatcher cancels each request of a transaction at the
# deadline of its caller.
TRANSACTION_TIMEOUT_SECONDS = 60.0


# The identifier is sent back in a header, which holds visible ASCII safely.
_Identifier = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}\Z")]


class ConnectionModel(msgspec.Struct, frozen=True):
    """The database's answer to opening a connection, with its identifier."""

    connection: _Identifier


def parse_load(text: str) -> Load:
    """Parse a `Load` header; an empty text gives a load of zeros.

    >>> parse_load("3,1,0,7,20").connections
    7
    """
    if not text:
        return Load()
    return Load(*map(parse_count, text.split(",")))


def format_load(load: Load) -> str:
    """Return the value of the `Load` header: five counts, separated by commas.

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


def _request_timeout(seconds: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=seconds, connect=CONNECT_TIMEOUT_SECONDS)


def _parse_answer(reply: transport.Reply) -> EndpointAnswer:
    headers = reply.headers
    try:
        position = Position.parse(headers["Position"])
        load = parse_load(headers.get("Load", ""))
    except (KeyError, ValueError, TypeError) as error:
        raise LostAnswerError(f"answer has unreadable headers: {error!r}") from error
    return EndpointAnswer(reply.body, position, load, headers.get("Repeat") == "true")


def _build_headers(statement: Statement, connection: str) -> dict[str, str]:
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
    """A connection to a database, carried by exactly one TCP connection.

    The database binds the connection's identifier to the TCP connection. If the HTTP
    client reconnects unnoticed, the database refuses the request, so the loss of the
    open transaction is reported as an error.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        identifier: str,
        max_answer_bytes: int,
    ) -> None:
        """Own `session`, which must be limited to a single TCP connection."""
        self._session = session
        self._max_answer_bytes = max_answer_bytes
        self._url = url
        self._identifier = identifier

    @property
    def identifier(self) -> str:
        """Return the identifier that the database gave to this connection."""
        return self._identifier

    async def run(self, statement: Statement) -> EndpointAnswer:
        """Run a statement and return its complete answer."""
        headers = _build_headers(statement, self._identifier)
        timeout = _request_timeout(statement.timeout_seconds)
        return _parse_answer(
            await self._send("statements", statement.body, headers, timeout)
        )

    async def begin(self, term: int) -> None:
        """Start a transaction on this connection, in the given term."""
        await self._send_transaction("begin", {"Term": str(term)})

    async def commit(self, key: str = "") -> EndpointAnswer:
        """Commit the transaction as one log entry, whose position the answer has."""
        return await self._send_transaction(
            "commit", {"Request-Key": key} if key else {}
        )

    async def rollback(self) -> None:
        """Roll the transaction back."""
        await self._send_transaction("rollback", {})

    async def close(self) -> None:
        """Close the TCP connection; the database then closes its connection too."""
        await self._session.close()

    async def _send_transaction(
        self, verb: str, headers: dict[str, str]
    ) -> EndpointAnswer:
        headers["Connection-Id"] = self._identifier
        timeout = _request_timeout(TRANSACTION_TIMEOUT_SECONDS)
        reply = await self._send(f"transactions/{verb}", b"", headers, timeout)
        return _parse_answer(reply)

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
            raise RefusedError("statement", f"database has no operation {path}")
        return reply


class HttpEndpoint:
    """A client of the database at `address` (`ip:port`), from the IP `source`."""

    def __init__(
        self,
        control: aiohttp.ClientSession,
        address: str,
        source: str,
        max_answer_bytes: int = transport.MAX_ANSWER_BYTES,
    ) -> None:
        """Use `control` for status and terms; each connection has its own session."""
        self._control = control
        self._max_answer_bytes = max_answer_bytes
        self._url = f"http://{address}"
        self._source = source

    async def connect(self) -> HttpConnection:
        """Open a connection.

        Raise `RefusedError` with code `full` if the database allows no more.
        """
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
            timeout = _request_timeout(CONNECT_TIMEOUT_SECONDS)
            reply = await transport.send(
                session, "POST", f"{self._url}/connections", timeout=timeout
            )
            model = self._decode(reply, ConnectionModel)
            stack.pop_all()
        return HttpConnection(
            session, self._url, model.connection, self._max_answer_bytes
        )

    async def status(self) -> EndpointStatus:
        """Return the status that the database reports about itself."""
        return await self._send_control("GET", "status")

    async def fence(self, term: int) -> EndpointStatus:
        """Make the database refuse all work of terms below `term`."""
        return await self._send_control("POST", "fence", {"term": term})

    async def open(self, term: int) -> EndpointStatus:
        """Make the database, fenced at `term`, the primary of that term."""
        return await self._send_control("POST", "open", {"term": term})

    async def follow(self, term: int, address: str) -> EndpointStatus:
        """Make the database replicate from the primary of `term` at `address`."""
        return await self._send_control(
            "POST", "follow", {"term": term, "address": address}
        )

    async def _send_control(
        self, method: str, verb: str, body: dict[str, object] | None = None
    ) -> EndpointStatus:
        data = msgspec.json.encode(body) if body is not None else None
        timeout = _request_timeout(CONTROL_TIMEOUT_SECONDS)
        url = f"{self._url}/{verb}"
        reply = await transport.send(self._control, method, url, data, timeout=timeout)
        return self._decode(reply, EndpointStatus)

    @staticmethod
    def _decode(reply: transport.Reply, model: type[_T]) -> _T:
        try:
            return decode_json(reply.body, model)
        except DecodingError as error:
            raise LostAnswerError(f"answer has an unreadable body: {error}") from error
