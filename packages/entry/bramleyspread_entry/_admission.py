"""Whether a request is taken on or refused at once."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Protocol

from bramleyspread_core import Fault, PoolName, Reason
from bramleyspread_entry._config import EntryConfig
from bramleyspread_entry._latency import StageTimes
from bramleyspread_entry._occupancy import Occupancy, PoolState
from bramleyspread_entry._pipeline import Run
from bramleyspread_entry._shares import Shares

#: How many times its usual difference from the mean long work takes longer.
LONG_WORK = 2.0
#: Pause between two requests let through to see whether a stage is fast again.
TRIAL_PAUSE = 0.05
#: Shortest and longest time after which a refused caller may come back.
MIN_RETRY_MS = 200
MAX_RETRY_MS = 5_000
#: Change of the patience for each step of priority away from the middle one.
PRIORITY_STEP = 0.06
#: The middle priority.
MIDDLE_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not taken on."""

    #: The reason.
    fault: Fault
    #: When to come back, in milliseconds; 0 when that does not help.
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a request has before it."""

    #: Time that targets work on it, in seconds.
    work: float
    #: How far that may be off, in seconds.
    spread: float
    #: Time that it waits for them, in seconds.
    wait: float
    #: Where it waits longest.
    fullest: PoolName


class Admission(Protocol):
    """Takes requests on or refuses them, at once."""

    def judge(self, run: Run, now: float) -> Refusal | None:
        """Judge a request at its arrival; None to take it on."""


class AdmitAll:
    """The baseline: everything is taken on."""

    __slots__ = ()

    def judge(self, run: Run, now: float) -> Refusal | None:
        """Take it on.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: always None.
        """
        return None


class LoadAdmission:
    """Takes on what can finish in time, from a forecast of its waits.

    Waits may use up a part of the slack, which is the time that the request's
    own work leaves of its deadline: a small part for everybody, a large one for
    those within their fair share, so that these do not notice a burst of
    somebody else.
    """

    __slots__ = ("_config", "_occupancy", "_rng", "_shares", "_times", "_trials")

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
        self._trials: dict[tuple[str, str], float] = {}

    def judge(self, run: Run, now: float) -> Refusal | None:
        """Judge a request at its arrival.

        :param run: the request.
        :param now: monotonic seconds.
        :returns: why it is refused, or None to take it on.
        """
        brand = run.request.brand
        self._shares.asked(run.document, brand, now)
        refusal = self._judge_time(run, now) or self._judge_load(run, now)
        if refusal is None:
            self._shares.admitted(run.document, brand, now)
        return refusal

    def _judge_time(self, run: Run, now: float) -> Refusal | None:
        expected = sum(self._times.typical(key, now) or 0.0 for key in run.keys)
        if expected <= run.deadline - now:
            return None
        name = (run.document.service, run.pipeline.name)
        if now >= self._trials.get(name, 0.0):
            self._trials[name] = now + TRIAL_PAUSE
            return None
        detail = f"stages now take {expected:.1f} s together; ask with a later deadline"
        fault = Fault(Reason.DEADLINE, "admission", "-", detail)
        return Refusal(fault, self._spread(expected))

    def _judge_load(self, run: Run, now: float) -> Refusal | None:
        forecast = self._forecast(run, now)
        if isinstance(forecast, Refusal):
            return forecast
        needed = forecast.work + LONG_WORK * forecast.spread
        slack = max(0.0, run.deadline - now - needed)
        steps = MIDDLE_PRIORITY - run.request.priority
        urgency = 1.0 + PRIORITY_STEP * steps
        if forecast.wait <= slack * urgency * self._config.patience_beyond_share:
            return None
        within = self._shares.is_within(run.document, run.request.brand, now)
        if within and forecast.wait <= slack * urgency * self._config.patience:
            return None
        reason = Reason.OVERLOAD if within else Reason.SHARE
        detail = "more work waits than can be done in time; come back later"
        fault = Fault(reason, "admission", str(forecast.fullest), detail)
        return Refusal(fault, self._spread(forecast.wait))

    def _forecast(self, run: Run, now: float) -> Forecast | Refusal:
        """Forecast the time that a request's stages work on it and keep it waiting."""
        work = spread = wait = longest = 0.0
        fullest = run.pools[0]
        for pool, key in zip(run.pools, run.keys, strict=True):
            state = self._occupancy.read(pool, now)
            if not state.targets:
                fault = Fault(
                    Reason.NO_TARGET, "admission", str(pool), "no usable target"
                )
                return Refusal(fault, self._spread(1.0))
            took = self._times.work(key)
            if took is None:
                took = self._times.typical(key, now) or 0.0
            headroom = 1.0 + (work + wait) / took if took else 1.0
            waits = took * max(0.0, measure_fullness(state, headroom) - 1.0)
            work += took
            spread += self._times.spread(key)
            wait += waits
            if waits > longest:
                longest, fullest = waits, pool
        return Forecast(work, spread, wait, fullest)

    def _spread(self, seconds: float) -> int:
        """Spread callers who come back, so that they don't come together."""
        spread = round(1_000 * seconds * (0.75 + 0.5 * self._rng.random()))
        return max(MIN_RETRY_MS, min(MAX_RETRY_MS, spread))


def measure_fullness(state: PoolState, headroom: float) -> float:
    """Measure how full a pool is, for this host.

    :param state: what is believed of the pool.
    :param headroom: requests that may need the pool, earlier stages included,
        for each of its slots.
    :returns: 1 when its slots are used up: by all hosts' reported work, and by
        this host's beyond its own part; the emptier view counts.
    """
    reported = state.occupied / max(1.0, state.slots)
    own = state.own / max(1e-9, state.own_slots * headroom)
    return min(reported, own)
