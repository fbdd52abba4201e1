"""Crowds of misbehaving callers, and what is measured of the proxy that they use."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

from beryltiller.core.addresses import Address

MEGABYTE = 1_000_000
# The kernel keeps little for callers that read nothing, so that the proxy keeps it.
RECEIVE_BUFFER_BYTES = 4096
ANSWER_SECONDS = 5.0
# The longest time that one crowd may send.
SEND_SECONDS = 2.0
# The first program limits its descriptors and becomes the second one.
LIMIT_DESCRIPTORS = (
    "import os, resource, sys; n = int(sys.argv[1]);"
    " resource.setrlimit(resource.RLIMIT_NOFILE, (n, n));"
    " os.execv(sys.argv[2], sys.argv[2:])"
)


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident set that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text("ascii").splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError(f"process {pid} has no memory")


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class Crowd:
    """Connections of callers who read nothing unless a test does it for them."""

    def __init__(self, address: Address) -> None:
        """Create a crowd without connections; `connections` ends it."""
        self.sockets: list[socket.socket] = []
        self._address = address

    async def connect(self, count: int) -> list[socket.socket]:
        """Open connections, and return them."""
        loop = asyncio.get_running_loop()
        opened = []
        for _ in range(count):
            each = socket.socket()
            self.sockets.append(each)
            each.setblocking(False)
            each.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            await loop.sock_connect(each, (self._address.ip, self._address.port))
            opened.append(each)
        return opened

    async def send(self, sockets: list[socket.socket], data: bytes) -> None:
        """Send on all sockets at once, until the proxy accepts no more of it."""
        loop = asyncio.get_running_loop()
        sending = [loop.create_task(loop.sock_sendall(each, data)) for each in sockets]
        _, unfinished = await asyncio.wait(sending, timeout=SEND_SECONDS)
        for each in unfinished:
            each.cancel()
        # The proxy may close the connection of such a caller at any time.
        await asyncio.gather(*sending, return_exceptions=True)

    async def receive(self, sockets: list[socket.socket], size: int) -> None:
        """Receive `size` bytes on each of the sockets that gets so many in time."""
        receiving = [_receive(each, size) for each in sockets]
        with suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_SECONDS):
                await asyncio.gather(*receiving)


async def _receive(each: socket.socket, size: int) -> None:
    loop = asyncio.get_running_loop()
    with suppress(OSError):
        while size > 0 and (data := await loop.sock_recv(each, size)):
            size -= len(data)


@asynccontextmanager
async def crowd(address: Address) -> AsyncIterator[Crowd]:
    """Return a crowd at an address, whose connections end with the block."""
    found = Crowd(address)
    async with AsyncExitStack() as stack:
        try:
            yield found
        finally:
            for each in found.sockets:
                stack.callback(each.close)
