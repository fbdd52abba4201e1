"""Connections to a stand-in database, with its limits on them and on statements."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

from beryltiller.core.ports import Load, RefusedError
from beryltiller.standins.database_model import Operation
from beryltiller.standins.standin_server import Faults


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


class DatabaseConnections:
    """The open connections of one stand-in, and its slots for concurrent statements."""

    def __init__(self, name: str, capacity: DatabaseCapacity, faults: Faults) -> None:
        """Create connections to database `name`, none of them open."""
        self._name = name
        self._capacity = capacity
        self._faults = faults
        self._connections: dict[str, OpenConnection] = {}
        self._opened_count = 0
        self._slots = asyncio.Semaphore(capacity.slots)
        self._executing = 0
        self._waiting = 0

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

    async def connect(self, request: web.Request) -> web.Response:
        """Answer `POST /connections`: open a connection within the cap."""
        if self._faults.leaving:
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
            f"{self._name}-{self._opened_count}", request.transport
        )
        self._connections[connection.identifier] = connection
        return web.json_response({"connection": connection.identifier}, status=201)

    async def disconnect(self, request: web.Request) -> web.Response:
        """Answer `DELETE /connections/{id}`."""
        self._connections.pop(request.match_info["id"], None)
        return web.Response(status=204)

    def _remove_closed_connections(self) -> None:
        for identifier, connection in list(self._connections.items()):
            transport = connection.transport
            if transport is None or transport.is_closing():
                del self._connections[identifier]

    def connection_of(self, request: web.Request) -> OpenConnection:
        """Return the connection that a request names, if it came over it.

        Raise `RefusedError` otherwise.
        """
        identifier = request.headers.get("Connection-Id", "")
        connection = self._connections.get(identifier)
        if connection is None or connection.transport is not request.transport:
            raise RefusedError("unknown-connection", identifier)
        return connection

    @contextlib.asynccontextmanager
    async def occupied_slot(self) -> AsyncIterator[None]:
        """Wait for a free slot, and occupy it for the service time and the block."""
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
