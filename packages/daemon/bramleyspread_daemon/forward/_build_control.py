"""Builds a control process for request forwarding from its settings."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random

from bramleyspread_control import (
    ControlConfig,
    ControlMember,
    ControlTimings,
    RecoveringControlHost,
)
from bramleyspread_core import Address, HostName, ZoneName
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control import ControlProcess
from bramleyspread_daemon._control_folder import ControlFolder
from bramleyspread_daemon._process import Process
from bramleyspread_daemon.forward._control import ForwardControl
from bramleyspread_daemon.forward._settings import ForwardControlSettings
from bramleyspread_daemon.forward._wire import ControlWire
from bramleyspread_orders import Reconciler, ReconcilerConfig

#: Heartbeat interval, as a share of the shortest election timeout.
HEARTBEAT_SHARE = 0.2
#: Time without messages from a control host after which it loses its vote if a
#: replacement has joined, in seconds. A replacement must be able to take over within
#: 4 s of its start.
REPLACED_AFTER_S = 2.5
#: Time after which a message is sent again, as a share of the shortest election
#: timeout.
RESEND_SHARE = 0.3


def build_forward_control(
    settings: ForwardControlSettings, wire: ControlWire
) -> ControlProcess:
    """Build a control process for request forwarding.

    A control host is named by its address, because seeds are given as addresses.

    :param settings: its settings.
    :param wire: the wire format for operators and targets.
    :returns: the process, not yet listening.
    :raises OSError: if its files can't be opened.
    """
    process = Process(settings)
    rng = Random(int.from_bytes(os.urandom(16)))
    config = _build_config(settings)
    is_first_start = settings.bootstrap and not _has_files(Path(settings.data))
    folder = ControlFolder(config, settings.data, rng)
    folder.wait_until_free()
    node = RecoveringControlHost.from_config(config, folder.open, read_monotonic())
    forward = ForwardControl(
        node,
        wire,
        process.pool,
        settings.listen.address,
        settings.heartbeat_ms / 1000,
        f"{settings.listen.address}/{process.incarnation}",
        is_first_start=is_first_start,
        zones=settings.zones,
    )
    reconciler = Reconciler.from_config(ReconcilerConfig(), rng)
    control = ControlProcess(process, settings, node, reconciler, forward)
    forward.attach(control.propose)
    return control


def _has_files(folder: Path) -> bool:
    return folder.is_dir() and any(folder.iterdir())


def _build_config(settings: ForwardControlSettings) -> ControlConfig:
    own = settings.listen.address
    addresses = dict.fromkeys((*settings.seed_addresses, own))
    zone = ZoneName(settings.zone)
    return ControlConfig(
        HostName(str(own)),
        zone,
        own,
        tuple(
            _build_member(each, zone if each == own else ZoneName(""))
            for each in addresses
        ),
        may_found_deployment=settings.bootstrap and own in settings.seed_addresses,
        timings=ControlTimings(
            election_timeout_min_s=settings.election_s[0],
            election_timeout_max_s=settings.election_s[1],
            heartbeat_interval_s=settings.election_s[0] * HEARTBEAT_SHARE,
            retransmit_timeout_s=settings.election_s[0] * RESEND_SHARE,
            voter_replacement_timeout_s=REPLACED_AFTER_S,
        ),
        admits_unlisted_hosts=True,
        trust_folder=settings.trust_folder,
    )


def _build_member(address: Address, zone: ZoneName) -> ControlMember:
    return ControlMember(HostName(str(address)), zone, address)
