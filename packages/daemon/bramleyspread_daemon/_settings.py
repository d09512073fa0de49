"""Settings of a process, loaded from a YAML file."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from bramleyspread_core import Address, InvalidFileError, Name, load_yaml

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3_600)]
Connections = Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class _SettingsSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A section of the settings; unknown keys are errors."""


class Listen(_SettingsSection, frozen=True, kw_only=True):
    """An address on which a process accepts connections."""

    #: IPv4 or IPv6 address.
    ip: str
    #: TCP port.
    port: Port

    @property
    def address(self) -> Address:
        """The IP address and port as one value."""
        return Address(self.ip, self.port)


class LogSettings(_SettingsSection, frozen=True, kw_only=True):
    """The level and destination of the log."""

    #: The lowest level that is written, such as ``INFO``.
    level: str = "INFO"
    #: The log file; None for standard error, ``-`` for JSON lines on standard output.
    file: str | None = None


class HostSettings(_SettingsSection, frozen=True, kw_only=True):
    """A host of the deployment."""

    #: The name of the host.
    host: Name
    #: The availability zone.
    zone: Name
    #: The address it listens on, as ``ip:port``.
    address: str


class Limits(_SettingsSection, frozen=True, kw_only=True):
    """Limits that keep one peer from affecting the others."""

    #: Maximum open connections.
    connections: Connections = 4_096
    #: Maximum size of a request's head.
    head_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=1_048_576)] = 16_384
    #: Maximum size of a request's body.
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=67_108_864)] = 1_048_576
    #: Maximum size of all that is kept of requests, and of replies to slow readers;
    #: beyond it connections give up.
    held_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 67_108_864
    #: Timeout for receiving a request, head and body together.
    receive_s: Seconds = 10.0
    #: Timeout after which an idle connection is closed.
    idle_s: Seconds = 75.0
    #: Time after SIGTERM during which requests are still accepted.
    grace_s: Seconds = 2.0
    #: Timeout after the grace period for requests in flight to finish.
    drain_s: Seconds = 120.0


class _ProcessSettings(_SettingsSection, frozen=True, kw_only=True):
    """Settings of every role."""

    #: The name of this host.
    host: Name
    #: The availability zone of this host.
    zone: Name
    #: The address to listen on.
    listen: Listen
    #: The file to which timeline events are appended.
    timeline: str
    #: The log settings.
    log: LogSettings = LogSettings()
    #: The limits on connections and requests.
    limits: Limits = Limits()
    #: The rate of the host's network link, in Mbit/s; 0 if unknown.
    link_mbps: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class EntrySettings(_ProcessSettings, frozen=True, kw_only=True):
    """Settings of an entry process, which receives callers' requests."""

    #: The address for callers; ``listen`` then serves only targets, hosts and
    #: operators. When None, callers are served at ``listen`` too.
    callers: Listen | None = None
    #: The control hosts.
    control_hosts: tuple[HostSettings, ...] = ()
    #: Other entry hosts known at the start; this host may be among them.
    entry_hosts: tuple[HostSettings, ...] = ()


class ControlSettings(_ProcessSettings, frozen=True, kw_only=True):
    """Settings of a control process, which stores documents and claims."""

    #: The folder for the durable state.
    data: str
    #: All control hosts, including this one.
    control_hosts: Annotated[
        tuple[HostSettings, ...], msgspec.Meta(min_length=1, max_length=40)
    ]


SettingsT = TypeVar("SettingsT", EntrySettings, ControlSettings)

_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")


def load_settings(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    """Read and validate a settings file.

    :param path: the file.
    :param settings_type: the type of the role's settings.
    :returns: the settings.
    :raises InvalidFileError: when the file is invalid, with one line per error.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        fault = f"cannot be read: {error.strerror}"
        raise InvalidFileError(str(path), (fault,)) from None
    settings = load_yaml(data, settings_type, str(path))
    faults = tuple(_find_errors(settings))
    if faults:
        raise InvalidFileError(str(path), faults)
    return settings


def _find_errors(settings: EntrySettings | ControlSettings) -> Iterator[str]:
    yield from _find_ip_errors("listen.ip", settings.listen.ip)
    if settings.log.level not in _LEVELS:
        yield f"log.level: expected one of {', '.join(_LEVELS)}"
    if not settings.timeline:
        yield "timeline: expected a path, got an empty string"
    yield from _find_host_errors("control_hosts", settings.control_hosts)
    if isinstance(settings, EntrySettings):
        yield from _find_host_errors("entry_hosts", settings.entry_hosts)
        yield from _find_caller_errors(settings)
        return
    if not settings.data:
        yield "data: expected a folder, got an empty string"
    own_host = next(
        (h for h in settings.control_hosts if h.host == settings.host), None
    )
    if own_host is None:
        yield f"control_hosts: this host, {settings.host!r}, is missing"
    elif own_host.address != str(settings.listen.address):
        yield f"control_hosts: the address of {own_host.host!r} differs from listen"


def _find_caller_errors(settings: EntrySettings) -> Iterator[str]:
    if settings.callers is None:
        return
    yield from _find_ip_errors("callers.ip", settings.callers.ip)
    if settings.callers == settings.listen:
        yield "callers: same address as listen; omit it or use another address"


def _find_host_errors(key: str, hosts: Sequence[HostSettings]) -> Iterator[str]:
    names: set[str] = set()
    addresses: set[str] = set()
    for number, each in enumerate(hosts):
        item_key = f"{key}[{number}]"
        if each.host in names:
            yield f"{item_key}.host: {each.host!r} is listed twice"
        if each.address in addresses:
            yield f"{item_key}.address: {each.address!r} is listed twice"
        names.add(each.host)
        addresses.add(each.address)
        yield from _find_address_errors(f"{item_key}.address", each.address)


def _find_address_errors(key: str, text: str) -> Iterator[str]:
    try:
        address = Address.from_text(text)
    except ValueError as error:
        yield f"{key}: {error}"
        return
    if not 1 <= address.port <= 65_535:
        yield f"{key}: port {address.port} is not between 1 and 65535"
    yield from _find_ip_errors(key, address.ip)


def _find_ip_errors(key: str, text: str) -> Iterator[str]:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        yield f"{key}: expected an IP address, got {text!r}"
