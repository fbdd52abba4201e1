"""Tests that adopted configurations are applied in the order of their versions."""

import unittest

from beryltiller.configuration.tables import Configuration
from beryltiller.process.adopter import Adopter


class AdopterTest(unittest.IsolatedAsyncioTestCase):
    """An older configuration is never applied after a newer one."""

    async def test_only_newer_ones_are_applied(self) -> None:
        applied: list[int] = []

        async def apply(configuration: Configuration) -> None:
            applied.append(configuration.version)

        adopter = Adopter(apply)
        for version in (1, 3, 2, 3, 4):
            await adopter.adopt(Configuration(version))
        self.assertEqual(applied, [1, 3, 4])
