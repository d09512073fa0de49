"""Messages by which entry hosts fetch what changed in the deployment document."""

from __future__ import annotations

import msgspec

from bramleyspread_core import (
    CallerLimits,
    ForwardRoute,
    ForwardService,
    OrganisationKeys,
)


class DocumentQuery(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Asks a control host for the newest document, or for what changed in it.

    Sent with ``POST /v1/control/document`` by an entry host that has heard of a newer
    version.
    """

    #: Version that is in force there; 0 for none.
    version: int
    #: Digests of the buckets of its parts, one after the other; empty if the whole
    #: document is asked for.
    buckets: bytes = b""


class DocumentAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The answer to :class:`DocumentQuery`."""

    #: Version of the newest document that the control host knows; 0 for none. Unless
    #: it is newer than the version of the query, nothing else follows.
    version: int
    #: Whether it is confirmed that no control host has accepted a newer version.
    confirmed: bool = False
    #: Digest of the whole document, apart from its version.
    digest: bytes = b""
    #: Numbers of the buckets whose parts differ; None if the answer is the whole.
    buckets: tuple[int, ...] | None = None
    #: All parts in these buckets, or in the whole document.
    routes: tuple[ForwardRoute, ...] = ()
    services: tuple[ForwardService, ...] = ()
    holders: tuple[OrganisationKeys, ...] = ()
    #: Whether callers need API keys.
    requires_keys: bool = False
    limits: CallerLimits = CallerLimits()
