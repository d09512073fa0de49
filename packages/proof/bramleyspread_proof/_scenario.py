"""Scenarios: files of steps, run over the real decisions in virtual time."""

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
from bramleyspread_proof._caller import Ending, Wish
from bramleyspread_proof._control_process import ControlProcess
from bramleyspread_proof._entry_process import EntryProcess
from bramleyspread_proof._process import Process
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
from bramleyspread_proof._world import LEADER, Topology, World

#: What a step does to each process that it names.
ProcessAction = Callable[[Process], None]
#: Most time after the last step for callers to end, in seconds.
SETTLE = 45.0


class Verdict(msgspec.Struct, frozen=True):
    """What came of a scenario."""

    #: Whether every promise and expectation held.
    holds: bool
    #: What did not, a line each.
    faults: tuple[str, ...]
    #: How it ended for the callers: how many by ending.
    endings: dict[str, int]


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file and check it.

    :param path: the file.
    :returns: the scenario.
    :raises InvalidFileError: one line a fault.
    """
    scenario = load_yaml(path.read_bytes(), Scenario, str(path))
    faults = tuple(
        f"steps[{number}]: expected exactly one verb, such as 'wait_s: 1'"
        for number, step in enumerate(scenario.steps)
        if step.name_verb() is None
    )
    if faults:
        raise InvalidFileError(str(path), faults)
    return scenario


def run_scenario(scenario: Scenario, documents: Sequence[ServiceDocument]) -> Verdict:
    """Run a scenario to its end.

    :param scenario: what happens.
    :param documents: version 1 of each service; submitted before the first step.
    :returns: the verdict; the same for the same scenario and documents.
    """
    return ScenarioRunner(scenario, documents).run()


class ScenarioRunner:
    """Runs the steps of one scenario, a method a verb."""

    def __init__(
        self, scenario: Scenario, documents: Sequence[ServiceDocument]
    ) -> None:
        self._scenario = scenario
        self._faults: list[str] = []
        self._asked = 0
        zones = scenario.topology
        topology = Topology(
            zones.zones, zones.entry, zones.control, zones.targets, zones.groups
        )
        #: The deployment.
        self.world = World(topology, documents, scenario.seed)

    def run(self) -> Verdict:
        """Run all steps, let everything settle, and judge.

        :returns: the verdict.
        """
        self._found()
        for number, step in enumerate(self._scenario.steps):
            self._do(number, step)
        world = self.world
        world.run(SETTLE)
        world.check_lost()
        if world.network.whole:
            world.check_in_force()
        faults = (*self._faults, *world.ledger.list_breaches())
        endings = {e.value: n for e, n in sorted(self._endings(), key=str)}
        return Verdict(not faults, faults, endings)

    def _endings(self) -> list[tuple[Ending, int]]:
        return list(self.world.count_endings().items())

    def _found(self) -> None:
        """Put version 1 of every document in force."""
        world = self.world
        world.run(5.0)
        pending = list(world.documents.values())
        for _ in range(len(pending)):
            submitted = [world.submit(document) for document in pending]
            world.run(2.0)
            pending = [
                each.document
                for each in submitted
                if not isinstance(each.result, Accepted)
            ]
        if pending:
            self._faults.append(f"{len(pending)} documents were not taken at first")
        world.submissions.clear()
        world.run(3.0)

    def _do(self, number: int, step: Step) -> None:
        verb = step.name_verb()
        assert verb is not None
        value = getattr(step, verb)
        fault = getattr(self, f"_do_{verb}")(value)
        if fault:
            self._faults.append(f"steps[{number}] {verb}: {fault}")

    def _do_wait_s(self, seconds: float) -> None:
        self.world.run(seconds)

    def _do_submit(self, submit: Submit) -> str | None:
        document = self.world.documents.get(submit.service)
        if document is None:
            return f"no service {submit.service!r}"
        version = document.version + submit.ahead
        newer = msgspec.structs.replace(document, version=version)
        self.world.documents[submit.service] = newer
        for author in submit.authors:
            self.world.submit(newer, author)
        return None

    def _do_ask(self, ask: Ask) -> str | None:
        document = self.world.documents.get(ask.service)
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
            self._asked += 1
            marker = f"m{self._asked}"
            wish = Wish(
                marker,
                ServiceName(ask.service),
                pipeline,
                brands[number % len(brands)],
                f"key-{marker}" if ask.key else "",
            )
            zone = zones[number % len(zones)]
            delay = ask.over_s * number / ask.count
            self._plan_ask(delay, wish, zone)
        return None

    def _plan_ask(self, delay: float, wish: Wish, zone: str) -> None:
        self.world.agenda.after(delay, lambda: self.world.ask(wish, zone))

    def _do_cut(self, cut: Cut) -> str | None:
        sources = self.world.find(cut.source)
        if not sources and cut.source == LEADER:
            return None
        if not sources:
            return f"nothing is named {cut.source!r}"
        if cut.target == "rest":
            targets = [
                each for each in self.world.processes.values() if each not in sources
            ]
        else:
            targets = list(self.world.find(cut.target))
        if not targets:
            return f"nothing is named {cut.target!r}"
        self.world.network.cut(sources, targets)
        if not cut.one_way:
            self.world.network.cut(targets, sources)
        return None

    def _do_heal(self, _: bool) -> None:
        self.world.network.heal()

    def _do_kill(self, name: str) -> str | None:
        return self._each(name, lambda process: process.kill())

    def _do_restart(self, name: str) -> str | None:
        def restart(process: Process) -> None:
            if not process.alive:
                process.start()

        return self._each(name, restart)

    def _do_freeze(self, name: str) -> str | None:
        return self._each(name, lambda process: process.freeze())

    def _do_thaw(self, name: str) -> str | None:
        return self._each(name, lambda process: process.thaw())

    def _do_lose_disk(self, name: str) -> str | None:
        def lose(process: Process) -> None:
            if isinstance(process, ControlProcess):
                process.lose_disk()

        return self._each(name, lose)

    def _do_drain(self, name: str) -> str | None:
        def drain(process: Process) -> None:
            if isinstance(process, EntryProcess):
                process.deliver(process.drain)
            elif isinstance(process, ControlProcess):
                process.deliver(process.hand_over)

        return self._each(name, drain)

    def _do_leave(self, name: str) -> str | None:
        def leave(process: Process) -> None:
            if isinstance(process, TargetProcess):
                process.deliver(process.leave)

        return self._each(name, leave)

    def _do_silence(self, silence: Silence) -> None:
        for host in self.world.entry:
            if host.alive:
                host.silence(silence.share)

    def _do_slow(self, slow: Slow) -> str | None:
        def slow_down(process: Process) -> None:
            if isinstance(process, TargetProcess):
                process.slowness = slow.factor

        return self._each(slow.target, slow_down)

    def _do_cross(self, cross: Cross) -> str | None:
        def mix_up(process: Process) -> None:
            if isinstance(process, TargetProcess):
                process.crossing = cross.share

        return self._each(cross.target, mix_up)

    def _each(self, name: str, action: ProcessAction) -> str | None:
        found = self.world.find(name)
        if not found and name != LEADER:
            return f"nothing is named {name!r}"
        for process in found:
            action(process)
        return None

    def _do_expect(self, expect: Expect) -> str | None:
        return "; ".join(self._find_unmet(expect)) or None

    def _find_unmet(self, expect: Expect) -> Iterator[str]:
        endings = self.world.count_endings()
        total = len(self.world.callers)
        whole = endings[Ending.WHOLE]
        if expect.whole_at_least is not None and whole < expect.whole_at_least * total:
            yield f"{whole} of {total} callers have their whole answer"
        bounds = (
            (Ending.REFUSED, expect.refused_at_most),
            (Ending.FAILED, expect.failed_at_most),
            (Ending.UNKNOWN, expect.unknown_at_most),
        )
        for ending, bound in bounds:
            if bound is not None and endings[ending] > bound:
                yield f"{endings[ending]} callers ended as {ending.value}"
        yield from self._find_unmet_results(expect)
        if expect.in_force:
            self.world.check_in_force()

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
        return sum(isinstance(each.result, kind) for each in self.world.submissions)
