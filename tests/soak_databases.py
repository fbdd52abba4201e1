"""The databases of a soak: their logs, replication, heartbeats and promotions.

They run on the event loop of the soak; proxies connect to them over sockets. A commit
is acknowledged once one replica has received it.
"""

import asyncio
import json
import random
import time
from collections.abc import Coroutine
from typing import Any

from tests.soak_checker import Checker
from tests.soak_database import SoakDatabase
from tests.soak_record import Record
from tests.soak_store import SoakStore

ENTRIES_TABLE = "servers"
REPLICATION_SECONDS = 0.005
# How many entries a replica receives at a time.
ENTRIES_PER_STEP = 50
# A replica applies an entry this long after it has received it.
APPLY_SECONDS = 0.02
# A replaced primary becomes a replica this long after it can reach the new one.
REPLACED_SECONDS = 1.0
HEARTBEAT_SECONDS = 0.3
MISSED_HEARTBEATS = 3
PROMOTE_SECONDS = (0.2, 0.5)
# Promotion calls are answered with these.
STATUS_OK = 200
STATUS_NOT_RUNNING = 409


class SoakGroup:
    """The databases of the service, also those that do not run at present.

    `leader` led the newest term that has begun, even if it has stepped down; its log
    must not be lost.
    """

    def __init__(self, rng: random.Random, record: Record, checker: Checker) -> None:
        """Create a group without databases."""
        self.store = SoakStore(record, self._answer_promotion)
        self.databases: list[SoakDatabase] = []
        self.leader = SoakDatabase("", "", "")
        self.statements = checker.statements
        # Set by each promotion call.
        self.called = asyncio.Event()
        self._rng = rng
        self._record = record
        self._checker = checker
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something until it ends or the group is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End all work; raise the error of work that has failed."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def run(self) -> None:
        """Replicate, send heartbeats and let entries lapse, for ever."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(REPLICATION_SECONDS)
            late = time.monotonic() - began - REPLICATION_SECONDS
            self.statements.record_delay(late)
            for database in self.databases:
                self._exchange(database)
                self._send_heartbeat(database)

    def report(self, database: SoakDatabase) -> None:
        """Report a change of a database's entry at once."""
        database.heartbeat_at = min(
            database.heartbeat_at, time.monotonic() - HEARTBEAT_SECONDS
        )

    def remove_entry(self, database: SoakDatabase) -> None:
        """Remove the entry of a database that has left."""
        self.store.remove(ENTRIES_TABLE, database.identifier)

    def step_down(self, database: SoakDatabase) -> None:
        """Make a primary a replica."""
        database.step_down()
        self.report(database)
        self._record.add(f"{database.describe()} has stepped down")

    def _exchange(self, database: SoakDatabase) -> None:
        if not database.is_running or database.is_cut_off:
            return
        others = [each for each in self._primaries() if each is not database]
        if database.is_primary:
            self._notice_replacement(database, others)
        elif others and not database.is_deaf and not database.fenced_term:
            self._receive(database, max(others, key=lambda each: each.term))

    def _primaries(self) -> list[SoakDatabase]:
        return [
            each
            for each in self.databases
            if each.is_primary and each.is_running and not each.is_cut_off
        ]

    def _notice_replacement(
        self, database: SoakDatabase, others: list[SoakDatabase]
    ) -> None:
        if not any(each.term > database.term for each in others):
            database.replaced_since = None
            return
        now = time.monotonic()
        database.replaced_since = database.replaced_since or now
        if now >= database.replaced_since + REPLACED_SECONDS:
            self.step_down(database)

    def _receive(self, database: SoakDatabase, primary: SoakDatabase) -> None:
        """Receive entries of the primary of the newest term that can be reached."""
        if primary.term < database.term:
            return
        database.term = primary.term
        length = min(len(database.log), len(primary.log))
        while length and database.log[length - 1] != primary.log[length - 1]:
            length -= 1
        database.truncate(length)
        for commit in primary.log[length : length + ENTRIES_PER_STEP]:
            database.append(commit, APPLY_SECONDS)
        self._acknowledge(primary, len(database.log))

    def _acknowledge(self, primary: SoakDatabase, length: int) -> None:
        due = [each for each in primary.waiting if each[0] <= length]
        primary.waiting = [each for each in primary.waiting if each[0] > length]
        for index, received in due:
            self._checker.record_commit(primary.log[index - 1])
            if not received.done():
                received.set_result(None)

    def _send_heartbeat(self, database: SoakDatabase) -> None:
        now = time.monotonic()
        reaches_store = self.store.is_served(database.ip)
        if not (database.is_running and database.sends_heartbeats and reaches_store):
            if now > database.heartbeat_at + MISSED_HEARTBEATS * HEARTBEAT_SECONDS:
                self.remove_entry(database)
            return
        if now < database.heartbeat_at + HEARTBEAT_SECONDS:
            return
        database.heartbeat_at = now
        database.sequence += 1
        entry = database.entry()
        held = self.store.value(ENTRIES_TABLE, database.identifier)
        present = json.loads(held) if held else {}
        # The row is left alone if nothing but the sequence has changed.
        if {**present, "sequence": 0} != {**entry, "sequence": 0}:
            value = json.dumps(entry).encode()
            self.store.put(ENTRIES_TABLE, database.identifier, value)

    def _answer_promotion(self, identifier: str, holder: str, token: int) -> int:
        self.called.set()
        self._checker.record_call(holder, token)
        self._record.add(f"{holder} calls for {identifier} with token {token}")
        found = [each for each in self.databases if each.identifier == identifier]
        if not found or not found[0].is_running:
            return STATUS_NOT_RUNNING
        if not found[0].is_primary or found[0] is not self.leader:
            self.spawn(self._take_over(found[0], found[0].generation))
        return STATUS_OK

    async def _take_over(self, database: SoakDatabase, generation: int) -> None:
        await asyncio.sleep(self._rng.uniform(*PROMOTE_SECONDS))
        if not database.is_running or database.generation != generation:
            return
        if database.is_primary and database is self.leader:
            return
        database.term = max(each.term for each in self.databases) + 1
        database.is_primary = True
        database.replaced_since = None
        for each in self.databases:
            each.fenced_term = 0
        self.leader = database
        self._record.add(f"{database.describe()} leads")
        self._checker.record_promotion(database)
        self.report(database)
