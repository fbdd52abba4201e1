"""A test fixture: one proxy's statement path over stand-in databases.

There are no control actors. The test determines the term in force by publishing
evidence.
"""

import asyncio
import random
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from io import BytesIO

import aiohttp
import msgspec
from aiohttp import web

from beryltiller.adapters.endpoints import HttpEndpoint
from beryltiller.adapters.peers import PeerKeys, PeerSettings, open_peers
from beryltiller.adapters.proxy_client import Answer, Request, send
from beryltiller.admission.records import AdmissionRecords
from beryltiller.configuration.tables import Configuration, Database, Group, Pool, Route
from beryltiller.consistency.plans import DatabaseView, RoutingPolicy
from beryltiller.consistency.session import Planner
from beryltiller.consistency.tokens import TokenKeys
from beryltiller.core.outcome import Kind
from beryltiller.dispatching.database_observer import DatabaseObserver
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.dispatch import DispatchPolicy
from beryltiller.dispatching.forwarding import Forwarder
from beryltiller.dispatching.statement_runner import StatementRunner
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.dispatching.transaction_service import TransactionService
from beryltiller.membership.members import Member, Members
from beryltiller.membership.shares import SharePolicy
from beryltiller.observability.hop_recorder import HopRecorder
from beryltiller.observability.metrics import Metrics
from beryltiller.observability.traces import Tracer
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_rows import TermRow, TermState
from beryltiller.process.body_budget import BodyPolicy
from beryltiller.process.proxy import Proxy
from beryltiller.standins.database_connections import DatabaseCapacity
from beryltiller.standins.database_standin import DatabaseStandin
from tests import servers

NAMES = ("d1", "d2", "d3")
CAPACITY = DatabaseCapacity(
    slots=2, connection_cap=8, connect_seconds=0.0, service_seconds=0.0
)
KEYS = TokenKeys(b"0123456789abcdef0123456789abcdef")


def body(op: str, key: str, value: str = "") -> bytes:
    """Return the JSON of a statement for a stand-in database."""
    return msgspec.json.encode({"op": op, "key": key, "value": value})


@dataclass(slots=True)
class ProxyFixture:
    """One running proxy and its databases, by their names."""

    standins: dict[str, DatabaseStandin]
    endpoints: dict[str, HttpEndpoint]
    addresses: dict[str, str]
    board: TermBoard
    planner: Planner
    proxy: Proxy
    records: AdmissionRecords
    databases: Databases
    session: aiohttp.ClientSession
    url: str

    def publish(self, term: int, primary: str, age_seconds: float = 0.0) -> None:
        """Publish evidence of this age that a term is in force."""
        row = TermRow("g1", term, TermState.OPEN, primary, "test", term)
        dated_at = time.monotonic() - age_seconds
        self.board.publish(Evidence().with_read_rows((row,), term, dated_at))

    async def promote(self, term: int, primary: str) -> None:
        """Fence all databases, open one, make the others its replicas, and publish.

        The evidence is dated a minute ahead, so it does not lapse during the test.
        """
        for endpoint in self.endpoints.values():
            await endpoint.fence(term)
        await self.endpoints[primary].open(term)
        for name, endpoint in self.endpoints.items():
            if name != primary:
                await endpoint.follow(term, self.addresses[primary])
        self.publish(term, primary, age_seconds=-60.0)

    async def send(self, request: Request) -> Answer:
        """Send a statement by the callers' client."""
        return await send(self.session, self.url.removeprefix("http://"), request)

    async def post(
        self, path: str, data: bytes | BytesIO = b"", **headers: str
    ) -> aiohttp.ClientResponse:
        """Send a POST request; underscores in the headers' names become dashes."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        response = await self.session.post(self.url + path, data=data, headers=named)
        await response.read()
        return response


def configuration(addresses: dict[str, str]) -> Configuration:
    """Return a configuration with one route of each kind and one group."""
    databases = tuple(
        Database(name, address, "zone-a", CAPACITY.connection_cap, CAPACITY.slots)
        for name, address in addresses.items()
    )
    routes = tuple(Route(kind.value, kind, "pool") for kind in Kind)
    return Configuration(1, routes, (Pool("pool", ("g1",)),), (Group("g1", databases),))


async def start(
    stack: AsyncExitStack, body_policy: BodyPolicy | None = None
) -> ProxyFixture:
    """Start three databases, the first the primary of term 1, and one proxy."""
    started = {name: await servers.database(stack, name, CAPACITY) for name in NAMES}
    addresses = {name: each[2] for name, each in started.items()}
    rng = random.Random(7)
    planner = Planner(RoutingPolicy(availability_zone="zone-a"), rng)
    board = TermBoard(planner)
    records = AdmissionRecords(256)
    http_client = await servers.client(stack)
    databases = Databases(
        "p1",
        lambda address: HttpEndpoint(http_client, address, servers.LOOPBACK),
        records,
        DispatchPolicy(),
        SharePolicy(),
        rng,
    )
    stack.push_async_callback(databases.close)
    members = Members(Member("127.0.0.1:1", "p1", "zone-a", 1))
    databases.update_members(members.live)
    metrics = Metrics(None, rng)
    database_observer = DatabaseObserver(planner, databases, lambda name, event: None)
    settings = PeerSettings("127.0.0.1:0", PeerKeys.generate())
    peers = await stack.enter_async_context(open_peers(settings, lambda *_: None))
    tracer = Tracer("p1", 1, rng)
    hop_recorder = HopRecorder(tracer, metrics)
    forwarder = Forwarder(peers, databases, lambda: members, metrics, hop_recorder)
    statement_runner = StatementRunner(
        planner,
        board,
        databases,
        forwarder,
        database_observer.record_result,
        hop_recorder,
        metrics,
        rng,
    )
    transactions = TransactionService(
        planner,
        board,
        statement_runner,
        lambda name: databases.connected[name].transactions,
    )
    proxy = Proxy(
        "p1",
        statement_runner,
        transactions,
        KEYS,
        metrics,
        tracer,
        rng,
        body_policy=body_policy,
    )
    adopted = configuration(addresses)
    await databases.configure(adopted)
    planner.configure("g1", (DatabaseView(name, "zone-a") for name in NAMES))
    proxy.configure(adopted)
    polls = asyncio.get_running_loop().create_task(database_observer.poll())
    stack.callback(polls.cancel)
    runner = web.ServerRunner(web.Server(proxy.handle), shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, servers.LOOPBACK, 0).start()
    host, port = runner.addresses[0][:2]
    fixture = ProxyFixture(
        {name: each[0] for name, each in started.items()},
        {name: each[1] for name, each in started.items()},
        addresses,
        board,
        planner,
        proxy,
        records,
        databases,
        await servers.client(stack),
        f"http://{host}:{port}",
    )
    await fixture.promote(1, "d1")
    return fixture
