"""A fault inside never leaves a caller without an answer."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from bramleyspread_core import ForwardRoute, RequestKind, ServiceShare
from bramleyspread_daemon.forward._request_forwarder import RequestForwarder
from bramleyspread_daemon.forward._wire import Refusal, WireReply
from bramleyspread_daemon.tests.loopback import run
from bramleyspread_forwarding import ForwardRequest

ROUTE = ForwardRoute(
    name="r",
    host="h",
    prefix="/",
    kind=RequestKind.IDEMPOTENT,
    timeout_ms=1_000,
    aim_ms=100.0,
    shares=(ServiceShare("s", 1.0),),
)
REQUEST = ForwardRequest(
    request="1", method="GET", target="/", path="/", host="h", headers=(), body=b""
)


class Sent:
    """A reply that keeps what was sent."""

    def __init__(self) -> None:
        self.begun = False
        self.statuses: list[int] = []

    def send(self, status: int, body: bytes, headers: object = ()) -> None:
        self.begun = True
        self.statuses.append(status)


class Wire:
    """Writes refusals as they are."""

    def write_refusal(self, refusal: Refusal) -> WireReply:
        return WireReply(refusal.status)


def test_a_fault_inside_is_answered_and_logged() -> None:
    def fail(*_: object) -> str:
        raise KeyError("a fault inside")

    context = SimpleNamespace(
        in_flight=0, ends=Counter(), version=1, choose_service=fail
    )
    reply = Sent()
    forwarder = RequestForwarder(
        cast("Any", context),
        cast("Any", Wire()),
        REQUEST,
        ROUTE,
        None,
        cast("Any", reply),
    )
    run(forwarder.run)
    assert reply.statuses == [500]
    assert context.in_flight == 0
    assert context.ends == {"fault": 1}
