"""One proxy: its sockets, its servers, its statement path and its control.

All code here runs on the event loop.
"""

import asyncio
import random
import socket
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
from aiohttp import web

from beryltiller.adapters.descriptors import ACCEPTS_AT_ONCE, set_backlog
from beryltiller.adapters.endpoints import HttpEndpoint
from beryltiller.adapters.monitored_platform import MonitoredPlatform
from beryltiller.adapters.peers import PeerKeys, PeerSettings, open_peers
from beryltiller.adapters.platform_client import PlatformClient
from beryltiller.admission.ledgers import ConnectionLedgerPolicy
from beryltiller.admission.queues import QueuePolicy
from beryltiller.admission.records import AdmissionRecords
from beryltiller.consistency.plans import RoutingPolicy
from beryltiller.consistency.session import Planner
from beryltiller.consistency.tokens import TokenKeys
from beryltiller.core.ports import Endpoint
from beryltiller.dispatching.database_observer import DatabaseObserver
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.dispatch import DispatchPolicy
from beryltiller.dispatching.forwarded_transactions import (
    PeerTransactionRunner,
    run_forwarded_step,
)
from beryltiller.dispatching.forwarding import Forwarder
from beryltiller.dispatching.statement_runner import StatementRunner
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.dispatching.transaction_service import StepRunner, TransactionService
from beryltiller.membership.messages import (
    Forward,
    ForwardTransaction,
    Message,
    Refused,
    ReplyTo,
)
from beryltiller.membership.shares import SharePolicy
from beryltiller.observability import events, logs
from beryltiller.observability.hop_recorder import HopRecorder
from beryltiller.observability.metrics import Metrics, statsd_client
from beryltiller.observability.metrics_reporter import MetricsReporter
from beryltiller.observability.traces import Tracer
from beryltiller.process.actors import Part
from beryltiller.process.caller_server import CallerServer
from beryltiller.process.control import Control
from beryltiller.process.operators import (
    DrainRunner,
    OperatorInterface,
    OperatorSources,
)
from beryltiller.process.proxy import Proxy
from beryltiller.process.settings import Settings
from beryltiller.process.statement_path import StatementPath
from beryltiller.process.switchovers import SwitchoverRequester

# A request to the platform is given up if nothing of its answer arrives for this long.
PLATFORM_SILENCE_SECONDS = 2.0
# The servers stay open for this time after the drain, so that callers are refused
# with the reason instead of failing to connect.
LEAVE_SECONDS = 1.0
FINISH_POLL_SECONDS = 0.01


def platform_timeout() -> aiohttp.ClientTimeout:
    """Return the limits of a request to the platform; none is on its duration."""
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=PLATFORM_SILENCE_SECONDS,
        sock_read=PLATFORM_SILENCE_SECONDS,
    )


SendEvent = Callable[[str, object], None]


class Node:
    """One proxy's objects on the event loop; `open` creates most of them."""

    def __init__(
        self, settings: Settings, send_event: SendEvent, on_drained: Callable[[], None]
    ) -> None:
        """Create the objects that need no sockets.

        `send_event` sends an event to a part by name. `on_drained` is called once the
        proxy has drained.
        """
        self._settings = settings
        self._send_event = send_event
        self._rng = random.Random()
        self._metrics = Metrics(
            statsd_client(settings.statsd_address, settings.host_name), self._rng
        )
        self._records = AdmissionRecords()
        self._tracer = Tracer(
            settings.host_name, settings.trace_sampling_interval, self._rng
        )
        policy = RoutingPolicy(
            availability_zone=settings.availability_zone,
            short_wait_seconds=settings.replica_wait_ms / 1000,
        )
        self._planner = Planner(policy, self._rng)
        self._board = TermBoard(self._planner)
        self._on_drained = on_drained

    @property
    def in_flight(self) -> int:
        """Return the number of callers' requests being served."""
        return self._proxy.in_flight

    def parts(self) -> tuple[Part[Any, Any, Any], ...]:
        """Return the parts whose actors a supervisor runs; call `open` first."""
        return self._control.parts()

    async def open(self, stack: AsyncExitStack) -> None:
        """Open sockets and servers and start the background tasks.

        The stack closes them in reverse order.
        """
        stack.callback(self._metrics.close)
        settings = self._settings
        http_client = await self._open_http_client(stack)
        platform = MonitoredPlatform(
            PlatformClient(http_client, str(settings.platform_address)), self._metrics
        )
        self._databases = Databases(
            settings.host_name,
            lambda address: self._create_endpoint(http_client, address),
            self._records,
            self._dispatch_policy(),
            SharePolicy(),
            self._rng,
        )
        stack.push_async_callback(self._databases.close)
        self._database_observer = DatabaseObserver(
            self._planner, self._databases, self._send_event
        )
        self._peers = await stack.enter_async_context(
            open_peers(self._peer_settings(), self._handle_peer_request)
        )
        self._create_proxy()
        self._create_control(platform)
        await self._start_servers(stack)
        metrics_reporter = MetricsReporter(
            self._metrics, self._databases, self._peers, self._proxy
        )
        for work in (
            self._database_observer.poll(),
            self._control.poll_hosts(),
            self._switchover_requester.run(),
            metrics_reporter.run(),
        ):
            task = asyncio.get_running_loop().create_task(work)
            stack.callback(task.cancel)

    def start_drain(self) -> None:
        """Refuse new work, finish the requests in flight, then call `on_drained`.

        Further calls have no effect.
        """
        if self._proxy.is_draining:
            return
        logs.log(events.Draining("asked", self._proxy.in_flight))
        self._control.drain()
        self._drain_runner.start()

    async def leave(self) -> None:
        """Announce to the peers that this proxy leaves, and wait `LEAVE_SECONDS`."""
        self._control.leave()
        await asyncio.sleep(LEAVE_SECONDS)

    def _create_proxy(self) -> None:
        settings = self._settings
        hop_recorder = HopRecorder(self._tracer, self._metrics)
        self._forwarder = Forwarder(
            self._peers,
            self._databases,
            lambda: self._control.members,
            self._metrics,
            hop_recorder,
        )
        self._statement_runner = StatementRunner(
            self._planner,
            self._board,
            self._databases,
            self._forwarder,
            self._database_observer.record_result,
            hop_recorder,
            self._metrics,
            self._rng,
        )
        self._database_observer.on_unresponsive = self._statement_runner.cancel_reads
        previous = settings.token_signing_key_previous
        keys = TokenKeys(
            settings.token_signing_key.encode(),
            previous.encode() if previous else b"",
        )
        self._proxy = Proxy(
            settings.host_name,
            self._statement_runner,
            TransactionService(
                self._planner,
                self._board,
                self._statement_runner,
                self._choose_runner,
            ),
            keys,
            self._metrics,
            self._tracer,
            self._rng,
        )
        self._drain_runner = DrainRunner(
            self._proxy,
            self._wait_until_idle,
            settings.drain_timeout_seconds,
            self._on_drained,
        )

    def _create_control(self, platform: MonitoredPlatform) -> None:
        path = StatementPath(
            self._planner,
            self._board,
            self._databases,
            self._database_observer,
            self._statement_runner,
            self._proxy,
        )
        self._control = Control(
            self._settings,
            path,
            self._peers,
            platform,
            self._send_event,
            self._metrics,
            self._rng,
            self.start_drain,
        )
        self._switchover_requester = SwitchoverRequester(
            self._planner, self._board, self._databases, self._control, self._send_event
        )

    async def _start_servers(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        sources = OperatorSources(
            settings,
            self._proxy,
            self._board,
            self._databases,
            self._records,
            self._tracer,
            lambda: self._control.members,
        )
        operators = OperatorInterface(
            sources, self.start_drain, self._switchover_requester.request
        )
        app = web.AppRunner(operators.app, access_log=None, shutdown_timeout=1.0)
        await app.setup()
        stack.push_async_callback(app.cleanup)
        operator = settings.operator_address
        await web.TCPSite(app, operator.ip, operator.port).start()
        server = CallerServer(self._proxy.handle)
        runner = web.ServerRunner(server, shutdown_timeout=1.0)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        caller = settings.caller_address
        family = socket.AF_INET6 if ":" in caller.ip else socket.AF_INET
        listener = socket.create_server((caller.ip, caller.port), family=family)
        await web.SockSite(runner, listener, backlog=ACCEPTS_AT_ONCE).start()
        set_backlog(listener.fileno())

    async def _open_http_client(self, stack: AsyncExitStack) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            local_addr=(self._settings.source_ip, 0), limit=0, use_dns_cache=False
        )
        return await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=connector,
                timeout=platform_timeout(),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        )

    def _create_endpoint(
        self, http_client: aiohttp.ClientSession, address: str
    ) -> Endpoint:
        source = self._settings.source_ip
        return HttpEndpoint(
            http_client, address, source, self._settings.max_answer_bytes
        )

    def _dispatch_policy(self) -> DispatchPolicy:
        settings = self._settings
        return DispatchPolicy(
            queue=QueuePolicy(max_waiting=settings.pool_queue_length),
            pool=ConnectionLedgerPolicy(
                connect_timeout_seconds=settings.connect_timeout_seconds
            ),
        )

    def _peer_settings(self) -> PeerSettings:
        settings = self._settings
        keys = PeerKeys(
            server_public=settings.curve_server_public_key,
            client_public=settings.curve_client_public_key,
            server_secret=settings.curve_server_secret_key,
            client_secret=settings.curve_client_secret_key,
        )
        return PeerSettings(str(settings.peer_address), keys)

    def _choose_runner(self, database: str) -> StepRunner | None:
        """Return the runner of a database's transactions, here or at a peer.

        Return None if no proxy that connects to the database is known.
        """
        connected = self._databases.find_connected(database)
        if connected is not None:
            return connected.transactions
        configured = self._databases.find_configured(database)
        address = self._forwarder.choose_peer(configured) if configured else ""
        return (
            PeerTransactionRunner(self._peers, address, database) if address else None
        )

    def _handle_peer_request(self, message: Message, reply_to: ReplyTo) -> None:
        """Pass a peer's request to the object that answers it, or refuse it."""
        match message:
            case Forward():
                self._forwarder.receive(message, reply_to)
            case ForwardTransaction():
                self._forwarder.start_task(
                    self._serve_forwarded_step(message, reply_to)
                )
            case _ if not self._control.route_request(message, reply_to):
                self._peers.reply(reply_to, Refused("unsupported"))

    async def _serve_forwarded_step(
        self, message: ForwardTransaction, reply_to: ReplyTo
    ) -> None:
        reply = await run_forwarded_step(self._databases, message, time.monotonic())
        self._peers.reply(reply_to, reply)

    async def _wait_until_idle(self) -> None:
        """Wait until no request is in flight, then drain all dispatchers."""
        while self._proxy.in_flight:
            await asyncio.sleep(FINISH_POLL_SECONDS)
        await self._databases.drain()
