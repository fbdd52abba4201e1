"""Start and end the processes of a demonstration or an experiment on one machine.

It is a tool for developers; a running proxy starts no processes. A process counts as
started once it has printed `{"listening": "ip:port"}` to its standard output. Leaving
a launcher, by return, error or Ctrl-C, ends every process that it started and no
other.

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
    """A process or system that did not reach, or did not keep, a usable state."""


class ListeningModel(msgspec.Struct, frozen=True):
    """The line that a process prints once it accepts connections."""

    listening: str


class LaunchedProcess:
    """A process that a launcher started; `address` is where it listens, `ip:port`."""

    def __init__(
        self, name: str, process: asyncio.subprocess.Process, error_path: Path
    ) -> None:
        """Wrap a process whose standard error goes to the file at `error_path`."""
        self.name = name
        self.address = ""
        self._process = process
        self._error_path = error_path

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """True until the process has ended; a frozen process counts as running."""
        return self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative if a signal ended the process; None while it runs."""
        return self._process.returncode

    @property
    def error_output(self) -> str:
        """The text that the process has written to its standard error."""
        return self._error_path.read_text(encoding="utf-8", errors="replace")

    async def wait_until_listening(self, timeout_seconds: float) -> None:
        """Wait for the address that the process prints and store it in `address`.

        Raise LaunchError if the process ends, prints something else or takes longer
        than `timeout_seconds`; the error shows its last lines on standard error.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                line = await self._read_line()
        except TimeoutError:
            raise self._launch_error(
                f"not listening after {timeout_seconds} s"
            ) from None
        try:
            self.address = msgspec.json.decode(line, type=ListeningModel).listening
        except msgspec.MsgspecError:
            raise self._launch_error("ended or printed no address") from None

    async def _read_line(self) -> bytes:
        assert self._process.stdout is not None
        return await self._process.stdout.readline()

    def _launch_error(self, reason: str) -> LaunchError:
        last_lines = self.error_output.splitlines()[-_SHOWN_ERROR_LINES:]
        return LaunchError("\n".join([f"{self.name}: {reason}", *last_lines]))

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP); return once it is suspended or has ended."""
        self._signal(signal.SIGSTOP)
        with contextlib.suppress(ChildProcessError):
            os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)

    def resume(self) -> None:
        """Resume a frozen process (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down (SIGTERM); resume it if it is frozen."""
        self._signal(signal.SIGTERM)
        self.resume()

    async def kill(self) -> None:
        """Kill the process (SIGKILL) and wait until it has ended."""
        self._signal(signal.SIGKILL)
        await self._process.wait()

    async def wait(self, timeout_seconds: float) -> int:
        """Wait for the process to end and return its exit code.

        Raise TimeoutError if it takes longer than `timeout_seconds`.
        """
        async with asyncio.timeout(timeout_seconds):
            return await self._process.wait()

    async def stop(self, timeout_seconds: float = _STOP_TIMEOUT_SECONDS) -> None:
        """Ask the process to shut down; kill it after `timeout_seconds`."""
        self.terminate()
        with contextlib.suppress(TimeoutError):
            await self.wait(timeout_seconds)
        if self.is_running:
            await self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)


@contextlib.contextmanager
def _cancel_on_sigterm() -> Iterator[None]:
    """Cancel the current task on SIGTERM while the context is entered."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        yield
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


class Launcher:
    """The processes of one experiment, ended when this context manager is left."""

    def __init__(self) -> None:
        """Create a launcher without processes."""
        self._exit_stack = contextlib.AsyncExitStack()
        self._directory = Path()
        self._start_count = 0

    @property
    def directory(self) -> Path:
        """A temporary directory that is removed when the launcher is left."""
        return self._directory

    async def __aenter__(self) -> Self:
        """Create the directory for the processes' error output.

        SIGTERM cancels the current task from now on, so that it ends the processes
        as Ctrl-C does.
        """
        self._exit_stack.enter_context(_cancel_on_sigterm())
        temporary = tempfile.TemporaryDirectory(prefix="beryltiller-")
        self._directory = Path(self._exit_stack.enter_context(temporary))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process, in the reverse order of their start."""
        await self._exit_stack.aclose()

    async def start(
        self,
        name: str,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
        timeout_seconds: float = _START_TIMEOUT_SECONDS,
    ) -> LaunchedProcess:
        """Start a process and return it once it listens.

        `environment` replaces this process's environment, which is passed on if it is
        None. Raise LaunchError if the process does not listen in time.
        """
        self._start_count += 1
        error_path = self._directory / f"{self._start_count}-{name}.stderr"
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
        self._exit_stack.push_async_callback(launched.stop)
        await launched.wait_until_listening(timeout_seconds)
        return launched
