"""Tests of an entry process with a caller, targets and a control host."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest

from bramleyspread_daemon._settings import Listen
from bramleyspread_daemon.tests.loopback import (
    connect,
    read_all,
    read_until,
    run,
)
from bramleyspread_daemon.tests.small_deployment import Deployment

BRAND = {"x-organisation": "inka", "x-brand": "fast"}
STREAM = {**BRAND, "accept": "text/event-stream"}


async def _post(
    deployment: Deployment,
    path: str,
    headers: Mapping[str, str] = BRAND,
    body: bytes = b'{"photo":1}',
) -> Any:  # noqa: ANN401
    """Send a request and leave the connection open."""
    connected = await connect(deployment.entry_address)
    lines = [f"POST /v1/services/{path} HTTP/1.1", "host: a", "connection: close"]
    lines += [f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    await connected.sendall("\r\n".join([*lines, "", ""]).encode() + body)
    return connected


async def _request(
    deployment: Deployment, path: str, **more: Any
) -> tuple[int, Any, str]:  # noqa: ANN401
    connected = await _post(deployment, path, **more)
    async with connected:
        head, _, body = (await read_all(connected)).partition(b"\r\n\r\n")
    status = int(head.split()[1])
    text = head.decode().lower()
    return status, (body if "chunked" in text else msgspec.json.decode(body)), text


def test_complete_answer_and_stream(tmp_path: Path) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path)
        await deployment.start()
        status, body, head = await _request(deployment, "photos/check")
        assert (status, body["output"]) == (200, {"stage": "explain"})
        assert "x-stamp: " in head
        status, events, _ = await _request(deployment, "photos/check", headers=STREAM)
        assert status == 200
        assert events.count(b'data: {"index":') == 3
        assert events.count(b"event: end\n") == 1
        assert b'"output":{"stage":"explain"}' in events
        assert deployment.contract_watch.count == 0
        kinds = (tmp_path / "entry.jsonl").read_bytes()
        assert b'"kind":"started"' in kinds
        metrics = (await deployment.get("/metrics")).body.decode()
        assert 'bramleyspread_answers_total{host="entry-1",status="200"} 2' in metrics
        cost = msgspec.json.decode((await deployment.get("/v1/cost")).body)
        assert cost["total"]["attempts"] == 4
        hosts = msgspec.json.decode((await deployment.get("/v1/in-force")).body)
        assert [(each["host"], each["revision"]) for each in hosts] == [("entry-1", 1)]

    run(main)


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "reason"),
    [
        ("photos/check", {}, b"{}", 400, "bad-input"),
        ("photos/check", {"x-organisation": "inka"}, b"{}", 400, "bad-input"),
        ("photos/check", {**BRAND, "x-deadline-ms": "0"}, b"{}", 400, "bad-input"),
        ("photos/check", {**BRAND, "x-priority": "ten"}, b"{}", 400, "bad-input"),
        ("photos/check", {**BRAND, "x-priority": "1\r\nx-priority: 2"}, b"1", 400, ""),
        ("photos/check", {**BRAND, "x-brand": "a\r\nx-brand: b"}, b"1", 403, ""),
        ("photos/check", BRAND, b"{", 400, "bad-input"),
        ("photos/check", BRAND, b"", 400, "bad-input"),
        ("photos", BRAND, b"{}", 400, "bad-input"),
        ("photos/check/more", BRAND, b"{}", 400, "bad-input"),
        ("photos/none", BRAND, b"{}", 404, "unknown-name"),
        ("none/check", BRAND, b"{}", 404, "unknown-name"),
        (
            "photos/check",
            {"x-organisation": "other", "x-brand": "fast"},
            b"{}",
            403,
            "unknown-name",
        ),
        ("photos/check", {**STREAM, "x-brand": "b"}, b"{}", 403, "unknown-name"),
    ],
)
def test_invalid_requests_are_refused(
    tmp_path: Path,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    status: int,
    reason: str,
) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path)
        await deployment.start()
        actual_status, response, _ = await _request(
            deployment, path, headers=headers, body=body
        )
        assert (actual_status, reason in response["reason"]) == (status, True)
        assert (response["ended"], response["not_run"]) == ("refused", True)
        assert not any(target.calls for target in deployment.targets)

    run(main)


def test_request_with_key_runs_once_and_answer_is_stored(tmp_path: Path) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path)
        await deployment.start()
        ledger = deployment.targets[2]
        ledger.is_holding = True
        keyed = {**BRAND, "idempotency-key": "k-1"}
        first = await _post(deployment, "photos/pay", keyed)
        while not ledger.calls:
            await curio.sleep(0)
        status, response, head = await _request(deployment, "photos/pay", headers=keyed)
        assert (status, response["reason"], response["not_run"]) == (
            409,
            "still-running",
            False,
        )
        assert "retry-after: 1\r\n" in head
        assert "x-retry-after-ms: 40" in head
        await ledger.resume.set()
        async with first:
            assert b'"repeated":false' in await read_all(first)
        while deployment.entry.in_flight:
            await curio.sleep(0)
        status, response, _ = await _request(deployment, "photos/pay", headers=keyed)
        assert (status, response["repeated"]) == (200, True)
        assert len(ledger.calls) == 1

    run(main)


def test_caller_disconnect_cancels_attempt(tmp_path: Path) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path)
        await deployment.start()
        encoders = deployment.targets[0]
        encoders.is_holding = True
        async with await _post(deployment, "photos/check"):
            while not encoders.calls:
                await curio.sleep(0)
        while not encoders.cancels or deployment.entry.in_flight:
            await curio.sleep(0)
        await encoders.resume.set()

    run(main)


def test_drain_finishes_streams_and_accepts_no_new_requests(tmp_path: Path) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path)
        await deployment.start()
        engines = deployment.targets[1]
        engines.is_holding = True
        streaming = await _post(deployment, "photos/check", STREAM)
        await read_until(streaming, b'"t0"')
        stopping = await curio.spawn(deployment.entry.stop)
        while not deployment.entry.server.draining:
            await curio.sleep(0)
        assert (await deployment.get("/v1/ready")).status == 503
        with pytest.raises(ConnectionError):
            while True:
                await (await connect(deployment.entry_address)).close()
                await curio.sleep(0)
        await engines.resume.set()
        async with streaming:
            rest = await read_all(streaming)
        assert rest.count(b"event: end\n") == 1
        assert await stopping.join() is True
        assert b'"kind":"stopped"' in (tmp_path / "entry.jsonl").read_bytes()

    run(main)


def test_control_hands_leadership_over_and_stops(tmp_path: Path) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path)
        await deployment.start()
        control, pool = deployment.control_address, deployment.pool
        for path, status in (
            ("/v1/live", 200),
            ("/v1/ready", 200),
            ("/metrics", 200),
            ("/v1/control/status", 200),
            ("/v1/control/documents-in-force", 200),
        ):
            assert (await pool.request(control, path, b"", 10, "GET")).status == status
        for path in ("commands", "documents", "targets"):
            answer = await pool.request(control, f"/v1/control/{path}", b"[", 10)
            assert answer.status == 400
        assert await deployment.control.stop() is True
        assert deployment.node.handed_over

    run(main)


def test_separate_callers_address_serves_only_services(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        deployment = Deployment(tmp_path, callers=Listen(ip="127.0.0.1", port=0))
        await deployment.start()
        status, _, _ = await _request(deployment, "photos/check")
        assert status == 404
        deployment.entry_address = public = deployment.entry.public_address
        status, _, _ = await _request(deployment, "photos/check")
        assert status == 200
        for path in ("/metrics", "/v1/cost", "/v1/in-force"):
            assert (await deployment.get(path)).status == 404
        for path in ("/v1/announcements", "/v1/peer"):
            answer = await deployment.pool.request(public, path, b"{}", 10)
            assert answer.status == 404
        assert (await deployment.get("/v1/ready")).status == 200

    run(main)
