"""The newest state of one target, and the results of merging updates into it."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct
from xxhash import xxh32_intdigest

from bramleyspread_core import Announcement, HostName, TargetView, encode_json

#: An unknown target whose sequence is at most this is assumed to be new to peers too.
MAX_FIRST_SEQUENCE = 3
#: A time before all others, in monotonic seconds.
DISTANT_PAST = float("-inf")


class MergeResult(Enum):
    """The effect of an update on the table of targets."""

    #: The update was stale or repeated, or its lease had already expired.
    IGNORED = "nothing"
    #: The update renewed a lease or had a newer load.
    RENEWED = "renewed"
    #: The target was added, or its details changed.
    CHANGED = "changed"
    #: The incarnation was newly marked as leaving.
    LEAVING = "left"
    #: The update referred to details that this host does not have.
    UNKNOWN_DETAILS = "unknown"


class TargetRecord(Struct, frozen=True):
    """The newest known state of one target."""

    #: The announcement and the time of its load, as used for choosing targets.
    view: TargetView
    #: Digest of everything that renewals omit.
    details_digest: int
    #: When the announcement arrived at the host that the target announced to, on this
    #: host's monotonic clock in seconds.
    received_at: float
    #: The host that sent this update; this host for announcements received directly.
    source: HostName
    #: When this host first saw these details, or :data:`DISTANT_PAST` if its peers are
    #: assumed to know them.
    details_changed_at: float
    #: Number of the change in this table; rises with each change.
    change_number: int

    @property
    def announcement(self) -> Announcement:
        """The newest announcement of the target."""
        return self.view.announcement


def digest_details(announcement: Announcement) -> int:
    """Compute a digest of everything about a target that renewals omit.

    :param announcement: the announcement.
    :returns: a 32-bit digest.
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
