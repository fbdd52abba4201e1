"""Exit codes of the command line, and the error that ends a command with one."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """The result of a command, for scripts; `--help` prints each value's meaning."""

    def __new__(cls, value: int, meaning: str) -> "ExitCode":
        """Create a member whose value is an integer and that also has a `meaning`."""
        code = int.__new__(cls, value)
        code._value_ = value
        code.meaning = meaning
        return code

    meaning: str

    OK = 0, "done"
    FAILED = 1, "failed; the cause is on standard error"
    USAGE = 2, "unknown subcommand, flag or argument"
    INVALID = 3, "the settings or configuration are invalid; nothing changed"
    CONFLICT = 4, "another change was made first; nothing changed"
    UNREACHABLE = 5, "not reached, or the platform failed or refused; nothing changed"
    UNKNOWN = 6, "the answer was lost; the change may have taken effect"
    NOT_FOUND = 7, "no such row, request or trace"
    NOT_YET = 8, "a proxy did not reach the expected state in time"
    INTERRUPTED = 130, "ended by Ctrl-C or SIGTERM"


class CommandError(Exception):
    """A failed command: its exit code, the cause and what the user can do about it.

    Its text is one line. An empty `remedy` is left out.
    """

    def __init__(self, code: ExitCode, cause: str, remedy: str) -> None:
        """Join cause and remedy into the text that is printed."""
        super().__init__(f"{cause}; {remedy}" if remedy else cause)
        self.code = code
