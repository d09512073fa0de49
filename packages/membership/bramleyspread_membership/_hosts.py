"""The table of known entry hosts and their heartbeats."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from msgspec import Struct
from msgspec.structs import replace

from bramleyspread_core import Address, EntryHostStatus, HostName, ZoneName
from bramleyspread_membership._config import DirectoryConfig
from bramleyspread_membership._messages import HostRow


class HostRecord(Struct, frozen=True):
    """The newest state known of one entry host."""

    #: The row with the newest heartbeat; its ``age_ms`` is not updated after arrival.
    row: HostRow
    #: When that heartbeat was sent, in this host's monotonic seconds.
    heartbeat_at: float


class HostTable:
    """Other entry hosts: those in the settings, and those with recent heartbeats."""

    __slots__ = ("_config", "_epoch", "_last_message_at", "_records", "_started_at")

    def __init__(self, config: DirectoryConfig, now: float) -> None:
        self._config = config
        self._records: dict[HostName, HostRecord] = {}
        self._last_message_at: dict[HostName, float] = {}
        self._started_at = now
        self._epoch = 0

    def merge(self, row: HostRow, delay_s: float, now: float) -> bool:
        """Merge a row about another host.

        :param row: the row.
        :param delay_s: estimated delay of the message with the row, in seconds.
        :param now: monotonic seconds.
        :returns: True if the row was newer than the host's record.
        """
        heartbeat_at = now - delay_s - row.age_ms / 1000
        if row.host == self._config.host or self._is_expired(heartbeat_at, now):
            return False
        known = self._records.get(row.host)
        if known is not None:
            newest = (known.row.incarnation, known.row.heartbeat)
            if (row.incarnation, row.heartbeat) <= newest:
                return False
        if known is None or known.row.address != row.address:
            self._epoch += 1
        self._records[row.host] = HostRecord(row, heartbeat_at)
        return True

    def record_message(self, host: HostName, now: float) -> None:
        """Record that a message arrived directly from a host.

        :param host: the host.
        :param now: monotonic seconds.
        """
        self._last_message_at[host] = now

    def expire(self, now: float) -> list[HostName]:
        """Remove hosts without recent heartbeats.

        :param now: monotonic seconds.
        :returns: the hosts removed.
        """
        expired = [
            host
            for host, record in self._records.items()
            if self._is_expired(record.heartbeat_at, now)
        ]
        for host in expired:
            self._epoch += 1
            del self._records[host]
            self._last_message_at.pop(host, None)
        return expired

    def list_peers(self) -> Iterator[tuple[HostName, ZoneName, Address]]:
        """List hosts with recent heartbeats, and those in the settings."""
        for record in self._records.values():
            yield record.row.host, record.row.zone, record.row.address
        for seed_host in self._config.seed_hosts:
            if seed_host.host not in self._records:
                yield seed_host.host, seed_host.zone, seed_host.address

    @property
    def epoch(self) -> int:
        """A counter that rises when a host is added, removed or changes its address."""
        return self._epoch

    def find_address(self, host: HostName) -> Address | None:
        """Find the address that a host listens on.

        :param host: the host.
        :returns: its address, or None if the host is unknown.
        """
        for name, _, address in self.list_peers():
            if name == host:
                return address
        return None

    def find_incarnation(self, host: HostName) -> int:
        """Find the newest known incarnation of a host.

        :param host: the host.
        :returns: its incarnation, or 0 if the host is unknown.
        """
        record = self._records.get(host)
        return record.row.incarnation if record else 0

    def count_zone_hosts(self, zone: ZoneName) -> int:
        """Count the hosts of a zone that have recent heartbeats.

        :param zone: the zone.
        :returns: the number of hosts, without this host.
        """
        return sum(each.row.zone == zone for each in self._records.values())

    def list_unheard(self, senders: Iterable[HostName], since: float) -> list[HostName]:
        """List hosts with recent heartbeats but no message from them since a time.

        :param senders: the hosts that are expected to send to this one.
        :param since: the time, in monotonic seconds.
        :returns: the hosts whose heartbeats arrive only through other hosts.
        """
        return [
            host
            for host in senders
            if host in self._records
            and self._last_message_at.get(host, self._started_at) < since
        ]

    def pick_row(
        self, rotation_index: int, same_zone: bool, receiver: HostName, now: float
    ) -> HostRow | None:
        """Pick the next row to send to a host, in rotation.

        :param rotation_index: rises by one with each pick.
        :param same_zone: whether to pick a host of this zone or of another zone.
        :param receiver: the host to send to, whose own row is not picked.
        :param now: monotonic seconds.
        :returns: the row with its current age, or None if there is no other host.
        """
        own_zone = self._config.zone
        records = [
            each
            for host, each in self._records.items()
            if (each.row.zone == own_zone) == same_zone and host != receiver
        ]
        if not records:
            return None
        record = records[rotation_index % len(records)]
        return replace(record.row, age_ms=age_to_ms(now - record.heartbeat_at))

    def list_in_force(self, now: float) -> list[EntryHostStatus]:
        """List the revision that each host has put in force.

        :param now: monotonic seconds.
        :returns: the hosts with recent heartbeats, without this one.
        """
        return [
            EntryHostStatus(
                each.row.host, each.row.zone, each.row.revision, now - each.heartbeat_at
            )
            for each in self._records.values()
        ]

    def _is_expired(self, heartbeat_at: float, now: float) -> bool:
        config = self._config
        rotation_s = config.host_lease_per_host_s * len(self._records)
        lease_s = max(config.host_lease_s, rotation_s)
        return heartbeat_at + lease_s <= now


def age_to_ms(age_s: float) -> int:
    """Convert an age to a larger whole number of milliseconds.

    The result is never below the age, so a relayed lease is never extended.

    :param age_s: the age in seconds.
    :returns: milliseconds.

    >>> age_to_ms(0.0001)
    1
    """
    return int(age_s * 1000) + 1
