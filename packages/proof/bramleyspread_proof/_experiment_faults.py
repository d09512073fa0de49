"""What goes wrong in the experiment, and when."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._fleet import Fleet
from bramleyspread_proof._virtual_host import VirtualHost

#: Part of its capacity that a deployment is loaded with.
STEADY_LOAD = 0.7
#: How much a burst multiplies the load.
BURST = 3.0
#: How much a slowed stage takes longer.
SLOWED = 5.0
#: The slowed stage.
SLOWED_POOL = "rerank"
#: One engine in so many is killed.
KILLED = 10
#: Share of the pooled connections that go silent.
SILENCED = 0.5
#: How many times its share a greedy organisation sends.
GREED = 20.0


@dataclass(frozen=True, slots=True)
class Times:
    """When a run's parts begin, in virtual seconds."""

    #: From here requests count.
    counted: float
    #: The fault begins.
    fault: float
    #: The fault ends.
    healed: float
    #: No request comes after this.
    end: float


@dataclass(slots=True)
class World:
    """What a fault can change."""

    #: Virtual time.
    agenda: Agenda
    #: The targets.
    fleet: Fleet
    #: The entry hosts.
    hosts: list[VirtualHost]
    #: Where chance comes from.
    rng: Random
    #: Requests a second for each organisation.
    rates: list[float]


def leave_alone(world: World, on: bool) -> None:
    """Change nothing: steady load."""


def burst(world: World, on: bool) -> None:
    """Multiply everybody's load."""
    factor = BURST if on else 1.0 / BURST
    world.rates[:] = [rate * factor for rate in world.rates]


def slow_stage(world: World, on: bool) -> None:
    """Slow all targets of one stage."""
    for target in world.fleet.targets.values():
        if target.pool.name == SLOWED_POOL:
            target.slowness = SLOWED if on else 1.0


def kill_engines(world: World, on: bool) -> None:
    """Kill a tenth of the engines, at least one; start them again at the end."""
    engines = [
        target
        for target in world.fleet.targets.values()
        if target.pool is world.fleet.size.engines
    ]
    for target in engines[::KILLED]:
        if on:
            target.die()
        else:
            target.rise()


def cut_zone(world: World, on: bool) -> None:
    """Cut the last availability zone off from the others."""
    world.fleet.cut_zone = world.fleet.size.zones[-1] if on else None
    world.fleet.cut_at = world.agenda.now


def silence_connections(world: World, on: bool) -> None:
    """Make half of the pooled connections silent for good."""
    if on:
        for host in world.hosts:
            host.silence(world.rng, SILENCED)


def be_greedy(world: World, on: bool) -> None:
    """Have the first organisation send many times its share of the capacity."""
    share = world.fleet.size.capacity / world.fleet.size.organisations
    usual = STEADY_LOAD * share
    world.rates[0] = GREED * share if on else usual


#: All faults by name.
FAULTS: dict[str, Callable[[World, bool], None]] = {
    "steady": leave_alone,
    "burst": burst,
    "slow-stage": slow_stage,
    "kill-engines": kill_engines,
    "cut-zone": cut_zone,
    "silent": silence_connections,
    "greedy": be_greedy,
}
