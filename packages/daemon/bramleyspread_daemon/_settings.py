"""Settings of a process, as its YAML file gives them."""

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


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A part of the settings; keys that it does not know are faults."""


class Listen(_Part, frozen=True, kw_only=True):
    """Where a process takes connections."""

    #: IPv4 or IPv6 number.
    ip: str
    #: TCP port.
    port: Port

    @property
    def address(self) -> Address:
        """The same as an address."""
        return Address(self.ip, self.port)


class LogSettings(_Part, frozen=True, kw_only=True):
    """What is logged, and where to."""

    #: The least level that is written, such as ``INFO``.
    level: str = "INFO"
    #: A file to write to; None for standard error, ``-`` for JSON lines on standard
    #: output.
    file: str | None = None


class HostSettings(_Part, frozen=True, kw_only=True):
    """Another host of the system."""

    #: Its name.
    host: Name
    #: Its availability zone.
    zone: Name
    #: Where it listens, as ``ip:port``.
    address: str


class Limits(_Part, frozen=True, kw_only=True):
    """Bounds that keep one peer from hurting the others."""

    #: Open connections taken at once.
    connections: Connections = 4_096
    #: Most bytes of a request's head.
    head_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=1_048_576)] = 16_384
    #: Most bytes of a request's body.
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=67_108_864)] = 1_048_576
    #: Most bytes of all requests' bodies that are held at once; more is turned away.
    held_bytes: Annotated[int, msgspec.Meta(ge=65_536)] = 67_108_864
    #: Time for one request's head and body to arrive, in seconds.
    receive_s: Seconds = 10.0
    #: Time that a connection may stay open without a request, in seconds.
    idle_s: Seconds = 75.0
    #: Time after SIGTERM in which requests are still taken, in seconds.
    grace_s: Seconds = 2.0
    #: Most time after SIGTERM for requests in flight to finish, in seconds.
    drain_s: Seconds = 120.0


class _ProcessSettings(_Part, frozen=True, kw_only=True):
    """What every role needs."""

    #: This host's name.
    host: Name
    #: Its availability zone.
    zone: Name
    #: Where it listens.
    listen: Listen
    #: The file that time line events are appended to.
    timeline: str
    #: What is logged.
    log: LogSettings = LogSettings()
    #: Bounds.
    limits: Limits = Limits()


class EntrySettings(_ProcessSettings, frozen=True, kw_only=True):
    """Settings of an entry process."""

    #: Where callers are taken; ``listen`` then takes only targets, hosts and
    #: operators. None takes callers at ``listen`` too.
    callers: Listen | None = None
    #: The control hosts.
    control_hosts: tuple[HostSettings, ...] = ()
    #: Other entry hosts to begin with; this host may be among them.
    entry_hosts: tuple[HostSettings, ...] = ()


class ControlSettings(_ProcessSettings, frozen=True, kw_only=True):
    """Settings of a control process."""

    #: The folder that holds its durable state.
    data: str
    #: All control hosts, this one included.
    control_hosts: Annotated[
        tuple[HostSettings, ...], msgspec.Meta(min_length=1, max_length=40)
    ]


S = TypeVar("S", EntrySettings, ControlSettings)

_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")


def load_settings(path: Path, kind: type[S]) -> S:
    """Read and check a settings file.

    :param path: the file.
    :param kind: the role's settings.
    :returns: the settings.
    :raises InvalidFileError: one line a fault.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        fault = f"cannot be read: {error.strerror}"
        raise InvalidFileError(str(path), (fault,)) from None
    settings = load_yaml(data, kind, str(path))
    faults = tuple(_find_faults(settings))
    if faults:
        raise InvalidFileError(str(path), faults)
    return settings


def _find_faults(settings: EntrySettings | ControlSettings) -> Iterator[str]:
    yield from _find_ip_faults("listen.ip", settings.listen.ip)
    if settings.log.level not in _LEVELS:
        yield f"log.level: expected one of {', '.join(_LEVELS)}"
    if not settings.timeline:
        yield "timeline: expected a path, got an empty text"
    yield from _find_host_faults("control_hosts", settings.control_hosts)
    if isinstance(settings, EntrySettings):
        yield from _find_host_faults("entry_hosts", settings.entry_hosts)
        yield from _find_caller_faults(settings)
        return
    if not settings.data:
        yield "data: expected a folder, got an empty text"
    own = next((h for h in settings.control_hosts if h.host == settings.host), None)
    if own is None:
        yield f"control_hosts: {settings.host!r} itself is missing"
    elif own.address != str(settings.listen.address):
        yield f"control_hosts: {own.host!r} has not the address of listen"


def _find_caller_faults(settings: EntrySettings) -> Iterator[str]:
    if settings.callers is None:
        return
    yield from _find_ip_faults("callers.ip", settings.callers.ip)
    if settings.callers == settings.listen:
        yield "callers: the same address as listen; leave it out or choose another"


def _find_host_faults(path: str, hosts: Sequence[HostSettings]) -> Iterator[str]:
    names: set[str] = set()
    addresses: set[str] = set()
    for number, each in enumerate(hosts):
        where = f"{path}[{number}]"
        if each.host in names:
            yield f"{where}.host: {each.host!r} stands twice"
        if each.address in addresses:
            yield f"{where}.address: {each.address!r} stands twice"
        names.add(each.host)
        addresses.add(each.address)
        yield from _find_address_faults(f"{where}.address", each.address)


def _find_address_faults(path: str, text: str) -> Iterator[str]:
    try:
        address = Address.from_text(text)
    except ValueError as error:
        yield f"{path}: {error}"
        return
    if not 1 <= address.port <= 65_535:
        yield f"{path}: port {address.port} is not between 1 and 65535"
    yield from _find_ip_faults(path, address.ip)


def _find_ip_faults(path: str, text: str) -> Iterator[str]:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        yield f"{path}: expected an IP number, got {text!r}"
