"""Messages by which hosts tell each other under which requests targets crashed."""

from __future__ import annotations

import msgspec


class SharedCrash(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A crash of a target under a request, as one host tells another."""

    #: Id of the target.
    target: str
    #: When its process started, in milliseconds since 1970; 0 when unknown.
    born: int = 0
    #: The organisation that sent the request; empty for none.
    holder: str = ""
    #: Identities of the request's features.
    features: tuple[str, ...]
    #: How long ago the target crashed, in milliseconds.
    ended_age_ms: float


class SharedSuccess(msgspec.Struct, frozen=True, kw_only=True):
    """A feature with which a target answered a request, as one host tells another."""

    #: Identity of the feature.
    feature: str
    #: How long ago the answer was whole, in milliseconds.
    age_ms: float


class CrashNews(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What one host tells another about crashes; it may come in any order."""

    #: Revision of the sender's table up to which the receiver then knows everything.
    revision: int = 0
    crashes: tuple[SharedCrash, ...] = ()
    successes: tuple[SharedSuccess, ...] = ()
