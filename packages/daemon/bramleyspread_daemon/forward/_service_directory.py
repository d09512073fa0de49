"""Lookups of what the batching of pieces depends on: targets, limits, entry hosts."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bramleyspread_core import PieceLimits
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_forwarding import (
    EntryHost,
    ForwardTarget,
    ServiceShards,
    ShardId,
    Shards,
    SlowStarts,
)


class ServiceDirectory:
    """Lookups that the piece service needs: targets, limits and entry hosts."""

    def __init__(
        self,
        list_targets: Callable[[str], Sequence[ForwardTarget]],
        find_limits: Callable[[str], PieceLimits | None],
        list_hosts: Callable[[], Sequence[EntryHost]],
        link_mbps: float = 0.0,
        is_all_drained: Callable[[str], bool] = lambda _: False,
        slow_starts: SlowStarts | None = None,
        must_wait: Callable[[], bool] = lambda: False,
    ) -> None:
        self._slow_starts = slow_starts if slow_starts is not None else SlowStarts()
        #: Returns the targets of a service that accept work.
        self.list_targets = list_targets
        #: Returns the limits under which the targets of a service process pieces.
        self.find_limits = find_limits
        #: Returns the live entry hosts, including this one.
        self.list_hosts = list_hosts
        #: Returns whether a service's targets get no work because of zone drains.
        self.is_all_drained = is_all_drained
        #: Returns whether no call may be sent now, after this host was suspended.
        self.must_wait = must_wait
        #: Rate of an entry host's link, in Mbit/s; 0 if unknown.
        self.link_mbps = link_mbps
        self._shards = ServiceShards(link_mbps)

    def list_shards(self, service: str) -> Shards:
        """Return the targets of each shard of a service."""
        return self._shards.divide(
            service, self.list_targets(service), self.find_limits(service)
        )

    def list_shard_targets(self, shard: ShardId) -> Sequence[ForwardTarget]:
        """Return the targets of a shard that may get calls now.

        Of zones that have just come back, only some may. A shard that is no longer used
        has all targets of the service, so that what it has started can end.
        """
        shards = self.list_shards(shard.service)
        targets: Sequence[ForwardTarget]
        if shard.number < len(shards):
            targets = shards[shard.number]
        else:
            targets = self.list_targets(shard.service)
        return self._slow_starts.list_open(shard.service, targets, read_monotonic())
