"""Tests of a caller's retries against an entry host with scripted responses."""

import random
from collections.abc import Sequence

import curio
import pytest

from bramleyspread_core import Brand
from bramleyspread_standins._caller import Caller, CallerReport, ErrorBody, SuccessBody
from bramleyspread_standins._caller_requests import CallerRequest
from bramleyspread_standins._http import Exchange, HttpRequest, serve_http
from bramleyspread_standins._ready_hosts import ReadyHosts
from bramleyspread_standins.tests.test_target import (
    pick_address,
    wait_until_listening,
)
from bramleyspread_standins.tests.test_verdict import CHARGE, STREAM

SUCCESS = b'{"request":"r","output":{"marker":"m"},"repeated":false}'
ERROR_BODY = b'{"request":"r","ended":"%s","not_run":%s,"reason":"x"}'
REFUSED = ERROR_BODY % (b"refused", b"true")
RUNNING = ERROR_BODY % (b"refused", b"false")
FAILED = ERROR_BODY % (b"failed", b"false")
UNKNOWN = ERROR_BODY % (b"unknown", b"false")
CLOSED = b""

#: The status, body and ``X-Retry-After-Ms`` of each response; 0 omits the header.
Script = Sequence[tuple[int, bytes, int]]


class ScriptedHost:
    """Answers each attempt with the next response of its script."""

    def __init__(self, script: Script) -> None:
        self.script = list(script)
        self.keys: list[str] = []

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.method == "GET":
            await exchange.reply(404)
            return
        self.keys.append(request.headers.get("idempotency-key", ""))
        status, body, retry_after_ms = self.script.pop(0)
        if body == CLOSED:
            await exchange.abort()
            return
        headers = (("X-Retry-After-Ms", str(retry_after_ms)),) if retry_after_ms else ()
        await exchange.reply(status, body, headers)


def run_caller(request: CallerRequest, host: ScriptedHost) -> CallerReport:
    async def run() -> CallerReport:
        address = pick_address()
        server = await curio.spawn(serve_http, "127.0.0.1", address.port, host.handle)
        await wait_until_listening(address)
        hosts = ReadyHosts((address,), random.Random(1))
        hosts.mark_ready(address)
        ready_task = await curio.spawn(keep_ready, hosts)
        report = await Caller(request, hosts).run()
        await ready_task.cancel()
        await server.cancel()
        return report

    async def keep_ready(hosts: ReadyHosts) -> None:
        while True:
            for host in hosts.hosts:
                hosts.mark_ready(host)
            await curio.sleep(0.01)

    report: CallerReport = curio.run(run)
    return report


@pytest.mark.parametrize(
    ("key", "script", "ended"),
    [
        ("", [(200, SUCCESS, 0)], "whole"),
        ("", [(503, REFUSED, 5), (200, SUCCESS, 0)], "whole"),
        ("", [(503, REFUSED, 0)], "refused"),
        ("", [(503, REFUSED, 500_000)], "refused"),
        ("", [(502, FAILED, 0), (200, SUCCESS, 0)], "whole"),
        ("", [(200, CLOSED, 0), (200, SUCCESS, 0)], "whole"),
        ("k", [(200, CLOSED, 0), (409, RUNNING, 5), (200, SUCCESS, 0)], "whole"),
        ("k", [(504, UNKNOWN, 0), (503, REFUSED, 5), (200, SUCCESS, 0)], "whole"),
        ("k", [(504, UNKNOWN, 0), (504, UNKNOWN, 500_000)], "unknown"),
        ("k", [(503, REFUSED, 0)], "refused"),
    ],
)
def test_retries_as_the_responses_say(key: str, script: Script, ended: str) -> None:
    pipeline = CHARGE if key else STREAM
    request = CallerRequest(
        "m", 0.0, "s", pipeline, Brand("a", "b"), 5, key, False, None
    )
    host = ScriptedHost(script)
    report = run_caller(request, host)
    assert host.script == []
    assert set(host.keys) == {key}
    result = report.attempts[-1].result
    if ended == "whole":
        assert isinstance(result, SuccessBody)
    else:
        assert isinstance(result, ErrorBody)
        assert result.ended == ended
