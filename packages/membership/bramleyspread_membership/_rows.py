"""Rows about targets for one receiver, within a bound of bytes."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from bramleyspread_core import HostName
from bramleyspread_membership._hosts import round_age
from bramleyspread_membership._messages import DetailRow, RenewalRow
from bramleyspread_membership._record import TargetRecord

#: About how long a row in full is, in bytes.
DETAIL_BYTES = 400
#: About how long a short row is, in bytes.
RENEWAL_BYTES = 45
#: About how long a prefix-cache event is, in bytes.
EVENT_BYTES = 60
#: Prefix-cache events passed on with a row; they are hints, and may be lost.
EVENTS = 4


class Rows(Struct, frozen=True):
    """What one receiver is sent about targets."""

    #: Targets in full.
    details: tuple[DetailRow, ...]
    #: Targets in short.
    renewals: tuple[RenewalRow, ...]
    #: Number of the newest change that was considered.
    reached: int


def make_detail(record: TargetRecord, now: float) -> DetailRow:
    """Make a row in full.

    :param record: the target's record.
    :param now: monotonic seconds.
    :returns: the row.
    """
    announcement = record.announcement
    if len(announcement.cache_events) > EVENTS:
        newest = announcement.cache_events[-EVENTS:]
        announcement = replace(announcement, cache_events=newest)
    return DetailRow(announcement, round_age(now - record.heard_at))


def make_renewal(record: TargetRecord, now: float) -> RenewalRow:
    """Make a short row.

    :param record: the target's record.
    :param now: monotonic seconds.
    :returns: the row.
    """
    announcement = record.announcement
    load = announcement.load
    return RenewalRow(
        announcement.target,
        announcement.sequence,
        record.detail,
        round_age(now - record.heard_at),
        load.running,
        load.waiting,
        round(load.cache_used * 100),
        load.age_ms,
        announcement.cache_events[-EVENTS:],
    )


def make_rows(
    records: list[TargetRecord],
    reached: int,
    detail_since: float,
    room: float,
    now: float,
) -> Rows:
    """Make rows for a receiver, the oldest change first, until the room is used up.

    :param records: what the receiver is to be told, by rising number.
    :param reached: the number to state when all of them fit.
    :param detail_since: details that changed later go in full.
    :param room: bytes.
    :param now: monotonic seconds.
    :returns: the rows; what did not fit comes in the next round.
    """
    details: list[DetailRow] = []
    renewals: list[RenewalRow] = []
    for record in records:
        is_full = record.changed_at >= detail_since
        room -= DETAIL_BYTES if is_full else RENEWAL_BYTES
        room -= EVENT_BYTES * min(EVENTS, len(record.announcement.cache_events))
        if room < 0:
            return Rows(tuple(details), tuple(renewals), record.number - 1)
        if is_full:
            details.append(make_detail(record, now))
        else:
            renewals.append(make_renewal(record, now))
    return Rows(tuple(details), tuple(renewals), reached)


def pick_relayed(
    record: TargetRecord, own: HostName, unheard: frozenset[HostName]
) -> bool:
    """Whether a record is this host's to tell a receiver.

    :param record: the record.
    :param own: this host.
    :param unheard: hosts that the receiver does not hear directly.
    :returns: True when it was heard here, or when its source is not heard there.
    """
    return record.source == own or record.source in unheard
