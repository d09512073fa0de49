"""The faults that the experiment injects."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._fleet import Fleet
from bramleyspread_proof._simulated_host import SimulatedHost

#: Load of a deployment as a share of its capacity.
STEADY_LOAD = 0.7
#: Factor by which a burst multiplies the load.
BURST_FACTOR = 3.0
#: Factor by which the run times of a slowed stage are multiplied.
SLOW_FACTOR = 5.0
#: Pool of the slowed stage.
SLOW_POOL = "rerank"
#: Number of engines of which one is killed.
ENGINES_PER_KILL = 10
#: Share of the pooled connections that go silent: they lose all data without a reset.
SILENT_SHARE = 0.5
#: Load of the overloading organisation as a multiple of its share of the capacity.
GREEDY_FACTOR = 20.0


@dataclass(frozen=True, slots=True)
class RunTimes:
    """The virtual times at which the phases of a run begin, in seconds."""

    #: Requests that arrive from this time on are measured.
    measured_from: float
    #: Start of the fault.
    fault_start: float
    #: End of the fault.
    fault_end: float
    #: No requests arrive after this time.
    arrivals_end: float


@dataclass(slots=True)
class ExperimentState:
    """The state of a run that a fault can change."""

    #: Scheduler of the run, which holds the virtual time.
    scheduler: Scheduler
    #: The targets.
    fleet: Fleet
    #: The entry hosts.
    hosts: list[SimulatedHost]
    #: Random source of the faults.
    rng: Random
    #: Requests per second of each organisation.
    rates: list[float]


def apply_no_fault(state: ExperimentState, active: bool) -> None:
    """Inject no fault, so that the load stays steady."""


def multiply_load(state: ExperimentState, active: bool) -> None:
    """Multiply the load of all organisations, as in a burst."""
    factor = BURST_FACTOR if active else 1.0 / BURST_FACTOR
    state.rates[:] = [rate * factor for rate in state.rates]


def slow_stage(state: ExperimentState, active: bool) -> None:
    """Slow down all targets of one stage."""
    for target in state.fleet.targets.values():
        if target.pool.name == SLOW_POOL:
            target.slow_factor = SLOW_FACTOR if active else 1.0


def kill_engines(state: ExperimentState, active: bool) -> None:
    """Kill a tenth of the engines, at least one; restart them at the end."""
    engines = [
        target
        for target in state.fleet.targets.values()
        if target.pool is state.fleet.size.engines
    ]
    for target in engines[::ENGINES_PER_KILL]:
        if active:
            target.kill()
        else:
            target.restart()


def cut_zone(state: ExperimentState, active: bool) -> None:
    """Cut the last availability zone off from the others."""
    state.fleet.cut_zone = state.fleet.size.zones[-1] if active else None
    state.fleet.cut_at = state.scheduler.now


def silence_connections(state: ExperimentState, active: bool) -> None:
    """Let half of the pooled connections lose all data until the host drops them."""
    if active:
        for host in state.hosts:
            host.silence(state.rng, SILENT_SHARE)


def overload_one_organisation(state: ExperimentState, active: bool) -> None:
    """Let the first organisation send many times its share of the capacity."""
    share = state.fleet.size.capacity / state.fleet.size.organisations
    steady_rate = STEADY_LOAD * share
    state.rates[0] = GREEDY_FACTOR * share if active else steady_rate


#: All faults by name. The function is called with True when the fault starts and with
#: False when it ends.
FAULTS: dict[str, Callable[[ExperimentState, bool], None]] = {
    "steady": apply_no_fault,
    "burst": multiply_load,
    "slow-stage": slow_stage,
    "kill-engines": kill_engines,
    "cut-zone": cut_zone,
    "silent": silence_connections,
    "greedy": overload_one_organisation,
}
