"""The roles of the daemon, with the settings and the process of each.

The modules of a role are imported only when the role runs.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING, Protocol, cast

import msgspec

from bramleyspread_core import InvalidFileError
from bramleyspread_daemon._settings import (
    ControlSettings,
    EntrySettings,
    Limits,
    Listen,
    LogSettings,
    load_settings,
)

if TYPE_CHECKING:
    from bramleyspread_daemon.forward import Wires


class RoleSettings(Protocol):
    """The settings that every role has."""

    @property
    def host(self) -> str:
        """The name of the host."""

    @property
    def log(self) -> LogSettings:
        """The log settings."""

    @property
    def limits(self) -> Limits:
        """The limits on connections and requests."""

    @property
    def listen(self) -> Listen:
        """The address to listen on."""


class Runnable(Protocol):
    """A process that has been built and can be run."""

    async def run(self) -> int:
        """Run until a stop signal arrives, and return the exit code."""


class Role(msgspec.Struct, frozen=True):
    """A role in which the daemon can run."""

    #: What a process of the role does; shown in the command line's help.
    help_text: str
    #: Loads the settings.
    load: Callable[[Path], RoleSettings]
    #: Builds the process from the settings, their file and the name of a wire module.
    build: Callable[[RoleSettings, Path, str], Runnable]
    #: Whether its protocols are implemented by a wire module.
    has_wire: bool = False


def load_wires(module: str) -> Wires:
    """Import the protocol implementations of a platform.

    :param module: the wire module, whose ``WIRES`` holds them.
    :returns: the protocol implementations.
    :raises InvalidFileError: when the module does not exist or has no ``WIRES``.
    """
    try:
        return cast("Wires", import_module(module).WIRES)
    except (ImportError, AttributeError) as error:
        raise InvalidFileError(
            module, (f"cannot load WIRES from this module: {error}",)
        ) from None


def _load_entry(path: Path) -> RoleSettings:
    return load_settings(path, EntrySettings)


def _load_control(path: Path) -> RoleSettings:
    return load_settings(path, ControlSettings)


def _load_forward_entry(path: Path) -> RoleSettings:
    from bramleyspread_daemon.forward._settings import (
        ForwardEntrySettings,
        load_forward_settings,
    )

    return load_forward_settings(path, ForwardEntrySettings)


def _load_forward_control(path: Path) -> RoleSettings:
    from bramleyspread_daemon.forward._settings import (
        ForwardControlSettings,
        load_forward_settings,
    )

    return load_forward_settings(path, ForwardControlSettings)


def _build_entry(settings: RoleSettings, _: Path, __: str) -> Runnable:
    from bramleyspread_daemon._build import build_entry

    return build_entry(cast("EntrySettings", settings))


def _build_control(settings: RoleSettings, _: Path, __: str) -> Runnable:
    from bramleyspread_daemon._build import build_control

    return build_control(cast("ControlSettings", settings))


def _build_forward_entry(settings: RoleSettings, path: Path, wire: str) -> Runnable:
    from bramleyspread_daemon.forward._build_entry import build_forward_entry
    from bramleyspread_daemon.forward._settings import ForwardEntrySettings

    entry = cast(ForwardEntrySettings, settings)
    return build_forward_entry(entry, load_wires(wire), path)


def _build_forward_control(settings: RoleSettings, _: Path, wire: str) -> Runnable:
    from bramleyspread_daemon.forward._build_control import build_forward_control
    from bramleyspread_daemon.forward._settings import ForwardControlSettings

    return build_forward_control(
        cast(ForwardControlSettings, settings), load_wires(wire).control
    )


#: The roles by their command-line names.
ROLES = {
    "entry": Role(
        "take callers' requests and call targets; on every entry host",
        _load_entry,
        _build_entry,
    ),
    "control": Role(
        "keep documents and claims durable; on the few hosts with a disk",
        _load_control,
        _build_control,
    ),
    "forward-entry": Role(
        "pass callers' requests on as they came; on every entry host",
        _load_forward_entry,
        _build_forward_entry,
        has_wire=True,
    ),
    "forward-control": Role(
        "keep the deployment document and hear targets; on hosts with a disk",
        _load_forward_control,
        _build_forward_control,
        has_wire=True,
    ),
}
