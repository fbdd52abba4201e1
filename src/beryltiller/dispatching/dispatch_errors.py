"""Errors of dispatching: a statement without a whole answer."""

from beryltiller.core.outcome import Outcome, Refusal


class DispatchError(Exception):
    """Report a statement without a whole answer, and what may be concluded."""

    outcome = Outcome.UNKNOWN

    def __init__(self, code: str, refusal: Refusal) -> None:
        """Keep the machine-readable code beside the reason."""
        super().__init__(f"{code}: {refusal}")
        self.code = code
        self.refusal = refusal


class NotRunError(DispatchError):
    """Report a statement that was proved not to have run.

    `code` is a `Cause` such as `queue-full`, or the database's own code such as
    `behind`.
    """

    outcome = Outcome.NOT_RUN


class UnknownOutcomeError(DispatchError):
    """Report a statement that was sent and whose answer did not arrive whole."""
