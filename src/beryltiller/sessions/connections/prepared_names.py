"""The names under which statements are prepared on one connection to a database.

Sessions that use a connection one after the other share what is prepared on it. The
names are numbered, so that they hold no text of a caller. What is kept is limited, as
one session could otherwise fill the database and the proxy with its shapes.
"""

import itertools
from collections import OrderedDict
from dataclasses import dataclass

from beryltiller.sessions.statements import Prepare

MAX_NAMES = 256
# The shapes of one connection; a single longer shape is kept on its own.
MAX_SHAPE_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class NameUse:
    """The name of a statement, and what must be done before it can be executed.

    If `is_new`, the statement must be prepared under the name. `removed` are names to
    be deallocated.
    """

    name: str
    is_new: bool = False
    removed: tuple[str, ...] = ()


class PreparedNames:
    """The prepared statements of a connection, the least recently used first.

    A name is never given to a second statement: if the database has not prepared the
    first one, an execution finds no statement instead of another one.

    >>> names = PreparedNames(max_names=1)
    >>> names.use(Prepare("mine", False, "a b"))
    NameUse(name='p1', is_new=True, removed=())
    >>> names.use(Prepare("yours", True, "a b"))
    NameUse(name='p2', is_new=True, removed=('p1',))
    """

    def __init__(
        self, max_names: int = MAX_NAMES, max_shape_bytes: int = MAX_SHAPE_BYTES
    ) -> None:
        """Create the state of a new connection, on which nothing is prepared."""
        self._max_names = max_names
        self._max_shape_bytes = max_shape_bytes
        self._names: OrderedDict[tuple[bool, str], str] = OrderedDict()
        self._shape_bytes = 0
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return how many statements are prepared."""
        return len(self._names)

    @property
    def shape_bytes(self) -> int:
        """Return the size of the prepared shapes in bytes."""
        return self._shape_bytes

    @property
    def has_long_shape(self) -> bool:
        """Return True if a single shape takes more than all may take together."""
        return self._shape_bytes > self._max_shape_bytes

    def use(self, prepare: Prepare) -> NameUse:
        """Return the name of a statement that is executed next."""
        key = (prepare.is_write, prepare.shape)
        known = self._names.get(key)
        if known is not None:
            self._names.move_to_end(key)
            return NameUse(known)
        size = _size(prepare.shape)
        removed = self._make_room(size)
        name = f"p{next(self._numbers)}"
        self._names[key] = name
        self._shape_bytes += size
        return NameUse(name, True, removed)

    def clear(self) -> None:
        """Forget all statements, as the connection is reset."""
        self._names.clear()
        self._shape_bytes = 0

    def _make_room(self, size: int) -> tuple[str, ...]:
        removed = []
        while self._names and not self._has_room(size):
            (_, shape), name = self._names.popitem(last=False)
            self._shape_bytes -= _size(shape)
            removed.append(name)
        return tuple(removed)

    def _has_room(self, size: int) -> bool:
        is_small_enough = self._shape_bytes + size <= self._max_shape_bytes
        return len(self._names) < self._max_names and is_small_enough


def _size(shape: str) -> int:
    return len(shape.encode())
