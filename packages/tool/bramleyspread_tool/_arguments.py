"""The command line of ``bramleyspread``."""

from __future__ import annotations

import argparse
from pathlib import Path

from bramleyspread_tool._exit import EXIT_HELP

#: How long ``submit --wait`` waits unless told otherwise, in seconds.
WAIT_S = 10.0


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line.

    :returns: the parser; each command sets ``command``.
    """
    parser = argparse.ArgumentParser(
        prog="bramleyspread",
        description="Check and submit service documents, and see what the system does.",
        epilog=EXIT_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version="bramleyspread 0.1.0")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    check = _add(commands, "check", "find faults in documents; asks no host")
    check.add_argument("files", nargs="+", type=Path, metavar="FILE")
    _add_submit(commands)
    show = _add(commands, "show", "show the documents in force")
    show.add_argument("service", nargs="?", help="print this service's document whole")
    _add_hosts(show)
    status = _add(commands, "status", "show control hosts, leaders and entry hosts")
    _add_hosts(status)
    timeline = _add(commands, "timeline", "merge processes' time lines into one order")
    timeline.add_argument("files", nargs="+", type=Path, metavar="FILE")
    timeline.add_argument("--request", help="only events of this request")
    explain = _add(commands, "explain", "tell one request's story from logs")
    explain.add_argument("request", help="the caller's id of the request")
    explain.add_argument("files", nargs="+", type=Path, metavar="LOG")
    cost = _add(commands, "cost", "show cost by service, organisation, brand and stage")
    cost.add_argument(
        "--by",
        choices=("service", "organisation", "brand", "stage"),
        default="stage",
        help="sum up by this (default %(default)s)",
    )
    _add_hosts(cost)
    return parser


def _add_submit(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    submit = _add(commands, "submit", "put a document in force")
    submit.add_argument("file", type=Path, metavar="FILE")
    submit.add_argument(
        "--wait",
        action="store_true",
        help="wait until it is in force, and name each entry host",
    )
    submit.add_argument(
        "--wait-seconds",
        type=float,
        default=WAIT_S,
        metavar="S",
        help="longest wait (default %(default)s)",
    )
    _add_hosts(submit)


def _add(
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
        "--json", action="store_true", help="print JSON for programs to read"
    )
    return parser


def _add_hosts(parser: argparse.ArgumentParser) -> None:
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
        help="a control host; may be given again",
    )
    parser.add_argument(
        "--entry",
        action="append",
        default=[],
        metavar="IP:PORT",
        help="an entry host; may be given again",
    )
    parser.add_argument("--author", help="who submits (default: the login name)")
