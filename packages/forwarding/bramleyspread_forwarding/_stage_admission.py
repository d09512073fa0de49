"""Refusal of requests at arrival when a later stage has no capacity for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from bramleyspread_forwarding._shards import ShardId
from bramleyspread_forwarding._stage_load import MAX_OVERLOAD_S, MIN_ADMITTED, StageLoad

#: Time after which a load that a batching host told has half its weight, in seconds.
HALF_LIFE_S = 0.5
#: Time after which it is forgotten, in seconds.
EXPIRY_S = 4.0
#: Minimum time after which a refused caller may come back, in seconds.
MIN_RETURN_S = 0.5


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request whose stages may run."""

    #: By service, the number of offered requests for which the request stands: the
    #: service's batching host sees only those that are admitted.
    weights: Mapping[str, float] = {}


class RefusedRequest(msgspec.Struct, frozen=True):
    """A request that is refused because a stage is full."""

    #: The service of that stage.
    service: str
    #: Share of such requests that this host admits now.
    share: float
    #: Expected wait there, in milliseconds.
    wait_ms: float
    #: Time for which its overload is expected to go on, in seconds.
    ends_in_s: float


class StageAdmission:
    """Admits the share of requests for which later stages have capacity.

    The first stage's batching host sees all requests, and decides by its queue. What
    later stages can carry is known from their batching hosts' latest answers. The same
    requests are refused for the sake of each stage, so that no stage works for a
    request that another one has no capacity for.

    >>> admission = StageAdmission()
    >>> admission.record(ShardId("photos", 0), StageLoad({1: 50}), 0.0)
    >>> answers = [admission.decide(["photos"], 1, f"r{x}", 0.0) for x in range(1000)]
    >>> 450 < sum(isinstance(each, AdmittedRequest) for each in answers) < 550
    True
    """

    __slots__ = ("_loads", "refused_counts")

    def __init__(self) -> None:
        # By service and number of the shard, with the time when it was told.
        self._loads: dict[str, dict[int, tuple[StageLoad, float]]] = {}
        #: Number of requests refused, by service of the stage that is full.
        self.refused_counts: Counter[str] = Counter()

    def record(self, shard: ShardId, load: StageLoad, now: float) -> None:
        """Record what a batching host said of its load.

        :param shard: its shard.
        :param load: the load.
        :param now: the current time, in seconds.
        """
        loads = self._loads.setdefault(shard.service, {})
        loads[shard.number] = (load, now)
        for number, (_, told_at) in tuple(loads.items()):
            if now - told_at > EXPIRY_S:
                del loads[number]

    def find_share(self, service: str, priority: int, now: float) -> float:
        """Find the share of requests for which a service has capacity.

        Shards get jobs in proportion to their targets, so that their mean counts.
        """
        loads = self._loads.get(service)
        if not loads:
            return 1.0
        refused = sum(
            (1 - min(max(load.admitted.get(priority, 100) / 100, MIN_ADMITTED), 1))
            * 0.5 ** ((now - told_at) / HALF_LIFE_S)
            for load, told_at in loads.values()
        )
        return float(1 - refused / len(loads))

    def find_end_s(self, service: str, now: float) -> float:
        """Find for how long the overload of a service is expected to go on."""
        loads = self._loads.get(service, {}).values()
        ends_in_s = [x.ends_in_ms / 1000 - (now - told_at) for x, told_at in loads]
        return min(max(0.0, *ends_in_s), MAX_OVERLOAD_S) if ends_in_s else 0.0

    def decide(
        self, services: Iterable[str], priority: int, request: str, now: float
    ) -> AdmittedRequest | RefusedRequest:
        """Decide about a request.

        :param services: the services of the stages that follow its first ones.
        :param priority: its priority.
        :param request: its id, which determines whether it belongs to a share.
        :param now: the current time, in seconds.
        """
        shares = {x: self.find_share(x, priority, now) for x in services}
        if not shares:
            return AdmittedRequest()
        fullest = min(shares, key=lambda each: shares[each])
        if _draw(request) >= shares[fullest]:
            self.refused_counts[fullest] += 1
            wait_ms = max(x.wait_ms for x, _ in self._loads[fullest].values())
            ends_in_s = self.find_end_s(fullest, now)
            return RefusedRequest(fullest, shares[fullest], wait_ms, ends_in_s)
        return AdmittedRequest(_find_weights(shares))


def find_return_s(ends_in_s: float, left_s: float, drawn: float) -> float:
    """Find after which time a refused caller may come back, in seconds.

    Callers come back spread over the time in which capacity is expected, but early
    enough to be served.

    :param ends_in_s: time for which the overload is expected to go on, in seconds.
    :param left_s: time until the caller can't be served any more, in seconds.
    :param drawn: a random number from 0 to 1.
    """
    latest_s = max(min(ends_in_s * 2, left_s), MIN_RETURN_S)
    earliest_s = max(min(ends_in_s, latest_s / 2), MIN_RETURN_S)
    return earliest_s + (latest_s - earliest_s) * drawn


def _find_weights(shares: Mapping[str, float]) -> dict[str, float]:
    """Find for how many offered requests an admitted one stands, by service.

    Requests that another service has no capacity for are no demand of this one.
    """
    least = min(shares.values())
    return {
        service: min((x for other, x in shares.items() if other != service), default=1)
        / least
        for service in shares
    }


def _draw(request: str) -> float:
    """Draw a number from 0 to 1 that is the same whenever a request is decided on."""
    return int(xxhash.xxh3_64_intdigest(f"{request}/stages")) / 2**64
