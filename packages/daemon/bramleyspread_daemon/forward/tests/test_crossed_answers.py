"""Targets that send a second copy of an answer, late, on a connection in use again."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import Any, cast

import curio
import pytest

from bramleyspread_core import MessageError
from bramleyspread_daemon.forward._piece_calls import OutcomeUnknown, PieceCalls
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import WireCall
from bramleyspread_daemon.forward.tests.test_piece_service import CountingWire
from bramleyspread_daemon.tests.loopback import (
    read_request,
    run,
    start_scripted_server,
    write_answer,
)
from bramleyspread_forwarding import (
    BatchedCall,
    BatchedItem,
    ForwardTarget,
    PieceFault,
    PieceItem,
    PieceResult,
    TargetTable,
)

CALLS = 6
#: Begins the answer to a call whose piece the target couldn't compute.
FAULTY = "faulty"


class _Wire(CountingWire):
    """Wire format in which an answer is the handle of the call's only piece."""

    def write_pieces(self, call: BatchedCall) -> WireCall:
        return WireCall("/make", call.items[0].item.request.encode())

    def read_pieces(
        self, call: BatchedCall, status: int, body: bytes
    ) -> tuple[PieceResult, ...]:
        if not body:
            raise MessageError("empty")
        if body.startswith(FAULTY.encode()):
            return (PieceResult(fault=PieceFault.ERROR),)
        return (PieceResult(body.decode(), None, "z"),)


class CopyingTarget:
    """A target that answers each call, and some a second time before a later answer.

    :param copied: the calls whose answers are sent twice.
    :param malformed: the calls before whose answers an empty one is sent.
    :param faulty: the calls whose pieces the target couldn't compute.
    :param lateness: how many calls later on the connection a copy is sent.
    """

    def __init__(
        self,
        copied: set[str],
        malformed: set[str],
        faulty: set[str] | None = None,
        lateness: int = 1,
    ) -> None:
        self._copied, self._malformed = copied, malformed
        self._faulty, self._lateness = faulty or set(), lateness
        self._numbers = count(1)

    async def serve(self, connected: Any) -> None:  # noqa: ANN401
        # The copies to be sent before the next answers, the next one first.
        copies = [b""] * self._lateness
        while True:
            try:
                data = await read_request(connected)
            except (AssertionError, ConnectionError):
                return
            request = data.partition(b"\r\n\r\n")[2].decode()
            name = FAULTY if request in self._faulty else request
            answer = write_answer(f"{name}/{next(self._numbers)}".encode())
            copy = copies.pop(0)
            extra = write_answer(b"") if request in self._malformed else b""
            if copy or extra:
                # The copy comes alone; the answer itself follows late.
                await connected.sendall(copy or extra)
                await curio.sleep(0.02)
            copies.append(answer if request in self._copied else b"")
            await connected.sendall(answer)


def make_call(target: ForwardTarget, request: str) -> BatchedCall:
    item = BatchedItem(PieceItem(request=request, stage=0, piece=0), 900.0, "k")
    return BatchedCall(1, target, (item,), 100.0, 900.0)


def run_calls(copied: set[str], malformed: set[str], **options: Any) -> dict[str, Any]:
    """Send one call after another, and return their outcomes."""
    outcomes: dict[str, Any] = {}

    async def main() -> None:
        server = CopyingTarget(copied, malformed, **options)
        _, address = await start_scripted_server(server.serve)
        target = ForwardTarget("t", address, "z", 1)
        calls = PieceCalls(
            cast("Any", _Wire()),
            UpstreamPool(),
            TargetSignals(TargetTable(), Random(1)),
            lambda _: None,
        )
        for request in (f"r{at}" for at in range(CALLS)):
            outcomes[request] = await calls.send(make_call(target, request))

    run(main)
    return outcomes


def check_own_results(outcomes: dict[str, Any]) -> int:
    """Check that no call got another one's result; return how many got their own."""
    made = 0
    for request, outcome in outcomes.items():
        if isinstance(outcome, OutcomeUnknown):
            continue
        (result,) = outcome
        if result.fault is not None:
            continue
        assert result.handle.split("/")[0] == request
        made += 1
    return made


# Guards against stage results that are those of the call before.
def test_second_copy_of_an_answer_is_not_taken_for_the_next_one() -> None:
    outcomes = run_calls(copied={"r1", "r3"}, malformed=set())
    assert check_own_results(outcomes) == CALLS - 2
    assert "second copy" in outcomes["r2"].why


# Guards against stage results that are those of a call before the last one.
@pytest.mark.parametrize("lateness", [2, 3, 4])
def test_later_copy_of_an_answer_is_not_taken_for_another_one(lateness: int) -> None:
    outcomes = run_calls(copied={"r0", "r1"}, malformed=set(), lateness=lateness)
    assert check_own_results(outcomes) >= CALLS - 2
    assert "second copy" in outcomes[f"r{lateness}"].why


# Guards against answers that move on by one after a copy that names no result.
@pytest.mark.parametrize("lateness", [1, 2])
def test_copy_of_an_answer_without_results_moves_no_answers(lateness: int) -> None:
    calls = {"r1", "r2"}
    outcomes = run_calls(calls, set(), faulty=calls, lateness=lateness)
    assert check_own_results(outcomes) == CALLS - 2


# Guards against an answer that arrives late on a connection whose answer was malformed.
def test_answer_after_a_malformed_one_is_not_taken_for_the_next_one() -> None:
    outcomes = run_calls(copied=set(), malformed={"r2"})
    assert check_own_results(outcomes) == CALLS - 1
