"""Latency of each target at a stage, to compare it with its peers'."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from bramleyspread_core import TargetName
from bramleyspread_entry._latency import StageKey

#: Targets of one stage whose latencies are kept, the newest ones.
KEPT_PEERS = 16
#: Answers from which a target's latency is known well enough.
FEWEST_ANSWERS = 3
#: Age at which a target's latency says nothing any more, in seconds.
PEER_AGE = 30.0
#: Weight of the newest answer in a target's smoothed latency.
NEWEST_WEIGHT = 0.3


@dataclass(slots=True)
class _PeerTime:
    """What is known of one target at one stage."""

    #: Smoothed latency, in seconds.
    latency: float
    #: Answers it was taken from.
    answers: int
    #: The newest of them, in monotonic seconds.
    newest: float


class PeerTimes:
    """Smoothed latencies by stage and target.

    A host that sends nearly all of a stage's work to one target can't tell from
    the stage's latency that the target is slow; its peers' latencies tell.

    >>> times = PeerTimes()
    >>> key = ("lm", "ask", "rank", "lm.rankers")
    >>> for number in range(3):
    ...     times.record(key, TargetName("near"), 0.9, now=1.0)
    ...     times.record(key, TargetName("far"), 0.1, now=1.0)
    >>> times.compare(key, TargetName("near"), 0.9, now=1.0)
    9.0
    """

    __slots__ = ("_stages",)

    def __init__(self) -> None:
        self._stages: dict[StageKey, OrderedDict[TargetName, _PeerTime]] = {}

    def record(
        self, key: StageKey, target: TargetName, latency: float, now: float
    ) -> None:
        """Take an answer's latency.

        :param key: the stage.
        :param target: the target.
        :param latency: seconds.
        :param now: monotonic seconds.
        """
        peers = self._stages.setdefault(key, OrderedDict())
        known = peers.get(target)
        if known is None or known.newest < now - PEER_AGE:
            peers[target] = _PeerTime(latency, 1, now)
        else:
            known.latency += NEWEST_WEIGHT * (latency - known.latency)
            known.answers += 1
            known.newest = now
        peers.move_to_end(target)
        if len(peers) > KEPT_PEERS:
            peers.popitem(last=False)

    def compare(
        self, key: StageKey, target: TargetName, latency: float, now: float
    ) -> float | None:
        """Compare a latency with the median of the other targets' ones.

        :param key: the stage.
        :param target: the target that it was measured at.
        :param latency: seconds.
        :param now: monotonic seconds.
        :returns: how many times theirs; None while no other target is known.
        """
        others = sorted(
            peer.latency
            for name, peer in self._stages.get(key, {}).items()
            if name != target
            and peer.answers >= FEWEST_ANSWERS
            and peer.newest >= now - PEER_AGE
        )
        if not others:
            return None
        return latency / max(others[len(others) // 2], 1e-6)
