"""Tests of forwarded statements that are malformed, unknown or too large to answer."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from msgspec.structs import replace

from beryltiller.membership.messages import (
    ForwardedStatement,
    Message,
    PositionRequest,
    Refused,
    ReplyTo,
    SessionReply,
    SessionStatement,
)
from beryltiller.sessions.forwarding import forwarded_sessions, forwarding_codec
from beryltiller.sessions.forwarding.forwarded_sessions import ForwardedSessions
from beryltiller.sessions.organisations import Organisation, Organisations, Quota
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import Code, Read, Reply, SessionState, Write
from tests.forwarding_fixture import ForwardingFixture
from tests.virtual_loop import run_virtual, virtual_now

REPLY = Reply(SessionState.IDLE, signature="signed")


class ForwardedLimitsTest(unittest.TestCase):
    """What peers send keeps no state behind, and no statement runs twice."""

    def test_refused_messages_leave_nothing_behind(self) -> None:
        """Guards against transactions and groups that nobody uses or ends."""

        async def work() -> None:
            fixture = ForwardingFixture()
            fleet = fixture.holder.group.fleet
            answers: list[Message] = []
            sessions = fixture.holder.group.service.forwarded_sessions(
                lambda reply_to, message: answers.append(message)
            )
            assert fleet.configuration is not None
            part = forwarding_codec.encode_route(fleet.configuration.routes["db"])
            read = ForwardedStatement("read", ("i",))
            usual = SessionStatement("p/1", part, "", "q", read, {})
            begin = replace(usual, transaction=1, begins=True)
            odd = (
                replace(begin, statement=ForwardedStatement("drop")),
                replace(begin, route=replace(part, service="no")),
                replace(usual, route=replace(part, service="no")),
                replace(usual, statement=ForwardedStatement("commit")),
                PositionRequest("no"),
            )
            for message in odd:
                sessions.receive(message, ReplyTo(b"", b""))
                self.assertIsInstance(answers[-1], Refused)
            self.assertEqual(len(answers), len(odd))
            self.assertEqual(sessions.open_count, 0)
            self.assertEqual([each.service for each in fleet.groups()], ["s"])
            fixture.close()

        run_virtual(work())

    def test_statements_beyond_the_memory_limit_are_refused(self) -> None:
        """Guards against a holder that is killed for its memory."""

        async def work() -> None:
            fixture = ForwardingFixture()
            group = fixture.holder.group
            answers: list[Message] = []
            sessions = ForwardedSessions(
                mock.Mock(run_on_route=mock.AsyncMock(return_value=REPLY)),
                mock.Mock(),
                group.fleet,
                lambda reply_to, message: answers.append(message),
                virtual_now,
                max_bytes=5000,
            )
            assert group.fleet.configuration is not None
            part = forwarding_codec.encode_route(group.fleet.configuration.routes["db"])
            write = ForwardedStatement("write", ("i", "d" * 9000))
            message = SessionStatement("p/1", part, "", "q", write, {})
            for _ in range(2):
                answers.clear()
                sessions.receive(message, ReplyTo(b"", b"1"))
                sessions.receive(message, ReplyTo(b"", b"2"))
                await asyncio.sleep(0.1)
                self.assertEqual(answers[0], Refused("busy"))
                self.assertIsInstance(answers[1], SessionReply)
            self.assertEqual(sessions.open_count, 0)
            fixture.close()

        run_virtual(work())

    def test_write_whose_reply_is_too_large_runs_once(self) -> None:
        """Guards against a refusal, after which the write is sent elsewhere."""

        async def work() -> None:
            fixture = ForwardingFixture()
            proxy, leader = fixture.others[0], fixture.holder.group.leader
            reply = await proxy.group.run(proxy.group.session(), Write("i", "d"))
            self.assertIs(reply.code, Code.UNKNOWN_OUTCOME)
            self.assertEqual(leader.statement_names().count("Write"), 1)
            fixture.close()

        # A reply takes more than its signature, "signed".
        limit = forwarded_sessions.REPLY_OVERHEAD_BYTES + 5
        with mock.patch.object(forwarded_sessions, "MAX_MESSAGE_BYTES", limit):
            run_virtual(work())

    def test_each_run_of_a_read_is_admitted(self) -> None:
        """Guards against more reads at the databases than the quota admits."""

        async def work() -> None:
            fixture = ForwardingFixture()
            proxy = fixture.others[0]
            acme = Organisation("acme", quota=Quota(5.0, 10.0))
            for each in fixture.proxies:
                present = each.group.fleet.configuration
                assert present is not None
                each.group.fleet.adopt(
                    dataclasses.replace(
                        present,
                        version=present.version + 1,
                        organisations=Organisations.of(((acme, ("key",)),)),
                    )
                )
            fixture.update_members()
            quotas = mock.Mock(admit=mock.AsyncMock(return_value=None))
            proxy.group.service.enforce_quotas(quotas)
            fixture.faults(fixture.holder).loses_replies = True
            session = proxy.group.service.open_session("db", "key")
            assert isinstance(session, Session)
            reply = await proxy.group.run(session, Read("i"))
            self.assertTrue(reply.is_success)
            databases = fixture.holder.group.databases
            read = sum(
                each.statement_names().count("Read") for each in databases.values()
            )
            self.assertEqual(quotas.admit.await_count, read)
            fixture.close()

        run_virtual(work())
