"""Tests of statements that one proxy forwards to another."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from msgspec.structs import replace

from beryltiller.core.position import Position
from beryltiller.membership.messages import (
    ForwardedStatement,
    PlacementQuestion,
    Refused,
    ReplyTo,
    SessionStatement,
)
from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.databases.evidence import EvidenceKind
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.databases.regions import Regions
from beryltiller.sessions.forwarding import forwarding_codec
from beryltiller.sessions.forwarding.placement_explainer import PlacementExplainer
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Commit,
    Execute,
    Prepare,
    Read,
    Reply,
    Rollback,
    SessionState,
    SetValue,
    Write,
)
from tests.forwarding_fixture import ForwardingFixture, ForwardingProxy
from tests.virtual_loop import run_virtual, virtual_now

Work = Callable[[ForwardingFixture], Awaitable[None]]


def run(work: Work, **options: object) -> None:
    """Run a test's work on the virtual clock."""

    async def main() -> None:
        fixture = ForwardingFixture(**options)  # type: ignore[arg-type]
        try:
            await work(fixture)
        finally:
            fixture.close()

    run_virtual(main())


async def run_all(
    proxy: ForwardingProxy, session: Session, *statements: CallerStatement
) -> list[Reply]:
    """Return the replies to statements that a caller sends one after the other."""
    return [await proxy.group.run(session, each) for each in statements]


class SingleStatementTest(unittest.TestCase):
    """A statement runs once, at the holder, and its reply is passed on unchanged."""

    def test_holder_runs_the_statements_of_a_proxy_without_connections(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, leader = fixture.others[0], fixture.holder.group.leader
            session = proxy.group.session()
            written, read = await run_all(proxy, session, Write("i", "d"), Read("i"))
            self.assertTrue(written.is_success and read.is_success)
            self.assertEqual(leader.statement_names().count("Write"), 1)
            self.assertEqual(session.committed["s"], Position(1, 11))
            pool = proxy.group.fleet.connection_pool(leader.entry())
            self.assertEqual(pool.size, 0)

        run(work)

    def test_values_and_prepared_statements_are_set_up_at_the_holder(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy = fixture.others[0]
            session = proxy.group.session()
            replies = await run_all(
                proxy,
                session,
                SetValue("zone", "5"),
                Prepare("p", True, "shape"),
                Execute("p", "i d"),
            )
            self.assertTrue(all(each.is_success for each in replies))
            names = fixture.holder.group.leader.statement_names()
            self.assertEqual(names[-3:], ["SetValue", "Prepare", "Execute"])

        run(work)

    def test_read_sees_the_commit_that_its_session_made_at_another_holder(
        self,
    ) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy = fixture.others[0]
            session = proxy.group.session()
            await proxy.group.run(session, Write("i", "d"))
            await proxy.group.run(session, Read("i"))
            read = fixture.network.sent[-1]
            assert isinstance(read, SessionStatement)
            self.assertEqual(read.committed, "1:11")

        run(work)

    def test_statement_runs_here_if_no_holder_is_reached(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy = fixture.others[0]
            for each in fixture.proxies:
                fixture.faults(each).is_unreachable = True
            reply = await proxy.group.run(proxy.group.session(), Write("i", "d"))
            self.assertTrue(reply.is_success)

        run(work)

    def test_write_without_a_reply_is_of_unknown_outcome_and_runs_once(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, leader = fixture.others[0], fixture.holder.group.leader
            fixture.faults(fixture.holder).loses_replies = True
            reply = await proxy.group.run(proxy.group.session(), Write("i", "d"))
            self.assertIs(reply.code, Code.UNKNOWN_OUTCOME)
            self.assertEqual(leader.statement_names().count("Write"), 1)

        run(work)

    def test_read_without_a_reply_is_served_elsewhere(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy = fixture.others[0]
            fixture.faults(fixture.holder).loses_requests = True
            reply = await proxy.group.run(proxy.group.session(), Read("i"))
            self.assertTrue(reply.is_success)

        run(work)

    def test_draining_holder_refuses_and_the_statement_runs_elsewhere(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy = fixture.others[0]
            fixture.holder.sessions.drain()
            reply = await proxy.group.run(proxy.group.session(), Write("i", "d"))
            self.assertTrue(reply.is_success)

        run(work)

    def test_write_in_progress_at_the_end_of_the_holder_is_of_unknown_outcome(
        self,
    ) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy = fixture.others[0]
            fixture.holder.group.leader.hang = {Write}
            writing = asyncio.create_task(
                proxy.group.run(proxy.group.session(), Write("i", "d"))
            )
            await asyncio.sleep(0.1)
            fixture.holder.sessions.give_up()
            self.assertIs((await writing).code, Code.UNKNOWN_OUTCOME)

        run(work)


class TransactionTest(unittest.TestCase):
    """A transaction runs on one connection of one holder, or fails as a whole."""

    def test_statements_run_on_one_connection_until_the_commit(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, leader = fixture.others[0], fixture.holder.group.leader
            session = proxy.group.session()
            steps = (Begin(), Write("i", "d"), Read("i"), Commit())
            replies = await run_all(proxy, session, *steps)
            self.assertTrue(all(each.is_success for each in replies))
            self.assertEqual(
                [each.state for each in replies],
                [SessionState.OPEN] * 3 + [SessionState.IDLE],
            )
            ran = [
                number
                for number, request in leader.ran
                if isinstance(request.statement, Begin | Write | Commit)
            ]
            self.assertEqual(len(set(ran)), 1)
            self.assertEqual(fixture.holder.sessions.open_count, 0)

        run(work)

    def test_rollback_ends_the_transaction_at_the_holder(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, leader = fixture.others[0], fixture.holder.group.leader
            session = proxy.group.session()
            await run_all(proxy, session, Begin(), Write("i", "d"), Rollback())
            await asyncio.sleep(0.1)
            self.assertIn("Rollback", leader.statement_names())
            self.assertEqual(fixture.holder.sessions.open_count, 0)

        run(work)

    def test_statement_without_a_reply_fails_it_and_nothing_is_kept(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, leader = fixture.others[0], fixture.holder.group.leader
            session = proxy.group.session()
            await run_all(proxy, session, Begin(), Write("i", "d"))
            fixture.faults(fixture.holder).loses_replies = True
            reply = await proxy.group.run(session, Write("j", "d"))
            self.assertIs(reply.code, Code.ABORTED)
            self.assertIs(session.state, SessionState.FAILED)
            reply = await proxy.group.run(session, Commit())
            self.assertIs(reply.code, Code.ABORTED)
            await asyncio.sleep(1.0)
            self.assertNotIn("Commit", leader.statement_names())
            self.assertIn("Rollback", leader.statement_names())

        run(work)

    def test_commit_without_a_reply_is_unknown_only_if_it_has_written(self) -> None:
        for statement, code in (
            (Write("i", "d"), Code.UNKNOWN_OUTCOME),
            (Read("i"), Code.ABORTED),
        ):

            async def work(
                fixture: ForwardingFixture,
                statement: CallerStatement = statement,
                code: Code = code,
            ) -> None:
                proxy = fixture.others[0]
                session = proxy.group.session()
                await run_all(proxy, session, Begin(), statement)
                fixture.faults(fixture.holder).loses_replies = True
                reply = await proxy.group.run(session, Commit())
                self.assertIs(reply.code, code)
                self.assertIs(session.state, SessionState.IDLE)

            with self.subTest(code):
                run(work)

    def test_holder_rolls_back_for_a_proxy_that_is_silent(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, holder = fixture.others[0], fixture.holder
            session = proxy.group.session()
            await run_all(proxy, session, Begin(), Write("i", "d"))
            holder.sessions.expire(None)
            self.assertEqual(holder.sessions.open_count, 1)
            await asyncio.sleep(4.5)
            holder.sessions.expire(None)
            await asyncio.sleep(0.1)
            self.assertEqual(holder.sessions.open_count, 0)
            reply = await proxy.group.run(session, Commit())
            self.assertIs(reply.code, Code.ABORTED)
            self.assertNotIn("Commit", holder.group.leader.statement_names())

        run(work)

    def test_stopping_holder_ends_it_and_no_statement_runs_outside(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, holder = fixture.others[0], fixture.holder
            session = proxy.group.session()
            await run_all(proxy, session, Begin(), Write("i", "d"))
            holder.sessions.drain()
            holder.sessions.end_transactions()
            before = holder.group.leader.statement_names().count("Write")
            reply = await proxy.group.run(session, Write("j", "d"))
            self.assertIs(reply.code, Code.ABORTED)
            reply = await proxy.group.run(session, Write("k", "d"))
            self.assertIs(reply.code, Code.MALFORMED)
            after = holder.group.leader.statement_names().count("Write")
            self.assertEqual(before, after)

        run(work)

    def test_statement_in_progress_is_answered_before_a_stopping_holder_ends_it(
        self,
    ) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, holder = fixture.others[0], fixture.holder
            session = proxy.group.session()
            await run_all(proxy, session, Begin())
            writing = asyncio.create_task(proxy.group.run(session, Write("i", "d")))
            await asyncio.sleep(0.005)
            holder.sessions.end_transactions()
            reply = await writing
            self.assertTrue(reply.is_success)
            self.assertIs(reply.state, SessionState.FAILED)
            self.assertIs((await proxy.group.run(session, Commit())).code, Code.ABORTED)
            self.assertNotIn("Commit", holder.group.leader.statement_names())

        run(work)


class OddMessageTest(unittest.TestCase):
    """A message that another release or a broken peer sent is refused unrun."""

    def test_odd_messages_are_refused_and_run_nothing(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            holder = fixture.holder
            route = holder.group.fleet.configuration
            assert route is not None
            part = forwarding_codec.encode_route(route.routes["db"])
            read = ForwardedStatement("read", ("i",))
            usual = SessionStatement("p/1", part, "", "q", read, {})
            odd = {
                "kind": ForwardedStatement("drop", ("i",)),
                "texts": ForwardedStatement("read", ()),
                "route": None,
                "position": None,
                "transaction": None,
            }
            answers: list[object] = []
            sessions = holder.group.service.forwarded_sessions(
                lambda reply_to, message: answers.append(message)
            )
            for name, statement in odd.items():
                message = usual
                if statement is not None:
                    message = replace(usual, statement=statement)
                elif name == "route":
                    message = replace(usual, route=replace(part, kind="?"))
                elif name == "position":
                    message = replace(usual, committed="1:x")
                else:
                    message = replace(usual, transaction=9)
                answers.clear()
                with self.subTest(name):
                    self.assertTrue(sessions.receive(message, ReplyTo(b"", b"")))
                    (answer,) = answers
                    self.assertIsInstance(answer, Refused)
            self.assertEqual(holder.group.leader.ran, [])

        run(work)


class ExplanationTest(unittest.TestCase):
    """What is explained is what is done, and nothing is sent for it."""

    def explain(
        self, fixture: ForwardingFixture, proxy: ForwardingProxy
    ) -> PlacementExplainer:
        group = proxy.group
        return PlacementExplainer(
            proxy.me.name,
            group.fleet,
            Placer("a"),
            proxy.plan,
            proxy.client,
            virtual_now,
        )

    def test_explanation_names_the_holder_and_the_database_that_then_run_it(
        self,
    ) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            proxy, holder = fixture.others[0], fixture.holder
            question = PlacementQuestion("db", is_write=True)
            answer = self.explain(fixture, proxy).answer(question)
            self.assertEqual(answer.forwards_to, holder.me.address)
            local = replace(question, is_local=True)
            answer = self.explain(fixture, holder).answer(local)
            self.assertEqual(answer.forwards_to, "")
            self.assertIn("database leader in a is the primary", answer.reasons)
            self.assertEqual(fixture.network.sent, [])
            self.assertEqual(holder.group.leader.ran, [])
            await proxy.group.run(proxy.group.session(), Write("i", "d"))
            self.assertEqual(holder.group.leader.statement_names(), ["Write"])

        run(work)

    def test_cheapest_database_is_named_first_and_why_others_are_left_out(
        self,
    ) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            holder = fixture.holder
            explainer = self.explain(fixture, holder)
            reasons = explainer.answer(PlacementQuestion("db", is_local=True)).reasons
            self.assertTrue(reasons[1].startswith("database leader in a, primary:"))
            left_out = [each for each in reasons if "cannot serve it" in each]
            self.assertEqual(len(left_out), 2)

        run(work)

    def test_unknown_route_is_explained(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            explainer = self.explain(fixture, fixture.holder)
            (reason,) = explainer.answer(PlacementQuestion("nothing")).reasons
            self.assertIn("no route", reason)

        run(work)


class RegionTest(unittest.TestCase):
    """Reads stay in their region, and learn from peers what they must see."""

    def test_read_far_from_the_primary_learns_its_position_from_a_peer(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            north = [
                each for each in fixture.proxies if each.me.availability_zone == "a"
            ]
            south = [
                each for each in fixture.proxies if each.me.availability_zone == "b"
            ]
            session = north[0].group.session()
            await run_all(north[0], session, Write("i", "d"), Read("i"))
            far = south[0].group
            far.far.index = far.leader.index
            asked = far.leader.asked
            reply = await far.run(far.session(), Read("i"))
            self.assertTrue(reply.is_success)
            ran = [type(request.statement) for _, request in far.far.ran]
            self.assertIn(Read, ran)
            self.assertEqual(far.leader.asked, asked)
            holders = [
                each
                for each in south
                if each.group.fleet.group("s").peer_cover is not None
            ]
            self.assertTrue(holders)
            cover = holders[0].group.fleet.group("s").cover(0.0)
            assert cover is not None
            self.assertIs(cover.evidence.kind, EvidenceKind.PEER)

        run(
            work,
            kind=RouteKind.BOUNDED_STALENESS,
            zones=("a", "a", "b", "b"),
            regions=Regions({"a": "north", "b": "south"}),
        )

    def test_write_is_forwarded_to_the_region_of_the_primary(self) -> None:
        async def work(fixture: ForwardingFixture) -> None:
            south = [
                each for each in fixture.proxies if each.me.availability_zone == "b"
            ]
            for each in south:
                reply = await each.group.run(each.group.session(), Write("i", "d"))
                self.assertTrue(reply.is_success)
                pool = each.group.fleet.connection_pool(each.group.leader.entry())
                self.assertEqual(pool.size, 0)

        run(
            work,
            zones=("a", "a", "b", "b"),
            regions=Regions({"a": "north", "b": "south"}),
        )
