"""Log events, each written as one line of JSON by eliot.

Changes of state are logged; statements are only counted. Each event is a data class.
Its message type is `beryltiller:` followed by the class's name in lower case with
underscores, and its fields are the fields of the line.

    {"message_type": "beryltiller:term_changed", "group": "g1", "term": 4, ...}
"""

import re
from collections.abc import Iterator
from dataclasses import asdict, fields
from typing import TextIO, get_args

import eliot

from beryltiller.core.decoding import shorten
from beryltiller.observability import events, limit_events, session_events

MAX_FIELD_CHARACTERS = 4_000

_PREFIX = "beryltiller:"
_WORD_START = re.compile(r"(?<=[a-z])(?=[A-Z])")


Event = (
    events.Started
    | events.Ready
    | events.Draining
    | events.Stopped
    | events.ConfigurationInForce
    | events.ConfigurationRefused
    | events.TermChanged
    | events.PromotionStarted
    | events.PromotionEnded
    | events.MemberUp
    | events.MemberDown
    | events.EndpointLeaving
    | events.StoreReachable
    | events.StoreUnreachable
    | session_events.FeedLost
    | session_events.FeedRegained
    | session_events.StoreRestored
    | session_events.SlowRead
    | session_events.FeederLeaseTaken
    | session_events.ForwardingChanged
    | session_events.RelayMessageRefused
    | session_events.EntryRefused
    | session_events.LeaderChanged
    | session_events.InSyncChanged
    | session_events.ContinuityLost
    | session_events.ClaimRefused
    | session_events.SuccessionStarted
    | session_events.ReplicasFenced
    | session_events.ReplicasUnfenced
    | session_events.PrimarySteppedDown
    | session_events.PromotionDecided
    | session_events.PromotionAsked
    | session_events.AnnouncementFailed
    | session_events.PrimaryChangeOpposed
    | session_events.ReceiptsBeforeChange
    | session_events.CommandFailed
    | session_events.IsolationChanged
    | session_events.ReadRan
    | session_events.SetUpRefused
    | limit_events.OverloadBegan
    | limit_events.OverloadEnded
    | limit_events.LongTransactionEnded
    | limit_events.MemoryRefused
    | limit_events.CallersLimited
    | limit_events.QuotaLeaseTaken
    | limit_events.QuotaLeaseLost
    | limit_events.QuotaExceeded
    | limit_events.QuotaKept
    | events.WorkFailed
)


def log_to(stream: TextIO) -> None:
    """Write all later events to `stream`, as one JSON object per line."""
    eliot.to_file(stream)


def log(event: Event) -> None:
    """Write an event to the streams set by `log_to`.

    Texts of over `MAX_FIELD_CHARACTERS` are shortened, as some are those of others.
    """
    values = {name: _shortened(value) for name, value in asdict(event).items()}
    eliot.log_message(message_type=message_type(type(event)), **values)


def _shortened(value: object) -> object:
    return shorten(value, MAX_FIELD_CHARACTERS) if isinstance(value, str) else value


def message_type(kind: type[Event]) -> str:
    """Return the message type of an event's class.

    >>> message_type(events.StoreUnreachable)
    'beryltiller:store_unreachable'
    """
    return _PREFIX + _WORD_START.sub("_", kind.__name__).lower()


def message_rows() -> Iterator[tuple[str, str, str]]:
    """Yield the message type, fields and meaning of each event, for docs/LOGS.md.

    The meaning is one line, so that it fits into the row of a table.
    """
    for kind in get_args(Event):
        names = ", ".join(item.name for item in fields(kind))
        yield message_type(kind), names, " ".join((kind.__doc__ or "").split())
