"""Messages between proxies and the allocators of quotas; see `messages`."""

from typing import Annotated

import msgspec

from beryltiller.core.decoding import Count
from beryltiller.membership.message_parts import BaseMessage, BasePart, Text

MAX_QUOTA_ENTRIES = 4_096

_MaxQuotaEntries = msgspec.Meta(max_length=MAX_QUOTA_ENTRIES)
_Millionths = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class QuotaNeed(BasePart, frozen=True, array_like=True):
    """The tokens an organisation needs at a proxy, and its demand there.

    Demand is in operations in 1,000 seconds.
    """

    organisation: Text
    count: Count
    demand: Count = 0


class QuotaShare(BasePart, frozen=True, array_like=True):
    """The part of an organisation's rate that a proxy may use on its own."""

    organisation: Text
    millionths: _Millionths


class QuotaGrant(BasePart, frozen=True, array_like=True):
    """Tokens for an organisation; below the need, when to ask for more."""

    organisation: Text
    count: Count
    retry_ms: Count = 0


class QuotaRequest(BaseMessage, frozen=True, array_like=True):
    """A request for tokens of one shard's organisations, in one message.

    `name` and `start` identify the process; `sequence` rises with each request of it.
    `acknowledged` is the number of the last reply of `term` that it applied. With
    `is_report`, `shares` has all its shares of the shard.
    """

    shard: Count
    name: Text
    start: Count
    sequence: Count
    term: Count = 0
    acknowledged: Count = 0
    is_report: bool = False
    needs: Annotated[tuple[QuotaNeed, ...], _MaxQuotaEntries] = ()
    shares: Annotated[tuple[QuotaShare, ...], _MaxQuotaEntries] = ()


class QuotaReply(BaseMessage, frozen=True, array_like=True):
    """The allocator's reply, with tokens and changed shares.

    The receiver does not use its shares for `suspension_ms` after the receipt, and
    sends its next request within `interval_ms`. With `is_report_wanted` it must first
    report all its shares.
    """

    term: Count
    number: Count
    is_report_wanted: bool = False
    interval_ms: Count = 0
    suspension_ms: Count = 0
    grants: Annotated[tuple[QuotaGrant, ...], _MaxQuotaEntries] = ()
    shares: Annotated[tuple[QuotaShare, ...], _MaxQuotaEntries] = ()


class QuotaRedirect(BaseMessage, frozen=True, array_like=True):
    """The answer of a proxy that is not the allocator: its address, if known."""

    address: Text = ""
