"""Releases stage results that are no longer needed at the targets that store them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection

import curio

from bramleyspread_core import MessageError, decode_json
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._exchange import HttpRequest, Reply
from bramleyspread_daemon._refusal import encode_refusal
from bramleyspread_daemon.forward._batching_hosts import BatchingHosts
from bramleyspread_daemon.forward._piece_calls import PieceCalls
from bramleyspread_daemon.forward._service_directory import ServiceDirectory
from bramleyspread_forwarding import PieceRelease, ShardId, find_shard_of


class ResultReleases:
    """Releases results, through the batching hosts of the shards that store them.

    A release waits while its target wants no requests; results expire there anyway.

    :param directory: lookups of shards and limits.
    :param targets: sends releases to targets.
    :param hosts: the batching hosts.
    :param on_released: called with a shard and the results that were released there.
    """

    __slots__ = ("_directory", "_held_back", "_hosts", "_on_released", "_targets")

    def __init__(
        self,
        directory: ServiceDirectory,
        targets: PieceCalls,
        hosts: BatchingHosts,
        on_released: Callable[[ShardId, Collection[str]], Awaitable[None]],
    ) -> None:
        self._directory = directory
        self._targets = targets
        self._hosts = hosts
        self._on_released = on_released
        # By shard and result, when the result expires, in seconds; its target wanted no
        # request when it was to be released.
        self._held_back: dict[ShardId, dict[str, float]] = {}

    async def release(self, release: PieceRelease) -> None:
        """Release results at their batching hosts, or here if those can't be reached.

        :param release: the results to release.
        """
        parts = self._split_by_shard(release)
        self._hosts.forget(release.service, release.handles)
        for part in parts:
            if not await self._hosts.forward_release(part):
                await self.release_locally(part)

    def _split_by_shard(self, release: PieceRelease) -> list[PieceRelease]:
        service = release.service
        shards = self._directory.list_shards(service)
        handles: dict[int, list[str]] = {}
        for handle in release.handles:
            maker = self._hosts.find_maker(service, handle)
            handles.setdefault(find_shard_of(maker, shards), []).append(handle)
        return [
            PieceRelease(service, tuple(own_handles), number)
            for number, own_handles in handles.items()
        ]

    async def serve(self, http: HttpRequest, reply: Reply) -> None:
        """Handle another entry host's notice that results are no longer needed."""
        try:
            release: PieceRelease = decode_json(http.body, PieceRelease)
        except MessageError as error:
            reply.send(400, encode_refusal(400, str(error)))
            return
        reply.send(204, b"")
        await curio.spawn(self.release_locally, release, daemon=True)

    async def release_locally(self, release: PieceRelease) -> None:
        """Release results at the targets of one shard.

        :param release: the results to release.
        """
        limits = self._directory.find_limits(release.service)
        retention_s = limits.result_retention_s if limits is not None else 0.0
        expires_at = read_monotonic() + retention_s
        shard = ShardId(release.service, release.shard)
        await self._release_in_turn(shard, dict.fromkeys(release.handles, expires_at))

    async def _release_in_turn(
        self, shard: ShardId, expiries: dict[str, float]
    ) -> None:
        """Release results, but for those whose targets want no request now.

        :param shard: the shard of the results' targets.
        :param expiries: by result, when its target drops it in any case, in seconds.
        """
        share = self._hosts.find_rate_share(shard)
        held_back = set(await self._targets.release(expiries, share))
        if held_back:
            kept = {each: expiries[each] for each in held_back}
            self._held_back.setdefault(shard, {}).update(kept)
        if len(held_back) < len(expiries):
            await self._on_released(shard, expiries.keys() - held_back)

    async def tick(self) -> None:
        """Release the results that are held back, unless they have expired."""
        held_back, self._held_back = self._held_back, {}
        now = read_monotonic()
        for shard, expiries in held_back.items():
            kept = {each: at for each, at in expiries.items() if at > now}
            if kept:
                await curio.spawn(self._release_in_turn, shard, kept, daemon=True)
