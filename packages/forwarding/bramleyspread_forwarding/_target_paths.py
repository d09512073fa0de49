"""By which path a host reaches targets: directly, or relayed by another host."""

from __future__ import annotations

import math
from collections.abc import Collection

import msgspec

from bramleyspread_core import Address

#: Number of targets that a host must fail to reach, without reaching any in between,
#: before its own path, rather than the targets, may be at fault.
MIN_UNREACHED = 2
#: Time after which a lost path to a target is tried again, in seconds.
PROBE_INTERVAL_S = 1.0
#: Maximum number of paths tried at once, to see whether they are back.
MAX_PROBES = 4
#: Number of paths tried at once while none is known to be back.
PROBES_WHILE_CUT = 1
#: How long a failure to reach a target counts, in seconds.
FAILURE_TTL_S = 5.0


class _LostPath(msgspec.Struct):
    """A target that another host reaches and this one doesn't."""

    #: When the path was last tried, in seconds.
    tried_at: float
    #: Whether nothing came back, not even that the connection is refused.
    is_silent: bool


class TargetPaths:
    """What a host knows of its own paths to targets.

    A connection that can't be opened says nothing about the target by itself: if
    another host reaches the target, the path is lost. A host that has lost its paths to
    several targets, and reached none since, takes all of them for lost, so that not
    each request has to find out for itself. Paths are tried again at intervals.

    >>> first, second = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
    >>> paths = TargetPaths()
    >>> paths.record_failure(first, 0.0, is_silent=True)
    >>> paths.may_be_cut(9, 0.0)
    False
    >>> paths.record_failure(second, 0.0, is_silent=True)
    >>> paths.may_be_cut(9, 0.0)
    True
    >>> paths.record_relayed(first, 0.1)
    True
    >>> paths.is_lost(first), paths.is_lost(second)
    (True, False)
    >>> paths.record_success(first, 0.2)
    >>> paths.is_lost(first), paths.may_be_cut(9, 0.1)
    (False, False)
    """

    __slots__ = ("_failed", "_lost", "_lost_since_success", "_reached")

    def __init__(self) -> None:
        # By target, when it was last not reached, and whether nothing came back; since
        # any target was reached.
        self._failed: dict[Address, tuple[float, bool]] = {}
        self._lost: dict[Address, _LostPath] = {}
        self._lost_since_success: set[Address] = set()
        # The target that was reached last, and when.
        self._reached: tuple[Address | None, float] = (None, -math.inf)

    @property
    def is_cut(self) -> bool:
        """Whether this host has lost its paths to all targets, as far as it knows."""
        return len(self._lost_since_success) >= MIN_UNREACHED

    def is_lost(self, address: Address) -> bool:
        """Whether the path to a target is lost."""
        return self.is_cut or address in self._lost

    def is_silent(self, address: Address) -> bool:
        """Whether open connections to a target hang as well as new ones."""
        known = self._lost.get(address)
        if known is not None:
            return known.is_silent
        return self.is_cut and all(each.is_silent for each in self._lost.values())

    def may_be_cut(self, targets: int, now: float) -> bool:
        """Whether a failure may be due to this host's own path.

        :param targets: number of known targets.
        :param now: the current time, in seconds.
        """
        oldest = now - FAILURE_TTL_S
        unreached = sum(at >= oldest for at, _ in self._failed.values())
        return self.is_cut or unreached >= max(min(MIN_UNREACHED, targets), 1)

    def has_failed(self, address: Address, now: float, within_s: float) -> bool:
        """Whether a target was not reached a moment ago."""
        failed_at, _ = self._failed.get(address, (-math.inf, False))
        return now - failed_at <= within_s

    def has_reached_another(
        self, address: Address, now: float, within_s: float
    ) -> bool:
        """Whether a target other than this one was reached a moment ago."""
        reached, reached_at = self._reached
        return reached not in (None, address) and now - reached_at <= within_s

    def record_success(self, address: Address, now: float) -> None:
        """Record that a connection was opened directly."""
        self._reached = (address, now)
        self._failed.clear()
        self._lost.pop(address, None)
        self._lost_since_success.clear()

    def record_failure(self, address: Address, now: float, *, is_silent: bool) -> None:
        """Record that a connection could not be opened directly.

        :param address: the target.
        :param now: the current time, in seconds.
        :param is_silent: whether nothing came back.
        """
        self._failed[address] = (now, is_silent)
        lost = self._lost.get(address)
        if lost is not None:
            lost.tried_at, lost.is_silent = now, is_silent

    def record_relayed(self, address: Address, now: float) -> bool:
        """Record that another host reached a target.

        :param address: the target.
        :param now: the current time, in seconds.
        :returns: whether it is news that this host has lost the path.
        """
        if address in self._lost or address not in self._failed:
            return False
        _, is_silent = self._failed[address]
        self._lost[address] = _LostPath(now, is_silent)
        self._lost_since_success.add(address)
        return True

    def list_due_probes(
        self, known: Collection[Address], now: float
    ) -> tuple[Address, ...]:
        """List the lost paths to be tried again now, and forget targets that are gone.

        :param known: addresses of the known targets.
        :param now: the current time, in seconds.
        """
        for address in tuple(self._lost):
            if address not in known:
                del self._lost[address]
                self._lost_since_success.discard(address)
        most = PROBES_WHILE_CUT if self.is_cut else MAX_PROBES
        due = [
            (each.tried_at, address)
            for address, each in self._lost.items()
            if now - each.tried_at >= PROBE_INTERVAL_S
        ]
        chosen = tuple(address for _, address in sorted(due)[:most])
        for address in chosen:
            self._lost[address].tried_at = now
        return chosen

    def count_lost(self) -> int:
        """Count the targets to which the path is lost."""
        return len(self._lost)
