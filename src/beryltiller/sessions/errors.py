"""Errors of statements and connections in the sessions layer."""

from beryltiller.sessions.statements import Code


class SessionError(Exception):
    """A statement without a result, with the code that the caller receives."""

    def __init__(self, code: Code, reason: str) -> None:
        """Create an error whose text is the code and a readable reason."""
        super().__init__(f"{code.value}: {reason}")
        self.code = code
        self.reason = reason


class NotSentError(SessionError):
    """A statement that was refused before it was sent to a database."""


class NoCapacityError(NotSentError):
    """A refusal by this proxy itself, for lack of a connection or of a queue place.

    Unlike a refusal by the database, it does not show that the database is running.
    """


class QueueTooLongError(NoCapacityError):
    """A refusal on arrival, as the queue ahead takes longer than the time left."""

    def __init__(self, wait_seconds: float, left_seconds: float) -> None:
        """Create an error that states the expected wait, and the possible one."""
        super().__init__(
            Code.BUSY,
            f"the statements ahead are expected to take {wait_seconds:.3f} s, "
            f"and this one can wait for {left_seconds:.3f} s",
        )


class CallerGoneError(SessionError):
    """A statement that was not sent, as its caller has disconnected."""

    def __init__(self) -> None:
        """Create an error that promises that the statement has not run."""
        super().__init__(Code.ABORTED, "the caller has disconnected")


class LongTransactionError(NotSentError):
    """A transaction that was rolled back, as others waited for its connection."""

    def __init__(self) -> None:
        """Create an error that promises that the transaction has no effect."""
        reason = (
            "the transaction held a connection for long while others waited for one, "
            "and was rolled back"
        )
        super().__init__(Code.ABORTED, reason)


class NotRunningError(NotSentError):
    """A refusal by a database's host, as no process listens at the address."""


class ReplacedError(NotSentError):
    """A refusal because another database answers at the address of an ended one."""


class BrokenError(SessionError):
    """A connection that broke or was abandoned before the answer was complete."""

    def __init__(self, reason: str) -> None:
        """Create an error with the code for an unknown outcome."""
        super().__init__(Code.UNKNOWN_OUTCOME, reason)


class ReplyTooLargeError(BrokenError):
    """A reply that is longer than the proxy keeps in memory; the statement has run."""


class SetUpRefusedError(NotSentError):
    """A database's refusal of a statement that sets up a session's state.

    `statement` is its kind and `refusal` the database's reason. `values` and `prepared`
    count what the connection had before.
    """

    def __init__(
        self, statement: str, refusal: Code, values: int, prepared: int
    ) -> None:
        """Create an error that promises that the caller's statement has not run."""
        code = refusal if refusal.promises_no_effect else Code.ABORTED
        super().__init__(code, f"the database refused {statement}: {refusal.value}")
        self.statement = statement
        self.refusal = refusal.value
        self.values = values
        self.prepared = prepared


class SetUpLostError(NotSentError):
    """A connection that broke, or did not answer, before the caller's statement."""

    def __init__(self, reason: str) -> None:
        """Create an error that promises that the caller's statement has not run."""
        super().__init__(Code.ABORTED, reason)


class StatementLostError(NotSentError):
    """A database that has lost a prepared statement, which has therefore not run."""

    def __init__(self) -> None:
        """Create an error that promises that the caller's statement has not run."""
        super().__init__(Code.ABORTED, "the database has lost a prepared statement")


class TransactionEndedError(SessionError):
    """A transaction that its database has ended before its caller did.

    The last statement may have run outside of it.
    """

    def __init__(self, refusal: Code | None) -> None:
        """Create an error with the code of the refusal, or for an unknown outcome."""
        code = Code.UNKNOWN_OUTCOME if refusal is None else refusal
        super().__init__(code, "the database has ended the transaction")
