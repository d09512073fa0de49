"""Names and identifiers that all packages use."""

from __future__ import annotations

from typing import NewType

import msgspec

#: The name of an availability zone, such as ``san-isidro``.
ZoneName = NewType("ZoneName", str)
#: The name of an entry or control host, unique in a deployment.
HostName = NewType("HostName", str)
#: The name of a target, unique in a deployment.
TargetName = NewType("TargetName", str)
#: The name of a service, which one service document describes.
ServiceName = NewType("ServiceName", str)
#: The id that an entry host assigns to a request; never reused.
RequestId = NewType("RequestId", str)
#: The id of one attempt to run one stage of one request; never reused.
AttemptId = NewType("AttemptId", str)


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port at which a process listens.

    >>> str(Address("127.0.0.1", 7000))
    '127.0.0.1:7000'
    """

    #: IPv4 or IPv6 address; never a host name.
    ip: str
    #: TCP port.
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse ``ip:port``.

        :param text: for example ``127.0.0.1:7000``.
        :returns: the address.
        :raises ValueError: if the port is missing or is not a number.
        """
        ip, separator, port = text.rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError(f"expected ip:port, got {text!r}")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class Brand(msgspec.Struct, frozen=True, order=True):
    """A brand of an organisation, which owns requests and their results.

    >>> Brand("inkabooth", "inka-fast").key
    'inkabooth/inka-fast'
    """

    #: The organisation that the brand belongs to.
    organisation: str
    #: The brand's name, unique in its organisation.
    name: str

    @property
    def key(self) -> str:
        """Prefix of every cache key of this brand."""
        return f"{self.organisation}/{self.name}"


class PoolName(msgspec.Struct, frozen=True, order=True):
    """Full name of a pool, a group of interchangeable targets of one service.

    >>> str(PoolName(ServiceName("language-model"), "engines"))
    'language-model.engines'
    """

    #: The service whose document declares the pool.
    service: ServiceName
    #: The pool's name in that document.
    pool: str

    def __str__(self) -> str:
        return f"{self.service}.{self.pool}"
