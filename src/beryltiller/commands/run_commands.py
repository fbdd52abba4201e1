"""Commands that run a proxy, the demonstration or the benchmarks."""

from argparse import Namespace
from collections.abc import Callable
from pkgutil import resolve_name

from beryltiller.commands.settings_commands import load_settings
from beryltiller.process.settings import Settings


def proxy(arguments: Namespace) -> int:
    """Run a proxy until it is drained or gets a signal to stop.

    Raise CommandError if the settings are invalid.
    """
    loaded = load_settings(arguments)
    run: Callable[[Settings], int] = resolve_name("beryltiller.process.daemon:run")
    return run(loaded.settings)


def demo(arguments: Namespace) -> int:
    """Run the demonstration; with `--stay`, keep its system running until Ctrl-C."""
    from beryltiller.standins.demo import run

    return run(arguments.stay)


def bench(arguments: Namespace) -> int:
    """Run the benchmark that the arguments name, or all benchmarks."""
    from beryltiller.benchmarks.bench import run

    return run(arguments.name, arguments.seed)
