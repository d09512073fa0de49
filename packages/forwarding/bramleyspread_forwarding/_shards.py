"""Divides the targets of a stage service into shards, one for each batching host.

Everything that a batching host does for its targets passes the link of one host. How
many targets one host can batch for depends on the link, not on the service.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

import msgspec
import xxhash

from bramleyspread_core import PieceLimits
from bramleyspread_forwarding._pieces import PieceJob
from bramleyspread_forwarding._targets import ForwardTarget

#: Bytes that a piece adds to the busier direction of its batching host's link: its part
#: of a call, of the answer to the host that asked, and of the release of its result.
BYTES_PER_PIECE = 360.0
#: Share of a batching host's link that pieces may take while all targets are busy; the
#: rest is for bursts, and for the host's own requests.
USABLE_LINK_SHARE = 0.7
#: Pieces per second that the processor of one batching host carries.
MAX_PIECES_PER_S = 5_000.0
#: Minimum number of targets of a shard; with fewer, a slow target has no peer to be
#: compared with, and pieces wait although another shard has a free target.
MIN_SHARD_TARGETS = 2

#: The targets of each shard.
Shards = tuple[tuple[ForwardTarget, ...], ...]


class ShardId(msgspec.Struct, frozen=True):
    """Identifies a shard of a stage service."""

    service: str
    #: Number of the shard, from 0.
    number: int


class ServiceShards:
    """The shards of all stage services, as one host sees them.

    Hosts that know the same targets divide them in the same way.

    :param link_mbps: rate of an entry host's link, in Mbit/s, the same on all of them;
        0 if unknown.
    """

    __slots__ = ("_known", "_link_mbps")

    def __init__(self, link_mbps: float = 0.0) -> None:
        self._link_mbps = link_mbps
        self._known: dict[
            str, tuple[Sequence[ForwardTarget], PieceLimits | None, Shards]
        ] = {}

    def divide(
        self,
        service: str,
        targets: Sequence[ForwardTarget],
        limits: PieceLimits | None,
    ) -> Shards:
        """Divide the targets of a service.

        :param service: the service.
        :param targets: its targets that accept work.
        :param limits: their limits; None if the document doesn't state any.
        :returns: the targets of each shard; at least one shard.
        """
        known = self._known.get(service)
        if known is not None and known[0] is targets and known[1] is limits:
            return known[2]
        number = count_shards(len(targets), limits, self._link_mbps) if limits else 1
        shards = divide_targets(targets, number)
        self._known[service] = (targets, limits, shards)
        return shards


def count_shards(targets: int, limits: PieceLimits, link_mbps: float) -> int:
    """Count the batching hosts that a service needs.

    As few as the hosts' links and processors allow: the fewer there are, the sooner a
    piece finds a free target, and the fuller the calls are.

    :param targets: number of targets of the service.
    :param limits: their limits.
    :param link_mbps: rate of a batching host's link, in Mbit/s; 0 if unknown.
    :returns: the number of shards, at least 1.

    >>> limits = PieceLimits(
    ...     slots=1, queue=2, batch=68, call_ms=150.0, piece_ms=1.9,
    ...     result_retention_s=4.0
    ... )
    >>> [count_shards(9, limits, mbps) for mbps in (1_000.0, 10.0, 5.0, 1.0)]
    [1, 1, 2, 4]
    """
    full_call_s = (limits.call_ms + limits.batch * limits.piece_ms) / 1000
    pieces_per_s = targets * limits.slots * limits.batch / full_call_s
    max_pieces_per_s = MAX_PIECES_PER_S
    if link_mbps:
        usable_bytes_per_s = link_mbps * 1e6 / 8 * USABLE_LINK_SHARE
        max_pieces_per_s = min(max_pieces_per_s, usable_bytes_per_s / BYTES_PER_PIECE)
    needed = math.ceil(pieces_per_s / max_pieces_per_s)
    return max(1, min(needed, targets // MIN_SHARD_TARGETS))


def find_call_lead_s(limits: PieceLimits, link_mbps: float) -> float:
    """Find how long a full call takes over a batching host's link.

    :param limits: the limits of the service's targets.
    :param link_mbps: rate of the link, in Mbit/s; 0 if unknown.
    :returns: the time, in seconds.
    """
    if not link_mbps:
        return 0.0
    return limits.batch * BYTES_PER_PIECE * 8 / (link_mbps * 1e6)


def divide_targets(targets: Sequence[ForwardTarget], shards: int) -> Shards:
    """Divide targets into shards whose sizes differ by one at most.

    A zone's targets are spread over the shards, so that a piece finds one near its
    inputs in any shard. Among the shards that are left rendezvous hashing chooses, so
    that few other targets move when one joins or leaves.

    :param targets: the targets.
    :param shards: number of shards.
    :returns: the targets of each shard.
    """
    if shards == 1:
        return (tuple(targets),)
    divided: list[list[ForwardTarget]] = [[] for _ in range(shards)]
    by_zone: Counter[tuple[int, str]] = Counter()
    max_size = len(targets) // shards
    for target in sorted(targets, key=lambda each: _hash(each.target)):
        number = _find_shard_for(target, divided, by_zone, max_size)
        divided[number].append(target)
        by_zone[number, target.zone] += 1
    return tuple(tuple(each) for each in divided)


def _find_shard_for(
    target: ForwardTarget,
    divided: Sequence[Sequence[ForwardTarget]],
    by_zone: Counter[tuple[int, str]],
    max_size: int,
) -> int:
    """Find the shard for the next target.

    Shards are filled up to ``max_size``; targets that are left over go one to a shard.
    """
    numbers = range(len(divided))
    open_shards = [at for at in numbers if len(divided[at]) < max_size]
    open_shards = open_shards or [at for at in numbers if len(divided[at]) == max_size]
    least = min(by_zone[at, target.zone] for at in open_shards)
    return max(
        (at for at in open_shards if by_zone[at, target.zone] == least),
        key=lambda at: _hash(f"{target.target}/{at}"),
    )


def choose_shard(job: PieceJob, shards: Shards) -> int:
    """Choose the shard whose targets compute a job's pieces.

    Shards get jobs in proportion to their targets, wherever the inputs lie: a shard
    can't leave work to the targets of another one, so each must get its share.

    :param job: the job.
    :param shards: the shards of the job's service.
    :returns: the number of the shard.
    """
    if len(shards) == 1:
        return 0

    def draw(number: int) -> float:
        uniform = (_hash(f"{job.request}/{number}") + 1) / 2**64
        return math.log(uniform) / max(len(shards[number]), 1)

    return max(range(len(shards)), key=draw)


def find_shard_of(target: str, shards: Shards) -> int:
    """Find the shard to which a target belongs; the first one if none does."""
    for number, targets in enumerate(shards):
        if any(each.target == target for each in targets):
            return number
    return 0


def _hash(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text))
