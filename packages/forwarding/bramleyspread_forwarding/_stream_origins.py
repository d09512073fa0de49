"""Which software version began each stream, so that only that version continues it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from bramleyspread_forwarding._feed import ControlProcess, EntryHost

#: How long it is kept after a stream began, or was taken up again, at which version, in
#: seconds; longer than callers wait for a stream.
ORIGIN_RETENTION_S = 40.0
#: Maximum number of streams for which it is kept; the oldest ones are forgotten first.
MAX_ORIGINS = 200_000
#: Number of hosts that are told which version began a stream of a service; one of them
#: nearly always survives when more than half of all hosts are lost at once.
COPIES = 7
#: Number of control hosts that are told as well.
CONTROL_COPIES = 3
#: Maximum number of origins in one message.
MAX_ORIGINS_PER_MESSAGE = 500


class StreamOrigin(msgspec.Struct, frozen=True, omit_defaults=True):
    """The software version that wrote the first event of a stream."""

    #: The caller's id for the request that brought the first event.
    stream: str
    #: Service of the target that wrote it.
    service: str
    #: Version of that target's software; empty if it names none, None if the host at
    #: which the stream began could not confirm it.
    software: str | None
    #: Id of the target, and when its process started, in milliseconds since 1970, if
    #: the version is None: another host may know it.
    target: str = ""
    born: int = 0


class _Record(msgspec.Struct):
    """An origin in the table."""

    origin: StreamOrigin
    #: Revision of the table since which it is there, or was last renewed.
    revision: int
    recorded_at: float
    #: Whether this host has to tell others, and isn't one of those that were told.
    is_told_by_this_host: bool


class StreamOrigins:
    """Origins of streams by the caller's id for the request that brought an event.

    An origin never changes, but for a version that is confirmed later. The host at
    which a stream began, or the one that placed it, tells the keepers of its service;
    so it stays known while hosts are lost.

    >>> origins = StreamOrigins()
    >>> origins.record(StreamOrigin("a", "llm", "v1"), 0.0)
    >>> origins.find("a", 1.0).software
    'v1'
    >>> origins.find("b", 1.0) is None
    True
    """

    __slots__ = ("_records", "revision")

    def __init__(self) -> None:
        # Oldest first.
        self._records: dict[str, _Record] = {}
        #: Number of changes of the table so far.
        self.revision = 0

    def __len__(self) -> int:
        return len(self._records)

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record an origin of which this host has to tell the keepers."""
        self._add(origin, now, is_told_by_this_host=True)

    def apply_copies(self, copies: Iterable[StreamOrigin], now: float) -> None:
        """Record origins of which another host tells the keepers."""
        for origin in copies:
            known = self._records.get(origin.stream)
            if known is None or _is_confirmed_by(known.origin, origin):
                self._add(origin, now, is_told_by_this_host=False)

    def _add(
        self, origin: StreamOrigin, now: float, *, is_told_by_this_host: bool
    ) -> None:
        self._records.pop(origin.stream, None)
        self.revision += 1
        self._records[origin.stream] = _Record(
            origin, self.revision, now, is_told_by_this_host
        )
        if len(self._records) > MAX_ORIGINS:
            del self._records[next(iter(self._records))]

    def find(self, stream: str, now: float) -> StreamOrigin | None:
        """Find the origin of a stream; None if it isn't known."""
        record = self._records.get(stream)
        if record is None or now - record.recorded_at > ORIGIN_RETENTION_S:
            return None
        return record.origin

    def list_news(
        self, told_revision: int, *, with_copies: bool
    ) -> tuple[int, tuple[StreamOrigin, ...]]:
        """List what another host may not know yet, oldest first.

        :param told_revision: revision up to which it was told.
        :param with_copies: whether it has to be told what other hosts have told this
            one.
        :returns: the revision up to which it is told with these, and the origins.
        """
        news: list[_Record] = []
        for record in reversed(self._records.values()):
            if record.revision <= told_revision:
                break
            if with_copies or record.is_told_by_this_host:
                news.append(record)
        news.reverse()
        revision = self.revision
        if len(news) > MAX_ORIGINS_PER_MESSAGE:
            news = news[:MAX_ORIGINS_PER_MESSAGE]
            revision = news[-1].revision
        return revision, tuple(each.origin for each in news)

    def expire(self, now: float) -> None:
        """Forget origins of streams that nobody takes up any more."""
        for stream, record in tuple(self._records.items()):
            if now - record.recorded_at <= ORIGIN_RETENTION_S:
                return
            del self._records[stream]


def _is_confirmed_by(known: StreamOrigin, newer: StreamOrigin) -> bool:
    return known.software is None and newer.software is not None


def list_keepers(service: str, hosts: Sequence[EntryHost]) -> tuple[EntryHost, ...]:
    """List the hosts that keep the origins of a service's streams.

    All hosts with the same list find the same ones, by rendezvous hashing. The first
    one also places requests for the service; the others are in other zones as far as
    there are any, so that the loss of a zone doesn't lose all copies.

    :param service: the service.
    :param hosts: the live entry hosts.
    :returns: at most ``COPIES`` hosts.

    >>> from bramleyspread_core import Address
    >>> address = Address("10.0.0.1", 1)
    >>> hosts = [EntryHost(f"e{at}", f"z{at % 2}", address) for at in range(4)]
    >>> len({each.zone for each in list_keepers("llm", hosts)[:2]})
    2
    """

    def hash_weight(each: EntryHost) -> int:
        return int(xxhash.xxh3_64_intdigest(f"{service}/{each.host}/{each.started}"))

    remaining = sorted(hosts, key=hash_weight, reverse=True)
    keepers: list[EntryHost] = []
    while remaining and len(keepers) < COPIES:
        used_zones = {each.zone for each in keepers}
        other_zones = (each for each in remaining if each.zone not in used_zones)
        keeper = next(other_zones, remaining[0])
        keepers.append(keeper)
        remaining.remove(keeper)
    return tuple(keepers)


def list_control_keepers(
    service: str, controls: Iterable[ControlProcess]
) -> tuple[ControlProcess, ...]:
    """List the control hosts that keep the origins of a service's streams.

    :param service: the service.
    :param controls: the control hosts.
    :returns: at most ``CONTROL_COPIES`` of them, the same ones at all entry hosts.
    """

    def hash_weight(each: ControlProcess) -> int:
        return int(xxhash.xxh3_64_intdigest(f"{service}/{each.address}"))

    return tuple(sorted(controls, key=hash_weight)[:CONTROL_COPIES])
