"""The servers of a soak's databases, for proxies, over the platform's line protocol."""

import asyncio
import itertools
import time
from contextlib import AsyncExitStack
from typing import Any

from tests.page_reader import (
    MAX_MESSAGE_BYTES,
    Prepared,
    Query,
    SessionState,
    UnreadableError,
    read_query,
)
from tests.soak_connection_record import Startup
from tests.soak_database import SERVICE, Commit, SoakDatabase
from tests.soak_databases import SoakGroup
from tests.soak_statement_checker import Ran

WORK_SECONDS = 0.002
MAX_CONNECTIONS = 40
# Outside of calm times, a connection refuses one statement of this many as busy.
STATEMENTS_PER_REFUSAL = 40
LINE_END = b"\r\n"
COMMANDS = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")
STATE_WORDS = ("SET", "PREPARE", "DEALLOCATE", "RESET")
# Ends of rows: blanks, words of the protocol and separators of other kinds.
ROW_ENDS = ("", " ", "  READY I -", "\u2028\u0085\xa0x\0")

_serials = itertools.count(1)


class DatabaseServers:
    """Starts and ends the databases' processes, which are servers on the event loop."""

    def __init__(
        self,
        group: SoakGroup,
        stack: AsyncExitStack,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Serve the databases of `group` until `stack` closes."""
        self._group = group
        self._max_connections = max_connections
        self._servers: dict[SoakDatabase, asyncio.Server] = {}
        self._tasks: dict[SoakDatabase, set[asyncio.Task[None]]] = {}
        stack.push_async_callback(self._close)

    async def start(self, database: SoakDatabase) -> None:
        """Start a database, at the port that it had or at a free one.

        If it comes back with its log, it counts as the same start.
        """
        sessions = self._tasks.setdefault(database, set())

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            session = DatabaseSession(self._group, database, reader, writer)
            is_full = len(sessions) >= self._max_connections
            task = asyncio.get_running_loop().create_task(session.serve(is_full))
            sessions.add(task)
            task.add_done_callback(sessions.discard)
            task.add_done_callback(lambda _: writer.transport.abort())

        server = await asyncio.start_server(
            accept, database.ip, database.port, limit=MAX_MESSAGE_BYTES
        )
        database.port = server.sockets[0].getsockname()[1]
        database.born_ms = database.born_ms or round(time.time() * 1000)
        database.is_running = True
        database.heard.set()
        database.is_primary = database.is_primary and database is self._group.leader
        self._servers[database] = server
        self._group.report(database)

    async def stop(self, database: SoakDatabase) -> None:
        """End a database at once; its connections break."""
        database.is_running = False
        database.generation += 1
        database.fenced_term = 0
        database.replaced_since = None
        database.waiting.clear()
        server = self._servers.pop(database, None)
        if server is not None:
            server.close()
        await _end(self._tasks.pop(database, set()))

    async def _close(self) -> None:
        for database in tuple(self._servers):
            await self.stop(database)


class DatabaseSession:
    """A proxy's connection to a database, with its transaction."""

    def __init__(
        self,
        group: SoakGroup,
        database: SoakDatabase,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Create a session that is not accepted yet."""
        self._group = group
        self._database = database
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._is_plain = False
        self._has_written = False
        self._signatures = 0
        self._received = 0
        self._serial = next(_serials)
        self._transactions = 0
        self._held = SessionState()
        self._connections = group.statements.connections

    async def serve(self, is_full: bool) -> None:
        """Answer statements until the connection ends."""
        try:
            if await self._accept(is_full):
                while True:
                    lines = await self._answer(await self._read_line())
                    await self._write(*lines, self._ready())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.LimitOverrunError:
            # A message is at most 1 MiB: the connection ends.
            self._group.statements.record_overlong_line()
        finally:
            self._connections.remove(self._serial)

    async def _accept(self, is_full: bool) -> bool:
        line = (await self._read_line()).decode(errors="replace")
        word, service, *rest = line.split(" ")
        is_named = len(rest) < 2 or rest[1] == self._database.identifier
        self._connections.lines.add(line)
        if word != "STARTUP" or service != SERVICE or not is_named:
            await self._write(f"ERROR WRONGNODE {self._database.identifier}")
            return False
        if is_full:
            self._connections.refused[self._database.identifier] += 1
            await self._write("ERROR CONNLIMIT full")
            return False
        source = self._writer.get_extra_info("peername")[0]
        startup = Startup(
            self._database.identifier, source, rest[0] if rest else "", line
        )
        self._connections.add(self._serial, startup)
        await self._write(self._ready())
        return True

    async def _read_line(self) -> bytes:
        line = await self._reader.readuntil(LINE_END)
        await self._database.heard.wait()
        return line.removesuffix(LINE_END)

    async def _write(self, *lines: str) -> None:
        await self._database.heard.wait()
        text = "\r\n".join([*lines, ""])
        self._writer.write(text.encode(errors="surrogateescape"))
        await self._writer.drain()

    def _position(self, length: int) -> str:
        log = self._database.log
        return f"{log[length - 1].term}.{length}" if length else "-"

    def _ready(self) -> str:
        return f"READY {self._state} {self._position(self._database.applied)}"

    async def _answer(self, line: bytes) -> list[str]:
        try:
            query = read_query(line)
        except UnreadableError as error:
            return [f"ERROR MALFORMED {error}"]
        self._group.statements.record_line(self._serial, self._state, query)
        if query.word in COMMANDS:
            return self._command(query)
        if query.since and not self._has_applied(query.since):
            return ["ERROR LAGGING behind"]
        if query.word == "ROLLBACK":
            self._state = "I"
            return ["COMPLETE -"]
        if self._state == "E":
            return ["ERROR MALFORMED the transaction has failed"]
        if query.word in STATE_WORDS:
            code = self._held.apply(query)
            return [f"ERROR {code} refused" if code else "COMPLETE -"]
        return await self._run(query)

    def _has_applied(self, position: str) -> bool:
        term, _, index = position.partition(".")
        length = self._database.applied
        last = self._database.log[length - 1].term if length else 0
        return (last, length) >= (int(term), int(index))

    async def _run(self, query: Query) -> list[str]:
        await asyncio.sleep(WORK_SECONDS)
        self._received += 1
        is_calm = self._group.statements.is_calm
        if not is_calm and self._received % STATEMENTS_PER_REFUSAL == 0:
            return ["ERROR BUSY no slot is free"]
        is_replica = not self._database.is_primary
        if query.word == "BEGIN":
            return self._begin(is_plain=not query.fields)
        prepared = None
        if query.word == "EXECUTE":
            prepared = self._held.prepared.get(query.fields[0])
            if prepared is None:
                return ["ERROR NOSUCHSTMT unknown"]
        is_write = query.word == "WRITE" or (prepared is not None and prepared.is_write)
        is_in_plain = self._state == "T" and self._is_plain
        is_commit = query.word == "COMMIT"
        if is_replica and is_in_plain and (not is_commit or self._has_written):
            self._state = "E"
            return ["ERROR READONLY a replica"]
        if is_replica and is_write:
            return ["ERROR READONLY a replica"]
        return await self._work(query, prepared, is_write)

    def _begin(self, is_plain: bool) -> list[str]:
        if is_plain and not self._database.is_primary:
            return ["ERROR READONLY a replica"]
        self._state, self._is_plain = "T", is_plain
        self._has_written = False
        self._transactions += 1
        return ["COMPLETE -"]

    async def _work(
        self, query: Query, prepared: Prepared | None, is_write: bool
    ) -> list[str]:
        """Run and report a statement; its signature and rows are given once."""
        ran = self._report(query, prepared, is_write or query.word == "COMMIT")
        is_inside, has_written = self._state == "T", self._has_written
        if query.word == "COMMIT":
            self._state, self._has_written = "I", False
        elif is_write and is_inside:
            self._has_written = True
        if (query.word == "COMMIT" and has_written) or (is_write and not is_inside):
            await self._commit(query.identifier)
        return [*(f"DATAROW {row}" for row in ran.rows), f"COMPLETE {ran.signature}"]

    def _report(
        self, query: Query, prepared: Prepared | None, is_without_rows: bool
    ) -> Ran:
        self._signatures += 1
        signature = f"{self._database.identifier}.{self._serial}.{self._signatures}"
        ends = (
            ()
            if is_without_rows
            else ROW_ENDS[: self._signatures % (len(ROW_ENDS) + 1)]
        )
        ran = Ran(
            query.identifier,
            query.text,
            signature,
            tuple(f"{self._database.applied} {signature}{end}" for end in ends),
            self._serial,
            self._transactions if self._state == "T" else 0,
            dict(self._held.values),
            prepared,
        )
        self._group.statements.record_run(ran)
        self._connections.record_run(
            query.identifier,
            self._serial,
            self._database.identifier,
            self._database.is_primary,
        )
        return ran

    async def _commit(self, identifier: str) -> None:
        """Append a commit, and wait until a replica has received it."""
        database = self._database
        database.append(Commit(database.term, identifier), 0.0)
        received: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        database.waiting.append((len(database.log), received))
        await received

    def _command(self, query: Query) -> list[str]:
        """Run a status query, or a command that changes the role or the fence."""
        database = self._database
        rest = "".join(query.fields)
        match query.word:
            case "PAUSE" if not database.is_primary and int(rest) > database.term:
                database.fenced_term = max(database.fenced_term, int(rest))
            case "RESUME":
                database.fenced_term = 0
            case "STEPDOWN" if database.is_primary and database.term < int(rest):
                self._group.step_down(database)
        role = "primary" if database.is_primary else "replica"
        received = self._position(len(database.log))
        fields = f"{role} {database.term} {received} {database.fenced_term} 0 0 1"
        return [f"DATAROW {fields}", "COMPLETE -"]


async def _end(tasks: set[asyncio.Task[None]]) -> None:
    pending: tuple[asyncio.Task[None], ...] = tuple(tasks)
    for task in pending:
        task.cancel()
    results: list[Any] = await asyncio.gather(*pending, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result
