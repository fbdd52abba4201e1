"""Tests of forwarded statements that are malformed, unknown or too large to answer."""

import unittest
from unittest import mock

from msgspec.structs import replace

from beryltiller.membership.messages import (
    ForwardedStatement,
    Message,
    PositionRequest,
    Refused,
    ReplyTo,
    SessionStatement,
)
from beryltiller.sessions.forwarding import forwarded_sessions, forwarding_codec
from beryltiller.sessions.statements import Code, Write
from tests.forwarding_fixture import ForwardingFixture
from tests.virtual_loop import run_virtual


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
