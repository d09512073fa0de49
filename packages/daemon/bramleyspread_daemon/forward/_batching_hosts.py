"""Client side of the batching hosts: asks them for pieces and releases results."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec
from loguru import logger

from bramleyspread_core import Address, MessageError, decode_json, encode_json
from bramleyspread_daemon._client import ConnectionClosedError, RequestNotSentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._host_watch import HostWatch
from bramleyspread_forwarding import (
    EntryHost,
    HeldResult,
    HeldResults,
    PieceJob,
    PieceRelease,
    PieceResult,
    PieceResults,
    RateShares,
    ServiceOwners,
    ShardId,
    StageLoad,
)

#: Path on which entry hosts ask each other to compute pieces.
PIECES_PATH = "/v1/pieces"
#: Path on which entry hosts tell each other that results are no longer needed.
RELEASE_PATH = "/v1/pieces-release"
#: Timeout for connecting to another entry host, in seconds.
CONNECT_TIMEOUT_S = 0.25
#: Time allowed for the answer on top of the job's remaining time, in milliseconds.
ANSWER_MARGIN_MS = 120.0
#: Timeout for forwarding a release to another host, in seconds.
RELEASE_TIMEOUT_S = 1.0
#: Placeholder for the batching host of a shard that this host has not used yet.
NO_HOST = EntryHost("", "", Address("0.0.0.0", 0))


class BatchingHosts:
    """Finds the batching host of each shard, and sends it jobs and releases."""

    __slots__ = (
        "_held_results",
        "_host",
        "_informed_hosts",
        "_list_hosts",
        "_owners",
        "_peers",
        "_record_load",
        "_shares",
        "_watch",
    )

    def __init__(
        self,
        host: str,
        list_hosts: Callable[[], Sequence[EntryHost]],
        peers: ConnectionPool,
        record_load: Callable[[ShardId, StageLoad], None],
    ) -> None:
        self._host = host
        self._record_load = record_load
        self._list_hosts = list_hosts
        self._peers = peers
        self._owners = ServiceOwners(host)
        self._shares = RateShares(self._owners)
        self._watch = HostWatch(peers)
        self._held_results = HeldResults()
        #: For each shard, its batching host and its targets when the host was told the
        #: results that this host holds there.
        self._informed_hosts: dict[
            ShardId, tuple[EntryHost | None, frozenset[str]]
        ] = {}

    def find_remote_owner(self, shard: ShardId) -> EntryHost | None:
        """Return the shard's batching host, or None if it is this host."""
        return self._owners.find_remote_owner(
            shard.service, self._list_hosts(), read_monotonic(), shard.number
        )

    def get_batching_host_name(self, shard: ShardId) -> str:
        """Return the name of the shard's batching host, which may be this host."""
        batching_host = self.find_remote_owner(shard)
        return batching_host.host if batching_host is not None else self._host

    def may_run_received_jobs(self, shard: ShardId) -> bool:
        """Return whether this host may still run the jobs that other hosts sent it."""
        return self._owners.may_continue_work(
            shard.service, self._list_hosts(), read_monotonic(), shard.number
        )

    def find_rate_share(self, shard: ShardId) -> float:
        """Return this host's share of the rate limits of a shard's targets."""
        return self._shares.find_share(
            shard.service, self._list_hosts(), read_monotonic(), shard.number
        )

    def check_suspension(self) -> bool:
        """Return whether this host may have been suspended since the last check."""
        return self._shares.check(read_monotonic())

    def is_stand_in(self, shard: ShardId, unreachable: Sequence[str]) -> bool:
        """Whether this host was sent a job because the batching host is unreachable.

        :param shard: the job's shard.
        :param unreachable: the hosts that the job's sender can't reach.
        """
        batching_host = self.find_remote_owner(shard)
        return batching_host is not None and batching_host.host in unreachable

    async def request_results(
        self, batching_host: EntryHost, job: PieceJob, targets: frozenset[str]
    ) -> tuple[PieceResult, ...] | None:
        """Have a job run by the batching host of its shard.

        :param batching_host: the batching host.
        :param job: the job.
        :param targets: ids of the shard's targets.
        :returns: the results; None if the host didn't answer, in which case it is not
            asked again for a while.
        """
        sent = msgspec.structs.replace(
            self.add_held(job, batching_host, targets),
            unreachable=self._owners.list_unreachable(read_monotonic()),
        )
        results = await self._watch.wait(batching_host, self._post(batching_host, sent))
        if results is not None:
            self._owners.end_backoff(batching_host)
        else:
            self._owners.start_backoff(batching_host, read_monotonic())
            logger.bind(step="batch", peer=batching_host.host).warning(
                "batching host did not answer"
            )
        return results

    async def _post(
        self, batching_host: EntryHost, job: PieceJob
    ) -> tuple[PieceResult, ...] | None:
        timeout_s = (max(job.remaining_ms, 0.0) + ANSWER_MARGIN_MS) / 1000
        try:
            response = await self._peers.request(
                batching_host.address,
                PIECES_PATH,
                encode_json(job),
                timeout_s,
                connect_timeout=CONNECT_TIMEOUT_S,
            )
            if response.status != 200:
                return None
            answer: PieceResults = decode_json(response.body, PieceResults)
            results = answer.unpack()
            self._record_load(ShardId(job.service, job.shard), answer.load)
        except (RequestNotSentError, ConnectionClosedError, MessageError):
            return None
        return results if len(results) == job.pieces else None

    def add_held(
        self, job: PieceJob, batching_host: EntryHost | None, targets: frozenset[str]
    ) -> PieceJob:
        """Attach the results held here that the shard's batching host can't know.

        A new batching host is told the results at all targets of the shard, the same
        one those at targets that joined the shard.

        :param job: the job to send.
        :param batching_host: the batching host; None for this host.
        :param targets: ids of the shard's targets.
        :returns: the job, with those results attached.
        """
        shard = ShardId(job.service, job.shard)
        informed_host, known_targets = self._informed_hosts.get(
            shard, (NO_HOST, frozenset())
        )
        if informed_host != batching_host:
            known_targets = frozenset()
        joined = targets - known_targets
        if informed_host == batching_host and not joined:
            return job
        self._informed_hosts[shard] = (batching_host, targets)
        return msgspec.structs.replace(job, held=self._list_held(job.service, joined))

    def _list_held(
        self, service: str, makers: frozenset[str]
    ) -> tuple[HeldResult, ...]:
        held = self._held_results.list_held(service, read_monotonic())
        return tuple(each for each in held if each.maker in makers)

    def find_maker(self, service: str, handle: str) -> str:
        """Return the target that stores a result; empty if it isn't held here."""
        return self._held_results.find_maker(service, handle)

    def record_results(
        self, job: PieceJob, results: Sequence[PieceResult], result_retention_s: float
    ) -> None:
        """Record the results of a job as held by this host.

        :param job: the job.
        :param results: its results.
        :param result_retention_s: how long targets keep results, in seconds.
        """
        now = read_monotonic()
        size = job.result_bytes
        self._held_results.add(
            job.service, results, size, now, now + result_retention_s
        )

    def forget(self, service: str, handles: Iterable[str]) -> None:
        """Stop recording results as held, because they are no longer needed."""
        self._held_results.release(service, handles)

    async def forward_release(self, release: PieceRelease) -> bool:
        """Forward a release to the batching host of the shard.

        :param release: the results to release.
        :returns: whether another host received the release.
        """
        batching_host = self.find_remote_owner(ShardId(release.service, release.shard))
        if batching_host is None:
            return False
        try:
            body = encode_json(release)
            await self._peers.request(
                batching_host.address, RELEASE_PATH, body, RELEASE_TIMEOUT_S
            )
        except (RequestNotSentError, ConnectionClosedError):
            return False
        return True
