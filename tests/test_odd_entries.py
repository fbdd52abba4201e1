"""Tests that odd data of other writers ends no work and hides no other data."""

import contextlib
import dataclasses
import doctest
import json
import tempfile
import unittest
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import eliot
import msgspec
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from beryltiller.adapters import endpoints, transport
from beryltiller.adapters.platform_client import PlatformClient
from beryltiller.configuration import tables
from beryltiller.core import decoding
from beryltiller.core.ports import (
    LostAnswerError,
    PortError,
    Row,
    Write,
)
from beryltiller.core.position import Position
from beryltiller.membership import messages
from beryltiller.observability import events, logs, session_events
from beryltiller.platform import databases, records, wire, wire_replies
from beryltiller.platform.settings import SettingsFileError, read_settings_file
from beryltiller.primaries import term_rows
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.tables import relay_messages
from tests import servers
from tests.odd_data import (
    DEEP,
    changed,
    derandomized,
    odd_json,
    values,
    with_deep_field,
)
from tests.test_platform_node import CONFIGURATION
from tests.test_platform_records import ENTRY, entry
from tests.test_platform_settings import SETTINGS

GOOD = entry("good")
KEYS = ("z/1", "z/2")
TERM_ROW = {"term": 3, "primary": "d", "state": "open", "promoter": "p"}
FEEDER = {"name": "a", "address": "127.0.0.1:5"}
CLAIM = {"holder": "other", "service": "s", "until_ms": 51_000}
DOCUMENT = {
    "routes": [{"name": "r", "kind": "read", "pool": "p"}],
    "pools": [{"name": "p", "groups": ["g"]}],
    "groups": [{"name": "g", "databases": []}],
}


def read_entries(data: bytes) -> None:
    """Decode an entry beside a good one, which must still be found."""
    found = records.decode_databases([Row("odd", 1, data), GOOD])
    assert "good" in [each.identifier for each in found], found


def read_configuration(data: bytes) -> None:
    """Decode a configuration row, which may be refused."""
    try:
        records.decode_configuration(Row("config", 1, data))
    except records.RecordError:
        return


def read_relay_message(data: bytes) -> None:
    """Decode a message of the relay, which may be refused."""
    try:
        relay_messages.decode(data)
    except relay_messages.RelayMessageError:
        return


def read_lease(data: bytes) -> None:
    """Decode a feeder lease beside a good one, which must still be found."""
    rows = (Row(KEYS[0], 1, data), Row(KEYS[1], 2, json.dumps(FEEDER).encode()))
    leases = relay_messages.decode_leases(KEYS, rows)
    assert leases[1].holder is not None, leases


def read_settings(data: bytes) -> None:
    """Read a settings file, which may be refused."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "local.json")
        path.write_bytes(data)
        try:
            read_settings_file(str(path))
        except SettingsFileError:
            return


def read_refusal(data: bytes) -> None:
    """Read an HTTP refusal, which always raises an error of the port."""
    try:
        transport.raise_refusal(transport.Reply(400, {}, data))
    except PortError:
        return


def read_term_row(data: bytes) -> None:
    """Decode a row of the terms table, which becomes an invalid one if it is odd."""
    term_rows.decode_row(Row("g", 1, data))


READERS: tuple[tuple[Callable[[bytes], object], dict[str, Any]], ...] = (
    (read_entries, ENTRY),
    (read_configuration, CONFIGURATION),
    (read_lease, FEEDER),
    (read_settings, SETTINGS),
    (read_refusal, {"code": "conflict"}),
    (read_term_row, TERM_ROW),
    (tables.decode, DOCUMENT),
    (read_relay_message, {}),
    (messages.decode, {}),
)

line_parts = st.lists(
    st.sampled_from(
        (
            *("DATAROW", "COMPLETE", "ERROR", "READY", "STARTUP", "QUERY", "BUSY"),
            *("I", "T", "-", "3.1", "-1.5", "replica", "BEGIN", "PREPARE", "s1"),
            "9" * 5_000,
        )
    )
    | st.text(max_size=3),
    max_size=8,
)


class OddDataTest(unittest.TestCase):
    """Whatever bytes arrive, a border raises its own error or uses the rest."""

    def test_nesting_beyond_the_limit_on_recursion_is_refused(self) -> None:
        for read, value in READERS:
            with self.subTest(read.__name__):
                read(with_deep_field(value))

    @derandomized
    @given(st.data(), st.sampled_from(READERS))
    def test_only_typed_errors_are_raised(
        self, data: st.DataObject, reader: tuple[Callable[[bytes], object], Any]
    ) -> None:
        read, value = reader
        read(data.draw(st.one_of(st.binary(), odd_json(), changed(value))))

    @derandomized
    @given(values)
    def test_messages_of_proxies_with_odd_fields_are_refused(self, value: Any) -> None:
        try:
            data = msgspec.msgpack.encode(value)
        except OverflowError:
            return
        read_relay_message(data)
        messages.decode(data)

    def test_refused_document_names_its_row_even_if_its_end_is_malformed(self) -> None:
        for rest in (b"", b'], "routes": []}', b'], "x": ' + DEEP + b"}"):
            with self.subTest(rest=rest[:20]):
                refused = tables.decode(b'{"routes": [{"name": 5}' + rest).failure()
                self.assertIn("routes[0]", str(refused))

    def test_examples(self) -> None:
        found = doctest.testmod(decoding, optionflags=doctest.ELLIPSIS)
        self.assertEqual(found.failed, 0)


class OddFieldTest(unittest.IsolatedAsyncioTestCase):
    """Values that can be decoded but not used are refused, with a short reason."""

    def test_entry_with_a_value_that_cannot_be_used_is_refused(self) -> None:
        """Guard against an entry whose later use fails, or hides another database.

        An empty key is no expected identifier, so any database would answer to it. A
        service with a line end adds a line of its own to the start of a session.
        """
        cases: dict[str, tuple[object, ...]] = {
            "service": ("", "s t", "s\r\nQUERY - STEPDOWN 9", "x" * 1_000_000),
            "zone": ("x" * 1_000_000,),
            "born": (-5, 2**70, 1.5, True),
            "slots": (True, 2**70, 10_001, 0),
            "sequence": (-1, 2**70),
            "address": (
                "127.0.0.1:0",
                "127.0.0.1:70000",
                "127.0.0.1:" + "9" * 5_000,
                "224.0.0.1:5",
                "255.255.255.255:5",
                "0.0.0.0:5",
                "[fe80::1%eth0]:5",
                f"[fe80::1%{'x' * 100}]:5",
                "x" * 1_000_000,
            ),
        }
        rows = [
            entry("odd", **{field: value})
            for field, odd_values in cases.items()
            for value in odd_values
        ]
        rows += [entry(key) for key in ("", "x" * 1_000_000, "a b", "a\r\nb")]
        for row in rows:
            with self.subTest(row=row.value[:80], key=row.key[:9]):
                with self.assertRaises(records.RecordError) as caught:
                    records.decode_database(row)
                self.assertLess(len(str(caught.exception)), 1_000)

    def test_configuration_with_a_number_out_of_range_is_refused(self) -> None:
        (route,) = json.loads(json.dumps(CONFIGURATION["routes"]))
        changes: tuple[dict[str, object], ...] = (
            {"routes": [{**route, "timeout_ms": 1e305}]},
            {"routes": [{**route, "timeout_ms": -1}]},
            {"routes": [{**route, "priority": 2**70}]},
            {"routes": [{**route, "max_staleness_ms": -1}]},
            {"services": [{"name": "s", "max_connections": 10**400}]},
            {"services": [{"name": "s", "max_connections": -1}]},
            {"limits": {"transaction_idle_ms": 1e308}},
            {"config_version": 2**70},
            {"config_version": -1},
        )
        for change in changes:
            value = json.dumps({**CONFIGURATION, **change}).encode()
            refused = self.assertRaises(records.RecordError)
            with self.subTest(change=str(change)[:80]), refused:
                records.decode_configuration(Row("config", 1, value))

    async def test_address_that_the_resolver_refuses_is_a_failed_connection(
        self,
    ) -> None:
        """Guard against an error that the users of a connection do not catch."""
        for address in (f"[fe80::1%{'x' * 100}]:5", "[fe80::1%\0]:5", "nowhere"):
            good = records.decode_database(GOOD)
            odd = dataclasses.replace(good, address=address)
            with self.subTest(address[:20]), self.assertRaises(NotSentError):
                await databases.connect(odd, "127.0.0.1")

    def test_settings_that_cannot_be_used_are_refused(self) -> None:
        cases: tuple[dict[str, object], ...] = (
            {"platform": {"address": "127.0.0.1:0"}},
            {"bounds": {"grace_period_s": -1}},
            {"bounds": {"drain_timeout_ms": 1e308}},
            {"internal_port_range": [70_000, 70_010]},
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "local.json")
            for change in cases:
                path.write_text(json.dumps({**SETTINGS, **change}))
                with self.subTest(change), self.assertRaises(SettingsFileError):
                    read_settings_file(str(path))


class OddNumberTest(unittest.TestCase):
    """Numbers from outside leave room for the next one, and are plain digits."""

    ODD = ("-1", "+1", " 1", "1_0", "\u0663", "", "x", "9" * 19, "9" * 5_000)

    def test_position_and_status_of_a_database(self) -> None:
        for odd in self.ODD:
            status = (f"replica 3 3.{odd} 0 12 2 17", f"replica {odd} 3.9 0 12 2 17")
            with self.subTest(odd=odd[:20]):
                with self.assertRaises(wire.WireError):
                    wire.decode_position(f"3.{odd}")
                for row in status:
                    with self.assertRaises(wire.WireError) as caught:
                        wire_replies.decode_status((row,))
                    self.assertLess(len(str(caught.exception)), 300)
                with self.assertRaises(ValueError):
                    Position.parse(f"{odd}:1")
                with self.assertRaises(ValueError):
                    endpoints.parse_load(f"3,1,0,7,{odd}")

    @derandomized
    @given(st.lists(line_parts.map(" ".join), max_size=6))
    def test_any_lines_of_a_database_or_caller(self, texts: list[str]) -> None:
        decoder = wire_replies.ReplyDecoder()
        for text in texts:
            for line in (text.encode(), text.encode("utf-16")):
                with contextlib.suppress(wire.WireError):
                    decoder.feed(line)
                with contextlib.suppress(wire.WireError):
                    wire.decode_message(line)
        with contextlib.suppress(wire.WireError):
            wire_replies.decode_status(tuple(texts))

    def test_term_above_which_none_can_be_written_is_invalid(self) -> None:
        """Guard against a promotion whose row cannot be encoded."""
        for term in (2**62 + 1, 2**64 - 1, 2**70, 0):
            value = json.dumps({**TERM_ROW, "term": term}).encode()
            row = term_rows.decode_row(Row("g", 1, value))
            with self.subTest(term):
                self.assertIs(row.state, term_rows.TermState.INVALID)
        highest = json.dumps({**TERM_ROW, "term": 2**62}).encode()
        found = term_rows.decode_row(Row("g", 1, highest))
        term_rows.encode_write(dataclasses.replace(found, term=found.term + 1))

    def test_member_above_whose_incarnation_there_is_none_is_refused(self) -> None:
        """Guard against a refutation that cannot be encoded."""
        for incarnation in (2**64 - 1, 2**62 + 1):
            member = messages.MemberEntry("127.0.0.1:1", "a", "z", incarnation, 1, 0)
            data = messages.encode(messages.Ping(messages.Gossip(member)))
            with self.subTest(incarnation):
                self.assertEqual(messages.decode(data).failure().reason, "malformed")


class OddPlatformAnswerTest(unittest.IsolatedAsyncioTestCase):
    """One odd row or host in an answer of the platform does not hide the others."""

    async def answer_with(self, body: object) -> PlatformClient:
        """Return a client of a platform that answers every request with `body`."""

        async def answer(_: web.Request) -> web.Response:
            return web.json_response(body)

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        stack = await self.enterAsyncContext(AsyncExitStack())
        address = await servers.start(stack, app)
        return PlatformClient(await servers.client(stack), address)

    async def test_value_that_is_not_base64_is_an_empty_one(self) -> None:
        odd = {"key": "a", "version": 3, "value": "x"}
        good = {"key": "b", "version": 4, "value": "dg=="}
        platform = await self.answer_with({"revision": 4, "rows": [odd, good]})
        scan = await platform.scan("terms")
        self.assertEqual([row.value for row in scan.rows], [b"", b"v"])

    async def test_host_of_an_unknown_kind_is_left_out(self) -> None:
        host = {"address": "127.0.0.1:1", "availability_zone": "z"}
        odd = {**host, "name": "a", "kind": "vault"}
        good = {**host, "name": "b", "kind": "entry"}
        platform = await self.answer_with({"hosts": [odd, 5, good]})
        self.assertEqual([each.name for each in await platform.hosts()], ["b"])

    async def test_host_without_an_address_of_one_process_is_left_out(self) -> None:
        """Guards against an address that another grammar reads, such as `h:1;h:2`."""
        host = {"availability_zone": "z", "kind": "entry", "name": "odd"}
        odd = (
            "",
            "h:1",
            "127.0.0.1:1;127.0.0.1:2",
            "127.0.0.1:1\0x",
            "*:5",
            "127.0.0.1:0",
        )
        good = {**host, "name": "b", "address": "127.0.0.1:1"}
        hosts = [*({**host, "address": each} for each in odd), good]
        platform = await self.answer_with({"hosts": hosts})
        self.assertEqual([each.name for each in await platform.hosts()], ["b"])

    async def test_commit_answered_with_another_number_of_versions(self) -> None:
        platform = await self.answer_with({"versions": [1, 2]})
        with self.assertRaises(LostAnswerError):
            await platform.commit((Write("t", "k", 0, b""),))


class RefusalLogTest(unittest.TestCase):
    """A refused row is logged once, however often its table is read."""

    def setUp(self) -> None:
        self.lines: list[dict[str, Any]] = []
        eliot.add_destinations(self.lines.append)
        # The first destination also gets the messages logged before it was added.
        self.lines.clear()
        self.addCleanup(eliot.remove_destination, self.lines.append)

    def logged_keys(self) -> list[str]:
        """Return the keys of the entries that were logged as refused."""
        kind = logs.message_type(session_events.EntryRefused)
        return [line["key"] for line in self.lines if line["message_type"] == kind]

    def test_each_version_of_a_refused_row_is_logged_once(self) -> None:
        refusal_log = records.RefusalLog()
        odd = Row("odd", 5, b"{")
        for rows in ((odd, GOOD), (GOOD, odd), (odd,)):
            records.decode_databases(rows, refusal_log)
        self.assertEqual(self.logged_keys(), ["odd"])
        records.decode_databases((dataclasses.replace(odd, version=6),), refusal_log)
        self.assertEqual(self.logged_keys(), ["odd", "odd"])

    def test_line_is_short_whatever_the_row_holds(self) -> None:
        long = "x" * 1_000_000
        rows = (Row(long, 1, b"{"), entry("a", state=long), entry("b", address=long))
        records.decode_databases(rows, records.RefusalLog())
        logs.log(events.WorkFailed("work", long))
        self.assertEqual(len(self.lines), 4)
        for line in self.lines:
            self.assertLess(len(json.dumps(line)), 5_000)
