"""The experiment's page: tables, and the goals beside what was measured."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from bramleyspread_proof._experiment_results import Result

#: Attainment wanted at steady load.
STEADY_GOAL = 0.999
#: Goodput wanted in a burst, as a share of the capacity.
GOODPUT_GOAL = 0.95
#: Longest time until a refusal, in milliseconds.
REFUSAL_GOAL = 10.0
#: Most that attainment after a fault may be below the steady figure.
RECOVERY_GOAL = 0.001
#: Most that one organisation's greed may cost the others.
GREED_GOAL = 0.02

#: Ours, as results name it.
OURS = "ours"
HEADINGS = (
    "fault",
    "policy",
    "requests",
    "attained",
    "before",
    "during",
    "from 2 s after",
    "goodput",
    "refused in ms",
    "added",
    "ms an answer",
    "by stage",
)


@dataclass(frozen=True, slots=True)
class Group:
    """Runs that differ in their seeds alone."""

    #: The deployment's name.
    size: str
    #: The fault's name.
    fault: str
    #: The policies' name.
    policy: str
    #: The runs.
    results: tuple[Result, ...]

    def mean(self, figure: str) -> float:
        """Find a figure's mean over the runs.

        :param figure: the name of a number of :class:`Result`.
        :returns: the mean.
        """
        values = [float(getattr(result, figure)) for result in self.results]
        return sum(values) / len(values)

    def mean_costs(self) -> dict[str, float]:
        """Find the mean cost of each stage, in target milliseconds an answer."""
        names = self.results[0].cost_ms
        return {
            name: sum(each.cost_ms.get(name, 0.0) for each in self.results)
            / len(self.results)
            for name in names
        }


def group_results(results: Sequence[Result]) -> list[Group]:
    """Put runs that differ in their seeds alone together.

    :param results: all runs, in any order.
    :returns: groups in the order of their first runs.
    """
    found: dict[tuple[str, str, str], list[Result]] = {}
    for result in results:
        key = (result.size, result.fault, result.policy)
        found.setdefault(key, []).append(result)
    return [Group(*key, tuple(runs)) for key, runs in found.items()]


def write_table(groups: Sequence[Group]) -> Iterator[str]:
    """Write one deployment's table.

    :param groups: its groups.
    :returns: lines of Markdown.
    """
    yield "| " + " | ".join(HEADINGS) + " |"
    yield "|" + " --- |" * len(HEADINGS)
    for group in groups:
        costs = group.mean_costs()
        stages = ", ".join(f"{name} {cost:.0f}" for name, cost in costs.items())
        refusal = max(result.refusal_ms for result in group.results)
        cells = (
            group.fault,
            group.policy,
            str(sum(result.requests for result in group.results)),
            *(
                f"{100 * group.mean(name):.2f}%"
                for name in ("attainment", "before", "during", "after")
            ),
            f"{100 * group.mean('goodput'):.0f}%",
            f"{refusal:.0f}",
            f"{100 * group.mean('added'):.1f}%",
            f"{group.mean('cost'):.0f}",
            stages,
        )
        yield "| " + " | ".join(cells) + " |"


def judge_goals(groups: Sequence[Group]) -> Iterator[str]:
    """Judge the goals for one deployment.

    :param groups: its groups.
    :returns: lines of Markdown, one a goal.
    """
    ours = {group.fault: group for group in groups if group.policy == OURS}
    steady, burst = ours.get("steady"), ours.get("burst")
    yield "| goal | measured | met |"
    yield "| --- | --- | --- |"
    if steady is not None:
        figure = steady.mean("attainment")
        yield _row("steady attainment >= 99.9%", _share(figure), figure >= STEADY_GOAL)
    if burst is not None:
        figure = burst.mean("goodput")
        met = figure >= GOODPUT_GOAL
        yield _row("burst goodput >= 95% of capacity", _share(figure), met)
        slowest = max(result.refusal_ms for result in burst.results)
        met = slowest <= REFUSAL_GOAL
        yield _row("burst refusals within 10 ms", f"{slowest:.1f} ms", met)
    for fault, group in ours.items():
        if fault != "steady" and steady is not None:
            after, usual = group.mean("after"), steady.mean("attainment")
            met = after >= usual - RECOVERY_GOAL
            text = f"{_share(after)} against {_share(usual)}"
            yield _row(f"{fault}: steady again 2 s after its end", text, met)
    greedy = ours.get("greedy")
    if greedy is not None:
        lost = greedy.mean("others_before") - greedy.mean("others_during")
        text = f"{100 * lost:.2f} points"
        yield _row("greed costs others <= 2 points", text, lost <= GREED_GOAL)
    for fault, group in ours.items():
        yield from _judge_baselines(fault, group, groups)
    breaches = sum(result.breaches for group in groups for result in group.results)
    yield _row("no breach of a contract", str(breaches), breaches == 0)


def _judge_baselines(fault: str, ours: Group, groups: Sequence[Group]) -> Iterator[str]:
    others = [each for each in groups if each.fault == fault and each.policy != OURS]
    if not others:
        return
    best = max(others, key=lambda each: each.mean("attainment"))
    cheapest = min(others, key=lambda each: each.mean("cost"))
    mine, theirs = ours.mean("attainment"), best.mean("attainment")
    text = f"{_share(mine)} against {_share(theirs)} ({best.policy})"
    yield _row(f"{fault}: attainment no lower than any baseline", text, mine >= theirs)
    mine, theirs = ours.mean("cost"), cheapest.mean("cost")
    text = f"{mine:.0f} ms against {theirs:.0f} ms ({cheapest.policy})"
    yield _row(f"{fault}: cost no higher than any baseline", text, mine <= theirs)


def _row(goal: str, measured: str, met: bool) -> str:
    return f"| {goal} | {measured} | {'yes' if met else '**no**'} |"


def _share(figure: float) -> str:
    return f"{100 * figure:.2f}%"
