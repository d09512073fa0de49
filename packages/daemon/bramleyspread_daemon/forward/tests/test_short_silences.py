"""Targets that fall silent for a moment and go on."""

from __future__ import annotations

import socket
from typing import Any

from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.tests.loopback import read_all, run, start_scripted_server

#: For how long a sound target may be silent, in seconds.
SILENCE_S = 1.5
#: Time in which a connection to a target without power must be closed, in seconds.
MAX_SILENCE_S = 3.0


# Guards against connections that are closed while a sound target is silent.
def test_connections_bear_a_short_silence() -> None:
    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_all(connected)

    async def main() -> tuple[float, float]:
        _, address = await start_scripted_server(serve)
        connection = await UpstreamPool().acquire(address, 1.0)
        raw: socket.socket = connection.detach()._raw
        tcp = socket.IPPROTO_TCP
        unacknowledged_s = raw.getsockopt(tcp, socket.TCP_USER_TIMEOUT) / 1000
        idle_s = raw.getsockopt(tcp, socket.TCP_KEEPIDLE)
        interval_s = raw.getsockopt(tcp, socket.TCP_KEEPINTVL)
        await connection.close()
        # Probes give up at the first one that is due after the timeout.
        probed_s = idle_s + interval_s
        while probed_s < unacknowledged_s:
            probed_s += interval_s
        return unacknowledged_s, probed_s

    for closed_after_s in run(main):
        assert SILENCE_S <= closed_after_s <= MAX_SILENCE_S
