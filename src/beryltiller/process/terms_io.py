"""I/O of the terms part: performs its actions and returns the results as events.

`TermsIO` turns actions into calls of the ports and messages to peers. An error that
a port raises becomes an event: a refusal proves that the action had no effect, while a
missing answer proves nothing.
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

MILLISECONDS_PER_SECOND = 1000.0
MAX_SENT_AGE_SECONDS = 1_000_000.0  # sent to peers in place of an infinite age
MAX_PENDING_REPLIES = 512


@dataclass(frozen=True, slots=True)
class TermsIOTimeouts:
    """The timeouts of each kind of request."""

    probe_timeout_seconds: float = 0.4
    scan_timeout_seconds: float = 1.0
    commit_timeout_seconds: float = 2.0
    peer_timeout_seconds: float = 0.8


class Network(Protocol):
    """The access to databases and peers that the actions need."""

    def endpoint(self, database: str) -> Endpoint | None:
        """Return the adapter of the named database, or None if it is not configured."""
        ...

    def address(self, database: str) -> str:
        """Return the address at which replicas follow the database; "" if unknown."""
        ...

    async def request(
        self, peer: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Send a request to a peer and return its reply, or raise `PeerError`."""
        ...

    def reply(self, reply_to: ReplyTo, message: Message) -> None:
        """Send the reply to a request that a peer sent to this proxy."""
        ...


def _ignore_status(group: str, status: EndpointStatus, asked_at: float) -> None:
    """Discard a status; the default of `on_status`."""


class TermsIO:
    """The I/O of the actor that runs `terms.decide`.

    `publish` is called on the event loop with each `PublishTerms` and
    `ReportPromotion`.
    """

    def __init__(
        self,
        table: TableService,
        network: Network,
        publish: Callable[[PublishTerms | ReportPromotion], None],
        clock: Callable[[], float],
        timeouts: TermsIOTimeouts | None = None,
        on_status: Callable[[str, EndpointStatus, float], None] = _ignore_status,
    ) -> None:
        """Set the ports; `clock` must be the clock of the actor that runs `decide`.

        `on_status` is called with each status that a database returns: its group, the
        status, and the time at which it was requested.
        """
        self._on_status = on_status
        self._table = table
        self._network = network
        self._publish = publish
        self._clock = clock
        self._timeouts = timeouts or TermsIOTimeouts()
        self._reply_keys = itertools.count(1)
        self._pending_replies: dict[str, ReplyTo] = {}

    async def perform(self, action: Action) -> Event | None:
        """Perform one action and return the event that results, if any."""
        match action:
            case PublishTerms() | ReportPromotion():
                self._publish(action)
                return None
            case ScanTerms():
                return await self._scan_rows(action)
            case CommitRow(row=row):
                return await self._commit_row(row)
            case (
                RequestEvidence()
                | RequestSuspicionReport()
                | SendEvidence()
                | SendSuspicionReport()
            ):
                return await self._perform_at_peer(action)
            case Fence() | Open() | Follow() | ProbeStatus():
                return await self._perform_at_endpoint(action)

    def event_for_request(self, message: Message, reply_to: ReplyTo) -> Event | None:
        """Return the event for a peer's request, or None if it is not about terms.

        The event has a key by which a later action sends the reply. At most
        `MAX_PENDING_REPLIES` requests wait for a reply; then the oldest is dropped.
        """
        now = self._clock()
        match message:
            case messages.EvidenceRequest(since=since, age_ms=age_ms):
                is_known = age_ms != messages.UNKNOWN_AGE_MS
                age_seconds = age_ms / MILLISECONDS_PER_SECOND if is_known else math.inf
                return EvidenceRequested(
                    self._add_pending_reply(reply_to), now, since, age_seconds
                )
            case messages.OpinionRequest(group=group, database=database):
                return SuspicionReportRequested(
                    self._add_pending_reply(reply_to), group, database, now
                )
        return None

    def _add_pending_reply(self, reply_to: ReplyTo) -> str:
        if len(self._pending_replies) >= MAX_PENDING_REPLIES:
            del self._pending_replies[next(iter(self._pending_replies))]
        key = str(next(self._reply_keys))
        self._pending_replies[key] = reply_to
        return key

    async def _scan_rows(self, action: ScanTerms) -> Event:
        try:
            async with asyncio.timeout(self._timeouts.scan_timeout_seconds):
                scan = await self._table.scan(TABLE, action.since)
        except (PortError, TimeoutError):
            return ScanFailed(action.started_at)
        rows = tuple(map(decode_row, scan.rows))
        return TermsRead(action.started_at, scan.revision, rows)

    async def _commit_row(self, row: TermRow) -> Event:
        write = encode_write(row)
        try:
            async with asyncio.timeout(self._timeouts.commit_timeout_seconds):
                (version,) = await self._table.commit((write,))
        except (PortError, TimeoutError):
            return WriteUncertain(row)
        return RowWritten(decode_row(Row(row.group, version, write.value)))

    async def _perform_at_endpoint(self, action: EndpointAction) -> Event | None:
        endpoint = self._network.endpoint(action.database)
        if endpoint is None:
            return None
        asked_at = self._clock()
        try:
            async with asyncio.timeout(self._timeouts.probe_timeout_seconds):
                status = await _call_endpoint(endpoint, action, self._network.address)
        except RefusedError as error:
            return _refusal_event(action, error)
        except (LostAnswerError, TimeoutError):
            return DatabaseObserved(action.group, action.database, Observation.TIMEOUT)
        self._on_status(action.group, status, asked_at)
        return StatusReceived(action.group, action.database, status, asked_at)

    async def _perform_at_peer(self, action: PeerAction) -> Event | None:
        match action:
            case RequestEvidence():
                return await self._request_evidence(action)
            case RequestSuspicionReport():
                return await self._request_suspicion_report(action)
            case SendEvidence():
                self._send_reply(action.peer, _evidence_reply(action))
            case SendSuspicionReport(is_suspected=is_suspected):
                self._send_reply(action.peer, messages.OpinionReply(is_suspected))
        return None

    async def _request_evidence(self, action: RequestEvidence) -> Event | None:
        is_known = math.isfinite(action.age_seconds)
        age_ms = round(action.age_seconds * MILLISECONDS_PER_SECOND) if is_known else -1
        reply = await self._request_or_none(
            action.peer, messages.EvidenceRequest(action.revision, age_ms)
        )
        if not isinstance(reply, messages.EvidenceReply):
            return None
        rows = tuple(
            decode_row(Row(row.key, row.version, row.value)) for row in reply.rows
        )
        age_seconds = reply.age_ms / MILLISECONDS_PER_SECOND
        return EvidenceReceived(
            action.peer, action.asked_at, age_seconds, reply.revision, rows
        )

    async def _request_suspicion_report(
        self, action: RequestSuspicionReport
    ) -> Event | None:
        request = messages.OpinionRequest(action.group, action.database)
        reply = await self._request_or_none(action.peer, request)
        if not isinstance(reply, messages.OpinionReply):
            return None
        return SuspicionReportReceived(
            action.peer,
            action.group,
            action.database,
            action.asked_at,
            reply.is_suspected,
        )

    async def _request_or_none(self, peer: str, message: Message) -> Message | None:
        timeout_seconds = self._timeouts.peer_timeout_seconds
        try:
            return await self._network.request(peer, message, timeout_seconds)
        except PeerError:
            return None

    def _send_reply(self, key: str, message: Message) -> None:
        reply_to = self._pending_replies.pop(key, None)
        if reply_to is not None:
            self._network.reply(reply_to, message)


def _call_endpoint(
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


def _refusal_event(action: EndpointAction, error: RefusedError) -> Event:
    """Return the event for a refusal by a database.

    `term` means that the database is in a later term, `unreachable` that no connection
    to it could be opened. `fault` counts as a timeout. Any other code counts as an
    answer.
    """
    if error.code == "term" and not isinstance(action, ProbeStatus):
        return TermRefused(action.group, action.database, action.term)
    observations = {
        "unreachable": Observation.UNREACHABLE,
        "fault": Observation.TIMEOUT,
    }
    observation = observations.get(error.code, Observation.ANSWERED)
    return DatabaseObserved(action.group, action.database, observation)


def _evidence_reply(action: SendEvidence) -> messages.EvidenceReply:
    """Return the reply with its age rounded up to a millisecond.

    The age is infinite without evidence; it is sent as `MAX_SENT_AGE_SECONDS`.
    """
    age_seconds = min(action.age_seconds, MAX_SENT_AGE_SECONDS)
    rows = tuple(
        messages.TermRow(row.group, row.version, encode_write(row).value)
        for row in action.rows
    )
    age_ms = math.ceil(age_seconds * MILLISECONDS_PER_SECOND)
    return messages.EvidenceReply(action.revision, age_ms, rows)
