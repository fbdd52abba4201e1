"""Log events of limits: overload, quotas, memory, and connections of callers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemoryRefused:
    """Callers take all the memory for a purpose; logged at most once a minute."""

    purpose: str
    used_bytes: int
    max_bytes: int
    # How many requests for memory were refused since the last line.
    refusals: int


@dataclass(frozen=True, slots=True)
class CallersLimited:
    """Callers have as many connections as they may; logged at most once a minute."""

    limit: int
    # How many connections were closed or refused since the last line, with this one.
    closed: int


@dataclass(frozen=True, slots=True)
class OverloadBegan:
    """This proxy's queue for a database began to refuse statements."""

    service: str
    database: str


@dataclass(frozen=True, slots=True)
class OverloadEnded:
    """This proxy's queue for a database has refused no statement for 2 s."""

    service: str
    database: str
    # From the first refusal to the last one.
    seconds: float
    # Refused on arrival, as the queue ahead was expected to take too long.
    refused_at_once: int
    # Refused after they had waited for as long as they could.
    timed_out: int


@dataclass(frozen=True, slots=True)
class LongTransactionEnded:
    """A long transaction was rolled back for others; logged once a second at most."""

    service: str
    database: str
    organisation: str
    # For how long it held its connection.
    seconds: float
    statements: int
    # How many were ended since the last line, with this one.
    ended: int


@dataclass(frozen=True, slots=True)
class QuotaLeaseTaken:
    """This proxy took a shard's lease and now allocates its organisations' quotas."""

    shard: int
    # How many processes may hold standing shares of a former allocator.
    unreported: int


@dataclass(frozen=True, slots=True)
class QuotaLeaseLost:
    """This proxy no longer allocates a shard's quotas."""

    shard: int
    reason: str


@dataclass(frozen=True, slots=True)
class QuotaExceeded:
    """This proxy began to reject operations of an organisation over its limit."""

    organisation: str


@dataclass(frozen=True, slots=True)
class QuotaKept:
    """This proxy rejected no operation of the organisation for 5 s."""

    organisation: str
    # How many operations it rejected since it began.
    rejected: int
