"""Contract of the callers' interface, through one proxy to stand-in databases."""

import unittest
from contextlib import AsyncExitStack
from io import BytesIO
from unittest import mock

import msgspec

from beryltiller.adapters.callers import Answer, Request
from beryltiller.admission.explanations import explain
from beryltiller.core.outcome import Kind, Outcome
from tests import callers_rig, servers
from tests.callers_rig import body


class ProxyTestCase(unittest.IsolatedAsyncioTestCase):
    """Start one proxy with three databases for each test."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.rig = await callers_rig.start(self.stack)

    async def write(self, key: str, value: str, **more: str) -> Answer:
        """Write one key in a session."""
        request = Request(
            Kind.WRITE.value,
            body("put", key, value),
            session=more.get("session", ""),
            key=more.get("request_key", ""),
        )
        return await self.rig.send(request)

    async def read(self, key: str, session: str) -> Answer:
        """Read one key in a session."""
        request = Request(Kind.READ.value, body("get", key), session=session)
        return await self.rig.send(request)

    def value(self, answer: Answer) -> str:
        """Return the value in a whole answer."""
        self.assertEqual(answer.outcome, Outcome.DONE, answer.body)
        return str(msgspec.json.decode(answer.body)["value"])

    async def replicated(self) -> None:
        """Wait until every database holds the key `a`."""

        async def caught_up() -> bool:
            return all("a" in self.stored(name) for name in callers_rig.NAMES)

        await servers.until(caught_up)

    def stored(self, database: str = "d1") -> dict[str, str]:
        """Return what a database holds."""
        return self.rig.standins[database].model.data


class BadInputTest(ProxyTestCase):
    """Bad input is refused with the field and the reason, and nothing is sent."""

    async def test_refusals(self) -> None:
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
                response = await self.rig.post(
                    "/v1/statements", body("put", "a", "1"), **headers
                )
                error = await response.json()
                self.assertEqual((response.status, error["field"]), (400, field))
                self.assertEqual(error["outcome"], "not-run")
                self.assertTrue(error["reason"])
        self.assertEqual(self.stored(), {})

    async def test_other_paths_and_long_statements(self) -> None:
        response = await self.rig.post("/v2/statements", b"x")
        self.assertEqual(response.status, 404)
        response = await self.rig.post(
            "/v1/statements", BytesIO(b"x" * 2_000_000), Beryl_Route="write"
        )
        self.assertEqual(response.status, 400)

    async def test_a_statement_the_database_refuses(self) -> None:
        answer = await self.rig.send(Request(Kind.WRITE.value, b"not a statement"))
        self.assertEqual((answer.status, answer.outcome), (400, Outcome.NOT_RUN))


class OutcomeTest(ProxyTestCase):
    """Each fault leads to the outcome that it proves, and to no stronger one."""

    async def test_a_write_is_read_back_in_its_session(self) -> None:
        written = await self.write("a", "1", session="new")
        self.assertEqual(written.served_by, "d1")
        for _ in range(10):
            self.assertEqual(self.value(await self.read("a", written.session)), "1")

    async def test_faults_of_the_primary(self) -> None:
        cases: tuple[tuple[str, dict[str, str], Outcome], ...] = (
            ("lose_answers", {}, Outcome.UNKNOWN),
            ("halve_answers", {}, Outcome.UNKNOWN),
            ("lose_answers", {"request_key": "k1"}, Outcome.DONE),
            ("halve_answers", {"request_key": "k2"}, Outcome.DONE),
        )
        for fault, more, outcome in cases:
            with self.subTest(fault=fault, more=more):
                setattr(self.rig.standins["d1"].faults, fault, 1)
                answer = await self.write("a", fault, **more)
                self.assertEqual(answer.outcome, outcome)
                self.assertEqual(self.stored()["a"], fault)

    async def test_unsafe_work_runs_once_for_its_key(self) -> None:
        request = Request(Kind.UNSAFE_WRITE.value, body("add", "n"), key="checkout-7")
        self.rig.standins["d1"].faults.lose_answers = 1
        answers = [await self.rig.send(request) for _ in range(3)]
        self.assertEqual({each.outcome for each in answers}, {Outcome.DONE})
        self.assertEqual(self.stored()["n"], "1")

    async def test_two_callers_with_one_key_both_run(self) -> None:
        for caller in ("glazier", "sales"):
            await self.rig.send(
                Request(Kind.UNSAFE_WRITE.value, body("add", "n"), caller, key="k")
            )
        self.assertEqual(self.stored()["n"], "2")

    async def test_a_frozen_write_ends_at_its_deadline(self) -> None:
        self.rig.standins["d1"].faults.hang = True
        request = Request(Kind.WRITE.value, body("put", "a", "1"), timeout_ms=1000)
        answer = await self.rig.send(request)
        self.assertEqual((answer.status, answer.outcome), (504, Outcome.UNKNOWN))

    async def test_an_error_of_the_proxy_is_unknown(self) -> None:
        with (
            mock.patch.object(self.rig.planner, "begin", side_effect=ZeroDivisionError),
            self.assertLogs("beryltiller.process.proxy"),
        ):
            answer = await self.write("a", "1")
        self.assertEqual((answer.status, answer.outcome), (500, Outcome.UNKNOWN))
        self.assertIn(b"an error in the proxy", answer.body)

    async def test_draining_refuses(self) -> None:
        self.rig.proxy.drain()
        answer = await self.write("a", "1")
        self.assertEqual((answer.status, answer.outcome), (503, Outcome.NOT_RUN))
        self.assertEqual(answer.headers["Connection"], "close")


class EvidenceTest(ProxyTestCase):
    """A write is acknowledged on evidence in force, or once two logs hold it."""

    async def test_lapsed_evidence_needs_two_logs(self) -> None:
        self.rig.publish(1, "d1", age_seconds=5.0)
        answer = await self.write("a", "1")
        self.assertEqual(answer.outcome, Outcome.DONE)
        holders = [name for name in callers_rig.NAMES if "a" in self.stored(name)]
        self.assertGreaterEqual(len(holders), 2)

    async def test_unsafe_work_is_acknowledged_from_two_logs(self) -> None:
        request = Request(Kind.UNSAFE_WRITE.value, body("put", "a", "1"), key="k")
        self.assertEqual((await self.rig.send(request)).outcome, Outcome.DONE)
        holders = [name for name in callers_rig.NAMES if "a" in self.stored(name)]
        self.assertGreaterEqual(len(holders), 2)

    async def test_unsafe_work_without_a_second_log_is_unknown(self) -> None:
        for name in ("d2", "d3"):
            self.rig.standins[name].following = ""
        request = Request(
            Kind.UNSAFE_WRITE.value, body("put", "a", "1"), key="k", timeout_ms=1000
        )
        self.assertEqual((await self.rig.send(request)).outcome, Outcome.UNKNOWN)

    async def test_without_a_second_log_it_is_unknown(self) -> None:
        self.rig.publish(1, "d1", age_seconds=5.0)
        for name in ("d2", "d3"):
            self.rig.standins[name].faults.lag_ms = 60_000
            self.rig.standins[name].following = ""
        request = Request(Kind.WRITE.value, body("put", "a", "1"), timeout_ms=1000)
        answer = await self.rig.send(request)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)

    async def test_lapsed_evidence_serves_reads_without_a_token(self) -> None:
        await self.write("a", "1")
        self.rig.publish(1, "d1", age_seconds=5.0)
        self.assertEqual(self.value(await self.read("a", "")), "1")

    async def test_two_fenced_databases_end_reads_without_a_token(self) -> None:
        await self.write("a", "1")
        self.rig.publish(1, "d1", age_seconds=5.0)
        for name in ("d2", "d3"):
            await self.rig.endpoints[name].fence(2)
        request = Request(Kind.READ.value, body("get", "a"), timeout_ms=1000)
        self.assertEqual((await self.rig.send(request)).outcome, Outcome.NOT_RUN)

    async def test_a_replaced_primary_is_not_believed(self) -> None:
        self.rig.publish(2, "d2")
        request = Request(Kind.WRITE.value, body("put", "a", "1"), timeout_ms=1000)
        answer = await self.rig.send(request)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.stored(), {})

    async def test_a_lost_write_is_told_to_its_session(self) -> None:
        written = await self.write("a", "kept", session="new")
        await self.replicated()
        for name in ("d2", "d3"):
            await self.rig.endpoints[name].fence(2)
        tail = await self.write("a", "lost", session=written.session)
        self.assertEqual(tail.outcome, Outcome.DONE)
        await self.rig.promote(3, "d2")
        answer = await self.read("a", tail.session)
        self.assertEqual((answer.status, answer.outcome), (409, Outcome.NOT_RUN))
        self.assertIn("lost in the failover", answer.body.decode())
        at_once = await self.read("a", tail.session)
        self.assertEqual((at_once.status, at_once.outcome), (409, Outcome.NOT_RUN))
        self.assertEqual(self.value(await self.read("a", answer.session)), "kept")


class TransactionTest(ProxyTestCase):
    """A transaction takes effect whole, by its commit, or not at all."""

    async def begin(self, caller: str = "anonymous") -> str:
        response = await self.rig.post(
            "/v1/transactions", Beryl_Route="write", Beryl_Caller=caller
        )
        self.assertEqual(response.status, 201, await response.text())
        return response.headers["Beryl-Transaction"]

    async def run_in(self, identifier: str, value: str, caller: str = "a") -> int:
        response = await self.rig.post(
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
        response = await self.rig.post(
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

    async def test_another_caller_cannot_use_it(self) -> None:
        identifier = await self.begin()
        self.assertEqual(await self.run_in(identifier, "x", "thief"), 409)

    async def test_every_step_belongs_to_the_route_that_began(self) -> None:
        identifier = await self.begin()
        response = await self.rig.post(
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
        self.rig.standins["d1"].faults.lose_answers = 1
        self.assertEqual(await self.end(identifier, "commit"), (504, "unknown"))

    async def test_a_commit_of_a_replaced_term_is_unknown(self) -> None:
        identifier = await self.begin()
        await self.run_in(identifier, "x", "anonymous")
        self.rig.publish(2, "d2")
        self.assertEqual(await self.end(identifier, "commit"), (504, "unknown"))

    async def test_a_commit_does_not_hide_a_lost_write(self) -> None:
        for name in ("d2", "d3"):
            await self.rig.endpoints[name].fence(2)
        lost = await self.write("a", "lost", session="new")
        await self.rig.promote(3, "d2")

        async def is_history_known() -> bool:
            state = self.rig.planner.group("g1")
            return state is not None and state.view.history is not None

        self.rig.board.update_planner("g1")
        await servers.until(is_history_known)
        identifier = await self.begin()
        ended = await self.end(identifier, "commit", session=lost.session)
        self.assertEqual(ended, (409, "not-run"))

    async def test_a_failover_ends_it(self) -> None:
        identifier = await self.begin()
        await self.run_in(identifier, "x", "anonymous")
        await self.rig.promote(2, "d2")
        self.assertEqual(await self.end(identifier, "commit"), (409, "not-run"))
        self.assertNotIn("x", self.stored("d2"))


class LeavingTest(ProxyTestCase):
    """A leaving endpoint gets no reads once the proxy knows."""

    async def test_reads_go_elsewhere(self) -> None:
        written = await self.write("a", "1", session="new")
        await self.replicated()
        self.rig.planner.record_draining("g1", {"d3"})
        for _ in range(20):
            answer = await self.read("a", written.session)
            self.assertNotEqual(answer.served_by, "d3")


class ExplainTest(ProxyTestCase):
    """Operators can ask what became of a request."""

    async def test_a_request_is_explained_and_traced(self) -> None:
        answer = await self.write("a", "1")
        explanation = explain(self.rig.records, answer.request_id, is_operator=True)
        self.assertEqual(len(explanation.attempts), 1)
        self.assertIn("done", explanation.text())
