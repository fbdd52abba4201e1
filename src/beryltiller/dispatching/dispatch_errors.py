"""Errors raised for statements that got no complete answer."""

from beryltiller.core.outcome import Outcome, Refusal


class DispatchError(Exception):
    """A statement got no complete answer; `outcome` says whether it may have run."""

    outcome = Outcome.UNKNOWN

    def __init__(self, code: str, refusal: Refusal) -> None:
        """Keep the machine-readable code and the reason."""
        super().__init__(f"{code}: {refusal}")
        self.code = code
        self.refusal = refusal


class NotRunError(DispatchError):
    """A statement was proved not to have run.

    `code` is that of a `Cause`, such as `queue-full`, or the database's own code, such
    as `behind`.
    """

    outcome = Outcome.NOT_RUN


class UnknownOutcomeError(DispatchError):
    """A statement was sent, but no complete answer arrived, so it may have run."""
