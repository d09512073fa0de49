"""What targets tell the system about themselves."""

from __future__ import annotations

from enum import Enum

import msgspec

from bramleyspread_core._identity import Address, PoolName, TargetName, ZoneName


class TargetState(str, Enum):
    """Whether a target takes new work."""

    #: Takes new work.
    SERVING = "serving"
    #: Finishes what it has and takes nothing new; final for its incarnation.
    LEAVING = "leaving"


class Load(msgspec.Struct, frozen=True, omit_defaults=True):
    """A target's own report of its load, as of the moment it was taken."""

    #: Requests being run.
    running: int = 0
    #: Requests waiting to run.
    waiting: int = 0
    #: Requests it can run side by side.
    slots: int = 1
    #: Prefix-cache blocks in use, as a share from 0 to 1.
    cache_used: float = 0.0
    #: Age of this report when it was sent, in milliseconds.
    age_ms: int = 0


class LoadedModel(msgspec.Struct, frozen=True, omit_defaults=True):
    """One model that a target holds, ready to serve."""

    #: The model's name.
    name: str
    #: The model's version.
    version: str
    #: Names of the adapters loaded on it.
    adapters: tuple[str, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """A late hint that a prefix entered or left a target's cache."""

    #: Rising number; a gap means that events were lost.
    number: int
    #: The prefix key; it begins with the brand's key.
    prefix: str
    #: True when the prefix was stored, False when it was evicted.
    stored: bool


class Announcement(msgspec.Struct, frozen=True, omit_defaults=True):
    """A target's claim to be there; a lease that it renews by repeating it.

    Sent by the target to any entry host: ``POST /v1/announcements``.
    """

    #: The target's name.
    target: TargetName
    #: Rises each time the target's process starts (for example, start time in ms).
    incarnation: int
    #: Rises with each announcement of an incarnation.
    sequence: int
    #: The pool that it serves.
    pool: PoolName
    #: Where it takes calls.
    address: Address
    #: Its availability zone.
    zone: ZoneName
    #: Whether it takes new work.
    state: TargetState = TargetState.SERVING
    #: Its own report of its load.
    load: Load = Load()
    #: Models ready to serve; empty for plain services.
    models: tuple[LoadedModel, ...] = ()
    #: Role in force, such as ``generate``; empty for plain services.
    role: str = ""
    #: True when it refuses orders that carry an old fencing number.
    checks_fencing: bool = False
    #: Highest fencing number it has obeyed.
    fence: int = 0
    #: Prefix-cache events since the last announcement, late and with gaps.
    cache_events: tuple[CacheEvent, ...] = ()


class AnnouncementAnswer(msgspec.Struct, frozen=True):
    """An entry host's answer to an announcement."""

    #: The entry host that heard it.
    heard_by: str
    #: When to announce again, in milliseconds.
    again_ms: int


class TargetsReport(msgspec.Struct, frozen=True):
    """What an entry host tells the control hosts about targets it heard itself.

    ``POST /v1/control/targets``; for giving orders, so loads may be stale.
    """

    #: The entry host.
    host: str
    #: Targets whose announcements changed in state, models or role, or all.
    targets: tuple[Announcement, ...]
