"""Keeps which software version began each stream, on several hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import curio
from loguru import logger

from bramleyspread_core import Address, MessageError, decode_json, encode_json
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._origin_tables import (
    ORIGIN_PATH,
    ORIGINS_PATH,
    OriginAnswer,
    OriginCopies,
    OriginQuery,
    OriginTables,
)
from bramleyspread_forwarding import (
    ControlProcess,
    EntryHost,
    StreamOrigin,
    StreamOrigins,
    TargetTable,
    list_control_keepers,
    list_keepers,
)

#: Timeout for another process's answer, in seconds.
ASK_TIMEOUT_S = 0.15
#: Timeout for telling a keeper, in seconds.
TELL_TIMEOUT_S = 0.5
#: Interval at which keepers are told, in seconds. Streams are lost that began later
#: than that before all hosts that knew of them were lost.
TICK_INTERVAL_S = 0.05
#: Maximum number of hosts that are asked besides the keepers.
MAX_HOSTS_ASKED = 16
#: Number of keepers of which it is kept what they were told; then all are told anew.
MAX_TOLD_KEEPERS = 100

#: A process that keeps origins: of an entry host, or of a control host.
Keeper = EntryHost | ControlProcess


class StreamKeepers:
    """Origins of streams, as this host knows them or learns them from the keepers.

    The hosts that recorded an origin tell the keepers of its service. The first keeper
    tells the others also what it was told, so that a host that becomes a keeper learns
    it while one of the earlier keepers runs. Some control hosts are told as well, for
    the case that all entry hosts are lost at once.

    While all targets of a service have had one version for a while, it needs no telling
    which one began a stream; the keepers are told as soon as there is a second one.

    :param own: this host.
    :param targets: the known targets, and from which control hosts.
    :param list_hosts: lists the live entry hosts.
    :param peers: connections to other hosts.
    """

    def __init__(
        self,
        own: EntryHost,
        targets: TargetTable,
        list_hosts: Callable[[], Sequence[EntryHost]],
        peers: ConnectionPool,
    ) -> None:
        self._own = own
        self._targets = targets
        self._list_hosts = list_hosts
        self._peers = peers
        #: What this host knows.
        self.tables = OriginTables()
        self._keepers: dict[
            str, tuple[tuple[EntryHost, ...], tuple[EntryHost, ...]]
        ] = {}
        # By service and keeper, the revision up to which it was told.
        self._told: dict[tuple[str, Keeper], int] = {}
        self._telling: set[tuple[str, Keeper]] = set()

    async def find(self, stream: str, services: Iterable[str]) -> StreamOrigin | None:
        """Find where a stream began: here, at the keepers, or at other hosts.

        :param stream: the caller's id for the request that brought its first event.
        :param services: the services at which it may have begun.
        :returns: None if no host that answers knows.
        """
        known = self.tables.find(stream)
        if known is not None or not stream:
            return known
        services = tuple(services)
        keepers = {x for each in services for x in self._list_keepers(each)}
        others = [x for x in self._list_hosts() if x not in keepers]
        controls = {x for each in services for x in self._list_control_keepers(each)}
        near = [x.address for x in keepers if x != self._own]
        far = [x.address for x in others[:MAX_HOSTS_ASKED] if x != self._own]
        for addresses in (near, [*(x.address for x in controls), *far]):
            answer = await self._ask_all(stream, addresses)
            if answer is not None:
                return answer
        return None

    def _list_keepers(self, service: str) -> tuple[EntryHost, ...]:
        """List the keepers of a service; they are hashed only if hosts changed."""
        hosts = tuple(self._list_hosts())
        known_hosts, keepers = self._keepers.get(service, ((), ()))
        if known_hosts != hosts:
            keepers = list_keepers(service, hosts)
            self._keepers[service] = (hosts, keepers)
        return keepers

    def _list_control_keepers(self, service: str) -> tuple[ControlProcess, ...]:
        return list_control_keepers(service, self._targets.list_controls())

    async def _ask_all(
        self, stream: str, addresses: Sequence[Address]
    ) -> StreamOrigin | None:
        """Ask processes at the same time; return the first answer of one that knows."""
        async with curio.TaskGroup(wait=object) as group:
            for address in addresses:
                await group.spawn(self._ask, stream, address)
        done = group.completed
        return done.result if done is not None else None

    async def _ask(self, stream: str, address: Address) -> StreamOrigin | None:
        body = encode_json(OriginQuery(stream))
        try:
            response = await self._peers.request(
                address, ORIGIN_PATH, body, ASK_TIMEOUT_S, connect_timeout=ASK_TIMEOUT_S
            )
            answer: OriginAnswer = decode_json(response.body, OriginAnswer)
        except (RequestNotSentError, ConnectionClosedError, MessageError):
            return None
        return answer.origin

    async def tick(self) -> None:
        """Tell the keepers what they may not know yet."""
        self.tables.expire()
        if len(self._told) > MAX_TOLD_KEEPERS:
            self._told.clear()
        history, now = self._targets.software, read_monotonic()
        for service, table in self.tables.items():
            if history.find_sole_version(service, now) is not None or not len(table):
                continue
            keepers = self._list_keepers(service)
            is_first = keepers[0] == self._own
            told: tuple[Keeper, ...] = (*keepers, *self._list_control_keepers(service))
            for keeper in told:
                if keeper != self._own and (service, keeper) not in self._telling:
                    await self._tell(service, table, keeper, with_copies=is_first)

    async def _tell(
        self,
        service: str,
        table: StreamOrigins,
        keeper: Keeper,
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
        self, service: str, keeper: Keeper, revision: int, copies: OriginCopies
    ) -> None:
        try:
            await self._peers.request(
                keeper.address, ORIGINS_PATH, encode_json(copies), TELL_TIMEOUT_S
            )
            self._told[service, keeper] = revision
        except (RequestNotSentError, ConnectionClosedError) as error:
            logger.bind(step="origin", peer=str(keeper.address)).debug(
                f"keeper not told: {error}"
            )
        finally:
            self._telling.discard((service, keeper))
