"""The benches: one JSON line a figure.

Every module ``_bench_NAME`` of this package has a function ``run`` that yields
figures. A bench that raises is reported and makes the exit code 1, as does a
figure whose bound does not hold.
"""

from __future__ import annotations

import argparse
import importlib
import pkgutil
import sys
import traceback
from collections.abc import Callable, Iterable, Sequence

from bramleyspread_core import encode_json
from bramleyspread_proof._figures import Figure

#: What the names of bench modules begin with.
PREFIX = "_bench_"
#: The package that holds them.
PACKAGE = "bramleyspread_proof"

#: Measures something.
Bench = Callable[[], Iterable[Figure]]


def find_benches() -> dict[str, str]:
    """Find the benches.

    :returns: full module name by bench name.
    """
    package = importlib.import_module(PACKAGE)
    names = sorted(each.name for each in pkgutil.iter_modules(package.__path__))
    return {
        name.removeprefix(PREFIX): f"{PACKAGE}.{name}"
        for name in names
        if name.startswith(PREFIX)
    }


def load_bench(module: str) -> Bench:
    """Load a bench's function.

    :param module: the module's full name.
    """
    bench: Bench = importlib.import_module(module).run
    return bench


def run_benches(benches: dict[str, Bench]) -> bool:
    """Run benches and print their figures.

    :param benches: benches by name.
    :returns: True when all ran and every bound held.
    """
    good = True
    for name, bench in benches.items():
        try:
            for figure in bench():
                print(encode_json(figure).decode(), flush=True)
                good = good and figure.holds is not False
        except Exception:
            print(f"bench {name} broke off:", file=sys.stderr)
            traceback.print_exc()
            good = False
    return good


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benches asked for.

    :param arguments: the command line; None for the process's own.
    :returns: the exit code: 1 when a bench broke off or a bound does not hold.
    """
    found = find_benches()
    parser = argparse.ArgumentParser(prog="scripts/bench", description=main.__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help=", ".join(found))
    names = parser.parse_args(arguments).names or list(found)
    unknown = sorted(set(names) - set(found))
    if unknown:
        parser.error(f"no bench {', '.join(unknown)}; there are {', '.join(found)}")
    return 0 if run_benches({name: load_bench(found[name]) for name in names}) else 1


if __name__ == "__main__":
    raise SystemExit(main())
