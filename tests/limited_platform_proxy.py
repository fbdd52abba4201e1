"""One proxy process of the platform, with small limits, and what it connects to."""

import asyncio
import json
import random
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from tests.misbehaving_callers import ANSWER_SECONDS, LIMIT_DESCRIPTORS
from tests.soak_checker import Checker
from tests.soak_connections import DatabaseServers
from tests.soak_database import SoakDatabase
from tests.soak_databases import SoakGroup
from tests.soak_deployment import CONFIGURATION, ZONES
from tests.soak_proxies import START_SECONDS, ProxyProcess, until
from tests.soak_record import Record

STORE_IP = "127.0.0.1"
PROXY_IP = "127.0.0.2"
START = b"STARTUP orders soak\r\n"


class LimitedPlatformProxy(ProxyProcess):
    """A proxy whose memory and descriptors are limited."""

    def __init__(self, folder: Path, memory_mb: int, descriptors: int) -> None:
        """Create the proxy; `memory_mb` stands in its settings."""
        super().__init__("front", PROXY_IP, ZONES[0], folder)
        self._memory_mb = memory_mb
        self._descriptors = descriptors

    @property
    def pid(self) -> int:
        """Return the process identifier."""
        assert self._process is not None
        return self._process.pid

    def settings(self, store_address: str) -> dict[str, object]:
        """Return the content of the settings file."""
        limits = {"memory_mb": self._memory_mb}
        return {**super().settings(store_address), "limits": limits}

    def command(self) -> list[str]:
        """Return the command, behind the program that limits its descriptors."""
        limit = [sys.executable, "-c", LIMIT_DESCRIPTORS, str(self._descriptors)]
        return [*limit, *super().command()]

    async def serves_a_write(self) -> bool:
        """Return True if a write succeeds; a read of an empty log cannot be proved."""
        return await self._serves("w", b"WRITE item first")

    async def serves_a_read(self) -> bool:
        """Return True if a caller that begins now is answered."""
        return await self._serves("r", b"READ item")

    async def _serves(self, identifier: str, text: bytes) -> bool:
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reader, writer = await asyncio.open_connection(
                    self.front.ip, self.front.port, limit=1 << 21
                )
                try:
                    writer.write(
                        START + b"QUERY %b %b\r\n" % (identifier.encode(), text)
                    )
                    while line := await reader.readline():
                        if line.startswith((b"COMPLETE", b"ERROR")):
                            return line.startswith(b"COMPLETE")
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            pass
        return False


async def start(
    stack: AsyncExitStack, memory_mb: int, descriptors: int
) -> LimitedPlatformProxy:
    """Start a store, three databases and the proxy, until `stack` closes."""
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    record = Record()
    checker = Checker(record)
    group = SoakGroup(random.Random(1), record, checker)
    stack.push_async_callback(group.close)
    address = await group.store.start(stack, STORE_IP)
    group.store.put("op", "config", json.dumps(CONFIGURATION).encode())
    servers = DatabaseServers(group, stack)
    for number in range(3):
        database = SoakDatabase(f"i-{number}", f"127.0.0.{number + 11}", ZONES[0])
        database.is_primary = number == 0
        group.databases.append(database)
    group.leader = group.databases[0]
    checker.watch(group.leader)
    # Outside of calm times these databases refuse some statements as busy.
    group.statements.is_calm = True
    for database in group.databases:
        await servers.start(database)
    group.spawn(group.run())
    proxy = LimitedPlatformProxy(folder, memory_mb, descriptors)
    proxy.write_settings(address)
    stack.callback(proxy.kill)
    proxy.start()
    await until(proxy.is_ready, START_SECONDS)
    await until(proxy.serves_a_write, START_SECONDS)
    return proxy
