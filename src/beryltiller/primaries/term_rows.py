"""Rows of the `terms` table: who is primary of a database group, and in which term.

The row is validated where it enters. A row that cannot be read becomes one of state
`INVALID`, so that nobody goes on with the row before it.

    >>> text = b'{"term": 3, "primary": "db1", "state": "open", "promoter": "p1"}'
    >>> decode_row(Row("orders", 7, text)).term
    3
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from beryltiller.core.outcome import Refusal
from beryltiller.core.ports import Row, Write

TABLE = "terms"


@unique
class TermState(Enum):
    """Tell whether a term is in force, is being prepared, or cannot be read."""

    OPEN = "open"
    PENDING = "pending"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class TermRow:
    """Hold one group's row.

    `primary` is the primary of the last open term, so in a pending row it is the
    former one, and empty when there has been none. `promoter` names the process that
    claimed the term, uniquely for each start of it. `version` is the store's, 0 for a
    row not yet written.
    """

    group: str
    term: int
    state: TermState
    primary: str = ""
    promoter: str = ""
    version: int = 0

    @property
    def is_open(self) -> bool:
        """Tell whether the term is in force."""
        return self.state is TermState.OPEN


class _RowModel(msgspec.Struct, forbid_unknown_fields=True):
    term: Annotated[int, msgspec.Meta(ge=1)]
    primary: str
    state: TermState
    promoter: str


_DECODER = msgspec.json.Decoder(_RowModel)


def parse_row(row: Row) -> Result[TermRow, Refusal]:
    """Return the validated row, or the field at fault and the reason."""
    try:
        model = _DECODER.decode(row.value)
    except msgspec.DecodeError as error:
        return Failure(Refusal(str(error), field=f"{TABLE}/{row.key}"))
    if model.state is TermState.INVALID:
        return Failure(Refusal("not a stored state", field=f"{TABLE}/{row.key}.state"))
    parsed = TermRow(
        group=row.key,
        term=model.term,
        state=model.state,
        primary=model.primary,
        promoter=model.promoter,
        version=row.version,
    )
    return Success(parsed)


def decode_row(row: Row) -> TermRow:
    """Return the validated row, or one of state `INVALID`."""
    invalid = TermRow(row.key, 0, TermState.INVALID, version=row.version)
    return parse_row(row).value_or(invalid)


def encode_write(row: TermRow) -> Write:
    """Return the write that replaces version `row.version` by this row."""
    model = _RowModel(row.term, row.primary, row.state, row.promoter)
    return Write(TABLE, row.group, row.version, msgspec.json.encode(model))
