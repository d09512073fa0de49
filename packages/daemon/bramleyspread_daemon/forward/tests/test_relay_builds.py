"""Relays between hosts of this build and of earlier ones, which frame nothing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._client import ConnectionClosedError
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon.forward import _relay as relay
from bramleyspread_daemon.forward._relay import RELAY_PATH, UNFRAMED_PROTOCOL
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward.tests.test_relay import (
    ANSWER,
    OWN,
    Site,
    answer_in_parts,
    fetch,
    run_relayed,
    stop_as_planned,
)
from bramleyspread_daemon.tests.loopback import (
    read_all,
    read_request,
    run,
    start_scripted_server,
    write_answer,
)
from bramleyspread_forwarding import EntryHost


def ask_as_an_earlier_build(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(relay, "_ask", _ask_unframed)


async def _ask_unframed(host: Address, target: Address, _: int) -> Connection:
    connection = await Connection.open(host)
    head = f"GET {RELAY_PATH}?{target} HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n"
    head += f"upgrade: {UNFRAMED_PROTOCOL}\r\n\r\n"
    await connection.send_all(head.encode())
    answer = await connection.read()
    assert answer.startswith(b"HTTP/1.1 101 ")
    assert f"upgrade: {UNFRAMED_PROTOCOL}\r\n".encode() in answer
    assert answer.endswith(b"\r\n\r\n")
    return connection


def test_askers_of_earlier_builds_are_relayed_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ask_as_an_earlier_build(monkeypatch)

    async def serve(connected: Any) -> None:  # noqa: ANN401
        for _ in range(2):
            await read_request(connected)
            await connected.sendall(write_answer(ANSWER))
        await read_request(connected)
        await connected.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + ANSWER)
        await connected.close()

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        for _ in range(3):
            assert await fetch(pool, target) == ANSWER
        assert (pool.opened, pool.reused) == (1, 2)

    run_relayed(serve, action)


# Guards against a planned stop that looks like the end of an answer to earlier builds.
def test_planned_stop_resets_askers_of_earlier_builds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ask_as_an_earlier_build(monkeypatch)

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        task = await curio.spawn(fetch, pool, target)
        await curio.sleep(0.1)
        await stop_as_planned(site)
        with pytest.raises(curio.TaskError) as caught:
            await curio.timeout_after(1.0, task.join)
        assert isinstance(caught.value.__cause__, ConnectionClosedError)

    run_relayed(answer_in_parts, action)


class EarlierRelay:
    """Host of an earlier build, which relays bytes as they are.

    :param target: the target that it connects to.
    """

    def __init__(self, target: Address) -> None:
        self._target = target

    async def serve(self, asker: Any) -> None:  # noqa: ANN401
        """Switch to the protocol of earlier builds whatever the asker offers."""
        if (await read_request(asker)).startswith(b"GET /v1/live "):
            await asker.sendall(write_answer(b'{"live":true}'))
            return
        switched = f"HTTP/1.1 101 \r\nupgrade: {UNFRAMED_PROTOCOL}\r\n"
        await asker.sendall(f"{switched}connection: upgrade\r\n\r\n".encode())
        target = await Connection.open(self._target)
        task = await curio.spawn(_copy, asker, target)
        while data := await target.read():
            await asker.sendall(data)
        await task.cancel()
        await target.close()
        await asker.close()


async def _copy(asker: Any, target: Connection) -> None:  # noqa: ANN401
    while data := await asker.recv(65_536):
        await target.send_all(data)


def run_at_earlier_relay(
    script: Callable[[Any], Awaitable[None]],
    action: Callable[[UpstreamPool, Address], Awaitable[None]],
) -> None:
    async def main() -> None:
        site = Site()
        _, target = await start_scripted_server(script)
        _, address = await start_scripted_server(EarlierRelay(target).serve)
        site.known.add(target)
        pool = await site.start(EntryHost("earlier", OWN.zone, address))
        await action(pool, target)

    run(main)


def test_hosts_of_earlier_builds_relay() -> None:
    async def serve(connected: Any) -> None:  # noqa: ANN401
        for _ in range(2):
            await read_request(connected)
            await connected.sendall(write_answer(ANSWER))
        await read_all(connected)

    async def action(pool: UpstreamPool, target: Address) -> None:
        for _ in range(2):
            assert await fetch(pool, target) == ANSWER

    run_at_earlier_relay(serve, action)


async def answer_without_a_length(connected: Any) -> None:  # noqa: ANN401
    await read_request(connected)
    await connected.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
    await connected.close()


def test_hosts_of_earlier_builds_relay_answers_without_a_length() -> None:
    async def action(pool: UpstreamPool, target: Address) -> None:
        assert await fetch(pool, target) == b"part"

    run_at_earlier_relay(answer_without_a_length, action)


# Guards against half an answer by way of a host of an earlier build that was killed.
def test_answer_whose_relay_of_an_earlier_build_ended_is_not_whole() -> None:
    async def main() -> None:
        site = Site()
        _, target = await start_scripted_server(answer_without_a_length)
        listening = curio.socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen(1)
        address = Address(*listening.getsockname())

        async def relay_once() -> None:
            asker, _ = await listening.accept()
            await listening.close()
            await EarlierRelay(target).serve(asker)

        await curio.spawn(relay_once, daemon=True)
        site.known.add(target)
        pool = await site.start(EntryHost("earlier", OWN.zone, address))
        with pytest.raises(ConnectionClosedError):
            await fetch(pool, target)

    run(main)


# Guards against half an answer by way of a host of an earlier build that was killed,
# while the operating system still accepts connections for it.
def test_answer_whose_relay_is_not_heard_of_again_is_not_whole() -> None:
    async def main() -> None:
        site = Site()
        _, target = await start_scripted_server(answer_without_a_length)
        earlier, served = EarlierRelay(target), 0

        async def serve(asker: Any) -> None:  # noqa: ANN401
            nonlocal served
            served += 1
            if served == 1:
                await earlier.serve(asker)
            else:
                await asker.close()

        _, address = await start_scripted_server(serve)
        site.known.add(target)
        pool = await site.start(EntryHost("earlier", OWN.zone, address))
        with pytest.raises(ConnectionClosedError):
            await fetch(pool, target)

    run(main)
