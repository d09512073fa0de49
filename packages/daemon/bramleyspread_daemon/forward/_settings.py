"""Settings of the processes that forward calls."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from bramleyspread_core import Address, InvalidFileError, Name, load_yaml
from bramleyspread_daemon._settings import (
    HostSettings,
    Limits,
    Listen,
    LogSettings,
    Seconds,
)

#: The share of the time for a key to stop working in which it is believed.
TRUSTED_SHARE = 0.75

Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=60)]
Number = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class _ForwardSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What both roles need."""

    #: This host's name.
    host: Name
    #: Its availability zone.
    zone: Name
    #: Where it takes the system's other processes, as ``ip:port``.
    listen_at: str
    #: Some control hosts, as ``ip:port``; the others are learned from them.
    seeds: tuple[str, ...]
    #: The file that time line events are appended to; ``-`` for standard output.
    timeline: str = "-"
    #: What is logged.
    log: LogSettings = LogSettings()
    #: Bounds.
    limits: Limits = Limits()

    @property
    def listen(self) -> Listen:
        """Where it takes the system's other processes."""
        return _read_listen(self.listen_at)

    @property
    def seed_addresses(self) -> tuple[Address, ...]:
        """The seeds as addresses."""
        return tuple(Address.from_text(each) for each in self.seeds)


class ForwardEntrySettings(_ForwardSettings, frozen=True, kw_only=True):
    """Settings of an entry process that forwards calls."""

    #: Where callers are taken, as ``ip:port``.
    callers_at: str
    #: Where the balancer asks whether this host is ready, as ``ip:port``.
    ready_at: str
    #: Most time for a key that was taken away to stop working, in milliseconds.
    revoke_ms: Annotated[float, msgspec.Meta(ge=100)] = 5_000.0
    #: Whether no key works where nobody can tell if it was taken away.
    fail_closed: bool = True
    #: What may be sent again, as a share of what is sent.
    retry_ratio: Ratio = 0.1
    #: What all entry hosts together may send again besides, in one window.
    retry_slack: Number = 10.0
    #: Length of that window, in seconds.
    retry_window_s: Seconds = 10.0

    @property
    def callers(self) -> Listen:
        """Where callers are taken."""
        return _read_listen(self.callers_at)

    @property
    def ready(self) -> Listen:
        """Where the balancer asks whether this host is ready."""
        return _read_listen(self.ready_at)

    @property
    def keys_s(self) -> float:
        """How long keys are believed without a word of the control hosts."""
        if not self.fail_closed:
            return math.inf
        return self.revoke_ms / 1000 * TRUSTED_SHARE


class ForwardControlSettings(_ForwardSettings, frozen=True, kw_only=True):
    """Settings of a control process that serves forwarding."""

    #: The folder that holds its durable state.
    data: str
    #: Whether the machines give a disk back whole or empty, never as it was before.
    trust_folder: bool = False
    #: Whether this is the first start of the whole system.
    bootstrap: bool = False
    #: Shortest and longest silence of a leader before another stands, in seconds.
    election_s: tuple[Positive, Positive] = (0.6, 1.1)
    #: Between two heartbeats of a target, in milliseconds.
    heartbeat_ms: Annotated[float, msgspec.Meta(gt=0)] = 1_000.0

    @property
    def control_hosts(self) -> tuple[HostSettings, ...]:
        """None by name: control hosts find each other from the seeds."""
        return ()


S = TypeVar("S", ForwardEntrySettings, ForwardControlSettings)


def load_forward_settings(path: Path, kind: type[S]) -> S:
    """Read and check a settings file.

    :param path: the file.
    :param kind: the role's settings.
    :returns: the settings.
    :raises InvalidFileError: one line a fault.
    """
    try:
        settings = load_yaml(path.read_bytes(), kind, str(path))
    except OSError as error:
        fault = f"cannot be read: {error.strerror}"
        raise InvalidFileError(str(path), (fault,)) from None
    faults = tuple(_find_faults(settings))
    if faults:
        raise InvalidFileError(str(path), faults)
    return settings


def _find_faults(
    settings: ForwardEntrySettings | ForwardControlSettings,
) -> Iterator[str]:
    named = [("listen_at", settings.listen_at)]
    if isinstance(settings, ForwardEntrySettings):
        named.append(("callers_at", settings.callers_at))
        named.append(("ready_at", settings.ready_at))
    elif not settings.data:
        yield "data: expected a folder, got an empty text"
    named += [(f"seeds[{at}]", each) for at, each in enumerate(settings.seeds)]
    if not settings.seeds:
        yield "seeds: name at least one control host"
    for name, text in named:
        try:
            ipaddress.ip_address(Address.from_text(text).ip)
        except ValueError as error:
            yield f"{name}: {error}"


def _read_listen(text: str) -> Listen:
    address = Address.from_text(text)
    return Listen(ip=address.ip, port=address.port)
