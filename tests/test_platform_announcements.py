"""Tests of announced changes of primary as rows of the platform's store."""

import json
import unittest
from collections.abc import Sequence
from dataclasses import replace
from typing import cast

from beryltiller.core.ports import Row, Write
from beryltiller.core.position import Position
from beryltiller.platform.announcements import (
    CHANGES_TABLE,
    StoredAnnouncements,
    decode_announcement,
)
from beryltiller.platform.store import DatedRow, StoreClient
from beryltiller.sessions.databases.in_sync_set import InSyncProcess
from beryltiller.sessions.databases.primary_change import (
    PendingPromotion,
    PrimaryChange,
)
from beryltiller.sessions.succession.announcement import Announcement
from tests.virtual_loop import run_virtual

ANNOUNCED = Announcement(
    "s",
    PrimaryChange(3, Position(2, 7)),
    12,
    objection=Position(3, 8),
    begun_term=5,
    later_term=4,
    successor_term=6,
    asked=("a", "b"),
    lacking=("c", "d"),
    in_sync=(
        InSyncProcess("a", 7, "127.0.0.1:1", "z1", 2),
        InSyncProcess(
            "b", 0, "127.0.0.2:1", "z2", 3, is_leaving=True, has_drained=True
        ),
        InSyncProcess("a", 5, "127.0.0.1:1", "z1", 2, is_leaving=True, has_lapsed=True),
    ),
    reported=Position(3, 6),
    successor="a",
    pending=(PendingPromotion(9, "b"), PendingPromotion(11, "a")),
)


class RowStore:
    """A store with one row, which keeps what is written."""

    def __init__(self) -> None:
        self.row: Row | None = None
        self.writes: list[Write] = []

    async def read(self, table: str, key: str) -> DatedRow:
        assert table == CHANGES_TABLE
        return DatedRow(self.row if self.row and self.row.key == key else None, 0)

    async def commit(self, writes: Sequence[Write]) -> int:
        self.writes += writes
        self.row = Row(writes[0].key, 5, writes[0].value)
        return 5


class StoredAnnouncementsTest(unittest.TestCase):
    """What is written is read again, with the version of its row."""

    def test_announcement_is_read_as_it_was_written(self) -> None:
        async def work() -> tuple[Announcement | None, ...]:
            store = RowStore()
            port = StoredAnnouncements(cast(StoreClient, store))
            before = await port.read("s")
            version = await port.write(ANNOUNCED)
            self.assertEqual((version, store.writes[0].expected), (5, 0))
            return before, await port.read("s"), await port.read("other")

        before, found, other = run_virtual(work())
        written = replace(ANNOUNCED, version=5)
        self.assertEqual((before, found, other), (None, written, None))

    def test_odd_row_stops_no_promotion(self) -> None:
        for value in (b"", b"{", b"\xff", b'{"token": 1e999}', b"[" * 2000):
            with self.subTest(value[:20]):
                self.assertTrue(decode_announcement(Row("s", 4, value)).is_withdrawn)

    def test_identifier_that_no_line_can_hold_names_no_process(self) -> None:
        """Guards against a row whose identifier is sent as a message of its own."""
        model = {
            "token": 1,
            "replaced_term": 2,
            "log_end_term": 2,
            "log_end_index": 9,
        }
        process = {"born": 7, "address": "127.0.0.1:1", "zone": "a", "slots": 2}
        odd = (
            "",
            "a b",
            "a\r\nQUERY - STEPDOWN 9",
            "a\n",
            "a\0",
            "a\u00a0b",
            "x" * 1001,
        )
        for identifier in odd:
            with self.subTest(identifier[:20]):
                row = {**model, "in_sync": [{"id": identifier, **process}]}
                found = decode_announcement(Row("s", 4, json.dumps(row).encode()))
                self.assertEqual((found.in_sync, found.is_withdrawn), ((), True))
        for identifier in ("i-7f3a91c2", "a/b;c,d", "\u010d", "x" * 1000):
            with self.subTest(identifier[:20]):
                row = {**model, "in_sync": [{"id": identifier, **process}]}
                found = decode_announcement(Row("s", 4, json.dumps(row).encode()))
                self.assertEqual(found.in_sync[0].identifier, identifier)

    def test_row_of_a_service_that_no_line_can_hold_names_no_process(self) -> None:
        process = {"id": "a", "born": 7, "address": "127.0.0.1:1", "zone": "a"}
        row = {
            "token": 1,
            "replaced_term": 2,
            "log_end_term": 2,
            "log_end_index": 9,
            "in_sync": [{**process, "slots": 2}],
        }
        value = json.dumps(row).encode()
        self.assertEqual(len(decode_announcement(Row("s", 4, value)).in_sync), 1)
        for service in ("", "s t", "s\r\nQUERY - STEPDOWN 9"):
            with self.subTest(service):
                found = decode_announcement(Row(service, 4, value))
                self.assertEqual((found.in_sync, found.is_withdrawn), ((), True))

    def test_row_without_an_objection(self) -> None:
        value = b'{"token":1,"replaced_term":2,"log_end_term":2,"log_end_index":9}'
        found = decode_announcement(Row("s", 6, value))
        expected = Announcement("s", PrimaryChange(2, Position(2, 9)), 1, version=6)
        self.assertEqual(found, expected)
