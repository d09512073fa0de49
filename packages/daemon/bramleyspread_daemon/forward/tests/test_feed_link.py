"""An entry host that polls a control host which has no power at first."""

from __future__ import annotations

from typing import Any, cast

import curio
import pytest

from bramleyspread_core import Address, encode_json
from bramleyspread_daemon._client import RequestNotSentError, Response
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import CONNECT_TIMEOUT_S
from bramleyspread_daemon.forward._feed_link import FeedLink
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import FeedPage

CONTROL = Address("10.1.0.200", 8628)
#: Times at which the control host gets power, after the first poll, in seconds.
POWER_AT_S = (0.05, 0.3, 0.7, 1.1)
#: Time in which a control host must be heard once it has power, in seconds.
HEARD_WITHIN_S = 0.6


class _DarkPool:
    """Connections to a host that answers nothing until it has power."""

    def __init__(self, power_at: float) -> None:
        self._power_at = power_at

    async def request(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: float,
        method: str = "POST",
        connect_timeout: float = CONNECT_TIMEOUT_S,
    ) -> Response:
        if read_monotonic() < self._power_at:
            await curio.sleep(connect_timeout)
            raise RequestNotSentError("not connected")
        await curio.sleep(0.4)
        return Response(200, encode_json(FeedPage(incarnation="i", position=0)))


@pytest.mark.parametrize("power_after_s", POWER_AT_S)
def test_control_host_is_heard_soon_after_it_has_power(
    monkeypatch: pytest.MonkeyPatch, power_after_s: float
) -> None:
    requested: list[float] = []

    async def main() -> float:
        power_at = read_monotonic() + power_after_s

        async def handle_page(host: Address, page: object, requested_at: float) -> None:
            requested.append(requested_at)

        pool = cast("Any", _DarkPool(power_at))
        link = FeedLink(pool, cast("Any", lambda _: {}), handle_page)
        await link.start_polling([CONTROL])
        await curio.sleep(4.0)
        return power_at

    power_at = run_in_virtual_time(monkeypatch, main)
    assert requested[0] - power_at <= HEARD_WITHIN_S
