"""A simulated database for tests of code that opens connections to databases."""

import asyncio
from collections.abc import Callable

from beryltiller.core.ports import (
    EndpointAnswer,
    EndpointStatus,
    Load,
    LostAnswerError,
    RefusedError,
    Statement,
)
from beryltiller.core.position import Position

OPEN_SECONDS = 0.01


class FakeConnection:
    """A connection that runs one statement at a time, which its body describes.

    The body `sleep 0.5` takes that many seconds, `lost` loses the answer, and `refuse
    CODE` refuses with that code; any other body returns. Concurrent use, use after a
    failure, and a body `plain` inside a transaction are recorded as violations.
    """

    def __init__(self, endpoint: "FakeEndpoint", number: int) -> None:
        self.endpoint = endpoint
        self.identifier = f"c{number}"
        self.is_busy = False
        self.is_broken = False
        self.transaction: list[bytes] | None = None

    async def run(self, statement: Statement) -> EndpointAnswer:
        if statement.body == b"plain" and self.transaction is not None:
            self.endpoint.violations.append(
                f"plain statement in transaction on {self.identifier}"
            )
        answer = await self._do(statement.body)
        if self.transaction is not None:
            self.transaction.append(statement.body)
        return answer

    async def begin(self, term: int) -> None:
        await self._do(b"begin")
        self.transaction = []

    async def commit(self, key: str = "") -> EndpointAnswer:
        answer = await self._do(key.encode() or b"commit")
        self.endpoint.log.append(tuple(self.transaction or ()))
        self.transaction = None
        return answer

    async def rollback(self) -> None:
        await self._do(b"rollback")
        self.transaction = None

    async def close(self) -> None:
        await asyncio.sleep(0.001)
        self.endpoint.open_connections.discard(self)

    async def _do(self, body: bytes) -> EndpointAnswer:
        if self.is_busy or self.is_broken or self not in self.endpoint.open_connections:
            self.endpoint.violations.append(
                f"invalid use: {body!r} on {self.identifier}"
            )
        self.is_busy = self.is_broken = True
        words = body.decode().split()
        await asyncio.sleep(float(words[1]) if words[0] == "sleep" else 0.002)
        self.is_busy = False
        if words[0] == "lost":
            raise LostAnswerError("cut")
        if words[0] == "refuse":
            self.is_broken = words[1] not in ("behind", "term")
            raise RefusedError(words[1])
        self.is_broken = False
        load = Load(
            slots=3, executing=1, connections=len(self.endpoint.open_connections)
        )
        return EndpointAnswer(body, Position(1, 1), load)


class FakeEndpoint:
    """A database that opens connections up to a cap and records violations.

    `fault` returns the exception that the next attempt to connect raises, or None.
    `log` has the statements of each committed transaction.
    """

    def __init__(self, cap: int = 20) -> None:
        self.cap = cap
        self.fault: Callable[[], Exception | None] = lambda: None
        self.open_connections: set[FakeConnection] = set()
        self.peak_open_connections = 0
        self.connect_attempts = 0
        self.violations: list[str] = []
        self.log: list[tuple[bytes, ...]] = []

    async def connect(self) -> FakeConnection:
        self.connect_attempts += 1
        if (fault := self.fault()) is not None:
            raise fault
        if len(self.open_connections) >= self.cap:
            raise RefusedError("full")
        connection = FakeConnection(self, self.connect_attempts)
        self.open_connections.add(connection)
        self.peak_open_connections = max(
            self.peak_open_connections, len(self.open_connections)
        )
        try:
            await asyncio.sleep(OPEN_SECONDS)
        except asyncio.CancelledError:
            self.open_connections.discard(connection)
            raise
        return connection

    async def status(self) -> EndpointStatus:
        raise NotImplementedError

    async def fence(self, term: int) -> EndpointStatus:
        raise NotImplementedError

    async def open(self, term: int) -> EndpointStatus:
        raise NotImplementedError

    async def follow(self, term: int, address: str) -> EndpointStatus:
        raise NotImplementedError
