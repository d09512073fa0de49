"""Builds the entry and control processes from their settings."""

from __future__ import annotations

import os
from random import Random

from bramleyspread_control import (
    ControlConfig,
    ControlMember,
    RecoveringControlHost,
)
from bramleyspread_core import Address, HostName, ZoneName
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._control import ControlProcess
from bramleyspread_daemon._control_folder import ControlFolder
from bramleyspread_daemon._entry import EntryProcess
from bramleyspread_daemon._process import Process
from bramleyspread_daemon._settings import ControlSettings, EntrySettings
from bramleyspread_entry import EntryConfig, EntryDecisions, IdSource
from bramleyspread_membership import DirectoryConfig, EntryDirectory, SeedHost
from bramleyspread_orders import Reconciler, ReconcilerConfig


def build_entry(settings: EntrySettings) -> EntryProcess:
    """Build an entry process.

    :param settings: the settings of the process.
    :returns: the process, not yet listening.
    :raises OSError: when the timeline file cannot be opened.
    """
    process = Process(settings)
    rng = _make_rng()
    directory = EntryDirectory.from_config(
        _make_directory_config(settings, process.incarnation),
        rng,
        read_monotonic(),
        process.contract_watch,
    )
    config = EntryConfig(
        host=settings.host,
        zone=settings.zone,
        incarnation=process.incarnation,
        drain_grace_s=settings.limits.grace_s,
    )
    decisions = EntryDecisions.from_config(
        config, directory, process.contract_watch, rng
    )
    ids = IdSource(settings.host, process.incarnation)
    return EntryProcess(process, settings, directory, decisions, ids, rng)


def _make_directory_config(
    settings: EntrySettings, incarnation: int
) -> DirectoryConfig:
    seed_hosts = tuple(
        SeedHost(
            HostName(each.host), ZoneName(each.zone), Address.from_text(each.address)
        )
        for each in settings.entry_hosts
        if each.host != settings.host
    )
    return DirectoryConfig(
        HostName(settings.host),
        ZoneName(settings.zone),
        settings.listen.address,
        incarnation,
        seed_hosts,
    )


def build_control(settings: ControlSettings) -> ControlProcess:
    """Build a control process.

    :param settings: the settings of the process.
    :returns: the process, not yet listening.
    :raises OSError: when the timeline file cannot be opened.
    """
    process = Process(settings)
    members = tuple(
        ControlMember(
            HostName(each.host), ZoneName(each.zone), Address.from_text(each.address)
        )
        for each in settings.control_hosts
    )
    config = ControlConfig(
        HostName(settings.host),
        ZoneName(settings.zone),
        settings.listen.address,
        members,
    )
    rng = _make_rng()
    folder = ControlFolder(config, settings.data, rng)
    folder.wait_until_free()
    node = RecoveringControlHost.from_config(config, folder.open, read_monotonic())
    reconciler = Reconciler.from_config(ReconcilerConfig(), rng)
    return ControlProcess(process, settings, node, reconciler)


def _make_rng() -> Random:
    """Create a random generator with a seed of its own for this process."""
    return Random(int.from_bytes(os.urandom(16)))
