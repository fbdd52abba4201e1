"""Errors of the sessions layer."""

from beryltiller.sessions.statements import Code


class SessionError(Exception):
    """Report a statement that has no result, with the code for the caller."""

    def __init__(self, code: Code, reason: str) -> None:
        """Keep the code and a readable reason."""
        super().__init__(f"{code.value}: {reason}")
        self.code = code
        self.reason = reason


class NotSentError(SessionError):
    """Report a statement that was refused before it was sent to a database."""


class ReplacedError(NotSentError):
    """Report that another database answers at the address: the wanted one has ended."""


class BrokenError(SessionError):
    """Report a connection that broke, or was given up, before the answer was whole."""

    def __init__(self, reason: str) -> None:
        """Keep the reason; the outcome is not known here."""
        super().__init__(Code.UNKNOWN_OUTCOME, reason)
