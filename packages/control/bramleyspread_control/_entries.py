"""Entries of a group's log, and what they hold."""

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
    decode_json,
    encode_json,
)


class Noop(msgspec.Struct, frozen=True, tag="noop"):
    """Changes nothing."""


class SetMembers(msgspec.Struct, frozen=True, tag="set-members"):
    """Sets the members, which the entry itself carries; also a leader's first entry."""


class PutDocument(msgspec.Struct, frozen=True, tag="put-document"):
    """A submitted document that is sound in itself."""

    #: Makes a resend of the same change harmless.
    change: str
    #: Who submitted it.
    author: str
    #: Its YAML text.
    text: str
    #: What the text says.
    document: ServiceDocument


class ClaimHold(msgspec.Struct, frozen=True):
    """A request's hold on a key."""

    #: The key.
    key: ClaimKey
    #: The request.
    request: RequestId


class ExpireClaims(msgspec.Struct, frozen=True, tag="expire-claims"):
    """Ends claims whose owners ran out of time: the outcome is unknown."""

    #: The claims.
    holds: tuple[ClaimHold, ...]


class ForgetClaims(msgspec.Struct, frozen=True, tag="forget-claims"):
    """Drops claims that were finished long ago."""

    #: The number of the newest one to drop, in the order of finishing.
    upto: int


#: What an entry can hold.
Change = (
    Noop
    | SetMembers
    | PutDocument
    | Claim
    | Settle
    | IntendOrders
    | PutDeployment
    | ExpireClaims
    | ForgetClaims
)


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One entry of a group's log."""

    #: Its position, from 1.
    index: int
    #: The term of the leader that made it.
    term: int
    #: The change, as JSON.
    change: msgspec.Raw
    #: The members from here on, where it changes them.
    members: Members | None = None

    @classmethod
    def from_change(
        cls,
        index: int,
        term: int,
        change: Change,
        members: Members | None = None,
    ) -> Entry:
        """Make an entry.

        :param index: its position.
        :param term: the leader's term.
        :param change: the change.
        :param members: the new members, where it changes them.
        :returns: the entry.
        """
        return cls(index, term, msgspec.Raw(encode_json(change)), members)

    def read_change(self) -> Change:
        """Read the change.

        :returns: the change.
        :raises MessageError: when it is none.
        """
        change: Change = decode_json(bytes(self.change), Change)
        return change

    def detach(self) -> Entry:
        """Copy the entry, so that it does not keep a whole message alive."""
        return Entry(
            self.index, self.term, msgspec.Raw(bytes(self.change)), self.members
        )
