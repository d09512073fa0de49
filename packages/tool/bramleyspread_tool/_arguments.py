"""Defines the command-line arguments of ``bramleyspread``."""

from __future__ import annotations

import argparse
from pathlib import Path

from bramleyspread_tool._exit import EXIT_HELP

#: Default time limit of ``submit --wait``, in seconds.
DEFAULT_WAIT_S = 10.0


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser.

    :returns: the parser; the name of the selected command is in ``command``.
    """
    parser = argparse.ArgumentParser(
        prog="bramleyspread",
        description="Check and submit service documents, and inspect the system.",
        epilog=EXIT_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version="bramleyspread 0.1.0")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    check = _add_command(
        commands, "check", "check documents without contacting any host"
    )
    check.add_argument("files", nargs="+", type=Path, metavar="FILE")
    _add_submit_command(commands)
    show = _add_command(commands, "show", "show the documents in force")
    show.add_argument(
        "service", nargs="?", help="print the full document of this service"
    )
    _add_host_options(show)
    status = _add_command(
        commands, "status", "show control hosts, leaders and entry hosts"
    )
    _add_host_options(status)
    timeline = _add_command(
        commands, "timeline", "merge the time lines of several processes"
    )
    timeline.add_argument("files", nargs="+", type=Path, metavar="FILE")
    timeline.add_argument("--request", help="only events of this request")
    explain = _add_command(commands, "explain", "explain one request from log files")
    explain.add_argument("request", help="the caller's id of the request")
    explain.add_argument("files", nargs="+", type=Path, metavar="LOG")
    causes = _add_command(
        commands, "causes", "count why requests were not served, from log files"
    )
    causes.add_argument("files", nargs="+", type=Path, metavar="LOG")
    versions = _add_command(
        commands, "versions", "show outcomes by targets' software version, from logs"
    )
    versions.add_argument("files", nargs="+", type=Path, metavar="LOG")
    cost = _add_command(
        commands, "cost", "show cost by service, organisation, brand and stage"
    )
    cost.add_argument(
        "--by",
        choices=("service", "organisation", "brand", "stage"),
        default="stage",
        help="grouping of the rows (default %(default)s)",
    )
    _add_host_options(cost)
    _add_zone_commands(commands)
    return parser


def _add_submit_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    submit = _add_command(commands, "submit", "put a document in force")
    submit.add_argument("file", type=Path, metavar="FILE")
    submit.add_argument(
        "--wait",
        action="store_true",
        help="wait until it is in force, and list the entry hosts",
    )
    submit.add_argument(
        "--wait-seconds",
        type=float,
        default=DEFAULT_WAIT_S,
        metavar="S",
        help="time limit of --wait (default %(default)s)",
    )
    _add_host_options(submit)


def _add_zone_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    zone = commands.add_parser(
        "zone",
        help="drain availability zones",
        epilog=EXIT_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = zone.add_subparsers(dest="action", required=True, metavar="ACTION")
    for name, text in (
        ("drain", "send nothing more to the targets of a zone"),
        ("undrain", "send to the targets of a zone again"),
    ):
        action = _add_command(actions, name, text)
        action.add_argument("name", help="name of the zone")
        _add_host_options(action)
    listed = _add_command(
        actions, "list", "show drained zones, and entry hosts that don't obey yet"
    )
    _add_host_options(listed)


def _add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
    text: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name,
        help=text,
        description=text[0].upper() + text[1:] + ".",
        epilog=EXIT_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--json", action="store_true", help="print machine-readable JSON"
    )
    return parser


def _add_host_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="YAML with control_hosts, entry_hosts and author",
    )
    parser.add_argument(
        "--control",
        action="append",
        default=[],
        metavar="IP:PORT",
        help="a control host; may be repeated",
    )
    parser.add_argument(
        "--entry",
        action="append",
        default=[],
        metavar="IP:PORT",
        help="an entry host; may be repeated",
    )
    parser.add_argument(
        "--author", help="author of submitted documents (default: the login name)"
    )
