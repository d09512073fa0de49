"""Keeps which software version began each stream, on several hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import curio
import msgspec
from loguru import logger

from bramleyspread_core import MessageError, decode_json, encode_json
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_forwarding import (
    EntryHost,
    SoftwareHistory,
    StreamOrigin,
    StreamOrigins,
    list_keepers,
)

#: Path on which hosts ask each other where a stream began.
ORIGIN_PATH = "/v1/stream-origin"
#: Path on which hosts tell the keepers where streams began.
ORIGINS_PATH = "/v1/stream-origins"
#: Timeout for another host's answer, in seconds.
ASK_TIMEOUT_S = 0.15
#: Timeout for telling a keeper, in seconds.
TELL_TIMEOUT_S = 0.5
#: Interval at which keepers are told, in seconds. Streams are lost that began later
#: than that before all hosts that knew of them were lost.
TICK_INTERVAL_S = 0.05
#: Maximum number of hosts that are asked besides the keepers.
MAX_HOSTS_ASKED = 16
#: Number of hosts of which it is kept what they were told; then all are told anew.
MAX_TOLD_HOSTS = 100


class OriginQuery(msgspec.Struct, frozen=True):
    """Asks which software version began a stream."""

    stream: str


class OriginAnswer(msgspec.Struct, frozen=True):
    """The answer to :class:`OriginQuery`."""

    #: None if the host doesn't know.
    origin: StreamOrigin | None = None


class OriginCopies(msgspec.Struct, frozen=True):
    """Origins of which a keeper is told."""

    origins: tuple[StreamOrigin, ...]


class StreamKeepers:
    """Origins of streams, as this host knows them or learns them from the keepers.

    The hosts that recorded an origin tell the keepers of its service. The first keeper
    tells the others also what it was told, so that a host that becomes a keeper learns
    it while one of the earlier keepers runs.

    While all targets of a service have had one version for a while, it needs no telling
    which one began a stream; the keepers are told as soon as there is a second one.

    :param own: this host.
    :param history: software versions that targets had lately.
    :param list_hosts: lists the live entry hosts.
    :param peers: connections to other entry hosts.
    """

    def __init__(
        self,
        own: EntryHost,
        history: SoftwareHistory,
        list_hosts: Callable[[], Sequence[EntryHost]],
        peers: ConnectionPool,
    ) -> None:
        self._own = own
        self._history = history
        self._list_hosts = list_hosts
        self._peers = peers
        self._tables: dict[str, StreamOrigins] = {}
        self._keepers: dict[
            str, tuple[tuple[EntryHost, ...], tuple[EntryHost, ...]]
        ] = {}
        # By service and keeper, the revision up to which it was told.
        self._told: dict[tuple[str, EntryHost], int] = {}
        self._telling: set[tuple[str, EntryHost]] = set()

    def record(self, origin: StreamOrigin) -> None:
        """Record where a stream began, and tell the keepers soon."""
        self._find_table(origin.service).record(origin, read_monotonic())

    def remember(self, origin: StreamOrigin) -> None:
        """Record where a stream began, of which another host tells the keepers."""
        self._find_table(origin.service).apply_copies((origin,), read_monotonic())

    async def find(self, stream: str, services: Iterable[str]) -> StreamOrigin | None:
        """Find where a stream began: here, at the keepers, or at other hosts.

        :param stream: the caller's id for the request that brought its first event.
        :param services: the services at which it may have begun.
        :returns: None if no host that answers knows.
        """
        known = self._find_locally(stream)
        if known is not None or not stream:
            return known
        keepers = {x for each in services for x in self._list_keepers(each)}
        others = [x for x in self._list_hosts() if x not in keepers]
        for hosts in (keepers, others[:MAX_HOSTS_ASKED]):
            answer = await self._ask_all(stream, [x for x in hosts if x != self._own])
            if answer is not None:
                return answer
        return None

    def _find_locally(self, stream: str) -> StreamOrigin | None:
        now = read_monotonic()
        found = (table.find(stream, now) for table in self._tables.values())
        return next((each for each in found if each is not None), None)

    def _find_table(self, service: str) -> StreamOrigins:
        return self._tables.setdefault(service, StreamOrigins())

    def _list_keepers(self, service: str) -> tuple[EntryHost, ...]:
        """List the keepers of a service; they are hashed only if hosts changed."""
        hosts = tuple(self._list_hosts())
        known_hosts, keepers = self._keepers.get(service, ((), ()))
        if known_hosts != hosts:
            keepers = list_keepers(service, hosts)
            self._keepers[service] = (hosts, keepers)
        return keepers

    async def _ask_all(
        self, stream: str, hosts: Sequence[EntryHost]
    ) -> StreamOrigin | None:
        """Ask hosts at the same time, and return the first answer of one that knows."""
        async with curio.TaskGroup(wait=object) as group:
            for host in hosts:
                await group.spawn(self._ask, stream, host)
        done = group.completed
        return done.result if done is not None else None

    async def _ask(self, stream: str, host: EntryHost) -> StreamOrigin | None:
        body = encode_json(OriginQuery(stream))
        try:
            response = await self._peers.request(
                host.address,
                ORIGIN_PATH,
                body,
                ASK_TIMEOUT_S,
                connect_timeout=ASK_TIMEOUT_S,
            )
            answer: OriginAnswer = decode_json(response.body, OriginAnswer)
        except (RequestNotSentError, ConnectionClosedError, MessageError):
            return None
        return answer.origin

    async def serve_query(self, http: HttpRequest, reply: Reply) -> None:
        """Handle another entry host's question where a stream began."""
        try:
            query: OriginQuery = decode_json(http.body, OriginQuery)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send_json(OriginAnswer(self._find_locally(query.stream)))

    async def serve_copies(self, http: HttpRequest, reply: Reply) -> None:
        """Handle what another entry host tells the keepers."""
        try:
            copies: OriginCopies = decode_json(http.body, OriginCopies)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send(204, b"")
        for origin in copies.origins:
            self.remember(origin)

    async def tick(self) -> None:
        """Tell the keepers what they may not know yet."""
        now = read_monotonic()
        if len(self._told) > MAX_TOLD_HOSTS:
            self._told.clear()
        for service, table in self._tables.items():
            table.expire(now)
            is_sole = self._history.find_sole_version(service, now) is not None
            if is_sole or not len(table):
                continue
            keepers = self._list_keepers(service)
            for keeper in keepers:
                if keeper != self._own and (service, keeper) not in self._telling:
                    is_first = keepers[0] == self._own
                    await self._tell(service, table, keeper, with_copies=is_first)

    async def _tell(
        self,
        service: str,
        table: StreamOrigins,
        keeper: EntryHost,
        *,
        with_copies: bool,
    ) -> None:
        """Begin to tell a keeper what it may not know yet, if there is anything."""
        told_revision = self._told.get((service, keeper), 0)
        revision, news = table.list_news(told_revision, with_copies=with_copies)
        if news:
            self._telling.add((service, keeper))
            await curio.spawn(
                self._send, service, keeper, revision, OriginCopies(news), daemon=True
            )
        else:
            self._told[service, keeper] = revision

    async def _send(
        self, service: str, keeper: EntryHost, revision: int, copies: OriginCopies
    ) -> None:
        try:
            await self._peers.request(
                keeper.address, ORIGINS_PATH, encode_json(copies), TELL_TIMEOUT_S
            )
            self._told[service, keeper] = revision
        except (RequestNotSentError, ConnectionClosedError) as error:
            logger.bind(step="origin", peer=keeper.host).debug(
                f"keeper not told: {error}"
            )
        finally:
            self._telling.discard((service, keeper))
