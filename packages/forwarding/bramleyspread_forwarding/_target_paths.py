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
#: Interval at which a path to any target is tried while all are lost, in seconds.
PROBE_INTERVAL_WHILE_CUT_S = 0.5
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
    another host reaches the target, the path is lost. If this host has reached none of
    several targets since it last reached any, and another host reaches one of them, all
    paths count as lost, so that not each request has to find out for itself. Paths are
    tried again at intervals.

    >>> first, second = Address("10.0.0.1", 1), Address("10.0.0.2", 1)
    >>> paths = TargetPaths()
    >>> paths.record_failure(first, 0.0, is_silent=True)
    >>> paths.may_be_cut(9, 0.0)
    False
    >>> paths.record_failure(second, 0.0, is_silent=True)
    >>> paths.may_be_cut(9, 0.0)
    True
    >>> paths.record_relayed(first, 9, 0.1)
    True
    >>> paths.is_cut, paths.is_lost(second)
    (True, True)
    >>> paths.record_success(first, 0.2)
    >>> paths.is_lost(first), paths.may_be_cut(9, 0.1)
    (False, False)
    """

    __slots__ = ("_failed", "_lost", "_probed_at", "_reached", "is_cut")

    def __init__(self) -> None:
        # By target, when it was last not reached, and whether nothing came back; since
        # any target was reached.
        self._failed: dict[Address, tuple[float, bool]] = {}
        self._lost: dict[Address, _LostPath] = {}
        self._probed_at = -math.inf
        # The target that was reached last, and when.
        self._reached: tuple[Address | None, float] = (None, -math.inf)
        #: Whether this host has lost its paths to all targets, as far as it knows.
        self.is_cut = False

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
        return self.is_cut or self._has_lost_all(targets, now)

    def _has_lost_all(self, targets: int, now: float) -> bool:
        """Whether this host has failed to reach several targets, and reached none."""
        oldest = now - FAILURE_TTL_S
        unreached = sum(at >= oldest for at, _ in self._failed.values())
        return unreached >= max(min(MIN_UNREACHED, targets), 1)

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
        self.is_cut = False

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

    def record_relayed(self, address: Address, targets: int, now: float) -> bool:
        """Record that another host reached a target.

        :param address: the target.
        :param targets: number of known targets.
        :param now: the current time, in seconds.
        :returns: whether it is news that this host has lost the path.
        """
        if address not in self._failed:
            return False
        self.is_cut = self.is_cut or self._has_lost_all(targets, now)
        if address in self._lost:
            return False
        _, is_silent = self._failed[address]
        self._lost[address] = _LostPath(now, is_silent)
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
        self.is_cut = self.is_cut and bool(known)
        due = [
            (each.tried_at, address)
            for address, each in self._lost.items()
            if now - each.tried_at >= PROBE_INTERVAL_S
        ]
        chosen = tuple(address for _, address in sorted(due)[:MAX_PROBES])
        for address in chosen:
            self._lost[address].tried_at = now
        return chosen

    def is_probe_due(self, now: float) -> bool:
        """Whether any target is to be tried now, as all paths are lost."""
        is_due = now - self._probed_at >= PROBE_INTERVAL_WHILE_CUT_S
        if not self.is_cut or not is_due:
            return False
        self._probed_at = now
        return True

    def count_lost(self) -> int:
        """Count the targets to which the path is lost."""
        return len(self._lost)
