"""A stand-in for a load balancer that picks among the ready entry hosts."""

from __future__ import annotations

import random
from collections.abc import Sequence

import curio

from bramleyspread_core import Address
from bramleyspread_standins._client import fetch

#: Pause between two readiness probes of a host, in seconds.
PROBE_INTERVAL_S = 0.2
#: Time limit of a readiness probe, in seconds.
PROBE_TIMEOUT_S = 1.0


class ReadyHosts:
    """The entry hosts that are considered ready to accept requests.

    A host is ready if its last readiness probe succeeded and no request to it has
    failed since.
    """

    __slots__ = ("_ready", "_rng", "hosts")

    def __init__(self, hosts: Sequence[Address], rng: random.Random) -> None:
        #: All entry hosts, ready or not.
        self.hosts = tuple(hosts)
        self._ready: set[Address] = set()
        self._rng = rng

    @property
    def ready_count(self) -> int:
        """The number of ready hosts."""
        return len(self._ready)

    def pick(self, exclude: Address | None = None) -> Address | None:
        """Pick a ready host at random.

        :param exclude: a host to avoid if another one is ready.
        :returns: a host; None if none is ready.
        """
        ready = sorted(self._ready)
        others = [host for host in ready if host != exclude]
        return self._rng.choice(others or ready) if ready else None

    def mark_ready(self, host: Address) -> None:
        """Add a host to the ready hosts.

        :param host: a host that accepts requests.
        """
        self._ready.add(host)

    def mark_unavailable(self, host: Address) -> None:
        """Remove a host from the ready hosts until a probe succeeds again.

        :param host: a host to which a request failed.
        """
        self._ready.discard(host)

    async def run_probes(self) -> None:
        """Probe all hosts periodically until cancelled."""
        async with curio.TaskGroup() as group:
            for host in self.hosts:
                await group.spawn(self._probe_host, host)

    async def _probe_host(self, host: Address) -> None:
        while True:
            if await _is_ready(host):
                self._ready.add(host)
            else:
                self._ready.discard(host)
            await curio.sleep(PROBE_INTERVAL_S)


async def _is_ready(host: Address) -> bool:
    try:
        reply = await fetch(host, "GET", "/v1/ready", timeout=PROBE_TIMEOUT_S)
    except (OSError, curio.TaskTimeout):
        return False
    return reply.status == 200
