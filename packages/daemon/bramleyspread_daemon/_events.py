"""Server-sent events: parsing those from targets, encoding those to callers."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bramleyspread_core import MessageError

#: Maximum size of an event that is not yet complete.
MAX_EVENT_BYTES = 16_777_216


class StreamEvent(msgspec.Struct, frozen=True):
    """One server-sent event."""

    #: The ``event`` field; empty when absent.
    kind: str
    #: The ``data`` lines, joined by newlines.
    data: bytes


class EventParser:
    r"""An incremental parser that splits a byte stream into events.

    >>> parser = EventParser()
    >>> list(parser.feed(b"data: {}\n\nevent: e"))
    [StreamEvent(kind='', data=b'{}')]
    >>> list(parser.feed(b"nd\ndata: 1\n\n"))
    [StreamEvent(kind='end', data=b'1')]
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Parse a chunk of the stream.

        :param chunk: the bytes; they may end anywhere.
        :returns: the events that the chunk completes.
        :raises MessageError: when an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        data = self._buffer + chunk if self._buffer else chunk
        *complete, self._buffer = data.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise MessageError(f"an event over {MAX_EVENT_BYTES} bytes")
        for block in complete:
            yield _parse_event(block)


def _parse_event(block: bytes) -> StreamEvent:
    if block.startswith(b"data: ") and b"\n" not in block:
        return StreamEvent("", block[6:])
    kind = ""
    data: list[bytes] = []
    for line in block.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"event":
            kind = value.decode("utf-8", "replace")
        elif name == b"data":
            data.append(value)
    return StreamEvent(kind, b"\n".join(data))


def encode_event(data: bytes, kind: str = "") -> bytes:
    r"""Encode one event.

    :param data: JSON on one line.
    :param kind: the ``event`` field; empty for none.
    :returns: the encoded event.

    >>> encode_event(b"{}", "end")
    b'event: end\ndata: {}\n\n'
    """
    if kind:
        return b"event: " + kind.encode("ascii") + b"\ndata: " + data + b"\n\n"
    return b"data: " + data + b"\n\n"
