"""Server-sent events, cut out of a stream whole."""

from __future__ import annotations

import msgspec

#: Most bytes of one event.
MAX_EVENT_BYTES = 1_048_576


class StreamEvent(msgspec.Struct, frozen=True):
    """One event."""

    #: Its id; empty when it has none.
    event: str
    #: Its bytes, with the empty line that ends it.
    data: bytes


class EventError(ValueError):
    """The bytes are no events."""


class EventSplitter:
    r"""Cuts a stream of bytes into whole events.

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
        """Whether no event has begun that is not whole."""
        return not self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes.

        :param data: the next bytes of the stream.
        :returns: the events that are whole now.
        :raises EventError: when an event grows too long.
        """
        self._rest += data
        events = []
        while (end := _find_end(self._rest)) > 0:
            whole, self._rest = self._rest[:end], self._rest[end:]
            events.append(StreamEvent(_find_id(whole), whole))
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events


def _find_end(data: bytes) -> int:
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
