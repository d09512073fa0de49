"""Messages between the directories of two entry hosts.

Rows are encoded as JSON arrays, since they make up nearly all of the bytes. Rows
carry ages instead of times, because hosts do not share a clock.
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
    """The state of one entry host, as known by the sender of the row."""

    #: The host's name.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: IP address that the host listens on.
    ip: str
    #: TCP port that the host listens on.
    port: int
    #: Number that rises each time the host's process starts.
    incarnation: int
    #: Gossip rounds since the host's process started; rows with fewer are ignored.
    heartbeat: int
    #: The revision up to which every change is in force on the host.
    revision: int
    #: Time since the host sent the heartbeat, in milliseconds.
    age_ms: int

    @property
    def address(self) -> Address:
        """The address that the host listens on."""
        return Address(self.ip, self.port)


class DetailRow(Struct, frozen=True, array_like=True):
    """The complete newest announcement of one target."""

    announcement: Announcement
    #: Time since the announcement arrived at the host that the target announced to, in
    #: milliseconds.
    age_ms: int


class RenewalRow(Struct, frozen=True, array_like=True, omit_defaults=True):
    """A lease renewal for a target whose details the receiver should already have."""

    #: The target's name.
    target: TargetName
    #: Sequence number of the announcement that renews the lease.
    sequence: int
    #: Digest of the incarnation and the details, compared with the receiver's digest.
    details_digest: int
    #: Time since the announcement arrived at the host that the target announced to, in
    #: milliseconds.
    age_ms: int
    #: Number of requests running on the target.
    running: int
    #: Number of requests waiting on the target.
    waiting: int
    #: Prefix-cache blocks in use, in percent.
    cache_percent: int
    #: Age of the load report when the target sent it, in milliseconds.
    load_age_ms: int
    #: The newest prefix-cache events.
    cache_events: tuple[CacheEvent, ...] = ()


class LeavingRow(Struct, frozen=True, array_like=True):
    """An incarnation of a target that is leaving; this is final."""

    #: The target's name.
    target: TargetName
    #: The incarnation that is leaving.
    incarnation: int


class PoolSummary(Struct, frozen=True, array_like=True):
    """The state of one pool in one zone, as estimated by a host of that zone."""

    #: The pool.
    pool: PoolName
    #: Number of usable targets.
    targets: int
    #: Mean number of running and waiting requests per target, times 100.
    load_percent: int


class Gossip(Struct, frozen=True, tag="gossip", omit_defaults=True):
    """The message of one gossip round from one host to another."""

    #: Rows about hosts; the first row is about the sender.
    hosts: tuple[HostRow, ...]
    #: The sender's monotonic clock, in milliseconds, for estimating the delay.
    sent_ms: int
    #: Digest of the versions of the documents in force at the sender.
    documents: int
    #: Hosts that should send gossip to the sender, but whose messages are missing.
    unheard: tuple[HostName, ...] = ()
    #: Incarnations whose leaving was announced within the last lease duration.
    left: tuple[LeavingRow, ...] = ()
    #: Targets with all their details.
    details: tuple[DetailRow, ...] = ()
    #: Targets with their newest sequence and load only.
    renewals: tuple[RenewalRow, ...] = ()
    #: Pools of the sender's zone; sent to partners in other zones only.
    summaries: tuple[PoolSummary, ...] = ()


class LeavingNotice(Struct, frozen=True, tag="leaving"):
    """A notice, sent without waiting for a round, that targets are leaving."""

    #: The incarnations that are leaving.
    left: tuple[LeavingRow, ...]


class DetailsRequest(Struct, frozen=True, tag="want-details"):
    """A request for the details of targets whose renewals could not be applied."""

    #: The names of the targets.
    targets: tuple[TargetName, ...]


class DetailsResponse(Struct, frozen=True, tag="give-details"):
    """The response to :class:`DetailsRequest`."""

    #: The responding host's monotonic clock, in milliseconds.
    sent_ms: int
    #: The responding host's incarnation.
    incarnation: int
    #: Rows with all details of the requested targets; unknown targets are omitted.
    details: tuple[DetailRow, ...]


class DocumentsRequest(Struct, frozen=True, tag="want-documents"):
    """A request for documents that are newer than the sender's."""

    #: The version in force at the sender, by service.
    versions: dict[str, int]


class DocumentsResponse(Struct, frozen=True, tag="give-documents"):
    """The response to :class:`DocumentsRequest`."""

    #: The newer documents; the page's revision is 0 if not all of them fit.
    page: DocumentsPage


#: Any message between directories.
DirectoryMessage = (
    Gossip
    | LeavingNotice
    | DetailsRequest
    | DetailsResponse
    | DocumentsRequest
    | DocumentsResponse
)


def decode_message(body: bytes) -> DirectoryMessage:
    """Decode a message body.

    :param body: JSON.
    :returns: the message.
    :raises MessageError: if the body is not a valid message.
    """
    message: DirectoryMessage = decode_json(body, DirectoryMessage)
    return message
