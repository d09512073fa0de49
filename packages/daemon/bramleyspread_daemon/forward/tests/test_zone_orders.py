"""Operators' orders at a control host: the leader's answers, delays and bad names."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, cast

import curio
import pytest

from bramleyspread_core import (
    Address,
    Command,
    CommandResult,
    NotLeader,
    ReadZoneDrains,
    Rejected,
    SetZoneDrain,
    Undecided,
    ZoneDrainAccepted,
    ZoneDrains,
    ZoneDrainsChanged,
    ZoneDrainsRead,
    ZoneDrainsReport,
    ZoneOrder,
    decode_json,
    encode_json,
)
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon.forward._arrival_times import ArrivalTimes
from bramleyspread_daemon.forward._control import (
    FEED_HOLD_S,
    ZONE_DRAINS_PATH,
    ForwardControl,
)
from bramleyspread_daemon.forward._feed_link import FEED_PATH
from bramleyspread_daemon.forward._zone_orders import (
    MAX_DECIDED_ORDERS,
    MAX_ORDERS,
    RETRY_S,
    ZoneOrders,
)
from bramleyspread_daemon.forward.tests.document_site import DocumentNode, make_control
from bramleyspread_daemon.forward.tests.simulated_site import KeptReply
from bramleyspread_daemon.tests.virtual_time import run_in_virtual_time
from bramleyspread_forwarding import (
    EntryHost,
    FeedPage,
    FeedQuery,
    LiveHosts,
    MalformedRequest,
)

ADDRESS = Address("10.0.0.1", 7100)
DRAIN, UNDRAIN = ZoneOrder("north", True), ZoneOrder("north", False)


class Leader:
    """Decides as the leader of the control hosts does.

    :param delay_s: how long each decision takes.
    """

    def __init__(self, delay_s: float = 0.01) -> None:
        self.drains = ZoneDrains()
        self.delay_s = delay_s
        #: Results that are given in place of decisions, the first one first.
        self.script: list[CommandResult] = []
        #: Number of acknowledged repeats.
        self.repeats = 0
        #: The commands that were received.
        self.commands: list[SetZoneDrain] = []
        self.deciding = 0
        self.most_deciding = 0

    async def decide(self, command: Command) -> CommandResult:
        self.deciding += 1
        self.most_deciding = max(self.most_deciding, self.deciding)
        await curio.sleep(self.delay_s)
        self.deciding -= 1
        if isinstance(command, ReadZoneDrains):
            return ZoneDrainsRead(self.drains)
        assert isinstance(command, SetZoneDrain)
        self.commands.append(command)
        return self.script.pop(0) if self.script else self._apply(command)

    def _apply(self, command: SetZoneDrain) -> CommandResult:
        drains, marker = self.drains, f"1.{self.repeats}"
        if drains.is_drained(command.zone) == command.drained:
            self.repeats += 1
            return ZoneDrainAccepted(drains.revision, is_repeat=True)
        if (command.revision, command.marker) != (drains.revision, marker):
            return ZoneDrainsChanged(drains.revision, marker)
        changed = drains.drain(command.zone, command.at_ms)
        self.drains = changed if command.drained else drains.undrain(command.zone)
        return ZoneDrainAccepted(self.drains.revision)


def make_orders(leader: Leader, *zones: str) -> ZoneOrders:
    return ZoneOrders(DocumentNode(None, ()), zones, leader.decide)


def make_reply() -> Reply:
    return Reply(cast("Any", KeptReply()))


def run(monkeypatch: pytest.MonkeyPatch, action: Callable[[], Awaitable[Any]]) -> Any:  # noqa: ANN401
    return run_in_virtual_time(monkeypatch, action)


async def wait_awake(orders: ZoneOrders, seconds: float) -> None:
    """Let time pass in a process that runs."""
    until = read_monotonic() + seconds
    while read_monotonic() < until:
        await curio.sleep(0.02)
        orders.observe(read_monotonic())


def test_start_stop_and_start_are_acknowledged(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = Leader()

    async def main() -> list[Any]:
        orders = make_orders(leader, "north")
        return [await orders.run(each, make_reply()) for each in (DRAIN, UNDRAIN) * 2]

    revisions = [each.revision for each in run(monkeypatch, main)]
    assert revisions == [1, 2, 3, 4]


# Guards against a host that gives up, or refuses, when another order was decided first.
def test_order_is_tried_again_on_the_newer_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader()
    leader.script = [ZoneDrainsChanged(7, "3.1"), ZoneDrainsChanged(8, "3.1")]

    async def main() -> Any:  # noqa: ANN401
        return await make_orders(leader).run(DRAIN, make_reply())

    assert run(monkeypatch, main) == ZoneDrainAccepted(1)
    bases = [(each.revision, each.marker) for each in leader.commands]
    assert bases[:3] == [(0, ""), (7, "3.1"), (8, "3.1")]


# Guards against an order that is tried again when its caller may have given another.
def test_order_is_not_tried_again_after_its_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader(delay_s=RETRY_S / 2)
    leader.script = [ZoneDrainsChanged(at, "1.0") for at in range(1, 9)]

    async def main() -> Any:  # noqa: ANN401
        return await make_orders(leader).run(DRAIN, make_reply())

    assert isinstance(run(monkeypatch, main), Undecided)
    assert len(leader.commands) == 2


@pytest.mark.parametrize("result", [NotLeader(), Undecided("no quorum")])
def test_order_without_a_leader_gets_no_decision(
    monkeypatch: pytest.MonkeyPatch, result: CommandResult
) -> None:
    leader = Leader()
    leader.script = [result] * 100

    async def main() -> tuple[Any, float]:
        begun = read_monotonic()
        answer = await make_orders(leader).run(DRAIN, make_reply())
        return answer, read_monotonic() - begun

    answer, took_s = run(monkeypatch, main)
    assert isinstance(answer, Undecided)
    assert took_s < 1.0


def test_order_is_acknowledged_once_a_leader_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader()
    leader.script = [NotLeader(), Undecided("leadership was lost; resend it")]

    async def main() -> Any:  # noqa: ANN401
        return await make_orders(leader).run(DRAIN, make_reply())

    assert run(monkeypatch, main) == ZoneDrainAccepted(1)


# Guards against a host that reads an order from before its suspension as a new one, and
# so undoes what operators have ordered elsewhere meanwhile.
def test_order_that_waited_during_a_suspension_changes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader()

    async def main() -> list[Any]:
        orders = make_orders(leader)
        await wait_awake(orders, 1.0)
        await curio.sleep(3.0)
        results = [await orders.run(DRAIN, make_reply())]
        await wait_awake(orders, 1.5)
        return [*results, await orders.run(DRAIN, make_reply())]

    late, fresh = run(monkeypatch, main)
    assert late == Undecided("the order arrived too long ago")
    assert fresh == ZoneDrainAccepted(1)


# Guards against a host that is suspended between its attempts, and goes on afterwards.
def test_order_is_not_tried_again_after_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader(delay_s=0.01)
    leader.script = [ZoneDrainsChanged(1, "1.0")]

    async def main() -> Any:  # noqa: ANN401
        orders = make_orders(leader)
        task = await curio.spawn(orders.run, DRAIN, make_reply())
        leader.delay_s = 5.0
        return await task.join()

    assert isinstance(run(monkeypatch, main), Undecided)
    assert len(leader.commands) == 1


def test_order_of_a_caller_that_has_left_is_not_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader()

    async def main() -> Any:  # noqa: ANN401
        reply = make_reply()
        reply.caller_disconnected = True
        return await make_orders(leader).run(DRAIN, reply)

    assert isinstance(run(monkeypatch, main), Undecided)
    assert not leader.commands


# Guards against a process whose late ticks make all orders look old.
def test_short_delays_of_the_process_leave_time_for_orders() -> None:
    times = ArrivalTimes(0.0)
    for number in range(1, 100):
        now = number * 0.2
        times.observe(now)
        assert now - times.find_earliest(now) <= 0.4


@pytest.mark.parametrize(
    ("zone", "status"),
    [("", 400), ("n" * 256, 400), ("a\tb", 400), ("a\udcff", 400), ("west", 404)],
)
def test_bad_names_and_unknown_zones_are_refused(
    monkeypatch: pytest.MonkeyPatch, zone: str, status: int
) -> None:
    leader = Leader()

    async def main() -> Any:  # noqa: ANN401
        order = ZoneOrder(zone, True)
        return await make_orders(leader, "north", "south").run(order, make_reply())

    result = run(monkeypatch, main)
    assert isinstance(result, MalformedRequest)
    assert result.status == status
    assert not leader.commands


def test_all_zones_may_be_drained_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = Leader()

    async def main() -> list[Any]:
        orders = make_orders(leader, "north", "south")
        zones = [ZoneOrder(each, True) for each in ("north", "south")]
        tasks = [await curio.spawn(orders.run, each, make_reply()) for each in zones]
        return [await each.join() for each in tasks]

    results = run(monkeypatch, main)
    assert all(isinstance(each, ZoneDrainAccepted) for each in results)
    assert len(leader.drains.drained) == 2


# Guards against a drain that can't be withdrawn since the settings have changed.
def test_drained_zone_that_is_not_known_any_more_can_be_undrained(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader()
    leader.drains = ZoneDrains().drain("north", 1)
    node = DocumentNode(None, ())
    node.zone_drains = leader.drains

    async def main() -> Any:  # noqa: ANN401
        orders = ZoneOrders(node, ("south",), leader.decide)
        return await orders.run(UNDRAIN, make_reply())

    assert run(monkeypatch, main) == ZoneDrainAccepted(2)


# Guards against a flood of orders that takes memory or time from other work without
# bound, and against orders that are refused in it.
def test_thousands_of_orders_are_bounded_and_all_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = Leader(delay_s=0.002)

    async def main() -> list[Any]:
        orders = make_orders(leader)
        tasks = [
            await curio.spawn(orders.run, DRAIN, make_reply())
            for _ in range(MAX_ORDERS + 500)
        ]
        return [await each.join() for each in tasks]

    results = run(monkeypatch, main)
    accepted = [each for each in results if isinstance(each, ZoneDrainAccepted)]
    assert len(accepted) == MAX_ORDERS
    assert all(isinstance(each, ZoneDrainAccepted | Undecided) for each in results)
    assert leader.most_deciding == MAX_DECIDED_ORDERS


class Site:
    """A control host whose node decides as the leader."""

    def __init__(self) -> None:
        self.node = DocumentNode(None, (ADDRESS,))
        self.control: ForwardControl = make_control(self.node, ADDRESS)
        self.leader = Leader()
        self.control.attach(self.propose)

    async def propose(
        self, command: Command, on_result: Callable[[CommandResult], None]
    ) -> None:
        on_result(await self.leader.decide(command))
        self.node.zone_drains = self.leader.drains

    async def call(self, method: str, path: str, body: bytes = b"") -> KeptReply:
        kept = KeptReply()
        route = self.control.list_routes()[method, path]
        request = HttpRequest(method, path, "", {}, body)
        await route(request, Reply(cast("Any", kept)))
        return kept

    async def query(self, drains_revision: int, host: str = "e") -> KeptReply:
        """Ask for changes as an entry host that knows everything else."""
        query = FeedQuery(
            asker=EntryHost(host, "north", ADDRESS),
            version=0,
            incarnation="life-1",
            entries_revision=1,
            drains_revision=drains_revision,
        )
        return await self.call("POST", FEED_PATH, encode_json(query))


def read_page(kept: KeptReply) -> FeedPage:
    assert kept.response is not None
    page: FeedPage = decode_json(kept.response.body, FeedPage)
    return page


# Guards against an entry host that hears of a drain only when its query has expired.
def test_held_query_is_answered_when_the_drains_change(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        site = Site()
        held = await site.query(0)
        assert held.response is None
        reply = await site.call("POST", ZONE_DRAINS_PATH, encode_json(DRAIN))
        await curio.sleep(0.1)
        assert reply.response is not None
        accepted: CommandResult = decode_json(reply.response.body, CommandResult)
        assert accepted == ZoneDrainAccepted(1)
        assert read_page(held).zone_drains == site.leader.drains
        assert read_page(await site.query(0, "f")).zone_drains == site.leader.drains
        assert (await site.query(1)).response is None

    run(monkeypatch, main)


# Guards against an endless loop of queries and answers with an entry host of an earlier
# build, which never names the revision that it was told.
def test_host_that_does_not_confirm_drains_is_answered_at_once_only_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        site = Site()
        site.node.zone_drains = ZoneDrains().drain("north", 5)
        assert read_page(await site.query(0)).zone_drains == site.node.zone_drains
        held = await site.query(0)
        assert held.response is None
        await curio.sleep(FEED_HOLD_S)
        await site.control.tick()
        assert read_page(held).zone_drains == site.node.zone_drains
        site.node.zone_drains = site.node.zone_drains.undrain("north")
        assert read_page(await site.query(0)).zone_drains == site.node.zone_drains

    run(monkeypatch, main)


def test_report_lists_the_revision_that_each_host_obeys(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> ZoneDrainsReport:
        site = Site()
        site.leader.drains = site.node.zone_drains = ZoneDrains().drain("north", 5)
        await site.query(1, "e")
        await site.query(0, "f")
        reply = await site.call("GET", ZONE_DRAINS_PATH)
        await curio.sleep(0.1)
        assert reply.response is not None
        return decode_json(reply.response.body, ZoneDrainsReport)

    report = run(monkeypatch, main)
    assert report.drains.is_drained("north")
    assert [(each.host, each.revision) for each in report.hosts] == [("e", 1), ("f", 0)]


def test_report_without_a_leader_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> int:
        control = make_control(DocumentNode(None, (ADDRESS,)), ADDRESS)
        kept = KeptReply()
        route = control.list_routes()["GET", ZONE_DRAINS_PATH]
        request = HttpRequest("GET", ZONE_DRAINS_PATH, "", {}, b"")
        await route(request, Reply(cast("Any", kept)))
        await curio.sleep(0.1)
        assert kept.response is not None
        return kept.response.status

    assert run(monkeypatch, main) == 503


def test_order_of_the_tool_with_a_bad_name_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> CommandResult:
        site = Site()
        body = encode_json(ZoneOrder("", True))
        reply = await site.call("POST", ZONE_DRAINS_PATH, body)
        await curio.sleep(0.1)
        assert reply.response is not None
        return decode_json(reply.response.body, CommandResult)

    assert isinstance(run(monkeypatch, main), Rejected)


# Guards against a host that is listed with a lower revision than it obeys, since its
# queries arrive out of order, or with that of its former process.
def test_revision_of_a_host_rises_within_one_process() -> None:
    hosts = LiveHosts(1.5)
    first, second = (EntryHost("e", "z", ADDRESS, started) for started in (1, 2))
    hosts.record(first, 0.0, 2)
    hosts.record(first, 0.0, 1)
    assert [each.revision for each in hosts.list_obeyed(0.0)] == [2]
    hosts.record(second, 0.0, 0)
    hosts.record(first, 0.0, 2)
    assert [each.revision for each in hosts.list_obeyed(0.0)] == [0]
    assert hosts.revision == 2
