"""Tests of the configuration document, its validation, changes and differences."""

import doctest
import json
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from beryltiller.configuration import changes, tables
from beryltiller.configuration.changes import (
    Delete,
    Put,
    ReplaceAll,
    apply,
    build_conflict,
    difference,
)
from beryltiller.configuration.tables import Configuration, Group, Pool, Route
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import Row


def _database(number: int) -> dict[str, Any]:
    return {
        "name": f"d{number}",
        "address": f"127.0.0.1:{7000 + number}",
        "availability_zone": "zagreb-a",
        "connection_cap": 20,
        "slots": 3,
    }


def _document() -> dict[str, Any]:
    return {
        "version": 7,
        "routes": [
            {"name": "cut-orders", "kind": "unsafe-write", "pool": "workshop"},
            {"name": "stock", "kind": "aged-read", "pool": "workshop", "max_age_ms": 9},
        ],
        "pools": [{"name": "workshop", "groups": ["g1"]}],
        "groups": [{"name": "g1", "databases": [_database(1), _database(2)]}],
    }


def _bytes(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


CONFIGURATION = tables.decode(_bytes(_document())).unwrap()

FAULTS: tuple[tuple[str, Callable[[dict[str, Any]], Any]], ...] = (
    (
        'routes[0] "cut-orders": pool: no pool named "glass"',
        lambda d: d["routes"][0].update(pool="glass"),
    ),
    (
        'routes[1] "stock": max_age_ms: needed for kind aged-read',
        lambda d: d["routes"][1].pop("max_age_ms"),
    ),
    (
        'routes[0] "cut-orders": max_age_ms: not allowed for kind unsafe-write',
        lambda d: d["routes"][0].update(max_age_ms=5),
    ),
    (
        'routes[1] "stock": max_age_ms: Expected `int` >= 1',
        lambda d: d["routes"][1].update(max_age_ms=0),
    ),
    (
        "routes[0] \"cut-orders\": kind: Invalid enum value 'scan'",
        lambda d: d["routes"][0].update(kind="scan"),
    ),
    (
        'routes[1] "cut-orders": name: "cut-orders" is used twice',
        lambda d: d["routes"][1].update(name="cut-orders"),
    ),
    (
        'routes[0] "cut-orders": Object contains unknown field `colour`',
        lambda d: d["routes"][0].update(colour="red"),
    ),
    (
        'pools[0] "workshop": groups[0]: no group named "g9"',
        lambda d: d["pools"][0].update(groups=["g9"]),
    ),
    (
        'pools[0] "workshop": groups[1]: "g1" is listed twice',
        lambda d: d["pools"][0].update(groups=["g1", "g1"]),
    ),
    (
        'pools[0] "workshop": groups: Expected `array` of length >= 1',
        lambda d: d["pools"][0].update(groups=[]),
    ),
    (
        'groups[0] "g1": databases[1].name: "d1" is used twice',
        lambda d: d["groups"][0]["databases"][1].update(name="d1"),
    ),
    (
        'groups[0] "g1": databases[1].address: "127.0.0.1:7001" is used twice',
        lambda d: d["groups"][0]["databases"][1].update(address="127.0.0.1:7001"),
    ),
    (
        'groups[0] "g1": databases[0].address: "db:7" is not an IP number and port',
        lambda d: d["groups"][0]["databases"][0].update(address="db:7"),
    ),
    (
        'groups[0] "g1": databases[0].slots: Expected `int` >= 1',
        lambda d: d["groups"][0]["databases"][0].update(slots=0),
    ),
    ("version: Expected `int` >= 0", lambda d: d.update(version=-1)),
)


class DocumentTest(unittest.TestCase):
    """A document is decoded completely, or refused with the row and field at fault."""

    def test_encoded_configuration_decodes(self) -> None:
        document = tables.encode(CONFIGURATION)
        self.assertEqual(tables.decode(document).unwrap(), CONFIGURATION)

    def test_faults_name_row_and_field(self) -> None:
        for expected, break_document in FAULTS:
            with self.subTest(expected=expected):
                document = _document()
                break_document(document)
                self.assertEqual(
                    str(tables.decode(_bytes(document)).failure()), expected
                )

    def test_all_references_to_missing_rows_are_reported_at_once(self) -> None:
        document = _document() | {"pools": []}
        self.assertEqual(len(tables.decode(_bytes(document)).failure().refusals), 2)

    def test_invalid_documents_are_refused(self) -> None:
        large = b" " * (tables.MAX_DOCUMENT_BYTES + 1)
        for document in (b"", b"{", b"[]", b'"x"', b'{"routes": [3]}', large):
            with self.subTest(document=document[:9]):
                self.assertTrue(tables.decode(document).failure().refusals)

    def test_configuration_has_the_version_of_its_row(self) -> None:
        row = Row(tables.KEY, 12, tables.encode(CONFIGURATION))
        self.assertEqual(tables.from_row(row).unwrap().version, 12)
        self.assertEqual(tables.from_row(None).unwrap(), tables.EMPTY)
        self.assertEqual(tables.to_write(CONFIGURATION).expected, 7)


class ChangeTest(unittest.TestCase):
    """A change results in a valid configuration or is refused."""

    def test_put_adds_and_replaces(self) -> None:
        route = Route("stock", Kind.READ, "workshop")
        changed = apply(CONFIGURATION, Put(route)).unwrap()
        self.assertEqual(changed.routes, (CONFIGURATION.routes[0], route))
        added = apply(CONFIGURATION, Put(Pool("second", ("g1",)))).unwrap()
        self.assertEqual(len(added.pools), 2)
        self.assertEqual(added.version, CONFIGURATION.version)

    def test_invalid_changes_are_refused(self) -> None:
        over_limit = replace(CONFIGURATION.groups[0].databases[0], connection_cap=10**6)
        cases: tuple[tuple[changes.Change, str], ...] = (
            (Delete(Pool, "workshop"), "no pool named"),
            (Delete(Group, "g1"), "no group named"),
            (Delete(Route, "none"), 'no route named "none"'),
            (Put(Route("bad name", Kind.READ, "workshop")), "routes[2]"),
            (Put(Group("g2", (over_limit,))), "connection_cap"),
            (ReplaceAll(replace(CONFIGURATION, groups=())), "no group named"),
        )
        for change, reason in cases:
            with self.subTest(change=change):
                self.assertIn(reason, str(apply(CONFIGURATION, change).failure()))

    def test_delete_removes_the_row(self) -> None:
        changed = apply(CONFIGURATION, Delete(Route, "stock")).unwrap()
        self.assertEqual(len(changed.routes), 1)

    def test_replace_keeps_the_version_of_the_changed_configuration(self) -> None:
        replacement = replace(CONFIGURATION, version=99)
        changed = apply(CONFIGURATION, ReplaceAll(replacement)).unwrap()
        self.assertEqual(changed.version, CONFIGURATION.version)


class DifferenceTest(unittest.TestCase):
    """Each difference is one line, and a conflict lists them for the operator."""

    def test_difference_lists_an_edit_for_each_change(self) -> None:
        after = Configuration(
            version=8,
            routes=(replace(CONFIGURATION.routes[0], kind=Kind.WRITE),),
            pools=(*CONFIGURATION.pools, Pool("second", ("g1",))),
            groups=CONFIGURATION.groups,
        )
        self.assertEqual(
            [str(edit) for edit in difference(CONFIGURATION, after)],
            [
                '~ route "cut-orders": kind "unsafe-write" -> "write"',
                '- route "stock": kind "aged-read", pool "workshop", max_age_ms 9',
                '+ pool "second": groups ["g1"]',
            ],
        )

    def test_conflict_lists_versions_and_edits(self) -> None:
        current = replace(CONFIGURATION, version=9, routes=())
        report = str(build_conflict(CONFIGURATION, current))
        self.assertIn("version 9 is in force", report)
        self.assertIn("from version 7", report)
        self.assertIn('+ route "cut-orders"', report)

    def test_examples(self) -> None:
        for module in (tables, changes):
            self.assertEqual(doctest.testmod(module).failed, 0)
