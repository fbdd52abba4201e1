"""Start and end processes of a demonstration or an experiment on one machine.

A tool for developers: the serving system itself starts no process. A process
counts as started when it has printed `{"listening": "ip:port"}` on its standard
output. Every process started here is ended when its launcher is left, whether by
return, error or Ctrl-C, and no other process is touched.

    async with Launcher() as launcher:
        platform = await launcher.start("platform", command)
        platform.freeze()
"""

import asyncio
import contextlib
import os
import signal
import tempfile
from asyncio.subprocess import DEVNULL, PIPE
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

import msgspec

_START_TIMEOUT_SECONDS = 15.0
_STOP_TIMEOUT_SECONDS = 5.0
_SHOWN_ERROR_LINES = 5


class LaunchError(Exception):
    """Report a process that did not start, or ended before it was told to."""


class ListeningModel(msgspec.Struct, frozen=True):
    """Hold the line that a process prints once it accepts connections."""

    listening: str


class LaunchedProcess:
    """Hold one process that a launcher started."""

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, error_path: Path
    ) -> None:
        """Keep the process and the file that its error output goes to."""
        self.name = name
        self.address = ""
        self._process = process
        self._error_path = error_path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended yet; a frozen one is running."""
        return self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal, or None while running."""
        return self._process.returncode

    @property
    def errors(self) -> str:
        """Return what the process has written to its error output."""
        return self._error_path.read_text(encoding="utf-8", errors="replace")

    async def wait_until_listening(self, timeout_seconds: float) -> None:
        """Read the address from standard output, or raise LaunchError."""
        try:
            async with asyncio.timeout(timeout_seconds):
                line = await self._read_line()
        except TimeoutError:
            raise self._error(f"not listening after {timeout_seconds} s") from None
        try:
            self.address = msgspec.json.decode(line, type=ListeningModel).listening
        except msgspec.MsgspecError:
            raise self._error("ended or printed no address") from None

    async def _read_line(self) -> bytes:
        assert self._process.stdout is not None
        return await self._process.stdout.readline()

    def _error(self, reason: str) -> LaunchError:
        last = self.errors.splitlines()[-_SHOWN_ERROR_LINES:]
        return LaunchError("\n".join([f"{self.name}: {reason}", *last]))

    def freeze(self) -> None:
        """Stop the process where it stands (SIGSTOP) and return once it has."""
        self._signal(signal.SIGSTOP)
        with contextlib.suppress(ChildProcessError):
            os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def thaw(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down (SIGTERM); a frozen one is thawed."""
        self._signal(signal.SIGTERM)
        self.thaw()

    async def kill(self) -> None:
        """End the process at once (SIGKILL) and wait for it."""
        self._signal(signal.SIGKILL)
        await self._process.wait()

    async def wait(self, timeout_seconds: float) -> int:
        """Return the exit code once the process has ended, or raise TimeoutError."""
        async with asyncio.timeout(timeout_seconds):
            return await self._process.wait()

    async def stop(self, timeout_seconds: float = _STOP_TIMEOUT_SECONDS) -> None:
        """Ask the process to shut down; kill it when it takes longer than allowed."""
        self.terminate()
        with contextlib.suppress(TimeoutError):
            await self.wait(timeout_seconds)
        if self.is_running:
            await self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)


@contextlib.contextmanager
def _cancelled_by_sigterm() -> Iterator[None]:
    """Let SIGTERM end the processes as Ctrl-C does."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        yield
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


class Launcher:
    """Own the processes of one experiment; an asynchronous context manager."""

    def __init__(self) -> None:
        """Start with no process."""
        self._stack = contextlib.AsyncExitStack()
        self._directory = Path()
        self._started = 0

    @property
    def directory(self) -> Path:
        """Return a directory that is removed with the launcher."""
        return self._directory

    async def __aenter__(self) -> Self:
        """Make the directory for the processes' error output.

        SIGTERM cancels the present task from now on, so that the processes end with
        it as they do on Ctrl-C.
        """
        self._stack.enter_context(_cancelled_by_sigterm())
        temporary = tempfile.TemporaryDirectory(prefix="beryltiller-")
        self._directory = Path(self._stack.enter_context(temporary))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process, the last started first."""
        await self._stack.aclose()

    async def start(
        self,
        name: str,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
        timeout_seconds: float = _START_TIMEOUT_SECONDS,
    ) -> LaunchedProcess:
        """Start a process and return it once it listens.

        `environment` replaces the whole environment; None passes on this process's.
        """
        self._started += 1
        error_path = self._directory / f"{self._started}-{name}.stderr"
        with error_path.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=DEVNULL,
                stdout=PIPE,
                stderr=errors,
                env=None if environment is None else dict(environment),
                start_new_session=True,
            )
        launched = LaunchedProcess(name, process, error_path)
        self._stack.push_async_callback(launched.stop)
        await launched.wait_until_listening(timeout_seconds)
        return launched
