"""A caller's connection to a proxy of a soak, which records what is sent on it."""

import asyncio

from tests.page_reader import MAX_MESSAGE_BYTES
from tests.soak_proxies import ProxyProcess
from tests.soak_statement_checker import Answer, Sent, SentSession

ANSWER_SECONDS = 5.0
CONNECT_SECONDS = 2.0


class CallerEndedError(Exception):
    """The connection has ended, or an answer has not arrived in time."""


class CallerConnection:
    """An open connection; statements on it get identifiers that are used once."""

    def __init__(
        self,
        session: SentSession,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Use the streams of a connection whose startup was answered."""
        self._session = session
        self._reader = reader
        self._writer = writer
        self._unanswered: list[Sent] = []

    @classmethod
    async def open(
        cls, proxy: ProxyProcess, database: str, session: SentSession
    ) -> "CallerConnection":
        """Connect, and start a session on a database name with the session's key."""
        front = proxy.front
        session.proxy = proxy.ip
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(
                front.ip, front.port, limit=MAX_MESSAGE_BYTES
            )
            writer.write(f"STARTUP {database} {session.key}\r\n".encode())
            try:
                line = await reader.readuntil(b"\r\n")
            except BaseException:
                writer.transport.abort()
                raise
        if not line.startswith(b"READY"):
            writer.transport.abort()
            raise CallerEndedError(line.decode())
        return cls(session, reader, writer)

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def write(self, data: bytes) -> None:
        """Send bytes that are no statement."""
        self._writer.write(data)

    def send(self, identifier: str, text: str) -> Sent:
        """Send a statement without waiting for its answer."""
        if self._writer.is_closing():
            raise CallerEndedError("closed by the proxy")
        sent = self._session.send(identifier, text)
        self._unanswered.append(sent)
        self._writer.write(f"QUERY {identifier} {text}\r\n".encode())
        return sent

    async def answer(self) -> Answer:
        """Return the answer to the first statement that has none yet."""
        rows: list[str] = []
        async with asyncio.timeout(ANSWER_SECONDS):
            word, rest = await self._read_line()
            while word == "DATAROW":
                rows.append(rest)
                word, rest = await self._read_line()
            last, state = await self._read_line()
        if last != "READY":
            raise CallerEndedError(f"{word} {rest}, then {last}")
        answer = Answer(word, rest, state.partition(" ")[0], tuple(rows))
        self._unanswered.pop(0).answer = answer
        return answer

    async def run(self, identifier: str, text: str) -> Answer:
        """Send a statement and return its answer."""
        self.send(identifier, text)
        return await self.answer()

    async def _read_line(self) -> tuple[str, str]:
        line = (await self._reader.readuntil(b"\r\n")).decode()
        word, _, rest = line.removesuffix("\r\n").partition(" ")
        return word, rest
