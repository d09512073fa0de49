"""Entries of a group's replicated log, and the changes that they contain."""

from __future__ import annotations

import msgspec

from bramleyspread_control._members import Members
from bramleyspread_core import (
    Claim,
    ClaimKey,
    IntendOrders,
    PutDeployment,
    RequestId,
    ServiceDocument,
    Settle,
    SetZoneDrain,
    decode_json,
    encode_json,
)


class Noop(msgspec.Struct, frozen=True, tag="noop"):
    """A change without effect."""


class SetMembers(msgspec.Struct, frozen=True, tag="set-members"):
    """Sets the group's members, which are stored in the entry itself.

    A leader's first entry in its term is of this kind, too.
    """


class PutDocument(msgspec.Struct, frozen=True, tag="put-document"):
    """A submitted document that is valid in itself."""

    #: Id of the change, by which a retried submission is recognised.
    change: str
    #: Author of the change.
    author: str
    #: The document's YAML text.
    text: str
    #: The document decoded from the text.
    document: ServiceDocument


class ClaimHold(msgspec.Struct, frozen=True):
    """A key and the request that holds it."""

    key: ClaimKey
    request: RequestId


class ExpireClaims(msgspec.Struct, frozen=True, tag="expire-claims"):
    """Ends claims whose owners exceeded their time budget; their outcome is unknown."""

    #: The expired claims.
    holds: tuple[ClaimHold, ...]


class ForgetClaims(msgspec.Struct, frozen=True, tag="forget-claims"):
    """Removes finished claims whose retention time has passed."""

    #: Sequence number, in the order of finishing, of the newest claim to remove.
    upto: int


#: The changes that an entry can contain.
Change = (
    Noop
    | SetMembers
    | PutDocument
    | Claim
    | Settle
    | IntendOrders
    | PutDeployment
    | SetZoneDrain
    | ExpireClaims
    | ForgetClaims
)


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One entry of a group's log."""

    #: Log index, starting from 1.
    index: int
    #: Term of the leader that created the entry.
    term: int
    #: The change as JSON.
    change: msgspec.Raw
    #: The members from this entry on, if the entry changes them.
    members: Members | None = None

    @classmethod
    def from_change(
        cls,
        index: int,
        term: int,
        change: Change | msgspec.Raw,
        members: Members | None = None,
    ) -> Entry:
        """Create an entry from a change.

        :param index: log index of the entry.
        :param term: term of the leader.
        :param change: the change, which may be encoded already.
        :param members: the new members, if the entry changes them.
        :returns: the entry.
        """
        if not isinstance(change, msgspec.Raw):
            change = encode_change(change)
        return cls(index, term, change, members)

    @property
    def size(self) -> int:
        """Size of the encoded change, in bytes."""
        return len(memoryview(self.change))

    def has_change(self, change: msgspec.Raw) -> bool:
        """Whether the entry contains an encoded change."""
        same_size = self.size == len(memoryview(change))
        return same_size and bytes(self.change) == bytes(change)

    def read_change(self) -> Change:
        """Decode the change.

        :returns: the change.
        :raises MessageError: when the JSON is not a valid change.
        """
        change: Change = decode_json(bytes(self.change), Change)
        return change

    def detach(self) -> Entry:
        """Copy the entry, so that it does not keep a whole message in memory."""
        return Entry(
            self.index, self.term, msgspec.Raw(bytes(self.change)), self.members
        )


def encode_change(change: Change) -> msgspec.Raw:
    """Encode a change as an entry contains it."""
    return msgspec.Raw(encode_json(change))
