"""Benchmark of an entry host's choice of target."""

from __future__ import annotations

import time
from collections.abc import Iterator
from random import Random

from bramleyspread_core import (
    Address,
    Announcement,
    Directory,
    Load,
    LoadedModel,
    PoolName,
    ServiceName,
    Stage,
    TargetName,
    TargetView,
    ZoneName,
)
from bramleyspread_entry import EntryConfig, Policies, TargetRequirements
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._figures import Figure
from bramleyspread_proof._fleet import Fleet
from bramleyspread_proof._sizes import LIMA

#: Numbers of targets for which a choice is measured; the target's bound is set for
#: the second one.
COUNTS = (100, 1_150, 11_000)
#: Largest processor time of one choice, in microseconds.
CHOICE_BOUND_US = 50.0
#: Largest ratio between a choice among the most targets and one among the fewest.
GROWTH_BOUND = 1.5
#: Number of measurements per number of targets, of which the fastest counts.
REPEATS = 5
#: Number of choices in each measurement.
CHOICES = 5_000


def run() -> Iterator[Figure]:
    """Measure the processor time of a choice of target by the number of targets.

    Half of the targets are in the host's zone, loads differ, and choices have a prefix.

    :returns: one figure per number of targets, and the ratio of the last to the first.
    """
    times = [min(_time_choice(count) for _ in range(REPEATS)) for count in COUNTS]
    for count, duration_us in zip(COUNTS, times, strict=True):
        name = f"choose among {count}"
        yield Figure.at_most("entry", name, duration_us, "us", CHOICE_BOUND_US)
    growth = times[-1] / times[0]
    yield Figure.at_most(
        "entry", "choice, most to fewest", growth, "ratio", GROWTH_BOUND
    )


def _time_choice(count: int) -> float:
    """Measure the processor time of one choice, in microseconds."""
    rng = Random(1)
    config = EntryConfig(host="entry-0", zone="miraflores", incarnation=1)
    directory: Directory = Fleet(LIMA, Scheduler(), rng).directories["miraflores"]
    choice = Policies.from_config(config, directory, rng).target_selector
    views = [_make_view(number, count, rng) for number in range(count)]
    stage = Stage(name="generate", pool="engines", model="model")
    pool = PoolName(ServiceName("service"), "engines")
    needs = [
        TargetRequirements(pool, stage, f"org/brand/{n}", frozenset())
        for n in range(500)
    ]
    began = time.process_time()
    for number in range(CHOICES):
        need, now = needs[number % len(needs)], 1.0 + number * 0.001
        view = choice.select(need, views, now)
        if view is not None:
            target = view.announcement.target
            choice.record_sent(target, now)
            choice.record_answer(target, need.prefix, now)
            choice.record_end(target, now)
    return (time.process_time() - began) / CHOICES * 1e6


def _make_view(number: int, count: int, rng: Random) -> TargetView:
    zone = "miraflores" if number < count / 2 else "callao"
    announcement = Announcement(
        target=TargetName(f"engine-{number}"),
        incarnation=1,
        sequence=1,
        pool=PoolName(ServiceName("service"), "engines"),
        address=Address("10.0.0.1", number + 1),
        zone=ZoneName(zone),
        load=Load(running=rng.randrange(4), slots=4),
        models=(LoadedModel("model", "1"),),
    )
    return TargetView(announcement, 0.5)
