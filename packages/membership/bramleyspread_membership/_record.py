"""The newest news of one target, and what a piece of news can do."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct
from xxhash import xxh32_intdigest

from bramleyspread_core import Announcement, HostName, TargetView, encode_json

#: An incarnation seen first with a sequence up to this is new to everybody.
MAX_FIRST_SEQUENCE = 3
#: Earlier than every time, in monotonic seconds.
DISTANT_PAST = float("-inf")


class MergeResult(Enum):
    """What a piece of news did to the table."""

    #: It was old.
    IGNORED = "nothing"
    #: It renewed a lease or brought a newer load.
    RENEWED = "renewed"
    #: The target is new, or its details changed.
    CHANGED = "changed"
    #: The incarnation is leaving, and that is news.
    LEAVING = "left"
    #: It refers to details that are not held here.
    UNKNOWN_DETAILS = "unknown"


class TargetRecord(Struct, frozen=True):
    """The newest news of one target."""

    #: What choices are made from.
    view: TargetView
    #: Digest of everything that renewals leave out.
    details_digest: int
    #: When some host heard the target, in this host's monotonic seconds.
    received_at: float
    #: The host that this news came from.
    source: HostName
    #: When a change of the details, that peers may not know, was seen here.
    details_changed_at: float
    #: Order of changes in this table.
    change_number: int

    @property
    def announcement(self) -> Announcement:
        """The newest announcement."""
        return self.view.announcement


def digest_details(announcement: Announcement) -> int:
    """Digest everything about a target that renewals leave out.

    :param announcement: the announcement.
    :returns: 32 bits.
    """
    load = announcement.load
    return xxh32_intdigest(
        encode_json(
            (
                announcement.incarnation,
                announcement.pool,
                announcement.address,
                announcement.zone,
                announcement.models,
                announcement.role,
                announcement.checks_fencing,
                announcement.fence,
                load.slots,
            )
        )
    )
