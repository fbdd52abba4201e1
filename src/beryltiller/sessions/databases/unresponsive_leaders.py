"""Which leaders fail, or leave statements unanswered, and are to be probed.

The functions are pure.
"""

from collections.abc import Sequence

from beryltiller.sessions.databases.member import Member

# A leader that answers no statement for this long is unresponsive, and is probed.
SILENCE_SECONDS = 0.25


def unresponsive(leaders: Sequence[Member], now: float) -> tuple[Member, ...]:
    """Return the leaders that fail or leave statements unanswered."""
    return tuple(each for each in leaders if _is_unresponsive(each, now))


def to_probe(leaders: Sequence[Member], now: float) -> tuple[Member, ...]:
    """Return unresponsive leaders, and others that may have failed with them.

    The others are leaders in the same availability zone for which no recent probe
    shows whether they work.
    """
    found = unresponsive(leaders, now)
    zones = {each.database.availability_zone for each in found}
    return tuple(
        each
        for each in leaders
        if each in found
        or (
            each.database.availability_zone in zones
            and not each.was_probed_recently(now)
        )
    )


def _is_unresponsive(leader: Member, now: float) -> bool:
    if leader.failing_since is not None:
        return True
    silent_since = leader.unanswered_since
    return silent_since is not None and now > silent_since + SILENCE_SECONDS
