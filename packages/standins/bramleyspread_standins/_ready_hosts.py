"""A small stand-in of the balancer: callers pick among the ready entry hosts."""

from __future__ import annotations

import random
from collections.abc import Sequence

import curio

from bramleyspread_core import Address
from bramleyspread_standins._client import fetch

#: Pause between two looks at a host, in seconds.
PROBE_INTERVAL_S = 0.2
#: How long a host may take to say that it is ready, in seconds.
PROBE_TIMEOUT_S = 1.0


class ReadyHosts:
    """The entry hosts that said lately that they are ready."""

    __slots__ = ("_ready", "_rng", "hosts")

    def __init__(self, hosts: Sequence[Address], rng: random.Random) -> None:
        #: All that may be ready.
        self.hosts = tuple(hosts)
        self._ready: set[Address] = set()
        self._rng = rng

    @property
    def ready_count(self) -> int:
        """How many are ready."""
        return len(self._ready)

    def pick(self, exclude: Address | None = None) -> Address | None:
        """Pick one at random.

        :param but: a host to avoid where there is another.
        :returns: a host; None when none is ready.
        """
        ready = sorted(self._ready)
        others = [host for host in ready if host != exclude]
        return self._rng.choice(others or ready) if ready else None

    def mark_ready(self, host: Address) -> None:
        """Use a host.

        :param host: a host that takes requests.
        """
        self._ready.add(host)

    def mark_unavailable(self, host: Address) -> None:
        """Stop using a host until it says again that it is ready.

        :param host: a host that refused a connection.
        """
        self._ready.discard(host)

    async def run_probes(self) -> None:
        """Look at all hosts for ever."""
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
