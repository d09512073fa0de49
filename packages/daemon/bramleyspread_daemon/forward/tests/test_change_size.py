"""Changes of the deployment document that are too large to be replicated."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import curio
import pytest

from bramleyspread_core import (
    MAX_CHANGE_BYTES,
    Address,
    Command,
    CommandResult,
    Deployment,
    DeploymentAccepted,
    NotLeader,
    PutDeployment,
    encode_json,
)
from bramleyspread_daemon._client import ConnectionClosedError, Response
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._wire import WireReply
from bramleyspread_daemon.forward.tests.document_site import DocumentNode
from bramleyspread_daemon.forward.tests.simulated_site import KeptReply
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import MalformedRequest

ADDRESS, LEADER = Address("10.0.0.1", 7100), Address("10.0.0.2", 7100)


class TextWire:
    """Takes each call for a change whose text is its body."""

    def read_call(self, http: HttpRequest) -> PutDeployment:
        deployment = Deployment(version=2, routes=(), services=())
        return PutDeployment(deployment, http.body.decode())

    def write_fault(self, fault: MalformedRequest) -> WireReply:
        return WireReply(fault.status, fault.why.encode())


class UnreadWire(TextWire):
    """Takes no call."""

    def read_call(self, http: HttpRequest) -> PutDeployment:
        raise AssertionError("parsed")


def put(wire: TextWire, size: int) -> Response:
    """Send a control host a body, and return the answer.

    :param wire: reads the call.
    :param size: size of the body, in bytes.
    """
    node, pool = DocumentNode(None, (ADDRESS,)), ConnectionPool(ProcessClock())
    control = ForwardControl(node, cast("Any", wire), pool, ADDRESS, 1.0, "1")
    kept = KeptReply()

    async def send() -> None:
        call = HttpRequest("POST", "/", "", {}, b"x" * size)
        await control.answer_unrouted(call, Reply(cast("Any", kept)))

    curio.run(send)
    assert kept.response is not None
    return kept.response


# Guards against a change that is proposed, or passed on to the leader, although no host
# can receive it.
def test_change_over_the_limit_is_refused_at_once() -> None:
    response = put(TextWire(), MAX_CHANGE_BYTES)
    assert response.status == 413
    assert str(MAX_CHANGE_BYTES).encode() in response.body


# Guards against a leader that parses megabytes for longer than its lease lasts, only to
# refuse them.
def test_body_over_the_limit_of_changes_is_refused_before_it_is_parsed() -> None:
    assert put(UnreadWire(), MAX_CHANGE_BYTES + 1).status == 413


class SlowLeader:
    """Connections to a leader that takes 4 MB/s of what it is sent, or sends.

    :param result: what it answers.
    """

    def __init__(self, result: CommandResult) -> None:
        self._result = result

    async def request(self, _: Address, __: str, body: bytes, timeout: float) -> Any:
        answer = encode_json(self._result)
        needed = (len(body) + len(answer)) / 4_000_000
        await curio.sleep(min(needed, timeout))
        if needed > timeout:
            raise ConnectionClosedError("no whole answer in time")
        return Response(200, answer)


def ask_relaying_host(
    monkeypatch: pytest.MonkeyPatch,
    command: Command,
    result: CommandResult,
) -> CommandResult:
    """Have a host that doesn't lead decide a command."""
    node = DocumentNode(None, (ADDRESS, LEADER))
    pool = cast("Any", SlowLeader(result))
    control = ForwardControl(
        node, cast("Any", TextWire()), pool, ADDRESS, 1.0, "1", is_first_start=True
    )

    async def propose(_: Command, on_result: Callable[[CommandResult], None]) -> None:
        on_result(NotLeader(LEADER))

    control.attach(propose)
    return run_in_virtual_time(monkeypatch, lambda: control._decide(command))


# Guards against a change that is accepted but never acknowledged by a host that doesn't
# lead, since the leader gets no more time for megabytes than for a few bytes.
def test_relayed_change_gets_time_for_its_size(monkeypatch: pytest.MonkeyPatch) -> None:
    deployment = Deployment(version=2, routes=(), services=())
    change = PutDeployment(deployment, "x" * (MAX_CHANGE_BYTES - 1_000))
    accepted = DeploymentAccepted(2)
    assert ask_relaying_host(monkeypatch, change, accepted) == accepted


# Guards against a change that is taken and never decided by the leader's clock, which
# gives megabytes no more time than a few bytes.
def test_decision_on_a_large_change_gets_time_for_its_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = DocumentNode(None, (ADDRESS,))
    control = ForwardControl(
        node, cast("Any", TextWire()), cast("Any", None), ADDRESS, 1.0, "1"
    )
    deployment = Deployment(version=2, routes=(), services=())
    change = PutDeployment(deployment, "x" * (MAX_CHANGE_BYTES - 1_000))

    async def propose(_: Command, on_result: Callable[[CommandResult], None]) -> None:
        async def decide() -> None:
            await curio.sleep(MAX_CHANGE_BYTES / 4_000_000)
            on_result(DeploymentAccepted(2))

        await curio.spawn(decide, daemon=True)

    control.attach(propose)
    result = run_in_virtual_time(monkeypatch, lambda: control._decide(change))
    assert result == DeploymentAccepted(2)
