"""The tool's settings: where the hosts are, and who is asking."""

from __future__ import annotations

import getpass
from argparse import Namespace
from pathlib import Path

import msgspec

from bramleyspread_core import Address, InvalidFileError, load_yaml


class ToolSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of ``bramleyspread``, read from the file given by ``--settings``.

    ``control_hosts: ["127.0.0.1:7101"]`` is all that most commands need.
    """

    #: Control hosts, each as ``ip:port``.
    control_hosts: tuple[str, ...] = ()
    #: Entry hosts, each as ``ip:port``; only ``cost`` asks them.
    entry_hosts: tuple[str, ...] = ()
    #: Who submits documents; the login name when left out.
    author: str | None = None

    @classmethod
    def from_arguments(cls, arguments: Namespace) -> ToolSettings:
        """Read the file that the arguments name and lay the arguments over it.

        :param arguments: with ``settings``, ``control``, ``entry`` and ``author``.
        :returns: the settings in force.
        :raises InvalidFileError: one line a fault.
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
        :raises InvalidFileError: one line a fault.
        """
        return load_yaml(read_file(path), cls, str(path))

    def list_control(self) -> tuple[Address, ...]:
        """List the control hosts' addresses.

        :returns: at least one address.
        :raises InvalidFileError: when there is none or one is malformed.
        """
        return _read_addresses(self.control_hosts, "control_hosts", "--control")

    def list_entry(self) -> tuple[Address, ...]:
        """List the entry hosts' addresses.

        :returns: at least one address.
        :raises InvalidFileError: when there is none or one is malformed.
        """
        return _read_addresses(self.entry_hosts, "entry_hosts", "--entry")

    @property
    def submitter(self) -> str:
        """Who submits documents."""
        return self.author or getpass.getuser()


def read_file(path: Path) -> bytes:
    """Read a file that a person named.

    :param path: the file.
    :returns: its bytes.
    :raises InvalidFileError: when it can't be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidFileError(str(path), (f"{error.strerror}",)) from None


def _read_addresses(
    texts: tuple[str, ...],
    key: str,
    flag: str,
) -> tuple[Address, ...]:
    if not texts:
        fault = f"{key}: name at least one host here or with {flag} ip:port"
        raise InvalidFileError("settings", (fault,))
    addresses: list[Address] = []
    for number, text in enumerate(texts):
        try:
            addresses.append(Address.from_text(text))
        except ValueError as error:
            raise InvalidFileError("settings", (f"{key}[{number}]: {error}",)) from None
    return tuple(addresses)
