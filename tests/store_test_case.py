"""A case for tests of the clients of the platform's store."""

import time
import unittest

import aiohttp

from beryltiller.platform.duty import Duty
from beryltiller.platform.store import StoreClient
from tests.fake_store import FakeStore


class StoreTestCase(unittest.IsolatedAsyncioTestCase):
    """A fake store and a client of it."""

    async def asyncSetUp(self) -> None:
        self.fake = FakeStore()
        runner, self.address = await self.fake.start()
        self.addAsyncCleanup(runner.cleanup)
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.store = StoreClient(self.session, self.address)

    def duty(self, holder: str) -> Duty:
        """Return the duty as the proxy on host `holder` uses it."""
        return Duty(self.session, self.store, self.address, holder, time.monotonic)
