"""A caller of an ingress with a fake database group, on a virtual clock."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from beryltiller.platform.ingress import CallerConnection, Ingress
from tests.fake_group import GroupFixture
from tests.virtual_loop import run_virtual, virtual_now


class FakeSocket:
    """A socket that accepts and ignores all options."""

    def setsockopt(self, *option: object) -> None:
        pass


class FakeTransport(asyncio.Transport):
    """A transport that stores what is written and whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_closed = False
        self._is_reading = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return FakeSocket()

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def is_reading(self) -> bool:
        return self._is_reading

    def pause_reading(self) -> None:
        self._is_reading = False

    def resume_reading(self) -> None:
        self._is_reading = True


class Caller:
    """A caller that is connected to the ingress of a fixture."""

    def __init__(self, ingress: Ingress, fixture: GroupFixture) -> None:
        self.connection = CallerConnection(fixture.service, ingress)
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)

    async def send_line(self, text: str, seconds: float = 0.5) -> list[str]:
        """Send a line, wait, and return the lines of the answer."""
        self.transport.written = b""
        self.connection.data_received(f"{text}\r\n".encode())
        await asyncio.sleep(seconds)
        return self.lines()

    def lines(self) -> list[str]:
        """Return the lines that were written since the last one was sent."""
        return self.transport.written.decode().split("\r\n")[:-1]


Work = Callable[[GroupFixture, Ingress, Caller], Awaitable[None]]


def run_with_caller(work: Work) -> GroupFixture:
    """Run `work` with one caller on a virtual clock, and return the fixture."""

    async def run_work() -> GroupFixture:
        fixture = GroupFixture()
        ingress = Ingress(fixture.service, virtual_now)
        await work(fixture, ingress, Caller(ingress, fixture))
        fixture.fleet.close()
        return fixture

    return run_virtual(run_work())
