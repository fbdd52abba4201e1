"""Rows of the `terms` table: the primary of a database group, and its term.

A row is validated when it is decoded. A row that cannot be decoded becomes one of
state `INVALID`, so that the preceding row is not used any longer.

    >>> text = b'{"term": 3, "primary": "db1", "state": "open", "promoter": "p1"}'
    >>> decode_row(Row("orders", 7, text)).term
    3
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from beryltiller.core.decoding import MAX_NUMBER, DecodingError, Name, decode_json
from beryltiller.core.outcome import Refusal
from beryltiller.core.ports import Row, Write

TABLE = "terms"


@unique
class TermState(Enum):
    """State of a group's term, as its row has it.

    `OPEN`: the term is in force. `PENDING`: a promoter has claimed it. `INVALID`: the
    row cannot be decoded; this state is never stored.
    """

    OPEN = "open"
    PENDING = "pending"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class TermRow:
    """One group's decoded row.

    `primary` is the primary of the last open term; in a pending row that is the former
    primary, or an empty string if there has been none. `promoter` identifies the
    process that claimed the term and differs for each start of that process.
    `version` is the version in the store, or 0 for a row not yet written.
    """

    group: str
    term: int
    state: TermState
    primary: str = ""
    promoter: str = ""
    version: int = 0

    @property
    def is_open(self) -> bool:
        """Return True if the term is in force."""
        return self.state is TermState.OPEN


class _RowModel(msgspec.Struct, forbid_unknown_fields=True):
    term: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
    primary: Name
    state: TermState
    promoter: Name


def parse_row(row: Row) -> Result[TermRow, Refusal]:
    """Return the validated row, or a refusal with the invalid field and the reason."""
    try:
        model = decode_json(row.value, _RowModel)
    except DecodingError as error:
        return Failure(Refusal(str(error), field=f"{TABLE}/{row.key}"))
    if model.state is TermState.INVALID:
        return Failure(
            Refusal(
                "state 'invalid' must not be stored", field=f"{TABLE}/{row.key}.state"
            )
        )
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
    """Return the validated row, or one of state `INVALID` if it is not valid."""
    invalid = TermRow(row.key, 0, TermState.INVALID, version=row.version)
    return parse_row(row).value_or(invalid)


def encode_write(row: TermRow) -> Write:
    """Return the write that replaces version `row.version` with this row."""
    model = _RowModel(row.term, row.primary, row.state, row.promoter)
    return Write(TABLE, row.group, row.version, msgspec.json.encode(model))
