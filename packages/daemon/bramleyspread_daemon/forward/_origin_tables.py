"""Origins of streams by service, and the messages about them between processes."""

from __future__ import annotations

from collections.abc import ItemsView

import msgspec

from bramleyspread_core import MessageError, decode_json
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon._routes import RouteHandler
from bramleyspread_forwarding import StreamOrigin, StreamOrigins

#: Path on which hosts ask where a stream began.
ORIGIN_PATH = "/v1/stream-origin"
#: Path on which hosts tell the keepers where streams began.
ORIGINS_PATH = "/v1/stream-origins"


class OriginQuery(msgspec.Struct, frozen=True):
    """Asks which software version began a stream."""

    stream: str


class OriginAnswer(msgspec.Struct, frozen=True):
    """The answer to :class:`OriginQuery`."""

    #: None if the process doesn't know.
    origin: StreamOrigin | None = None


class OriginCopies(msgspec.Struct, frozen=True):
    """Origins of which a keeper is told."""

    origins: tuple[StreamOrigin, ...]


class OriginTables:
    """Origins of streams that one process knows."""

    __slots__ = ("_tables",)

    def __init__(self) -> None:
        self._tables: dict[str, StreamOrigins] = {}

    def items(self) -> ItemsView[str, StreamOrigins]:
        """Return the tables by service."""
        return self._tables.items()

    def record(self, origin: StreamOrigin) -> None:
        """Record an origin of which this process has to tell the keepers."""
        self._find_table(origin.service).record(origin, read_monotonic())

    def remember(self, origin: StreamOrigin) -> None:
        """Record an origin of which another process tells the keepers."""
        self._find_table(origin.service).apply_copies((origin,), read_monotonic())

    def find(self, stream: str) -> StreamOrigin | None:
        """Find where a stream began; None if this process doesn't know."""
        now = read_monotonic()
        found = (table.find(stream, now) for table in self._tables.values())
        return next((each for each in found if each is not None), None)

    def expire(self) -> None:
        """Forget origins of streams that nobody takes up any more."""
        now = read_monotonic()
        for table in self._tables.values():
            table.expire(now)

    def _find_table(self, service: str) -> StreamOrigins:
        return self._tables.setdefault(service, StreamOrigins())

    def list_routes(self) -> dict[tuple[str, str], RouteHandler]:
        """Return the routes on which other processes ask and tell."""
        return {
            ("POST", ORIGIN_PATH): self.serve_query,
            ("POST", ORIGINS_PATH): self.serve_copies,
        }

    async def serve_query(self, http: HttpRequest, reply: Reply) -> None:
        """Handle another process's question where a stream began."""
        try:
            query: OriginQuery = decode_json(http.body, OriginQuery)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send_json(OriginAnswer(self.find(query.stream)))

    async def serve_copies(self, http: HttpRequest, reply: Reply) -> None:
        """Handle what another process tells the keepers."""
        try:
            copies: OriginCopies = decode_json(http.body, OriginCopies)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send(204, b"")
        for origin in copies.origins:
            self.remember(origin)
