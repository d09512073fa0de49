"""The measured results of a run of the experiment."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec


class RequestRecord(msgspec.Struct):
    """A request of a run."""

    #: Virtual time of its arrival, in seconds.
    arrived: float
    #: Index of its organisation.
    organisation: int
    #: Virtual time of its answer, in seconds; negative if there is none.
    answered: float = -1.0
    #: ``whole``, ``refused``, ``failed``, ``unknown`` or ``late``; empty if none.
    answer: str = ""


class Result(msgspec.Struct, frozen=True):
    """Measured results of one run of the experiment."""

    #: Name of the deployment.
    size: str
    #: Name of the fault.
    fault: str
    #: Name of the set of policies.
    policy: str
    #: Random seed.
    seed: int
    #: Number of measured requests.
    requests: int
    #: Attainment (share of complete answers) over all requests, and of those before,
    #: during and from 2 s after the fault.
    attainment: float
    before: float
    during: float
    after: float
    #: Attainment of all organisations but the first, before and during the fault.
    others_before: float
    others_during: float
    #: Time from the end of the fault to the arrival of the last request without a
    #: complete answer, in seconds.
    recovery: float
    #: Complete answers per second during the fault, as a share of the capacity.
    goodput: float
    #: Longest time to a refusal, in milliseconds.
    refusal_ms: float
    #: Number of answers by kind.
    answers: dict[str, int]
    #: Retries and hedges as a share of the first attempts.
    added: float
    #: Target time per complete answer by stage, in milliseconds.
    cost_ms: dict[str, float]
    #: Share of prompt tokens that were cached.
    cached: float
    #: Number of breaches of contracts.
    breaches: int
    #: Attainment by second of arrival.
    seconds: tuple[float, ...]

    @property
    def cost(self) -> float:
        """Target time per complete answer over all stages, in milliseconds."""
        return sum(self.cost_ms.values())


def compute_attainment(
    records: Iterable[RequestRecord], is_counted: Callable[[RequestRecord], bool]
) -> float:
    """Compute the share of requests with a complete answer.

    :param records: the requests.
    :param is_counted: selects the requests to count.
    :returns: the share, from 0 to 1; 1 if no request is counted.
    """
    counted = [record for record in records if is_counted(record)]
    whole = sum(record.answer == "whole" for record in counted)
    return whole / len(counted) if counted else 1.0
