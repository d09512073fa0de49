"""How fast model engines read prompts, learnt from the time to the first event.

Until enough answers have been seen, the initial estimate holds. It may be wrong by the
factors of :data:`MAX_ERRORS` at most; what is learnt stays within them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import msgspec

#: Factors by which the initial estimate of each figure of an engine's speed may be too
#: large or too small. The last one is that of the effect of other requests: up to 20 ms
#: each at an engine with few slots, nearly nothing at one with many.
MAX_ERRORS = (10.0, 10.0, 10.0, 40.0)
#: Number of answers of a service's engines from which on they are used.
MIN_SAMPLES = 200
#: Number of answers after which the estimate for a service is found anew.
SERVICE_INTERVAL = 10
#: Maximum factor by which one answer may differ from its estimate; larger differences
#: count as this one, so that a stalled link doesn't change the estimate by itself.
MAX_DIFFERENCE = 4.0
#: Share of its weight that an earlier answer keeps when another one comes: of the same
#: engine, and of any engine of the service.
ENGINE_RETENTION, SERVICE_RETENTION = 0.98, 0.999
#: How many answers the estimate before them outweighs, by figure: the initial estimate
#: for a service, and the service's estimate for an engine. The effect of other requests
#: is weak, so that a single engine's answers hardly show it.
SERVICE_PRIOR = (0.5, 0.5, 0.5, 6.0)
ENGINE_PRIOR = (4.0, 4.0, 8.0, 40.0)
#: Units of the figures in which the equations are solved: tokens, requests.
TOKENS_UNIT, REQUESTS_UNIT = 1_000.0, 10.0
#: Largest values of a sample that are possible.
MAX_TOKENS, MAX_REQUESTS, MAX_ELAPSED_MS = 10_000_000.0, 100_000, 600_000.0
#: Maximum number of services, and of engines of one service, that are kept.
MAX_SERVICES, MAX_ENGINES = 200, 2_000

_Value = TypeVar("_Value")


class EngineSpeed(msgspec.Struct, frozen=True):
    """How long an engine takes until the first event of an answer.

    The defaults are the initial estimate.

    >>> EngineSpeed().estimate_ms(6_000, 20)
    360.0
    """

    #: Time for an empty prompt at an idle engine, in milliseconds.
    first_event_ms: float = 150.0
    #: Number of prompt tokens that it reads in a millisecond.
    tokens_per_ms: float = 30.0
    #: Time that each other request at the engine adds, in milliseconds.
    request_ms: float = 0.5

    def estimate_ms(self, tokens: float, requests: float) -> float:
        """Estimate the time to the first event, in milliseconds.

        :param tokens: number of tokens to read before it, also of other requests.
        :param requests: number of other requests at the engine.
        """
        reading_ms = tokens / self.tokens_per_ms
        return self.first_event_ms + reading_ms + requests * self.request_ms


class ReadingSample(msgspec.Struct, frozen=True):
    """Time to the first event of one answer, and what the engine had to do for it."""

    service: str
    #: Number of tokens of its prompt that it had to read.
    tokens: float
    #: Number of tokens of other prompts whose answers had not begun.
    tokens_ahead: float
    #: Number of other requests at the engine when this one was placed.
    requests: int
    elapsed_ms: float

    @property
    def is_possible(self) -> bool:
        """Whether an engine may have answered so."""
        return (
            0.0 <= self.tokens <= MAX_TOKENS
            and 0.0 <= self.tokens_ahead <= MAX_TOKENS
            and 0 <= self.requests <= MAX_REQUESTS
            and 0.0 < self.elapsed_ms <= MAX_ELAPSED_MS
        )


class EngineSpeeds:
    """The speeds of the engines of all services.

    The engines of a service are expected to be alike, as far as their own answers don't
    show otherwise.
    """

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceSpeeds] = {}

    def record(self, engine: str, sample: ReadingSample, slowdown: float) -> None:
        """Record the time to the first event of an engine's answer.

        :param engine: id of the engine.
        :param sample: the answer.
        :param slowdown: how many times as long as usual its work took by its own word.
        """
        if not sample.is_possible or not slowdown > 0.0:
            return
        service = self._services.get(sample.service)
        if service is None:
            _drop_oldest(self._services, MAX_SERVICES)
            service = self._services[sample.service] = _ServiceSpeeds()
        service.record(engine, sample, slowdown)

    def find(self, service: str, engine: str = "") -> EngineSpeed:
        """Find the speed of an engine, apart from a slowdown that it reports.

        :param service: its service.
        :param engine: id of the engine; empty for any one of the service.
        """
        known = self._services.get(service)
        return known.find(engine) if known is not None else _INITIAL


class _ServiceSpeeds:
    """The speeds of one service's engines."""

    __slots__ = ("_answers", "_by_engine", "_samples", "_speed", "_speeds")

    def __init__(self) -> None:
        self._answers = _Answers(SERVICE_RETENTION)
        self._by_engine: dict[str, _Answers] = {}
        self._samples = 0
        self._speed = _INITIAL
        self._speeds: dict[str, EngineSpeed] = {}

    def find(self, engine: str) -> EngineSpeed:
        if self._samples < MIN_SAMPLES:
            return _INITIAL
        return self._speeds.get(engine, self._speed)

    def record(self, engine: str, sample: ReadingSample, slowdown: float) -> None:
        answers = self._by_engine.get(engine)
        if answers is None:
            for removed in _drop_oldest(self._by_engine, MAX_ENGINES):
                self._speeds.pop(removed, None)
            answers = self._by_engine[engine] = _Answers(ENGINE_RETENTION)
        known = self._speeds.get(engine, self._speed)
        tokens = sample.tokens + sample.tokens_ahead
        estimated_ms = known.estimate_ms(tokens, sample.requests)
        elapsed_ms = min(
            max(sample.elapsed_ms / slowdown, estimated_ms / MAX_DIFFERENCE),
            estimated_ms * MAX_DIFFERENCE,
        )
        self._samples += 1
        self._answers.add(sample, elapsed_ms)
        if self._samples % SERVICE_INTERVAL == 0:
            self._speed = self._answers.estimate(_INITIAL, SERVICE_PRIOR)
        answers.add(sample, elapsed_ms)
        self._speeds[engine] = answers.estimate(self._speed, ENGINE_PRIOR)


class _Answers:
    """Sums over answers, from which the method of least squares finds a speed.

    Each earlier answer counts a little less than the next one. The time for tokens of
    other prompts is found apart and not used: some of them have been read already, so
    it would make reading look faster than it is.
    """

    __slots__ = ("_products", "_retention", "_squares")

    def __init__(self, retention: float) -> None:
        self._retention = retention
        # Products of the figures with each other, and with the time to the first event.
        self._squares = [[0.0] * len(MAX_ERRORS) for _ in MAX_ERRORS]
        self._products = [0.0] * len(MAX_ERRORS)

    def add(self, sample: ReadingSample, elapsed_ms: float) -> None:
        """Add an answer."""
        retention = self._retention
        values = (
            1.0,
            sample.tokens / TOKENS_UNIT,
            sample.tokens_ahead / TOKENS_UNIT,
            sample.requests / REQUESTS_UNIT,
        )
        self._squares = [
            [retention * x + value * y for x, y in zip(row, values, strict=True)]
            for row, value in zip(self._squares, values, strict=True)
        ]
        self._products = [
            retention * each + value * elapsed_ms
            for each, value in zip(self._products, values, strict=True)
        ]

    def estimate(self, before: EngineSpeed, weights: Sequence[float]) -> EngineSpeed:
        """Estimate the speed.

        :param before: the estimate without these answers.
        :param weights: how many answers it outweighs, by figure.
        """
        known = _list_figures(before)
        matrix = [list(row) for row in self._squares]
        for at, weight in enumerate(weights):
            matrix[at][at] += weight
        vector = [
            product + weight * each
            for product, weight, each in zip(
                self._products, weights, known, strict=True
            )
        ]
        solved = _solve(matrix, vector)
        first, own, _, request = map(
            _bound, solved, _list_figures(_INITIAL), MAX_ERRORS
        )
        return EngineSpeed(first, TOKENS_UNIT / own, request / REQUESTS_UNIT)


def _list_figures(speed: EngineSpeed) -> tuple[float, ...]:
    """List the figures of a speed as the equations have them, in milliseconds."""
    token_ms = TOKENS_UNIT / speed.tokens_per_ms
    request_ms = speed.request_ms * REQUESTS_UNIT
    return speed.first_event_ms, token_ms, token_ms, request_ms


def _solve(matrix: list[list[float]], vector: list[float]) -> list[float]:
    """Solve linear equations with a symmetric, positive definite matrix, in place.

    >>> _solve([[2.0, 1.0], [1.0, 3.0]], [4.0, 7.0])
    [1.0, 2.0]
    """
    size = len(vector)
    for at, row in enumerate(matrix):
        for below in range(at + 1, size):
            factor = matrix[below][at] / row[at]
            for column in range(at, size):
                matrix[below][column] -= factor * row[column]
            vector[below] -= factor * vector[at]
    solved = [0.0] * size
    for at in reversed(range(size)):
        known = sum(matrix[at][x] * solved[x] for x in range(at + 1, size))
        solved[at] = (vector[at] - known) / matrix[at][at]
    return solved


def _bound(figure: float, initial: float, error: float) -> float:
    return min(max(figure, initial / error), initial * error)


def _drop_oldest(table: dict[str, _Value], limit: int) -> tuple[str, ...]:
    """Make room for an entry of a table; return the key that is dropped, if any."""
    if len(table) < limit:
        return ()
    oldest = next(iter(table))
    del table[oldest]
    return (oldest,)


_INITIAL = EngineSpeed()
