"""How many bytes a process keeps of requests and replies, and who gives up for room."""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from bramleyspread_daemon._clock import read_monotonic

#: Interval between two lines about a lack of room, in seconds.
LOG_INTERVAL_S = 10.0
#: Share of the largest holder's bytes from which one that grows gives up itself.
LARGE_SHARE = 0.5


class Holder(Protocol):
    """A connection that keeps bytes."""

    @property
    def is_host(self) -> bool:
        """Whether its peer is another host of the deployment."""

    @property
    def freeable_bytes(self) -> int:
        """Number of bytes that giving up frees at once; 0 if it can't give up."""

    def give_up(self) -> None:
        """Keep nothing any more, and close the connection."""


class KeptBytes:
    """Bytes that the servers of a process keep, with one limit for all connections.

    Beyond the limit the connection that grows gives up, or the largest one if that is
    much larger; those of other hosts last. So many that each hold a little don't take
    the room of a small request, nor does a large one.

    :param limit: maximum number of bytes.
    """

    __slots__ = ("_logged_at", "_sizes", "given_up", "limit", "size")

    def __init__(self, limit: int) -> None:
        self._sizes: dict[Holder, int] = {}
        self._logged_at = -LOG_INTERVAL_S
        #: Maximum number of bytes.
        self.limit = limit
        #: Number of bytes that are kept now.
        self.size = 0
        #: Number of connections that gave up.
        self.given_up = 0

    def resize(self, holder: Holder, size: int) -> None:
        """Record how much a connection keeps; some may give up, also this one.

        :param holder: the connection.
        :param size: the number of bytes.
        """
        self.size += size - self._sizes.get(holder, 0)
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)
        while self.size > self.limit:
            chosen = self._choose(holder)
            if chosen is None:
                return
            self._log(self._sizes[chosen])
            self.size -= self._sizes.pop(chosen)
            self.given_up += 1
            chosen.give_up()

    def _choose(self, grown: Holder) -> Holder | None:
        """Choose who gives up; None if nobody can."""
        candidates = [each for each in self._sizes if each.freeable_bytes]
        others = [each for each in candidates if not each.is_host]
        candidates = others or candidates
        if not candidates:
            return None
        largest = max(candidates, key=lambda each: each.freeable_bytes)
        enough = largest.freeable_bytes * LARGE_SHARE
        if grown in candidates and grown.freeable_bytes >= enough:
            return grown
        return largest

    def _log(self, size: int) -> None:
        """Log that a connection gives up, at intervals."""
        now = read_monotonic()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.bind(
            step="room",
            peer="-",
            bytes=size,
            held_bytes=self.size,
            connections=len(self._sizes),
        ).warning(f"given up: over {self.limit} bytes of requests and replies are kept")
