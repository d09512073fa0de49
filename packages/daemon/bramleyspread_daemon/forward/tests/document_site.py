"""Control hosts with one deployment document, as entry hosts reach them."""

from __future__ import annotations

from typing import Any, cast

import curio

from bramleyspread_core import Address, Deployment, ZoneDrains
from bramleyspread_daemon._client import (
    ConnectionClosedError,
    RequestNotSentError,
    Response,
)
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._traffic import Traffic
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward.tests.connected_hosts import DELAY_S
from bramleyspread_daemon.forward.tests.simulated_site import HEAD_BYTES, KeptReply


class DocumentNode:
    """Replicated state of control hosts, with the newest document."""

    def __init__(
        self, deployment: Deployment | None, controls: tuple[Address, ...]
    ) -> None:
        self.deployment = deployment
        self.is_confirmed = True
        self.zone_drains = ZoneDrains()
        self._controls = controls

    def list_control_addresses(self) -> tuple[Address, ...]:
        return self._controls

    def is_deployment_confirmed(self, _: float) -> bool:
        return self.is_confirmed


def make_control(
    node: DocumentNode, address: Address, incarnation: str = "life-1"
) -> ForwardControl:
    """Make a control host with a node's document."""
    pool = ConnectionPool(ProcessClock())
    return ForwardControl(
        cast("Any", node), cast("Any", None), pool, address, 1.2, incarnation
    )


class ControlPool:
    """Connections of an entry host to control hosts, over a link.

    :param controls: the control hosts.
    :param bytes_per_s: rate of the link; 0 if it takes no time.
    """

    def __init__(
        self, controls: dict[Address, ForwardControl], bytes_per_s: float = 0.0
    ) -> None:
        self._controls = controls
        self._bytes_per_s = bytes_per_s
        #: Control hosts that don't answer.
        self.silent: set[Address] = set()
        #: Control hosts that have no such call, as older ones.
        self.older: set[Address] = set()
        #: Bytes in both directions.
        self.bytes = 0
        #: Control hosts that were asked, in order.
        self.asked: list[Address] = []
        self.traffic = Traffic()

    async def request(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout: float,
        method: str = "POST",
        connect_timeout: float = 1.0,
    ) -> Response:
        self.asked.append(address)
        self.bytes += len(body) + HEAD_BYTES
        await curio.sleep(DELAY_S)
        if address not in self._controls:
            raise RequestNotSentError("not connected: Connection refused")
        if address in self.older:
            return Response(404, b"")
        kept = KeptReply()
        if address not in self.silent:
            handle = self._controls[address].list_routes()[method, path]
            await handle(
                HttpRequest(method, path, "", {}, body), Reply(cast("Any", kept))
            )
        if kept.response is None:
            await curio.sleep(timeout)
            raise ConnectionClosedError("no answer in time")
        size = len(kept.response.body) + HEAD_BYTES
        self.bytes += size
        await curio.sleep(DELAY_S)
        if self._bytes_per_s:
            await curio.sleep(min(size / self._bytes_per_s, timeout))
            if size / self._bytes_per_s > timeout:
                raise ConnectionClosedError("no answer in time")
        return kept.response
