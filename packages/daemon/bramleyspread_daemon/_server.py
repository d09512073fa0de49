"""An HTTP server on h11 that limits the resources each peer can use."""

from __future__ import annotations

import math
import sys
from typing import Any

import curio
import curio.io
from loguru import logger

from bramleyspread_core import Address
from bramleyspread_daemon._binding import BACKLOG, bind_listener
from bramleyspread_daemon._clock import STAMP_HEADER, ProcessClock, read_monotonic
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._exchange import Handler, HttpRequest, Reply
from bramleyspread_daemon._kept_bytes import Holder, KeptBytes
from bramleyspread_daemon._refusal import encode_failure
from bramleyspread_daemon._server_connection import FLUSH_INTERVAL_S, ServerConnection
from bramleyspread_daemon._server_context import StalledConnection
from bramleyspread_daemon._settings import Limits
from bramleyspread_daemon._traffic import ByteCountSource, Traffic

#: How often connections are checked for timeouts.
TIMEOUT_SWEEP_INTERVAL_S = 0.25

#: Maximum size of a body that another host of the deployment sends, in bytes, whatever
#: the limit of other bodies is: hosts must take what any of them has accepted, also
#: under settings of earlier builds.
MAX_HOST_BODY_BYTES = 67_108_864

#: How often the flush loop wakes while no connection has buffered bytes.
IDLE_FLUSH_INTERVAL_S = 0.05


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    Connection count, message sizes and durations are limited, so that a peer that
    violates the protocol, sends too much or sends too slowly loses only its own
    connection.
    """

    def __init__(self, handler: Handler, limits: Limits, clock: ProcessClock) -> None:
        self._handler = handler
        self._listen_socket: Any = None
        self._accept_task: Any = None
        self._connections: set[ServerConnection] = set()
        self._stalled: set[StalledConnection] = set()
        #: Limits on connections and requests.
        self.limits = limits
        #: The clock whose stamps are added to responses.
        self.clock = clock
        #: Whether peers are outside the deployment; they are sent no clock stamps.
        self.is_public = False
        #: Whether responses ask peers to close their connections.
        self.draining = False
        #: When requests of peers outside the deployment are refused, as the process is
        #: about to end, in monotonic seconds.
        self.refuses_from = math.inf
        #: Connections accepted so far.
        self.accepted = 0
        #: Requests passed to the handler so far.
        self.requests = 0
        #: Bytes that its connections keep; servers of one process may share it.
        self.kept = KeptBytes(limits.held_bytes)
        #: Bytes of its requests and replies.
        self.traffic = Traffic()
        #: Paths whose bytes are counted under their own names.
        self.counted_paths: frozenset[str] = frozenset()
        #: Paths that hosts of the deployment call; their bodies have their own limit.
        self.host_paths: frozenset[str] = frozenset()
        #: Conversation under which the bytes of all other paths are counted.
        self.conversation = "other"
        #: Requests refused before they reached the handler, by HTTP status.
        self.refusals: dict[int, int] = {}

    @property
    def refuses_requests(self) -> bool:
        """Whether further requests are refused, as the process is about to end."""
        return self.is_public and read_monotonic() >= self.refuses_from

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are kept of requests and replies."""
        return self.kept.size

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def open_replies(self) -> int:
        """Number of connections whose reply is unfinished or not fully sent."""
        return sum(each.has_open_reply for each in self._connections)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether a peer has sent something that is not read yet."""
        return any(each.has_unread_bytes for each in self._connections)

    async def start(self, address: Address) -> Address:
        """Listen, and start the accept and sweep tasks.

        :param address: the address to listen on; port 0 selects a free port.
        :returns: the actual address.
        :raises OSError: when the address cannot be bound.
        :raises StoppedBeforeServingError: when a signal to stop arrives while the
            address is in use.
        """
        listen_socket = await bind_listener(address)
        self._listen_socket = listen_socket
        self._accept_task = await curio.spawn(self._accept_loop, daemon=True)
        await curio.spawn(self._sweep_loop, daemon=True)
        ip, port = listen_socket.getsockname()[:2]
        return Address(ip, port)

    async def stop_accepting(self) -> None:
        """Stop accepting connections; requests in progress continue.

        Requests that peers outside the deployment send from now on, on connections
        that are busy, are refused: they might not be finished in time. Idle connections
        are closed, because a request sent on one later could arrive after this process
        has exited and would get no answer.
        """
        self.refuses_from = min(self.refuses_from, read_monotonic())
        if self._accept_task is not None:
            await self._accept_task.cancel()
            await self._accept_waiting()
            await self._listen_socket.close()
            self._accept_task = None
        for connection in tuple(self._connections):
            connection.close_idle()

    async def _accept_waiting(self) -> None:
        """Accept the connections that wait; closing the socket would reset them."""
        for _ in range(BACKLOG):
            try:
                accepted, _ = self._listen_socket._socket.accept()
            except OSError:
                break
            self.accepted += 1
            client_socket = curio.io.Socket(accepted)
            await curio.spawn(self._serve_connection, client_socket, daemon=True)
        # Their tasks have to begin before connections are counted.
        await curio.sleep(0)

    async def close_connections(self) -> None:
        """Abort all open connections and wait until their tasks have ended."""
        for connection in tuple(self._connections):
            connection.abort()
        while self._connections:
            await curio.sleep(FLUSH_INTERVAL_S)

    async def answer(self, request: HttpRequest, reply: Reply) -> None:
        """Pass a request to the handler; an exception in it is answered with a 500.

        :param request: the request.
        :param reply: the reply.
        """
        self.requests += 1
        if not self.is_public:
            self.clock.merge_text(request.headers.get(STAMP_HEADER, ""))
        try:
            await self._handler.handle(request, reply)
        except Exception:
            log = logger.bind(step="http", peer=request.path)
            log.opt(exception=sys.exc_info()).error(
                "request handler raised an exception"
            )
            if not reply.begun:
                reply.send(500, encode_failure("internal fault; see the log"))

    def add_stalled(self, server_connection: StalledConnection) -> None:
        """Register a connection whose buffered bytes must be flushed later.

        :param server_connection: the connection.
        """
        self._stalled.add(server_connection)

    def find_body_limit(self, path: str) -> int:
        """Find the maximum size of a request's body, in bytes.

        :param path: the path of the request.
        """
        if path in self.host_paths:
            return MAX_HOST_BODY_BYTES
        return self.limits.body_bytes

    def is_host_path(self, path: str) -> bool:
        """Whether only other hosts of the deployment call a path.

        :param path: the path of the request.
        """
        return path in self.host_paths

    def record_kept(self, holder: Holder, size: int) -> None:
        """Record how much a connection keeps; some may give up, also this one.

        :param holder: the connection.
        :param size: the number of bytes.
        """
        self.kept.resize(holder, size)

    def record_traffic(self, path: str, connection: ByteCountSource) -> None:
        """Count the bytes of a request and its reply.

        :param path: the path of the request.
        :param connection: the connection that carried it.
        """
        is_counted = path in self.counted_paths
        conversation = path if is_counted else self.conversation
        self.traffic.record_exchange(conversation, connection)

    def count_refusal(self, status: int) -> None:
        """Count a request that was refused before it reached the handler.

        :param status: the HTTP status of the refusal.
        """
        self.refusals[status] = self.refusals.get(status, 0) + 1

    async def _accept_loop(self) -> None:
        while True:
            try:
                client_socket, _ = await self._listen_socket.accept()
            except OSError as error:
                logger.bind(step="accept", peer="-").warning(f"{error}")
                await curio.sleep(FLUSH_INTERVAL_S)
                continue
            self.accepted += 1
            await curio.spawn(self._serve_connection, client_socket, daemon=True)

    async def _serve_connection(self, client_socket: Any) -> None:  # noqa: ANN401
        try:
            server_connection = ServerConnection(Connection(client_socket), self)
        except OSError:
            await client_socket.close()
            return
        is_over_limit = len(self._connections) >= self.limits.connections
        self._connections.add(server_connection)
        try:
            if is_over_limit:
                server_connection.refuse_over_limit()
            await server_connection.run()
        finally:
            self._connections.discard(server_connection)
            self._stalled.discard(server_connection)

    async def _sweep_loop(self) -> None:
        next_sweep = 0.0
        while True:
            await curio.sleep(
                FLUSH_INTERVAL_S if self._stalled else IDLE_FLUSH_INTERVAL_S
            )
            now = read_monotonic()
            for each in tuple(self._stalled):
                if each.flush(now):
                    self._stalled.discard(each)
            if now >= next_sweep:
                next_sweep = now + TIMEOUT_SWEEP_INTERVAL_S
                self.sweep(now)

    def sweep(self, now: float) -> None:
        """Close the connections whose deadline has passed.

        :param now: the monotonic time, in seconds.
        """
        for each in tuple(self._connections):
            if each.deadline is not None and each.deadline <= now:
                each.close_timed_out()
