"""Command line ``python -m bramleyspread_proof``, which runs scenarios.

The scenarios are read from files or generated at random.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from bramleyspread_core import InvalidFileError, ServiceDocument
from bramleyspread_proof._explore import Explorer, print_exploration
from bramleyspread_proof._scenario import read_scenario, run_scenario

#: Default folder of the service documents that scenarios run on.
DOCUMENTS = Path("examples/consorcio")


def main(argv: Sequence[str] | None = None) -> int:
    """Run scenario files, or generate and run random scenarios.

    :param argv: command-line arguments; ``sys.argv`` when None.
    :returns: 0 if all contracts and expectations held, 1 if not, 2 for invalid input.
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
    """Read all service documents in a folder.

    :param folder: a folder of YAML files.
    :returns: the documents, sorted by file name.
    :raises InvalidFileError: if the folder is empty or a file is invalid; one line per
        fault.
    """
    paths = sorted(folder.glob("*.yaml"))
    if not paths:
        raise InvalidFileError(str(folder), ("contains no documents",))
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
        epilog="exit codes: 0 all contracts held, 1 one was violated, 2 invalid input",
    )
    parser.add_argument("--documents", type=Path, default=DOCUMENTS, metavar="FOLDER")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    scenario = commands.add_parser("scenario", help="run scenario files")
    scenario.add_argument("files", nargs="+", type=Path, metavar="FILE")
    explore = commands.add_parser(
        "explore", help="generate random scenarios and run them"
    )
    explore.add_argument("--seed", type=int, default=1)
    explore.add_argument("--steps", type=int, default=200)
    return parser


if __name__ == "__main__":
    sys.exit(main())
