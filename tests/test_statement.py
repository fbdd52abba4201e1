"""Tests of parsing callers' requests and checking them against their routes.

They guard against invalid headers that are passed on, unsafe writes that run without a
key, and a caller that receives the answer to another's request of the same key.
"""

import doctest
import unittest

from beryltiller.consistency import statement
from beryltiller.consistency.statement import (
    MAX_BODY_BYTES,
    MAX_SESSION_CHARACTERS,
    Request,
    check_request,
    parse_request,
)
from beryltiller.core.outcome import Kind

TRACE = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class ParseRequestTest(unittest.TestCase):
    """Headers are parsed to a request, or refused with the name of the header."""

    def test_request_with_every_header(self) -> None:
        headers = [
            ("Host", "a"),
            ("beryl-route", "orders"),
            ("Beryl-Caller", "counter-1"),
            ("Beryl-Session", "token"),
            ("Beryl-Request-Key", "k1"),
            ("Beryl-Timeout-Ms", "1500"),
            ("Beryl-Idempotent", "false"),
            ("Beryl-Max-Age-Ms", "250"),
            ("Beryl-Transaction", "t1"),
            ("Beryl-Partition", "p1"),
            ("traceparent", TRACE),
        ]
        request = parse_request(headers, b"x").unwrap()
        self.assertEqual(
            request,
            Request(
                "orders",
                "counter-1",
                b"x",
                session="token",
                key="k1",
                timeout_seconds=1.5,
                idempotent=False,
                max_age_seconds=0.25,
                transaction="t1",
                partition="p1",
                trace_parent=TRACE,
            ),
        )

    def test_defaults(self) -> None:
        request = parse_request([("Beryl-Route", "orders")], b"x").unwrap()
        self.assertEqual(request, Request("orders", "anonymous", b"x"))
        self.assertEqual(request.shard_key, "anonymous")

    def test_refusal_names_the_invalid_header(self) -> None:
        cases = (
            ("Beryl-Route", ""),
            ("Beryl-Route", "a b"),
            ("Beryl-Route", "a\n"),
            ("Beryl-Route", "r" * 65),
            ("Beryl-Caller", "é"),
            ("Beryl-Session", "s" * (MAX_SESSION_CHARACTERS + 1)),
            ("Beryl-Request-Key", "k" * 129),
            ("Beryl-Request-Key", "k\r\nTerm: 9"),
            ("Beryl-Timeout-Ms", "0"),
            ("Beryl-Timeout-Ms", "60001"),
            ("Beryl-Timeout-Ms", "soon"),
            ("Beryl-Idempotent", "yes"),
            ("Beryl-Max-Age-Ms", "-1"),
            ("Beryl-Max-Age-Ms", ""),
            ("Beryl-Transaction", ""),
            ("Beryl-Partition", "p" * 65),
            ("Beryl-Max-Age", "5"),
        )
        for name, value in cases:
            headers = {"Beryl-Route": "orders"} | {name: value}
            with self.subTest(name=name, value=value):
                refusal = parse_request(headers.items(), b"x").failure()
                self.assertEqual(refusal.field, name)
                self.assertTrue(refusal.reason)

    def test_missing_or_repeated_header_and_invalid_body(self) -> None:
        route = ("Beryl-Route", "orders")
        cases: tuple[tuple[list[tuple[str, str]], bytes, str], ...] = (
            ([], b"x", "Beryl-Route"),
            ([route, ("BERYL-ROUTE", "other")], b"x", "Beryl-Route"),
            ([route], b"", "body"),
            ([route], b"x" * (MAX_BODY_BYTES + 1), "body"),
        )
        for headers, body, field in cases:
            with self.subTest(headers=headers, size=len(body)):
                refusal = parse_request(headers, body).failure()
                self.assertEqual(refusal.field, field)

    def test_invalid_trace_context_is_ignored(self) -> None:
        headers = [("Beryl-Route", "orders"), ("traceparent", "rubbish")]
        self.assertEqual(parse_request(headers, b"x").unwrap().trace_parent, "")

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(statement).failed, 0)


class CheckRequestTest(unittest.TestCase):
    """Requests that do not fit their route's kind of work are refused."""

    def test_requests_that_do_not_fit_their_route(self) -> None:
        unsafe, write = Kind.UNSAFE_WRITE, Kind.WRITE
        key = "Beryl-Request-Key"
        cases = (
            (unsafe, Request("r", "c", b"x"), True, key),
            (unsafe, Request("r", "c", b"x", key="k"), True, None),
            (unsafe, Request("r", "c", b"x", key="k"), False, key),
            (unsafe, Request("r", "c", b"x", transaction="t"), False, "Beryl-Route"),
            (unsafe, Request("r", "c", b"x", transaction="t"), True, None),
            (unsafe, Request("r", "c", b"x", key="k", transaction="t"), True, key),
            (
                unsafe,
                Request("r", "c", b"x", key="k", idempotent=True),
                True,
                "Beryl-Idempotent",
            ),
            (write, Request("r", "c", b"x"), False, None),
            (write, Request("r", "c", b"x", key="k"), False, key),
            (Kind.READ, Request("r", "c", b"x", key="k"), True, key),
            (
                Kind.READ,
                Request("r", "c", b"x", max_age_seconds=1),
                True,
                "Beryl-Max-Age-Ms",
            ),
            (Kind.AGED_READ, Request("r", "c", b"x", max_age_seconds=1), True, None),
        )
        for kind, request, claims_keys, field in cases:
            with self.subTest(kind=kind, request=request, claims_keys=claims_keys):
                refusal = check_request(request, kind, claims_keys)
                self.assertEqual(refusal.field if refusal else None, field)

    def test_equal_keys_of_two_callers_get_different_scoped_keys(self) -> None:
        first = Request("r", "c1", b"x", key="k")
        second = Request("r", "c2", b"x", key="k")
        self.assertNotEqual(first.scoped_key, second.scoped_key)
        first = Request("r", "c/1", b"x", key="k")
        second = Request("r", "c", b"x", key="1/k")
        self.assertNotEqual(first.scoped_key, second.scoped_key)
        self.assertEqual(Request("r", "c1", b"x").scoped_key, "")
