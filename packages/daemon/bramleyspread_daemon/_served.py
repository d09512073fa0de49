"""One connection that this process accepted, and the requests on it."""

from __future__ import annotations

import curio
import h11

from bramleyspread_daemon._clock import STAMP_HEADER, read_monotonic
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._exchange import Headers, HttpRequest, Reply
from bramleyspread_daemon._owner import Owner
from bramleyspread_daemon._refusal import write_refusal, write_retry

#: Bytes taken from a caller while its reply is not finished.
MAX_EARLY_BYTES = 65_536
#: How long a connection that this side finished is read before it is cut, in seconds.
LINGER_S = 1.0
#: When a peer that was turned away may come back, in milliseconds.
RETRY_MS = 1_000
#: How often bytes that wait for slow readers are tried again, in seconds.
FLUSH_S = 0.005


class _BadRequestError(Exception):
    """A request that cannot be taken, with its HTTP status."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class ServedConnection:
    """One connection from a caller, target, operator or other host."""

    __slots__ = (
        "_connection",
        "_early_bytes",
        "_head_only",
        "_held_bytes",
        "_http",
        "_reply",
        "_server",
        "closing",
        "due",
    )

    def __init__(self, connection: Connection, server: Owner) -> None:
        self._connection = connection
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self._reply: Reply | None = None
        self._early_bytes = 0
        self._held_bytes = 0
        self._head_only = False
        #: Whether nothing more is sent on it.
        self.closing = False
        #: When its present phase must be over; None while a reply is awaited.
        self.due: float | None = read_monotonic() + server.limits.idle_s

    @property
    def is_replying(self) -> bool:
        """Whether a reply is not yet finished, or not yet fully sent."""
        awaited = self._reply is not None and not self._reply.ended
        unsent = self._connection.pending_bytes > 0
        return (awaited or unsent) and not self._connection.aborted

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the peer to take them."""
        return self._connection.pending_bytes

    async def run(self) -> None:
        """Serve requests one after the other until the connection ends."""
        try:
            while not self.closing and await self._serve_one():
                self._let_go()
            self._let_go()
            await self._linger()
        finally:
            self._let_go()
            self._connection.abort()
            await self._leave()
            await self._connection.close()

    def _let_go(self) -> None:
        self._server.let_go(self._held_bytes)
        self._held_bytes = 0

    async def _serve_one(self) -> bool:
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
        self.due = None
        self._early_bytes = 0
        self._reply = reply = Reply(self)
        await self._server.answer(request, reply)
        return reply.ended or await self._await_end(reply)

    async def _await_end(self, reply: Reply) -> bool:
        """Wait for a reply that comes later, and notice when the caller leaves.

        A reply that ends while this waits leaves it waiting for the next
        request's first bytes, which is what comes next.
        """
        while not reply.ended:
            data = await self._connection.read()
            if not data:
                return False
            self._early_bytes += len(data)
            if self._early_bytes > MAX_EARLY_BYTES:
                return False
            self._feed(data)
        return True

    async def _leave(self) -> None:
        reply = self._reply
        if reply is None or reply.ended or reply.left:
            return
        reply.left = True
        if reply.on_left is not None:
            await reply.on_left()

    async def _read_request(self) -> HttpRequest | None:
        head = None
        body: list[bytes] = []
        size = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if not await self._read_more():
                    return None
            elif isinstance(event, h11.Request):
                head = event
                self._check_head(event)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                self._hold(len(event.data))
                if size > self._server.limits.body_bytes:
                    raise self._refuse_body()
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _build_request(head, b"".join(body))
            else:
                return None

    def _check_head(self, head: h11.Request) -> None:
        self._head_only = head.method == b"HEAD"
        for name, value in head.headers:
            if name == b"content-length":
                if int(value) > self._server.limits.body_bytes:
                    raise self._refuse_body()
                if any(each == b"transfer-encoding" for each, _ in head.headers):
                    raise _BadRequestError(400, "both a length and chunks")
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._connection.write(self._http.send(interim) or b"")

    def _hold(self, size: int) -> None:
        self._held_bytes += size
        if not self._server.hold(size):
            why = "too many requests' bodies at once; try again or another host"
            raise _BadRequestError(503, why)

    def _refuse_body(self) -> _BadRequestError:
        return _BadRequestError(
            413, f"body over {self._server.limits.body_bytes} bytes"
        )

    async def _read_more(self) -> bool:
        data = await self._connection.read()
        if not data and self._connection.aborted:
            return False
        self._feed(data)
        return True

    def _feed(self, data: bytes) -> None:
        if self._http.their_state is h11.IDLE and not self._http.trailing_data[0]:
            self.due = read_monotonic() + self._server.limits.receive_s
        self._http.receive_data(data)

    def close_idle(self) -> None:
        """Close the connection if it carries no request."""
        begun = self._http.their_state is not h11.IDLE or self._http.trailing_data[0]
        if not begun and not self.is_replying:
            self._connection.abort()

    def refuse_late(self) -> None:
        """End a connection that is past its time, telling a slow sender why."""
        if self.closing:
            self._connection.abort()
        elif self._http.trailing_data[0] or self._http.their_state is h11.SEND_BODY:
            self._refuse(408, "the request did not arrive in time; send it faster")
        else:
            self._connection.abort()

    def refuse_full(self) -> None:
        """Turn a connection away because too many are open."""
        self._refuse(503, "too many connections; try again or another host")

    def _refuse(self, status: int, why: str) -> None:
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._connection.abort()
            return
        body = write_refusal(status, why)
        self._server.count_refusal(status)
        headers = [("content-type", "application/json"), ("connection", "close")]
        if status == 503:
            headers += write_retry(RETRY_MS)
        self.send_whole(status, headers, body)

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole reply in one piece.

        :param status: the HTTP status.
        :param headers: headers besides length and stamp.
        :param body: the body.
        """
        sized = [*headers, ("content-length", str(len(body)))]
        pieces = [self._http.send(self._build_head(status, sized))]
        if body and not self._head_only:
            pieces.append(self._http.send(h11.Data(data=body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        self._write(b"".join(piece for piece in pieces if piece))
        self._finish_cycle()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the head of a reply of unknown length.

        :param status: the HTTP status.
        :param headers: headers besides the stamp.
        """
        head = self._build_head(status, headers)
        self._write(self._http.send(head) or b"")

    def send_piece(self, piece: bytes) -> None:
        """Send a piece of a reply's body.

        :param piece: bytes.
        """
        self._write(self._http.send(h11.Data(data=piece)) or b"")

    def send_end(self) -> None:
        """Send the end of a reply of unknown length."""
        self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._finish_cycle()

    def _write(self, data: bytes) -> None:
        self._connection.write(data)
        if self._connection.pending_bytes:
            self._server.note_stalled(self)

    def _build_head(self, status: int, headers: Headers) -> h11.Response:
        sent = [*headers]
        if not self._server.is_public:
            sent.append((STAMP_HEADER, self._server.clock.tick_text()))
        if self._server.draining:
            sent.append(("connection", "close"))
        return h11.Response(status_code=status, headers=sent)

    def _finish_cycle(self) -> None:
        reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if reusable:
            self._http.start_next_cycle()
            self.due = read_monotonic() + self._server.limits.idle_s
            return
        self.closing = True
        self.due = read_monotonic() + LINGER_S
        if self._connection.pending_bytes == 0:
            self._connection.finish_writing()

    async def _linger(self) -> None:
        """Let the last bytes reach the peer before the connection is cut."""
        while self._connection.pending_bytes and not self._connection.aborted:
            self.due = read_monotonic() + LINGER_S
            await curio.sleep(FLUSH_S)
        if self.closing and not self._connection.aborted:
            self._connection.finish_writing()
            while await self._connection.read():
                pass

    def flush(self, now: float) -> bool:
        """Try to send what waits for a slow reader.

        :param now: monotonic seconds.
        :returns: True when nothing waits any more.
        """
        self._connection.flush(now)
        return self._connection.pending_bytes == 0

    def abort(self) -> None:
        """Cut the connection."""
        self._connection.abort()


def _build_request(head: h11.Request, body: bytes) -> HttpRequest:
    path, _, query = head.target.decode("ascii").partition("?")
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name, value = raw_name.decode("ascii"), raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return HttpRequest(
        head.method.decode("ascii"),
        path,
        query,
        headers,
        body,
        head.target.decode("ascii"),
        tuple((bytes(name), bytes(value)) for name, value in head.headers.raw_items()),
    )
