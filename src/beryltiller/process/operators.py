"""The HTTP interface for operators: health, status, explanations and commands."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

from beryltiller.admission.explanations import explain
from beryltiller.admission.records import AdmissionRecords
from beryltiller.core.decoding import DecodingError, decode_json
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.membership.members import Members
from beryltiller.observability.traces import Tracer
from beryltiller.process.operator_models import (
    ExplanationModel,
    FailoverModel,
    FailoverRequestModel,
    MemberModel,
    StatusModel,
    TermModel,
    TraceModel,
)
from beryltiller.process.proxy import Proxy
from beryltiller.process.settings import Settings

FAILOVER_TIMEOUT_SECONDS = 30.0

StartFailover = Callable[[str, str], None]


@dataclass(frozen=True, slots=True)
class OperatorSources:
    """The objects of a proxy from which operators' requests are answered."""

    settings: Settings
    proxy: Proxy
    board: TermBoard
    databases: Databases
    records: AdmissionRecords
    tracer: Tracer
    members: Callable[[], Members | None]


class OperatorInterface:
    """The HTTP interface that answers operators' requests.

    A failover that an operator requests is performed as a switchover, and answered
    once the next term is open.
    """

    def __init__(
        self,
        sources: OperatorSources,
        start_drain: Callable[[], None],
        start_failover: StartFailover,
    ) -> None:
        """Set the sources of answers.

        `start_failover` takes the group and the new primary, or "" to choose one.
        """
        self._sources = sources
        self._start_drain = start_drain
        self._start_failover = start_failover

    @property
    def app(self) -> web.Application:
        """Create an application with the routes of all requests."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/health", self._health),
                web.get("/ready", self._ready),
                web.get("/v1/status", self._status),
                web.get("/v1/explain/{request}", self._explain),
                web.get("/v1/trace/{id}", self._trace),
                web.post("/v1/drain", self._drain),
                web.post("/v1/failover/{group}", self._failover),
            ]
        )
        return app

    def status(self) -> StatusModel:
        """Return the current status, with counts over all databases connected to."""
        sources = self._sources
        dispatchers = [one.dispatcher for one in sources.databases.connected.values()]
        return StatusModel(
            proxy=sources.settings.host_name,
            availability_zone=sources.settings.availability_zone,
            is_ready=sources.proxy.is_ready,
            is_draining=sources.proxy.is_draining,
            configuration_version=sources.proxy.configuration_version,
            terms=tuple(self._terms()),
            members=tuple(self._members()),
            connections=sum(each.pool.ledger.held for each in dispatchers),
            queued=sum(each.queue.waiting for each in dispatchers),
            executing=sum(each.queue.executing for each in dispatchers),
            in_flight=sources.proxy.in_flight,
        )

    def _terms(self) -> list[TermModel]:
        rows = [self._sources.board.evidence.row(name) for name in self._groups()]
        return [
            TermModel(row.group, row.term, row.primary, row.state.value)
            for row in rows
            if row is not None
        ]

    def _groups(self) -> list[str]:
        return sorted(self._sources.databases.groups)

    def _members(self) -> list[MemberModel]:
        members = self._sources.members()
        if members is None:
            return []
        return [
            MemberModel(
                each.name or each.address,
                each.availability_zone,
                each.state.name.lower(),
            )
            for each in members
        ]

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        if self._sources.proxy.is_ready:
            return web.Response(text="ready\n")
        is_draining = self._sources.proxy.is_draining
        reason = "draining" if is_draining else "no configuration in force"
        return web.Response(status=503, text=f"not ready: {reason}\n")

    async def _status(self, request: web.Request) -> web.Response:
        return _json(self.status())

    async def _explain(self, request: web.Request) -> web.Response:
        identifier = request.match_info["request"]
        explanation = explain(self._sources.records, identifier, is_operator=True)
        if not explanation.attempts:
            return _json({"reason": explanation.text(), "field": "request"}, 404)
        lines = tuple(explanation.text().splitlines())
        return _json(ExplanationModel(identifier, lines))

    async def _trace(self, request: web.Request) -> web.Response:
        return _json(TraceModel(self._sources.tracer.find(request.match_info["id"])))

    async def _drain(self, request: web.Request) -> web.Response:
        self._start_drain()
        return _json({"draining": True}, 202)

    async def _failover(self, request: web.Request) -> web.Response:
        group = request.match_info["group"]
        body = await request.read()
        try:
            parsed = decode_json(body or b"{}", FailoverRequestModel)
        except DecodingError as error:
            return _json({"reason": str(error), "field": "body"}, 400)
        row = self._sources.board.evidence.row(group)
        if group not in self._sources.databases.groups or row is None:
            return _json({"reason": f"no group {group!r}", "field": "group"}, 400)
        names = [one.name for one in self._sources.databases.of_group(group)]
        if parsed.to and parsed.to not in names:
            reason = f"no database {parsed.to!r} in group {group!r}"
            return _json({"reason": reason, "field": "to"}, 400)
        self._start_failover(group, parsed.to)
        return await self._answer_after_failover(group, row.term + 1)

    async def _answer_after_failover(self, group: str, term: int) -> web.Response:
        board = self._sources.board
        await board.wait_for_term(group, term, FAILOVER_TIMEOUT_SECONDS)
        row = board.evidence.row(group)
        if row is None or row.term < term or not row.is_open:
            reason = f"no later term opened in {FAILOVER_TIMEOUT_SECONDS:.0f} s"
            return _json({"reason": reason, "field": "group"}, 503)
        return _json(FailoverModel(group, row.term, row.primary))


def _json(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )


class DrainRunner:
    """The drain of a proxy: refuse new requests, wait for the others, call back."""

    def __init__(
        self,
        proxy: Proxy,
        wait_until_idle: Callable[[], Awaitable[None]],
        timeout_seconds: float,
        on_drained: Callable[[], None],
    ) -> None:
        """Call `on_drained` when `wait_until_idle` ends, or after `timeout_seconds`."""
        self._proxy = proxy
        self._wait_until_idle = wait_until_idle
        self._timeout_seconds = timeout_seconds
        self._on_drained = on_drained
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the drain; later calls have no effect."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        self._proxy.drain()
        try:
            async with asyncio.timeout(self._timeout_seconds):
                await self._wait_until_idle()
        except TimeoutError:
            pass
        self._on_drained()
