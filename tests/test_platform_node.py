"""Tests of a proxy on the users' platform, over loopback with a fake store."""

import socket
import unittest
from contextlib import AsyncExitStack
from typing import Any

import eliot
import msgspec

from beryltiller.core.addresses import Address
from beryltiller.platform import records
from beryltiller.platform.node import PlatformNode
from beryltiller.platform.settings import PlatformSettings
from tests.fake_store import IP, FakeStore
from tests.servers import until

CONFIGURATION = {
    "config_version": 3,
    "routes": [
        {
            "name": "r",
            "database_name": "db",
            "service": "s",
            "route_kind": "primary",
            "timeout_ms": 500,
        }
    ],
    "services": [{"name": "s", "max_connections": 20, "sync_replicas": 1}],
}
ENTRY = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "a",
    "config_version": "1",
    "slots": 2,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "database_role": "primary",
}


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """A proxy with a configuration and a database is ready, even without a relay."""

    async def asyncSetUp(self) -> None:
        self.fake = FakeStore()
        runner, self.store_address = await self.fake.start()
        self.addAsyncCleanup(runner.cleanup)
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.fake.put(
            records.OPERATOR_TABLE,
            records.CONFIGURATION_KEY,
            msgspec.json.encode(CONFIGURATION),
        )
        entry = msgspec.json.encode(ENTRY)
        self.fake.put(records.DATABASES_TABLE, "i-1", entry)

    def create_node(self, relay_address: Address | None) -> PlatformNode:
        """Return a proxy that listens on free ports of loopback."""
        free_port = Address(IP, 0)
        store = Address.parse(self.store_address)
        settings = PlatformSettings(
            "front-1",
            IP,
            "a",
            free_port,
            free_port,
            store,
            store,
            6.0,
            7.0,
            relay_address,
        )
        return PlatformNode(settings, lambda name, event: None, lambda: None)

    async def wait_until_ready(self, node: PlatformNode) -> None:
        """Wait until the proxy is ready for callers."""

        async def is_ready() -> bool:
            return node.is_ready

        await until(is_ready)

    async def test_proxy_with_a_relay_is_ready_and_takes_a_feeder_lease(self) -> None:
        node = self.create_node(Address(IP, 0))
        self.assertFalse(node.is_ready)
        await node.open(self.stack)
        await self.wait_until_ready(node)

        async def has_feeder_lease() -> bool:
            return ("feeders", "a/1") in self.fake.rows

        await until(has_feeder_lease)

    async def test_proxy_is_ready_if_the_relay_port_is_in_use(self) -> None:
        taken = self.enterContext(socket.create_server((IP, 0)))
        node = self.create_node(Address(IP, taken.getsockname()[1]))
        await node.open(self.stack)
        await self.wait_until_ready(node)
        self.assertNotIn(("feeders", "a/1"), self.fake.rows)

    async def test_odd_rows_in_all_tables_hide_no_database_and_end_no_work(
        self,
    ) -> None:
        """Guard against one row of another writer that stops the feed of a table."""
        lines: list[dict[str, Any]] = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        lines.clear()
        deep = b'{"odd": ' + b"[" * 2000 + b"]" * 2000 + b"}"
        odd_lease = b'{"name": "x", "address": "a b:70000"}'
        self.fake.put("feeders", "a/1", odd_lease)
        self.fake.put("feeders", "a/2", deep)
        self.fake.put("succession", "duty", deep)
        for number, odd in enumerate((deep, b"\xff", b"", b"[]", b"9" * 9_999)):
            self.fake.put(records.DATABASES_TABLE, f"odd-{number}", odd)
        node = self.create_node(Address(IP, 0))
        await node.open(self.stack)
        await self.wait_until_ready(node)
        self.fake.put(records.OPERATOR_TABLE, "odd", deep)
        self.fake.put(records.OPERATOR_TABLE, records.CONFIGURATION_KEY, deep)
        entry = msgspec.json.encode(ENTRY)
        self.fake.put(records.DATABASES_TABLE, "i-2", entry)

        async def is_followed() -> bool:
            is_refused = any("configuration_refused" in str(line) for line in lines)
            is_taken = self.fake.rows["feeders", "a/1"][1] != odd_lease
            found = node.fleet.directory.databases.keys()
            return is_refused and is_taken and found == {"i-1", "i-2"}

        await until(is_followed)
        kinds = [line["message_type"] for line in lines]
        self.assertEqual(kinds.count("beryltiller:entry_refused"), 5)
        self.assertEqual(kinds.count("beryltiller:work_failed"), 0)
