"""The hosts and stand-in targets of a demo, with their addresses and settings."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from bramleyspread_core import (
    Address,
    Pool,
    PoolName,
    ServiceDocument,
    ServiceName,
    StageKind,
)

#: Ports to listen on, below the range that is used for outgoing connections.
PORT_RANGE = range(18_000, 32_000)
#: The only IP address that a demo uses.
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class DemoHost:
    """An entry or control host."""

    name: str
    #: Its availability zone.
    zone: str
    #: The address it listens on.
    address: Address


@dataclass(frozen=True, slots=True)
class DemoTarget:
    """A stand-in target."""

    name: str
    #: Its availability zone.
    zone: str
    #: The address it listens on.
    address: Address
    #: The pool that it serves.
    pool: PoolName
    #: The declaration of the pool in its document.
    pool_spec: Pool

    @property
    def is_engine(self) -> bool:
        """Whether the target is a model engine."""
        return self.pool_spec.kind is StageKind.GENERATION


@dataclass(frozen=True, slots=True)
class Topology:
    """All hosts and targets of a demo."""

    entry_hosts: tuple[DemoHost, ...]
    control_hosts: tuple[DemoHost, ...]
    targets: tuple[DemoTarget, ...]

    @classmethod
    def from_documents(
        cls,
        documents: Sequence[ServiceDocument],
        zones: Sequence[str],
        entry_per_zone: int,
        rng: random.Random,
    ) -> Topology:
        """Distribute the hosts and targets of a deployment over its zones.

        :param documents: the services; their pools say how many targets to run.
        :param zones: the availability zones; each gets one control host.
        :param entry_per_zone: entry hosts in each zone.
        :param rng: the source of randomness for the ports.
        :returns: the topology.
        """
        addresses = _pick_addresses(rng)
        entry_hosts = tuple(
            DemoHost(f"entry-{zone}-{number}", zone, next(addresses))
            for zone in zones
            for number in range(1, entry_per_zone + 1)
        )
        control_hosts = tuple(
            DemoHost(f"control-{zone}", zone, next(addresses)) for zone in zones
        )
        targets = []
        for document in documents:
            service = ServiceName(document.service)
            for pool in document.pools:
                for number in range(pool.expected):
                    name = f"{service}-{pool.name}-{number + 1}"
                    zone = zones[number % len(zones)]
                    pool_name = PoolName(service, pool.name)
                    target_address = next(addresses)
                    targets.append(
                        DemoTarget(name, zone, target_address, pool_name, pool)
                    )
        return cls(entry_hosts, control_hosts, tuple(targets))

    def write_settings(self, folder: Path) -> None:
        """Write a settings file for each host, and ``tool.yaml`` for the tool.

        :param folder: the folder to write to; each file is named after its host.
        """
        for host in self.entry_hosts:
            text = self._format_host_settings(host, folder)
            (folder / f"{host.name}.yaml").write_text(
                text + _format_hosts("entry_hosts", self.entry_hosts)
            )
        for host in self.control_hosts:
            text = self._format_host_settings(host, folder)
            data = f"data: {folder / (host.name + '-data')}\n"
            (folder / f"{host.name}.yaml").write_text(text + data)
        lines = ["author: demo"]
        for key, hosts in (
            ("control_hosts", self.control_hosts),
            ("entry_hosts", self.entry_hosts),
        ):
            lines += [f"{key}:", *(f'  - "{host.address}"' for host in hosts)]
        (folder / "tool.yaml").write_text("\n".join(lines) + "\n")

    def _format_host_settings(self, host: DemoHost, folder: Path) -> str:
        return (
            f"host: {host.name}\n"
            f"zone: {host.zone}\n"
            f"listen: {{ip: {host.address.ip}, port: {host.address.port}}}\n"
            f"timeline: {folder / (host.name + '.timeline')}\n"
            "log: {level: INFO}\n" + _format_hosts("control_hosts", self.control_hosts)
        )


def _format_hosts(key: str, hosts: Sequence[DemoHost]) -> str:
    lines = [
        f'  - {{host: {host.name}, zone: {host.zone}, address: "{host.address}"}}\n'
        for host in hosts
    ]
    return f"{key}:\n" + "".join(lines)


def _pick_addresses(rng: random.Random) -> Iterator[Address]:
    drawn = set()
    while True:
        port = rng.choice(PORT_RANGE)
        if port not in drawn and _is_free(port):
            drawn.add(port)
            yield Address(LOOPBACK, port)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
