"""The operators' interface of a proxy: health, status, explanations, commands."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

from beryltiller.admission.explanations import explain
from beryltiller.admission.records import AdmissionRecords
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

Failover = Callable[[str, str], None]


@dataclass(frozen=True, slots=True)
class Views:
    """Hold what operators are shown of a proxy."""

    settings: Settings
    proxy: Proxy
    board: TermBoard
    databases: Databases
    records: AdmissionRecords
    tracer: Tracer
    members: Callable[[], Members | None]


class Operators:
    """Answer operators' requests."""

    def __init__(
        self,
        views: Views,
        start_drain: Callable[[], None],
        start_failover: Failover,
    ) -> None:
        """Use the views to read, and the two functions to act."""
        self._views = views
        self._start_drain = start_drain
        self._start_failover = start_failover

    @property
    def app(self) -> web.Application:
        """Return the HTTP application."""
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
        """Return the proxy's status."""
        views = self._views
        dispatchers = [one.dispatcher for one in views.databases.connected.values()]
        return StatusModel(
            proxy=views.settings.host_name,
            availability_zone=views.settings.availability_zone,
            is_ready=views.proxy.is_ready,
            is_draining=views.proxy.is_draining,
            configuration_version=views.proxy.version,
            terms=tuple(self._terms()),
            members=tuple(self._members()),
            connections=sum(each.pool.ledger.held for each in dispatchers),
            queued=sum(each.queue.waiting for each in dispatchers),
            executing=sum(each.queue.executing for each in dispatchers),
            in_flight=views.proxy.in_flight,
        )

    def _terms(self) -> list[TermModel]:
        rows = [self._views.board.evidence.row(name) for name in self._groups()]
        return [
            TermModel(row.group, row.term, row.primary, row.state.value)
            for row in rows
            if row is not None
        ]

    def _groups(self) -> list[str]:
        return sorted(self._views.databases.groups)

    def _members(self) -> list[MemberModel]:
        members = self._views.members()
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
        if self._views.proxy.is_ready:
            return web.Response(text="ready\n")
        is_draining = self._views.proxy.is_draining
        reason = "draining" if is_draining else "no configuration in force"
        return web.Response(status=503, text=f"not ready: {reason}\n")

    async def _status(self, request: web.Request) -> web.Response:
        return _json(self.status())

    async def _explain(self, request: web.Request) -> web.Response:
        identifier = request.match_info["request"]
        explanation = explain(self._views.records, identifier, is_operator=True)
        if not explanation.attempts:
            return _json({"reason": explanation.text(), "field": "request"}, 404)
        lines = tuple(explanation.text().splitlines())
        return _json(ExplanationModel(identifier, lines))

    async def _trace(self, request: web.Request) -> web.Response:
        return _json(TraceModel(self._views.tracer.find(request.match_info["id"])))

    async def _drain(self, request: web.Request) -> web.Response:
        self._start_drain()
        return _json({"draining": True}, 202)

    async def _failover(self, request: web.Request) -> web.Response:
        group = request.match_info["group"]
        body = await request.read()
        try:
            asked = msgspec.json.decode(body or b"{}", type=FailoverRequestModel)
        except msgspec.MsgspecError as error:
            return _json({"reason": str(error), "field": "body"}, 400)
        row = self._views.board.evidence.row(group)
        if group not in self._views.databases.groups or row is None:
            return _json({"reason": f"no group {group!r}", "field": "group"}, 400)
        names = [one.name for one in self._views.databases.of_group(group)]
        if asked.to and asked.to not in names:
            reason = f"no database {asked.to!r} in group {group!r}"
            return _json({"reason": reason, "field": "to"}, 400)
        self._start_failover(group, asked.to)
        return await self._after_failover(group, row.term + 1)

    async def _after_failover(self, group: str, term: int) -> web.Response:
        board = self._views.board
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


class Draining:
    """Drain a proxy once: refuse new work, finish what runs, then call back."""

    def __init__(
        self,
        proxy: Proxy,
        work: Callable[[], Awaitable[None]],
        timeout_seconds: float,
        on_drained: Callable[[], None],
    ) -> None:
        """Wait for `work` to end, at most `timeout_seconds`."""
        self._proxy = proxy
        self._work = work
        self._timeout_seconds = timeout_seconds
        self._on_drained = on_drained
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin, unless it has begun."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        self._proxy.drain()
        try:
            async with asyncio.timeout(self._timeout_seconds):
                await self._work()
        except TimeoutError:
            pass
        self._on_drained()
