"""The command line of ``bramleyspreadd``."""

from __future__ import annotations

import argparse
import gc
import resource
import sys
from collections.abc import Callable, Sequence
from importlib.metadata import version
from pathlib import Path

import curio
from loguru import logger

from bramleyspread_core import InvalidFileError
from bramleyspread_daemon._logs import set_up_logs
from bramleyspread_daemon._roles import ROLES, RoleSettings, Runnable

#: Stopped as planned.
EXIT_DONE = 0
#: Something failed at the start, or a planned stop cut something off.
EXIT_FAILED = 1
#: The command line or the settings are wrong.
EXIT_USAGE = 2

#: New containers after which the garbage collector looks for dead cycles.
COLLECT_EVERY = 20_000

_EPILOG = """\
exit codes:
  0  stopped as planned (SIGTERM or SIGINT), or --check found no fault
  1  could not start, or a planned stop cut something off
  2  the command line or the settings are wrong; one line a fault

example:
  bramleyspreadd entry --settings examples/settings/entry.yaml --check
"""


class _ShowVersion(argparse.Action):
    """Prints the version of the installed package, which a start doesn't look up."""

    def __call__(
        self,
        parser: argparse.ArgumentParser,
        namespace: argparse.Namespace,
        values: object,
        option_string: str | None = None,
    ) -> None:
        """Print it and exit."""
        print(f"{parser.prog} {version('bramleyspread-daemon')}")
        parser.exit()


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line.

    >>> make_parser().parse_args(["entry", "--settings", "a.yaml"]).role
    'entry'
    """
    parser = argparse.ArgumentParser(
        prog="bramleyspreadd",
        description="The daemon of bramleyspread: one process for each role.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action=_ShowVersion, nargs=0)
    roles = parser.add_subparsers(dest="role", required=True, metavar="ROLE")
    for name, role in ROLES.items():
        what = f"Role: {role.what}."
        each = roles.add_parser(name, help=role.what, description=what)
        each.add_argument(
            "--settings",
            type=Path,
            required=True,
            metavar="FILE",
            help="settings of this process, as YAML",
        )
        each.add_argument(
            "--check",
            action="store_true",
            help="only check the settings, then exit with 0 or 2",
        )
        if role.has_wire:
            each.add_argument(
                "--wire",
                required=True,
                metavar="MODULE",
                help="what speaks the platform's language, as an importable module",
            )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: the command line; None for the process's own.
    :returns: the exit code.
    """
    options = make_parser().parse_args(arguments)
    role = ROLES[options.role]
    try:
        settings = role.load(options.settings)
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if options.check:
        print(f"{options.settings}: no fault found")
        return EXIT_DONE
    set_up_logs(settings.log, settings.host)
    _check_files(settings)
    wire = getattr(options, "wire", "")
    return _run(lambda: role.build(settings, options.settings, wire), settings)


def _run(build: Callable[[], Runnable], settings: RoleSettings) -> int:
    try:
        process = build()
        _calm_collector()
        code: int = curio.run(process.run)
    except Exception as error:
        log = logger.bind(step="start", peer=str(settings.listen.address))
        log.opt(exception=sys.exc_info()).critical(f"ended by a fault: {error}")
        return EXIT_FAILED
    return code


def _check_files(settings: RoleSettings) -> None:
    """Warn when the operating system allows fewer open files than needed."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = 2 * settings.limits.connections
    if allowed < needed:
        logger.bind(step="start", peer="-").warning(
            f"{allowed} open files are allowed, {needed} may be needed; "
            "allow more, or lower limits.connections"
        )


def _calm_collector() -> None:
    """Keep the garbage collector from pausing the process too often.

    What was made at the start stays, and nearly all that is made later is
    freed by its last reference.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_EVERY, 20, 100)
