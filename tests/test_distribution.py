"""Tests of the I/O that carries out the actions of adoption and membership."""

import asyncio
import contextlib
import io
import time
import unittest
from collections.abc import Sequence

from beryltiller.adapters.peers import PeerKeys, Peers, PeerSettings, open_peers
from beryltiller.benchmarks import bench_control
from beryltiller.configuration.adoption_events import (
    AskPeer,
    Event,
    PeerAnswered,
    PeerFailed,
    ReadStore,
    StoreAnswered,
    StoreFailed,
)
from beryltiller.configuration.tables import Configuration
from beryltiller.core.ports import LostAnswerError, RefusedError, Row, TableRows, Write
from beryltiller.membership.membership_events import Request
from beryltiller.membership.messages import (
    ConfigurationReply,
    MembersRequest,
    Message,
    Refused,
    ReplyTo,
)
from beryltiller.process.adopter import Adopter
from beryltiller.process.distribution import AdoptionCallbacks, AdoptionIO
from beryltiller.process.gossip import MembershipCallbacks, MembershipIO

KEYS = PeerKeys.generate()
SETTINGS = PeerSettings("127.0.0.1:0", KEYS)
UNREACHABLE_ADDRESS = "127.0.0.1:1"


class _Table:
    """A table service that answers each read with one row or error."""

    def __init__(self, answer: Row | Exception | None) -> None:
        self._answer = answer

    async def read(self, table: str, key: str) -> Row | None:
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer

    async def scan(self, table: str, since: int = 0) -> TableRows:
        raise NotImplementedError

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        raise NotImplementedError


def _adoption(peers: Peers, answer: Row | Exception | None = None) -> AdoptionIO:
    callbacks = AdoptionCallbacks(
        lambda configuration: None, lambda confirm: None, lambda reject: None
    )
    return AdoptionIO(peers, _Table(answer), callbacks)


class DistributionTest(unittest.IsolatedAsyncioTestCase):
    """An action that fails results in a failure event or None, not in an exception."""

    async def _perform(
        self, action: ReadStore | AskPeer, answer: Row | Exception | None = None
    ) -> Event | None:
        async with open_peers(SETTINGS, lambda message, reply_to: None) as peers:
            return await _adoption(peers, answer).perform(action)

    async def test_store_read_results_in_answer_or_failure_event(self) -> None:
        row = Row("current", 3, b"{}")
        cases: tuple[tuple[Row | Exception | None, Event], ...] = (
            (row, StoreAnswered(row, 5.0)),
            (None, StoreAnswered(None, 5.0)),
            (RefusedError("unreachable"), StoreFailed()),
            (LostAnswerError("timeout"), StoreFailed()),
            (TimeoutError(), StoreFailed()),
        )
        for answer, expected in cases:
            with self.subTest(answer=answer):
                event = await self._perform(ReadStore(5.0), answer)
                self.assertEqual(event, expected)

    async def test_request_to_peer_results_in_answer_or_failure_event(self) -> None:
        answer = ConfigurationReply(3, 3)
        for reply, is_answer in ((answer, True), (Refused("unexpected"), False)):

            def handle(
                message: Message, reply_to: ReplyTo, reply: Message = reply
            ) -> None:
                peer.reply(reply_to, reply)

            async with open_peers(SETTINGS, handle) as peer:
                event = await self._perform(AskPeer(peer.address, 1, 5.0))
                expected: Event = PeerFailed(peer.address)
                if is_answer:
                    expected = PeerAnswered(peer.address, answer, 5.0)
            with self.subTest(reply=reply):
                self.assertEqual(event, expected)

    async def test_unreachable_member_causes_no_event(self) -> None:
        callbacks = MembershipCallbacks(lambda m: None, lambda d: None, lambda n: None)
        async with open_peers(SETTINGS, lambda message, reply_to: None) as peers:
            request = Request(
                UNREACHABLE_ADDRESS, MembersRequest(), 0.1, time.monotonic()
            )
            self.assertIsNone(await MembershipIO(peers, callbacks).perform(request))


class AdopterTest(unittest.IsolatedAsyncioTestCase):
    """An older configuration that is slow to apply is not applied after a newer one."""

    async def test_only_newer_configurations_are_applied_in_order(self) -> None:
        applied: list[int] = []
        slow = asyncio.Event()

        async def apply(configuration: Configuration) -> None:
            if configuration.version == 2:
                await slow.wait()
            applied.append(configuration.version)

        adopter = Adopter(apply)
        tasks = [
            asyncio.create_task(adopter.adopt(Configuration(version)))
            for version in (2, 4, 3, 4)
        ]
        await asyncio.sleep(0)
        slow.set()
        await asyncio.gather(*tasks)
        self.assertEqual(applied, [2, 4])


class BenchTest(unittest.TestCase):
    """The control benchmark prints a line for each number of proxies."""

    def test_line_for_each_number_of_proxies(self) -> None:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            bench_control.print_report(seed=1, sizes=(5, 7), socket_sizes=())
        lines = output.getvalue().splitlines()
        self.assertEqual([line.split()[0] for line in lines[2:4]], ["5", "7"])
