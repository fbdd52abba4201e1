"""Perform what the decisions about terms ask for, and report it as events.

`Authority` turns actions into calls of the ports and messages to peers. Whatever a
port raises becomes an event: a refusal proves that nothing happened, silence proves
nothing.
"""

import asyncio
import itertools
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from beryltiller.adapters.channels import PeerError
from beryltiller.core.ports import (
    Endpoint,
    EndpointStatus,
    LostAnswerError,
    PortError,
    RefusedError,
    Row,
    TableService,
)
from beryltiller.membership import messages
from beryltiller.membership.messages import Message, ReplyTo
from beryltiller.primaries.term_actions import (
    Action,
    CommitRow,
    EndpointAction,
    Fence,
    Follow,
    Open,
    PeerAction,
    ProbeStatus,
    PublishTerms,
    ReportPromotion,
    RequestEvidence,
    RequestSuspicionReport,
    ScanTerms,
    SendEvidence,
    SendSuspicionReport,
)
from beryltiller.primaries.term_events import (
    DatabaseObserved,
    Event,
    EvidenceReceived,
    EvidenceRequested,
    Observation,
    RowWritten,
    ScanFailed,
    StatusReceived,
    SuspicionReportReceived,
    SuspicionReportRequested,
    TermRefused,
    TermsRead,
    WriteUncertain,
)
from beryltiller.primaries.term_rows import TABLE, TermRow, decode_row, encode_write

MILLISECONDS = 1000.0
MAX_AGE_SECONDS = 1_000_000.0
MAX_QUESTIONS = 512


@dataclass(frozen=True, slots=True)
class AuthoritySettings:
    """Hold how long each kind of request may take."""

    probe_timeout_seconds: float = 0.4
    scan_timeout_seconds: float = 1.0
    commit_timeout_seconds: float = 2.0
    peer_timeout_seconds: float = 0.8


class Network(Protocol):
    """Reach databases and peers by name."""

    def endpoint(self, database: str) -> Endpoint | None:
        """Return the database's adapter, or None if it is not known."""
        ...

    def address(self, database: str) -> str:
        """Return where the database's replicas reach it, or an empty text."""
        ...

    async def request(
        self, peer: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Return a peer's reply, or raise `PeerError`."""
        ...

    def reply(self, reply_to: ReplyTo, message: Message) -> None:
        """Answer a peer's request."""
        ...


def _ignore_status(group: str, status: EndpointStatus, asked_at: float) -> None:
    """Take no notice of a status."""


class Authority:
    """Perform actions; `perform` suits an actor that runs `terms.decide`.

    `publish` is given each `PublishTerms` and `ReportPromotion` on the event loop.
    """

    def __init__(
        self,
        table: TableService,
        network: Network,
        publish: Callable[[PublishTerms | ReportPromotion], None],
        clock: Callable[[], float],
        settings: AuthoritySettings | None = None,
        on_status: Callable[[str, EndpointStatus, float], None] = _ignore_status,
    ) -> None:
        """Use the table service and the network; `clock` is the decisions' own.

        `on_status` is given every database's status, by its group and when asked.
        """
        self._on_status = on_status
        self._table = table
        self._network = network
        self._publish = publish
        self._clock = clock
        self._settings = settings or AuthoritySettings()
        self._numbers = itertools.count(1)
        self._questions: dict[str, ReplyTo] = {}

    async def perform(self, action: Action) -> Event | None:
        """Perform one action and return what came of it, if anything is to be told."""
        match action:
            case PublishTerms() | ReportPromotion():
                self._publish(action)
                return None
            case ScanTerms():
                return await self._scan(action)
            case CommitRow(row=row):
                return await self._commit(row)
            case (
                RequestEvidence()
                | RequestSuspicionReport()
                | SendEvidence()
                | SendSuspicionReport()
            ):
                return await self._peer(action)
            case Fence() | Open() | Follow() | ProbeStatus():
                return await self._endpoint(action)

    def question(self, message: Message, reply_to: ReplyTo) -> Event | None:
        """Return the event for a peer's question, or None if it is not for terms."""
        now = self._clock()
        match message:
            case messages.EvidenceRequest(since=since, age_ms=age_ms):
                is_known = age_ms != messages.UNKNOWN_AGE_MS
                age_seconds = age_ms / MILLISECONDS if is_known else math.inf
                return EvidenceRequested(self._keep(reply_to), now, since, age_seconds)
            case messages.OpinionRequest(group=group, database=database):
                return SuspicionReportRequested(
                    self._keep(reply_to), group, database, now
                )
        return None

    def _keep(self, reply_to: ReplyTo) -> str:
        if len(self._questions) >= MAX_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        key = str(next(self._numbers))
        self._questions[key] = reply_to
        return key

    async def _scan(self, action: ScanTerms) -> Event:
        try:
            async with asyncio.timeout(self._settings.scan_timeout_seconds):
                scan = await self._table.scan(TABLE, action.since)
        except (PortError, TimeoutError):
            return ScanFailed(action.started_at)
        rows = tuple(map(decode_row, scan.rows))
        return TermsRead(action.started_at, scan.revision, rows)

    async def _commit(self, row: TermRow) -> Event:
        write = encode_write(row)
        try:
            async with asyncio.timeout(self._settings.commit_timeout_seconds):
                (version,) = await self._table.commit((write,))
        except (PortError, TimeoutError):
            return WriteUncertain(row)
        return RowWritten(decode_row(Row(row.group, version, write.value)))

    async def _endpoint(self, action: EndpointAction) -> Event | None:
        endpoint = self._network.endpoint(action.database)
        if endpoint is None:
            return None
        asked_at = self._clock()
        try:
            async with asyncio.timeout(self._settings.probe_timeout_seconds):
                status = await _call(endpoint, action, self._network.address)
        except RefusedError as error:
            return _refused(action, error)
        except (LostAnswerError, TimeoutError):
            return DatabaseObserved(action.group, action.database, Observation.TIMEOUT)
        self._on_status(action.group, status, asked_at)
        return StatusReceived(action.group, action.database, status, asked_at)

    async def _peer(self, action: PeerAction) -> Event | None:
        match action:
            case RequestEvidence():
                return await self._ask_evidence(action)
            case RequestSuspicionReport():
                return await self._ask_opinion(action)
            case SendEvidence():
                self._answer(action.peer, _evidence_reply(action))
            case SendSuspicionReport(is_suspected=is_suspected):
                self._answer(action.peer, messages.OpinionReply(is_suspected))
        return None

    async def _ask_evidence(self, ask: RequestEvidence) -> Event | None:
        is_known = math.isfinite(ask.age_seconds)
        age_ms = round(ask.age_seconds * MILLISECONDS) if is_known else -1
        reply = await self._request(
            ask.peer, messages.EvidenceRequest(ask.revision, age_ms)
        )
        if not isinstance(reply, messages.EvidenceReply):
            return None
        rows = tuple(
            decode_row(Row(row.key, row.version, row.value)) for row in reply.rows
        )
        age_seconds = reply.age_ms / MILLISECONDS
        return EvidenceReceived(
            ask.peer, ask.asked_at, age_seconds, reply.revision, rows
        )

    async def _ask_opinion(self, ask: RequestSuspicionReport) -> Event | None:
        request = messages.OpinionRequest(ask.group, ask.database)
        reply = await self._request(ask.peer, request)
        if not isinstance(reply, messages.OpinionReply):
            return None
        return SuspicionReportReceived(
            ask.peer, ask.group, ask.database, ask.asked_at, reply.is_suspected
        )

    async def _request(self, peer: str, message: Message) -> Message | None:
        timeout_seconds = self._settings.peer_timeout_seconds
        try:
            return await self._network.request(peer, message, timeout_seconds)
        except PeerError:
            return None

    def _answer(self, key: str, message: Message) -> None:
        reply_to = self._questions.pop(key, None)
        if reply_to is not None:
            self._network.reply(reply_to, message)


def _call(
    endpoint: Endpoint, action: EndpointAction, address_of: Callable[[str], str]
) -> Awaitable[EndpointStatus]:
    match action:
        case Fence(term=term):
            return endpoint.fence(term)
        case Open(term=term):
            return endpoint.open(term)
        case Follow(term=term, primary=primary):
            return endpoint.follow(term, address_of(primary))
        case ProbeStatus():
            return endpoint.status()


def _refused(action: EndpointAction, error: RefusedError) -> Event:
    """Tell a database that refuses a term, or is gone, from one that is at fault."""
    if error.code == "term" and not isinstance(action, ProbeStatus):
        return TermRefused(action.group, action.database, action.term)
    observations = {
        "unreachable": Observation.UNREACHABLE,
        "fault": Observation.TIMEOUT,
    }
    observation = observations.get(error.code, Observation.ANSWERED)
    return DatabaseObserved(action.group, action.database, observation)


def _evidence_reply(tell: SendEvidence) -> messages.EvidenceReply:
    """Return the reply, its age rounded up; without evidence it has no end."""
    age_seconds = min(tell.age_seconds, MAX_AGE_SECONDS)
    rows = tuple(
        messages.TermRow(row.group, row.version, encode_write(row).value)
        for row in tell.rows
    )
    age_ms = math.ceil(age_seconds * MILLISECONDS)
    return messages.EvidenceReply(tell.revision, age_ms, rows)
