"""The report of the experiment: tables of results and of goals met or missed."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from bramleyspread_proof._experiment_results import Result

#: Minimum attainment (share of requests with a complete answer) at steady load.
STEADY_GOAL = 0.999
#: Minimum goodput (rate of complete answers) in a burst, as a share of the capacity.
GOODPUT_GOAL = 0.95
#: Maximum time to a refusal, in milliseconds.
REFUSAL_GOAL_MS = 10.0
#: Maximum drop of attainment after a fault below that at steady load.
RECOVERY_GOAL = 0.001
#: Maximum loss of attainment of the others when one organisation overloads the system.
GREEDY_GOAL = 0.02

#: Name in the results of the policies of the product, as opposed to the baselines.
PRODUCT_POLICIES = "ours"
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
    """Runs that differ only in their seeds."""

    #: Name of the deployment.
    size: str
    #: Name of the fault.
    fault: str
    #: Name of the set of policies.
    policy: str
    #: The runs.
    results: tuple[Result, ...]

    def mean(self, figure: str) -> float:
        """Compute the mean of a figure over the runs.

        :param figure: name of a numeric field of :class:`Result`.
        :returns: the mean.
        """
        values = [float(getattr(result, figure)) for result in self.results]
        return sum(values) / len(values)

    def mean_costs(self) -> dict[str, float]:
        """Compute the mean target time per answer of each stage, in milliseconds."""
        names = self.results[0].cost_ms
        return {
            name: sum(each.cost_ms.get(name, 0.0) for each in self.results)
            / len(self.results)
            for name in names
        }


def group_results(results: Sequence[Result]) -> list[Group]:
    """Group the runs that differ only in their seeds.

    :param results: all runs, in any order.
    :returns: the groups, in the order of their first runs.
    """
    found: dict[tuple[str, str, str], list[Result]] = {}
    for result in results:
        key = (result.size, result.fault, result.policy)
        found.setdefault(key, []).append(result)
    return [Group(*key, tuple(runs)) for key, runs in found.items()]


def format_table(groups: Sequence[Group]) -> Iterator[str]:
    """Format the table of a deployment.

    :param groups: the groups of the deployment.
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


def check_goals(groups: Sequence[Group]) -> Iterator[str]:
    """Compare the results of a deployment with the goals.

    :param groups: the groups of the deployment.
    :returns: lines of Markdown, a table row per goal.
    """
    product_groups = {
        group.fault: group for group in groups if group.policy == PRODUCT_POLICIES
    }
    steady, burst = product_groups.get("steady"), product_groups.get("burst")
    yield "| goal | measured | met |"
    yield "| --- | --- | --- |"
    if steady is not None:
        figure = steady.mean("attainment")
        yield _format_row(
            "steady attainment >= 99.9%", _format_share(figure), figure >= STEADY_GOAL
        )
    if burst is not None:
        figure = burst.mean("goodput")
        met = figure >= GOODPUT_GOAL
        yield _format_row(
            "burst goodput >= 95% of capacity", _format_share(figure), met
        )
        slowest = max(result.refusal_ms for result in burst.results)
        met = slowest <= REFUSAL_GOAL_MS
        yield _format_row("burst refusals within 10 ms", f"{slowest:.1f} ms", met)
    for fault, group in product_groups.items():
        if fault != "steady" and steady is not None:
            after, steady_share = group.mean("after"), steady.mean("attainment")
            met = after >= steady_share - RECOVERY_GOAL
            text = f"{_format_share(after)} against {_format_share(steady_share)}"
            yield _format_row(f"{fault}: steady again 2 s after its end", text, met)
    greedy = product_groups.get("greedy")
    if greedy is not None:
        lost = greedy.mean("others_before") - greedy.mean("others_during")
        text = f"{100 * lost:.2f} points"
        yield _format_row("greed costs others <= 2 points", text, lost <= GREEDY_GOAL)
    for fault, group in product_groups.items():
        yield from _compare_with_baselines(fault, group, groups)
    breaches = sum(result.breaches for group in groups for result in group.results)
    yield _format_row("no breach of a contract", str(breaches), breaches == 0)


def _compare_with_baselines(
    fault: str, product: Group, groups: Sequence[Group]
) -> Iterator[str]:
    baselines = [
        each
        for each in groups
        if each.fault == fault and each.policy != PRODUCT_POLICIES
    ]
    if not baselines:
        return
    best = max(baselines, key=lambda each: each.mean("attainment"))
    cheapest = min(baselines, key=lambda each: each.mean("cost"))
    own, baseline = product.mean("attainment"), best.mean("attainment")
    text = f"{_format_share(own)} against {_format_share(baseline)} ({best.policy})"
    yield _format_row(
        f"{fault}: attainment no lower than any baseline", text, own >= baseline
    )
    own, baseline = product.mean("cost"), cheapest.mean("cost")
    text = f"{own:.0f} ms against {baseline:.0f} ms ({cheapest.policy})"
    yield _format_row(
        f"{fault}: cost no higher than any baseline", text, own <= baseline
    )


def _format_row(goal: str, measured: str, met: bool) -> str:
    return f"| {goal} | {measured} | {'yes' if met else '**no**'} |"


def _format_share(figure: float) -> str:
    return f"{100 * figure:.2f}%"
