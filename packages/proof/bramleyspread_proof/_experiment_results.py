"""What a run of the experiment measured."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec


class Record(msgspec.Struct):
    """One request of a run."""

    #: When it came, in virtual seconds.
    arrived: float
    #: The number of its organisation.
    organisation: int
    #: When it was answered, in virtual seconds; negative when never.
    answered: float = -1.0
    #: ``whole``, ``refused``, ``failed`` or ``unknown``.
    answer: str = ""


class Result(msgspec.Struct, frozen=True):
    """One run."""

    #: The deployment's name.
    size: str
    #: The fault's name.
    fault: str
    #: The policies' name.
    policy: str
    #: The seed.
    seed: int
    #: Requests counted.
    requests: int
    #: Attainment of all, and before, during and from 2 s after the fault.
    attainment: float
    before: float
    during: float
    after: float
    #: The same for all but the first organisation, before and during.
    others_before: float
    others_during: float
    #: From the fault's end to the arrival of the last request that failed, seconds.
    recovery: float
    #: Whole answers a second during the fault, as a share of the capacity.
    goodput: float
    #: Slowest refusal, in milliseconds.
    refusal_ms: float
    #: Answers by kind.
    answers: dict[str, int]
    #: Attempts beyond the first of a stage, as a share of the first ones.
    added: float
    #: Target milliseconds a whole answer, by stage.
    cost_ms: dict[str, float]
    #: Share of prompt tokens found in a cache.
    cached: float
    #: Breaches of contracts.
    breaches: int
    #: Attainment of the requests that came in each second.
    seconds: tuple[float, ...]

    @property
    def cost(self) -> float:
        """Target milliseconds a whole answer, over all stages."""
        return sum(self.cost_ms.values())


def attain(records: Iterable[Record], counts: Callable[[Record], bool]) -> float:
    """Find the share of requests with a whole answer.

    :param records: requests.
    :param counts: which of them count.
    :returns: from 0 to 1; 1 when none counts.
    """
    chosen = [record for record in records if counts(record)]
    whole = sum(record.answer == "whole" for record in chosen)
    return whole / len(chosen) if chosen else 1.0
