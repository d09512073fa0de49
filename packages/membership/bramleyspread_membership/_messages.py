"""Messages between the directories of two entry hosts.

Rows are JSON arrays, since they make up nearly all of the bytes. Ages stand
in for times: no two hosts share a clock.
"""

from __future__ import annotations

from msgspec import Struct

from bramleyspread_core import (
    Address,
    Announcement,
    CacheEvent,
    DocumentsPage,
    HostName,
    PoolName,
    TargetName,
    ZoneName,
    decode_json,
)


class HostRow(Struct, frozen=True, array_like=True):
    """One entry host, as somebody knows it."""

    #: The host.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: IP number where it listens.
    ip: str
    #: TCP port where it listens.
    port: int
    #: Rises each time its process starts.
    incarnation: int
    #: Rises while the process runs; a row with an old one is no news.
    heartbeat: int
    #: Every change up to here is in force there.
    revision: int
    #: Time since that heartbeat, in milliseconds.
    age_ms: int

    @property
    def address(self) -> Address:
        """Where it listens."""
        return Address(self.ip, self.port)


class DetailRow(Struct, frozen=True, array_like=True):
    """Everything about one target."""

    #: The target's announcement.
    announcement: Announcement
    #: Time since a host heard it from the target, in milliseconds.
    age_ms: int


class RenewalRow(Struct, frozen=True, array_like=True, omit_defaults=True):
    """News of a target whose details the receiver should already hold."""

    #: The target.
    target: TargetName
    #: Number of the announcement.
    sequence: int
    #: Digest of incarnation and details; tells whether the receiver holds them.
    details_digest: int
    #: Time since a host heard it from the target, in milliseconds.
    age_ms: int
    #: Requests being run.
    running: int
    #: Requests waiting to run.
    waiting: int
    #: Prefix-cache blocks in use, in hundredths.
    cache_percent: int
    #: Age of the load report when the target sent it, in milliseconds.
    load_age_ms: int
    #: Prefix-cache events, the newest few.
    cache_events: tuple[CacheEvent, ...] = ()


class LeavingRow(Struct, frozen=True, array_like=True):
    """An incarnation of a target that is leaving, for good."""

    #: The target.
    target: TargetName
    #: The incarnation.
    incarnation: int


class PoolSummary(Struct, frozen=True, array_like=True):
    """What one zone has of one pool, as one of its hosts estimates it."""

    #: The pool.
    pool: PoolName
    #: Usable targets.
    targets: int
    #: Requests run and waiting on a target, in hundredths, on average.
    load_percent: int


class Gossip(Struct, frozen=True, tag="gossip", omit_defaults=True):
    """One round's news from one host to another."""

    #: The sender's own row comes first.
    hosts: tuple[HostRow, ...]
    #: The sender's monotonic clock, in milliseconds; tells late messages.
    sent_ms: int
    #: Digest of the versions of the documents in force at the sender.
    documents: int
    #: Hosts that the sender knows but does not hear directly.
    unheard: tuple[HostName, ...] = ()
    #: Incarnations that left lately.
    left: tuple[LeavingRow, ...] = ()
    #: Targets in full.
    details: tuple[DetailRow, ...] = ()
    #: Targets in short.
    renewals: tuple[RenewalRow, ...] = ()
    #: What the sender's zone has of each pool; to other zones only.
    summaries: tuple[PoolSummary, ...] = ()


class LeavingNotice(Struct, frozen=True, tag="leaving"):
    """Targets that have just said that they are leaving."""

    #: The incarnations.
    left: tuple[LeavingRow, ...]


class DetailsRequest(Struct, frozen=True, tag="want-details"):
    """A question for targets whose renewals the sender could not use."""

    #: The targets.
    targets: tuple[TargetName, ...]


class DetailsResponse(Struct, frozen=True, tag="give-details"):
    """The answer to :class:`WantDetails`."""

    #: The answering host's monotonic clock, in milliseconds.
    sent_ms: int
    #: The answering host's incarnation.
    incarnation: int
    #: The targets in full.
    details: tuple[DetailRow, ...]


class DocumentsRequest(Struct, frozen=True, tag="want-documents"):
    """A question for documents newer than the ones held."""

    #: Version held of each service.
    versions: dict[str, int]


class DocumentsResponse(Struct, frozen=True, tag="give-documents"):
    """The answer to :class:`WantDocuments`."""

    #: Newer documents; its revision is 0 when there are more than fit.
    page: DocumentsPage


#: What directories send to each other.
DirectoryMessage = (
    Gossip
    | LeavingNotice
    | DetailsRequest
    | DetailsResponse
    | DocumentsRequest
    | DocumentsResponse
)


def decode_message(body: bytes) -> DirectoryMessage:
    """Read a message's body.

    :param body: JSON.
    :returns: the message.
    :raises MessageError: when it has another shape.
    """
    message: DirectoryMessage = decode_json(body, DirectoryMessage)
    return message
