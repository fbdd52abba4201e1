"""A splitter of received bytes into the lines of the platform's line protocol."""

from beryltiller.platform.wire import LINE_END, MAX_LINE_BYTES, WireError


class LineSplitter:
    """A splitter of a byte stream into lines, which limits their length."""

    def __init__(self) -> None:
        """Create a splitter that is at the beginning of a line."""
        self._rest = bytearray()

    @property
    def incomplete_bytes(self) -> int:
        """Return the size of the incomplete line."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes.

        Raise `WireError` if one of them, or the incomplete line after them, is longer
        than `MAX_LINE_BYTES` with its end; what has arrived is dropped then.
        """
        # What was searched before is not searched again, but for half a line end.
        start = max(0, len(self._rest) - 1)
        self._rest += data
        lines: list[bytes] = []
        if self._rest.find(LINE_END, start) >= 0:
            *lines, rest = bytes(self._rest).split(LINE_END)
            self._rest = bytearray(rest)
        longest = max(map(len, lines), default=0) + len(LINE_END)
        if max(longest, len(self._rest) + 1) > MAX_LINE_BYTES:
            self._rest.clear()
            raise WireError(f"a line is longer than {MAX_LINE_BYTES} bytes")
        return lines
