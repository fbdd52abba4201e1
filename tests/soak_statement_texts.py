"""Texts of the callers of a soak: plain, odd but valid, and malformed ones."""

import random

NAMES = ("s1", "s2", "s3")
VALUE_NAMES = ("tz", "lang", "x")
VALUES = ("utc", "en", "a b", "READ item")
SHAPES = ("q1", "q2", "q2f", "q3", "q4")
# Valid shapes that hold blanks, some of them beside plain ones that begin alike.
BLANK_SHAPES = ("q1", "q2f", "q2f READ wf", "q1 READ mhn", "q2 READ mhnvlprup")
ITEMS = ("item", "1a4", "a-b.c")
DATA = ("data", "xkqpwnzd", "two words", "COMMIT")
# Shapes that hold blanks, words of the grammar, line ends and other separators.
HOSTILE_SHAPES = (
    *BLANK_SHAPES,
    "q4 where a",
    "q3 WRITE q3 WRITE wf",
    "q2  two",
    "q2 ",
    "q1\nQUERY raw-0 WRITE item smuggled",
    "q1\rREAD item",
    "q1\0\u0085\u2028\xa0x",
    "SINCE 1.1 READ item",
)
ODD_TEXTS = (
    "SET x a  b ",
    "SET x \u2028",
    "SET x\xa0y z",
    "SET x a\nb",
    "SET SINCE 1.1",
    "READ \u0085",
    "READ a\0b",
    "READ a\nb",
    "READ a\rb",
    "READ -",
    "READ READ",
    "WRITE item a  b ",
    "WRITE item  ",
    "WRITE item a\nQUERY raw-0 WRITE item smuggled",
    "WRITE item \u2028\xa0",
    "WRITE SINCE 9.9 READ item",
)
MALFORMED_TEXTS = (
    "",
    " ",
    "SET",
    "SET a",
    "SET a ",
    "SET  a",
    "PREPARE s",
    "PREPARE s READ",
    "PREPARE s READ ",
    "PREPARE  READ q1",
    "PREPARE s BOTH q1",
    "EXECUTE",
    "EXECUTE s1",
    "EXECUTE s1 ",
    "EXECUTE  s1 item",
    "EXECUTE nobody item",
    "DEALLOCATE",
    "DEALLOCATE nobody",
    "READ",
    "READ ",
    "READ  item",
    "WRITE item",
    "BEGIN WRITE",
    "BEGIN ",
    "COMMIT ",
    "COMMIT now",
    "ROLLBACK ",
    "SINCE 1.1 READ item",
    "RESET",
    "STATUS",
    "PAUSE 99",
    "STEPDOWN 99",
    "read item",
)
# Bytes that are no statement, after which the caller leaves.
RAW = (
    b"\r\n",
    b"QUERY\r\n",
    b"QUERY raw-1 READ \xff\xfe\r\n",
    b"QUERY raw-2 READ item\n",
    b"\x16\x03\x01\x02\x00\x01\x00",
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    b"STARTUP orders again\r\n",
    b"STARTUP nowhere again\r\n",
    b"TERMINATE\r\nQUERY raw-3 WRITE item late\r\n",
)
MALFORMED_IDENTIFIERS = ("-", "")


def write_text(rng: random.Random) -> str:
    """Return a plain write."""
    return f"WRITE {rng.choice(ITEMS)} {rng.choice(DATA)}"


def read_text(rng: random.Random) -> str:
    """Return a plain read."""
    return f"READ {rng.choice(ITEMS)}"


def set_text(rng: random.Random) -> str:
    """Return an assignment of a plain value."""
    return f"SET {rng.choice(VALUE_NAMES)} {rng.choice(VALUES)}"


def execute_text(rng: random.Random, name: str) -> str:
    """Return the execution of a prepared statement, with data or without."""
    data = rng.choice(("", *(f" {each}" for each in DATA)))
    return f"EXECUTE {name} {rng.choice(ITEMS)}{data}"
