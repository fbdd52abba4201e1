"""The rules, bounds and states of the specification of the in-sync set."""

from dataclasses import dataclass
from enum import IntEnum, auto
from typing import Any, NamedTuple

NONE = -1
PRIMARY, REPLICA, OTHER_REPLICA = DATABASES = range(3)
REPLICAS = (REPLICA, OTHER_REPLICA)


class Rule(IntEnum):
    """The rules of the in-sync set, each of which a check can leave out.

    The set is KEPT_IN_STORE: a promoter that started after entries had lapsed knows it.
    It is in the SAME_ROW as the announcement: who knows that a process has joined knows
    the changes that were announced before.

    A receipt is a RECEIPT_OF_MEMBER, and what acknowledges is a member too: the
    SOURCE_IS_MEMBER. A LEAVING_MEMBER_SHOWS_NOTHING. A process shows something only on
    a CONNECTION_BEFORE_ROW, opened before the row was last known.

    A promoter accounts for ALL_BUT_ONE of the set; a leaving process is STILL_REQUIRED.
    What answers is of the SAME_INCARNATION as the member that it stands for. If the
    former primary has stepped down, the FORMER_LOG_IS_REACHED. A promotion is confirmed
    UNDER_ROW_VERSION, the one that the promoter announced.

    A process is MARKED_BEFORE_REMOVED. After that its END_SHOWN is known, and then the
    primary's log end is asked: ASKED_AFTER_END. That much is in the logs of two others:
    TWO_COPIES_LEFT. A process that another one succeeds is REPLACED_BY_MEMBER.

    A promoter need not hear of a process if its end was shown, and the longest log
    reaches what the primary told after that. If nothing listened any more, this counts
    for what was COVERED_ONCE_MARKED. If another process had started under its
    identifier, it is COVERED_BESIDE_SUCCESSOR only, that is if that one answers.
    """

    KEPT_IN_STORE = auto()
    SAME_ROW = auto()
    RECEIPT_OF_MEMBER = auto()
    SOURCE_IS_MEMBER = auto()
    LEAVING_MEMBER_SHOWS_NOTHING = auto()
    CONNECTION_BEFORE_ROW = auto()
    ALL_BUT_ONE = auto()
    STILL_REQUIRED = auto()
    SAME_INCARNATION = auto()
    FORMER_LOG_IS_REACHED = auto()
    UNDER_ROW_VERSION = auto()
    MARKED_BEFORE_REMOVED = auto()
    END_SHOWN = auto()
    ASKED_AFTER_END = auto()
    TWO_COPIES_LEFT = auto()
    REPLACED_BY_MEMBER = auto()
    COVERED_ONCE_MARKED = auto()
    COVERED_BESIDE_SUCCESSOR = auto()


@dataclass(frozen=True, slots=True)
class InSyncBounds:
    """The limits of the model.

    `mobile` is the database whose process may end, leave and start again. With
    `is_joining` its first process is not in the set at first.
    """

    mobile: int = OTHER_REPLICA
    writes: int = 1
    is_joining: bool = False


class Membership(IntEnum):
    """Whether a process is in the set."""

    ABSENT = auto()
    MEMBER = auto()
    LEAVING = auto()


class End(IntEnum):
    """What has shown the keeper that the mobile database's first process is over."""

    UNKNOWN = auto()
    NOTHING_LISTENS = auto()
    REGISTERED_ANEW = auto()


class Phase(IntEnum):
    """How far the promoter has come."""

    IDLE = auto()
    ANNOUNCED = auto()
    PROMOTED = auto()


class Row(NamedTuple):
    """The row in the store.

    `former` and `successor` are the two processes of the mobile database; those of the
    others are always in the set. `end` is where the log ends that an announced change
    promotes, or -1.
    """

    former: Membership = Membership.MEMBER
    successor: Membership = Membership.ABSENT
    end: int = NONE


class Known(NamedTuple):
    """What the reporter knows of the row.

    With `is_member` a process of the mobile database counts. No commit beyond `end` is
    reported, unless that is -1.
    """

    is_member: bool = False
    end: int = NONE


class Evidence(NamedTuple):
    """What the keeper knows of the end of the mobile database's first process.

    `was_marked` tells that it was leaving before. `log_end` is the primary's log end,
    asked after that, or -1.
    """

    end: End = End.UNKNOWN
    was_marked: bool = False
    log_end: int = NONE


class InSyncWorld(NamedTuple):
    """A state of the model.

    Logs are represented by their lengths, as all are copies of the primary's. `is_up`
    and `is_restarted` are of the mobile database, `fenced` is of the replicas. With
    `leads` the primary, if it is up, acknowledges commits. `known`, `is_connected` and
    `acknowledged` are of the reporter, of no interest once all writes are reported; its
    connection leads to the mobile database. `required` is the row as the promoter
    announced its change, and `log_end` the end of the log that it promotes.
    `stepped_down` is where the primary's log ended when it stepped down for this
    promoter, or -1.
    """

    logs: tuple[int, ...] = (0, 0, 0)
    fenced: tuple[bool, ...] = (False, False, False)
    leads: bool = True
    is_up: bool = True
    is_restarted: bool = False
    row: Row = Row()
    known: Known = Known()
    is_connected: bool = False
    acknowledged: int = 0
    reported: int = 0
    evidence: Evidence = Evidence()
    phase: Phase = Phase.IDLE
    required: Row = Row()
    log_end: int = NONE
    stepped_down: int = NONE
    is_lost: bool = False


def replaced(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    """Return the values with the one at an index replaced."""
    return (*values[:index], value, *values[index + 1 :])


def with_log(world: InSyncWorld, database: int, length: int) -> InSyncWorld:
    """Return the world with a log of another length."""
    return world._replace(logs=replaced(world.logs, database, length))


def without_reporter(world: InSyncWorld) -> InSyncWorld:
    """Return the world with a reporter that knows nothing."""
    return world._replace(known=Known(), is_connected=False, acknowledged=0)


def idle(world: InSyncWorld) -> InSyncWorld:
    """Return the world after the promoter stopped; its announcement stays."""
    return world._replace(phase=Phase.IDLE, required=Row(), log_end=NONE)
