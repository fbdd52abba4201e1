"""What the models of reported commits share: rules, phases and the invariant."""

from collections.abc import Callable
from enum import Enum, auto
from typing import Any

from minicheck import Protocol

WRITES = 2
LOST = "reported commit lost"


class Rule(Enum):
    """The rules that keep reported commits, each of which a check can leave out.

    A proxy reports a commit once a registered replica has shown its RECEIPT. A change
    is ANNOUNCED before the promotion, and the announcement is OUTLASTING: proxies apply
    it for as long as the promotion may take effect. After the announcement, the
    promoter uses ENTRIES_AS_OF_CONFIRMATION, no older ones. A proxy that knows an entry
    knows the announcements that were written before: it follows them IN_ORDER. A change
    is announced AFTER_EARLIER promotions can no longer take effect, as proxies apply
    the newest announcement only. What a replica shows counts of the SAME_PROCESS that
    ran when the proxy last knew all announcements.

    The row NAMES_NEWEST_TERM that a promotion may have begun; databases that do not
    answer are left out only if no later term than the known one is named. EVERY_CHANGE
    is written to the row, also that of a primary that has stepped down, and the term of
    one that was WITHDRAWN_COUNTS too. A proxy that knows a LATER_TERM_OBJECTS.

    A promoter that finds foreign fences waits until commands to lift them CANNOT_ACT.
    It does so ALSO_WITHOUT_FENCES: they may have been lifted already, by the first of
    two commands or by a restart.
    """

    RECEIPT = auto()
    ANNOUNCED = auto()
    OUTLASTING = auto()
    ENTRIES_AS_OF_CONFIRMATION = auto()
    IN_ORDER = auto()
    AFTER_EARLIER = auto()
    SAME_PROCESS = auto()
    NAMES_NEWEST_TERM = auto()
    EVERY_CHANGE = auto()
    WITHDRAWN_COUNTS = auto()
    LATER_TERM_OBJECTS = auto()
    CANNOT_ACT = auto()
    ALSO_WITHOUT_FENCES = auto()


class Phase(Enum):
    """How far a promoter has come."""

    IDLE = auto()
    FENCING = auto()
    COMPARED = auto()
    ANNOUNCED = auto()
    ENTRIES_READ = auto()
    REQUESTED = auto()
    DONE = auto()


def safety_protocol(
    name: str, initial: Any, transitions: Callable[[Any], list[tuple[str, Any]]]
) -> Protocol:
    """Return a model whose states have a field `is_lost`.

    It is explored only until a commit is lost. Breadth-first search reaches that by a
    shortest path.
    """
    lost: list[Any] = []

    def next_states(world: Any) -> list[tuple[str, Any]]:
        if lost:
            return []
        steps = transitions(world)
        lost.extend(following for _, following in steps if following.is_lost)
        return steps

    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=next_states,
        invariants={LOST: lambda fields: not fields["is_lost"]},
    )
