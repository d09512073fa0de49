"""The entry point of ``bramleyspread``, with one function for each command."""

from __future__ import annotations

import sys
from argparse import Namespace
from collections.abc import Iterable, Sequence

from bramleyspread_core import (
    Fault,
    InvalidFileError,
    ServiceDocument,
    ZoneOrder,
    encode_json,
    find_zone_fault,
)
from bramleyspread_tool._arguments import build_parser
from bramleyspread_tool._causes import count_causes, format_causes
from bramleyspread_tool._check import check_files
from bramleyspread_tool._control import ControlClient
from bramleyspread_tool._cost import fetch_costs, format_cost_table, merge_reports
from bramleyspread_tool._exit import ExitCode
from bramleyspread_tool._explain import UnknownRequest, explain, format_explanation
from bramleyspread_tool._log_files import iterate_lines, read_logs
from bramleyspread_tool._report import format_documents, format_statuses
from bramleyspread_tool._settings import ToolSettings, read_file
from bramleyspread_tool._submit import submit_document, wait_in_force
from bramleyspread_tool._timeline import format_event, merge_events, read_events
from bramleyspread_tool._versions import count_versions, format_versions
from bramleyspread_tool._zones import (
    format_drains,
    make_zone_report,
    merge_drain_reports,
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the tool.

    :param argv: the arguments; ``sys.argv`` if None.
    :returns: the exit code.
    """
    arguments = build_parser().parse_args(argv)
    try:
        return _COMMANDS[arguments.command](arguments)
    except InvalidFileError as error:
        _print_errors(f"{error.name}: {fault}" for fault in error.faults)
        return ExitCode.INVALID
    except BrokenPipeError:
        sys.stderr.close()
        return ExitCode.DONE


def _run_check(arguments: Namespace) -> int:
    faults = check_files(arguments.files)
    if arguments.json:
        _print_json({"faults": faults})
    else:
        _print_errors(faults)
        if not faults:
            print(f"{len(arguments.files)} file(s) without faults")
    return ExitCode.INVALID if faults else ExitCode.DONE


def _run_submit(arguments: Namespace) -> int:
    settings = ToolSettings.from_arguments(arguments)
    text = read_file(arguments.file)
    ServiceDocument.from_yaml(text, str(arguments.file))
    client = ControlClient(settings.parse_control_hosts())
    report = submit_document(client, settings.submitter, text)
    if arguments.wait and report.revision:
        report = wait_in_force(client, report, arguments.wait_seconds)
    if arguments.json:
        _print_json(report)
    elif report.revision:
        print("\n".join(report.lines))
    else:
        _print_errors(report.lines)
    return report.code


def _run_show(arguments: Namespace) -> int:
    settings = ToolSettings.from_arguments(arguments)
    documents = ControlClient(settings.parse_control_hosts()).list_documents()
    if isinstance(documents, Fault):
        _print_errors([str(documents)])
        return ExitCode.UNREACHABLE
    if arguments.service is not None:
        documents = tuple(d for d in documents if d.service == arguments.service)
        if not documents:
            _print_errors([f"no service {arguments.service!r} in force"])
            return ExitCode.INVALID
    if arguments.json:
        _print_json(documents)
    elif arguments.service is not None:
        print(documents[0].text, end="")
    else:
        _print_lines(format_documents(documents))
    return ExitCode.DONE


def _run_status(arguments: Namespace) -> int:
    settings = ToolSettings.from_arguments(arguments)
    statuses = ControlClient(settings.parse_control_hosts()).list_statuses()
    if arguments.json:
        _print_json(statuses)
    else:
        _print_lines(format_statuses(statuses))
    answered = any(not isinstance(status, Fault) for status in statuses)
    return ExitCode.DONE if answered else ExitCode.UNREACHABLE


def _run_timeline(arguments: Namespace) -> int:
    for event in merge_events([read_events(path) for path in arguments.files]):
        if arguments.request and event.request != arguments.request:
            continue
        if arguments.json:
            _print_json(event)
        else:
            print(format_event(event))
    return ExitCode.DONE


def _run_explain(arguments: Namespace) -> int:
    explanation = explain(arguments.request, read_logs(arguments.files))
    if isinstance(explanation, UnknownRequest):
        _print_errors([f"no line tells of request {explanation.request!r}"])
        return ExitCode.INVALID
    if arguments.json:
        _print_json(explanation)
    else:
        _print_lines(format_explanation(explanation))
    return ExitCode.DONE


def _run_causes(arguments: Namespace) -> int:
    report = count_causes(iterate_lines(arguments.files))
    if arguments.json:
        _print_json(report)
    else:
        _print_lines(format_causes(report))
    return ExitCode.DONE


def _run_versions(arguments: Namespace) -> int:
    rows = count_versions(iterate_lines(arguments.files))
    if arguments.json:
        _print_json(rows)
    else:
        _print_lines(format_versions(rows))
    return ExitCode.DONE


def _run_cost(arguments: Namespace) -> int:
    settings = ToolSettings.from_arguments(arguments)
    reports, faults = fetch_costs(settings.parse_entry_hosts())
    _print_errors(f"not counted: {fault}" for fault in faults)
    if not reports:
        return ExitCode.UNREACHABLE
    report = merge_reports(reports)
    if arguments.json:
        _print_json(report)
    else:
        _print_lines(format_cost_table(report, arguments.by))
    return ExitCode.DONE


def _run_zone(arguments: Namespace) -> int:
    if arguments.action == "list":
        return _list_zone_drains(arguments)
    order = ZoneOrder(arguments.name, arguments.action == "drain")
    if fault := find_zone_fault(order.zone):
        raise InvalidFileError("arguments", (fault,))
    settings = ToolSettings.from_arguments(arguments)
    client = ControlClient(settings.parse_control_hosts())
    report = make_zone_report(order, client.order_zone(order))
    if arguments.json:
        _print_json(report)
    elif report.code is ExitCode.DONE:
        _print_lines(report.lines)
    else:
        _print_errors(report.lines)
    return report.code


def _list_zone_drains(arguments: Namespace) -> int:
    settings = ToolSettings.from_arguments(arguments)
    answers = ControlClient(settings.parse_control_hosts()).list_drain_reports()
    reports = [each for each in answers if not isinstance(each, Fault)]
    if not reports:
        _print_errors(f"not listed: {each}" for each in answers)
        return ExitCode.UNREACHABLE
    report = merge_drain_reports(reports)
    if arguments.json:
        _print_json(report)
    else:
        _print_lines(format_drains(report))
    return ExitCode.DONE


def _print_errors(lines: Iterable[str]) -> None:
    for line in lines:
        print(line, file=sys.stderr)


def _print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        print(line)


def _print_json(value: object) -> None:
    print(encode_json(value).decode())


_COMMANDS = {
    "check": _run_check,
    "submit": _run_submit,
    "show": _run_show,
    "status": _run_status,
    "timeline": _run_timeline,
    "explain": _run_explain,
    "causes": _run_causes,
    "versions": _run_versions,
    "cost": _run_cost,
    "zone": _run_zone,
}
