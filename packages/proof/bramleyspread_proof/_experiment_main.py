"""Command line of ``scripts/experiment``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bramleyspread_core import decode_json, encode_json
from bramleyspread_proof._experiment import Experiment, RunConfig
from bramleyspread_proof._experiment_faults import FAULTS, RunTimes
from bramleyspread_proof._experiment_plot import draw_plot
from bramleyspread_proof._experiment_policies import POLICIES
from bramleyspread_proof._experiment_report import (
    Group,
    check_goals,
    format_table,
    group_results,
)
from bramleyspread_proof._experiment_results import Result
from bramleyspread_proof._sizes import SIZES, Size

#: Number of runs of a present-day deployment, with consecutive seeds.
TODAY_RUNS = 3
#: Phases of a run, for present-day and for scaled deployments.
TODAY_TIMES = RunTimes(
    measured_from=5.0, fault_start=15.0, fault_end=30.0, arrivals_end=42.0
)
SCALED_TIMES = RunTimes(
    measured_from=4.0, fault_start=8.0, fault_end=13.0, arrivals_end=17.0
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the experiment and write its report and plot.

    :param arguments: command-line arguments; ``sys.argv`` when None.
    :returns: 0, even if goals are missed, which the report shows.
    """
    parser = argparse.ArgumentParser(
        prog="scripts/experiment",
        description="Compare the policies with simple ones under load and faults, "
        "in virtual time. Writes EXPERIMENT.md and experiment.svg.",
    )
    names = [size.name for size in SIZES]
    parser.add_argument("--seed", type=int, default=1, help="random seed")
    parser.add_argument("--size", action="append", choices=names, help="default: all")
    parser.add_argument("--fault", action="append", choices=list(FAULTS))
    parser.add_argument("--policy", action="append", choices=list(POLICIES))
    parser.add_argument("--jobs", type=int, default=2, help="runs at the same time")
    parser.add_argument("--out", type=Path, default=Path("docs"), help="folder")
    parser.add_argument(
        "--results",
        type=Path,
        action="append",
        help="write the page from JSON lines that earlier runs printed",
    )
    parser.add_argument("--note", default="", help="a sentence for the page")
    options = parser.parse_args(arguments)
    configs = [
        config
        for size in SIZES
        if size.name in (options.size or names)
        for fault in options.fault or FAULTS
        for policy in options.policy or POLICIES
        for config in _list_configs(size, fault, policy, options.seed)
    ]
    if options.results:
        results = [
            decode_json(line, Result)
            for path in options.results
            for line in path.read_text().splitlines()
        ]
    else:
        results = list(_run_all(configs, options.jobs))
    groups = group_results(results)
    options.out.mkdir(parents=True, exist_ok=True)
    page = "\n".join(_format_page(groups, options.seed, options.note))
    (options.out / "EXPERIMENT.md").write_text(page)
    (options.out / "experiment.svg").write_text(draw_plot(groups))
    return 0


def _list_configs(size: Size, fault: str, policy: str, seed: int) -> list[RunConfig]:
    today = size.name in ("lima", "hcm-south")
    times = TODAY_TIMES if today else SCALED_TIMES
    runs = TODAY_RUNS if today else 1
    return [RunConfig(size, fault, policy, seed + run, times) for run in range(runs)]


def run_experiment(config: RunConfig) -> Result:
    """Run one configuration.

    :param config: the configuration.
    :returns: the result.
    """
    return Experiment(config).run()


def _run_all(configs: Sequence[RunConfig], jobs: int) -> Iterator[Result]:
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        for result in pool.map(run_experiment, configs):
            sys.stdout.write(encode_json(result).decode() + "\n")
            sys.stdout.flush()
            yield result


def _format_page(groups: Sequence[Group], seed: int, note: str) -> Iterator[str]:
    yield "# Policies under load and faults"
    yield ""
    yield f"Written by `scripts/experiment --seed {seed}`; the same seed, the same"
    yield "figures. How it is set up and read: [REQUESTS.md](REQUESTS.md)."
    yield "Virtual time over a small queueing fake of the targets: the figures compare"
    yield "policies; they are no measure of real engines."
    if note:
        yield from ("", note)
    yield ""
    yield "![attainment by second](experiment.svg)"
    for name in dict.fromkeys(group.size for group in groups):
        size_groups = [group for group in groups if group.size == name]
        yield from ("", f"## {name}", "", "Goals:", "")
        yield from check_goals(size_groups)
        yield from ("", "Runs:", "")
        yield from format_table(size_groups)
    yield ""


if __name__ == "__main__":
    sys.exit(main())
