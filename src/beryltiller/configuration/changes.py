"""Changes to a configuration: applying them, and listing how two versions differ.

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
    """A change that adds a row, or replaces the row of the same name."""

    row: Route | Pool | Group


@dataclass(frozen=True, slots=True)
class Delete:
    """A change that removes the row `name`; `kind` is the row's class."""

    kind: type[Route] | type[Pool] | type[Group]
    name: str


@dataclass(frozen=True, slots=True)
class ReplaceAll:
    """A change that replaces all rows by those of another configuration."""

    configuration: Configuration


Change = Put | Delete | ReplaceAll


@dataclass(frozen=True, slots=True)
class Edit:
    """One difference: a row added (`+`) or removed (`-`), or a field changed (`~`)."""

    sign: str
    table: str
    name: str
    detail: str

    def __str__(self) -> str:
        """Return one readable line, such as `~ route "r1": pool "a" -> "b"`."""
        return f'{self.sign} {self.table} "{self.name}": {self.detail}'


@dataclass(frozen=True, slots=True)
class Conflict:
    """The refusal of a change because another change was made first.

    `expected` is the version that the refused change was made from, and `current` the
    version in force. `edits` lead from `current` to the refused document. They show
    what applying it now would do, which includes undoing the other operator's change.
    """

    expected: int
    current: Configuration
    edits: tuple[Edit, ...]

    def __str__(self) -> str:
        """Return a line with the two versions, then each edit on a line of its own."""
        head = (
            f"version {self.current.version} is in force, but the change was made from"
            f" version {self.expected}; applying it now would make these edits:"
        )
        return "\n".join([head, *(f"  {edit}" for edit in self.edits)])


def apply(
    configuration: Configuration, change: Change
) -> Result[Configuration, InvalidConfiguration]:
    """Return the changed configuration, completely validated.

    Its version stays that of `configuration`, which the compare-and-set expects.
    """
    match change:
        case Put(row):
            return validate(_put(configuration, row))
        case Delete(kind, name):
            return _delete(configuration, kind, name)
        case ReplaceAll(replacement):
            return validate(replace(replacement, version=configuration.version))


def build_conflict(refused: Configuration, current: Configuration) -> Conflict:
    """Return the report to the operator whose compare-and-set was refused."""
    return Conflict(refused.version, current, difference(current, refused))


def difference(before: Configuration, after: Configuration) -> tuple[Edit, ...]:
    """Return the edits that turn the rows of `before` into those of `after`."""
    return (
        *_differences("route", before.routes, after.routes),
        *_differences("pool", before.pools, after.pools),
        *_differences("group", before.groups, after.groups),
    )


def _put(configuration: Configuration, row: Route | Pool | Group) -> Configuration:
    match row:
        case Route():
            return replace(configuration, routes=_put_row(configuration.routes, row))
        case Pool():
            return replace(configuration, pools=_put_row(configuration.pools, row))
        case Group():
            return replace(configuration, groups=_put_row(configuration.groups, row))


def _put_row(rows: tuple[_Row, ...], row: _Row) -> tuple[_Row, ...]:
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
            yield Edit("-", table, name, _describe_row(old[name]))
        elif name not in old:
            yield Edit("+", table, name, _describe_row(new[name]))
        else:
            yield from _changed_fields(table, old[name], new[name])


def _changed_fields(table: str, old: _Row, new: _Row) -> Iterator[Edit]:
    for field in fields(old):
        old_value, new_value = getattr(old, field.name), getattr(new, field.name)
        if old_value != new_value:
            detail = f"{field.name} {_to_json(old_value)} -> {_to_json(new_value)}"
            yield Edit("~", table, old.name, detail)


def _describe_row(row: Route | Pool | Group) -> str:
    pairs = ((field.name, getattr(row, field.name)) for field in fields(row))
    return ", ".join(
        f"{name} {_to_json(value)}"
        for name, value in pairs
        if name != "name" and value is not None
    )


def _to_json(value: Any) -> str:
    return json.dumps(value, default=_to_plain_data)


def _to_plain_data(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return {field.name: getattr(value, field.name) for field in fields(value)}
