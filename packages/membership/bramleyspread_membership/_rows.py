"""Rows about targets for one receiver, limited to a number of bytes."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from bramleyspread_core import HostName
from bramleyspread_membership._hosts import age_to_ms
from bramleyspread_membership._messages import DetailRow, RenewalRow
from bramleyspread_membership._record import TargetRecord

#: Approximate size of a row with all details.
DETAIL_BYTES = 400
#: Approximate size of a renewal row.
RENEWAL_BYTES = 45
#: Approximate size of a prefix-cache event.
CACHE_EVENT_BYTES = 60
#: Maximum number of prefix-cache events in a row; they are hints and may be lost.
MAX_CACHE_EVENTS = 4


class TargetRows(Struct, frozen=True):
    """The rows about targets in one message."""

    #: Rows with all details.
    details: tuple[DetailRow, ...]
    #: Rows with only the newest sequence and load.
    renewals: tuple[RenewalRow, ...]
    #: Number of the newest change covered by this message.
    last_change: int


def build_detail_row(record: TargetRecord, now: float) -> DetailRow:
    """Build a row with all details of a target.

    :param record: the target's record.
    :param now: monotonic seconds.
    :returns: the row.
    """
    announcement = record.announcement
    if len(announcement.cache_events) > MAX_CACHE_EVENTS:
        newest = announcement.cache_events[-MAX_CACHE_EVENTS:]
        announcement = replace(announcement, cache_events=newest)
    return DetailRow(announcement, age_to_ms(now - record.received_at))


def build_renewal_row(record: TargetRecord, now: float) -> RenewalRow:
    """Build a renewal row of a target.

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
        announcement.cache_events[-MAX_CACHE_EVENTS:],
    )


def build_rows(
    records: list[TargetRecord],
    last_change: int,
    details_since: float,
    budget_bytes: float,
    now: float,
) -> TargetRows:
    """Build rows for one receiver, oldest change first, within a byte budget.

    :param records: the records to send, sorted by rising change number.
    :param last_change: the change number to report if all rows fit.
    :param details_since: records whose details changed since then are sent in full.
    :param budget_bytes: bytes available for rows.
    :param now: monotonic seconds.
    :returns: the rows; those that do not fit are left for the next round.
    """
    details: list[DetailRow] = []
    renewals: list[RenewalRow] = []
    for record in records:
        is_full = record.details_changed_at >= details_since
        budget_bytes -= DETAIL_BYTES if is_full else RENEWAL_BYTES
        budget_bytes -= CACHE_EVENT_BYTES * min(
            MAX_CACHE_EVENTS, len(record.announcement.cache_events)
        )
        if budget_bytes < 0:
            return TargetRows(tuple(details), tuple(renewals), record.change_number - 1)
        if is_full:
            details.append(build_detail_row(record, now))
        else:
            renewals.append(build_renewal_row(record, now))
    return TargetRows(tuple(details), tuple(renewals), last_change)


def should_relay(
    record: TargetRecord, own_host: HostName, unheard: frozenset[HostName]
) -> bool:
    """Return whether this host sends a record to a receiver.

    :param record: the record.
    :param own_host: the name of this host.
    :param unheard: hosts that the receiver does not receive messages from.
    :returns: True if this host received the record's announcement directly, or if
        the record's source does not reach the receiver.
    """
    return record.source == own_host or record.source in unheard
