"""Sends the announcements of a target to the entry hosts."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Sequence

import curio
from msgspec.structs import replace

from bramleyspread_core import (
    Address,
    Announcement,
    AnnouncementAnswer,
    Load,
    MessageError,
    decode_json,
    encode_json,
)
from bramleyspread_standins._client import fetch

#: Pause after an announcement that no entry host accepted, in seconds.
RETRY_PAUSE_S = 0.1
#: Time limit for an entry host's response, in seconds.
RESPONSE_TIMEOUT_S = 0.5
#: Number of entry hosts that a leaving target notifies immediately.
LEAVING_NOTICE_HOSTS = 3


class DelayedLoad:
    """Keeps samples of the load and reports them with a fixed delay.

    >>> delayed = DelayedLoad(delay_s=1.0)
    >>> delayed.add_sample(Load(running=1), now=0.0)
    >>> delayed.add_sample(Load(running=2), now=1.0)
    >>> delayed.report(now=1.5)
    Load(running=1, waiting=0, slots=1, cache_used=0.0, age_ms=1500)
    """

    __slots__ = ("_delay_s", "_samples")

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._samples: deque[tuple[float, Load]] = deque()

    def add_sample(self, load: Load, now: float) -> None:
        """Add a sample of the load.

        :param load: the current load.
        :param now: monotonic seconds.
        """
        self._samples.append((now, load))
        while len(self._samples) > 1 and now - self._samples[1][0] >= self._delay_s:
            self._samples.popleft()

    def report(self, now: float) -> Load:
        """Return the newest sample at least as old as the delay, else the oldest one.

        :param now: monotonic seconds.
        :returns: the load, with the age of the sample.
        """
        sampled_at, load = self._samples[0]
        return replace(load, age_ms=round((now - sampled_at) * 1_000))


class Announcer:
    """Sends a target's announcements to the entry hosts in rotation."""

    __slots__ = ("_hosts", "_make_announcement", "_next_host_index", "_sequence")

    def __init__(
        self, hosts: Sequence[Address], make_announcement: Callable[[int], Announcement]
    ) -> None:
        self._hosts = tuple(hosts)
        self._make_announcement = make_announcement
        self._next_host_index = 0
        self._sequence = 0

    async def announce_once(self) -> float:
        """Try the entry hosts in rotation until one accepts an announcement.

        :returns: the time until the next announcement, in seconds;
            ``RETRY_PAUSE_S`` if no entry host accepted one.
        """
        for _ in self._hosts:
            interval_s = await self._announce_to_next()
            if interval_s is not None:
                return interval_s
        return RETRY_PAUSE_S

    async def announce_leaving(self) -> None:
        """Notify several entry hosts immediately that the target is leaving."""
        for _ in range(min(LEAVING_NOTICE_HOSTS, len(self._hosts))):
            await self.announce_once()

    async def run(self) -> None:
        """Announce periodically until cancelled."""
        while True:
            started_at = time.monotonic()
            interval_s = await self.announce_once()
            await curio.sleep(max(0.0, started_at + interval_s - time.monotonic()))

    async def _announce_to_next(self) -> float | None:
        host = self._hosts[self._next_host_index % len(self._hosts)]
        self._next_host_index += 1
        self._sequence += 1
        body = encode_json(self._make_announcement(self._sequence))
        path = "/v1/announcements"
        try:
            reply = await fetch(host, "POST", path, body, timeout=RESPONSE_TIMEOUT_S)
            answer: AnnouncementAnswer = decode_json(reply.body, AnnouncementAnswer)
        except (OSError, curio.TaskTimeout, MessageError):
            return None
        return answer.next_announcement_ms / 1_000 if reply.status == 200 else None
