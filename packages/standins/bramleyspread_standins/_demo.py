"""The demo: runs a whole deployment on one machine under load and a disruption."""

from __future__ import annotations

import argparse
import logging
import random
import signal
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import curio

from bramleyspread_core import (
    ServiceDocument,
    TimelineEvent,
    decode_json,
    encode_json,
)
from bramleyspread_standins._caller_requests import BURST_DURATION_S, RequestGenerator
from bramleyspread_standins._launch import (
    find_program,
    make_host_command,
    make_target_command,
)
from bramleyspread_standins._ledger import LedgerEntry
from bramleyspread_standins._load_generator import (
    LoadGenerator,
    LoadPlan,
    NotReadyError,
)
from bramleyspread_standins._processes import ChildProcesses
from bramleyspread_standins._topology import DemoHost, DemoTarget, Topology
from bramleyspread_standins._verdict import Verdict

#: Availability zones of the demo's deployment.
ZONES = ("miraflores", "san-isidro", "callao")
#: Number of entry hosts in each zone.
ENTRY_HOSTS_PER_ZONE = 2
#: Time limit for the system to become ready, in seconds.
START_TIMEOUT_S = 20.0
#: Time over which the requests are sent, in seconds.
LOAD_DURATION_S = 12.0
#: When the disruption happens, in seconds from the start of the load: in the middle
#: of a burst.
DISRUPTION_AT_S = LOAD_DURATION_S / 2 + BURST_DURATION_S / 2
#: Time limit for the load and all responses, in seconds.
LOAD_TIMEOUT_S = 28.0
#: Pause between two tries to submit a document, in seconds.
SUBMIT_RETRY_PAUSE_S = 0.3


def make_parser() -> argparse.ArgumentParser:
    """Make the parser of ``scripts/demo``."""
    parser = argparse.ArgumentParser(
        prog="scripts/demo",
        description="Runs a whole deployment on this machine under load. The last "
        "line is JSON; the exit code is 0 when every promise held, 1 when one "
        "broke, 3 when the system did not come up.",
    )
    add = parser.add_argument
    kinds = ("entry", "control", "target")
    disruption = parser.add_mutually_exclusive_group()
    disruption.add_argument("--kill", choices=kinds, help="kill one process (SIGKILL)")
    disruption.add_argument(
        "--drain", choices=("entry",), help="stop one host (SIGTERM)"
    )
    add(
        "--seed",
        type=int,
        default=1,
        help="seed of the load and of the disrupted process",
    )
    add("--requests", type=int, default=400, help="number of requests")
    add("--keep", type=Path, help="keep logs, settings and time lines here")
    add("--examples", type=Path, default=Path("examples/consorcio"))
    return parser


class Demo:
    """One run of the demo."""

    def __init__(
        self, options: argparse.Namespace, folder: Path, processes: ChildProcesses
    ) -> None:
        self._options = options
        self._folder = folder
        self._processes = processes
        self._rng = random.Random(f"victim {options.seed}")
        self._documents = load_documents(options.examples)
        self._topology = Topology.from_documents(
            [document for document, _ in self._documents],
            ZONES,
            ENTRY_HOSTS_PER_ZONE,
            random.Random(),
        )
        self._load_generator = LoadGenerator(random.Random(options.seed + 1))
        self._notes: list[str] = []

    def run(self) -> int:
        """Run the demo and print its results.

        :returns: the exit code.
        """
        started_at = time.monotonic()
        self._start_processes()
        documents = [document for document, _ in self._documents]
        hosts = [host.address for host in self._topology.entry_hosts]
        generator = RequestGenerator(
            documents, self._options.seed, f"r{self._options.seed}"
        )
        try:
            startup_deadline = time.monotonic() + START_TIMEOUT_S
            self._submit_documents(startup_deadline)
            time_left_s = startup_deadline - time.monotonic()
            curio.run(
                self._load_generator.warm_up, hosts, documents, generator, time_left_s
            )
        except NotReadyError as error:
            print(f"the system did not come up: {error}")
            return 3
        startup_s = time.monotonic() - started_at
        requests = generator.draw_load(self._options.requests, LOAD_DURATION_S)
        plan = LoadPlan(tuple(requests), DISRUPTION_AT_S, self._disrupt, LOAD_TIMEOUT_S)
        curio.run(self._load_generator.run, hosts, plan)
        load_s = time.monotonic() - started_at - startup_s
        stop_failures = self._processes.stop()
        self._notes.append(f"up in {startup_s:.1f} s, load and answers {load_s:.1f} s")
        return self._report(stop_failures)

    def _start_processes(self) -> None:
        topology, folder = self._topology, self._folder
        topology.write_settings(folder)
        for role, hosts in (
            ("control", topology.control_hosts),
            ("entry", topology.entry_hosts),
        ):
            for host in hosts:
                command = make_host_command(role, host, folder)
                self._processes.start(host.name, command)
        for number, target in enumerate(topology.targets):
            command = make_target_command(topology, number, folder, self._options.seed)
            self._processes.start(target.name, command)

    def _submit_documents(self, startup_deadline: float) -> None:
        for _, path in self._documents:
            command = [find_program("bramleyspread"), "submit", str(path)]
            command += ["--wait", "--settings", str(self._folder / "tool.yaml")]
            while True:
                code, output = self._processes.run(command)
                if code == 0:
                    break
                crashed = self._processes.list_crashed()
                if crashed:
                    raise NotReadyError(f"crashed at start: {', '.join(crashed)}")
                if time.monotonic() >= startup_deadline:
                    raise NotReadyError(f"{path.name} was not accepted: {output}")
                time.sleep(SUBMIT_RETRY_PAUSE_S)

    def _disrupt(self) -> None:
        name = self._choose_process()
        if self._options.kill:
            self._notes.append(f"killed {name} (SIGKILL)")
            self._processes.kill(name)
        elif self._options.drain:
            self._notes.append(f"drained {name} (SIGTERM)")
            self._processes.terminate(name)

    def _choose_process(self) -> str:
        topology = self._topology
        kinds: dict[str, Sequence[DemoHost | DemoTarget]] = {
            "entry": topology.entry_hosts,
            "control": topology.control_hosts,
            "target": topology.targets,
        }
        kind = self._options.kill or self._options.drain or "entry"
        return self._rng.choice(kinds[kind]).name

    def _report(self, stop_failures: Sequence[str]) -> int:
        non_idempotent = find_non_idempotent_stages(
            [document for document, _ in self._documents]
        )
        reports = self._load_generator.reports.values()
        verdict = Verdict.from_reports(reports, self._read_ledgers(), non_idempotent)
        broken = verdict.counts.list_broken_guarantees(bool(self._options.drain))
        self._notes.append(f"orders to engines carried out: {self._count_orders()}")
        self._notes += [f"stopped badly: {failure}" for failure in stop_failures]
        print_summary(verdict, self._notes, broken)
        return 1 if broken else 0

    def _count_orders(self) -> int:
        count = 0
        for path in self._folder.glob("*.timeline"):
            for line in path.read_bytes().splitlines():
                event: TimelineEvent = decode_json(line, TimelineEvent)
                count += event.kind == "order-reached"
        return count

    def _read_ledgers(self) -> list[LedgerEntry]:
        entries: list[LedgerEntry] = []
        for path in sorted(self._folder.glob("*.ledger")):
            lines = path.read_bytes().splitlines()
            entries += [decode_json(line, LedgerEntry) for line in lines]
        return entries


def load_documents(folder: Path) -> list[tuple[ServiceDocument, Path]]:
    """Load the documents of a deployment, referenced documents first.

    :param folder: the folder of YAML files.
    """
    paths = sorted(folder.glob("*.yaml"))
    loaded = [(ServiceDocument.from_yaml(p.read_bytes(), p.name), p) for p in paths]
    return sorted(loaded, key=lambda each: _count_references(each[0]))


def _count_references(document: ServiceDocument) -> int:
    stages = [stage for pipe in document.pipelines for stage in pipe.stages]
    return sum("." in stage.pool for stage in stages)


def find_non_idempotent_stages(documents: Sequence[ServiceDocument]) -> set[str]:
    """Find the names of the stages that may not be repeated.

    :param documents: the services.
    """
    return {
        stage.name
        for document in documents
        for pipeline in document.pipelines
        for stage in pipeline.stages
        if not stage.idempotent
    }


def print_summary(
    verdict: Verdict, notes: Sequence[str], broken: Sequence[str]
) -> None:
    """Print a summary for people and, in the last line, JSON for programs.

    :param verdict: the verdict.
    :param notes: further lines about the run, printed first.
    :param broken: the names of the broken guarantees.
    """
    counts = verdict.counts
    for note in notes:
        print(note)
    for outcome, count in verdict.outcomes.most_common():
        print(f"{count:6}  {outcome.value}")
    print(f"{verdict.retried_requests:6}  asked more than once")
    for reason, count in verdict.error_reasons.most_common():
        print(f"{count:6}  asks: {reason}")
    print(
        f"first token p95 {counts.ttft_p95_ms} ms, "
        f"added to the targets' own time p95 {counts.added_p95_ms} ms"
    )
    for violation in verdict.violations:
        print(f"BREACH {violation}")
    print(f"broken promises: {', '.join(broken)}" if broken else "every promise held")
    print(encode_json(counts).decode())


def _stop_on_signal(number: int, _frame: object) -> None:
    raise SystemExit(128 + number)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo.

    :param arguments: the arguments; ``sys.argv`` if None.
    :returns: the exit code.
    """
    options = make_parser().parse_args(arguments)
    logging.getLogger("curio").setLevel(logging.ERROR)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _stop_on_signal)
    with tempfile.TemporaryDirectory(prefix="bramleyspread-demo-") as temporary:
        folder = options.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            with ChildProcesses(folder) as processes:
                return Demo(options, folder, processes).run()
        except KeyboardInterrupt:
            return 128 + signal.SIGINT


if __name__ == "__main__":
    raise SystemExit(main())
