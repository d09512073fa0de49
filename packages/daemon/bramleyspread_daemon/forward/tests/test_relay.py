"""Connections to targets that another host relays, over real sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._client import (
    ConnectionClosedError,
    RequestNotSentError,
    TargetRefusedError,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._server import HttpServer
from bramleyspread_daemon.forward import _target_connector as target_connector
from bramleyspread_daemon.forward import _upstream_pool as upstream_pool
from bramleyspread_daemon.forward._relay import (
    RELAY_PATH,
    RelayService,
    open_relayed,
)
from bramleyspread_daemon.forward._target_connector import (
    RelayUnavailableError,
    TargetConnector,
)
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.tests.loopback import (
    read_all,
    read_request,
    read_until,
    run,
    start_scripted_server,
    start_server,
    write_answer,
)
from bramleyspread_forwarding import EntryHost, RelayChoice, TargetPaths

OWN = EntryHost("own", "z", Address("127.0.0.1", 1))
#: Bytes of an answer, and of those that its target sends at once.
ANSWER = b"x" * 300_000


class Site:
    """A host that relays, and one that has lost its paths to the targets."""

    def __init__(self) -> None:
        self.known: set[Address] = set()
        self.server: HttpServer | None = None
        self.address = Address("127.0.0.1", 0)
        self.relay = UpstreamPool(None, lambda pool: self._connect(pool, ()))
        assert self.relay.connector is not None
        self.is_stopping = False
        #: Revisions of the zone drains that both hosts obey; the targets are drained.
        self.relay_revision = self.asker_revision = 0
        self.service = RelayService(
            self.relay.connector,
            lambda x, revision: (x in self.known and revision >= self.relay_revision),
            lambda: self.is_stopping,
        )

    async def start(self, *others: EntryHost) -> UpstreamPool:
        """Start the host that relays, and return the pool of one without a path.

        :param others: more hosts that it may ask.
        """
        routes = ("GET", RELAY_PATH, self.service.serve)
        self.server, self.address = await start_server(routes)
        hosts = (EntryHost("relay", "far", self.address), *others)
        return UpstreamPool(None, lambda pool: self._connect(pool, hosts, lost=True))

    def _connect(
        self, pool: UpstreamPool, others: tuple[EntryHost, ...], lost: bool = False
    ) -> TargetConnector[UpstreamConnection]:
        async def open_directly(address: Address, timeout: float) -> UpstreamConnection:
            if lost:
                raise TargetRefusedError("not connected: partitioned")
            return await pool.open_directly(address, timeout)

        async def open_through(host: EntryHost, address: Address) -> UpstreamConnection:
            connection = await open_relayed(host.address, address, self.asker_revision)
            return pool.wrap_relayed(connection, address)

        return TargetConnector(
            open_directly,
            open_through,
            RelayChoice(OWN, Random(1)),
            lambda: (OWN, *others),
            lambda: self.known,
            pool.close_idle_to,
        )


def run_relayed(
    script: Callable[[Any], Awaitable[None]],
    action: Callable[[Site, UpstreamPool, Address], Awaitable[None]],
) -> None:
    """Run an action at a host that reaches a scripted target only through another."""

    async def main() -> None:
        site = Site()
        _, target = await start_scripted_server(script)
        site.known.add(target)
        await action(site, await site.start(), target)

    run(main)


async def fetch(pool: UpstreamPool, target: Address, path: str = "/") -> bytes:
    connection = await pool.acquire(target, 1.0)
    headers = [(b"Host", b"h"), (b"Content-Length", b"4")]
    await connection.send("POST", path, headers, b"body")
    await connection.read_head()
    body = await connection.read_body()
    await pool.release_connection(connection, 5.0)
    return body


# Guards against new connections to a drained zone for a host that learns of the drain
# late, and against one that knows it and can't end what is in flight there.
@pytest.mark.parametrize("asker_revision", [0, 1, 2, 3])
def test_only_hosts_that_know_of_a_drain_are_relayed_to_its_zone(
    asker_revision: int,
) -> None:
    requests: list[bytes] = []

    async def serve(connected: Any) -> None:  # noqa: ANN401
        requests.append(await read_request(connected))
        await connected.sendall(write_answer(ANSWER))

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        site.relay_revision, site.asker_revision = 2, asker_revision
        if asker_revision >= 2:
            assert await fetch(pool, target) == ANSWER
        else:
            with pytest.raises(RequestNotSentError):
                await fetch(pool, target)

    run_relayed(serve, action)
    assert len(requests) == (asker_revision >= 2)


def test_answers_are_relayed_whole_on_one_connection() -> None:
    requests: list[bytes] = []

    async def serve(connected: Any) -> None:  # noqa: ANN401
        for _ in range(3):
            requests.append(await read_request(connected))
            await connected.sendall(write_answer(ANSWER))

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        for _ in range(3):
            assert await fetch(pool, target) == ANSWER
        assert (pool.opened, pool.reused, site.service.open) == (1, 2, 1)

    run_relayed(serve, action)
    assert all(each.endswith(b"\r\n\r\nbody") for each in requests)


def test_events_are_relayed_as_they_come() -> None:
    go_on = curio.Event()

    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_request(connected)
        await connected.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\none\n")
        await go_on.wait()
        await connected.sendall(b"two\n")

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        connection = await pool.acquire(target, 1.0)
        await connection.send("GET", "/", [(b"Host", b"h")], b"")
        await connection.read_head()
        assert await connection.read_chunk() == b"one\n"
        await go_on.set()
        assert await connection.read_chunk() == b"two\n"

    run_relayed(serve, action)


# Guards against an answer without a length that was reset and is taken for whole.
@pytest.mark.parametrize("resets", [False, True])
def test_ends_and_resets_of_answers_are_told_apart(resets: bool) -> None:
    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_request(connected)
        await connected.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        await curio.sleep(0.05)
        if resets:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            connected.setsockopt(curio.socket.SOL_SOCKET, 13, linger)
        await connected.close()

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        if resets:
            with pytest.raises(ConnectionClosedError):
                await fetch(pool, target)
        else:
            assert await fetch(pool, target) == b"part"

    run_relayed(serve, action)


async def answer_in_parts(connected: Any) -> None:  # noqa: ANN401
    """Begin an answer without a length, which never ends."""
    await read_request(connected)
    await connected.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + ANSWER)
    await read_all(connected)


async def end_like_a_killed_process(site: Site) -> None:
    """Close a relay's connections as the operating system does for a process."""
    assert site.server is not None
    await site.server.close_connections()


async def stop_as_planned(site: Site) -> None:
    await site.service.stop()
    await end_like_a_killed_process(site)


# Guards against half an answer without a length that looks whole since its relay ended.
@pytest.mark.parametrize("end", [end_like_a_killed_process, stop_as_planned])
def test_answer_whose_relay_ended_is_not_whole(
    end: Callable[[Site], Awaitable[None]],
) -> None:
    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        task = await curio.spawn(fetch, pool, target)
        await curio.sleep(0.1)
        await end(site)
        with pytest.raises(curio.TaskError) as caught:
            await curio.timeout_after(1.0, task.join)
        assert isinstance(caught.value.__cause__, ConnectionClosedError)

    run_relayed(answer_in_parts, action)


# Guards against an error that only the writer of a relay sees, so that its reader takes
# the connection for closed in the ordinary way.
def test_target_that_resets_while_it_is_sent_a_body_has_not_ended() -> None:
    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_until(connected, b"\r\n\r\n")
        await connected.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        await curio.sleep(0.1)
        await connected.close()

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        connection = await pool.acquire(target, 1.0)
        size = 20_000_000
        headers = [(b"Host", b"h"), (b"Content-Length", b"%d" % size)]
        await connection.send("POST", "/", headers, bytes(size))
        with pytest.raises(ConnectionClosedError):
            await connection.read_head()
            await connection.read_body()
        await connection.close()

    run_relayed(serve, action)


def test_target_notices_that_the_caller_left() -> None:
    left = curio.Event()

    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_request(connected)
        assert await read_all(connected) == b""
        await left.set()

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        connection = await pool.acquire(target, 1.0)
        headers = [(b"Host", b"h"), (b"Content-Length", b"0")]
        await connection.send("POST", "/", headers, b"")
        await connection.close()
        await curio.timeout_after(1.0, left.wait)
        assert site.service.open == 0

    run_relayed(serve, action)


async def ignore(connected: Any) -> None:  # noqa: ANN401
    await read_all(connected)


def test_host_that_stops_lets_relayed_requests_finish() -> None:
    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_request(connected)
        await curio.sleep(0.2)
        await connected.sendall(write_answer(b"late"))

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        task = await curio.spawn(fetch, pool, target)
        await curio.sleep(0.05)
        assert site.server is not None
        await site.server.stop_accepting()
        assert site.server.open_replies == 1
        assert await task.join() == b"late"

    run_relayed(serve, action)


# Guards against hosts that can't stop because others go on using their connections.
def test_host_that_stops_is_left_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_pool, "RELAYED_MAX_AGE_S", 0.3)

    async def serve(connected: Any) -> None:  # noqa: ANN401
        for _ in range(20):
            await read_request(connected)
            await connected.sendall(write_answer(b"done"))

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        assert await fetch(pool, target) == b"done"
        site.is_stopping = True
        served = 0
        with pytest.raises(RequestNotSentError):
            for _ in range(20):
                assert await fetch(pool, target) == b"done"
                served += 1
                await curio.sleep(0.05)
        assert served > 0
        assert site.service.open == 0

    run_relayed(serve, action)


def test_only_known_targets_are_relayed_to() -> None:
    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        site.known.clear()
        relay = pool.connector
        assert relay is not None
        with pytest.raises(RequestNotSentError):
            await pool.acquire(target, 1.0)
        assert site.service.open == 0

    run_relayed(ignore, action)


# Guards against a relay that has lost its paths too, and takes targets for ended.
def test_relay_reports_a_refusal_only_if_it_reaches_others() -> None:
    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        ended = Address("127.0.0.1", 1)
        other_ended = Address("127.0.0.1", 2)
        connector = site.relay.connector
        assert connector is not None
        site.known |= {ended, other_ended}
        with pytest.raises(TargetRefusedError):
            await connector.open_for_other_host(ended, 0.2)
        site.known.discard(target)
        connector.paths = TargetPaths()
        with pytest.raises(RelayUnavailableError):
            await connector.open_for_other_host(ended, 0.2)

    run_relayed(ignore, action)


# Guards against requests that wait for a host which accepts connections and is silent.
def test_silent_host_is_passed_over() -> None:
    asked: list[bytes] = []

    async def serve(connected: Any) -> None:  # noqa: ANN401
        await read_request(connected)
        await connected.sendall(write_answer(b"done"))

    async def stay_silent(connected: Any) -> None:  # noqa: ANN401
        asked.append(await read_request(connected))
        await read_all(connected)

    async def main() -> None:
        site = Site()
        _, target = await start_scripted_server(serve)
        _, address = await start_scripted_server(stay_silent)
        site.known.add(target)
        pool = await site.start(EntryHost("silent", OWN.zone, address))
        connected = await curio.timeout_after(0.3, pool.acquire, target, 1.0)
        assert len(asked) == 1
        await connected.close()

    run(main)


# Guards against connections that stay open at hosts whose answer came too late.
def test_later_answers_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(target_connector, "NEXT_RELAY_DELAY_S", 0.0)

    async def main() -> None:
        site, other = Site(), Site()
        _, target = await start_scripted_server(ignore)
        site.known.add(target)
        other.known.add(target)
        routes = ("GET", RELAY_PATH, other.service.serve)
        _, address = await start_server(routes)
        pool = await site.start(EntryHost("other", OWN.zone, address))
        connection = await pool.acquire(target, 1.0)
        await curio.sleep(0.1)
        assert site.service.open + other.service.open == 1
        await connection.close()
        await curio.sleep(0.1)
        assert site.service.open + other.service.open == 0

    run(main)


# Guards against a crash that several hosts see, and each takes for its own lost path.
@pytest.mark.parametrize("others_reached", [True, False])
def test_refusal_that_all_hosts_have_just_met_counts_if_others_are_reached(
    others_reached: bool,
) -> None:
    ended = Address("127.0.0.1", 1)

    async def action(site: Site, pool: UpstreamPool, target: Address) -> None:
        if not others_reached:
            site.known.clear()
            site.known.add(Address("127.0.0.1", 2))
        site.known.add(ended)
        assert site.relay.connector is not None
        now = read_monotonic()
        site.relay.connector.paths.record_failure(ended, now, is_silent=False)
        host = EntryHost("relay", "far", site.address)
        own = UpstreamPool(None, lambda pool: site._connect(pool, (host,)))
        assert await own.is_refused(ended) is others_reached

    run_relayed(ignore, action)
