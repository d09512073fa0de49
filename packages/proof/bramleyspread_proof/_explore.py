"""Randomised tests: Hypothesis generates deployments, load and faults."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from functools import partial

import hypothesis
import msgspec
import yaml
from hypothesis import HealthCheck, strategies

from bramleyspread_core import ServiceDocument
from bramleyspread_proof._scenario import ScenarioRunner, Verdict
from bramleyspread_proof._steps import (
    Ask,
    Cut,
    Scenario,
    Silence,
    Slow,
    Step,
    Submit,
    TopologySpec,
)

#: Maximum number of generated actions in a scenario, of one or more steps each.
MAX_ACTIONS = 16
#: Maximum number of events printed for a violation.
MAX_EVENTS_PRINTED = 60
#: Time allowed for restoring a lost data folder before the next loss, in seconds.
RESTORE_S = 8.0

ZONES = ("miraflores", "san-isidro", "callao")


class Exploration(msgspec.Struct, frozen=True):
    """Counts of what a randomised test ran, and the failing scenario, if any."""

    #: Number of scenarios run.
    scenarios: int
    #: Number of steps run.
    steps: int
    #: Number of callers in all scenarios.
    callers: int
    #: The shortest failing scenario found; None if all held.
    broken: Scenario | None
    #: Verdict on the failing scenario.
    verdict: Verdict | None
    #: Last events of the failing scenario, one line each.
    events: tuple[str, ...]


class _ScenarioFailedError(AssertionError):
    """A scenario violated a contract or an expectation."""


class Explorer:
    """Generates and runs scenarios, deterministically for a seed."""

    def __init__(self, documents: Sequence[ServiceDocument], seed: int) -> None:
        self._documents = documents
        self._seed = seed
        self._scenarios = 0
        self._steps = 0
        self._callers = 0
        self._broken: tuple[Scenario, Verdict, tuple[str, ...]] | None = None

    def explore(self, steps: int) -> Exploration:
        """Run scenarios up to a number of steps, or until one fails.

        :param steps: approximate number of generated steps.
        :returns: the result, with the shortest failing scenario found.
        """
        run = hypothesis.settings(
            max_examples=max(1, steps // (MAX_ACTIONS // 2)),
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
            phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
            print_blob=False,
        )(hypothesis.given(draw_scenarios())(self._check))
        try:
            hypothesis.seed(self._seed)(run)()
        except _ScenarioFailedError:
            assert self._broken is not None
            return self._report(*self._broken)
        return self._report(None, None, ())

    def _report(
        self,
        broken: Scenario | None,
        verdict: Verdict | None,
        events: tuple[str, ...],
    ) -> Exploration:
        return Exploration(
            self._scenarios, self._steps, self._callers, broken, verdict, events
        )

    def _check(self, scenario: Scenario) -> None:
        runner = ScenarioRunner(scenario, self._documents)
        verdict = runner.run()
        self._scenarios += 1
        self._steps += len(scenario.steps)
        self._callers += len(runner.simulation.callers)
        if verdict.holds:
            return
        newest = list(runner.simulation.ledger.timeline)[-MAX_EVENTS_PRINTED:]
        events = tuple(msgspec.json.encode(each).decode() for each in newest)
        self._broken = (scenario, verdict, events)
        raise _ScenarioFailedError(verdict.faults[0])


def draw_scenarios() -> strategies.SearchStrategy[Scenario]:
    """Generate scenarios, each of which ends by repairing all faults."""
    return strategies.builds(
        _make_scenario,
        strategies.integers(1, 2),
        strategies.integers(1, 3),
        strategies.integers(0, 2**31),
        strategies.lists(draw_actions(), min_size=1, max_size=MAX_ACTIONS),
    )


def _make_scenario(
    entry: int, groups: int, seed: int, drawn: list[tuple[Step, ...]]
) -> Scenario:
    steps = [step for group in drawn for step in group]
    return Scenario(
        shows="A generated sequence of load and faults.",
        seed=seed,
        topology=TopologySpec(zones=ZONES, entry=entry, groups=groups),
        steps=(*_make_base_load(), *steps, *_repair_all()),
    )


def _make_base_load() -> tuple[Step, ...]:
    """Make the steps that put a basic load on the deployment."""
    photos = Ask(service="booth-gateway", pipeline="photo-check", count=30, over_s=20)
    payments = Ask(
        service="partner-ledger", pipeline="payment", key=True, count=20, over_s=20
    )
    return (Step(ask=photos), Step(ask=payments))


def _repair_all() -> tuple[Step, ...]:
    return (
        Step(heal=True),
        *(Step(free_disk=zone) for zone in ZONES),
        *(Step(thaw=zone) for zone in ZONES),
        *(Step(restart=zone) for zone in ZONES),
        Step(wait_s=RESTORE_S),
    )


def _lose_disk(name: str) -> tuple[Step, ...]:
    """Lose one data folder after repairing the others; only one loss is tolerated."""
    return (
        *_repair_all(),
        Step(lose_disk=name),
        Step(restart=name),
        Step(wait_s=RESTORE_S),
    )


def _make_step(verb: str, value: object) -> tuple[Step, ...]:
    return (Step(**{verb: value}),)  # type: ignore[arg-type]


def draw_actions() -> strategies.SearchStrategy[tuple[Step, ...]]:
    """Generate one action, which is a single step or a few."""
    zones = strategies.sampled_from(ZONES)
    control = zones.map(lambda zone: f"control-{zone}-1")
    entry = zones.map(lambda zone: f"entry-{zone}-1")
    targets = strategies.builds(
        lambda pool, zone: f"{pool}-{zone}-1",
        strategies.sampled_from(
            ("booth-gateway-encoders", "partner-ledger-ledgers", "ops-console-rankers")
        ),
        zones,
    )
    processes = strategies.one_of(control, entry, targets)
    processes_or_leader = strategies.one_of(processes, strategies.just("leader"))
    waits = strategies.sampled_from((0.2, 1.0, 3.0, 8.0))
    # Turns a verb into a function from its value to the step.
    make_step = partial(partial, _make_step)
    return strategies.one_of(
        waits.map(make_step("wait_s")),
        _draw_callers().map(make_step("ask")),
        _draw_submits().map(make_step("submit")),
        processes_or_leader.map(make_step("kill")),
        processes.map(make_step("restart")),
        processes_or_leader.map(make_step("freeze")),
        processes.map(make_step("thaw")),
        strategies.just(True).map(make_step("heal")),
        _draw_cuts(processes_or_leader, zones).map(make_step("cut")),
        strategies.one_of(entry, control).map(make_step("drain")),
        targets.map(make_step("leave")),
        strategies.sampled_from((0.3, 1.0)).map(
            lambda share: _make_step("silence", Silence(share=share))
        ),
        targets.map(lambda name: _make_step("slow", Slow(target=name, factor=10.0))),
        control.map(_lose_disk),
        strategies.one_of(control, strategies.just("leader"), zones).map(
            make_step("fill_disk")
        ),
        zones.map(make_step("free_disk")),
    )


def _draw_callers() -> strategies.SearchStrategy[Ask]:
    kinds = strategies.sampled_from(
        (
            ("booth-gateway", "photo-check", False),
            ("partner-ledger", "payment", True),
            ("partner-ledger", "payment", False),
        )
    )
    return strategies.builds(
        lambda kind, count, over: Ask(
            service=kind[0], pipeline=kind[1], key=kind[2], count=count, over_s=over
        ),
        kinds,
        strategies.sampled_from((1, 10, 40)),
        strategies.sampled_from((0.0, 1.0, 5.0)),
    )


def _draw_submits() -> strategies.SearchStrategy[Submit]:
    return strategies.builds(
        lambda authors, ahead: Submit(
            service="ops-console", authors=authors, ahead=ahead
        ),
        strategies.sampled_from((("ana",), ("ana", "luz"))),
        strategies.sampled_from((0, 1, 1, 1)),
    )


def _draw_cuts(
    processes: strategies.SearchStrategy[str], zones: strategies.SearchStrategy[str]
) -> strategies.SearchStrategy[Cut]:
    return strategies.builds(
        lambda source, one_way: Cut(source=source, one_way=one_way),
        strategies.one_of(processes, zones),
        strategies.booleans(),
    )


def print_exploration(seed: int, exploration: Exploration) -> None:
    """Print the result of a randomised test, with a failing scenario to run again.

    :param seed: the seed.
    :param exploration: the result.
    """
    counts = (
        f"seed {seed}: {exploration.scenarios} scenarios, {exploration.steps} steps, "
        f"{exploration.callers} callers"
    )
    if exploration.broken is None or exploration.verdict is None:
        print(f"{counts}: every promise held")
        return
    print(f"{counts}: BROKEN")
    for event in exploration.events:
        print(event)
    for fault in exploration.verdict.faults:
        print(f"fault: {fault}")
    plain = msgspec.to_builtins(exploration.broken)
    print(
        "shortest scenario found; run it with 'python -m bramleyspread_proof scenario':"
    )
    yaml.safe_dump(plain, sys.stdout, sort_keys=False)
