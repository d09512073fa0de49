"""The hosts that batch for services, as one entry host asks them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec
from loguru import logger

from bramleyspread_core import Address, MessageError, decode_json, encode_json
from bramleyspread_daemon._client import ClosedError, UnsentError
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._pool import ConnectionPool
from bramleyspread_daemon.forward._host_watch import HostWatch
from bramleyspread_forwarding import (
    EntryHost,
    Holdings,
    Owners,
    PieceJob,
    PieceRelease,
    PieceResult,
    PieceResults,
)

#: Where entry hosts ask each other for pieces.
PIECES_PATH = "/v1/pieces"
#: Where entry hosts tell each other that results are needed no more.
RELEASE_PATH = "/v1/pieces-release"
#: Most time for reaching another entry host, in seconds.
REACH_S = 0.25
#: Time for the answer behind a job's own time, in milliseconds.
ANSWER_MS = 120.0
#: Most time for telling another host that results are needed no more, in seconds.
RELEASE_S = 1.0
#: Stands for the batching host of a service that this host never asked.
UNTOLD = EntryHost("", "", Address("0.0.0.0", 0))


class BatchingHosts:
    """Who batches for each service, and what those hosts are asked and told."""

    __slots__ = (
        "_holdings",
        "_host",
        "_list_hosts",
        "_owners",
        "_peers",
        "_told",
        "_watch",
    )

    def __init__(
        self,
        host: str,
        list_hosts: Callable[[], Sequence[EntryHost]],
        peers: ConnectionPool,
    ) -> None:
        self._host = host
        self._list_hosts = list_hosts
        self._peers = peers
        self._owners = Owners(host)
        self._watch = HostWatch(peers)
        self._holdings = Holdings()
        self._told: dict[str, EntryHost | None] = {}

    def find_other(self, service: str) -> EntryHost | None:
        """Find the host to ask; None when it is this one."""
        return self._owners.find_other(service, self._list_hosts(), read_monotonic())

    def name(self, service: str) -> str:
        """Name the host that batches for a service, this one included."""
        owner = self.find_other(service)
        return owner.host if owner is not None else self._host

    def may_keep(self, service: str) -> bool:
        """Whether work that others asked of this host may stay here."""
        return self._owners.may_keep(service, self._list_hosts(), read_monotonic())

    async def ask(
        self, owner: EntryHost, job: PieceJob
    ) -> tuple[PieceResult, ...] | None:
        """Have a job done by the host that batches for its service.

        :param owner: the host.
        :param job: the job.
        :returns: the results; None when it didn't answer, and is passed over now.
        """
        told = self.add_held(job, owner)
        results = await self._watch.wait(owner, self._post(owner, told))
        if results is None:
            self._owners.avoid(owner, read_monotonic())
            logger.bind(step="batch", peer=owner.host).warning("no answer")
        return results

    async def _post(
        self, owner: EntryHost, job: PieceJob
    ) -> tuple[PieceResult, ...] | None:
        limit = (max(job.remaining_ms, 0.0) + ANSWER_MS) / 1000
        try:
            response = await self._peers.ask(
                owner.address,
                PIECES_PATH,
                encode_json(job),
                limit,
                connect_timeout=REACH_S,
            )
            if response.status != 200:
                return None
            answer: PieceResults = decode_json(response.body, PieceResults)
        except (UnsentError, ClosedError, MessageError):
            return None
        fits = len(answer.results) == len(job.items)
        return answer.results if fits else None

    def add_held(self, job: PieceJob, owner: EntryHost | None) -> PieceJob:
        """Tell a host what is held here when it didn't batch for this one before.

        :param job: the job that it is asked for.
        :param owner: the host; None for this one.
        :returns: the job, with what is held when that is news.
        """
        if self._told.get(job.service, UNTOLD) == owner:
            return job
        self._told[job.service] = owner
        held = self._holdings.list_held(job.service, read_monotonic())
        return msgspec.structs.replace(job, held=held)

    def keep(
        self, job: PieceJob, results: Sequence[PieceResult], kept_s: float
    ) -> None:
        """Take note of the results of a job, which this host holds now.

        :param job: the job.
        :param results: the results.
        :param kept_s: how long their makers keep them, in seconds.
        """
        now = read_monotonic()
        size = job.result_bytes
        self._holdings.keep(job.service, results, size, now, now + kept_s)

    def forget(self, service: str, handles: Iterable[str]) -> None:
        """Take note that results are needed no more."""
        self._holdings.release(service, handles)

    async def pass_release(self, release: PieceRelease) -> bool:
        """Tell the host that batches for a service that results are needed no more.

        :param release: the results.
        :returns: whether another host knows it now.
        """
        owner = self.find_other(release.service)
        if owner is None:
            return False
        try:
            body = encode_json(release)
            await self._peers.ask(owner.address, RELEASE_PATH, body, RELEASE_S)
        except (UnsentError, ClosedError):
            return False
        return True
