"""Settings of the tool: host addresses and the author of submissions."""

from __future__ import annotations

import getpass
from argparse import Namespace
from pathlib import Path

import msgspec

from bramleyspread_core import Address, InvalidFileError, load_yaml


class ToolSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``bramleyspread``, read from the file given with ``--settings``.

    Most commands only need ``control_hosts: ["127.0.0.1:7101"]``.
    """

    #: Control hosts, each as ``ip:port``.
    control_hosts: tuple[str, ...] = ()
    #: Entry hosts, each as ``ip:port``; only used by ``cost``.
    entry_hosts: tuple[str, ...] = ()
    #: Author of submitted documents; the login name if None.
    author: str | None = None

    @classmethod
    def from_arguments(cls, arguments: Namespace) -> ToolSettings:
        """Read the settings file, if one is given, and apply the arguments over it.

        :param arguments: with ``settings``, ``control``, ``entry`` and ``author``.
        :returns: the effective settings.
        :raises InvalidFileError: if the file is invalid, with one line per fault.
        """
        base = cls()
        if arguments.settings is not None:
            base = cls.from_file(arguments.settings)
        return cls(
            control_hosts=tuple(arguments.control) or base.control_hosts,
            entry_hosts=tuple(arguments.entry) or base.entry_hosts,
            author=arguments.author or base.author,
        )

    @classmethod
    def from_file(cls, path: Path) -> ToolSettings:
        """Read a settings file.

        :param path: the file.
        :returns: the settings in it.
        :raises InvalidFileError: if the file is invalid, with one line per fault.
        """
        return load_yaml(read_file(path), cls, str(path))

    def parse_control_hosts(self) -> tuple[Address, ...]:
        """Parse the addresses of the control hosts.

        :returns: at least one address.
        :raises InvalidFileError: if there is none or one is malformed.
        """
        return _parse_addresses(self.control_hosts, "control_hosts", "--control")

    def parse_entry_hosts(self) -> tuple[Address, ...]:
        """Parse the addresses of the entry hosts.

        :returns: at least one address.
        :raises InvalidFileError: if there is none or one is malformed.
        """
        return _parse_addresses(self.entry_hosts, "entry_hosts", "--entry")

    @property
    def submitter(self) -> str:
        """The author of submitted documents."""
        return self.author or getpass.getuser()


def read_file(path: Path) -> bytes:
    """Read a file given by the operator.

    :param path: the file.
    :returns: its content.
    :raises InvalidFileError: if it can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidFileError(str(path), (f"{error.strerror}",)) from None


def _parse_addresses(
    texts: tuple[str, ...],
    key: str,
    flag: str,
) -> tuple[Address, ...]:
    if not texts:
        fault = f"{key}: list at least one host, or pass {flag} ip:port"
        raise InvalidFileError("settings", (fault,))
    addresses: list[Address] = []
    for number, text in enumerate(texts):
        try:
            addresses.append(Address.from_text(text))
        except ValueError as error:
            raise InvalidFileError("settings", (f"{key}[{number}]: {error}",)) from None
    return tuple(addresses)
