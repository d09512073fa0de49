"""Log lines and figures about work that a plan sends to other availability zones."""

from __future__ import annotations

from collections.abc import Sequence

from loguru import logger

from bramleyspread_capacity import ZoneShare
from bramleyspread_forwarding import ShardId

#: Change of a share from which on it is logged again.
LOGGED_CHANGE = 0.1
#: Shortest time between two lines about one pair of zones, in seconds.
LOG_INTERVAL_S = 1.0


class OverflowReport:
    """Logs shares that begin, change or end, and keeps those in force."""

    __slots__ = ("_logged", "_shares")

    def __init__(self) -> None:
        self._shares: dict[ShardId, tuple[ZoneShare, ...]] = {}
        # By shard and pair of zones, the share in the last line, and when it was
        # written, in seconds.
        self._logged: dict[tuple[ShardId, str, str], tuple[float, float]] = {}

    def list_shares(self) -> list[tuple[ShardId, ZoneShare]]:
        """List the shares in force."""
        return [
            (shard, each) for shard, shares in self._shares.items() for each in shares
        ]

    def update(self, shard: ShardId, shares: Sequence[ZoneShare], now: float) -> None:
        """Replace the shares of a shard, and log what has changed.

        :param shard: the shard; that of number 0 for services placed as a whole.
        :param shares: the shares in force.
        :param now: the current time, in seconds.
        """
        if not shares and shard not in self._shares:
            return
        ended = {
            (each.source, each.target): each for each in self._shares.get(shard, ())
        }
        for each in shares:
            ended.pop((each.source, each.target), None)
            self._log(shard, each, now)
        for (source, target), each in ended.items():
            if self._logged.pop((shard, source, target), None) is not None:
                _write(shard, each, "ended")
        if shares:
            self._shares[shard] = tuple(shares)
        else:
            del self._shares[shard]

    def _log(self, shard: ShardId, share: ZoneShare, now: float) -> None:
        pair = (shard, share.source, share.target)
        known = self._logged.get(pair)
        if known is not None:
            logged, written_at = known
            is_small = abs(share.share - logged) < LOGGED_CHANGE
            if is_small or now - written_at < LOG_INTERVAL_S:
                return
        self._logged[pair] = (share.share, now)
        _write(shard, share, "begun" if known is None else "changed")


def _write(shard: ShardId, share: ZoneShare, text: str) -> None:
    logger.bind(
        step="overflow",
        peer="-",
        service=shard.service,
        shard=shard.number,
        zone=share.source,
        to=share.target,
        share=round(share.share, 3),
        excess=round(share.excess, 1),
        spare=round(share.spare, 1),
    ).info(text)
