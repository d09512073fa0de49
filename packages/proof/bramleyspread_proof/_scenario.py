"""Reading and running of scenario files against the real decisions, in virtual time."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import msgspec

from bramleyspread_core import (
    Accepted,
    Brand,
    Conflict,
    InvalidFileError,
    ServiceDocument,
    ServiceName,
    Undecided,
    load_yaml,
)
from bramleyspread_proof._caller import CallerOutcome, RequestSpec
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._entry_process import EntryProcess
from bramleyspread_proof._process import Process
from bramleyspread_proof._simulation import LEADER, Simulation, Topology
from bramleyspread_proof._steps import (
    Ask,
    Cross,
    Cut,
    Expect,
    Scenario,
    Silence,
    Slow,
    Step,
    Submit,
)
from bramleyspread_proof._target_process import TargetProcess

#: The action of a step on each process that it names.
ProcessAction = Callable[[Process], None]
#: Time after the last step in which all callers must have finished, in seconds.
SETTLE_S = 45.0


class Verdict(msgspec.Struct, frozen=True):
    """Whether a scenario passed, its violations, and the outcomes of its callers."""

    #: Whether all contracts and expectations held.
    holds: bool
    #: Violations of contracts and expectations, one line each.
    faults: tuple[str, ...]
    #: Number of callers by outcome.
    endings: dict[str, int]


def read_scenario(path: Path) -> Scenario:
    """Read and validate a scenario file.

    :param path: the file.
    :returns: the scenario.
    :raises InvalidFileError: if the file is invalid; one line per fault.
    """
    scenario = load_yaml(path.read_bytes(), Scenario, str(path))
    faults = tuple(
        f"steps[{number}]: expected exactly one verb, such as 'wait_s: 1'"
        for number, step in enumerate(scenario.steps)
        if step.find_verb() is None
    )
    if faults:
        raise InvalidFileError(str(path), faults)
    return scenario


def run_scenario(scenario: Scenario, documents: Sequence[ServiceDocument]) -> Verdict:
    """Run a scenario.

    :param scenario: the scenario.
    :param documents: version 1 of the document of each service, which is submitted
        before the first step.
    :returns: the verdict, which is deterministic.
    """
    return ScenarioRunner(scenario, documents).run()


class ScenarioRunner:
    """Runs the steps of a scenario; each verb has a method ``_do_VERB``."""

    def __init__(
        self, scenario: Scenario, documents: Sequence[ServiceDocument]
    ) -> None:
        self._scenario = scenario
        self._faults: list[str] = []
        self._caller_count = 0
        zones = scenario.topology
        topology = Topology(
            zones.zones, zones.entry, zones.control, zones.targets, zones.groups
        )
        #: The simulated deployment.
        self.simulation = Simulation(topology, documents, scenario.seed)

    def run(self) -> Verdict:
        """Run all steps, wait until the callers have finished, and check the contracts.

        :returns: the verdict.
        """
        self._submit_initial_documents()
        for number, step in enumerate(self._scenario.steps):
            self._run_step(number, step)
        simulation = self.simulation
        simulation.advance(SETTLE_S)
        simulation.check_unanswered()
        if simulation.network.has_no_cuts:
            simulation.check_in_force()
        faults = (*self._faults, *simulation.ledger.list_breaches())
        outcome_counts = {e.value: n for e, n in sorted(self._list_outcomes(), key=str)}
        return Verdict(not faults, faults, outcome_counts)

    def _list_outcomes(self) -> list[tuple[CallerOutcome, int]]:
        return list(self.simulation.count_outcomes().items())

    def _submit_initial_documents(self) -> None:
        """Submit the initial documents until all are accepted."""
        simulation = self.simulation
        simulation.advance(5.0)
        pending = list(simulation.documents.values())
        for _ in range(len(pending)):
            submitted = [simulation.submit(document) for document in pending]
            simulation.advance(2.0)
            pending = [
                each.document
                for each in submitted
                if not isinstance(each.result, Accepted)
            ]
        if pending:
            self._faults.append(f"{len(pending)} initial documents were not accepted")
        simulation.submissions.clear()
        simulation.advance(3.0)

    def _run_step(self, number: int, step: Step) -> None:
        verb = step.find_verb()
        assert verb is not None
        value = getattr(step, verb)
        fault = getattr(self, f"_do_{verb}")(value)
        if fault:
            self._faults.append(f"steps[{number}] {verb}: {fault}")

    def _do_wait_s(self, seconds: float) -> None:
        self.simulation.advance(seconds)

    def _do_submit(self, submit: Submit) -> str | None:
        document = self.simulation.documents.get(submit.service)
        if document is None:
            return f"no service {submit.service!r}"
        version = document.version + submit.ahead
        newer = msgspec.structs.replace(document, version=version)
        self.simulation.documents[submit.service] = newer
        for author in submit.authors:
            self.simulation.submit(newer, author)
        return None

    def _do_ask(self, ask: Ask) -> str | None:
        document = self.simulation.documents.get(ask.service)
        pipeline = document.find_pipeline(ask.pipeline) if document else None
        if document is None or pipeline is None:
            return f"no pipeline {ask.service}/{ask.pipeline}"
        zones = (ask.zone,) if ask.zone else self._scenario.topology.zones
        brands = [
            Brand(organisation.name, brand.name)
            for organisation in document.organisations
            for brand in organisation.brands
        ]
        for number in range(ask.count):
            self._caller_count += 1
            marker = f"m{self._caller_count}"
            spec = RequestSpec(
                marker,
                ServiceName(ask.service),
                pipeline,
                brands[number % len(brands)],
                f"key-{marker}" if ask.key else "",
            )
            zone = zones[number % len(zones)]
            delay = ask.over_s * number / ask.count
            self._schedule_caller(delay, spec, zone)
        return None

    def _schedule_caller(self, delay: float, spec: RequestSpec, zone: str) -> None:
        self.simulation.scheduler.call_later(
            delay, lambda: self.simulation.add_caller(spec, zone)
        )

    def _do_cut(self, cut: Cut) -> str | None:
        sources = self.simulation.find_processes(cut.source)
        if not sources and cut.source == LEADER:
            return None
        if not sources:
            return f"no process or zone is named {cut.source!r}"
        if cut.target == "rest":
            targets = [
                each
                for each in self.simulation.processes.values()
                if each not in sources
            ]
        else:
            targets = list(self.simulation.find_processes(cut.target))
        if not targets:
            return f"no process or zone is named {cut.target!r}"
        self.simulation.network.cut(sources, targets)
        if not cut.one_way:
            self.simulation.network.cut(targets, sources)
        return None

    def _do_heal(self, _: bool) -> None:
        self.simulation.network.heal()

    def _do_kill(self, name: str) -> str | None:
        return self._apply_to_each(name, lambda process: process.kill())

    def _do_restart(self, name: str) -> str | None:
        def restart(process: Process) -> None:
            if not process.alive:
                process.start()

        return self._apply_to_each(name, restart)

    def _do_freeze(self, name: str) -> str | None:
        return self._apply_to_each(name, lambda process: process.freeze())

    def _do_thaw(self, name: str) -> str | None:
        return self._apply_to_each(name, lambda process: process.thaw())

    def _do_lose_disk(self, name: str) -> str | None:
        def lose(process: Process) -> None:
            if isinstance(process, ControlProcess):
                process.lose_disk()

        return self._apply_to_each(name, lose)

    def _do_fill_disk(self, name: str) -> str | None:
        def fill(process: Process) -> None:
            if isinstance(process, ControlProcess):
                process.fill_disk()

        return self._apply_to_each(name, fill)

    def _do_free_disk(self, name: str) -> str | None:
        def free(process: Process) -> None:
            if isinstance(process, ControlProcess):
                process.free_disk()

        return self._apply_to_each(name, free)

    def _do_drain(self, name: str) -> str | None:
        def drain(process: Process) -> None:
            if isinstance(process, EntryProcess):
                process.deliver(process.drain)
            elif isinstance(process, ControlProcess):
                process.deliver(process.transfer_leadership)

        return self._apply_to_each(name, drain)

    def _do_leave(self, name: str) -> str | None:
        def leave(process: Process) -> None:
            if isinstance(process, TargetProcess):
                process.deliver(process.leave)

        return self._apply_to_each(name, leave)

    def _do_silence(self, silence: Silence) -> None:
        for host in self.simulation.entry:
            if host.alive:
                host.silence(silence.share)

    def _do_slow(self, slow: Slow) -> str | None:
        def slow_down(process: Process) -> None:
            if isinstance(process, TargetProcess):
                process.slow_factor = slow.factor

        return self._apply_to_each(slow.target, slow_down)

    def _do_cross(self, cross: Cross) -> str | None:
        def cross_answers(process: Process) -> None:
            if isinstance(process, TargetProcess):
                process.crossed_share = cross.share

        return self._apply_to_each(cross.target, cross_answers)

    def _apply_to_each(self, name: str, action: ProcessAction) -> str | None:
        found = self.simulation.find_processes(name)
        if not found and name != LEADER:
            return f"no process or zone is named {name!r}"
        for process in found:
            action(process)
        return None

    def _do_expect(self, expect: Expect) -> str | None:
        return "; ".join(self._find_unmet(expect)) or None

    def _find_unmet(self, expect: Expect) -> Iterator[str]:
        outcomes = self.simulation.count_outcomes()
        total = len(self.simulation.callers)
        whole = outcomes[CallerOutcome.WHOLE]
        if expect.whole_at_least is not None and whole < expect.whole_at_least * total:
            yield f"{whole} of {total} callers got a complete answer"
        bounds = (
            (CallerOutcome.REFUSED, expect.refused_at_most),
            (CallerOutcome.FAILED, expect.failed_at_most),
            (CallerOutcome.UNKNOWN, expect.unknown_at_most),
        )
        for outcome, bound in bounds:
            if bound is not None and outcomes[outcome] > bound:
                yield f"{outcomes[outcome]} callers ended as {outcome.value}"
        yield from self._find_unmet_results(expect)
        if expect.in_force:
            self.simulation.check_in_force()

    def _find_unmet_results(self, expect: Expect) -> Iterator[str]:
        wanted = (
            (Accepted, expect.accepted),
            (Conflict, expect.conflicts),
            (Undecided, expect.undecided),
        )
        for kind, count in wanted:
            if count is None:
                continue
            found = self._count_results(kind)
            if found != count:
                yield f"{found} submissions ended as {kind.__name__}, not {count}"

    def _count_results(self, kind: type[object]) -> int:
        return sum(
            isinstance(each.result, kind) for each in self.simulation.submissions
        )
