"""Properties of texts that are joined with others, split or read by another grammar.

They guard against two callers that share a key, and a text that becomes another one, a
second field or a second line on its way.
"""

import io
import json
import unittest
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import cast

import eliot
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from beryltiller.adapters.endpoints import HttpConnection, format_load, parse_load
from beryltiller.admission.tickets import Ticket
from beryltiller.consistency.attempts import Answered, Refused
from beryltiller.consistency.statement import parse_request
from beryltiller.consistency.tokens import (
    MAX_TOKEN_CHARACTERS,
    Mark,
    Session,
    TokenKeys,
    decode_token,
    encode_token,
)
from beryltiller.core.decoding import MAX_NUMBER
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import EndpointAnswer, Load, Row, Statement
from beryltiller.core.position import Position
from beryltiller.dispatching.forwarding import (
    from_message,
    from_reply,
    to_message,
    to_reply,
)
from beryltiller.membership import messages
from beryltiller.observability import events, logs
from beryltiller.platform.announcements import StoredAnnouncements
from beryltiller.platform.store import StoreClient
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.databases.primary_change import (
    PendingPromotion,
    PrimaryChange,
)
from beryltiller.sessions.succession.announcement import Announcement
from beryltiller.sessions.tables import relay_messages
from beryltiller.sessions.tables.relay import (
    Feeder,
    FeederAnnouncement,
    TableChange,
    TableState,
    feeder_lease_keys,
)
from beryltiller.sessions.tables.relay_messages import Packet
from tests import servers
from tests.store_test_case import StoreTestCase
from tests.test_platform_announcements import RowStore
from tests.virtual_loop import run_virtual

derandomized = settings(
    derandomize=True, deadline=None, database=None, max_examples=300
)
KEYS = TokenKeys(b"0123456789abcdef")
SEPARATORS = " /:;,|.&=?#%+\r\n\t\0\"'\\\u0085\u00a0\u2028"

numbers = st.integers(0, MAX_NUMBER)
positions = st.builds(Position, numbers, numbers)
texts = st.text(
    st.one_of(st.sampled_from(SEPARATORS), st.characters(codec="utf-8")), max_size=20
)
# What a header of a caller may hold, which the HTTP server decodes with surrogates.
header_values = st.text(
    st.one_of(st.characters(), st.sampled_from(SEPARATORS + "ab1")), max_size=12
)
visible = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1)
words = visible.map(lambda text: text[:64])
names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", fullmatch=True)
headers = st.sampled_from(
    (
        "Beryl-Caller",
        "Beryl-Session",
        "Beryl-Request-Key",
        "Beryl-Timeout-Ms",
        "Beryl-Idempotent",
        "Beryl-Max-Age-Ms",
        "Beryl-Transaction",
        "Beryl-Partition",
        "traceparent",
    )
)


class RequestKeyTest(unittest.TestCase):
    """A request key belongs to its caller alone."""

    @derandomized
    @given(st.tuples(words, words), st.tuples(words, words))
    def test_other_callers_and_keys_give_other_scoped_keys(
        self, first: tuple[str, str], second: tuple[str, str]
    ) -> None:
        scoped = [self.scoped_key(*each) for each in (first, second)]
        self.assertEqual(tuple(scoped[0].split(" ")), first)
        self.assertEqual(scoped[0] == scoped[1], first == second)

    def scoped_key(self, caller: str, key: str) -> str:
        given_headers = [
            ("Beryl-Route", "orders"),
            ("Beryl-Caller", caller),
            ("Beryl-Request-Key", key),
        ]
        return parse_request(given_headers, b"x").unwrap().scoped_key

    @derandomized
    @given(st.dictionaries(headers, header_values, max_size=4))
    def test_any_header_is_taken_or_refused(self, found: dict[str, str]) -> None:
        result = parse_request([("Beryl-Route", "r"), *found.items()], b"x")
        request = result.value_or(None)
        if request is not None:
            key = request.scoped_key + request.trace_parent
            self.assertTrue(key.isascii() and key.isprintable())


class TokenTest(unittest.TestCase):
    """A token holds what it was made of, and is always accepted again."""

    @derandomized
    @given(
        st.dictionaries(names, st.builds(Mark, positions, positions), max_size=16),
        st.booleans(),
    )
    def test_token_is_read_back(
        self, marks: dict[str, Mark], is_complete: bool
    ) -> None:
        session = Session("s" * 16, marks, is_complete)
        text = encode_token(session, KEYS)
        self.assertLessEqual(len(text), MAX_TOKEN_CHARACTERS)
        found = decode_token(text, KEYS).unwrap()
        if len(found.marks) == len(marks):
            self.assertEqual(found, session)
        self.assertLessEqual(found.marks.items(), marks.items())
        self.assertEqual(
            found.is_complete, is_complete and len(found.marks) == len(marks)
        )


class TextFormTest(unittest.TestCase):
    """Positions, loads and lease keys are read back."""

    @derandomized
    @given(positions, st.lists(numbers, min_size=5, max_size=5))
    def test_position_and_load_are_read_back(
        self, position: Position, counts: list[int]
    ) -> None:
        self.assertEqual(Position.parse(str(position)), position)
        load = Load(*counts)
        self.assertEqual(parse_load(format_load(load)), load)

    @derandomized
    @given(texts, texts)
    def test_lease_keys_of_two_zones_differ(self, first: str, second: str) -> None:
        shared = {*feeder_lease_keys(first)} & {*feeder_lease_keys(second)}
        self.assertEqual(bool(shared), first == second)

    @derandomized
    @given(texts)
    def test_logged_text_is_read_back_from_one_line(self, text: str) -> None:
        stream = io.StringIO()
        destination = eliot.FileDestination(file=stream)
        eliot.add_destinations(destination)
        # The first destination of a process also gets what was logged before.
        stream.truncate(0)
        stream.seek(0)
        try:
            logs.log(events.WorkFailed("work", text))
        finally:
            eliot.remove_destination(destination)
        line, rest = stream.getvalue().split("\n")
        self.assertEqual((json.loads(line)["reason"], rest), (text, ""))


class PeerMessageTest(unittest.TestCase):
    """Messages between proxies are decoded to what was encoded."""

    @derandomized
    @given(texts, texts, words, texts, st.binary(max_size=20), positions)
    def test_forwarded_statement_is_read_back(
        self,
        caller: str,
        request: str,
        key: str,
        database: str,
        body: bytes,
        position: Position,
    ) -> None:
        scoped = f"shop {key}"
        statement = Statement(Kind.WRITE, body, 3, position, scoped, key, 1.5)
        ticket = Ticket(request, caller, Kind.WRITE, deadline=11.5)
        sent = messages.encode(to_message(database, statement, ticket))
        message = messages.decode(sent).unwrap()
        assert isinstance(message, messages.Forward)
        found = from_message(message, now=10.0)
        self.assertEqual((found.statement, found.ticket), (statement, ticket))
        self.assertEqual(found.database, database)

    @derandomized
    @given(texts, texts, st.binary(max_size=20), positions)
    def test_result_is_read_back(
        self, code: str, reason: str, body: bytes, position: Position
    ) -> None:
        answer = EndpointAnswer(body, position, Load(3, 1, 0, 7, 20), True)
        for result in (Refused(code, reason), Answered(answer)):
            sent = messages.encode(to_reply(result))
            self.assertEqual(from_reply(messages.decode(sent).unwrap()), result)

    @derandomized
    @given(texts, texts, texts, st.binary(max_size=20), numbers, st.booleans())
    def test_relayed_change_is_read_back(
        self, name: str, table: str, key: str, value: bytes, until: int, whole: bool
    ) -> None:
        feeder = Feeder(name, "127.0.0.1:1")
        announced = FeederAnnouncement(feeder, {table: TableState(until, True)})
        rows = (Row(key, until, value),)
        change = TableChange(table, 0, until, rows, (key,), whole)
        packet = Packet(announced, change)
        found = relay_messages.decode(relay_messages.encode(packet))
        self.assertEqual(found, packet)


class AnnouncementTest(unittest.TestCase):
    """The row of a service is read back with the names as they were."""

    @derandomized
    @given(
        st.tuples(words, words, words),
        st.lists(words, max_size=6),
        st.lists(st.tuples(words, numbers), max_size=4),
        st.lists(st.tuples(numbers, texts), max_size=4),
    )
    def test_row_is_read_back(
        self,
        chosen: tuple[str, str, str],
        lacking: list[str],
        in_sync: list[tuple[str, int]],
        pending: list[tuple[int, str]],
    ) -> None:
        service, successor, asked = chosen
        row = Announcement(
            service,
            PrimaryChange(3, Position(2, 7)),
            12,
            asked=(asked,),
            lacking=tuple(sorted(set(lacking))),
            in_sync=tuple(
                InSyncProcess(name, born, "127.0.0.1:1", "z", 2)
                for name, born in in_sync
            ),
            successor=successor,
            pending=tuple(PendingPromotion(*each) for each in pending),
        )

        async def work() -> Announcement | None:
            port = StoredAnnouncements(cast(StoreClient, RowStore()))
            await port.write(row)
            return await port.read(service)

        self.assertEqual(run_virtual(work()), replace(row, version=5))


class HttpTest(unittest.IsolatedAsyncioTestCase):
    """Headers and queries arrive as they were put in."""

    async def test_request_key_and_term_arrive_in_their_headers(self) -> None:
        received: list[tuple[str, ...]] = []

        async def answer(request: web.Request) -> web.Response:
            found = request.headers
            received.append((found["Connection-Id"], found["Request-Key"]))
            self.assertEqual((found["Term"], "X" in found), ("3", False))
            return web.Response(headers={"Position": "1:1"})

        stack = await self.enterAsyncContext(AsyncExitStack())
        app = web.Application()
        app.router.add_post("/statements", answer)
        url = f"http://{await servers.start(stack, app)}"
        client = await servers.client(stack)
        visible_text = "".join(map(chr, range(33, 127)))
        for caller, key in (
            ("a", "b"),
            (visible_text[:64], visible_text),
            ("%0d", ":"),
        ):
            connection = HttpConnection(client, url, caller, 100)
            scoped = f"{caller} {key}"
            await connection.run(Statement(Kind.WRITE, b"x", 3, key=scoped))
            self.assertEqual(received[-1], (caller, scoped))


class StoreQueryTest(StoreTestCase):
    """Tables and keys arrive at the store as they were put in."""

    async def test_row_of_an_odd_key_is_read(self) -> None:
        odd = ("a b", "a+b", "a&part=x", "a%20b", "a#b", "\u00e9", "a\r\nb", "a;b")
        for table in odd:
            for key in odd:
                self.fake.put(table, key, f"{table}|{key}".encode())
        for table in odd:
            for key in odd:
                found = (await self.store.read(table, key)).row
                assert found is not None
                self.assertEqual(found.value, f"{table}|{key}".encode())
