"""Changes of the deployment document that are too large to be replicated."""

from __future__ import annotations

from typing import Any, cast

import curio

from bramleyspread_core import MAX_CHANGE_BYTES, Address, Deployment, PutDeployment
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._wire import WireReply
from bramleyspread_daemon.forward.tests.document_site import DocumentNode
from bramleyspread_daemon.forward.tests.simulated_site import KeptReply
from bramleyspread_forwarding import MalformedRequest

ADDRESS = Address("10.0.0.1", 7100)


class TextWire:
    """Takes each call for a change whose text is its body."""

    def read_call(self, http: HttpRequest) -> PutDeployment:
        deployment = Deployment(version=2, routes=(), services=())
        return PutDeployment(deployment, http.body.decode())

    def write_fault(self, fault: MalformedRequest) -> WireReply:
        return WireReply(fault.status, fault.why.encode())


# Guards against a change that is proposed, or passed on to the leader, although no host
# can receive it.
def test_change_over_the_limit_is_refused_at_once() -> None:
    node = DocumentNode(None, (ADDRESS,))
    control = ForwardControl(
        node, cast("Any", TextWire()), ConnectionPool(ProcessClock()), ADDRESS, 1.0, "1"
    )
    kept = KeptReply()
    body = b"x" * (MAX_CHANGE_BYTES + 1)

    async def put() -> None:
        call = HttpRequest("POST", "/", "", {}, body)
        await control.answer_unrouted(call, Reply(cast("Any", kept)))

    curio.run(put)
    assert kept.response is not None
    assert kept.response.status == 413
    assert str(MAX_CHANGE_BYTES).encode() in kept.response.body
