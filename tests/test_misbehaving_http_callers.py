"""Crowds of misbehaving callers at a real process of the HTTP proxy."""

import json
import resource
import unittest
from contextlib import AsyncExitStack

import aiohttp

from beryltiller.adapters.proxy_client import Request, send
from beryltiller.core.addresses import Address
from beryltiller.core.outcome import Outcome
from beryltiller.standins import cluster_setup
from beryltiller.standins.cluster import Cluster, ClusterSizes, start_cluster
from beryltiller.standins.launcher import Launcher
from tests.misbehaving_callers import crowd, open_descriptors

DESCRIPTORS = 192
LARGE_CROWD = 240
HEAD = b"POST /v1/statements HTTP/1.1\r\nHost: proxy\r\nBeryl-Route: order-reads\r\n"
BODY = b"Content-Length: 100\r\n\r\n{"
READ = Request("order-reads", json.dumps({"op": "get", "key": "start"}).encode())


class HttpConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that take all descriptors of a proxy."""

    cluster: Cluster
    address: Address

    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        launcher = await stack.enter_async_context(Launcher())
        sizes = ClusterSizes(proxies=1)
        self.cluster = await start_cluster(launcher, sizes)
        await cluster_setup.configure(self.cluster)
        (self.proxy,) = self.cluster.proxies.values()
        limit = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.proxy.pid, resource.RLIMIT_NOFILE, limit)
        (addresses,) = self.cluster.addresses.values()
        self.address = addresses.caller

    async def check_proxy(self) -> None:
        """Check that the process lives within its limits and serves."""
        self.assertTrue(self.proxy.is_running)
        async with aiohttp.ClientSession() as session:
            answer = await send(session, str(self.address), READ)
        self.assertTrue(self.proxy.is_running)
        self.assertLess(open_descriptors(self.proxy.pid), DESCRIPTORS)
        self.assertIs(answer.outcome, Outcome.DONE, answer)

    async def test_crowds_that_stop_before_in_and_behind_the_headers(self) -> None:
        for data in (b"", HEAD, HEAD + BODY):
            async with crowd(self.address) as found:
                sockets = await found.connect(LARGE_CROWD)
                if data:
                    await found.send(sockets, data)
                with self.subTest(data):
                    await self.check_proxy()
