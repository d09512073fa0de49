"""Heartbeats of more targets than a control host has room for."""

from __future__ import annotations

from typing import Any, cast

import curio

from bramleyspread_core import Address
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._wire import WireReply
from bramleyspread_daemon.forward.tests.document_site import DocumentNode
from bramleyspread_daemon.forward.tests.simulated_site import KeptReply
from bramleyspread_forwarding import MalformedRequest, TargetHeartbeat, TargetRegistry
from bramleyspread_forwarding.tests.builders import make_notice

ADDRESS = Address("10.0.0.1", 7100)


class HeartbeatWire:
    """Takes each call for a heartbeat of the target that its path names."""

    def read_call(self, http: HttpRequest) -> TargetHeartbeat:
        return make_notice(target=http.path)

    def write_acknowledgement(self) -> WireReply:
        return WireReply(200)

    def write_fault(self, fault: MalformedRequest) -> WireReply:
        return WireReply(fault.status, fault.why.encode())


# Guards against a control host that remembers ever new targets of a faulty peer.
def test_targets_without_room_are_refused_and_known_ones_are_not() -> None:
    node = DocumentNode(None, (ADDRESS,))
    control = ForwardControl(
        node,
        cast("Any", HeartbeatWire()),
        ConnectionPool(ProcessClock()),
        ADDRESS,
        1.0,
        "1",
    )
    control.registry = TargetRegistry(1.0, max_bytes=2_000)

    async def call_all() -> list[int]:
        statuses = []
        for name in ("known", *map(str, range(40)), "known"):
            kept = KeptReply()
            call = HttpRequest("POST", name, "", {}, b"")
            await control.answer_unrouted(call, Reply(cast("Any", kept)))
            assert kept.response is not None
            statuses.append(kept.response.status)
        return statuses

    statuses = curio.run(call_all)
    assert (statuses[0], statuses[-2], statuses[-1]) == (200, 503, 200)
    assert control.registry.size <= 2_000
