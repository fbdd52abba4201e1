"""Decoding of data from outside, where every failure raises one type of error.

Other programs write rows and send messages too. Nested data can exceed the limit on
recursion, text need not be UTF-8, and a number may be too large for its later use, so
that decoders raise more errors than those of their own module. Each border decodes with
this module, catches `DecodingError`, and limits its models' fields.

>>> decode_json(b"[1, 2]", list[int])
[1, 2]
>>> decode_json(b"[" * 2000 + b"]" * 2000, object)
Traceback (most recent call last):
    ...
beryltiller.core.decoding.DecodingError: maximum recursion depth exceeded while ...
"""

from collections.abc import Callable, Iterable
from typing import Annotated, TypeVar

import msgspec

# Numbers from outside are at most this large: the next one still fits in 64 bits, as
# the encoders require.
MAX_NUMBER = 2**62
# The longest name accepted from outside; the store's own limit on texts is 200 bytes.
MAX_NAME_CHARACTERS = 1_000
MAX_REASON_CHARACTERS = 200

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
# A name without blanks, line ends and control characters.
Word = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^[^\s\x00-\x1f\x7f-\x9f]{{1,{MAX_NAME_CHARACTERS}}}\Z",
    ),
]

_MAX_DIGITS = len(str(MAX_NUMBER))
_GAP = "..."
_T = TypeVar("_T")


class DecodingError(Exception):
    """Data that cannot be decoded; the reason is short, whatever the data is."""


def decode_with(decode: Callable[[bytes], _T], data: bytes) -> _T:
    """Return `decode(data)`; raise `DecodingError` if it fails in any way.

    `decode` must have no effects, as it may fail at any point.
    """
    try:
        return decode(data)
    except Exception as error:
        reason = str(error) or type(error).__name__
        raise DecodingError(shorten(reason)) from error


def decode_json(data: bytes, model: type[_T]) -> _T:
    """Decode JSON in UTF-8, or raise `DecodingError`.

    Text of fields that the model ignores must be UTF-8 too.
    """
    return decode_with(
        lambda each: msgspec.json.decode(each.decode(), type=model), data
    )


def check_word(text: str) -> None:
    """Raise `DecodingError` unless a text is a `Word`.

    >>> check_word("s t")
    Traceback (most recent call last):
        ...
    beryltiller.core.decoding.DecodingError: Expected `str` matching regex ...
    """
    try:
        msgspec.convert(text, Word)
    except msgspec.ValidationError as error:
        raise DecodingError(shorten(str(error))) from error


def decode_items(
    items: Iterable[msgspec.Raw], model: type[_T]
) -> tuple[list[_T], list[str]]:
    """Decode the items of a JSON list one by one.

    Return those that can be decoded, and for each other one the reason.
    """
    models: list[_T] = []
    reasons: list[str] = []
    for item in items:
        try:
            models.append(decode_json(bytes(item), model))
        except DecodingError as error:
            reasons.append(str(error))
    return models, reasons


def parse_count(text: str) -> int:
    """Parse a number of ASCII digits up to `MAX_NUMBER`, or raise ValueError.

    >>> parse_count("17")
    17
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    if not is_number or int(text) > MAX_NUMBER:
        raise ValueError(f"expected a number up to {MAX_NUMBER}, got {shorten(text)!r}")
    return int(text)


def shorten(text: str, max_characters: int = MAX_REASON_CHARACTERS) -> str:
    """Return a text of at most `max_characters`, without its middle if it is longer.

    >>> shorten("a" * 5 + "b" * 5, 7)
    'aa...bb'
    """
    if len(text) <= max_characters:
        return text
    kept = max_characters - len(_GAP)
    return text[: kept - kept // 2] + _GAP + text[len(text) - kept // 2 :]
