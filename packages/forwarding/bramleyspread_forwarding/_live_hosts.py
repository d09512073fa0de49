"""Entry hosts that are live."""

from __future__ import annotations

import math

import msgspec

from bramleyspread_core import ObeyedDrains
from bramleyspread_forwarding._feed import EntryHost

#: Number of removed hosts that are remembered for lists of changes.
MAX_REMOVED = 1_000


class HostChanges(msgspec.Struct, frozen=True):
    """How a list of hosts differs from an earlier revision of it."""

    #: Hosts that were added, or whose process was replaced by a newer one.
    added: tuple[EntryHost, ...] = ()
    #: Names of the hosts that were removed.
    removed: tuple[str, ...] = ()


class _LiveHost(msgspec.Struct):
    """A host that was reported lately."""

    host: EntryHost
    #: When it was last reported, in seconds.
    recorded_at: float
    #: Revision of the list at which this process of the host was added.
    added_revision: int
    #: Revision of the zone drains that this process obeys.
    drains_revision: int = 0
    #: Revision of the zone drains that was sent to the host.
    told_drains_revision: int = 0


class LiveHosts:
    """Entry hosts that were reported lately, each with its newest process only.

    >>> from bramleyspread_core import Address
    >>> first = EntryHost("e", "z", Address("10.0.0.1", 1), started=1)
    >>> restarted = EntryHost("e", "z", Address("10.0.0.1", 1), started=2)
    >>> live_hosts = LiveHosts(ttl_s=1.5)
    >>> for host in (first, restarted, first):
    ...     live_hosts.record(host, 0.0)
    >>> live_hosts.list_live(1.0) == (restarted,)
    True
    >>> live_hosts.list_changes(1).added == (restarted,)
    True
    >>> live_hosts.list_live(2.0)
    ()
    >>> live_hosts.list_changes(2).removed
    ('e',)
    """

    __slots__ = ("_check_at", "_hosts", "_live", "_removed", "_ttl_s", "revision")

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._hosts: dict[str, _LiveHost] = {}
        # By name, the revision at which a host was removed; oldest first.
        self._removed: dict[str, int] = {}
        # The live hosts sorted by name; None if they have changed.
        self._live: tuple[EntryHost, ...] | None = None
        # No host expires before this time.
        self._check_at = -math.inf
        #: Number of changes of the list so far.
        self.revision = 0

    def record(self, host: EntryHost, now: float, drains_revision: int = 0) -> None:
        """Record that a host is live; an older process of a known host is ignored.

        :param host: the host.
        :param now: monotonic seconds.
        :param drains_revision: revision of the zone drains that the host obeys.
        """
        known = self._hosts.get(host.host)
        if known is not None and known.host == host:
            # The same object each time makes lists of hosts cheap to compare.
            known.recorded_at = now
            known.drains_revision = max(known.drains_revision, drains_revision)
        elif known is None or known.host.started <= host.started:
            self.revision += 1
            self._hosts[host.host] = _LiveHost(
                host, now, self.revision, drains_revision
            )
            self._removed.pop(host.host, None)
            self._live = None

    def list_live(self, now: float) -> tuple[EntryHost, ...]:
        """List the live hosts, sorted by name, and remove the expired ones."""
        if self._live is None or now >= self._check_at:
            self._remove_expired(now)
        if self._live is None:
            self._live = tuple(self._hosts[name].host for name in sorted(self._hosts))
        return self._live

    def record_told(self, host: str, drains_revision: int) -> None:
        """Record which zone drains were sent to a host."""
        known = self._hosts.get(host)
        if known is not None:
            known.told_drains_revision = drains_revision

    def find_told(self, host: str) -> int:
        """Find the revision of the zone drains that was sent to a host; 0 for none."""
        known = self._hosts.get(host)
        return known.told_drains_revision if known is not None else 0

    def list_obeyed(self, now: float) -> tuple[ObeyedDrains, ...]:
        """List which zone drains each live host obeys, sorted by name."""
        return tuple(
            ObeyedDrains(each.host, each.zone, self._hosts[each.host].drains_revision)
            for each in self.list_live(now)
        )

    def _remove_expired(self, now: float) -> None:
        expired_before = now - self._ttl_s
        oldest = now
        for name, each in tuple(self._hosts.items()):
            if each.recorded_at >= expired_before:
                oldest = min(oldest, each.recorded_at)
                continue
            self.revision += 1
            del self._hosts[name]
            self._removed[name] = self.revision
            self._live = None
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._check_at = oldest + self._ttl_s

    def list_changes(self, revision: int) -> HostChanges | None:
        """List how the list has changed since an earlier revision.

        :param revision: the revision.
        :returns: the changes; None if they are not known, or are more than the hosts.
        """
        if len(self._removed) >= MAX_REMOVED or not 0 < revision <= self.revision:
            return None
        added = tuple(
            each.host for each in self._hosts.values() if each.added_revision > revision
        )
        removed = tuple(x for x, at in self._removed.items() if at > revision)
        if len(added) + len(removed) > max(len(self._hosts), 1):
            return None
        return HostChanges(added, removed)
