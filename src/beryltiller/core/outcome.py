"""Outcomes of a request: done, not run, or unknown."""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class Outcome(Enum):
    """State what a caller may conclude about a request.

    `NOT_RUN` is claimed only with proof: nothing was sent, or the endpoint said
    that it refused. A timeout after a send is `UNKNOWN`.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@unique
class Kind(Enum):
    """Name the kind of work that a route carries."""

    READ = "read"
    AGED_READ = "aged-read"
    WRITE = "write"
    UNSAFE_WRITE = "unsafe-write"

    @property
    def is_write(self) -> bool:
        """Tell whether the work may change data."""
        return self in (Kind.WRITE, Kind.UNSAFE_WRITE)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Hold why a request was not served, with the field at fault if any."""

    reason: str
    field: str = ""

    def __str__(self) -> str:
        """Return the reason, with the field's name in front when there is one."""
        return f"{self.field}: {self.reason}" if self.field else self.reason
