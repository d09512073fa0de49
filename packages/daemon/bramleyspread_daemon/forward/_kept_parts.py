"""What readers keep of answers until it is passed on."""

from __future__ import annotations

from typing import Protocol

from bramleyspread_daemon._exchange import Reply
from bramleyspread_forwarding import EventSplitter


class KeptParts(Protocol):
    """What the reader of an answer keeps of it."""

    @property
    def size(self) -> int:
        """Number of bytes that are kept now."""

    def drop(self) -> None:
        """Let go of all that can be; the reader is told that the answer broke off."""


class KeptBody:
    """A body that is read as a whole.

    >>> body = KeptBody()
    >>> body.add(b"ab"), body.add(b"c"), body.size
    (None, None, 3)
    >>> body.join()
    b'abc'
    """

    __slots__ = ("_chunks", "size")

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        #: Number of bytes that are kept now.
        self.size = 0

    def add(self, chunk: bytes) -> None:
        """Add the next bytes."""
        self._chunks.append(chunk)
        self.size += len(chunk)

    def join(self) -> bytes:
        """Return the body; it counts as kept until it is passed on."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def drop(self) -> None:
        """Let go of the chunks."""
        self._chunks.clear()
        self.size = 0


class KeptEvents:
    """An unfinished event, and the events that wait for a slow caller.

    :param splitter: holds the unfinished event.
    :param reply: holds what waits for the caller.
    """

    __slots__ = ("_reply", "_splitter")

    def __init__(self, splitter: EventSplitter, reply: Reply) -> None:
        self._splitter = splitter
        self._reply = reply

    @property
    def size(self) -> int:
        """Number of bytes that are kept now."""
        return self._splitter.size + self._reply.unsent_bytes

    def drop(self) -> None:
        """Let go of the unfinished event."""
        self._splitter.clear()
