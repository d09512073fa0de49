"""An HTTP server by h11 that no single peer can hurt."""

from __future__ import annotations

import sys
from typing import Any

import curio
import curio.socket
from loguru import logger

from bramleyspread_core import Address
from bramleyspread_daemon._clock import STAMP_HEADER, ProcessClock, read_monotonic
from bramleyspread_daemon._connection import Connection
from bramleyspread_daemon._exchange import Handler, HttpRequest, Reply
from bramleyspread_daemon._owner import Stalled
from bramleyspread_daemon._refusal import write_failure
from bramleyspread_daemon._served import FLUSH_S, ServedConnection
from bramleyspread_daemon._settings import Limits

#: Connections that wait to be accepted.
BACKLOG = 1_024
#: How often connections past their time are looked for, in seconds.
SWEEP_S = 0.25

#: How often a server without slow readers looks for new ones, in seconds.
IDLE_SWEEP_S = 0.05


class HttpServer:
    """Takes connections and passes their requests to a handler.

    Bounds connections, sizes and times, so that a peer that breaks the
    protocol, sends too much or too slowly only loses its own connection.
    """

    def __init__(self, handler: Handler, limits: Limits, clock: ProcessClock) -> None:
        self._handler = handler
        self._listening: Any = None
        self._accepting: Any = None
        self._connections: set[ServedConnection] = set()
        self._stalled: set[Stalled] = set()
        #: Bounds on peers.
        self.limits = limits
        #: Stamps what is sent.
        self.clock = clock
        #: Whether its peers are strangers, who are sent no stamps.
        self.is_public = False
        #: Whether peers are told to close their connections.
        self.draining = False
        #: Connections taken so far.
        self.accepted = 0
        #: Requests taken so far.
        self.requests = 0
        #: Bytes of bodies held now.
        self.held_bytes = 0
        #: Requests refused as HTTP, by status.
        self.refusals: dict[int, int] = {}

    @property
    def open_connections(self) -> int:
        """Connections open now."""
        return len(self._connections)

    @property
    def replies_open(self) -> int:
        """Connections whose reply is not finished or not fully sent."""
        return sum(each.is_replying for each in self._connections)

    async def start(self, address: Address) -> Address:
        """Listen, and serve in tasks of their own.

        :param address: where to listen; port 0 takes any free one.
        :returns: where it listens.
        :raises OSError: when the address cannot be had.
        """
        family = curio.socket.AF_INET6 if ":" in address.ip else curio.socket.AF_INET
        listening = curio.socket.socket(family, curio.socket.SOCK_STREAM)
        listening.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
        listening.bind((address.ip, address.port))
        listening.listen(BACKLOG)
        self._listening = listening
        self._accepting = await curio.spawn(self._accept, daemon=True)
        await curio.spawn(self._sweep, daemon=True)
        ip, port = listening.getsockname()[:2]
        return Address(ip, port)

    async def stop_accepting(self) -> None:
        """Take no new connections; requests that were begun are served on.

        Connections without a request are closed: a caller that sent one on them
        later would find this process gone before it could answer.
        """
        if self._accepting is not None:
            await self._accepting.cancel()
            await self._listening.close()
            self._accepting = None
        for connection in tuple(self._connections):
            connection.close_idle()

    async def close_connections(self) -> None:
        """Cut every open connection."""
        for connection in tuple(self._connections):
            connection.abort()
        while self._connections:
            await curio.sleep(FLUSH_S)

    async def answer(self, request: HttpRequest, reply: Reply) -> None:
        """Pass a request to the handler; a fault in it answers 500.

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
            log.opt(exception=sys.exc_info()).error("the handler failed")
            if not reply.begun:
                reply.send(500, write_failure("internal fault; see the log"))

    def note_stalled(self, served: Stalled) -> None:
        """Remember a connection with bytes that wait for a slow reader.

        :param served: the connection.
        """
        self._stalled.add(served)

    def hold(self, size: int) -> bool:
        """Take bytes of a body into account.

        :param size: the bytes.
        :returns: False when there are too many; they count until let go all the same.
        """
        self.held_bytes += size
        return self.held_bytes <= self.limits.held_bytes

    def let_go(self, size: int) -> None:
        """Take note that bytes of a body are held no more.

        :param size: the bytes.
        """
        self.held_bytes -= size

    def count_refusal(self, status: int) -> None:
        """Count a request that was not taken as HTTP.

        :param status: the HTTP status it was answered with.
        """
        self.refusals[status] = self.refusals.get(status, 0) + 1

    async def _accept(self) -> None:
        while True:
            try:
                connected, _ = await self._listening.accept()
            except OSError as error:
                logger.bind(step="accept", peer="-").warning(f"{error}")
                await curio.sleep(FLUSH_S)
                continue
            self.accepted += 1
            await curio.spawn(self._serve, connected, daemon=True)

    async def _serve(self, connected: Any) -> None:  # noqa: ANN401
        try:
            served = ServedConnection(Connection(connected), self)
        except OSError:
            await connected.close()
            return
        full = len(self._connections) >= self.limits.connections
        self._connections.add(served)
        try:
            if full:
                served.refuse_full()
            await served.run()
        finally:
            self._connections.discard(served)
            self._stalled.discard(served)

    async def _sweep(self) -> None:
        next_sweep = 0.0
        while True:
            await curio.sleep(FLUSH_S if self._stalled else IDLE_SWEEP_S)
            now = read_monotonic()
            for each in tuple(self._stalled):
                if each.flush(now):
                    self._stalled.discard(each)
            if now >= next_sweep:
                next_sweep = now + SWEEP_S
                self.sweep(now)

    def sweep(self, now: float) -> None:
        """End the connections whose time is over.

        :param now: monotonic seconds.
        """
        for each in tuple(self._connections):
            if each.due is not None and each.due <= now:
                each.refuse_late()
