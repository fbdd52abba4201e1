"""Tests of the callers' interface: one proxy serves from stand-in databases."""

import unittest
from contextlib import AsyncExitStack
from io import BytesIO
from unittest import mock

import msgspec

from beryltiller.adapters.proxy_client import Answer, Request
from beryltiller.admission.explanations import explain
from beryltiller.core.outcome import Kind, Outcome
from tests import proxy_fixture, servers
from tests.proxy_fixture import body


class ProxyTestCase(unittest.IsolatedAsyncioTestCase):
    """A test that starts one proxy with three databases."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.fixture = await proxy_fixture.start(self.stack)

    async def write(self, key: str, value: str, **more: str) -> Answer:
        """Write one key, in a session and with a request key if they are given."""
        request = Request(
            Kind.WRITE.value,
            body("put", key, value),
            session=more.get("session", ""),
            key=more.get("request_key", ""),
        )
        return await self.fixture.send(request)

    async def read(self, key: str, session: str) -> Answer:
        """Read one key in a session."""
        request = Request(Kind.READ.value, body("get", key), session=session)
        return await self.fixture.send(request)

    def value(self, answer: Answer) -> str:
        """Check that an answer is complete, and return the value in it."""
        self.assertEqual(answer.outcome, Outcome.DONE, answer.body)
        return str(msgspec.json.decode(answer.body)["value"])

    async def wait_until_replicated(self) -> None:
        """Wait until every database has replicated the key `a`."""

        async def is_replicated() -> bool:
            return all("a" in self.stored(name) for name in proxy_fixture.NAMES)

        await servers.until(is_replicated)

    def stored(self, database: str = "d1") -> dict[str, str]:
        """Return the keys and values that a database stores."""
        return self.fixture.standins[database].model.data


class BadInputTest(ProxyTestCase):
    """Invalid input is refused with field and reason, before anything is sent."""

    async def test_invalid_headers_are_refused(self) -> None:
        write, read, unsafe = Kind.WRITE.value, Kind.READ.value, Kind.UNSAFE_WRITE.value
        cases: tuple[tuple[dict[str, str], str], ...] = (
            ({}, "Beryl-Route"),
            ({"Beryl_Route": "nowhere"}, "Beryl-Route"),
            ({"Beryl_Route": write, "Beryl_Timeout_Ms": "0"}, "Beryl-Timeout-Ms"),
            ({"Beryl_Route": write, "Beryl_Timeout_Ms": "x"}, "Beryl-Timeout-Ms"),
            ({"Beryl_Route": write, "Beryl_Max_Age_Ms": "5"}, "Beryl-Max-Age-Ms"),
            ({"Beryl_Route": read, "Beryl_Request_Key": "k"}, "Beryl-Request-Key"),
            ({"Beryl_Route": unsafe}, "Beryl-Request-Key"),
            ({"Beryl_Route": write, "Beryl_Session": "forged"}, "Beryl-Session"),
            ({"Beryl_Route": write, "Beryl_Sesion": "new"}, "Beryl-Sesion"),
        )
        for headers, field in cases:
            with self.subTest(headers=headers):
                response = await self.fixture.post(
                    "/v1/statements", body("put", "a", "1"), **headers
                )
                error = await response.json()
                self.assertEqual((response.status, error["field"]), (400, field))
                self.assertEqual(error["outcome"], "not-run")
                self.assertTrue(error["reason"])
        self.assertEqual(self.stored(), {})

    async def test_other_paths_and_too_long_statements_are_refused(self) -> None:
        response = await self.fixture.post("/v2/statements", b"x")
        self.assertEqual(response.status, 404)
        response = await self.fixture.post(
            "/v1/statements", BytesIO(b"x" * 2_000_000), Beryl_Route="write"
        )
        self.assertEqual(response.status, 400)

    async def test_statement_refused_by_the_database_is_not_run(self) -> None:
        answer = await self.fixture.send(Request(Kind.WRITE.value, b"not a statement"))
        self.assertEqual((answer.status, answer.outcome), (400, Outcome.NOT_RUN))


class OutcomeTest(ProxyTestCase):
    """The outcome after a fault states no more than what the proxy can prove.

    A write that may have run but is answered as not run would be repeated by its
    caller; one that is answered as done but did not run would be lost.
    """

    async def test_a_write_is_read_back_in_its_session(self) -> None:
        written = await self.write("a", "1", session="new")
        self.assertEqual(written.served_by, "d1")
        for _ in range(10):
            self.assertEqual(self.value(await self.read("a", written.session)), "1")

    async def test_lost_and_incomplete_answers_are_unknown_without_a_request_key(
        self,
    ) -> None:
        cases: tuple[tuple[str, dict[str, str], Outcome], ...] = (
            ("lose_answers", {}, Outcome.UNKNOWN),
            ("halve_answers", {}, Outcome.UNKNOWN),
            ("lose_answers", {"request_key": "k1"}, Outcome.DONE),
            ("halve_answers", {"request_key": "k2"}, Outcome.DONE),
        )
        for fault, more, outcome in cases:
            with self.subTest(fault=fault, more=more):
                setattr(self.fixture.standins["d1"].faults, fault, 1)
                answer = await self.write("a", fault, **more)
                self.assertEqual(answer.outcome, outcome)
                self.assertEqual(self.stored()["a"], fault)

    async def test_unsafe_write_runs_once_for_its_request_key(self) -> None:
        request = Request(Kind.UNSAFE_WRITE.value, body("add", "n"), key="checkout-7")
        self.fixture.standins["d1"].faults.lose_answers = 1
        answers = [await self.fixture.send(request) for _ in range(3)]
        self.assertEqual({each.outcome for each in answers}, {Outcome.DONE})
        self.assertEqual(self.stored()["n"], "1")

    async def test_writes_of_two_callers_with_one_request_key_both_run(self) -> None:
        for caller in ("glazier", "sales"):
            await self.fixture.send(
                Request(Kind.UNSAFE_WRITE.value, body("add", "n"), caller, key="k")
            )
        self.assertEqual(self.stored()["n"], "2")

    async def test_write_to_a_hanging_database_ends_at_its_deadline(self) -> None:
        self.fixture.standins["d1"].faults.hang = True
        request = Request(Kind.WRITE.value, body("put", "a", "1"), timeout_ms=1000)
        answer = await self.fixture.send(request)
        self.assertEqual((answer.status, answer.outcome), (504, Outcome.UNKNOWN))

    async def test_error_in_the_proxy_has_outcome_unknown(self) -> None:
        with (
            mock.patch.object(
                self.fixture.planner, "begin", side_effect=ZeroDivisionError
            ),
            self.assertLogs("beryltiller.process.proxy"),
        ):
            answer = await self.write("a", "1")
        self.assertEqual((answer.status, answer.outcome), (500, Outcome.UNKNOWN))
        self.assertIn(b"an error in the proxy", answer.body)

    async def test_draining_proxy_refuses_requests(self) -> None:
        self.fixture.proxy.drain()
        answer = await self.write("a", "1")
        self.assertEqual((answer.status, answer.outcome), (503, Outcome.NOT_RUN))
        self.assertEqual(answer.headers["Connection"], "close")


class EvidenceTest(ProxyTestCase):
    """A write is acknowledged if evidence is in force, or once two logs have it.

    Guards against acknowledging a write that a failover then loses, and against reads
    from a primary that has been replaced.
    """

    async def test_lapsed_evidence_requires_two_logs(self) -> None:
        self.fixture.publish(1, "d1", age_seconds=5.0)
        answer = await self.write("a", "1")
        self.assertEqual(answer.outcome, Outcome.DONE)
        databases_with_write = [
            name for name in proxy_fixture.NAMES if "a" in self.stored(name)
        ]
        self.assertGreaterEqual(len(databases_with_write), 2)

    async def test_unsafe_write_is_acknowledged_once_two_logs_have_it(self) -> None:
        request = Request(Kind.UNSAFE_WRITE.value, body("put", "a", "1"), key="k")
        self.assertEqual((await self.fixture.send(request)).outcome, Outcome.DONE)
        databases_with_write = [
            name for name in proxy_fixture.NAMES if "a" in self.stored(name)
        ]
        self.assertGreaterEqual(len(databases_with_write), 2)

    async def test_unsafe_write_without_a_second_log_is_unknown(self) -> None:
        for name in ("d2", "d3"):
            self.fixture.standins[name].followed_address = ""
        request = Request(
            Kind.UNSAFE_WRITE.value, body("put", "a", "1"), key="k", timeout_ms=1000
        )
        self.assertEqual((await self.fixture.send(request)).outcome, Outcome.UNKNOWN)

    async def test_lapsed_evidence_without_a_second_log_is_unknown(self) -> None:
        self.fixture.publish(1, "d1", age_seconds=5.0)
        for name in ("d2", "d3"):
            self.fixture.standins[name].faults.lag_ms = 60_000
            self.fixture.standins[name].followed_address = ""
        request = Request(Kind.WRITE.value, body("put", "a", "1"), timeout_ms=1000)
        answer = await self.fixture.send(request)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)

    async def test_lapsed_evidence_serves_reads_without_a_token(self) -> None:
        await self.write("a", "1")
        self.fixture.publish(1, "d1", age_seconds=5.0)
        self.assertEqual(self.value(await self.read("a", "")), "1")

    async def test_reads_without_a_token_are_refused_after_two_databases_are_fenced(
        self,
    ) -> None:
        await self.write("a", "1")
        self.fixture.publish(1, "d1", age_seconds=5.0)
        for name in ("d2", "d3"):
            await self.fixture.endpoints[name].fence(2)
        request = Request(Kind.READ.value, body("get", "a"), timeout_ms=1000)
        self.assertEqual((await self.fixture.send(request)).outcome, Outcome.NOT_RUN)

    async def test_write_does_not_run_on_a_replaced_primary(self) -> None:
        self.fixture.publish(2, "d2")
        request = Request(Kind.WRITE.value, body("put", "a", "1"), timeout_ms=1000)
        answer = await self.fixture.send(request)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.stored(), {})

    async def test_session_is_informed_of_its_lost_write(self) -> None:
        written = await self.write("a", "kept", session="new")
        await self.wait_until_replicated()
        for name in ("d2", "d3"):
            await self.fixture.endpoints[name].fence(2)
        second_write = await self.write("a", "lost", session=written.session)
        self.assertEqual(second_write.outcome, Outcome.DONE)
        await self.fixture.promote(3, "d2")
        answer = await self.read("a", second_write.session)
        self.assertEqual((answer.status, answer.outcome), (409, Outcome.NOT_RUN))
        self.assertIn("lost in the failover", answer.body.decode())
        repeated_read = await self.read("a", second_write.session)
        self.assertEqual(
            (repeated_read.status, repeated_read.outcome), (409, Outcome.NOT_RUN)
        )
        self.assertEqual(self.value(await self.read("a", answer.session)), "kept")


class TransactionTest(ProxyTestCase):
    """A transaction takes effect completely, by its commit, or not at all.

    Guards against partial effects, against use by another caller or on another route,
    and against a commit that is acknowledged although a failover loses it.
    """

    async def begin(self, caller: str = "anonymous") -> str:
        """Begin a transaction and return its identifier."""
        response = await self.fixture.post(
            "/v1/transactions", Beryl_Route="write", Beryl_Caller=caller
        )
        self.assertEqual(response.status, 201, await response.text())
        return response.headers["Beryl-Transaction"]

    async def run_in(self, identifier: str, value: str, caller: str = "a") -> int:
        """Write a key of the name and value `value`; return the HTTP status."""
        response = await self.fixture.post(
            "/v1/statements",
            body("put", value, value),
            Beryl_Route="write",
            Beryl_Caller=caller,
            Beryl_Transaction=identifier,
        )
        return response.status

    async def end(
        self,
        identifier: str,
        verb: str,
        caller: str = "anonymous",
        session: str = "",
    ) -> tuple[int, str]:
        """Commit or roll back; return the HTTP status and the outcome."""
        response = await self.fixture.post(
            f"/v1/transactions/{identifier}/{verb}",
            Beryl_Route="write",
            Beryl_Caller=caller,
            Beryl_Session=session,
        )
        return response.status, response.headers["Beryl-Outcome"]

    async def test_commit_and_rollback(self) -> None:
        kept, dropped = await self.begin(), await self.begin("sales")
        self.assertEqual(await self.run_in(kept, "x", "anonymous"), 200)
        self.assertEqual(await self.run_in(dropped, "y", "sales"), 200)
        self.assertEqual(self.stored(), {})
        self.assertEqual(await self.end(dropped, "rollback", "sales"), (200, "done"))
        self.assertEqual(await self.end(kept, "commit"), (200, "done"))
        self.assertEqual(self.stored(), {"x": "x"})
        self.assertEqual(await self.end(kept, "commit"), (409, "not-run"))

    async def test_another_caller_cannot_use_the_transaction(self) -> None:
        identifier = await self.begin()
        self.assertEqual(await self.run_in(identifier, "x", "thief"), 409)

    async def test_steps_on_another_route_than_begin_are_refused(self) -> None:
        identifier = await self.begin()
        response = await self.fixture.post(
            "/v1/statements",
            body("put", "x", "x"),
            Beryl_Route="unsafe-write",
            Beryl_Transaction=identifier,
        )
        self.assertEqual(response.status, 400)
        self.assertEqual((await response.json())["field"], "Beryl-Route")

    async def test_a_lost_commit_is_unknown(self) -> None:
        identifier = await self.begin()
        await self.run_in(identifier, "x", "anonymous")
        self.fixture.standins["d1"].faults.lose_answers = 1
        self.assertEqual(await self.end(identifier, "commit"), (504, "unknown"))

    async def test_a_commit_of_a_replaced_term_is_unknown(self) -> None:
        identifier = await self.begin()
        await self.run_in(identifier, "x", "anonymous")
        self.fixture.publish(2, "d2")
        self.assertEqual(await self.end(identifier, "commit"), (504, "unknown"))

    async def test_a_commit_does_not_hide_a_lost_write(self) -> None:
        for name in ("d2", "d3"):
            await self.fixture.endpoints[name].fence(2)
        lost = await self.write("a", "lost", session="new")
        await self.fixture.promote(3, "d2")

        async def is_history_known() -> bool:
            state = self.fixture.planner.group("g1")
            return state is not None and state.view.history is not None

        self.fixture.board.update_planner("g1")
        await servers.until(is_history_known)
        identifier = await self.begin()
        ended = await self.end(identifier, "commit", session=lost.session)
        self.assertEqual(ended, (409, "not-run"))

    async def test_failover_ends_the_transaction(self) -> None:
        identifier = await self.begin()
        await self.run_in(identifier, "x", "anonymous")
        await self.fixture.promote(2, "d2")
        self.assertEqual(await self.end(identifier, "commit"), (409, "not-run"))
        self.assertNotIn("x", self.stored("d2"))


class LeavingTest(ProxyTestCase):
    """A database that the proxy knows to be leaving gets no more reads.

    Reads that are still sent to it would fail when its host is taken away.
    """

    async def test_reads_go_to_other_databases(self) -> None:
        written = await self.write("a", "1", session="new")
        await self.wait_until_replicated()
        self.fixture.planner.record_draining("g1", {"d3"})
        for _ in range(20):
            answer = await self.read("a", written.session)
            self.assertNotEqual(answer.served_by, "d3")


class ExplainTest(ProxyTestCase):
    """Operators can look up how a request was served.

    Guards against served requests without an admission record.
    """

    async def test_a_request_is_explained(self) -> None:
        answer = await self.write("a", "1")
        explanation = explain(self.fixture.records, answer.request_id, is_operator=True)
        self.assertEqual(len(explanation.attempts), 1)
        self.assertIn("done", explanation.text())
