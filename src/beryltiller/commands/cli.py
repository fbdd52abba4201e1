"""The program `beryltiller`: check the arguments and hand over to a command.

Errors are one line on standard error that names the cause and the mend; the exit
codes are listed by `beryltiller --help`.
"""

import sys
from collections.abc import Callable, Sequence
from pkgutil import resolve_name

from beryltiller.commands.cli_parser import make_parser
from beryltiller.commands.command_errors import CommandError, ExitCode


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parsed = make_parser().parse_args(arguments)
    try:
        command: Callable[..., int] = resolve_name(parsed.command)
        return command(parsed)
    except CommandError as error:
        print(f"beryltiller: {error}", file=sys.stderr)
        return error.code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        sys.stderr.close()
        return ExitCode.FAILED


if __name__ == "__main__":
    sys.exit(main())
