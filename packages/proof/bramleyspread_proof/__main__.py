"""``python -m bramleyspread_proof``: scenarios and randomised runs."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from bramleyspread_core import InvalidFileError, ServiceDocument
from bramleyspread_proof._explore import Explorer, print_exploration
from bramleyspread_proof._scenario import read_scenario, run_scenario

#: The documents that scenarios run on, unless told otherwise.
DOCUMENTS = Path("examples/consorcio")


def main(argv: Sequence[str] | None = None) -> int:
    """Run scenarios, or explore.

    :param argv: the arguments; None for the process's own.
    :returns: 0 when every promise held, 1 when one broke, 2 for wrong input.
    """
    arguments = _build_parser().parse_args(argv)
    try:
        documents = read_documents(arguments.documents)
        if arguments.command == "scenario":
            return _run_scenarios(arguments.files, documents)
        return _explore(arguments.seed, arguments.steps, documents)
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        return 2


def read_documents(folder: Path) -> list[ServiceDocument]:
    """Read every document of a folder.

    :param folder: holds YAML files.
    :returns: the documents, by file name.
    :raises InvalidFileError: one line a fault.
    """
    paths = sorted(folder.glob("*.yaml"))
    if not paths:
        raise InvalidFileError(str(folder), ("holds no documents",))
    return [ServiceDocument.from_yaml(path.read_bytes(), str(path)) for path in paths]


def _run_scenarios(files: Sequence[Path], documents: list[ServiceDocument]) -> int:
    broken = 0
    for path in files:
        verdict = run_scenario(read_scenario(path), documents)
        endings = ", ".join(f"{n} {name}" for name, n in verdict.endings.items())
        print(f"{path}: {'holds' if verdict.holds else 'BROKEN'} ({endings})")
        for fault in verdict.faults:
            print(f"  {fault}")
        broken += not verdict.holds
    return 1 if broken else 0


def _explore(seed: int, steps: int, documents: list[ServiceDocument]) -> int:
    exploration = Explorer(documents, seed).explore(steps)
    print_exploration(seed, exploration)
    return 1 if exploration.broken is not None else 0


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m bramleyspread_proof",
        description="Scenarios and randomised runs over the real decisions.",
        epilog="exit codes: 0 every promise held, 1 one broke, 2 wrong input",
    )
    parser.add_argument("--documents", type=Path, default=DOCUMENTS, metavar="FOLDER")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    scenario = commands.add_parser("scenario", help="run scenario files")
    scenario.add_argument("files", nargs="+", type=Path, metavar="FILE")
    explore = commands.add_parser("explore", help="draw scenarios and run them")
    explore.add_argument("--seed", type=int, default=1)
    explore.add_argument("--steps", type=int, default=200)
    return parser


if __name__ == "__main__":
    sys.exit(main())
