"""Tests that the client finds the leader and resends a command until decided."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bramleyspread_core import (
    Address,
    Announcement,
    Brand,
    Claim,
    Claimed,
    ClaimKey,
    CommandResult,
    DocumentsPage,
    DocumentsQuery,
    HostName,
    NotLeader,
    PoolName,
    RequestId,
    ServiceName,
    Settle,
    Settled,
    TargetName,
    TargetsReport,
    Undecided,
    ZoneName,
    encode_json,
)
from bramleyspread_daemon._clock import ProcessClock
from bramleyspread_daemon._control_client import (
    COMMANDS_PATH,
    DOCUMENTS_PATH,
    TARGETS_PATH,
    ControlClient,
)
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.tests.loopback import run, start_server

KEY = ClaimKey(Brand("o", "b"), ServiceName("s"), "k")
CLAIM = Claim(KEY, RequestId("r-1"), "d", HostName("entry-1"), 1_000)
UNUSED_ADDRESS = Address("127.0.0.1", 1)


class _FakeControlHost:
    """A control host that answers from a list and repeats the last answer."""

    def __init__(self, results: Sequence[CommandResult]) -> None:
        self.results = list(results)
        self.bodies: list[bytes] = []
        self.poll_count = 0
        self.address = UNUSED_ADDRESS

    async def start(self) -> None:
        _, self.address = await start_server(
            ("POST", COMMANDS_PATH, self._answer_command),
            ("POST", DOCUMENTS_PATH, self._answer_documents),
            ("POST", TARGETS_PATH, self._answer_targets),
        )

    async def _answer_command(self, request: HttpRequest, reply: Reply) -> None:
        self.bodies.append(request.body)
        has_more = len(self.results) > 1
        reply.send_json(self.results.pop(0) if has_more else self.results[0])

    async def _answer_documents(self, _: HttpRequest, reply: Reply) -> None:
        self.poll_count += 1
        reply.send_json(DocumentsPage(7))

    async def _answer_targets(self, request: HttpRequest, reply: Reply) -> None:
        self.bodies.append(request.body)
        if isinstance(self.results[0], NotLeader):
            reply.send_json(self.results[0])
        else:
            reply.send(204, b"")


def _make_client(*addresses: Address) -> ControlClient:
    hosts = [(each, ZoneName(f"z-{n}")) for n, each in enumerate(addresses)]
    return ControlClient(
        hosts, ZoneName("z-0"), ConnectionPool(ProcessClock()), Random(1)
    )


def test_follows_leader_hint_and_remembers_leader() -> None:
    async def main() -> None:
        leader, other = _FakeControlHost([Claimed()]), _FakeControlHost([])
        await leader.start()
        other.results = [NotLeader(leader.address)]
        await other.start()
        client = _make_client(other.address, leader.address)
        for _ in range(3):
            assert await client.submit(CLAIM, 10) == Claimed()
        assert len(other.bodies) <= 1
        assert leader.bodies == [encode_json(CLAIM)] * 3

    run(main)


def test_resends_same_command_after_failures() -> None:
    async def main() -> None:
        control = _FakeControlHost([Undecided("x"), NotLeader(), Claimed()])
        await control.start()
        client = _make_client(UNUSED_ADDRESS, control.address)
        assert await client.submit(CLAIM, 10) == Claimed()
        assert control.bodies == [encode_json(CLAIM)] * 3

    run(main)


def test_hint_to_unknown_host_is_not_followed() -> None:
    async def main() -> None:
        control = _FakeControlHost([NotLeader(Address("127.0.0.1", 2)), Claimed()])
        await control.start()
        client = _make_client(control.address)
        assert await client.submit(CLAIM, 10) == Claimed()

    run(main)


def test_no_leader_before_timeout_is_undecided() -> None:
    async def main() -> None:
        result = await _make_client(UNUSED_ADDRESS).submit(CLAIM, 0.05)
        assert isinstance(result, Undecided)
        assert "127.0.0.1:1" in result.why
        assert isinstance(await _make_client().submit(CLAIM, 1), Undecided)

    run(main)


def test_settlement_is_resent_after_many_failures() -> None:
    async def main() -> None:
        control = _FakeControlHost([Undecided("x")] * 4 + [Settled()])
        await control.start()
        client = _make_client(control.address)
        settle = Settle(KEY, RequestId("r-1"), "unknown")
        assert await client.submit(settle, 10) == Settled()
        assert control.bodies == [encode_json(settle)] * 5

    run(main)


def test_polls_rotate_over_all_hosts_and_prefer_own_zone() -> None:
    async def main() -> None:
        controls = [_FakeControlHost([Claimed()]) for _ in range(3)]
        for each in controls:
            await each.start()
        client = _make_client(*(each.address for each in controls))
        query = DocumentsQuery(HostName("e"), "z-0", UNUSED_ADDRESS, 0)
        for _ in range(12):
            assert await client.poll_documents(query) == DocumentsPage(7)
        assert controls[0].poll_count == 8
        assert controls[1].poll_count == controls[2].poll_count == 2
        assert await _make_client(UNUSED_ADDRESS).poll_documents(query) is None

    run(main)


def test_targets_are_reported_to_the_leader() -> None:
    async def main() -> None:
        leader, other = _FakeControlHost([Claimed()]), _FakeControlHost([])
        await leader.start()
        other.results = [NotLeader(leader.address)]
        await other.start()
        announcement = Announcement(
            TargetName("t"),
            1,
            1,
            PoolName(ServiceName("s"), "p"),
            UNUSED_ADDRESS,
            ZoneName("z"),
        )
        report = TargetsReport("entry-1", (announcement,))
        client = _make_client(other.address, leader.address)
        assert await client.report_targets(report)
        assert leader.bodies == [encode_json(report)]
        assert not await _make_client(UNUSED_ADDRESS).report_targets(report)

    run(main)
