"""Whether a target lived after an answer without a length: questions and proofs."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import msgspec
import pytest

from bramleyspread_core import Address
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._unframed_end import UnframedEnd
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward.tests.test_relay import Site
from bramleyspread_daemon.forward.tests.test_request_forwarder import (
    REQUEST,
    make_context,
    make_forwarder,
)
from bramleyspread_daemon.forward.tests.test_unframed_answers import (
    EVENT,
    HEADS,
    NO_LINGER,
    PLAIN_ROUTE,
    STREAM_ROUTE,
    OneTargetPlacement,
    SentReply,
    UnframedWire,
    write_life,
)
from bramleyspread_daemon.tests.loopback import (
    read_all,
    read_request,
    run,
    start_scripted_server,
)
from bramleyspread_forwarding import ForwardTarget, ResponseSignals

#: What a target does when it is asked whether it lives, with its connection.
Script = Callable[[Any], Awaitable[None]]


async def stay_silent(connected: Any) -> None:
    await read_all(connected)


async def close(connected: Any) -> None:
    await connected.close()


async def reset(connected: Any) -> None:
    connected._socket.setsockopt(1, 13, NO_LINGER)
    await connected.close()


def answer_with(answer: bytes, delay_s: float = 0.0) -> Script:
    """Make a script that answers one question, after a while."""

    async def answer_question(connected: Any) -> None:
        await read_request(connected)
        await curio.sleep(delay_s)
        await connected.sendall(answer)
        await connected.close()

    return answer_question


class AskedTarget:
    """A target that ends an answer without a length, and is asked whether it lives.

    :param scripts: what it does with the connections that follow, in turn; the last
        one holds for all further ones.
    """

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        #: Number of connections after those of the answers.
        self.connections = 0
        #: Number of answers that begin before any ends.
        self.answers = 1
        self._begun = 0
        self._all_begun = curio.Event()
        self.address = Address("127.0.0.1", 0)

    async def start(self) -> None:
        _, self.address = await start_scripted_server(self._serve)

    async def _serve(self, connected: Any) -> None:
        if self._begun < self.answers:
            self._begun += 1
            await read_request(connected)
            await connected.sendall(HEADS[0] + EVENT)
            if self._begun == self.answers:
                await self._all_begun.set()
            await self._all_begun.wait()
            await connected.close()
            return
        self.connections += 1
        at = min(self.connections, len(self._scripts)) - 1
        await self._scripts[at](connected)

    async def forward(self, **known: Any) -> SentReply:
        """Forward a stream to the target; its time is long, unless it is known."""
        wire, reply = UnframedWire(is_stream=True), SentReply()
        context = make_context(wire)
        context.placement = OneTargetPlacement(self.address)
        context.upstream = known.get("pool") or UpstreamPool()
        if known.get("leaves_after_s"):

            async def leave() -> None:
                await curio.sleep(known["leaves_after_s"])
                context.targets.record_departure("t", 0, 0.0)

            await curio.spawn(leave, daemon=True)
        timeout_ms = known.get("timeout_ms", 15_000)
        route = msgspec.structs.replace(STREAM_ROUTE, timeout_ms=timeout_ms)
        await make_forwarder(route, context, wire, reply).run()
        return reply


def forward_to_asked(*scripts: Script, **known: Any) -> SentReply:
    """Forward a stream to a target that is asked whether it lives."""

    async def main() -> SentReply:
        target = AskedTarget(*scripts)
        await target.start()
        return await target.forward(**known)

    reply: SentReply = run(main)
    assert reply.chunks == [EVENT]
    return reply


# Guards against half an answer of a killed process whose address still accepts
# connections: into a queue, or until its last socket is closed.
@pytest.mark.parametrize("script", [stay_silent, close, reset])
def test_answer_is_not_whole_if_connections_are_accepted_but_not_served(
    script: Script,
) -> None:
    assert forward_to_asked(script, timeout_ms=1_000).ended == "cut"


# Guards against half an answer of a killed process whose address is in use again, or
# whose listening socket another process shares.
@pytest.mark.parametrize(
    "answer", [write_life("other"), write_life("other", "421 Misdirected Request")]
)
def test_answer_is_not_whole_if_another_target_answers_at_its_address(
    answer: bytes,
) -> None:
    async def main() -> str:
        target = AskedTarget(answer_with(answer))
        target.answers = 0
        await target.start()
        context = make_context(UnframedWire(is_stream=True))
        context.upstream = UpstreamPool()
        named, now = ForwardTarget("t", target.address, "z", 1), read_monotonic()
        end = UnframedEnd(named, "s", now, now + 15.0)
        why: str = await context.unframed_ends.find_break(end)
        return why

    assert run(main) == "ended together with its target"
    assert forward_to_asked(answer_with(answer)).ended == "cut"


# Guards against an answer to a request, which was due before, and against bytes that
# are none.
@pytest.mark.parametrize(
    "answer", [b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b"no answer\r\n\r\n"]
)
def test_answer_to_another_request_proves_nothing(
    answer: bytes,
) -> None:
    assert forward_to_asked(answer_with(answer), timeout_ms=1_000).ended == "cut"


# Guards against whole answers that are cut since their targets are silent for a while.
def test_answer_of_a_target_that_is_silent_for_over_a_second_is_whole() -> None:
    late = answer_with(write_life("t"), delay_s=1.2)
    assert forward_to_asked(late).ended == "whole"
    assert forward_to_asked(stay_silent, answer_with(write_life("t"))).ended == "whole"


# Guards against whole answers that are cut since their targets are busy or drain.
@pytest.mark.parametrize("status", ["503 Service Unavailable", "429 Too Many Requests"])
def test_answer_of_a_target_that_rejects_but_names_itself_is_whole(status: str) -> None:
    reply = forward_to_asked(answer_with(write_life("t", status)))
    assert reply.ended == "whole"


# Guards against whole answers that are cut since their targets are full, or don't name
# themselves. Another target would have said that it isn't the one that is asked.
@pytest.mark.parametrize("status", ["200 OK", "404 Not Found", "503 Full"])
def test_answer_of_a_target_that_answers_without_an_id_is_whole(status: str) -> None:
    head = f"HTTP/1.1 {status}\r\nunnamed: 1\r\ncontent-length: 0\r\n\r\n"
    answers = answer_with(head.encode())
    assert forward_to_asked(answers, stay_silent).ended == "whole"


# Guards against questions to a target that has asked this host for a pause.
def test_target_that_wants_a_pause_is_asked_after_it() -> None:
    pause_s = 0.5

    async def main() -> tuple[str, float]:
        target = AskedTarget(answer_with(write_life("t")))
        target.answers = 0
        await target.start()
        context = make_context(UnframedWire(is_stream=True))
        context.upstream = UpstreamPool()
        named, now = ForwardTarget("t", target.address, "z", 1), read_monotonic()
        signals = ResponseSignals(pause_s=pause_s)
        context.signals.record(named, signals, now)
        end = UnframedEnd(named, "s", now, now + 15.0)
        why = await context.unframed_ends.find_break(end)
        return why, read_monotonic() - now

    why, elapsed_s = run(main)
    assert why == ""
    assert elapsed_s >= pause_s


# Guards against whole answers that are cut since their targets have no connection left.
def test_answer_of_a_target_at_its_connection_limit_is_whole() -> None:
    limited = forward_to_asked(reset, reset, reset, answer_with(write_life("t")))
    assert limited.ended == "whole"


# Guards against new connections to a target that refuses them, while one is idle.
def test_idle_connection_is_asked_first() -> None:
    async def main() -> tuple[str, int]:
        target = AskedTarget(answer_with(write_life("t")), reset)
        await target.start()
        pool = UpstreamPool()
        answering = await pool.acquire(target.address, 1.0)
        idle = await pool.acquire(target.address, 1.0)
        # The one that became idle last is used first.
        await pool.release_connection(idle, 5.0)
        await pool.release_connection(answering, 5.0)
        reply = await target.forward(pool=pool)
        return reply.ended, target.connections

    assert run(main) == ("whole", 1)


# Guards against whole answers of leaving targets that are cut though they still run.
def test_answer_of_a_leaving_target_that_still_answers_is_whole() -> None:
    answers = answer_with(write_life("t"), delay_s=0.4)
    assert forward_to_asked(answers, leaves_after_s=0.1).ended == "whole"
    ended = forward_to_asked(close, leaves_after_s=0.1, timeout_ms=1_000)
    assert ended.ended == "cut"


# Guards against a question for each of many answers that end at the same moment.
def test_answers_that_end_together_share_one_question() -> None:
    async def main() -> tuple[set[str], int]:
        target = AskedTarget(answer_with(write_life("t")))
        target.answers = 8
        await target.start()
        wire = UnframedWire(is_stream=True)
        context = make_context(wire)
        context.placement = OneTargetPlacement(target.address)
        context.upstream = UpstreamPool()
        replies = [SentReply() for _ in range(target.answers)]
        async with curio.TaskGroup() as group:
            for reply in replies:
                forwarder = make_forwarder(STREAM_ROUTE, context, wire, reply)
                await group.spawn(forwarder.run)
        assert not context.unframed_ends._inquiries
        return {each.ended for each in replies}, context.unframed_ends.asked

    assert run(main) == ({"whole"}, 1)


# Guards against whole answers that are cut since this host has lost its own path.
@pytest.mark.parametrize(
    ("script", "timeout_ms", "end"),
    [(answer_with(write_life("t")), 15_000, "whole"), (close, 1_000, "cut")],
)
def test_target_that_only_another_host_reaches_is_asked_by_way_of_it(
    script: Script, timeout_ms: int, end: str
) -> None:
    async def main() -> str:
        target, site = AskedTarget(script), Site()
        await target.start()
        site.known.add(target.address)
        pool = await site.start()
        reply = await target.forward(pool=pool, timeout_ms=timeout_ms)
        assert pool.connector is not None
        assert pool.connector.relayed > 1
        return reply.ended

    assert run(main) == end


def find_break(learn: Callable[[Any, UnframedEnd], None], deadline_s: float) -> str:
    """Find why an answer is not whole; its target is silent, but more is learnt of it.

    :param learn: learns something of the target while it is asked.
    :param deadline_s: when the request's time is over, in seconds from now.
    """

    async def main() -> str:
        target = AskedTarget(stay_silent)
        target.answers = 0
        await target.start()
        context = make_context(UnframedWire(is_stream=True))
        context.upstream = UpstreamPool()
        named, now = ForwardTarget("t", target.address, "z", 1), read_monotonic()
        end = UnframedEnd(named, "s", now, now + deadline_s)

        async def learn_later() -> None:
            await curio.sleep(0.1)
            learn(context, end)

        await curio.spawn(learn_later, daemon=True)
        why: str = await context.unframed_ends.find_break(end)
        return why

    return run(main)


def answer_request(
    sent_after_s: float, **fields: Any
) -> Callable[[Any, UnframedEnd], None]:
    """Let the target answer another request, sent some time after the end."""

    def record(context: Any, end: UnframedEnd) -> None:
        head = UnframedWire(is_stream=True).read_head(200, ())
        head = msgspec.structs.replace(head, **fields)
        sent_at = end.ended_at + sent_after_s
        context.unframed_ends.record_answer(end.target, head, sent_at)

    return record


# Guards against whole answers of busy targets that are cut since a question waits.
@pytest.mark.parametrize("fields", [{}, {"instance": "t"}])
def test_answer_to_a_later_request_shows_that_its_target_lived(fields: Any) -> None:
    assert find_break(answer_request(0.01, **fields), 15.0) == ""


# Guards against answers that were due before the end, or that another target may give.
@pytest.mark.parametrize(
    ("sent_after_s", "fields"),
    [(-0.01, {}), (0.01, {"not_run": True}), (0.01, {"instance": "other"})],
)
def test_other_answers_to_requests_show_nothing(
    sent_after_s: float, fields: Any
) -> None:
    assert find_break(answer_request(sent_after_s, **fields), 0.5).startswith("ended")


# Guards against a long wait for a target of whose crash other hosts have told.
def test_target_that_is_silent_and_known_to_have_crashed_has_ended() -> None:
    def tell_of_crash(context: Any, end: UnframedEnd) -> None:
        context.targets.record_crash("t", 0, read_monotonic())

    assert find_break(tell_of_crash, 3.0) == "ended together with its target"


# Guards against answers without a body whose targets are asked whether they live.
@pytest.mark.parametrize(
    ("method", "status"),
    [("HEAD", "200 OK"), ("GET", "204 No Content"), ("GET", "304 Not Modified")],
)
def test_answer_that_can_have_no_body_is_whole_at_once(
    method: str, status: str
) -> None:
    async def serve(connected: Any) -> None:
        await read_request(connected)
        await connected.sendall(f"HTTP/1.1 {status}\r\n\r\n".encode())
        await read_all(connected)

    async def main() -> tuple[list[int], int]:
        _, address = await start_scripted_server(serve)
        wire, reply = UnframedWire(is_stream=False), SentReply()
        context = make_context(wire)
        context.placement = OneTargetPlacement(address)
        context.upstream = UpstreamPool()
        forwarder = make_forwarder(PLAIN_ROUTE, context, wire, reply)
        forwarder._request = msgspec.structs.replace(REQUEST, method=method)
        await forwarder.run()
        return reply.statuses, context.unframed_ends.asked

    assert run(main) == ([int(status[:3])], 0)
