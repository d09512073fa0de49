"""Admission control: decides on arrival whether a request is admitted or refused."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Protocol

from bramleyspread_core import Fault, PoolName, Reason
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._latency import StageTimes
from bramleyspread_entry._occupancy import Occupancy, PoolState
from bramleyspread_entry._pipeline import PipelineRun
from bramleyspread_entry._shares import Shares

#: Number of mean absolute deviations added to the expected processing time, to allow
#: for requests that take longer than the mean.
PROCESSING_DEVIATIONS = 2.0
#: Shortest time between two trial requests to a pipeline whose requests are expected to
#: miss their deadline; a trial request is admitted to find out whether the stages have
#: become fast again.
TRIAL_INTERVAL_S = 0.05
#: Shortest delay after which a refused caller is told to retry.
MIN_RETRY_MS = 200
#: Longest delay after which a refused caller is told to retry.
MAX_RETRY_MS = 5_000
#: Change of the allowed waiting time for each step of priority away from the middle
#: one, as a share of it.
WAIT_FACTOR_STEP = 0.06
#: Priority at which the allowed waiting time is not changed.
MIDDLE_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and when it may be retried."""

    fault: Fault
    #: Delay before the caller may retry, in milliseconds; 0 when a retry can't succeed.
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected time that a request spends in its pipeline's stages."""

    #: Time for which targets process the request, in seconds.
    processing_s: float
    #: Mean absolute deviation of the processing time, summed over the stages, in
    #: seconds.
    deviation_s: float
    #: Time that the request waits in the queues of targets, in seconds.
    wait_s: float
    #: Pool in whose queues the request waits longest.
    bottleneck: PoolName


class Admission(Protocol):
    """Admits or refuses each request on arrival."""

    def check(self, run: PipelineRun, now: float) -> Refusal | None:
        """Return why an arriving request is refused, or None to admit it."""


class AdmitAll:
    """Baseline for comparisons: admits every request."""

    __slots__ = ()

    def check(self, run: PipelineRun, now: float) -> Refusal | None:
        """Admit the request.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: always None.
        """
        return None


class LoadAdmission:
    """Admits requests that are expected to finish before their deadline.

    The slack is the time between now and the deadline that the request's own
    processing does not need. A request is admitted when its expected waiting time
    is at most a fraction of the slack. The fraction is larger for brands within
    their fair share than for the others, so that a burst of one brand does not
    affect the other brands.
    """

    __slots__ = ("_config", "_next_trials", "_occupancy", "_rng", "_shares", "_times")

    def __init__(
        self,
        config: EntryConfig,
        occupancy: Occupancy,
        shares: Shares,
        times: StageTimes,
        rng: Random,
    ) -> None:
        self._config = config
        self._occupancy = occupancy
        self._shares = shares
        self._times = times
        self._rng = rng
        #: Time from which the next trial request is admitted, by service and pipeline.
        self._next_trials: dict[tuple[str, str], float] = {}

    def check(self, run: PipelineRun, now: float) -> Refusal | None:
        """Decide whether an arriving request is admitted.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: why it is refused, or None to admit it.
        """
        brand = run.request.brand
        self._shares.record_request(run.document, brand, now)
        refusal = self._check_deadline(run, now) or self._check_load(run, now)
        if refusal is None:
            self._shares.record_admission(run.document, brand, now)
        return refusal

    def _check_deadline(self, run: PipelineRun, now: float) -> Refusal | None:
        expected = sum(
            self._times.typical_latency(key, now) or 0.0 for key in run.latency_keys
        )
        if expected <= run.deadline - now:
            return None
        pipeline_key = (run.document.service, run.pipeline.name)
        if now >= self._next_trials.get(pipeline_key, 0.0):
            self._next_trials[pipeline_key] = now + TRIAL_INTERVAL_S
            return None
        detail = f"stages now take {expected:.1f} s together; ask with a later deadline"
        fault = Fault(Reason.DEADLINE, "admission", "-", detail)
        return Refusal(fault, self._jitter_retry_ms(expected))

    def _check_load(self, run: PipelineRun, now: float) -> Refusal | None:
        forecast = self._forecast(run, now)
        if isinstance(forecast, Refusal):
            return forecast
        needed = forecast.processing_s + PROCESSING_DEVIATIONS * forecast.deviation_s
        slack = max(0.0, run.deadline - now - needed)
        steps = MIDDLE_PRIORITY - run.request.priority
        priority_factor = 1.0 + WAIT_FACTOR_STEP * steps
        if (
            forecast.wait_s
            <= slack * priority_factor * self._config.max_wait_fraction_over_share
        ):
            return None
        within_share = self._shares.is_within(run.document, run.request.brand, now)
        if (
            within_share
            and forecast.wait_s
            <= slack * priority_factor * self._config.max_wait_fraction
        ):
            return None
        reason = Reason.OVERLOAD if within_share else Reason.SHARE
        detail = "more work waits than can be done in time; come back later"
        fault = Fault(reason, "admission", str(forecast.bottleneck), detail)
        return Refusal(fault, self._jitter_retry_ms(forecast.wait_s))

    def _forecast(self, run: PipelineRun, now: float) -> Forecast | Refusal:
        """Forecast processing and waiting time over all stages of a request.

        Refuses the request when a stage's pool has no usable target.
        """
        processing = deviation = wait = longest_wait = 0.0
        bottleneck = run.pools[0]
        for pool, key in zip(run.pools, run.latency_keys, strict=True):
            state = self._occupancy.estimate(pool, now)
            if not state.targets:
                fault = Fault(
                    Reason.NO_TARGET, "admission", str(pool), "no usable target"
                )
                return Refusal(fault, self._jitter_retry_ms(1.0))
            stage_processing = self._times.processing_time(key)
            if stage_processing is None:
                stage_processing = self._times.typical_latency(key, now) or 0.0
            headroom = (
                1.0 + (processing + wait) / stage_processing
                if stage_processing
                else 1.0
            )
            stage_wait = stage_processing * max(
                0.0, estimate_utilisation(state, headroom) - 1.0
            )
            processing += stage_processing
            deviation += self._times.processing_deviation(key)
            wait += stage_wait
            if stage_wait > longest_wait:
                longest_wait, bottleneck = stage_wait, pool
        return Forecast(processing, deviation, wait, bottleneck)

    def _jitter_retry_ms(self, seconds: float) -> int:
        """Make a retry delay with jitter, so that callers don't all retry at once.

        :param seconds: the mean delay.
        :returns: milliseconds.
        """
        delay_ms = round(1_000 * seconds * (0.75 + 0.5 * self._rng.random()))
        return max(MIN_RETRY_MS, min(MAX_RETRY_MS, delay_ms))


def estimate_utilisation(state: PoolState, headroom: float) -> float:
    """Estimate a pool's utilisation from what this host knows.

    :param state: the estimated state of the pool.
    :param headroom: requests that this host may hold for each of its slots; more
        than 1, because requests in earlier stages count as needing the pool too.
    :returns: the lower one of two ratios, each 1 when the slots are used up:
        estimated requests of all hosts to all slots, and this host's requests to
        its own part of the slots.
    """
    overall_utilisation = state.requests / max(1.0, state.slots)
    own_utilisation = state.own_requests / max(1e-9, state.own_slots * headroom)
    return min(overall_utilisation, own_utilisation)
