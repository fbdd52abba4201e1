"""Tests of the endpoint port's contract, run over HTTP against the stand-in."""

import asyncio
import unittest
from contextlib import AsyncExitStack

import msgspec
from aiohttp import web

from beryltiller.adapters.endpoints import HttpConnection, HttpEndpoint
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import LostAnswerError, RefusedError, Role, Statement
from beryltiller.core.position import ORIGIN, Position
from tests import servers


def put(key: str, value: str, term: int, request_key: str = "") -> Statement:
    """Return a statement that writes one key."""
    body = msgspec.json.encode({"op": "put", "key": key, "value": value})
    return Statement(Kind.WRITE, body, term, key=request_key, timeout_seconds=0.5)


def add(key: str, term: int, request_key: str = "") -> Statement:
    """Return a statement that adds one to a counter."""
    body = msgspec.json.encode({"op": "add", "key": key})
    return Statement(Kind.WRITE, body, term, key=request_key, timeout_seconds=0.5)


def get(key: str, at_least: Position = ORIGIN) -> Statement:
    """Return a statement that reads one key."""
    body = msgspec.json.encode({"op": "get", "key": key})
    return Statement(Kind.READ, body, at_least=at_least, timeout_seconds=0.5)


class OneDatabaseTest(unittest.IsolatedAsyncioTestCase):
    """Tests of statements, terms and the connection limit of one database."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.standin, self.endpoint, address = await servers.database(self.stack)
        self.url = f"http://{address}"
        await self.endpoint.fence(1)
        await self.endpoint.open(1)
        self.connection = await self.endpoint.connect()
        self.stack.push_async_callback(self.connection.close)

    async def refusal_code(self, statement: Statement) -> str:
        with self.assertRaises(RefusedError) as caught:
            await self.connection.run(statement)
        return caught.exception.code

    async def test_write_is_read_back(self) -> None:
        written = await self.connection.run(put("a", "1", term=1))
        self.assertEqual(written.position, Position(1, 2))
        answer = await self.connection.run(get("a", written.position))
        self.assertEqual(msgspec.json.decode(answer.body)["value"], "1")
        self.assertEqual(answer.load.slots, 2)

    async def test_refused_statement_has_no_effect(self) -> None:
        behind = Position(1, 99)
        other_term = Position(2, 1)
        cases = (
            (put("a", "1", term=2), "term"),
            (put("a", "1", term=0), "term"),
            (get("a", behind), "behind"),
            (get("a", other_term), "behind"),
            (Statement(Kind.READ, b"not json"), "statement"),
        )
        for statement, code in cases:
            with self.subTest(code=code, statement=statement):
                self.assertEqual(await self.refusal_code(statement), code)
        self.assertEqual(self.standin.model.data, {})

    async def test_write_with_repeated_key_runs_once(self) -> None:
        first = await self.connection.run(add("n", 1, "checkout-1"))
        again = await self.connection.run(add("n", 1, "checkout-1"))
        self.assertTrue(again.is_repeat)
        self.assertEqual((again.body, again.position), (first.body, first.position))
        self.assertEqual(self.standin.model.data["n"], "1")

    async def test_fenced_database_refuses_writes(self) -> None:
        status = await self.endpoint.fence(2)
        self.assertEqual(status.role, Role.FENCED)
        self.assertEqual(await self.refusal_code(put("a", "1", term=1)), "term")
        self.assertEqual(await self.refusal_code(put("a", "1", term=2)), "fenced")

    async def test_fence_at_lower_term_is_refused(self) -> None:
        await self.endpoint.fence(5)
        with self.assertRaises(RefusedError) as caught:
            await self.endpoint.fence(4)
        self.assertEqual(caught.exception.code, "term")

    async def test_connections_are_capped(self) -> None:
        for _ in range(2):
            opened = await self.endpoint.connect()
            self.stack.push_async_callback(opened.close)
        with self.assertRaises(RefusedError) as caught:
            await self.endpoint.connect()
        self.assertEqual(caught.exception.code, "full")

    async def test_lost_or_truncated_answer_leaves_outcome_unknown(self) -> None:
        for fault in ("lose_answers", "halve_answers"):
            with self.subTest(fault=fault):
                connection = await self.endpoint.connect()
                setattr(self.standin.faults, fault, 1)
                with self.assertRaises(LostAnswerError):
                    await connection.run(put("a", "1", term=1))
                await connection.close()

    async def test_connection_is_bound_to_its_tcp_connection(self) -> None:
        session = await servers.client(self.stack)
        other = HttpConnection(session, self.url, self.connection.identifier, 1000)
        with self.assertRaises(RefusedError) as caught:
            await other.run(get("a"))
        self.assertEqual(caught.exception.code, "unknown-connection")

    async def test_hanging_database_leaves_outcome_unknown(self) -> None:
        self.standin.faults.hang = True
        with self.assertRaises(LostAnswerError):
            await self.connection.run(put("a", "1", term=1))

    async def test_closed_connection_leaves_the_connection_count(self) -> None:
        await self.connection.run(put("a", "1", term=1))
        await self.connection.close()
        other = await self.endpoint.connect()
        self.stack.push_async_callback(other.close)

        async def has_one_connection() -> bool:
            return (await self.endpoint.status()).load.connections == 1

        await servers.until(has_one_connection)


class TransactionTest(unittest.IsolatedAsyncioTestCase):
    """Tests that a transaction is bound to its connection."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.standin, self.endpoint, _ = await servers.database(self.stack)
        await self.endpoint.fence(1)
        await self.endpoint.open(1)
        self.first = await self.endpoint.connect()
        self.second = await self.endpoint.connect()
        self.stack.push_async_callback(self.second.close)
        self.stack.push_async_callback(self.first.close)

    async def test_commit_appends_one_entry_and_rollback_none(self) -> None:
        await self.first.begin(1)
        await self.first.run(put("a", "1", 1))
        await self.second.begin(1)
        await self.second.run(put("a", "2", 1))
        await self.second.rollback()
        self.assertEqual(self.standin.model.data, {})
        committed = await self.first.commit()
        self.assertEqual(committed.position, Position(1, 2))
        self.assertEqual(self.standin.model.data, {"a": "1"})

    async def test_transaction_reads_its_own_writes(self) -> None:
        await self.first.begin(1)
        await self.first.run(put("a", "1", 1))
        answer = await self.first.run(get("a"))
        self.assertEqual(msgspec.json.decode(answer.body)["value"], "1")

    async def test_closing_connection_discards_transaction(self) -> None:
        await self.first.begin(1)
        await self.first.run(put("a", "1", 1))
        await self.first.close()
        self.assertEqual(self.standin.model.data, {})

    async def test_fence_prevents_commit(self) -> None:
        await self.first.begin(1)
        await self.first.run(put("a", "1", 1))
        await self.endpoint.fence(2)
        with self.assertRaises(RefusedError):
            await self.first.commit()
        self.assertEqual(self.standin.model.data, {})


class ReplicationTest(unittest.IsolatedAsyncioTestCase):
    """Tests that replicas follow the primary and discard entries that it lacks."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.first = await servers.database(self.stack, "d1")
        self.second = await servers.database(self.stack, "d2")
        await self.first[1].fence(1)
        await self.first[1].open(1)

    async def wait_for_position(self, index: int, position: Position) -> None:
        standin = (self.first, self.second)[index][0]

        async def has_position() -> bool:
            return standin.model.contains(position)

        await servers.until(has_position)

    async def test_replica_copies_log_of_primary(self) -> None:
        await self.second[1].follow(1, self.first[2])
        connection = await self.first[1].connect()
        self.stack.push_async_callback(connection.close)
        written = await connection.run(put("a", "1", 1))
        await self.wait_for_position(1, written.position)
        self.assertEqual(self.second[0].model.data, {"a": "1"})

    async def test_former_primary_discards_its_unreplicated_tail(self) -> None:
        connection = await self.first[1].connect()
        self.stack.push_async_callback(connection.close)
        await connection.run(put("a", "lost", 1))
        await self.second[1].fence(2)
        await self.second[1].open(2)
        await self.first[1].follow(2, self.second[2])
        await self.wait_for_position(0, Position(2, 1))
        self.assertEqual(self.first[0].model.data, {})
        self.assertFalse(self.first[0].model.contains(Position(1, 2)))


class ConnectionIdentifierTest(unittest.IsolatedAsyncioTestCase):
    """A connection's identifier is text of the database, sent back in a header."""

    async def connect(self, identifier: str) -> HttpConnection:
        async def answer(request: web.Request) -> web.Response:
            return web.json_response({"connection": identifier})

        stack = await self.enterAsyncContext(AsyncExitStack())
        app = web.Application()
        app.router.add_post("/connections", answer)
        address = await servers.start(stack, app)
        client = await servers.client(stack)
        connection = await HttpEndpoint(client, address, servers.LOOPBACK).connect()
        stack.push_async_callback(connection.close)
        return connection

    async def test_identifier_that_no_header_can_hold_opens_no_connection(self) -> None:
        """Guards against a connection whose every statement ends in an odd error."""
        for identifier in ("", "c\r\nTerm: 9", "c\0", " c", "c\u00e9", "c" * 129):
            with self.subTest(identifier), self.assertRaises(LostAnswerError):
                await self.connect(identifier)

    async def test_identifier_that_a_header_can_hold_is_kept(self) -> None:
        for identifier in ("d1-1", "c" * 128):
            with self.subTest(identifier):
                found = await self.connect(identifier)
                self.assertEqual(found.identifier, identifier)


class CutAddressTest(unittest.IsolatedAsyncioTestCase):
    """Tests that a request from an address that is cut off has no effect."""

    async def test_request_from_cut_address_has_no_effect(self) -> None:
        async with AsyncExitStack() as stack:
            standin, endpoint, _ = await servers.database(stack)
            standin.faults.cut_from = ["127.0.0.1"]
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await endpoint.fence(3)
            self.assertEqual(standin.model.term, 0)
