"""The messages of one caller that were received and are not answered yet."""

from collections import deque
from collections.abc import Iterator

from beryltiller.platform import wire

# A caller with more unanswered messages, or with more bytes in them, must wait.
MAX_PIPELINED_MESSAGES = 64
MAX_PIPELINED_BYTES = 64 * 1024
# The memory of a decoded message, in multiples of its line: the text, and the line that
# is sent to the database. One character beyond the Basic Multilingual Plane makes each
# character of a text take four bytes.
ASCII_FACTOR = 2
WIDE_FACTOR = 5


def message_bytes(line: bytes) -> int:
    """Return the memory that a message takes until it is answered.

    >>> message_bytes(b"QUERY"), message_bytes("\u00e9".encode())
    (10, 10)
    """
    return len(line) * (ASCII_FACTOR if line.isascii() else WIDE_FACTOR)


class MessageQueue:
    """A queue of messages, each with the time at which it arrived.

    >>> queue = MessageQueue()
    >>> queue.add(wire.Terminate(), 5.0, size=9)
    >>> queue.is_full, queue.size, queue.take(), queue.size
    (False, 9, (Terminate(), 5.0), 0)
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._messages: deque[tuple[wire.Message, float, int]] = deque()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of messages."""
        return len(self._messages)

    def __iter__(self) -> Iterator[wire.Message]:
        """Return the messages in the order of their arrival."""
        return (message for message, _, _ in self._messages)

    @property
    def size(self) -> int:
        """Return the size of the messages in bytes."""
        return self._size

    @property
    def is_full(self) -> bool:
        """Return True if no more should be read from the caller."""
        has_many = len(self._messages) > MAX_PIPELINED_MESSAGES
        return has_many or self._size > ASCII_FACTOR * MAX_PIPELINED_BYTES

    def add(self, message: wire.Message, arrived: float, size: int) -> None:
        """Add a message of `size` bytes that arrived at a time."""
        self._messages.append((message, arrived, size))
        self._size += size

    def take(self) -> tuple[wire.Message, float]:
        """Remove the first message; return it and the time at which it arrived."""
        message, arrived, size = self._messages.popleft()
        self._size -= size
        return message, arrived

    def clear(self) -> None:
        """Remove all messages."""
        self._messages.clear()
        self._size = 0
