"""Latency of each target at a stage, for comparison with the other targets."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from bramleyspread_core import TargetName
from bramleyspread_entry._latency import StageKey

#: Maximum number of targets of one stage whose latencies are kept; the ones with the
#: oldest answers are dropped.
MAX_PEERS = 16
#: Minimum number of answers after which a target's latency is used in comparisons.
MIN_ANSWERS = 3
#: Age of a target's newest answer from which its latency is not used any more.
PEER_MAX_AGE_S = 30.0
#: Weight of the newest answer in the moving average of a target's latency.
SMOOTHING_WEIGHT = 0.3


@dataclass(slots=True)
class _PeerLatency:
    """Latency of one target at one stage."""

    #: Moving average of the latency, in seconds.
    latency: float
    #: Number of answers in the average.
    answers: int
    #: When the newest answer was received, in monotonic seconds.
    newest_at: float


class PeerTimes:
    """Moving averages of latencies, by stage and target.

    When a host sends nearly all attempts of a stage to one target, the stage's
    typical latency is that target's own latency and does not show that the target is
    slow. The latencies of the other targets do.

    >>> times = PeerTimes()
    >>> key = ("lm", "ask", "rank", "lm.rankers")
    >>> for number in range(3):
    ...     times.record(key, TargetName("slow"), 0.9, now=1.0)
    ...     times.record(key, TargetName("fast"), 0.1, now=1.0)
    >>> times.compare(key, TargetName("slow"), 0.9, now=1.0)
    9.0
    """

    __slots__ = ("_stages",)

    def __init__(self) -> None:
        self._stages: dict[StageKey, OrderedDict[TargetName, _PeerLatency]] = {}

    def record(
        self, key: StageKey, target: TargetName, latency: float, now: float
    ) -> None:
        """Record the latency of an answer.

        The target's average is started anew when its newest answer is too old.

        :param key: the stage.
        :param target: the target.
        :param latency: seconds.
        :param now: monotonic seconds.
        """
        peers = self._stages.setdefault(key, OrderedDict())
        peer = peers.get(target)
        if peer is None or peer.newest_at < now - PEER_MAX_AGE_S:
            peers[target] = _PeerLatency(latency, 1, now)
        else:
            peer.latency += SMOOTHING_WEIGHT * (latency - peer.latency)
            peer.answers += 1
            peer.newest_at = now
        peers.move_to_end(target)
        if len(peers) > MAX_PEERS:
            peers.popitem(last=False)

    def compare(
        self, key: StageKey, target: TargetName, latency: float, now: float
    ) -> float | None:
        """Compare a target's latency with the median latency of the other targets.

        :param key: the stage.
        :param target: the target that answered.
        :param latency: latency of the answer, in seconds.
        :param now: monotonic seconds.
        :returns: ratio to the median; None while no other target has enough recent
            answers.
        """
        others = sorted(
            peer.latency
            for name, peer in self._stages.get(key, {}).items()
            if name != target
            and peer.answers >= MIN_ANSWERS
            and peer.newest_at >= now - PEER_MAX_AGE_S
        )
        if not others:
            return None
        return latency / max(others[len(others) // 2], 1e-6)
