"""One attempt of a request at one target, and the answer on its way to the caller."""

from __future__ import annotations

import curio

from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon.forward._context import ForwardContext
from bramleyspread_daemon.forward._stage_work import StageWork
from bramleyspread_daemon.forward._stream_times import StreamTimes
from bramleyspread_daemon.forward._upstream import UpstreamConnection
from bramleyspread_daemon.forward._wire import CallTerms, TargetHead
from bramleyspread_forwarding import (
    AttemptEnd,
    Delivered,
    EventError,
    EventSplitter,
    ForwardRequest,
    MayHaveRun,
    Placed,
    PlaceStep,
    TargetFailed,
    TargetLoad,
    WasNotRun,
)

#: Most time for reaching a target, in seconds.
CONNECT_S = 0.25
#: Bytes of a stream that may wait for a slow caller.
MOST_UNSENT_BYTES = 131_072
#: How often a slow caller is looked at, in seconds.
CALLER_POLL_S = 0.01


class Attempt:
    """One attempt: sent once, and its answer passed on as far as it is sound."""

    def __init__(
        self,
        context: ForwardContext,
        request: ForwardRequest,
        reply: Reply,
        stages: StageWork,
        times: StreamTimes,
        placed: Placed,
    ) -> None:
        self._context = context
        self._request = request
        self._reply = reply
        self._stages = stages
        self._times = times
        self._placed = placed
        self._connection: UpstreamConnection | None = None
        self._began = False
        self._is_settled = False
        #: Whether anything of the request left this host.
        self.was_sent = False
        #: Whether the target may be at work on it now.
        self.is_open = False
        #: The id of the last event that was passed on; None for none.
        self.last_event: str | None = None

    async def run(self, terms: CallTerms, idle_s: float) -> AttemptEnd:
        """Send the request, and pass its answer on.

        :param terms: what the target is told besides.
        :param idle_s: how long a connection may have been idle, in seconds.
        :returns: how it ended.
        """
        end: AttemptEnd | None = None
        try:
            end = await self._send(terms, idle_s)
        finally:
            self._settle(end)
        return end

    async def close(self) -> None:
        """Break it off, wherever it is; a target at work notices by its connection."""
        self._settle(None)
        await self._drop_connection()

    def _settle(self, end: AttemptEnd | None) -> None:
        """Tell the placement that a request is off its target, and how it ended."""
        if self._is_settled:
            return
        self._is_settled = True
        good: bool | None = None
        if isinstance(end, Delivered):
            good = True
        elif end is not None:
            good = None if isinstance(end, WasNotRun) and end.inputs_gone else False
        self._report(self._write_step(ended=True, good=good))

    async def _send(self, terms: CallTerms, idle_s: float) -> AttemptEnd:
        context, request = self._context, self._request
        try:
            connection = await context.upstream.take(
                self._placed.target.address, CONNECT_S, idle_s=idle_s
            )
        except UnsentError as error:
            return WasNotRun(str(error), reached=False)
        self._connection = connection
        headers = context.wire.write_head(request, terms)
        try:
            await connection.send(request.method, request.target, headers, request.body)
        except UnsentError as error:
            await self._drop_connection()
            return WasNotRun(str(error), reached=False)
        self.was_sent = self.is_open = True
        try:
            raw = await connection.read_head()
            head = context.wire.read_head(raw.status_code, raw.headers)
            end = await self._take_answer(connection, head)
        except (ClosedError, EventError) as error:
            await self._drop_connection()
            end = MayHaveRun(str(error))
        self.is_open = False
        return end

    async def _take_answer(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> AttemptEnd:
        if head.load is not None:
            self._report(self._write_step(load=head.load))
        if head.not_run:
            await connection.read_body()
            await self._give_back(connection, head)
            return WasNotRun(f"turned away with {head.status}", head.status == 409)
        if head.request != self._request.request:
            raise ClosedError("an answer to another request")
        good = 200 <= head.status < 300
        if good and not head.sealed:
            raise ClosedError("an answer without a seal")
        if good and head.is_stream:
            return await self._pass_stream(connection, head)
        body = await connection.read_body()
        self._note_first_byte()
        await self._give_back(connection, head)
        if not good:
            return TargetFailed(head.status, head.headers, body)
        if self._reply.begun:
            raise ClosedError("no stream where one went on")
        self._reply.send(head.status, body, head.headers)
        return Delivered()

    async def _pass_stream(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> AttemptEnd:
        splitter = EventSplitter()
        if not self._reply.begun:
            self._reply.begin(head.status, head.headers)
        while piece := await connection.read_piece():
            for event in splitter.feed(piece):
                self._reply.send_piece(event.data)
                self.last_event = event.event or self.last_event
                self._note_first_byte()
                self._times.note()
            await self._stages.release()
            await self._wait_for_caller()
        if not splitter.is_between:
            raise ClosedError("ended in the middle of an event")
        await self._give_back(connection, head)
        self._reply.end()
        return Delivered()

    async def _wait_for_caller(self) -> None:
        """Read no further from the target while the caller doesn't keep up."""
        while self._reply.unsent_bytes > MOST_UNSENT_BYTES:
            await curio.sleep(CALLER_POLL_S)

    def _note_first_byte(self) -> None:
        if not self._began:
            self._began = True
            self._report(self._write_step(began=True))

    def _write_step(
        self,
        *,
        load: TargetLoad | None = None,
        began: bool = False,
        ended: bool = False,
        good: bool | None = None,
    ) -> PlaceStep:
        return PlaceStep(
            ticket=self._placed.ticket,
            target=self._placed.target.target,
            load=load,
            began=began,
            ended=ended,
            good=good,
        )

    def _report(self, step: PlaceStep) -> None:
        self._context.placement.report(step)

    async def _give_back(
        self, connection: UpstreamConnection, head: TargetHead
    ) -> None:
        self._connection = None
        await self._context.upstream.give_back(connection, head.keep_s)

    async def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()
