"""Tests of decoding rows that other programs may have written."""

import unittest

import msgspec

from beryltiller.core.ports import Row
from beryltiller.platform.records import (
    RecordError,
    decode_configuration,
    decode_database,
    decode_databases,
)

ENTRY = {
    "service": "s",
    "address": "127.0.0.1:5",
    "zone": "z",
    "config_version": "7",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "database_role": "primary",
    "born": 1_700_000_000_000,
}


def entry(key: str = "i-1", **changes: object) -> Row:
    """Return a database's entry with changed fields; None leaves a field out."""
    fields = {**ENTRY, **changes}
    kept = {name: value for name, value in fields.items() if value is not None}
    return Row(key, 1, msgspec.json.encode(kept))


class UndecodableValueTest(unittest.TestCase):
    """The store's client passes on a value that is not base64 as an empty one."""

    def test_empty_value_is_refused_and_names_nothing(self) -> None:
        empty = Row("i-1", 1, b"")
        with self.assertRaises(RecordError):
            decode_configuration(empty)
        self.assertEqual(list(decode_databases((empty,))), [])


class DatabaseEntryTest(unittest.TestCase):
    """An entry that cannot be used is refused, and the other entries are still used."""

    def test_refusal_names_the_invalid_field(self) -> None:
        cases = {
            "key": entry("i-1 STEPDOWN"),
            "key: 'i-1\\r\\nx'": entry("i-1\r\nx"),
            "slots": entry(slots=0),
            "address": entry(address="nowhere"),
            "state": entry(state="asleep"),
            "database_role": entry(database_role="x"),
            "zone": entry(zone=None),
            "born": entry(born="long ago"),
            "row i-1": Row("i-1", 1, b"\xff{"),
            "row i-1: ": Row("i-1", 1, b""),
        }
        for name, row in cases.items():
            with self.subTest(name), self.assertRaises(RecordError) as caught:
                decode_database(row)
            self.assertIn(name.partition(":")[0], str(caught.exception))

    def test_other_entries_are_still_used(self) -> None:
        rows = (entry("bad", slots="many"), entry("i-2"))
        found = decode_databases(rows)
        self.assertEqual([each.identifier for each in found], ["i-2"])

    def test_invalid_configuration_is_refused(self) -> None:
        for value in (b"", b"[]", b"{}", b'{"config_version":"x"}', b"\x00"):
            with self.subTest(value=value), self.assertRaises(RecordError):
                decode_configuration(Row("config", 1, value))
