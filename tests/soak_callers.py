"""Callers of a soak's proxies, who keep their connections until those end."""

import asyncio
import random

from tests.soak_caller_connection import CallerConnection, CallerEndedError
from tests.soak_checker import Checker
from tests.soak_proxies import ProxyProcess
from tests.soak_statement_checker import DEFAULT_KEY, Answer

RETRY_SECONDS = 0.05
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
WRITING_DATABASE = "orders"
READING_DATABASE = "stock"


class Caller:
    """A caller who reconnects to the same proxy whenever a connection ends."""

    def __init__(
        self,
        number: int,
        proxy: ProxyProcess,
        checker: Checker,
        rng: random.Random,
        key: str = DEFAULT_KEY,
    ) -> None:
        """Create a caller; its statements' identifiers begin with `number`."""
        self._number = number
        self._key = key
        self._proxy = proxy
        self._checker = checker
        self._rng = rng
        self._statements = 0
        self._connection: CallerConnection | None = None
        self._database = READING_DATABASE if number % 4 == 3 else WRITING_DATABASE

    async def run(self) -> None:
        """Run operations for ever."""
        while True:
            try:
                await self._connect()
                while True:
                    await self._operate()
                    await asyncio.sleep(self._rng.choice((0.0, 0.005, 0.02)))
            except (OSError, EOFError, TimeoutError, CallerEndedError):
                await asyncio.sleep(RETRY_SECONDS)
            finally:
                self._close()

    async def _connect(self) -> None:
        session = self._checker.statements.open_session(
            f"caller {self._number}", self._key
        )
        self._connection = await CallerConnection.open(
            self._proxy, self._database, session
        )

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    async def _operate(self) -> None:
        if self._database == READING_DATABASE:
            await self._send("READ item")
        elif self._rng.random() < 0.7:
            await self._finish(*await self._send("WRITE item data"))
        else:
            await self._transact()

    async def _transact(self) -> None:
        for text in ("BEGIN", *["WRITE item data"] * self._rng.randint(1, 3)):
            _, answer = await self._send(text)
            if answer.word != "COMPLETE":
                await self._send("ROLLBACK")
                return
            await asyncio.sleep(self._rng.choice((0.0, 0.01)))
        await self._finish(*await self._send("COMMIT"))

    async def _finish(self, identifier: str, answer: Answer) -> None:
        if answer.word == "COMPLETE" and answer.text != "-":
            self._checker.record_report(identifier, self._proxy.name)
        elif answer.code in PROMISES:
            self._checker.record_promise(identifier)
        if answer.state != "I":
            await self._send("ROLLBACK")

    async def _send(self, text: str) -> tuple[str, Answer]:
        """Send a statement; return its identifier and the answer."""
        assert self._connection is not None
        self._statements += 1
        identifier = f"{self._number}-{self._statements}"
        return identifier, await self._connection.run(identifier, text)
