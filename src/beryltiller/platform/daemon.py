"""The process of one proxy on the users' platform: start, signals and shutdown."""

import argparse
import os
import signal
import sys
import threading
from collections.abc import Sequence
from contextlib import AsyncExitStack, ExitStack
from dataclasses import replace

from beryltiller import __version__
from beryltiller.observability import events, logs
from beryltiller.platform.node import PlatformNode
from beryltiller.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    SettingsFileError,
    SettingsWatch,
    read_settings_file,
)
from beryltiller.process import periodic
from beryltiller.process.actors import EventLoop, Mailboxes, Supervisor

START_TIMEOUT_SECONDS = 10.0
# The settings file is polled, since it may change without a signal.
SETTINGS_POLL_SECONDS = 1.0

EXIT_OK = 0
EXIT_INVALID = 2


class PlatformDaemon:
    """The event loop, the node and the signal handlers of one proxy process."""

    def __init__(self, path: str, settings: PlatformSettings) -> None:
        """Create the proxy from settings that were read from the file at `path`."""
        self._path = path
        self._settings = settings
        self._stop_requested = threading.Event()
        self._settings_watch = SettingsWatch(path)
        self._mailboxes = Mailboxes()
        self._node = PlatformNode(
            settings, self._mailboxes.send, self._stop_requested.set
        )

    def run(self) -> int:
        """Serve until the proxy has drained, and return the exit code.

        Also stop if parts have failed too often, or if a task of the node fails.
        """
        logs.log_to(sys.stdout)
        with ExitStack() as stack:
            loop = EventLoop()
            stack.callback(loop.close)
            sockets = AsyncExitStack()
            loop.submit(self._node.open(sockets)).result(START_TIMEOUT_SECONDS)
            stack.callback(lambda: loop.submit(sockets.aclose()).result())
            supervisor = Supervisor.start(
                self._node.parts(), loop, self._mailboxes, self._stop_requested.set
            )
            stack.callback(supervisor.stop)
            self._install_signal_handlers(loop)
            polling = loop.submit(
                periodic.run_every(SETTINGS_POLL_SECONDS, self._reload_if_changed)
            )
            stack.callback(polling.cancel)
            self._log_start()
            self._stop_requested.wait()
        return EXIT_OK

    def _install_signal_handlers(self, loop: EventLoop) -> None:
        def drain(number: int, frame: object) -> None:
            loop.call(self._node.drain)

        def reload(number: int, frame: object) -> None:
            loop.call(self._reload)

        signal.signal(signal.SIGTERM, drain)
        signal.signal(signal.SIGINT, drain)
        signal.signal(signal.SIGHUP, reload)

    async def _reload_if_changed(self) -> None:
        if self._settings_watch.has_changed():
            self._reload()

    def _reload(self) -> None:
        try:
            self._node.reconfigure(read_settings_file(self._path))
        except SettingsFileError as error:
            logs.log(events.WorkFailed("reload", str(error)))

    def _log_start(self) -> None:
        settings = self._settings
        started = events.Started(
            settings.host_name,
            settings.availability_zone,
            __version__,
            str(settings.caller_address),
            str(settings.readiness_address),
            "",
        )
        logs.log(started)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a proxy with the platform's settings file, or only check the file.

    Return the exit code: `EXIT_INVALID` if the settings file cannot be used.
    """
    parsed = _parser().parse_args(arguments)
    path = parsed.settings or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_settings_file(path)
    except SettingsFileError as error:
        print(f"beryltiller: {error}", file=sys.stderr)
        return EXIT_INVALID
    if parsed.check:
        print(f"{path}: valid settings for host {settings.host_name}")
        return EXIT_OK
    settings = replace(settings, logs_reads=parsed.log_reads)
    return PlatformDaemon(path, settings).run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m beryltiller.platform",
        description="Run a proxy on the users' platform until SIGTERM.",
        epilog="example: python -m beryltiller.platform --settings local.json --check",
    )
    parser.add_argument(
        "--settings",
        metavar="PATH",
        help=f"the platform's settings file (default: ${SETTINGS_VARIABLE})",
    )
    parser.add_argument(
        "--check", action="store_true", help="only check the settings file"
    )
    parser.add_argument(
        "--log-reads",
        action="store_true",
        help="log each read with the evidence that its answer counts on",
    )
    return parser
