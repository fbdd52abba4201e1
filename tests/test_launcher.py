"""Tests that a launcher starts processes and ends all of them."""

import os
import sys
import unittest

from beryltiller.standins.launcher import LaunchedProcess, Launcher, LaunchError

_PRINT_ADDRESS = (
    'import json, sys; print(json.dumps({"listening": "127.0.0.1:1"}), flush=True)'
)
_PRINT_ADDRESS_AND_WAIT = (
    _PRINT_ADDRESS + "; sys.stdin = None; import signal; signal.pause()"
)
_IGNORE_SIGTERM = (
    f"import signal; signal.signal(signal.SIGTERM, lambda *_: 0)\n{_PRINT_ADDRESS}"
)
_WAIT_IGNORING_SIGTERM = _IGNORE_SIGTERM + "\nwhile True: signal.pause()"


def _process_exists(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def _process_state(pid: int) -> str:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        return file.read().rpartition(")")[2].split()[0]


async def _start(
    launcher: Launcher, code: str, timeout: float = 10.0
) -> LaunchedProcess:
    command = (sys.executable, "-S", "-c", code)
    return await launcher.start("child", command, timeout_seconds=timeout)


class LauncherTest(unittest.IsolatedAsyncioTestCase):
    """Leaving a launcher ends each process that it started, and no other process.

    Guards against processes left behind by a failed start, an error in the body, a
    frozen process or one that ignores SIGTERM.
    """

    async def test_start_returns_the_address(self) -> None:
        async with Launcher() as launcher:
            child = await _start(launcher, _PRINT_ADDRESS_AND_WAIT)
            self.assertEqual(child.address, "127.0.0.1:1")
            self.assertTrue(child.is_running)
        self.assertFalse(_process_exists(child.pid))

    async def test_error_in_the_body_ends_processes(self) -> None:
        with self.assertRaises(ZeroDivisionError):
            async with Launcher() as launcher:
                child = await _start(launcher, _PRINT_ADDRESS_AND_WAIT)
                _ = 1 / 0
        self.assertFalse(_process_exists(child.pid))

    async def test_other_launchers_processes_keep_running(self) -> None:
        async with Launcher() as outer:
            outer_child = await _start(outer, _PRINT_ADDRESS_AND_WAIT)
            async with Launcher() as inner:
                await _start(inner, _PRINT_ADDRESS_AND_WAIT)
            self.assertTrue(_process_exists(outer_child.pid))

    async def test_failed_start_raises_with_its_reason(self) -> None:
        cases = (
            ("import sys; sys.exit('no such port')", 10.0, "no such port"),
            ("print('hello')", 10.0, "printed no address"),
            ("import signal; signal.pause()", 0.05, "not listening after 0.05 s"),
        )
        for code, timeout, reason in cases:
            with (
                self.subTest(reason=reason),
                self.assertRaisesRegex(LaunchError, reason),
            ):
                async with Launcher() as launcher:
                    await _start(launcher, code, timeout)

    async def test_kill_ends_a_process_that_ignores_sigterm(self) -> None:
        async with Launcher() as launcher:
            child = await _start(launcher, _WAIT_IGNORING_SIGTERM)
            await child.kill()
            self.assertEqual(child.exit_code, -9)

    async def test_frozen_process_is_ended(self) -> None:
        async with Launcher() as launcher:
            child = await _start(launcher, _PRINT_ADDRESS_AND_WAIT)
            child.freeze()
            self.assertEqual(_process_state(child.pid), "T")
        self.assertFalse(_process_exists(child.pid))
        self.assertEqual(child.exit_code, -15)

    async def test_stop_kills_a_process_that_ignores_sigterm(self) -> None:
        async with Launcher() as launcher:
            child = await _start(launcher, _WAIT_IGNORING_SIGTERM)
            await child.stop(timeout_seconds=0.05)
            self.assertEqual(child.exit_code, -9)
