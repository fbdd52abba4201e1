"""A deployment for a soak: a store, one service of three databases, and proxies."""

import itertools
import json
import os
import random
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from tests.soak_callers import READING_DATABASE, WRITING_DATABASE, Caller
from tests.soak_checker import Checker
from tests.soak_connections import MAX_CONNECTIONS, DatabaseServers
from tests.soak_database import SERVICE, SoakDatabase
from tests.soak_databases import SoakGroup
from tests.soak_proxies import Proxies
from tests.soak_record import Record
from tests.soak_statement_callers import StatementCaller
from tests.soak_statement_checker import DEFAULT_KEY

ZONES = ("zone-a", "zone-b", "zone-c")
PROXY_ZONES = ("zone-a", "zone-a", "zone-b", "zone-c")
# The callers of each proxy.
CALLERS = (Caller,) * 4
RECOVERY_SECONDS = 30.0


def _route(database_name: str, kind: str) -> dict[str, object]:
    return {
        "name": database_name,
        "database_name": database_name,
        "service": SERVICE,
        "route_kind": kind,
        "timeout_ms": 2000,
        # Half of this is the time for opening a connection, of which a proxy that has
        # just started has none. Attempts of 0.6 s show that a primary is silent.
        "target_latency_ms": 1500,
        "priority": 1,
        "max_staleness_ms": 1500,
    }


CONFIGURATION: dict[str, Any] = {
    "config_version": 3,
    "routes": [
        _route(WRITING_DATABASE, "primary"),
        _route(READING_DATABASE, "bounded_staleness"),
    ],
    "services": [
        {"name": SERVICE, "max_connections": MAX_CONNECTIONS, "sync_replicas": 1}
    ],
    "limits": {"transaction_idle_ms": 3000},
}


class Deployment:
    """All parts of a soak; what it starts ends with the stack that is passed in."""

    def __init__(
        self,
        rng: random.Random,
        folder: Path,
        stack: AsyncExitStack,
        callers: Sequence[type[Caller | StatementCaller]] = CALLERS,
        configuration: dict[str, Any] = CONFIGURATION,
        keys: Sequence[Sequence[str]] = ((DEFAULT_KEY,),),
    ) -> None:
        """Create the parts; files are kept in `folder`.

        Each proxy has `callers` for each organisation, who use its keys in turn; `keys`
        has those of each organisation.
        """
        self.configuration = configuration
        self.record = Record()
        self.checker = Checker(self.record)
        self.group = SoakGroup(random.Random(rng.random()), self.record, self.checker)
        self._network = f"127.0.{os.getpid() % 200 + 20}"
        hosts = {
            f"front-{number}": (f"{self._network}.{number + 21}", zone)
            for number, zone in enumerate(PROXY_ZONES)
        }
        self.proxies = Proxies(hosts, folder, self.record)
        self._rng = rng
        self._callers = callers
        self._stack = stack
        self._folder = folder
        self._database_count = 0
        self._keys = keys
        (service,) = configuration["services"]
        cap = service["max_connections"]
        self.checker.statements.connections.max_connections = cap
        self.servers = DatabaseServers(self.group, stack, cap)

    async def start(self) -> None:
        """Start all parts, and wait until the proxies are ready."""
        self._stack.callback(self.record.write, self._folder / "record.txt")
        self._stack.push_async_callback(self.group.close)
        address = await self.group.store.start(self._stack, f"{self._network}.1")
        self.group.store.put("op", "config", json.dumps(self.configuration).encode())
        for number, zone in enumerate(ZONES):
            database = self.create_database(f"{self._network}.{number + 11}", zone)
            database.is_primary = number == 0
            self.group.databases.append(database)
        self.group.leader = self.group.databases[0]
        self.checker.watch(self.group.leader)
        for database in self.group.databases:
            await self.servers.start(database)
        self.group.spawn(self.group.run())
        await self.proxies.start(self._stack, address)
        pairs = itertools.product(
            self.proxies.all, self._keys, enumerate(self._callers)
        )
        for number, (proxy, keys, (index, kind)) in enumerate(pairs):
            caller_rng = random.Random(self._rng.random())
            key = keys[index % len(keys)]
            caller = kind(number, proxy, self.checker, caller_rng, key)
            self.group.spawn(caller.run())
        await self.wait_for_writes()

    def create_database(self, ip: str, zone: str, port: int = 0) -> SoakDatabase:
        """Return a database with an identifier of its own, and without a log."""
        self._database_count += 1
        return SoakDatabase(f"i-{self._database_count:02x}", ip, zone, port)

    async def wait_for_writes(self) -> None:
        """Wait until each proxy serves writes, for the recovery time at most."""
        names = [each.name for each in self.proxies.all]
        await self.checker.wait_for_reports(names, RECOVERY_SECONDS)

    def finish(self) -> None:
        """Check that all proxies still run, and what is in the logs at the end."""
        for proxy in self.proxies.all:
            if not proxy.is_running:
                text = f"{proxy.name} has ended by itself"
                self.checker.findings.unserved.append(text)
        self.checker.finish()
