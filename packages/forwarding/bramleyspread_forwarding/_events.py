"""Splits a stream of bytes into server-sent events."""

from __future__ import annotations

import re
import sys

import msgspec

#: Maximum number of bytes that are buffered for an incomplete event.
MAX_EVENT_BYTES = 1_048_576
#: Maximum number of digits of an id that is read as a number.
MAX_ID_DIGITS = 18
#: Byte sequences that end an event.
_SEPARATOR = re.compile(rb"\n\n|\r\n\r\n")
#: Line ends before an event, which belong to it.
_LINE_ENDS = re.compile(rb"[\r\n]*")
#: Size of the longest of them.
MAX_SEPARATOR_BYTES = 4
#: The first line of an event that gives its id.
_ID_LINE = re.compile(rb"^id(?::(.*))?$", re.MULTILINE)


class StreamEvent(msgspec.Struct, frozen=True):
    """A server-sent event."""

    #: Id of the event; empty when it has none.
    event_id: str
    #: Bytes of the event, with line ends before it and the empty line that ends it.
    data: bytes


class EventError(ValueError):
    """Reports a stream that can't be split into events."""


def follows(event_id: str, last_id: str) -> bool:
    """Whether an event may come after another one of its stream.

    Ids of events increase; one that isn't a number says nothing.

    >>> follows("10", "9"), follows("9", "9"), follows("", "9")
    (True, False, True)
    """
    are_numbers = event_id.isdecimal() and last_id.isdecimal()
    if not are_numbers or max(len(event_id), len(last_id)) > MAX_ID_DIGITS:
        return True
    return int(event_id) > int(last_id)


class EventSplitter:
    r"""Splits a stream of bytes into complete events.

    >>> splitter = EventSplitter()
    >>> [each.event_id for each in splitter.feed(b"id: 1\ndata: a\n\nid: 2")]
    ['1']
    >>> splitter.is_between_events
    False
    """

    __slots__ = ("_buffer", "_line_end_bytes", "_searched_bytes")

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Line ends at the start of the buffer.
        self._line_end_bytes = 0
        # Bytes in which no end was found, which are not searched again.
        self._searched_bytes = 0

    @property
    def is_between_events(self) -> bool:
        """Whether no event has begun since the last complete one."""
        return self._line_end_bytes == len(self._buffer)

    @property
    def size(self) -> int:
        """Number of bytes since the last complete event."""
        return len(self._buffer)

    @property
    def rest(self) -> bytes:
        """The bytes since the last complete event."""
        return bytes(self._buffer)

    def clear(self) -> None:
        """Drop the bytes since the last complete event."""
        self._buffer = bytearray()
        self._line_end_bytes = self._searched_bytes = 0

    def feed(self, data: bytes, max_events: int = sys.maxsize) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        :param data: the next bytes of the stream; may be empty, to get further events.
        :param max_events: maximum number of events to return.
        :returns: the next events that are complete; if they are as many as that, there
            may be more.
        :raises EventError: when an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        while len(events) < max_events and (end := self._find_end()) is not None:
            complete = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._line_end_bytes = self._searched_bytes = 0
            events.append(StreamEvent(_find_id(complete), complete))
        return events

    def _find_end(self) -> int | None:
        """Find the end of the first event.

        :raises EventError: if it exceeds ``MAX_EVENT_BYTES`` and has no end so far.
        """
        line_ends = _LINE_ENDS.match(self._buffer, self._line_end_bytes)
        assert line_ends is not None, "any bytes match"
        self._line_end_bytes = line_ends.end()
        searched_bytes = max(self._searched_bytes, self._line_end_bytes)
        found = _SEPARATOR.search(self._buffer, searched_bytes)
        if found is not None:
            return found.end()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventError(f"an event of over {MAX_EVENT_BYTES} bytes")
        self._searched_bytes = max(len(self._buffer) - MAX_SEPARATOR_BYTES + 1, 0)
        return None


def _find_id(event: bytes) -> str:
    found = _ID_LINE.search(event.replace(b"\r", b"\n"))
    return (found[1] or b"").strip().decode("latin-1") if found is not None else ""
