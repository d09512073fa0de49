"""One attempt to run a request at a target, and the relaying of its answer."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import curio
import msgspec
from loguru import logger

from bramleyspread_capacity import ReadingSample
from bramleyspread_core import Address
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon._timeouts import timeout_after
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._kept_parts import KeptEvents
from bramleyspread_daemon.forward._stage_work import StageWork
from bramleyspread_daemon.forward._stream_binding import StreamBinding
from bramleyspread_daemon.forward._stream_times import StreamTimes
from bramleyspread_daemon.forward._target_connector import NoPathError
from bramleyspread_daemon.forward._target_crashes import RequestFeatures
from bramleyspread_daemon.forward._unframed_end import UnframedEnd
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._wire import CallMetadata, TargetHead
from bramleyspread_forwarding import (
    AttemptEnd,
    Delivered,
    EventError,
    EventSplitter,
    ForwardRequest,
    MayHaveRun,
    NotSent,
    Placed,
    PlaceStep,
    SendPermit,
    StreamEvent,
    StreamOrigin,
    TargetFailed,
    TargetLoad,
    WasNotRun,
    follows,
    list_shared_parts,
)

#: Timeout for connecting to a target, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: Maximum size of the body of a rejection or of an answer to another request, in bytes.
MAX_UNNEEDED_BYTES = 65_536
#: Timeout for reading such a body, in seconds.
UNNEEDED_TIMEOUT_S = 0.1
#: Maximum number of answers to other requests before the own one.
MAX_FOREIGN_ANSWERS = 8
#: Timeout for the own answer after an answer to another request, in seconds.
OWN_ANSWER_TIMEOUT_S = 2.0
#: Conversation under which the bytes of callers' requests to targets are counted.
REQUESTS = "requests"
#: Maximum number of stream bytes buffered for a slow caller.
MAX_UNSENT_BYTES = 131_072
#: Maximum number of events that are passed on before other tasks get their turn.
MAX_EVENTS_AT_ONCE = 64
#: Maximum number of a prompt's parts in one log line.
MAX_LOGGED_PARTS = 8
#: Interval at which a slow caller's buffer is checked, in seconds.
CALLER_POLL_INTERVAL_S = 0.01

P = TypeVar("P")
T = TypeVar("T")


class Attempt:
    """One attempt: sends the request once, and relays the answer while it is valid."""

    def __init__(
        self,
        context: ForwardContext,
        request: ForwardRequest,
        reply: Reply,
        stages: StageWork,
        times: StreamTimes,
        service: str,
        placed: Placed,
        features: RequestFeatures,
        binding: StreamBinding,
        asked_at: float,
    ) -> None:
        self._permit = SendPermit(
            placed.target,
            asked_at + placed.wait_s,
            is_paced=placed.limit is not None or placed.wait_s > 0,
        )
        self._features = features
        self._binding = binding
        self._context = context
        self._request = request
        self._reply = reply
        self._stages = stages
        self._times = times
        self._service = service
        self._placed = placed
        self._connection: UpstreamConnection | None = None
        self._is_end_reported = False
        self._first_byte_at: float | None = None
        self._sent_at = 0.0
        # Id of the last event that the caller had before; empty if it had none.
        self._after_event = ""
        # When the time of the request is over; known once it is sent.
        self._deadline = math.inf
        #: Whether any byte of the request was sent.
        self.was_sent = False
        #: Whether the target may be processing the request now.
        self.is_in_flight = False
        #: Id of the last event relayed to the caller; None if there is none.
        self.last_event: str | None = None

    @property
    def address(self) -> Address:
        """Address of the target."""
        return self._placed.target.address

    async def wait_for_turn(self) -> bool:
        """Wait until the target's rate limit allows the request.

        :returns: whether the target still wants requests from this host then.
        """
        if not self._placed.wait_s:
            return True
        await curio.sleep(self._placed.wait_s)
        return self._context.signals.accepts_requests(self._placed.target)

    async def run(
        self, metadata: CallMetadata, max_idle_s: float
    ) -> AttemptEnd | NotSent:
        """Send the request, and relay its answer.

        :param metadata: metadata sent to the target with the request.
        :param max_idle_s: how long a reused connection may have been idle, in seconds.
        :returns: how the attempt ended, or that the target has to be chosen again.
        """
        end: AttemptEnd | NotSent | None = None
        self._after_event = metadata.last_event_id
        self._deadline = read_monotonic() + metadata.remaining_ms / 1000
        try:
            end = await self._send(metadata, max_idle_s)
        finally:
            self._report_end(end)
        return end

    async def close(self) -> None:
        """Abort the attempt; a target at work notices that its connection closes."""
        self._report_end(None)
        await self._close_connection()

    def _report_end(self, end: AttemptEnd | NotSent | None) -> None:
        """Report the end of the attempt, and whether it succeeded, to the placement."""
        if self._is_end_reported:
            return
        self._is_end_reported = True
        succeeded: bool | None = None
        if isinstance(end, Delivered):
            succeeded = True
        elif end is not None:
            succeeded = None if _is_target_innocent(end) else False
        self._report(self._build_step(ended=True, succeeded=succeeded))

    async def _send(
        self, metadata: CallMetadata, max_idle_s: float
    ) -> AttemptEnd | NotSent:
        context, request = self._context, self._request
        withdrawal = context.signals.find_withdrawal(self._permit)
        if withdrawal:
            return NotSent(withdrawal)
        try:
            connection = await self._connect(max_idle_s)
        except RequestNotSentError as error:
            withdrawal = context.signals.find_withdrawal(self._permit)
            if withdrawal:
                return NotSent(withdrawal)
            return WasNotRun(
                str(error),
                may_have_reached_target=False,
                is_target_suspect=not isinstance(error, NoPathError),
            )
        self._connection = connection
        headers = context.wire.write_head(request, metadata)
        withdrawal = context.signals.find_withdrawal(self._permit)
        if withdrawal:
            await self._close_connection()
            return NotSent(withdrawal)
        context.signals.drains.record_sent(self._placed.target, request.request_id)
        try:
            await connection.send(
                request.method, request.path_and_query, headers, request.body
            )
        except RequestNotSentError as error:
            await self._close_connection()
            return WasNotRun(str(error), may_have_reached_target=False)
        self.was_sent = self.is_in_flight = True
        sent_at = self._sent_at = read_monotonic()
        end = await self._receive(connection, sent_at)
        self.is_in_flight = False
        return end

    async def _receive(
        self, connection: UpstreamConnection, sent_at: float
    ) -> AttemptEnd:
        """Pass on the target's answer, and record how the attempt ended."""
        end: AttemptEnd
        try:
            head = await self._read_own_head(connection)
            end = await self._handle_answer(connection, head, sent_at)
        except (ConnectionClosedError, EventError) as error:
            await self._close_connection()
            end = MayHaveRun(str(error))
            self._log_lost_answer(end, sent_at)
            if not (connection.is_given_up or self._may_have_left(connection)):
                await self._context.crashes.record_lost_answer(
                    self._placed.target,
                    self._features,
                    sent_at,
                    self._first_byte_at,
                )
        if isinstance(end, Delivered):
            await self._record_success(connection, sent_at)
        return end

    async def _connect(self, max_idle_s: float) -> UpstreamConnection:
        """Connect to the target, and record how long that takes."""
        started_at = read_monotonic()
        try:
            return await self._context.upstream.acquire(
                self._placed.target.address, CONNECT_TIMEOUT_S, max_idle_s=max_idle_s
            )
        finally:
            elapsed_ms = (read_monotonic() - started_at) * 1000
            self._times.connecting_ms += elapsed_ms

    async def _record_success(
        self, connection: UpstreamConnection, sent_at: float
    ) -> None:
        crashes = self._context.crashes
        if not connection.ends_by_closing:
            crashes.record_success(self._features)
        elif not self._may_have_left(connection):
            await crashes.record_unframed_answer(
                self._placed.target, self._features, sent_at
            )

    def _may_have_left(self, connection: UpstreamConnection) -> bool:
        """Whether the target may have left right after its answer: that is no crash."""
        target = self._placed.target
        return connection.ends_by_closing and self._context.targets.has_departed(
            target.target, target.born
        )

    def _log_lost_answer(self, end: MayHaveRun, sent_at: float) -> None:
        """Log what the target was at work on when its answer broke off."""
        now, first_byte_at = read_monotonic(), self._first_byte_at
        parts = list_shared_parts(self._request.prompt)
        logger.bind(
            step="lost",
            peer=self._placed.target.target,
            request=self._request.request_id,
            sent_ms=round((now - sent_at) * 1000),
            begun_ms=(
                round((now - first_byte_at) * 1000)
                if first_byte_at is not None
                else None
            ),
            parts=",".join(parts[:MAX_LOGGED_PARTS]),
        ).info(end.why)

    async def _read_own_head(self, connection: UpstreamConnection) -> TargetHead:
        """Read the head of the answer to this request, and skip answers to others.

        :raises ConnectionClosedError: if the own answer doesn't follow, or nothing says
            to which request an answer belongs.
        """
        head = await self._read_head(connection)
        for _ in range(MAX_FOREIGN_ANSWERS):
            if self._is_own(head, connection):
                return head
            logger.bind(
                step="foreign",
                peer=self._placed.target.target,
                request=self._request.request_id,
                other=head.request,
            ).info(f"skipped: {head.status} for another request")
            await _read_rest(connection.skip_response)
            head = await _end_in_time(OWN_ANSWER_TIMEOUT_S, self._read_head, connection)
        raise ConnectionClosedError("answers to other requests without end")

    async def _read_head(self, connection: UpstreamConnection) -> TargetHead:
        raw = await connection.read_head()
        return self._context.wire.read_head(raw.status_code, raw.headers)

    def _is_own(self, head: TargetHead, connection: UpstreamConnection) -> bool:
        """Whether an answer belongs to this request.

        :raises ConnectionClosedError: if nothing says so.
        """
        if head.request:
            return head.request == self._request.request_id
        if head.not_run and not connection.was_used:
            return True
        raise ConnectionClosedError("an answer that names no request")

    async def _handle_answer(
        self, connection: UpstreamConnection, head: TargetHead, sent_at: float
    ) -> AttemptEnd:
        target = self._placed.target
        self._context.signals.record(target, head.signals, sent_at)
        self._context.unframed_ends.record_answer(target, head, sent_at)
        if head.load is not None:
            self._report(self._build_step(load=head.load))
        if head.not_run:
            await self._skip_rejection(connection, head)
            return WasNotRun(f"turned away with {head.status}", head.status == 409)
        is_success = 200 <= head.status < 300
        if is_success and not head.sealed:
            raise ConnectionClosedError("an answer without a seal")
        if is_success and head.is_stream:
            return await self._relay_stream(connection, head)
        body = await connection.read_body()
        await self._check_end(connection)
        self._report_first_byte()
        await self._release_connection(connection, head)
        if not is_success:
            return TargetFailed(head.status, head.headers, body)
        if self._reply.begun:
            raise ConnectionClosedError("no stream where one went on")
        self._reply.send(head.status, body, head.headers)
        return Delivered()

    async def _skip_rejection(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> None:
        """Read the rest of a rejection, or close the connection if it has no end."""
        try:
            await _read_rest(connection.read_body)
        except ConnectionClosedError:
            await self._close_connection()
        else:
            await self._release_connection(connection, head)

    async def _relay_stream(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> AttemptEnd:
        splitter = EventSplitter()
        connection.keep(KeptEvents(splitter, self._reply))
        # Nothing is kept here of one chunk while the next one is waited for.
        while await self._relay_chunk(await connection.read_chunk(), splitter, head):
            connection.record_kept()
            await self._wait_for_caller(connection)
        if not splitter.is_between_events:
            raise ConnectionClosedError("ended in the middle of an event")
        if connection.ends_by_closing and self._first_byte_at is None:
            raise ConnectionClosedError("ended before the first event")
        await self._check_end(connection)
        await self._release_connection(connection, head)
        self._begin(head)
        if splitter.rest:
            self._reply.send_chunk(splitter.rest)
        self._reply.end()
        return Delivered()

    async def _relay_chunk(
        self, chunk: bytes, splitter: EventSplitter, head: TargetHead
    ) -> bool:
        """Pass on the events that a chunk completes; return whether it is one."""
        if not chunk:
            return False
        events = splitter.feed(chunk, MAX_EVENTS_AT_ONCE)
        while events:
            self._pass_on(events, head)
            if len(events) < MAX_EVENTS_AT_ONCE:
                break
            await curio.sleep(0)
            events = splitter.feed(b"", MAX_EVENTS_AT_ONCE)
        await self._stages.release()
        return True

    async def _check_end(self, connection: UpstreamConnection) -> None:
        """Check that an answer without a length has not broken off.

        :raises ConnectionClosedError: if it has.
        """
        if not connection.ends_by_closing:
            return
        end = UnframedEnd(
            self._placed.target,
            self._service,
            read_monotonic(),
            self._deadline,
            connection.check_room,
        )
        why = await self._context.unframed_ends.find_break(end)
        if why:
            raise ConnectionClosedError(why)
        connection.check_room()

    def _begin(self, head: TargetHead) -> None:
        """Pass on the head, unless one went out.

        Until then a target that breaks off leaves the caller's answer open.
        """
        if not self._reply.begun:
            self._reply.begin_stream(head.status, head.headers)

    def _pass_on(self, events: Sequence[StreamEvent], head: TargetHead) -> None:
        for event in events:
            if not self.last_event and not follows(event.event_id, self._after_event):
                raise ConnectionClosedError("began with an event that was passed on")
            self._begin(head)
            self._reply.send_chunk(event.data)
            self.last_event = event.event_id or self.last_event
            self._report_event()
            self._times.record_event()

    async def _wait_for_caller(self, connection: UpstreamConnection) -> None:
        """Stop reading from the target while the caller is too slow.

        :raises ConnectionClosedError: if the answer is given up meanwhile.
        """
        while self._reply.unsent_bytes > MAX_UNSENT_BYTES:
            await curio.sleep(CALLER_POLL_INTERVAL_S)
            connection.check_room()

    def _report_first_byte(self) -> None:
        if self._first_byte_at is None:
            self._first_byte_at = read_monotonic()
            self._report(self._build_step(began=True))

    def _report_event(self) -> None:
        """Report the first event, and where the stream began as soon as it is known."""
        is_first = self._first_byte_at is None
        if is_first:
            self._first_byte_at = read_monotonic()
        elif self._binding.is_known:
            return
        origin = self._binding.record_event(self._placed.target)
        if is_first or origin is not None:
            sample = self._measure_reading() if is_first else None
            step = self._build_step(began=is_first, origin=origin)
            self._report(msgspec.structs.replace(step, sample=sample))

    def _measure_reading(self) -> ReadingSample | None:
        """Measure the time to the first event, if the target had only to read for it.

        If all its slots were occupied, the request waited for one, and a stream that
        goes on may not begin with the first event that the target writes.
        """
        placed = self._placed
        is_full = placed.requests_ahead >= placed.target.slots
        is_said = self._request.prompt is not None and placed.tokens_ahead >= 0
        if not is_said or is_full or self._after_event:
            return None
        elapsed_ms = (read_monotonic() - self._sent_at) * 1000
        return ReadingSample(
            self._service,
            placed.unread_tokens,
            placed.tokens_ahead,
            placed.requests_ahead,
            elapsed_ms,
        )

    def _build_step(
        self,
        *,
        load: TargetLoad | None = None,
        began: bool = False,
        ended: bool = False,
        succeeded: bool | None = None,
        origin: StreamOrigin | None = None,
    ) -> PlaceStep:
        return PlaceStep(
            ticket=self._placed.ticket,
            target=self._placed.target.target,
            load=load,
            began=began,
            ended=ended,
            good=succeeded,
            origin=origin,
        )

    def _report(self, step: PlaceStep) -> None:
        self._context.placement.report(step)

    async def _release_connection(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> None:
        self._connection = None
        self._context.upstream.record_traffic(REQUESTS, connection)
        await self._context.upstream.release_connection(connection, head.keep_alive_s)

    async def _close_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._context.upstream.record_traffic(REQUESTS, connection)
            await connection.close()


async def _read_rest(read: Callable[[int], Awaitable[object]]) -> None:
    """Read the rest of an answer that nobody needs.

    :raises ConnectionClosedError: if it doesn't end soon.
    """
    await _end_in_time(UNNEEDED_TIMEOUT_S, read, MAX_UNNEEDED_BYTES)


async def _end_in_time(
    timeout_s: float, read: Callable[[P], Awaitable[T]], argument: P
) -> T:
    """Read from a connection, and give it up if that takes too long.

    :raises ConnectionClosedError: if it takes too long.
    """
    try:
        return await timeout_after(timeout_s, read, argument)
    except curio.TaskTimeout:
        raise ConnectionClosedError(f"no end within {timeout_s:.1f} s") from None


def _is_target_innocent(end: AttemptEnd | NotSent) -> bool:
    """Whether an attempt failed by no fault of the target."""
    if isinstance(end, NotSent):
        return True
    if not isinstance(end, WasNotRun):
        return False
    return end.inputs_gone or not end.is_target_suspect
