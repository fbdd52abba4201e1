"""Outcomes of requests, kinds of work, and refusals."""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Outcome(Enum):
    """What a caller may conclude about whether its request took effect.

    `NOT_RUN` needs proof: nothing was sent, or the endpoint answered that it refused.
    A timeout after a send is `UNKNOWN`.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@unique
class Kind(Enum):
    """The kind of statements that a route carries.

    An aged read may return data of a limited age. An unsafe write must not be run again
    after an unknown outcome, unless a request key lets the database recognise it.
    """

    READ = "read"
    AGED_READ = "aged-read"
    WRITE = "write"
    UNSAFE_WRITE = "unsafe-write"

    @property
    def is_write(self) -> bool:
        """Return True if the work may change data."""
        return self in (Kind.WRITE, Kind.UNSAFE_WRITE)


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why a request was not served, and the invalid field, if any."""

    reason: str
    field: str = ""

    def __str__(self) -> str:
        """Return `field: reason`, or only the reason if no field is named."""
        return f"{self.field}: {self.reason}" if self.field else self.reason
