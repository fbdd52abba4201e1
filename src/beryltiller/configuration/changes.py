"""Changes to a configuration: applying them, and saying how two versions differ.

>>> from beryltiller.configuration.tables import Configuration, Pool
>>> before = Configuration(version=4)
>>> after = Configuration(version=5, pools=(Pool("workshop", ("g1",)),))
>>> print(*difference(before, after))
+ pool "workshop": groups ["g1"]
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields, replace
from enum import Enum
from typing import Any, TypeVar

from returns.result import Failure, Result

from beryltiller.configuration.tables import (
    Configuration,
    Group,
    InvalidConfiguration,
    Pool,
    Route,
    validate,
)
from beryltiller.core.outcome import Refusal

_Row = TypeVar("_Row", Route, Pool, Group)


@dataclass(frozen=True, slots=True)
class Put:
    """Add a row, or replace the row of the same name."""

    row: Route | Pool | Group


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove a row; `kind` is the row's class."""

    kind: type[Route] | type[Pool] | type[Group]
    name: str


@dataclass(frozen=True, slots=True)
class ReplaceAll:
    """Replace every row by those of another document."""

    configuration: Configuration


Change = Put | Delete | ReplaceAll


@dataclass(frozen=True, slots=True)
class Edit:
    """Describe one difference: a row added or removed, or one field of it changed."""

    sign: str
    table: str
    name: str
    detail: str

    def __str__(self) -> str:
        """Return one readable line, such as `~ route "r1": pool "a" -> "b"`."""
        return f'{self.sign} {self.table} "{self.name}": {self.detail}'


@dataclass(frozen=True, slots=True)
class Conflict:
    """Tell an operator that another change came first.

    `edits` lead from the version in force to the document that was refused: what
    applying it again from the new version would do, including undoing the other
    operator's change.
    """

    expected: int
    current: Configuration
    edits: tuple[Edit, ...]

    def __str__(self) -> str:
        """Return the two versions and one difference a line."""
        head = (
            f"version {self.current.version} is in force, the change was made from"
            f" version {self.expected}; it would do:"
        )
        return "\n".join([head, *(f"  {edit}" for edit in self.edits)])


def apply(
    configuration: Configuration, change: Change
) -> Result[Configuration, InvalidConfiguration]:
    """Return the changed configuration, validated whole, at the version it is from."""
    match change:
        case Put(row):
            return validate(_put(configuration, row))
        case Delete(kind, name):
            return _delete(configuration, kind, name)
        case ReplaceAll(wanted):
            return validate(replace(wanted, version=configuration.version))


def conflict(wanted: Configuration, current: Configuration) -> Conflict:
    """Return what the operator of a refused compare-and-set is told."""
    return Conflict(wanted.version, current, difference(current, wanted))


def difference(before: Configuration, after: Configuration) -> tuple[Edit, ...]:
    """Return the edits that turn one configuration's rows into another's."""
    return (
        *_differences("route", before.routes, after.routes),
        *_differences("pool", before.pools, after.pools),
        *_differences("group", before.groups, after.groups),
    )


def _put(configuration: Configuration, row: Route | Pool | Group) -> Configuration:
    match row:
        case Route():
            return replace(configuration, routes=_with(configuration.routes, row))
        case Pool():
            return replace(configuration, pools=_with(configuration.pools, row))
        case Group():
            return replace(configuration, groups=_with(configuration.groups, row))


def _with(rows: tuple[_Row, ...], row: _Row) -> tuple[_Row, ...]:
    if any(other.name == row.name for other in rows):
        return tuple(row if other.name == row.name else other for other in rows)
    added: tuple[_Row, ...] = (row,)
    return rows + added


def _delete(
    configuration: Configuration,
    kind: type[Route] | type[Pool] | type[Group],
    name: str,
) -> Result[Configuration, InvalidConfiguration]:
    table = f"{kind.__name__.lower()}s"
    rows = getattr(configuration, table)
    kept = tuple(row for row in rows if row.name != name)
    if len(kept) == len(rows):
        refusal = Refusal(f'no {kind.__name__.lower()} named "{name}"', table)
        return Failure(InvalidConfiguration((refusal,)))
    match table:
        case "routes":
            return validate(replace(configuration, routes=kept))
        case "pools":
            return validate(replace(configuration, pools=kept))
        case _:
            return validate(replace(configuration, groups=kept))


def _differences(
    table: str, before: Iterable[_Row], after: Iterable[_Row]
) -> Iterator[Edit]:
    old = {row.name: row for row in before}
    new = {row.name: row for row in after}
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield Edit("-", table, name, _describe(old[name]))
        elif name not in old:
            yield Edit("+", table, name, _describe(new[name]))
        else:
            yield from _changed_fields(table, old[name], new[name])


def _changed_fields(table: str, old: _Row, new: _Row) -> Iterator[Edit]:
    for field in fields(old):
        was, now = getattr(old, field.name), getattr(new, field.name)
        if was != now:
            detail = f"{field.name} {_text(was)} -> {_text(now)}"
            yield Edit("~", table, old.name, detail)


def _describe(row: Route | Pool | Group) -> str:
    pairs = ((field.name, getattr(row, field.name)) for field in fields(row))
    return ", ".join(
        f"{name} {_text(value)}"
        for name, value in pairs
        if name != "name" and value is not None
    )


def _text(value: Any) -> str:
    return json.dumps(value, default=_plain)


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return {field.name: getattr(value, field.name) for field in fields(value)}
