"""The benchmark runner, which prints one JSON line per figure.

Each module ``_bench_NAME`` of this package has a function ``run`` that yields
figures. The exit code is 1 if a benchmark raises an exception or a bound does not
hold.
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

#: Prefix of the names of benchmark modules.
MODULE_PREFIX = "_bench_"
#: Package that contains the benchmark modules.
PACKAGE = "bramleyspread_proof"

#: A benchmark function, which yields the figures that it measured.
Bench = Callable[[], Iterable[Figure]]


def find_benches() -> dict[str, str]:
    """Find all benchmarks.

    :returns: full module names by benchmark name.
    """
    package = importlib.import_module(PACKAGE)
    names = sorted(each.name for each in pkgutil.iter_modules(package.__path__))
    return {
        name.removeprefix(MODULE_PREFIX): f"{PACKAGE}.{name}"
        for name in names
        if name.startswith(MODULE_PREFIX)
    }


def load_bench(module: str) -> Bench:
    """Import a benchmark.

    :param module: full name of its module.
    :returns: its function ``run``.
    """
    bench: Bench = importlib.import_module(module).run
    return bench


def run_benches(benches: dict[str, Bench]) -> bool:
    """Run benchmarks and print their figures.

    :param benches: benchmarks by name.
    :returns: True if all of them completed and all bounds held.
    """
    all_hold = True
    for name, bench in benches.items():
        try:
            for figure in bench():
                print(encode_json(figure).decode(), flush=True)
                all_hold = all_hold and figure.holds is not False
        except Exception:
            print(f"benchmark {name} failed:", file=sys.stderr)
            traceback.print_exc()
            all_hold = False
    return all_hold


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the named benchmarks, or all of them.

    :param arguments: command-line arguments; ``sys.argv`` when None.
    :returns: the exit code: 1 if a benchmark failed or a bound does not hold.
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
