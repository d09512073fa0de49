"""Requests whose permission to be sent ends between the choice and the sending."""

from __future__ import annotations

import time
from collections.abc import Callable
from types import SimpleNamespace

import curio
import msgspec
import pytest

from bramleyspread_core import Address, ForwardRoute, ZoneDrains
from bramleyspread_daemon import _clock
from bramleyspread_daemon._client import RequestNotSentError
from bramleyspread_daemon.forward._attempt import Attempt
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    ROUTE,
    STREAM,
    FakeConnection,
    FakePlacement,
    FakePool,
    FakeWire,
    StreamReply,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.tests.loopback import run
from bramleyspread_forwarding import (
    SUSPENDED,
    ForwardTarget,
    NoTarget,
    Placed,
    PlaceQuery,
    PlaceStep,
    RetryBudget,
    SharedSignal,
)

#: Only one attempt, so that a request fails if its first choice counts as one.
ONE_ATTEMPT = msgspec.structs.replace(STREAM, attempts=1)
NORTH_DRAINED = ZoneDrains().drain("north", 1)
LIMIT = SharedSignal(target="t1")
ANSWER = b"id: 1\ndata: a\n\n"


class _Placement(FakePlacement):
    """Placement that chooses targets of these zones, one after another.

    :param choices: the zone of each choice, and what limits its rate.
    """

    def __init__(
        self, *choices: str, wait_s: float = 0.0, is_paced: bool = False
    ) -> None:
        super().__init__()
        self._zones = list(choices)
        self._wait_s = wait_s
        self._limit = LIMIT if is_paced else None
        self.ended: list[tuple[str, bool | None]] = []

    async def choose(self, query: PlaceQuery) -> Placed | NoTarget:
        self.queries.append(query)
        number = len(self.queries)
        zone = self._zones.pop(0)
        target = ForwardTarget(f"t{number}", Address("127.0.0.1", number), zone, 1)
        return Placed(number, target, wait_s=self._wait_s, limit=self._limit)

    def report(self, step: object) -> None:
        if isinstance(step, PlaceStep) and step.ended:
            self.ended.append((step.target, step.good))


class _Pool(FakePool):
    """Pool at whose connects something happens to the host.

    :param on_connect: called with the number of the connection.
    """

    def __init__(
        self, on_connect: Callable[[int], None], *targets: FakeConnection
    ) -> None:
        super().__init__(*targets)
        self._on_connect = on_connect
        self.connected: list[int] = []

    async def acquire(self, *arguments: object, **_: object) -> FakeConnection:
        address = arguments[0]
        assert isinstance(address, Address)
        self.connected.append(address.port)
        self._on_connect(len(self.connected))
        return await super().acquire()


class _Sent(FakeConnection):
    """Connection that records whether a request was sent on it."""

    def __init__(self, *chunks: bytes, breaks: bool = False) -> None:
        super().__init__(*chunks, breaks=breaks)
        self.requests = 0
        self.is_closed = False

    async def send(self, *_: object) -> None:
        self.requests += 1

    async def close(self) -> None:
        self.is_closed = True


class Outcome:
    """A request that is forwarded to fakes, without any retry budget."""

    def __init__(
        self,
        placement: _Placement,
        *connections: _Sent,
        on_connect: Callable[[SimpleNamespace, int], None] = lambda *_: None,
        route: ForwardRoute = ONE_ATTEMPT,
        budget: float = 0.0,
    ) -> None:
        wire, self.reply = FakeWire(), StreamReply()
        self.context = make_context(wire)
        self.context.placement = placement
        retries = RetryBudget(0.0, budget, 10.0)
        self.context.get_retry_budget = lambda _: retries
        self.pool = _Pool(lambda x: on_connect(self.context, x), *connections)
        self.context.upstream = self.pool
        self.forwarder = make_forwarder(route, self.context, wire, self.reply)
        self.metadata = wire.metadata

    def run(self) -> str:
        run(self.forwarder.run)
        return self.reply.ended


def drain_north(context: SimpleNamespace, connection: int) -> None:
    """Let the host learn of a drain while its first connection opens."""
    if connection == 1:
        context.targets.drains = NORTH_DRAINED


# Guards against a first attempt that is sent to a zone which was drained while the host
# connected, and against a request that fails since the choice used up its attempt.
def test_first_attempt_is_not_sent_to_a_zone_drained_meanwhile() -> None:
    placement = _Placement("north", "south")
    north, south = _Sent(), _Sent(ANSWER)
    outcome = Outcome(placement, north, south, on_connect=drain_north)
    assert outcome.run() == "whole"
    assert (north.requests, north.is_closed, south.requests) == (0, True, 1)
    assert placement.ended[0] == ("t1", None)
    assert placement.queries[1].tried == ()


# Guards against a host that opens connections to a drained zone before it looks.
def test_nothing_is_opened_to_a_zone_known_to_be_drained() -> None:
    placement = _Placement("north", "south")
    outcome = Outcome(placement, _Sent(ANSWER))
    outcome.context.targets.drains = NORTH_DRAINED
    assert outcome.run() == "whole"
    assert outcome.pool.connected == [2]


# Guards against a failed connection that counts as a failure of a drained target.
def test_failed_connection_to_a_zone_drained_meanwhile_blames_nobody() -> None:
    def fail(context: SimpleNamespace, connection: int) -> None:
        drain_north(context, connection)
        if connection == 1:
            raise RequestNotSentError("no path")

    placement = _Placement("north", "south")
    outcome = Outcome(placement, _Sent(ANSWER), on_connect=fail)
    assert outcome.run() == "whole"
    assert placement.ended[0] == ("t1", None)


# Guards against a retry that goes to a drained zone, and against one that takes a
# second retry from the budget.
def test_retry_is_not_sent_to_a_zone_drained_meanwhile() -> None:
    def drain(context: SimpleNamespace, connection: int) -> None:
        drain_north(context, connection - 1)

    placement = _Placement("south", "north", "south")
    route = msgspec.structs.replace(ROUTE, attempts=2)
    failing, north, south = _Sent(breaks=True), _Sent(), _Sent(ANSWER)
    connections = (failing, north, south)
    outcome = Outcome(placement, *connections, on_connect=drain, route=route, budget=1)
    assert outcome.run() == "whole"
    assert (failing.requests, north.requests, south.requests) == (1, 0, 1)


# Guards against a stream that goes on in a drained zone, or that is cut off since its
# next target was chosen just before.
def test_resumed_stream_is_not_sent_to_a_zone_drained_meanwhile() -> None:
    def drain(context: SimpleNamespace, connection: int) -> None:
        drain_north(context, connection - 1)

    placement = _Placement("south", "north", "south")
    begun, north = _Sent(ANSWER, breaks=True), _Sent()
    south = _Sent(b"id: 2\ndata: b\n\n")
    connections = (begun, north, south)
    outcome = Outcome(placement, *connections, on_connect=drain, route=STREAM, budget=1)
    assert outcome.run() == "whole"
    assert (north.requests, south.requests) == (0, 1)
    assert outcome.metadata[-1].last_event_id == "1"


# Guards against a request that waits for its turn at a rate limit, and is sent then
# though its zone was drained.
def test_request_that_waits_for_a_rate_limit_learns_of_a_drain() -> None:
    placement = _Placement("north", "south", wait_s=0.05, is_paced=True)
    outcome = Outcome(placement, _Sent(ANSWER))

    async def main() -> None:
        task = await curio.spawn(outcome.forwarder.run)
        await curio.sleep(0.02)
        outcome.context.targets.drains = NORTH_DRAINED
        await task.join()

    run(main)
    assert outcome.pool.connected == [2]
    assert outcome.reply.ended == "whole"


class Suspension:
    """A clock that jumps, as it does for a host that was suspended."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lost_s = 0.0
        real = time.clock_gettime
        fake = SimpleNamespace(
            clock_gettime=lambda clock: real(clock) + self.lost_s,
            CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
            time_ns=time.time_ns,
        )
        monkeypatch.setattr(_clock, "time", fake)


# Guards against a host that wakes from a suspension and sends what it had permission
# for in another second, on top of what other hosts send in this one.
@pytest.mark.parametrize("is_paced", [True, False])
@pytest.mark.parametrize("lost_s", [0.1, 0.4])
def test_permission_of_a_rate_limit_expires(
    monkeypatch: pytest.MonkeyPatch, is_paced: bool, lost_s: float
) -> None:
    suspension = Suspension(monkeypatch)

    def suspend(_: SimpleNamespace, connection: int) -> None:
        if connection == 1:
            suspension.lost_s += lost_s

    placement = _Placement("north", "north", is_paced=is_paced)
    first, second = _Sent(ANSWER), _Sent(ANSWER)
    outcome = Outcome(placement, first, second, on_connect=suspend)
    assert outcome.run() == "whole"
    is_expired = is_paced and lost_s > 0.25
    assert (first.requests, second.requests) == (not is_expired, is_expired)
    assert len(placement.queries) == 1 + is_expired


# Guards against a host that was suspended while it waited for its turn.
def test_permission_expires_while_a_request_waits_for_its_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspension = Suspension(monkeypatch)
    wait = Attempt.wait_for_turn

    async def suspend(attempt: Attempt) -> bool:
        accepts = await wait(attempt)
        suspension.lost_s += 0.4 * (not suspension.lost_s)
        return accepts

    monkeypatch.setattr(Attempt, "wait_for_turn", suspend)
    placement = _Placement("north", "north", wait_s=0.01)
    outcome = Outcome(placement, _Sent(ANSWER))
    assert outcome.run() == "whole"
    assert outcome.pool.connected == [2]


# Guards against a host that wakes up and sends what it had chosen before it hears that
# the zone was drained meanwhile; and one that goes on waiting though nobody answers.
@pytest.mark.parametrize("hears", [True, False])
def test_host_that_was_suspended_hears_of_drains_before_it_sends(
    monkeypatch: pytest.MonkeyPatch, hears: bool
) -> None:
    suspension = Suspension(monkeypatch)
    placement = _Placement("north", "south" if hears else "north")
    first, second = _Sent(ANSWER), _Sent(ANSWER)

    def suspend(_: SimpleNamespace, connection: int) -> None:
        if connection == 1:
            suspension.lost_s += 8.0

    route = msgspec.structs.replace(ONE_ATTEMPT, timeout_ms=20_000)
    outcome = Outcome(placement, first, second, on_connect=suspend, route=route)
    signals, table = outcome.context.signals, outcome.context.targets

    async def main() -> None:
        signals.suspensions.tick(_clock.read_monotonic())
        task = await curio.spawn(outcome.forwarder.run)
        await curio.sleep(0.05)
        assert len(placement.queries) == 1
        if hears:
            asked_at = _clock.read_monotonic()
            table.drains = NORTH_DRAINED
            signals.suspensions.record_page(asked_at, asked_at)
        await task.join()

    run(main)
    assert outcome.reply.ended == "whole"
    assert (first.requests, second.requests) == (0, 1)
    assert signals.withdrawal_counts == {SUSPENDED: 1}


# Guards against a request that is chosen for again and again beyond its deadline.
def test_choices_end_with_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    placement = _Placement(*["north"] * 1_000, wait_s=0.005)
    route = msgspec.structs.replace(ONE_ATTEMPT, timeout_ms=200)
    outcome = Outcome(placement, route=route)
    outcome.context.targets.drains = NORTH_DRAINED
    outcome.run()
    assert outcome.reply.statuses == [503]
    assert len(placement.queries) > 2
