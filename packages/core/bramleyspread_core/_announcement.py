"""Announcements by which targets register and report their state and load."""

from __future__ import annotations

from enum import Enum

import msgspec

from bramleyspread_core._identity import Address, PoolName, TargetName, ZoneName


class TargetState(str, Enum):
    """Whether a target accepts new work."""

    #: Accepts new work.
    SERVING = "serving"
    #: Finishes its current work and accepts no new work; final for the incarnation.
    LEAVING = "leaving"


class Load(msgspec.Struct, frozen=True, omit_defaults=True):
    """A target's report of its own load at the time of measurement."""

    #: Number of requests that the target is processing.
    running: int = 0
    #: Number of requests that wait in the target's queue.
    waiting: int = 0
    #: Maximum number of concurrent requests.
    slots: int = 1
    #: Fraction of prefix-cache blocks in use, from 0 to 1.
    cache_used: float = 0.0
    #: Age of the measurement when the report was sent, in milliseconds.
    age_ms: int = 0


class LoadedModel(msgspec.Struct, frozen=True, omit_defaults=True):
    """A model that a target has loaded and can serve."""

    name: str
    version: str
    #: Names of the adapters that are loaded on the model.
    adapters: tuple[str, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """A hint, which may be late or lost, that a target stored or evicted a prefix."""

    #: Sequence number; a gap means that events were lost.
    number: int
    #: The cache prefix, which begins with the brand's key.
    prefix: str
    #: True when the prefix was stored, False when it was evicted.
    stored: bool


class Announcement(msgspec.Struct, frozen=True, omit_defaults=True):
    """A target's registration, which expires unless the target repeats it.

    The target sends it to any entry host by ``POST /v1/announcements``.
    """

    target: TargetName
    #: Increases each time the target's process starts; for example, its start time
    #: in milliseconds.
    incarnation: int
    #: Increases with each announcement of the incarnation.
    sequence: int
    #: The pool that the target belongs to.
    pool: PoolName
    #: Address at which the target accepts calls.
    address: Address
    #: The target's availability zone.
    zone: ZoneName
    state: TargetState = TargetState.SERVING
    load: Load = Load()
    #: Models that the target can serve; empty for plain services.
    models: tuple[LoadedModel, ...] = ()
    #: Current role, such as ``generate``; empty for plain services.
    role: str = ""
    #: Whether the target refuses orders with an outdated fencing number.
    checks_fencing: bool = False
    #: Highest fencing number of the orders that the target has obeyed.
    fence: int = 0
    #: Prefix-cache events since the last announcement; may be late and incomplete.
    cache_events: tuple[CacheEvent, ...] = ()


class AnnouncementAnswer(msgspec.Struct, frozen=True):
    """An entry host's answer to an announcement."""

    #: The entry host that received the announcement.
    received_by: str = msgspec.field(name="heard_by")
    #: Delay until the target should announce itself again, in milliseconds.
    next_announcement_ms: int = msgspec.field(name="again_ms")


class TargetsReport(msgspec.Struct, frozen=True):
    """An entry host's report of targets that announced themselves to it directly.

    It is sent to the control hosts by ``POST /v1/control/targets``. Control hosts
    use it to give orders, so the loads in it may be stale.
    """

    #: Name of the reporting entry host.
    host: str
    #: Newest announcement of each of these targets. A target that is missing from a
    #: report stays known to the control hosts until its lease expires.
    targets: tuple[Announcement, ...]
