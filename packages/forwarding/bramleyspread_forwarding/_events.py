"""Splits a stream of bytes into server-sent events."""

from __future__ import annotations

import msgspec

#: Maximum size of one event, in bytes.
MAX_EVENT_BYTES = 1_048_576


class StreamEvent(msgspec.Struct, frozen=True):
    """A server-sent event."""

    #: Id of the event; empty when it has none.
    event: str
    #: Bytes of the event, including the empty line that ends it.
    data: bytes


class EventError(ValueError):
    """Reports a stream that can't be split into events."""


class EventSplitter:
    r"""Splits a stream of bytes into complete events.

    >>> splitter = EventSplitter()
    >>> [each.event for each in splitter.feed(b"id: 1\ndata: a\n\nid: 2")]
    ['1']
    >>> splitter.is_between
    False
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_between(self) -> bool:
        """Whether the bytes so far end with a complete event."""
        return not self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        :param data: the next bytes of the stream.
        :returns: the events that are complete now.
        :raises EventError: when an event exceeds the maximum size.
        """
        self._rest += data
        events = []
        while (end := _find_end(self._rest)) > 0:
            complete, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(_find_id(complete), complete))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events


def _find_end(data: bytes) -> int:
    """Find the end of the first complete event; 0 when there is none."""
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _find_id(event: bytes) -> str:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return ""
