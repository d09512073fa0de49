"""Whether an answer without a length has ended, or has broken off.

Such an answer ends with its connection. The operating system closes the connections of
a process that crashes in the same way, one by one, and its address may go on accepting
others: into a queue that nobody serves, or for another process. So only an answer of
the same target, to a question sent after the end, shows that the target ended it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._timeouts import ignore_after
from bramleyspread_daemon.forward._target_signals import TargetSignals
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_daemon.forward._wire import TargetHead, TargetWire
from bramleyspread_forwarding import ForwardTarget, TargetTable

#: Time before the end of a request's time in which its target may stop work, in
#: seconds.
STOP_MARGIN_S = 0.01
#: Time in which the answers end that one question is asked for, in seconds.
COLLECTION_S = 0.005
#: Timeout for connecting to a target, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: Delay after a question that failed: the first, and the longest, in seconds.
RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0
#: Time after which a target that is silent is asked once more; it doubles, in seconds.
SILENCE_S = 0.5
#: Factor by which both times grow.
GROWTH = 2.0
#: Interval at which it is looked up what else is known of a target, in seconds.
LOOKUP_INTERVAL_S = 0.1
#: Conversation under which the bytes of the questions are counted.
CHECKS = "life checks"


class UnframedEnd(msgspec.Struct, frozen=True):
    """The end of an answer without a length."""

    #: The target that answered.
    target: ForwardTarget
    #: Its service.
    service: str
    #: When the end was read, in monotonic seconds.
    ended_at: float
    #: When the request's time is over, in monotonic seconds.
    deadline: float
    #: Raises ConnectionClosedError if the answer isn't kept any more.
    check_room: Callable[[], None] = lambda: None


class UnframedEnds:
    """Finds out whether answers without a length are whole.

    Ends of one target's answers share the questions that were sent after all of them.

    :param wire: wire format for targets.
    :param pool: connections to targets.
    :param targets: the known targets.
    :param signals: records what targets say in their answers.
    :param find_health_path: finds the path of a service's health checks; None for the
        usual one.
    """

    def __init__(
        self,
        wire: TargetWire,
        pool: UpstreamPool,
        targets: TargetTable,
        signals: TargetSignals,
        find_health_path: Callable[[str], str | None],
    ) -> None:
        self._wire = wire
        self._pool = pool
        self._targets = targets
        self._signals = signals
        self._find_health_path = find_health_path
        self._inquiries: dict[tuple[str, int], _Inquiry] = {}
        #: Number of questions sent.
        self.asked = 0

    async def find_break(self, end: UnframedEnd) -> str:
        """Find why an answer isn't whole.

        Waits until the target answers, is known to have ended, or the request's time is
        over.

        :param end: the end of the answer.
        :returns: why; empty if the answer is whole.
        :raises ConnectionClosedError: if the answer isn't kept any more.
        """
        target = end.target
        if read_monotonic() >= end.deadline - STOP_MARGIN_S:
            return "ended as its time was over"
        process = (target.target, target.born)
        inquiry = self._inquiries.get(process)
        if inquiry is None:
            inquiry = self._inquiries[process] = _Inquiry(self, target, end.service)
        try:
            await inquiry.join(end)
            return await self._wait(inquiry, end)
        finally:
            if inquiry.leave():
                del self._inquiries[process]
                await inquiry.cancel()

    async def _wait(self, inquiry: _Inquiry, end: UnframedEnd) -> str:
        while True:
            end.check_room()
            why = self._judge(inquiry, end)
            if why is not None:
                return why
            left_s = end.deadline - STOP_MARGIN_S - read_monotonic()
            await inquiry.wait(min(LOOKUP_INTERVAL_S, max(left_s, 0.0)))

    def _judge(self, inquiry: _Inquiry, end: UnframedEnd) -> str | None:
        """Return why an answer isn't whole, or empty; None if it isn't known yet."""
        target = end.target
        if inquiry.lived_at >= end.ended_at:
            return ""
        has_crashed = self._targets.has_crashed(target.target, target.born)
        if inquiry.has_ended or (inquiry.has_asked and has_crashed):
            return "ended together with its target"
        if read_monotonic() >= end.deadline - STOP_MARGIN_S:
            return "ended, and its target has not answered since"
        return None

    def record_answer(
        self, target: ForwardTarget, head: TargetHead, sent_at: float
    ) -> None:
        """Record the answer to a caller's request, which shows that its target lives.

        Another target would not have run it.

        :param target: the target that the request was sent to.
        :param head: the head of the answer.
        :param sent_at: when the request was sent, in monotonic seconds.
        """
        inquiry = self._inquiries.get((target.target, target.born))
        if inquiry is None:
            return
        has_run = not head.instance and head.sealed and not head.not_run
        if has_run or head.instance == target.target:
            inquiry.record_life(sent_at)

    async def ask(self, inquiry: _Inquiry) -> None:
        """Ask a target once whether it lives, and record what is learnt.

        An idle connection is used first: a target may accept no further ones.

        :param inquiry: what is known of the target.
        """
        address = inquiry.target.address
        try:
            connection = await self._pool.acquire(address, CONNECT_TIMEOUT_S)
        except RequestNotSentError:
            if await self._pool.is_refused(address):
                inquiry.record_end()
            return
        self.asked += 1
        try:
            await self._ask_on(connection, inquiry)
        except (RequestNotSentError, ConnectionClosedError):
            return
        finally:
            self._pool.record_traffic(CHECKS, connection)
            # Its answer names no request, so a later copy could be taken for another.
            await connection.close()

    async def _ask_on(self, connection: UpstreamConnection, inquiry: _Inquiry) -> None:
        target = inquiry.target
        path = self._find_health_path(inquiry.service)
        call = self._wire.write_life_question(target.target, path)
        headers = [(b"Host", str(target.address).encode()), *call.headers]
        sent_at = read_monotonic()
        await connection.send("GET", call.path, headers, call.body)
        raw = await connection.read_head()
        head = self._wire.read_head(raw.status_code, raw.headers)
        if head.request:
            return  # the answer to an earlier request
        is_other = head.instance not in ("", target.target)
        if head.is_misdirected or is_other:
            inquiry.record_end()
        else:
            # Another target would have said that it isn't the one that is asked.
            self._signals.record(target, head.signals, sent_at)
            inquiry.record_life(sent_at)

    def find_pause_s(self, target: ForwardTarget) -> float:
        """Return for how long a target wants nothing from this host, in seconds."""
        return self._signals.table.find_pause_s(target, read_monotonic())


class _Inquiry:
    """What is asked of one process of a target while answers of it wait.

    :param ends: asks.
    :param target: the target.
    :param service: its service.
    """

    def __init__(self, ends: UnframedEnds, target: ForwardTarget, service: str) -> None:
        self._ends = ends
        self._waiting = 0
        self._latest_end = -math.inf
        self._task: Any = None
        self._is_asking = False
        self._news = curio.Event()
        #: The target.
        self.target = target
        #: Its service.
        self.service = service
        #: When the newest question was sent that the target answered.
        self.lived_at = -math.inf
        #: Whether it is known that the target has ended.
        self.has_ended = False
        #: Whether a question has failed, or wasn't answered for a while.
        self.has_asked = False

    async def join(self, end: UnframedEnd) -> None:
        """Let one more answer wait."""
        self._waiting += 1
        self._latest_end = max(self._latest_end, end.ended_at)
        if not self._is_asking:
            self._is_asking = True
            self._task = await curio.spawn(self._run, daemon=True)

    def leave(self) -> bool:
        """Let one answer wait no longer; return whether it was the last one."""
        self._waiting -= 1
        return not self._waiting

    async def cancel(self) -> None:
        """Ask no more."""
        if self._task is not None:
            await self._task.cancel(blocking=False)

    async def wait(self, timeout_s: float) -> None:
        """Wait for news, for a limited time in seconds."""
        await ignore_after(timeout_s, self._news.wait)

    def record_life(self, sent_at: float) -> None:
        """Record that the target answered what was sent at a time."""
        self.lived_at = max(self.lived_at, sent_at)

    def record_end(self) -> None:
        """Record that the target has ended."""
        self.has_ended = True

    @property
    def _is_over(self) -> bool:
        return self.has_ended or self.lived_at >= self._latest_end

    async def _run(self) -> None:
        """Ask, at growing intervals, until all who wait know enough.

        A target that is silent may answer an earlier question yet.
        """
        await curio.sleep(COLLECTION_S)
        retry_s, silence_s = RETRY_DELAY_S, SILENCE_S
        async with curio.TaskGroup(wait=None) as group:
            while not self._is_over:
                if pause_s := self._ends.find_pause_s(self.target):
                    await curio.sleep(pause_s)
                    continue
                task = await group.spawn(self._ask)
                await ignore_after(silence_s, task.wait)
                self.has_asked = True
                if not task.terminated:
                    silence_s *= GROWTH
                elif not self._is_over:
                    await curio.sleep(retry_s)
                    retry_s = min(retry_s * GROWTH, MAX_RETRY_DELAY_S)
            self._is_asking = False

    async def _ask(self) -> None:
        await self._ends.ask(self)
        news, self._news = self._news, curio.Event()
        await news.set()
