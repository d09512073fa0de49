"""Sends a demo's requests at their times and collects the callers' reports."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import curio

from bramleyspread_core import Address, ServiceDocument
from bramleyspread_standins._asks import Ask, AskSource
from bramleyspread_standins._caller import Caller, CallerReport, WholeBody
from bramleyspread_standins._ready_hosts import ReadyHosts

#: Pause between two tries of a request that checks that all is up, in seconds.
WARM_UP_PAUSE = 0.2


class NotReadyError(Exception):
    """The system did not come up in time; the text says what is missing."""


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is sent, and what is done to the system meanwhile."""

    #: The requests.
    asks: tuple[Ask, ...]
    #: When the disturbance comes, in seconds from the start of the load.
    disturb_at: float
    #: Brings it about.
    disturb: Callable[[], None]
    #: Most time for everything to be answered, in seconds.
    timeout: float


class LoadTool:
    """Callers by the hundred behind a stand-in of the balancer."""

    __slots__ = ("_hosts", "_rng", "reports")

    def __init__(self, rng: random.Random) -> None:
        self._hosts: ReadyHosts | None = None
        self._rng = rng
        #: Reports so far, by marker and whether it is a resend.
        self.reports: dict[tuple[str, bool], CallerReport] = {}

    async def warm_up(
        self,
        hosts: Sequence[Address],
        documents: Sequence[ServiceDocument],
        source: AskSource,
        timeout: float,
    ) -> None:
        """Wait until every entry host answers every kind of request.

        :param hosts: the entry hosts.
        :param documents: the services.
        :param source: makes the requests.
        :param timeout: the longest wait, in seconds.
        :raises NotReadyError: naming the host and what it answered last.
        """
        until = time.monotonic() + timeout
        async with curio.TaskGroup() as group:
            for number, host in enumerate(hosts):
                one = self._warm_up_host(host, number, documents, source, until)
                await group.spawn(one)
        for task in group.tasks:
            task.result  # noqa: B018  (raises what the task raised)

    async def run(self, hosts: Sequence[Address], plan: LoadPlan) -> None:
        """Send the load and wait for its answers.

        :param hosts: the entry hosts.
        :param plan: what is sent and what happens meanwhile.
        """
        self._hosts = ReadyHosts(hosts, self._rng)
        for ask in plan.asks:
            for resend in (False, True)[: 1 + (ask.resend_after is not None)]:
                self.reports[(ask.marker, resend)] = CallerReport(ask, resend, ())
        async with curio.ignore_after(plan.timeout), curio.TaskGroup() as group:
            watching = await curio.spawn(self._hosts.watch, daemon=True)
            while self._hosts.ready < len(hosts):
                await curio.sleep(WARM_UP_PAUSE)
            began = time.monotonic()
            await group.spawn(self._disturb, plan, began)
            for ask in plan.asks:
                await _sleep_until(began + ask.at)
                await group.spawn(self._call, ask, False)
                if ask.resend_after is not None:
                    await group.spawn(self._call, ask, True)
        await watching.cancel()

    async def _disturb(self, plan: LoadPlan, began: float) -> None:
        await _sleep_until(began + plan.disturb_at)
        plan.disturb()

    async def _call(self, ask: Ask, resend: bool) -> None:
        assert self._hosts is not None
        if resend:
            await curio.sleep(ask.resend_after or 0.0)
        report = await Caller(ask, self._hosts).run(resend)
        self.reports[(ask.marker, resend)] = report

    async def _warm_up_host(
        self,
        host: Address,
        number: int,
        documents: Sequence[ServiceDocument],
        source: AskSource,
        until: float,
    ) -> None:
        only = ReadyHosts((host,), self._rng)
        only.report_ready(host)
        for document in documents:
            for position, pipeline in enumerate(document.pipelines):
                tries = 0
                while True:
                    tries += 1
                    marker = f"warm-{number}-{document.service}-{position}-{tries}"
                    ask = source.make(document, pipeline, marker, 0.0)
                    last = (await Caller(ask, only).run()).asks[-1].result
                    if isinstance(last, WholeBody):
                        break
                    if time.monotonic() >= until:
                        what = f"{document.service}/{pipeline.name}"
                        raise NotReadyError(f"{what} at {host}: {last}")
                    await curio.sleep(WARM_UP_PAUSE)


async def _sleep_until(when: float) -> None:
    await curio.sleep(max(0.0, when - time.monotonic()))
