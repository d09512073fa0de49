"""Settings of the forwarding roles."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec

from bramleyspread_core import (
    Address,
    InvalidFileError,
    Name,
    find_zone_fault,
    load_yaml,
)
from bramleyspread_daemon._settings import (
    HostSettings,
    Limits,
    Listen,
    LogSettings,
    Seconds,
)

#: Share of ``revoke_ms`` for which keys stay trusted without confirmation.
KEY_TRUST_SHARE = 0.75

#: Share of a process's memory for what it keeps of targets' answers. Each byte may be
#: there more than once while an answer is put together and passed on.
HELD_MEMORY_SHARE = 0.16

#: Share of it for what it keeps of requests, and of replies to slow readers.
KEPT_MEMORY_SHARE = 0.2

Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
ElectionSeconds = Annotated[float, msgspec.Meta(gt=0, le=60)]
RetryCount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class _ForwardSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that the entry and the control role of forwarding share."""

    #: Name of this host.
    host: Name
    #: Availability zone of this host.
    zone: Name
    #: Address on which the system's other processes call this one, as ``ip:port``.
    listen_at: str
    #: Some control hosts, as ``ip:port``; the others are discovered from them.
    seeds: tuple[str, ...]
    #: File to which timeline events are appended; ``-`` for standard output.
    timeline: str = "-"
    #: Rate of the host's network link, in Mbit/s; 0 if unknown.
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    #: Logging settings.
    log: LogSettings = LogSettings()
    #: Resource limits.
    limits: Limits = Limits()

    @property
    def listen(self) -> Listen:
        """Parsed form of ``listen_at``."""
        return _read_listen(self.listen_at)

    @property
    def seed_addresses(self) -> tuple[Address, ...]:
        """Parsed addresses of the seeds."""
        return tuple(Address.from_text(each) for each in self.seeds)


class ForwardEntrySettings(_ForwardSettings, frozen=True, kw_only=True):
    """Settings of an entry process that forwards requests."""

    #: Address on which callers' requests are accepted, as ``ip:port``.
    callers_at: str
    #: Address on which the load balancer checks readiness, as ``ip:port``.
    ready_at: str
    #: Maximum time until a revoked key stops working, in milliseconds.
    revoke_ms: Annotated[float, msgspec.Meta(ge=100)] = 5_000.0
    #: Memory that the process may use, in MB.
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 200.0
    #: Whether keys are rejected while it can't be confirmed that they are still valid.
    fail_closed: bool = True
    #: Retries allowed, as a share of the requests sent.
    retry_ratio: Ratio = 0.1
    #: Retries allowed in addition per window, for all entry hosts together.
    retry_slack: RetryCount = 10.0
    #: Length of that window, in seconds.
    retry_window_s: Seconds = 10.0
    #: Multiple of its warm-up rate that a warming target bears in any second; None if
    #: unknown.
    warm_up_overage: Annotated[float, msgspec.Meta(ge=0, le=1_000)] | None = None
    #: Requests that it bears in addition.
    warm_up_slack: RetryCount = 0.0
    #: How stage work is divided when it exceeds the capacity: strictly by priority, or
    #: in shares, with early refusals.
    overload: Literal["priority", "fair"] = "priority"
    #: What decides which work is sent to another availability zone: a plan of the host
    #: that sees all demand, or the cost of each request and job.
    zone_overflow: Literal["planned", "cost"] = "cost"

    @property
    def callers(self) -> Listen:
        """Parsed form of ``callers_at``."""
        return _read_listen(self.callers_at)

    @property
    def ready(self) -> Listen:
        """Parsed form of ``ready_at``."""
        return _read_listen(self.ready_at)

    @property
    def max_held_bytes(self) -> int:
        """Maximum size of what is kept of targets' answers, in bytes."""
        return int(self.memory_mb * 1e6 * HELD_MEMORY_SHARE)

    @property
    def max_kept_bytes(self) -> int:
        """Maximum size of what is kept of requests and replies, in bytes."""
        share = int(self.memory_mb * 1e6 * KEPT_MEMORY_SHARE)
        return min(self.limits.held_bytes, share)

    @property
    def key_trust_s(self) -> float:
        """How long keys stay trusted without confirmation, in seconds."""
        if not self.fail_closed:
            return math.inf
        return self.revoke_ms / 1000 * KEY_TRUST_SHARE


class ForwardControlSettings(_ForwardSettings, frozen=True, kw_only=True):
    """Settings of a control process for request forwarding."""

    #: Folder for durable state.
    data: str
    #: Whether the machines return a disk either intact or empty, never in an older
    #: state.
    trust_folder: bool = False
    #: Whether this is the first start of the whole system.
    bootstrap: bool = False
    #: Shortest and longest election timeout, in seconds.
    election_s: tuple[ElectionSeconds, ElectionSeconds] = (0.6, 1.1)
    #: Interval between two heartbeats of a target, in milliseconds.
    heartbeat_ms: Annotated[float, msgspec.Meta(gt=0)] = 1_000.0
    #: Names of the availability zones that operators may drain; empty for any.
    zones: tuple[str, ...] = ()

    @property
    def control_hosts(self) -> tuple[HostSettings, ...]:
        """Empty, since control hosts discover each other from the seeds."""
        return ()


SettingsT = TypeVar("SettingsT", ForwardEntrySettings, ForwardControlSettings)


def load_forward_settings(path: Path, kind: type[SettingsT]) -> SettingsT:
    """Read and validate a settings file.

    :param path: the file.
    :param kind: the settings class of the role.
    :returns: the settings.
    :raises InvalidFileError: with one line per fault.
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
    else:
        yield from _find_control_faults(settings)
    named += [(f"seeds[{at}]", each) for at, each in enumerate(settings.seeds)]
    if not settings.seeds:
        yield "seeds: expected at least one control host"
    for name, text in named:
        try:
            ipaddress.ip_address(Address.from_text(text).ip)
        except ValueError as error:
            yield f"{name}: {error}"


def _find_control_faults(settings: ForwardControlSettings) -> Iterator[str]:
    if not settings.data:
        yield "data: expected a folder, got an empty string"
    for at, zone in enumerate(settings.zones):
        if fault := find_zone_fault(zone):
            yield f"zones[{at}]: {fault}"


def _read_listen(text: str) -> Listen:
    address = Address.from_text(text)
    return Listen(ip=address.ip, port=address.port)
