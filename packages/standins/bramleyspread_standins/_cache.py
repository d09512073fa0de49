"""A prefix cache of limited size whose events are reported with delay and loss."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from bramleyspread_core import Brand, CacheEvent


@dataclass(frozen=True, slots=True)
class CacheEventSettings:
    """Delay and loss of the events that a cache reports."""

    #: Age at which an event is reported, in seconds.
    delay_s: float = 0.5
    #: Share of the events that are lost, from 0 to 1.
    loss_share: float = 0.1


def owns_prefix(brand: Brand, prefix: str) -> bool:
    """Return whether a prefix belongs to a brand.

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
    """The prefixes that an engine has cached, with least-recently-used eviction.

    >>> settings = CacheEventSettings(delay_s=0, loss_share=0)
    >>> cache = PrefixCache(1, settings, random.Random(1))
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
        """Look up a prefix and mark it as recently used.

        :param prefix: the prefix key.
        :returns: the number of cached tokens; 0 if the prefix is not cached.
        """
        tokens = self._prefixes.get(prefix, 0)
        if tokens:
            self._prefixes.move_to_end(prefix)
        return tokens

    def store(self, prefix: str, tokens: int, now: float) -> None:
        """Store a prefix, evicting others if the cache is full.

        :param prefix: the prefix key.
        :param tokens: the number of tokens that it covers.
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
        """Remove and return the events that are old enough to be reported.

        :param now: monotonic seconds.
        :returns: events in ascending order of numbers; lost events leave gaps.
        """
        due = []
        while (
            self._pending_events
            and now - self._pending_events[0][0] >= self._settings.delay_s
        ):
            due.append(self._pending_events.popleft()[1])
        return tuple(due)

    def _record_event(self, prefix: str, stored: bool, now: float) -> None:
        self._last_event_number += 1
        if self._rng.random() >= self._settings.loss_share:
            self._pending_events.append(
                (now, CacheEvent(self._last_event_number, prefix, stored))
            )
