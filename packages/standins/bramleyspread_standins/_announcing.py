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
RETRY_PAUSE = 0.1
#: How long an entry host may take to answer, in seconds.
ANSWER_TIMEOUT = 0.5
#: Entry hosts that are told of a leaving target at once.
LEAVING_HOSTS = 3


class LaggingLoad:
    """Reports of the load that are as old as the lag, with their age.

    >>> lagging = LaggingLoad(lag=1.0)
    >>> lagging.sample(Load(running=1), now=0.0)
    >>> lagging.sample(Load(running=2), now=1.0)
    >>> lagging.report(now=1.5)
    Load(running=1, waiting=0, slots=1, cache_used=0.0, age_ms=1500)
    """

    __slots__ = ("_lag", "_samples")

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._samples: deque[tuple[float, Load]] = deque()

    def sample(self, load: Load, now: float) -> None:
        """Keep the load as it is now.

        :param load: the load.
        :param now: monotonic seconds.
        """
        self._samples.append((now, load))
        while len(self._samples) > 1 and now - self._samples[1][0] >= self._lag:
            self._samples.popleft()

    def report(self, now: float) -> Load:
        """Report the newest load that is at least as old as the lag.

        :param now: monotonic seconds.
        """
        taken, load = self._samples[0]
        return replace(load, age_ms=round((now - taken) * 1_000))


class Announcer:
    """A target's voice towards the entry hosts; it uses one after the other."""

    __slots__ = ("_describe", "_hosts", "_next", "_sequence")

    def __init__(
        self, hosts: Sequence[Address], describe: Callable[[int], Announcement]
    ) -> None:
        self._hosts = tuple(hosts)
        self._describe = describe
        self._next = 0
        self._sequence = 0

    async def announce_once(self) -> float:
        """Announce to the next entry host that answers.

        :returns: when to announce again, in seconds.
        """
        for _ in self._hosts:
            again = await self._tell_next()
            if again is not None:
                return again
        return RETRY_PAUSE

    async def announce_leaving(self) -> None:
        """Tell several entry hosts at once that the target is leaving."""
        for _ in range(min(LEAVING_HOSTS, len(self._hosts))):
            await self.announce_once()

    async def run(self) -> None:
        """Announce for ever."""
        while True:
            started = time.monotonic()
            again = await self.announce_once()
            await curio.sleep(max(0.0, started + again - time.monotonic()))

    async def _tell_next(self) -> float | None:
        host = self._hosts[self._next % len(self._hosts)]
        self._next += 1
        self._sequence += 1
        body = encode_json(self._describe(self._sequence))
        path = "/v1/announcements"
        try:
            reply = await fetch(host, "POST", path, body, timeout=ANSWER_TIMEOUT)
            answer: AnnouncementAnswer = decode_json(reply.body, AnnouncementAnswer)
        except (OSError, curio.TaskTimeout, MessageError):
            return None
        return answer.again_ms / 1_000 if reply.status == 200 else None
