"""The process of one proxy: starts its actors and servers, drains and stops."""

import gc
import json
import os
import signal
import sys
import threading
from contextlib import AsyncExitStack, ExitStack

from beryltiller import __version__
from beryltiller.observability import events, logs
from beryltiller.process.actors import EventLoop, Mailboxes, Supervisor
from beryltiller.process.node import Node
from beryltiller.process.settings import Settings
from beryltiller.process.settings_source import read_settings

START_TIMEOUT_SECONDS = 10.0
STOP_TIMEOUT_SECONDS = 5.0

# A statement creates a few hundred objects, and nearly all are freed when it ends, so
# that frequent collections would find little to free.
YOUNG_OBJECTS_PER_COLLECTION = 10_000

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2


class Daemon:
    """The event loop, the supervisor and the node of one proxy process."""

    def __init__(self, settings: Settings) -> None:
        """Store the settings; `run` starts the proxy."""
        self._settings = settings
        self._ended = threading.Event()
        self._has_failed = False
        self._mailboxes = Mailboxes()

    def run(self) -> int:
        """Serve until the proxy has drained, or until parts have failed too often.

        A signal, an operator or the platform's host list starts the drain. Return the
        exit code: `EXIT_FAILED` if parts failed too often, else `EXIT_OK`.
        """
        logs.log_to(sys.stderr)
        with ExitStack() as stack:
            loop = EventLoop()
            stack.callback(loop.close)
            self._node = Node(self._settings, self._mailboxes.send, self._ended.set)
            sockets = AsyncExitStack()
            loop.submit(self._node.open(sockets)).result(START_TIMEOUT_SECONDS)
            stack.callback(lambda: loop.submit(sockets.aclose()).result())
            self._start_parts(stack, loop)
            self._install_signal_handlers(loop)
            _exclude_startup_objects_from_gc()
            self._report_start()
            self._ended.wait()
            loop.submit(self._node.leave()).result(STOP_TIMEOUT_SECONDS)
        cause = "failed" if self._has_failed else "drained"
        logs.log(events.Stopped(cause, self._node.in_flight))
        return EXIT_FAILED if self._has_failed else EXIT_OK

    def _start_parts(self, stack: ExitStack, loop: EventLoop) -> None:
        supervisor = Supervisor.start(
            self._node.parts(), loop, self._mailboxes, self._give_up
        )
        stack.callback(supervisor.stop)

    def _give_up(self) -> None:
        self._has_failed = True
        self._ended.set()

    def _install_signal_handlers(self, loop: EventLoop) -> None:
        def drain(number: int, frame: object) -> None:
            loop.call(self._node.start_drain)

        signal.signal(signal.SIGTERM, drain)
        signal.signal(signal.SIGINT, drain)

    def _report_start(self) -> None:
        settings = self._settings
        started = events.Started(
            settings.host_name,
            settings.availability_zone,
            __version__,
            str(settings.caller_address),
            str(settings.operator_address),
            str(settings.peer_address),
        )
        logs.log(started)
        address = str(settings.caller_address)
        print(json.dumps({"listening": address}), flush=True)


def _exclude_startup_objects_from_gc() -> None:
    """Exclude the objects that exist at the start from garbage collections.

    Modules and classes, which live as long as the process, are most of a proxy's
    objects. Traversing them in every full collection would delay all statements for
    some tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS_PER_COLLECTION)


def run(settings: Settings) -> int:
    """Run a proxy until it is drained; return the exit code."""
    return Daemon(settings).run()


def main() -> int:
    """Run a proxy with settings from environment variables only.

    Return `EXIT_INVALID` if they are not valid.
    """
    result = read_settings({}, os.environ)
    settings = result.value_or(None)
    if settings is None:
        print(f"beryltiller-proxy: {result.failure()}", file=sys.stderr)
        return EXIT_INVALID
    return run(settings.settings)
