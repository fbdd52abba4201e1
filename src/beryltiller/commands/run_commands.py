"""Commands that run something: a proxy, the demonstration, a benchmark."""

from argparse import Namespace
from collections.abc import Callable
from pkgutil import resolve_name

from beryltiller.commands.settings_commands import load_settings
from beryltiller.process.settings import Settings


def proxy(arguments: Namespace) -> int:
    """Run a proxy until it is drained or told to stop."""
    loaded = load_settings(arguments)
    run: Callable[[Settings], int] = resolve_name("beryltiller.process.daemon:run")
    return run(loaded.settings)


def demo(arguments: Namespace) -> int:
    """Run the demonstration."""
    from beryltiller.standins.demo import run

    return run(arguments.stay)


def bench(arguments: Namespace) -> int:
    """Run one benchmark or all of them."""
    from beryltiller.benchmarks.bench import run

    return run(arguments.name, arguments.seed)
