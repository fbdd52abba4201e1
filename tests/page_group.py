"""A group of databases that read lines by the page, for whole sessions.

Each connection's end at a database has values, prepared statements and transactions of
its own, as at a real database. What runs anywhere is recorded in one list.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from beryltiller.platform import wire
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.errors import BrokenError, NotSentError
from beryltiller.sessions.organisations import NO_ORGANISATION
from beryltiller.sessions.statements import Code, DatabaseStatus, ProxyCommand, Reply
from beryltiller.sessions.statements import Request as SentRequest
from tests.fake_group import ROUND_TRIP_SECONDS, FakeDatabase, GroupFixture
from tests.page_database import PageConnection, PageDatabase, Ran
from tests.page_reader import Query, UnreadableError

# Faults of a connection: it is cut before or behind a statement, or not answered.
CUT_BEFORE = "CUT_BEFORE"
CUT_AFTER = "CUT_AFTER"
HANG = "HANG"
REFUSALS = ("BUSY", "FAILED", "TIMEOUT", "READONLY", "LAGGING", "NOSUCHSTMT")


@dataclass(frozen=True, slots=True)
class TransactionId:
    """A transaction at a database: the connection's number and its own there."""

    connection: int
    number: int


@dataclass(frozen=True, slots=True)
class RanHere:
    """What ran on which connection and in which transaction, and its answer."""

    ran: Ran
    connection: int
    transaction: TransactionId | None
    rows: tuple[str, ...]
    signature: str


@dataclass(frozen=True, slots=True)
class Committed:
    """A commit that a database carried out."""

    identifier: str
    transaction: TransactionId


@dataclass
class Trouble:
    """Faults to come: words of statements, each with a code or kind of fault.

    Each is used up by the next statement with the word, at any database. Values and
    shapes that are among `refused_texts` are refused each time.
    """

    next_faults: dict[str, str] = field(default_factory=dict)
    refused_texts: set[str] = field(default_factory=set)

    def take(self, word: str, kinds: Sequence[str] = ()) -> str:
        """Return and use up the fault of a word, or return empty text.

        With `kinds`, faults of other kinds stay.
        """
        fault = self.next_faults.get(word, "")
        if not fault or (kinds and fault not in kinds):
            return ""
        del self.next_faults[word]
        return fault


@dataclass
class Record:
    """All that ran at the databases of a group, and lines that they could not read.

    `most_prepared` is the greatest number of statements prepared on a connection
    on which one runs.
    """

    ran: list[RanHere] = field(default_factory=list)
    committed: list[Committed] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    most_prepared: int = 0


class SharedDatabase(PageDatabase):
    """One connection's end at a database, which records what runs there."""

    def __init__(self, number: int, record: Record, trouble: Trouble) -> None:
        super().__init__(refuse=self._refusal)
        self._number = number
        self._record = record
        self._trouble = trouble
        self._transactions = 0

    @property
    def open_transaction(self) -> TransactionId | None:
        if self.transaction == "I":
            return None
        return TransactionId(self._number, self._transactions)

    def receive(self, data: bytes) -> bytes:
        try:
            return super().receive(data)
        except UnreadableError as error:
            self._record.unreadable.append(str(error))
            raise BrokenError(str(error)) from error

    def _refusal(self, query: Query) -> str:
        if query.fields and query.fields[-1] in self._trouble.refused_texts:
            return "FAILED"
        return self._trouble.take(query.word, REFUSALS)

    def _answer(self, query: Query) -> str:
        before = self.open_transaction
        answer = super()._answer(query)
        if query.word == "BEGIN" and self.transaction == "T":
            self._transactions += 1
        if query.word == "COMMIT" and answer.startswith("COMPLETE") and before:
            self._record.committed.append(Committed(query.identifier, before))
        return answer

    def _run(self, query: Query) -> str:
        count = len(self.ran)
        answer = super()._run(query)
        if len(self.ran) == count:
            return answer
        prepared = len(self.state.prepared)
        self._record.most_prepared = max(self._record.most_prepared, prepared)
        ran = self.ran[-1]
        rows = () if ran.is_write else (f"{query.identifier} {len(self._record.ran)}",)
        signature = f"signed-{len(self._record.ran)}"
        here = RanHere(ran, self._number, self.open_transaction, rows, signature)
        self._record.ran.append(here)
        lines = [f"DATAROW {row}" for row in rows]
        return "\r\n".join((*lines, f"COMPLETE {signature}"))


class SharedConnection(PageConnection):
    """A connection to a `SharedDatabase`; faults cut it or leave it unanswered."""

    def __init__(
        self, fake: FakeDatabase, database: SharedDatabase, trouble: Trouble
    ) -> None:
        super().__init__(database)
        self._fake = fake
        self._trouble = trouble

    async def send_requests(self, requests: Sequence[SentRequest]) -> list[Reply]:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        replies: list[Reply] = []
        for request in requests:
            replies += await self._send_one(request)
        return replies

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        fake = self._fake
        return DatabaseStatus(
            fake.is_primary, fake.term, fake.log_end, fake.fenced_term
        )

    async def is_primary(self) -> bool:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        return self._fake.is_primary

    async def _send_one(self, request: SentRequest) -> list[Reply]:
        if not self.is_open:
            raise BrokenError("closed")
        word = wire.statement_text(request.statement).partition(" ")[0]
        fault = self._trouble.take(word, (CUT_BEFORE, CUT_AFTER, HANG))
        if fault == CUT_BEFORE:
            self._cut()
        if fault == HANG:
            await asyncio.Event().wait()
        replies = await super().send_requests((request,))
        if fault == CUT_AFTER:
            self._cut()
        return replies

    def _cut(self) -> None:
        self.close()
        raise BrokenError("cut")


class PageGroup(GroupFixture):
    """A group whose statements are run by databases that read by the page."""

    def __init__(self) -> None:
        self.record = Record()
        self.trouble = Trouble()
        self.opened = 0
        super().__init__()
        for each in self.databases.values():
            # The position that `PageDatabase` answers with.
            each.index = 5

    async def _connect(  # type: ignore[override]
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> SharedConnection:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        fake = self._find(database)
        if self.trouble.take("STARTUP"):
            raise NotSentError(Code.CONNECTION_LIMIT, "refused")
        self.opened += 1
        page = SharedDatabase(self.opened, self.record, self.trouble)
        return SharedConnection(fake, page, self.trouble)
