"""A prefix cache of limited size that tells of its changes late and with gaps."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from bramleyspread_core import Brand, CacheEvent


@dataclass(frozen=True, slots=True)
class CacheEventSettings:
    """How well a cache tells of its changes."""

    #: Age at which an event is told, in seconds.
    delay_s: float = 0.5
    #: Share of the events that are lost, from 0 to 1.
    loss_share: float = 0.1


def owns_prefix(brand: Brand, prefix: str) -> bool:
    """Whether a prefix belongs to a brand.

    :param brand: the brand.
    :param prefix: the prefix key.

    >>> owns_prefix(Brand("inti", "express"), "inti/express/rules")
    True
    >>> owns_prefix(Brand("inti", "express"), "inti/express-2/rules")
    False
    """
    rest = prefix.removeprefix(brand.key)
    if len(rest) == len(prefix):
        return False
    return not rest or not (rest[0].isalnum() or rest[0] in "-_")


class PrefixCache:
    """The prefixes that an engine holds, the least recently used evicted first.

    >>> cache = PrefixCache(1, CacheTiming(lag=0, gaps=0), random.Random(1))
    >>> cache.store("a/b/1", 64, now=0.0)
    >>> cache.store("a/b/2", 64, now=0.0)
    >>> cache.find("a/b/1"), cache.find("a/b/2")
    (0, 64)
    >>> [event.stored for event in cache.take_events(now=0.0)]
    [True, False, True]
    """

    __slots__ = (
        "_capacity",
        "_last_event_number",
        "_pending_events",
        "_prefixes",
        "_rng",
        "_settings",
    )

    def __init__(
        self, capacity: int, settings: CacheEventSettings, rng: random.Random
    ) -> None:
        self._capacity = capacity
        self._settings = settings
        self._rng = rng
        self._prefixes: OrderedDict[str, int] = OrderedDict()
        self._pending_events: deque[tuple[float, CacheEvent]] = deque()
        self._last_event_number = 0

    @property
    def used(self) -> float:
        """The share of the cache in use, from 0 to 1."""
        return len(self._prefixes) / self._capacity

    def find(self, prefix: str) -> int:
        """Find how many tokens of a prefix are cached, and mark it used.

        :param prefix: the prefix key.
        :returns: tokens cached; 0 when it is not held.
        """
        tokens = self._prefixes.get(prefix, 0)
        if tokens:
            self._prefixes.move_to_end(prefix)
        return tokens

    def store(self, prefix: str, tokens: int, now: float) -> None:
        """Hold a prefix, evicting others when the cache is full.

        :param prefix: the prefix key.
        :param tokens: tokens that it covers.
        :param now: monotonic seconds.
        """
        if prefix not in self._prefixes:
            while len(self._prefixes) >= self._capacity:
                evicted, _ = self._prefixes.popitem(last=False)
                self._record_event(evicted, False, now)
            self._record_event(prefix, True, now)
        self._prefixes[prefix] = tokens
        self._prefixes.move_to_end(prefix)

    def take_events(self, now: float) -> tuple[CacheEvent, ...]:
        """Take the events that are old enough to be told.

        :param now: monotonic seconds.
        :returns: events with rising numbers; lost ones leave gaps.
        """
        told = []
        while (
            self._pending_events
            and now - self._pending_events[0][0] >= self._settings.delay_s
        ):
            told.append(self._pending_events.popleft()[1])
        return tuple(told)

    def _record_event(self, prefix: str, stored: bool, now: float) -> None:
        self._last_event_number += 1
        if self._rng.random() >= self._settings.loss_share:
            self._pending_events.append(
                (now, CacheEvent(self._last_event_number, prefix, stored))
            )
