"""A seeded soak of planned stops: callers use connections until the process is gone.

`STOP_SOAK_SEEDS` sets how many seeds are played; more than the default are for runs by
hand.
"""

import asyncio
import os
import random
import unittest
from dataclasses import dataclass, field
from unittest import mock

from beryltiller.platform.drain import drain_ingress
from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.serving.shutdown import shutdown_step
from beryltiller.sessions.statements import Commit, Read, Write
from tests.fake_group import FakeDatabase, GroupFixture
from tests.ingress_caller import Caller
from tests.virtual_loop import run_virtual, virtual_now

SEEDS = int(os.environ.get("STOP_SOAK_SEEDS", "25"))
GRACE_SECONDS = 6.0
CALLERS = 24
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


@dataclass
class Conversation:
    """The statements of one caller that were sent, and their answers, in order."""

    caller: Caller
    sent: list[tuple[str, str]] = field(default_factory=list)

    def send(self, identifier: str, text: str) -> None:
        self.sent.append((identifier, text))
        line = f"QUERY {identifier} {text}\r\n"
        self.caller.connection.data_received(line.encode())

    def answers(self) -> list[str]:
        """Return the last line but one of each complete answer."""
        lines = self.caller.lines()
        ends = [number for number, each in enumerate(lines) if each.startswith("READY")]
        return [lines[number - 1] for number in ends[1:]]


class StopSoakTest(unittest.TestCase):
    """Planned stops beside faults and changes, at any moment of callers' work."""

    def test_each_request_that_was_read_is_answered_truthfully(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_virtual(self._stop(random.Random(seed)))

    async def _stop(self, rng: random.Random) -> None:
        fixture = GroupFixture()
        ingress = Ingress(fixture.service, virtual_now)
        conversations = [Conversation(Caller(ingress, fixture)) for _ in range(CALLERS)]
        round_trip = rng.choice((0.002, 0.01, 0.04, 0.25))
        with mock.patch("tests.fake_group.ROUND_TRIP_SECONDS", round_trip):
            tasks = [
                asyncio.create_task(_work(each, number, random.Random(rng.random())))
                for number, each in enumerate(conversations)
            ]
            tasks += [
                asyncio.create_task(_hang_now_and_then(each, rng))
                for each in fixture.databases.values()
            ]
            tasks.append(asyncio.create_task(_change_now_and_then(fixture, rng)))
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            draining = asyncio.create_task(
                drain_ingress(ingress, GRACE_SECONDS, virtual_now)
            )
            conversations += await _arrive(fixture, ingress, rng)
            await draining
            ingress.close()
        for task in tasks:
            task.cancel()
        fixture.fleet.close()
        committed = {
            request.identifier
            for database in fixture.databases.values()
            for _, request in database.ran
            if isinstance(request.statement, Commit)
        }
        for each in conversations:
            self._check(each, committed)

    def _check(self, conversation: Conversation, committed: set[str]) -> None:
        answers = conversation.answers()
        self.assertEqual(len(answers), len(conversation.sent))
        for (identifier, text), answer in zip(conversation.sent, answers, strict=True):
            words = answer.split(" ")
            if text == "COMMIT" and words[0] == "ERROR" and words[1] in PROMISES:
                self.assertNotIn(identifier, committed)


async def _arrive(
    fixture: GroupFixture, ingress: Ingress, rng: random.Random
) -> list[Conversation]:
    """Connect callers with a statement each while the stopping proxy admits them."""
    arrived: list[Conversation] = []
    began = virtual_now()
    while shutdown_step(virtual_now() - began, GRACE_SECONDS, 1).admits:
        conversation = Conversation(Caller(ingress, fixture))
        conversation.caller.connection.data_received(b"STARTUP db u1\r\n")
        text = rng.choice(("READ i", "WRITE i d"))
        conversation.send(f"late-{len(arrived)}", text)
        arrived.append(conversation)
        await asyncio.sleep(rng.uniform(0.0, 0.1))
    return arrived


async def _work(conversation: Conversation, number: int, rng: random.Random) -> None:
    """Send statements, now and then before the last answer, until it is closed."""
    caller = conversation.caller
    caller.connection.data_received(b"STARTUP db u1\r\n")
    texts: list[str] = []
    while not caller.transport.is_closed:
        if not texts:
            begin = rng.choice(("BEGIN", "BEGIN READ"))
            statement = "WRITE i d" if begin == "BEGIN" else "READ i"
            count = rng.randrange(1, 12)
            end = rng.choice(("COMMIT", "COMMIT", "ROLLBACK"))
            texts = [begin, *[statement] * count, end]
            texts = rng.choice((texts, ["READ i"], ["WRITE i d"]))
        conversation.send(f"{number}-{len(conversation.sent)}", texts.pop(0))
        if rng.random() < 0.1:
            continue
        answered = len(conversation.sent)
        while len(conversation.answers()) < answered:
            if caller.transport.is_closed:
                return
            await asyncio.sleep(0.005)
        await asyncio.sleep(rng.choice((0.0, 0.05, 0.29, 1.0)))


async def _change_now_and_then(fixture: GroupFixture, rng: random.Random) -> None:
    """Change the configuration, and let another database lead, in series."""
    databases = list(fixture.databases.values())
    while True:
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        fixture.configure(sync_replicas=1)
        if rng.random() < 0.5:
            continue
        leader = rng.choice(databases)
        term = max(each.term for each in databases) + 1
        for each in databases:
            each.is_primary, each.term = each is leader, term
            each.followers = tuple(other for other in databases if other is not leader)
            each.index = each.log_end.index
        fixture.register()


async def _hang_now_and_then(database: FakeDatabase, rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        database.hang = {rng.choice((Read, Write, Commit))}
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        database.hang = set()
