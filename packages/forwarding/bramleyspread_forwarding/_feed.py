"""What entry hosts ask of control hosts, again and again."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Address, Deployment
from bramleyspread_forwarding._notices import TargetChange


class EntryHost(msgspec.Struct, frozen=True, order=True):
    """An entry host that asked lately."""

    #: Its name.
    host: str
    #: Its availability zone.
    zone: str
    #: Where it takes other hosts' messages.
    address: Address
    #: When its process started, in milliseconds since 1970.
    started: int = 0


class FeedQuery(msgspec.Struct, frozen=True, kw_only=True):
    """An entry host's question for what it doesn't know yet.

    ``POST /v1/control/feed``; the answer comes when there is news, or soon.
    """

    #: Who asks.
    asker: EntryHost
    #: The version of the deployment document in force there; 0 for none.
    version: int
    #: The life of the control host's process that the position belongs to.
    life: str = ""
    #: Changes of targets that are known.
    position: int = 0


class FeedPage(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to :class:`FeedQuery`."""

    #: The life of the control host's process.
    life: str
    #: Changes of targets up to here are on this page or were known.
    position: int
    #: Targets that changed.
    changes: tuple[TargetChange, ...] = ()
    #: A newer deployment document; None when there is none.
    deployment: Deployment | None = None
    #: The version known here; 0 for none.
    version: int = 0
    #: Whether nothing newer than that version was accepted anywhere.
    confirmed: bool = False
    #: The control hosts.
    control: tuple[Address, ...] = ()
    #: The entry hosts that asked lately.
    entries: tuple[EntryHost, ...] = ()
