"""Tests of replacing the configuration in the store when answers are lost."""

import unittest
from collections.abc import Callable, Sequence
from dataclasses import replace

from beryltiller.adapters.configuration_store import LostAnswer, replace_configuration
from beryltiller.configuration.changes import Conflict
from beryltiller.configuration.tables import Configuration, Pool, encode
from beryltiller.core.ports import LostAnswerError, RefusedError, Row, TableRows, Write

_REQUESTED = Configuration(version=4, pools=(Pool("counter", ("g1",)),))
_OTHER = Configuration(version=4, pools=(Pool("floor", ("g1",)),))


class FakeTableService:
    """A table service with one row; each commit first runs the next of the faults."""

    def __init__(self, *faults: Callable[["FakeTableService", Write], None]) -> None:
        self.row = Row("current", 4, b"{}")
        self._faults = list(faults)

    async def read(self, table: str, key: str) -> Row | None:
        return self.row

    async def scan(self, table: str, since: int = 0) -> TableRows:
        return TableRows(self.row.version, (self.row,))

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        (write,) = writes
        if self._faults:
            self._faults.pop(0)(self, write)
        return (self.put(write),)

    def put(self, write: Write) -> int:
        if write.expected != self.row.version:
            raise RefusedError("conflict")
        self.row = Row(write.key, write.expected + 1, write.value)
        return self.row.version


def _lose_before(service: FakeTableService, write: Write) -> None:
    raise LostAnswerError("not applied")


def _lose_after(service: FakeTableService, write: Write) -> None:
    service.put(write)
    raise LostAnswerError("applied")


def _lose_and_replace(service: FakeTableService, write: Write) -> None:
    service.put(write)
    service.put(replace(write, expected=5, value=encode(_OTHER)))
    raise LostAnswerError("applied, then replaced")


def _commit_other_first(service: FakeTableService, write: Write) -> None:
    service.put(replace(write, value=encode(_OTHER)))


def _refuse(service: FakeTableService, write: Write) -> None:
    raise RefusedError("unreachable")


class ReplaceConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """A change is applied once, and not reported as refused if it may be applied."""

    async def test_outcome_reflects_whether_the_change_may_be_applied(self) -> None:
        cases = (
            ((), Configuration, 5),
            ((_lose_before,), Configuration, 5),
            ((_lose_after,), Configuration, 5),
            ((_lose_before, _lose_after), Configuration, 5),
            ((_lose_before, _refuse), Configuration, 5),
            ((_commit_other_first,), Conflict, 5),
            ((_lose_before, _commit_other_first), LostAnswer, 5),
            ((_lose_and_replace,), LostAnswer, 6),
            ((_lose_before,) * 3, LostAnswer, 4),
            ((_lose_before, _refuse, _refuse), LostAnswer, 4),
        )
        for faults, kind, version in cases:
            service = FakeTableService(*faults)
            with self.subTest(faults=faults):
                result = await replace_configuration(service, _REQUESTED)
                outcome = result.value_or(None) or result.failure()
                self.assertIsInstance(outcome, kind)
                self.assertEqual(service.row.version, version)

    async def test_refusal_is_raised(self) -> None:
        with self.assertRaises(RefusedError):
            await replace_configuration(FakeTableService(_refuse), _REQUESTED)
