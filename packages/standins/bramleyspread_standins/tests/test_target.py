"""Tests of a target over loopback; no check depends on the clock."""

import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
from msgspec.structs import replace

from bramleyspread_core import (
    Address,
    AttemptId,
    CancelCall,
    Payload,
    TargetAnswer,
    TargetCall,
    TargetState,
    decode_json,
    encode_json,
)
from bramleyspread_standins._client import HttpClient, HttpReply, fetch
from bramleyspread_standins._commands import make_parser, make_target
from bramleyspread_standins._target import Target
from bramleyspread_standins.tests.test_engine import CALL

ENGINE = ["engine", "--pool=language-model.engines", "--model=rules:1:spanish"]
BRAND = {"X-Organisation": "inti", "X-Brand": "express"}


def make_call(attempt: str, stream: bool = False) -> TargetCall:
    payload = Payload(b'{"marker":"m1"}')
    return replace(CALL, attempt=AttemptId(attempt), input=payload, stream=stream)


def pick_address() -> Address:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address("127.0.0.1", probe.getsockname()[1])


def run_target(
    kind: list[str], check: Callable[[Target, Address], Awaitable[None]]
) -> None:
    async def run() -> None:
        address = pick_address()
        rest = ["--name=t", "--zone=callao", f"--listen={address}"]
        options = [*kind, *rest, "--entry-host=127.0.0.1:9"]
        target = make_target(make_parser().parse_args(options))
        server = await curio.spawn(target.run)
        await wait_until_listening(address)
        await check(target, address)
        await server.cancel()

    curio.run(run)


async def wait_until_listening(address: Address) -> None:
    while True:
        try:
            await fetch(address, "GET", "/")
            return
        except ConnectionRefusedError:
            await curio.sleep(0.01)


async def post(address: Address, path: str, value: object) -> HttpReply:
    return await fetch(address, "POST", path, encode_json(value), timeout=30)


def test_repeated_attempt_runs_once(tmp_path: Path) -> None:
    ledger = tmp_path / "ledger"

    async def check(_target: Target, address: Address) -> None:
        first = await post(address, "/v1/calls", make_call("a"))
        again = await post(address, "/v1/calls", make_call("a"))
        assert first.status == 200
        assert again.body == first.body

    run_target(["plain", "--pool=a.b", f"--ledger={ledger}"], check)
    assert len(ledger.read_text().splitlines()) == 1


def test_streams_tokens_and_then_the_complete_answer() -> None:
    async def check(_target: Target, address: Address) -> None:
        async with HttpClient(address) as client:
            body = encode_json(make_call("a", stream=True))
            await client.send_request("POST", "/v1/calls", {}, body)
            events = [event async for event in client.read_events()]
        assert [event.name for event in events] == ["", "", "", "", "end"]
        answer: TargetAnswer = decode_json(events[-1].data, TargetAnswer)
        assert answer.attempt == "a"

    run_target(ENGINE, check)


def test_refuses_calls_after_an_early_cancel_or_when_leaving() -> None:
    async def check(target: Target, address: Address) -> None:
        await post(address, "/v1/cancels", CancelCall(AttemptId("a")))
        assert (await post(address, "/v1/calls", make_call("a"))).status == 503
        assert (await post(address, "/v1/calls", make_call("b"))).status == 200
        target.state = TargetState.LEAVING
        assert (await post(address, "/v1/calls", make_call("c"))).status == 503
        assert (await post(address, "/v1/calls", make_call("b"))).status == 200
        assert (await fetch(address, "POST", "/v1/calls", b"{")).status == 400

    run_target(ENGINE, check)


def test_kv_cache_is_refused_to_other_brands() -> None:
    async def check(_target: Target, address: Address) -> None:
        path, other = "/v1/kv/inti%2Fexpress%2Fx", {**BRAND, "X-Brand": "familia"}
        body = b'{"prefix":"inti/express/x","tokens":64}'
        assert (await fetch(address, "GET", path, headers=BRAND)).status == 404
        assert (await fetch(address, "PUT", path, body, other)).status == 403
        assert (await fetch(address, "PUT", path, body, BRAND)).status == 200
        assert (await fetch(address, "GET", path, headers=other)).status == 403
        assert (await fetch(address, "GET", path, headers=BRAND)).status == 200

    run_target(ENGINE, check)
