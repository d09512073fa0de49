"""Server-sent events: reading those of targets, writing those to callers."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bramleyspread_core import MessageError

#: Most bytes of one event.
MAX_EVENT_BYTES = 16_777_216


class StreamEvent(msgspec.Struct, frozen=True):
    """One server-sent event."""

    #: Its ``event`` field; empty when it had none.
    kind: str
    #: Its ``data`` lines, joined.
    data: bytes


class EventReader:
    r"""Cuts a stream's bytes into events, wherever the pieces end.

    >>> reader = EventReader()
    >>> list(reader.feed(b"data: {}\n\nevent: e"))
    [StreamEvent(kind='', data=b'{}')]
    >>> list(reader.feed(b"nd\ndata: 1\n\n"))
    [StreamEvent(kind='end', data=b'1')]
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Take a piece of the stream.

        :param piece: bytes.
        :returns: the events that it completes.
        :raises MessageError: when an event is too long.
        """
        text = self._rest + piece if self._rest else piece
        *whole, self._rest = text.split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise MessageError(f"an event over {MAX_EVENT_BYTES} bytes")
        for block in whole:
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


def write_event(data: bytes, kind: str = "") -> bytes:
    r"""Write one event.

    :param data: JSON on one line.
    :param kind: its ``event`` field; empty for none.
    :returns: the event.

    >>> write_event(b"{}", "end")
    b'event: end\ndata: {}\n\n'
    """
    if kind:
        return b"event: " + kind.encode("ascii") + b"\ndata: " + data + b"\n\n"
    return b"data: " + data + b"\n\n"
