"""How a target announces itself to any of the entry hosts."""

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

#: Pause after an announcement that no entry host heard, in seconds.
RETRY_PAUSE_S = 0.1
#: How long an entry host may take to answer, in seconds.
RESPONSE_TIMEOUT_S = 0.5
#: Entry hosts that are told of a leaving target at once.
LEAVING_NOTICE_HOSTS = 3


class DelayedLoad:
    """Reports of the load that are as old as the lag, with their age.

    >>> lagging = LaggingLoad(lag=1.0)
    >>> lagging.sample(Load(running=1), now=0.0)
    >>> lagging.sample(Load(running=2), now=1.0)
    >>> lagging.report(now=1.5)
    Load(running=1, waiting=0, slots=1, cache_used=0.0, age_ms=1500)
    """

    __slots__ = ("_delay_s", "_samples")

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._samples: deque[tuple[float, Load]] = deque()

    def sample(self, load: Load, now: float) -> None:
        """Keep the load as it is now.

        :param load: the load.
        :param now: monotonic seconds.
        """
        self._samples.append((now, load))
        while len(self._samples) > 1 and now - self._samples[1][0] >= self._delay_s:
            self._samples.popleft()

    def report(self, now: float) -> Load:
        """Report the newest load that is at least as old as the lag.

        :param now: monotonic seconds.
        """
        taken, load = self._samples[0]
        return replace(load, age_ms=round((now - taken) * 1_000))


class Announcer:
    """A target's voice towards the entry hosts; it uses one after the other."""

    __slots__ = ("_hosts", "_make_announcement", "_next_host", "_sequence")

    def __init__(
        self, hosts: Sequence[Address], make_announcement: Callable[[int], Announcement]
    ) -> None:
        self._hosts = tuple(hosts)
        self._make_announcement = make_announcement
        self._next_host = 0
        self._sequence = 0

    async def announce_once(self) -> float:
        """Announce to the next entry host that answers.

        :returns: when to announce again, in seconds.
        """
        for _ in self._hosts:
            again = await self._announce_to_next()
            if again is not None:
                return again
        return RETRY_PAUSE_S

    async def announce_leaving(self) -> None:
        """Tell several entry hosts at once that the target is leaving."""
        for _ in range(min(LEAVING_NOTICE_HOSTS, len(self._hosts))):
            await self.announce_once()

    async def run(self) -> None:
        """Announce for ever."""
        while True:
            started = time.monotonic()
            again = await self.announce_once()
            await curio.sleep(max(0.0, started + again - time.monotonic()))

    async def _announce_to_next(self) -> float | None:
        host = self._hosts[self._next_host % len(self._hosts)]
        self._next_host += 1
        self._sequence += 1
        body = encode_json(self._make_announcement(self._sequence))
        path = "/v1/announcements"
        try:
            reply = await fetch(host, "POST", path, body, timeout=RESPONSE_TIMEOUT_S)
            answer: AnnouncementAnswer = decode_json(reply.body, AnnouncementAnswer)
        except (OSError, curio.TaskTimeout, MessageError):
            return None
        return answer.again_ms / 1_000 if reply.status == 200 else None
