"""Rows about targets for one receiver, within a bound of bytes."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from bramleyspread_core import HostName
from bramleyspread_membership._hosts import age_to_ms
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


class TargetRows(Struct, frozen=True):
    """What one receiver is sent about targets."""

    #: Targets in full.
    details: tuple[DetailRow, ...]
    #: Targets in short.
    renewals: tuple[RenewalRow, ...]
    #: Number of the newest change that was considered.
    last_change: int


def build_detail_row(record: TargetRecord, now: float) -> DetailRow:
    """Make a row in full.

    :param record: the target's record.
    :param now: monotonic seconds.
    :returns: the row.
    """
    announcement = record.announcement
    if len(announcement.cache_events) > EVENTS:
        newest = announcement.cache_events[-EVENTS:]
        announcement = replace(announcement, cache_events=newest)
    return DetailRow(announcement, age_to_ms(now - record.received_at))


def build_renewal_row(record: TargetRecord, now: float) -> RenewalRow:
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
        record.details_digest,
        age_to_ms(now - record.received_at),
        load.running,
        load.waiting,
        round(load.cache_used * 100),
        load.age_ms,
        announcement.cache_events[-EVENTS:],
    )


def build_rows(
    records: list[TargetRecord],
    last_change: int,
    detail_since: float,
    budget_bytes: float,
    now: float,
) -> TargetRows:
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
        is_full = record.details_changed_at >= detail_since
        budget_bytes -= DETAIL_BYTES if is_full else RENEWAL_BYTES
        budget_bytes -= EVENT_BYTES * min(EVENTS, len(record.announcement.cache_events))
        if budget_bytes < 0:
            return TargetRows(tuple(details), tuple(renewals), record.change_number - 1)
        if is_full:
            details.append(build_detail_row(record, now))
        else:
            renewals.append(build_renewal_row(record, now))
    return TargetRows(tuple(details), tuple(renewals), last_change)


def should_relay(
    record: TargetRecord, own: HostName, unheard: frozenset[HostName]
) -> bool:
    """Whether a record is this host's to tell a receiver.

    :param record: the record.
    :param own: this host.
    :param unheard: hosts that the receiver does not hear directly.
    :returns: True when it was heard here, or when its source is not heard there.
    """
    return record.source == own or record.source in unheard
