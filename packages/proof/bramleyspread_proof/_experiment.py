"""Simulation that compares policies under load and faults, in virtual time.

It runs the real entry decisions against a queueing model of the targets.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random

import msgspec

from bramleyspread_core import (
    Answer,
    Brand,
    CallerRequest,
    ContractWatch,
    Payload,
    RequestId,
    ServiceName,
)
from bramleyspread_entry import EntryConfig, EntryDecisions
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._experiment_faults import (
    FAULTS,
    STEADY_LOAD,
    ExperimentState,
    RunTimes,
)
from bramleyspread_proof._experiment_policies import POLICIES, UNBOUNDED_ATTEMPTS
from bramleyspread_proof._experiment_results import (
    RequestRecord,
    Result,
    compute_attainment,
)
from bramleyspread_proof._fleet import Fleet
from bramleyspread_proof._simulated_host import SimulatedHost
from bramleyspread_proof._sizes import (
    ASK,
    DEADLINE_MS,
    NON_IDEMPOTENT_SHARE,
    PAY,
    SERVICE,
    Size,
)

#: Number of distinct prompts of each brand.
PROMPTS_PER_BRAND = 10
#: Virtual time after the last request within which all requests finish, in seconds.
DRAIN_TIME_S = 15.0
#: Time after the end of a fault in which the system must recover, in seconds.
RECOVERY_TIME_S = 2.0
#: Time after the start of a fault in which requests sent before it are answered and
#: which the goodput leaves out, in seconds.
FILL_TIME_S = 3.0


@dataclass(frozen=True, slots=True)
class RunConfig:
    """The configuration of one run."""

    #: Size of the deployment.
    size: Size
    #: Name of the fault.
    fault: str
    #: Name of the set of policies.
    policy: str
    #: Random seed.
    seed: int
    #: Times at which the phases of the run begin.
    times: RunTimes


class Experiment:
    """One run of the simulation."""

    def __init__(self, config: RunConfig) -> None:
        self._config = config
        size = config.size
        self._scheduler = Scheduler()
        self._records: dict[RequestId, RequestRecord] = {}
        self._brands = size.list_brands()
        self._arrival_rng = Random(f"arrivals {config.seed}")
        fleet = Fleet(size, self._scheduler, Random(f"targets {config.seed}"))
        self._watch = ContractWatch()
        hosts = [self._make_host(number, fleet) for number in range(size.hosts)]
        steady_rate = STEADY_LOAD * size.capacity / size.organisations
        rates = [steady_rate] * size.organisations
        rng = Random(f"faults {config.seed}")
        self._state = ExperimentState(self._scheduler, fleet, hosts, rng, rates)
        self._full: tuple[float, int] = (0.0, 0)

    def run(self) -> Result:
        """Run the simulation and compute its result."""
        times = self._config.times
        fault = FAULTS[self._config.fault]
        self._scheduler.call_at(times.fault_start, lambda: fault(self._state, True))
        self._scheduler.call_at(times.fault_end, lambda: fault(self._state, False))
        self._scheduler.call_later(0.0, self._handle_arrival)
        self._scheduler.run_until(times.arrivals_end + DRAIN_TIME_S)
        return self._measure()

    def _make_host(self, number: int, fleet: Fleet) -> SimulatedHost:
        run_config = self._config
        zone = run_config.size.zones[number % len(run_config.size.zones)]
        name = f"entry-{number}"
        unbounded = run_config.policy == "random-retry"
        config = EntryConfig(
            host=name,
            zone=zone,
            incarnation=1,
            max_stage_attempts=UNBOUNDED_ATTEMPTS if unbounded else 4,
        )
        if run_config.policy != "ours":
            config = msgspec.structs.replace(config, max_in_flight=10**9)
        directory = fleet.directories[zone]
        rng = Random(f"host {run_config.seed} {number}")
        policies = POLICIES[run_config.policy](config, directory, rng)
        decisions = EntryDecisions.from_policies(
            config, directory, self._watch, policies
        )
        return SimulatedHost(
            name, zone, decisions, fleet, self._scheduler, self._record_answer
        )

    def _handle_arrival(self) -> None:
        """Send one request and schedule the next one."""
        state, rng = self._state, self._arrival_rng
        gap = rng.expovariate(sum(state.rates))
        if self._scheduler.now + gap < self._config.times.arrivals_end:
            self._scheduler.call_later(gap, self._handle_arrival)
        organisation = rng.choices(range(len(state.rates)), state.rates)[0]
        brand = self._brands[2 * organisation + (rng.random() < 1 / 3)]
        host = rng.choice(state.hosts)
        request = self._make_request(brand, host, rng)
        record = RequestRecord(self._scheduler.now, organisation)
        self._records[request.request] = record
        host.handle_request(request)

    def _make_request(
        self, brand: Brand, host: SimulatedHost, rng: Random
    ) -> CallerRequest:
        is_payment = rng.random() < NON_IDEMPOTENT_SHARE
        request_id = host.ids.next_request()
        prompt = f'"prompt {rng.randrange(PROMPTS_PER_BRAND)}"'
        return CallerRequest(
            request=request_id,
            service=ServiceName(SERVICE),
            pipeline=PAY if is_payment else ASK,
            brand=brand,
            input=Payload(prompt.encode()),
            key=request_id if is_payment else "",
        )

    def _record_answer(self, request: RequestId, answer: Answer) -> None:
        record = self._records[request]
        record.answered = self._scheduler.now
        record.answer = type(answer).__name__.removeprefix("Answer").lower()
        if record.answered > record.arrived + DEADLINE_MS / 1_000 + 1e-9:
            record.answer = "late"

    def _measure(self) -> Result:
        config, times = self._config, self._config.times
        records = [
            record
            for record in self._records.values()
            if record.arrived >= times.measured_from
        ]
        fault_end, fault_start = times.fault_end, times.fault_start
        before_until = fault_start - DEADLINE_MS / 1_000
        failed = [r.arrived for r in records if r.answer != "whole"]
        failed_later = [
            arrived - fault_end for arrived in failed if arrived >= fault_end
        ]
        refusals = [r.answered - r.arrived for r in records if r.answer == "refused"]
        seconds = [
            compute_attainment(records, lambda r, s=second: s <= r.arrived < s + 1)  # type: ignore[misc]
            for second in range(int(times.measured_from), int(times.arrivals_end))
        ]
        costs, cached = self._measure_costs()
        return Result(
            size=config.size.name,
            fault=config.fault,
            policy=config.policy,
            seed=config.seed,
            requests=len(records),
            attainment=compute_attainment(records, lambda r: True),
            before=compute_attainment(records, lambda r: r.arrived < before_until),
            during=compute_attainment(
                records, lambda r: fault_start <= r.arrived < fault_end
            ),
            after=compute_attainment(
                records, lambda r: r.arrived >= fault_end + RECOVERY_TIME_S
            ),
            others_before=compute_attainment(
                records, lambda r: r.organisation > 0 and r.arrived < before_until
            ),
            others_during=compute_attainment(
                records,
                lambda r: r.organisation > 0 and fault_start <= r.arrived < fault_end,
            ),
            recovery=max(failed_later, default=0.0),
            goodput=self._measure_goodput(),
            refusal_ms=1_000 * max(refusals, default=0.0),
            answers=dict(Counter(record.answer or "none" for record in records)),
            added=self._measure_added_attempts(),
            cost_ms=costs,
            cached=cached,
            breaches=self._watch.count,
            seconds=tuple(seconds),
        )

    def _measure_goodput(self) -> float:
        """Compute complete answers during the fault as a share of the capacity."""
        times = self._config.times
        start = times.fault_start + FILL_TIME_S
        whole = sum(
            record.answer == "whole" and start <= record.answered < times.fault_end
            for record in self._records.values()
        )
        size = self._config.size
        engines = [
            target
            for target in self._state.fleet.targets.values()
            if target.pool is size.engines
        ]
        jobs = sum(target.full_batch_jobs for target in engines)
        if not jobs:
            return 0.0
        mean = sum(target.full_batch_s for target in engines) / jobs
        capacity = len(engines) * size.engines.slots / mean
        return whole / (times.fault_end - start) / capacity

    def _measure_costs(self) -> tuple[dict[str, float], float]:
        stages: Counter[str] = Counter()
        tokens, cached = 0, 0
        for host in self._state.hosts:
            for row in host.decisions.cost_report().rows:
                stages[row.stage] += row.cost.target_us
                tokens += row.cost.tokens_in
                cached += row.cost.tokens_cached
        whole = sum(r.answer == "whole" for r in self._records.values())
        costs = {name: us / 1_000 / max(1, whole) for name, us in stages.items()}
        return costs, cached / max(1, tokens)

    def _measure_added_attempts(self) -> float:
        first, added = 0, 0
        for host in self._state.hosts:
            counts = host.decisions.count_events()
            first += counts.get("attempt-first", 0)
            added += counts.get("attempt-retry", 0) + counts.get("attempt-hedge", 0)
        return added / max(1, first)
