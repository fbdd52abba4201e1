"""Answers of the metadata store: their models, and the rows and versions in them."""

import base64
from typing import TypeVar

import msgspec

from beryltiller.core import revisions
from beryltiller.core.decoding import Count, DecodingError, decode_items, decode_json
from beryltiller.core.ports import LostAnswerError, Row
from beryltiller.core.revisions import RevisionError

_T = TypeVar("_T")


class RowModel(msgspec.Struct, frozen=True):
    """A row in an answer; `value` is base64, and `deleted` marks a deleted row."""

    key: str
    row_version: Count = 0
    value: str = ""
    part: str = ""
    deleted: bool = False


class KeyModel(msgspec.Struct, frozen=True):
    """The key and part of a row whose other fields cannot be read."""

    key: str
    part: str = ""


class RowsModel(msgspec.Struct, frozen=True):
    """An answer with rows of a table; `row_version` is the store's newest version.

    `current_time_ms` is by the store's monotonic clock. With `has_more` the answer is
    one page, and further rows follow it. Rows are decoded one by one.
    """

    rows: tuple[msgspec.Raw, ...]
    row_version: Count
    current_time_ms: Count | None = None
    has_more: bool = False


class CommitModel(msgspec.Struct, frozen=True):
    """The answer to a transaction.

    `row_version` is the version of all rows that the transaction wrote, and
    `current_time_ms` is by the store's monotonic clock.
    """

    row_version: Count
    current_time_ms: Count = 0


def decode_answer(body: bytes, model: type[_T]) -> _T:
    """Return the body of an answer as a model.

    Raise `LostAnswerError` if it cannot be decoded.
    """
    try:
        return decode_json(body, model)
    except DecodingError as error:
        raise LostAnswerError(f"the answer cannot be decoded: {error}") from error


def own_rows(model: RowsModel) -> list[RowModel]:
    """Return the rows of the part without a name; other parts may have the same keys.

    A row without a readable key is left out.
    """
    rows = filter(None, map(_decode_row_model, model.rows))
    return [row for row in rows if not row.part]


def _decode_row_model(raw: msgspec.Raw) -> RowModel | None:
    """Return a row of an answer, without its value if some field cannot be read."""
    try:
        return decode_json(bytes(raw), RowModel)
    except DecodingError:
        # The row's decoder refuses an empty value, and other rows are not affected.
        models, _ = decode_items((raw,), KeyModel)
    return RowModel(models[0].key, part=models[0].part) if models else None


def join_revision(era: int, version: int) -> int:
    """Return the revision of a version in an era.

    Raise `LostAnswerError` if there is none.
    """
    try:
        return revisions.join(era, version)
    except RevisionError as error:
        raise LostAnswerError(str(error)) from error


def decode_row(model: RowModel, era: int) -> Row:
    """Return a row with its revision, which is 0 if its version is too large.

    An odd value is left empty: the row's decoder refuses it, and other rows are not
    affected.
    """
    try:
        value = base64.b64decode(model.value, validate=True)
    except ValueError:
        value = b""
    try:
        # The version 0 stands for a row that does not exist, in any era.
        version = revisions.join(era, model.row_version) if model.row_version else 0
    except RevisionError:
        return Row(model.key, 0, b"")
    return Row(model.key, version, value)
