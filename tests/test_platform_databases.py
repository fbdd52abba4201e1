"""Tests of connections to databases, with a small server of the line protocol."""

import asyncio
import socket
import unittest
from contextlib import AsyncExitStack

from beryltiller.platform.databases import (
    LINE_OVERHEAD_BYTES,
    MAX_REPLY_BYTES,
    LineConnection,
    connect,
)
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.errors import (
    BrokenError,
    NotRunningError,
    NotSentError,
    ReplacedError,
    ReplyTooLargeError,
)
from beryltiller.sessions.statements import (
    AskStatus,
    Code,
    Read,
    Request,
    SessionState,
    Write,
)

IP = "127.0.0.1"
READY = b"READY I 1.5\r\n"
REFUSAL = b"ERROR CONNLIMIT full\r\n"
OTHER_REFUSAL = b"ERROR WRONGNODE i-2\r\n"
CUT_FAILURE = b"ERROR FAILED no\r\n"


class LineServer:
    """A server that answers each line from a script.

    A line gets the answer of the first key that it contains. None stands for no answer;
    after a refusal,
    `CUT_FAILURE` or b"" the connection is closed.
    """

    def __init__(self, script: dict[str, bytes | None]) -> None:
        self.script = script
        self.closed = asyncio.Event()
        self.lines: list[str] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve(reader, writer)
        except ConnectionResetError:
            # The peer has closed the connection before it had read all.
            pass
        finally:
            writer.close()
            self.closed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.readline():
            line = data.decode().rstrip()
            self.lines.append(line)
            answer = self.answer(line)
            if answer == b"":
                break
            writer.write(answer or b"")
            if answer in (REFUSAL, OTHER_REFUSAL, CUT_FAILURE):
                break
        writer.close()
        await writer.wait_closed()

    def answer(self, line: str) -> bytes | None:
        for part, answer in self.script.items():
            if part in line:
                return answer
        return None


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    """`connect` returns an open connection, or raises an error and leaves none open.

    Over an open connection, each request gets its own reply or an error.
    """

    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def connect(
        self, script: dict[str, bytes | None], timeout_seconds: float = 5.0
    ) -> tuple[LineServer, LineConnection]:
        line_server = LineServer(script)
        self.line_server = line_server
        server = await asyncio.start_server(line_server.serve, IP, 0)
        self.stack.callback(server.close)
        self.stack.push_async_callback(line_server.closed.wait)
        port = server.sockets[0].getsockname()[1]
        database = Database("i-1", "s", f"{IP}:{port}", "a", 3, True, False)
        connection = await connect(database, IP, timeout_seconds)
        self.stack.callback(connection.close)
        return line_server, connection

    async def test_connection_is_closed_if_the_session_is_never_ready(self) -> None:
        """Guard against a session that counts against the cap until the process ends.

        The database accepts the connection but never reports that it is ready; when the
        caller times out, the connection must be closed.
        """
        with self.assertRaises(NotSentError) as raised:
            await self.connect({"STARTUP": None}, timeout_seconds=0.05)
        self.assertIs(raised.exception.code, Code.WRONG_DATABASE)
        async with asyncio.timeout(5.0):
            await self.line_server.closed.wait()

    async def test_refusal_carries_the_databases_code(self) -> None:
        with self.assertRaises(NotSentError) as raised:
            await self.connect({"STARTUP": REFUSAL})
        self.assertIs(raised.exception.code, Code.CONNECTION_LIMIT)

    async def test_another_database_at_the_address_raises_its_own_error(self) -> None:
        with self.assertRaises(ReplacedError):
            await self.connect({"STARTUP": OTHER_REFUSAL})

    async def test_address_without_a_process_raises_its_own_error(self) -> None:
        with socket.socket() as unused:
            unused.bind((IP, 0))
            address = f"{IP}:{unused.getsockname()[1]}"
        database = Database("i-1", "s", address, "a", 3, False, False)
        with self.assertRaises(NotRunningError):
            await connect(database, IP)

    async def test_replies_are_returned_in_order(self) -> None:
        script: dict[str, bytes | None] = {
            "STARTUP": READY,
            "READ a": b"DATAROW one\r\nCOMPLETE x\r\n" + READY,
            "READ b": b"ERROR LAGGING no\r\nREADY I 1.4\r\n",
        }
        server, connection = await self.connect(script)
        first, second = await connection.send_requests(
            (Request(Read("a"), "q1"), Request(Read("b"), "q2"))
        )
        self.assertEqual((first.rows, first.signature), (("one",), "x"))
        self.assertEqual((second.code, second.state), (Code.LAGGING, SessionState.IDLE))
        self.assertEqual(server.lines[1:], ["QUERY q1 READ a", "QUERY q2 READ b"])

    async def test_connection_that_closes_before_the_answer_is_broken(self) -> None:
        _, connection = await self.connect({"STARTUP": READY, "READ": b""})
        with self.assertRaises(BrokenError):
            await connection.send_requests((Request(Read("a"), "q1"),))
        self.assertFalse(connection.is_open)

    async def test_failure_that_is_cut_off_does_not_count_as_not_sent(self) -> None:
        """Guards against a write that has run and is sent to another database."""
        _, connection = await self.connect({"STARTUP": READY, "WRITE": CUT_FAILURE})
        with self.assertRaises(BrokenError):
            await connection.send_requests((Request(Write("a", "b"), "q1"),))

    async def test_data_without_a_request_is_no_part_of_the_next_reply(self) -> None:
        """Guards against rows and refusals that are given to another session."""
        whole = b"COMPLETE x\r\n" + READY
        for extra in (b"DATAROW one\r\n", b"ERROR BUSY no\r\n", b"DATAROW on", READY):
            with self.subTest(extra):
                script = {"STARTUP": READY, "READ": whole + extra, "WRITE": whole}
                _, connection = await self.connect({**script})
                (reply,) = await connection.send_requests((Request(Read("a"), "q1"),))
                self.assertEqual((reply.rows, reply.code), ((), None))
                self.assertFalse(connection.is_open)

    async def test_data_on_an_idle_connection_closes_it(self) -> None:
        for extra in (b"DATAROW one\r\n", b"ERROR BUSY no\r\n", b"DATAROW on", READY):
            with self.subTest(extra):
                _, connection = await self.connect({"STARTUP": READY})
                connection.data_received(extra)
                self.assertFalse(connection.is_open)
                _, connection = await self.connect({"STARTUP": READY + extra})
                self.assertFalse(connection.is_open)

    async def test_endless_reply_closes_the_connection(self) -> None:
        rows = b"DATAROW x\r\n" * (MAX_REPLY_BYTES // LINE_OVERHEAD_BYTES)
        _, connection = await self.connect({"STARTUP": READY, "READ": rows})
        with self.assertRaises(ReplyTooLargeError):
            await connection.send_requests((Request(Read("a"), "q1"),))
        self.assertFalse(connection.is_open)

    async def test_replies_of_any_number_are_limited_one_by_one(self) -> None:
        reply = b"DATAROW " + b"x" * 1_000_000 + b"\r\nCOMPLETE x\r\n" + READY
        _, connection = await self.connect({"STARTUP": READY, "READ": reply})
        for _ in range(2 * MAX_REPLY_BYTES // len(reply)):
            (found,) = await connection.send_requests((Request(Read("a"), "q1"),))
            self.assertTrue(found.is_success)

    async def test_status_is_decoded(self) -> None:
        row = b"DATAROW replica 3 3.1209 4 12 2 17\r\nCOMPLETE -\r\n"
        _, connection = await self.connect({"STARTUP": READY, "STATUS": row + READY})
        status = await connection.command(AskStatus())
        self.assertEqual(
            (status.is_primary, status.term, status.fenced_term),
            (False, 3, 4),
        )

    async def ask_role(self, begun: bytes, ended: bytes) -> bool:
        """Return the answer of a database about its role."""
        script: dict[str, bytes | None] = {"BEGIN": begun, "ROLLBACK": ended}
        _, connection = await self.connect({"STARTUP": READY, **script})
        return await connection.is_primary()

    async def test_primary_is_known_by_the_begin_that_it_accepts(self) -> None:
        complete, open_state = b"COMPLETE -\r\n", b"READY T 1.5\r\n"
        self.assertTrue(await self.ask_role(complete + open_state, complete + READY))
        refused = b"ERROR READONLY i-1\r\n" + READY
        outside = b"ERROR MALFORMED no\r\n" + READY
        self.assertFalse(await self.ask_role(refused, outside))

    async def test_role_is_not_known_if_the_database_has_no_capacity(self) -> None:
        with self.assertRaises(NotSentError):
            await self.ask_role(b"ERROR BUSY no\r\n" + READY, b"COMPLETE -\r\n" + READY)

    async def test_connection_with_an_open_transaction_is_not_used_again(self) -> None:
        open_state = b"COMPLETE -\r\nREADY T 1.5\r\n"
        with self.assertRaises(BrokenError):
            await self.ask_role(open_state, open_state)
