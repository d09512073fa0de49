"""An accepted HTTP connection and the requests that arrive on it."""

from __future__ import annotations

import contextlib

import curio
import h11

from bramleyspread_daemon._clock import STAMP_HEADER, read_monotonic
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._exchange import (
    Headers,
    HttpRequest,
    Reply,
    Switch,
    build_request,
)
from bramleyspread_daemon._refusal import encode_refusal, make_retry_headers
from bramleyspread_daemon._server_context import ServerContext
from bramleyspread_daemon._turns import Turns

#: Maximum bytes read from a caller while its reply is unfinished.
MAX_PIPELINED_BYTES = 65_536
#: How long to read from a closing connection before it is aborted.
LINGER_TIMEOUT_S = 1.0
#: Retry-after time sent with a 503.
RETRY_AFTER_MS = 1_000
#: How often buffered bytes of slow readers are flushed.
FLUSH_INTERVAL_S = 0.005


class _BadRequestError(Exception):
    """A request that is refused with an HTTP error status."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class ServerConnection:
    """A connection from a caller, target, operator or other host."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_connection",
        "_http",
        "_is_given_up",
        "_is_head_request",
        "_is_receiving",
        "_max_body_bytes",
        "_pipelined_bytes",
        "_reply",
        "_server",
        "_turns",
        "_unparsed_bytes",
        "closing",
        "deadline",
        "is_host",
    )

    def __init__(self, connection: Connection, server: ServerContext) -> None:
        self._connection = connection
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self._reply: Reply | None = None
        self._pipelined_bytes = 0
        self._is_head_request = False
        self._is_receiving = True
        self._is_given_up = False
        self._max_body_bytes = server.limits.body_bytes
        self._turns = Turns()
        self._body = bytearray()
        # What is kept of the body, also during the reply, and what the parser keeps.
        self._body_bytes = self._unparsed_bytes = 0
        #: Whether its peer is another host of the deployment.
        self.is_host = False
        #: Whether no further response will be sent on it.
        self.closing = False
        #: When the connection times out, unless the handler prepares a reply.
        self.deadline: float | None = read_monotonic() + server.limits.idle_s

    @property
    def has_open_reply(self) -> bool:
        """Whether a reply is unfinished, or has bytes that are not yet sent."""
        awaited = self._reply is not None and not self._reply.ended
        unsent = self._connection.pending_bytes > 0
        return (awaited or unsent) and not self._connection.aborted

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the peer has sent something that is not read yet."""
        is_open = not self.closing and not self._connection.aborted
        return is_open and not self._connection.is_idle()

    @property
    def unsent_bytes(self) -> int:
        """Number of response bytes buffered because the peer reads too slowly."""
        return self._connection.pending_bytes

    @property
    def freeable_bytes(self) -> int:
        """Number of bytes that giving up frees at once."""
        body_bytes = self._body_bytes if self._is_receiving else 0
        return body_bytes + self._unparsed_bytes + self._connection.pending_bytes

    def give_up(self) -> None:
        """Keep nothing any more, and close the connection, after a 503 if possible."""
        self._is_given_up = True
        if self._is_receiving and not self._connection.pending_bytes:
            self._refuse(503, "too many bytes at once; try again or another host")
            self._body = bytearray()
            self._http = h11.Connection(h11.SERVER)
        else:
            self._connection.abort()

    async def run(self) -> None:
        """Serve requests one at a time until the connection closes."""
        try:
            while not self.closing and await self._serve_request():
                self._drop_body()
            self._unparsed_bytes = 0
            self._drop_body()
            await self._linger()
        finally:
            self._connection.abort()
            self._unparsed_bytes = 0
            self._drop_body()
            await self._notify_disconnect()
            await self._connection.close()

    def _drop_body(self) -> None:
        self._body = bytearray()
        self._body_bytes = 0
        self._record_kept()

    def _record_kept(self) -> None:
        """Count what is kept; then this connection may have been given up."""
        if not self._is_given_up:
            kept = self._body_bytes + self._unparsed_bytes
            self._server.record_kept(self, kept + self._connection.pending_bytes)

    async def _serve_request(self) -> bool:
        try:
            request = await self._read_request()
        except _BadRequestError as error:
            self._refuse(error.status, str(error))
            return False
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
            return False
        if request is None:
            return False
        if self._server.refuses_requests:
            self._refuse(503, "about to stop; try another host")
            return False
        self.deadline = None
        self._pipelined_bytes = 0
        self._reply = reply = Reply(self)
        try:
            await self._server.answer(request, reply)
            if reply.switched is not None:
                await self._switch(reply, reply.switched)
                return False
            return reply.ended or await self._wait_for_reply_end(reply)
        finally:
            self._server.record_traffic(request.path, self._connection)

    async def _switch(self, reply: Reply, switch: Switch) -> None:
        """Change the connection to another protocol, until it closes."""
        headers = [("upgrade", switch.protocol), ("connection", "upgrade")]
        head = h11.InformationalResponse(status_code=101, headers=headers)
        with contextlib.suppress(OSError):
            await self._connection.send_all(self._http.send(head) or b"")
        early, _ = self._http.trailing_data
        must_reset = await switch.use(self._connection, early)
        reply.ended = True
        if must_reset:
            await self._connection.reset()

    async def _wait_for_reply_end(self, reply: Reply) -> bool:
        """Wait until an asynchronous reply ends, and detect a caller disconnect.

        When the reply ends during the read, the read continues and receives the
        first bytes of the next request.
        """
        while not reply.ended:
            data = await self._connection.read()
            if not data:
                return False
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                return False
            self._feed(data)
        return True

    async def _notify_disconnect(self) -> None:
        reply = self._reply
        if reply is None or reply.ended or reply.caller_disconnected:
            return
        reply.caller_disconnected = True
        if reply.on_disconnect is not None:
            await reply.on_disconnect()

    async def _read_request(self) -> HttpRequest | None:
        """Read one request; None when the connection closes before it is complete."""
        head = None
        self._is_receiving, self.is_host = True, False
        while not self._is_given_up:
            event = self._http.next_event()
            await self._turns.step()
            if event is h11.NEED_DATA:
                if not await self._read_more():
                    return None
            elif isinstance(event, h11.Request):
                head = event
                self._check_request_head(event)
            elif isinstance(event, h11.Data):
                self._add_to_body(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self._is_receiving, self._unparsed_bytes = False, 0
                body, self._body = bytes(self._body), bytearray()
                return build_request(head, body)
            else:
                return None
        return None

    def _check_request_head(self, head: h11.Request) -> None:
        self._is_head_request = head.method == b"HEAD"
        path = head.target.decode("ascii").partition("?")[0]
        self._max_body_bytes = self._server.find_body_limit(path)
        self.is_host = self._server.is_host_path(path)
        for name, value in head.headers:
            if name == b"content-length":
                if int(value) > self._max_body_bytes:
                    raise self._make_body_size_error()
                if any(each == b"transfer-encoding" for each, _ in head.headers):
                    raise _BadRequestError(400, "both a length and chunks")
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._connection.write(self._http.send(interim) or b"")

    def _add_to_body(self, data: bytes) -> None:
        # What may follow in the parser's buffer is less than one read.
        self._unparsed_bytes = 0
        self._body += data
        self._body_bytes = len(self._body)
        if self._body_bytes > self._max_body_bytes:
            raise self._make_body_size_error()
        self._record_kept()

    def _make_body_size_error(self) -> _BadRequestError:
        return _BadRequestError(413, f"body over {self._max_body_bytes} bytes")

    async def _read_more(self) -> bool:
        data = await self._connection.read()
        if self._is_given_up or (not data and self._connection.aborted):
            return False
        self._feed(data)
        return True

    def _feed(self, data: bytes) -> None:
        if self._http.their_state is h11.IDLE and not self._http.trailing_data[0]:
            self.deadline = read_monotonic() + self._server.limits.receive_s
        self._http.receive_data(data)
        self._unparsed_bytes += len(data)
        self._record_kept()

    def close_idle(self) -> None:
        """Close the connection unless a request is in progress, or waits unread."""
        has_request = (
            self._http.their_state is not h11.IDLE or self._http.trailing_data[0]
        )
        if has_request or self.has_open_reply or not self._connection.is_idle():
            return
        self._connection.abort()

    def close_timed_out(self) -> None:
        """Close the connection after a timeout; a slow sender gets a 408 first."""
        if self.closing:
            self._connection.abort()
        elif self._http.trailing_data[0] or self._http.their_state is h11.SEND_BODY:
            self._refuse(408, "the request did not arrive in time; send it faster")
        elif self._connection.is_idle():
            self._connection.abort()

    def refuse_over_limit(self) -> None:
        """Refuse the connection with a 503 because too many are open."""
        self._refuse(503, "too many connections; try again or another host")

    def _refuse(self, status: int, detail: str) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._connection.abort()
            return
        body = encode_refusal(status, detail)
        self._server.count_refusal(status)
        headers = [("content-type", "application/json"), ("connection", "close")]
        if status == 503:
            headers += make_retry_headers(RETRY_AFTER_MS)
        self.send_response(status, headers, body)

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        :param status: the HTTP status.
        :param headers: the headers except content length and clock stamp.
        :param body: the body.
        """
        sized_headers = [*headers, ("content-length", str(len(body)))]
        pieces = [self._http.send(self._build_head(status, sized_headers))]
        if body and not self._is_head_request:
            pieces.append(self._http.send(h11.Data(data=body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        self._write(b"".join(piece for piece in pieces if piece))
        self._finish_cycle()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a response of unknown length.

        :param status: the HTTP status.
        :param headers: the headers except the clock stamp.
        """
        head = self._build_head(status, headers)
        self._write(self._http.send(head) or b"")

    def send_chunk(self, piece: bytes) -> None:
        """Send a part of a response's body.

        :param piece: the bytes.
        """
        self._write(self._http.send(h11.Data(data=piece)) or b"")

    def send_end(self) -> None:
        """End a response of unknown length."""
        self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._finish_cycle()

    def _write(self, data: bytes) -> None:
        self._connection.write(data)
        if self._connection.pending_bytes:
            self._server.add_stalled(self)
            self._record_kept()

    def _build_head(self, status: int, headers: Headers) -> h11.Response:
        sent = [*headers]
        if not self._server.is_public:
            sent.append((STAMP_HEADER, self._server.clock.tick_text()))
        if self._server.draining:
            sent.append(("connection", "close"))
        # As bytes, since h11 takes no text that isn't ASCII.
        encoded = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in sent]
        return h11.Response(status_code=status, headers=encoded)

    def _finish_cycle(self) -> None:
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._server.refuses_requests
        )
        if reusable:
            self._http.start_next_cycle()
            self.deadline = read_monotonic() + self._server.limits.idle_s
            return
        self.closing = True
        self.deadline = read_monotonic() + LINGER_TIMEOUT_S
        if self._connection.pending_bytes == 0:
            self._connection.finish_writing()

    async def _linger(self) -> None:
        """Flush the remaining response bytes, then wait until the peer closes."""
        while self._connection.pending_bytes and not self._connection.aborted:
            self.deadline = read_monotonic() + LINGER_TIMEOUT_S
            await curio.sleep(FLUSH_INTERVAL_S)
        if self.closing and not self._connection.aborted:
            self._connection.finish_writing()
            is_sending = False
            while await self._connection.read():
                is_sending = True
            if is_sending and self._connection.aborted:
                # A peer whose bytes no longer fit would never learn of a plain close.
                await self._connection.reset()

    def flush(self, now: float) -> bool:
        """Try to send the buffered bytes.

        :param now: the monotonic time, in seconds.
        :returns: whether the buffer is empty.
        """
        self._connection.flush(now)
        self._record_kept()
        return self._connection.pending_bytes == 0

    def abort(self) -> None:
        """Close the connection at once."""
        self._connection.abort()
