"""The command-line interface of ``bramleyspreadd``."""

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
from bramleyspread_daemon._logs import configure_logging
from bramleyspread_daemon._reload_signal import record_reload_signals
from bramleyspread_daemon._roles import ROLES, RoleSettings, Runnable
from bramleyspread_daemon._stop_signal import StoppedBeforeServingError

#: The daemon shut down gracefully.
EXIT_OK = 0
#: The start failed, or a graceful shutdown did not finish everything in flight.
EXIT_FAILED = 1
#: The command line or the settings are invalid.
EXIT_USAGE = 2

#: Maximum number of times that the tasks which are left at the end are cancelled.
MAX_SHUTDOWN_ROUNDS = 10

#: Number of new container objects that triggers a garbage collection.
GC_THRESHOLD = 20_000

_EPILOG = """\
exit codes:
  0  stopped as planned (SIGTERM or SIGINT), or --check found no fault
  1  could not start, or a planned stop cut something off
  2  the command line or the settings are wrong; one line a fault

example:
  bramleyspreadd entry --settings examples/settings/entry.yaml --check
"""


class _ShowVersion(argparse.Action):
    """Prints the package version, which is looked up only for this option."""

    def __call__(
        self,
        parser: argparse.ArgumentParser,
        namespace: argparse.Namespace,
        values: object,
        option_string: str | None = None,
    ) -> None:
        """Print the version and exit."""
        print(f"{parser.prog} {version('bramleyspread-daemon')}")
        parser.exit()


def make_parser() -> argparse.ArgumentParser:
    """Create the command-line parser.

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
        what = f"Role: {role.help_text}."
        subparser = roles.add_parser(name, help=role.help_text, description=what)
        subparser.add_argument(
            "--settings",
            type=Path,
            required=True,
            metavar="FILE",
            help="settings of this process, as YAML",
        )
        subparser.add_argument(
            "--check",
            action="store_true",
            help="only check the settings, then exit with 0 or 2",
        )
        if role.has_wire:
            subparser.add_argument(
                "--wire",
                required=True,
                metavar="MODULE",
                help="importable module that implements the platform's protocols",
            )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: the command-line arguments; None for those of the process.
    :returns: the exit code.
    """
    record_reload_signals()
    options = make_parser().parse_args(arguments)
    role = ROLES[options.role]
    try:
        settings = role.load(options.settings)
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if options.check:
        print(f"{options.settings}: no fault found")
        return EXIT_OK
    configure_logging(settings.log, settings.host)
    _check_open_file_limit(settings)
    wire = getattr(options, "wire", "")
    return _run(lambda: role.build(settings, options.settings, wire), settings)


def _run(build: Callable[[], Runnable], settings: RoleSettings) -> int:
    try:
        process = build()
        _tune_garbage_collector()
        code = _run_until_stop(process)
    except StoppedBeforeServingError as stopped:
        logger.bind(step="stop", peer="-").info(f"stopped before it served: {stopped}")
        return EXIT_OK
    except Exception as error:
        log = logger.bind(step="start", peer=str(settings.listen.address))
        log.opt(exception=sys.exc_info()).critical(f"process failed: {error}")
        return EXIT_FAILED
    return code


def _run_until_stop(process: Runnable) -> int:
    """Run a process, and end the tasks that it leaves behind.

    While tasks are cancelled, those that are still to be cancelled go on and may begin
    new ones, which the kernel takes for an error of the process.
    """
    kernel = curio.Kernel()
    try:
        code: int = kernel.run(process.run)
    finally:
        for _ in range(MAX_SHUTDOWN_ROUNDS):
            try:
                kernel.run(shutdown=True)
                break
            except AssertionError:
                continue
    return code


def _check_open_file_limit(settings: RoleSettings) -> None:
    """Log a warning when the limit on open files is lower than the need."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = 2 * settings.limits.connections
    if allowed < needed:
        logger.bind(step="start", peer="-").warning(
            f"limit on open files is {allowed} but up to {needed} may be needed; "
            "raise it or lower limits.connections"
        )


def _tune_garbage_collector() -> None:
    """Reduce the frequency of garbage collections and their pauses.

    Objects created during startup live as long as the process, and nearly all later
    objects are freed by reference counting.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 100)
