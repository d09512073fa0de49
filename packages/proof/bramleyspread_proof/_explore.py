"""Long randomised runs: hypothesis draws deployments, work and faults."""

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
    Zones,
)

#: Most drawn steps in one scenario.
STEPS_EACH = 16
#: Events printed for a breach.
EVENTS_PRINTED = 60
#: Time that a lost folder is given to be refilled before the next loss, in seconds.
REFILL = 8.0

ZONES = ("miraflores", "san-isidro", "callao")


class Exploration(msgspec.Struct, frozen=True):
    """What came of an exploration."""

    #: Scenarios run.
    scenarios: int
    #: Steps run, the drawn ones.
    steps: int
    #: Callers in all of them.
    callers: int
    #: The shortest scenario found that breaks a promise; None when none does.
    broken: Scenario | None
    #: Its verdict.
    verdict: Verdict | None
    #: Its last events, a line each.
    events: tuple[str, ...]


class _BrokenError(AssertionError):
    """A scenario broke a promise."""


class Explorer:
    """Draws scenarios from one seed and runs them; the same for the same seed."""

    def __init__(self, documents: Sequence[ServiceDocument], seed: int) -> None:
        self._documents = documents
        self._seed = seed
        self._scenarios = 0
        self._steps = 0
        self._callers = 0
        self._broken: tuple[Scenario, Verdict, tuple[str, ...]] | None = None

    def explore(self, steps: int) -> Exploration:
        """Run scenarios until that many steps were run, or one breaks a promise.

        :param steps: how many drawn steps, about.
        :returns: what came of it; a broken scenario is the shortest found.
        """
        run = hypothesis.settings(
            max_examples=max(1, steps // (STEPS_EACH // 2)),
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
            phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
            print_blob=False,
        )(hypothesis.given(draw_scenarios())(self._check))
        try:
            hypothesis.seed(self._seed)(run)()
        except _BrokenError:
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
        self._callers += len(runner.world.callers)
        if verdict.holds:
            return
        newest = list(runner.world.ledger.timeline)[-EVENTS_PRINTED:]
        events = tuple(msgspec.json.encode(each).decode() for each in newest)
        self._broken = (scenario, verdict, events)
        raise _BrokenError(verdict.faults[0])


def draw_scenarios() -> strategies.SearchStrategy[Scenario]:
    """Draw whole scenarios; each ends with everything healed and restarted."""
    return strategies.builds(
        _make_scenario,
        strategies.integers(1, 2),
        strategies.integers(1, 3),
        strategies.integers(0, 2**31),
        strategies.lists(draw_steps(), min_size=1, max_size=STEPS_EACH),
    )


def _make_scenario(
    entry: int, groups: int, seed: int, drawn: list[tuple[Step, ...]]
) -> Scenario:
    steps = [step for group in drawn for step in group]
    return Scenario(
        shows="A drawn sequence of work and faults.",
        seed=seed,
        topology=Zones(zones=ZONES, entry=entry, groups=groups),
        steps=(*_base_load(), *steps, *_repair_all()),
    )


def _base_load() -> tuple[Step, ...]:
    """Work under way whatever else happens."""
    photos = Ask(service="booth-gateway", pipeline="photo-check", count=30, over_s=20)
    payments = Ask(
        service="partner-ledger", pipeline="payment", key=True, count=20, over_s=20
    )
    return (Step(ask=photos), Step(ask=payments))


def _repair_all() -> tuple[Step, ...]:
    return (
        Step(heal=True),
        *(Step(thaw=zone) for zone in ZONES),
        *(Step(restart=zone) for zone in ZONES),
        Step(wait_s=REFILL),
    )


def _lose_disk(name: str) -> tuple[Step, ...]:
    """Lose one folder when the others are whole: more is more than promised."""
    return (
        *_repair_all(),
        Step(lose_disk=name),
        Step(restart=name),
        Step(wait_s=REFILL),
    )


def _one(verb: str, value: object) -> tuple[Step, ...]:
    return (Step(**{verb: value}),)  # type: ignore[arg-type]


def draw_steps() -> strategies.SearchStrategy[tuple[Step, ...]]:
    """Draw one thing that happens, as one step or a few."""
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
    hosts = strategies.one_of(control, entry, targets)
    frozen = strategies.one_of(hosts, strategies.just("leader"))
    waits = strategies.sampled_from((0.2, 1.0, 3.0, 8.0))
    one = partial(partial, _one)
    return strategies.one_of(
        waits.map(one("wait_s")),
        _draw_work().map(one("ask")),
        _draw_submits().map(one("submit")),
        frozen.map(one("kill")),
        hosts.map(one("restart")),
        frozen.map(one("freeze")),
        hosts.map(one("thaw")),
        strategies.just(True).map(one("heal")),
        _draw_cuts(frozen, zones).map(one("cut")),
        strategies.one_of(entry, control).map(one("drain")),
        targets.map(one("leave")),
        strategies.sampled_from((0.3, 1.0)).map(
            lambda share: _one("silence", Silence(share=share))
        ),
        targets.map(lambda name: _one("slow", Slow(target=name, factor=10.0))),
        control.map(_lose_disk),
    )


def _draw_work() -> strategies.SearchStrategy[Ask]:
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
    hosts: strategies.SearchStrategy[str], zones: strategies.SearchStrategy[str]
) -> strategies.SearchStrategy[Cut]:
    return strategies.builds(
        lambda source, one_way: Cut(source=source, one_way=one_way),
        strategies.one_of(hosts, zones),
        strategies.booleans(),
    )


def print_exploration(seed: int, exploration: Exploration) -> None:
    """Print what came of an exploration, so that a breach can be run again.

    :param seed: the seed.
    :param exploration: what came of it.
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
