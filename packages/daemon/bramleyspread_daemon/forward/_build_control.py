"""Puts a control process that serves forwarding together from its settings."""

from __future__ import annotations

import os
from random import Random

from bramleyspread_control import ControlConfig, ControlHost, ControlMember, FileDisk
from bramleyspread_core import Address, HostName, ZoneName
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control import ControlProcess
from bramleyspread_daemon._process import Process
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._settings import ForwardControlSettings
from bramleyspread_daemon.forward._wire import ControlWire
from bramleyspread_orders import Reconciler, ReconcilerConfig


def build_forward_control(
    settings: ForwardControlSettings, wire: ControlWire
) -> ControlProcess:
    """Build a control process that serves forwarding.

    A control host is known by its address, since seeds are addresses.

    :param settings: its settings.
    :param wire: the conversation with operators and targets.
    :returns: the process, not yet listening.
    :raises OSError: when its files can't be had.
    """
    process = Process(settings)
    rng = Random(int.from_bytes(os.urandom(16)))
    disk = FileDisk.from_folder(settings.data)
    node = ControlHost.from_config(_describe(settings), disk, rng, read_monotonic())
    forward = ForwardControl(
        node,
        wire,
        process.pool,
        settings.listen.address,
        settings.heartbeat_ms / 1000,
        f"{settings.listen.address}/{process.incarnation}",
    )
    reconciler = Reconciler.from_config(ReconcilerConfig(), rng)
    control = ControlProcess(process, settings, node, reconciler, forward)
    forward.attach(control.propose)
    return control


def _describe(settings: ForwardControlSettings) -> ControlConfig:
    own = settings.listen.address
    addresses = dict.fromkeys((*settings.seed_addresses, own))
    zone = ZoneName(settings.zone)
    return ControlConfig(
        HostName(str(own)),
        zone,
        own,
        tuple(_name(each, zone if each == own else ZoneName("")) for each in addresses),
        founds=settings.bootstrap and own in settings.seed_addresses,
        admits=True,
        trust_folder=settings.trust_folder,
    )


def _name(address: Address, zone: ZoneName) -> ControlMember:
    return ControlMember(HostName(str(address)), zone, address)
