"""Sends a demo's requests at their times and collects the callers' reports."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import curio

from bramleyspread_core import Address, ServiceDocument
from bramleyspread_standins._asks import CallerRequest, RequestGenerator
from bramleyspread_standins._caller import Caller, CallerReport, SuccessBody
from bramleyspread_standins._ready_hosts import ReadyHosts

#: Pause between two tries of a request that checks that all is up, in seconds.
WARM_UP_RETRY_PAUSE_S = 0.2


class NotReadyError(Exception):
    """The system did not come up in time; the text says what is missing."""


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What is sent, and what is done to the system meanwhile."""

    #: The requests.
    requests: tuple[CallerRequest, ...]
    #: When the disturbance comes, in seconds from the start of the load.
    disruption_at_s: float
    #: Brings it about.
    disrupt: Callable[[], None]
    #: Most time for everything to be answered, in seconds.
    timeout_s: float


class LoadGenerator:
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
        generator: RequestGenerator,
        timeout_s: float,
    ) -> None:
        """Wait until every entry host answers every kind of request.

        :param hosts: the entry hosts.
        :param documents: the services.
        :param source: makes the requests.
        :param timeout: the longest wait, in seconds.
        :raises NotReadyError: naming the host and what it answered last.
        """
        give_up_at = time.monotonic() + timeout_s
        async with curio.TaskGroup() as group:
            for number, host in enumerate(hosts):
                one = self._warm_up_host(host, number, documents, generator, give_up_at)
                await group.spawn(one)
        for task in group.tasks:
            task.result  # noqa: B018  (raises what the task raised)

    async def run(self, hosts: Sequence[Address], plan: LoadPlan) -> None:
        """Send the load and wait for its answers.

        :param hosts: the entry hosts.
        :param plan: what is sent and what happens meanwhile.
        """
        self._hosts = ReadyHosts(hosts, self._rng)
        for ask in plan.requests:
            for resend in (False, True)[: 1 + (ask.resend_delay_s is not None)]:
                self.reports[(ask.marker, resend)] = CallerReport(ask, resend, ())
        async with curio.ignore_after(plan.timeout_s), curio.TaskGroup() as group:
            watching = await curio.spawn(self._hosts.run_probes, daemon=True)
            while self._hosts.ready_count < len(hosts):
                await curio.sleep(WARM_UP_RETRY_PAUSE_S)
            began = time.monotonic()
            await group.spawn(self._disrupt_when_due, plan, began)
            for ask in plan.requests:
                await _sleep_until(began + ask.sent_at_s)
                await group.spawn(self._run_caller, ask, False)
                if ask.resend_delay_s is not None:
                    await group.spawn(self._run_caller, ask, True)
        await watching.cancel()

    async def _disrupt_when_due(self, plan: LoadPlan, began: float) -> None:
        await _sleep_until(began + plan.disruption_at_s)
        plan.disrupt()

    async def _run_caller(self, ask: CallerRequest, resend: bool) -> None:
        assert self._hosts is not None
        if resend:
            await curio.sleep(ask.resend_delay_s or 0.0)
        report = await Caller(ask, self._hosts).run(resend)
        self.reports[(ask.marker, resend)] = report

    async def _warm_up_host(
        self,
        host: Address,
        number: int,
        documents: Sequence[ServiceDocument],
        generator: RequestGenerator,
        give_up_at: float,
    ) -> None:
        only = ReadyHosts((host,), self._rng)
        only.mark_ready(host)
        for document in documents:
            for position, pipeline in enumerate(document.pipelines):
                tries = 0
                while True:
                    tries += 1
                    marker = f"warm-{number}-{document.service}-{position}-{tries}"
                    ask = generator.make_request(document, pipeline, marker, 0.0)
                    last = (await Caller(ask, only).run()).attempts[-1].result
                    if isinstance(last, SuccessBody):
                        break
                    if time.monotonic() >= give_up_at:
                        what = f"{document.service}/{pipeline.name}"
                        raise NotReadyError(f"{what} at {host}: {last}")
                    await curio.sleep(WARM_UP_RETRY_PAUSE_S)


async def _sleep_until(when: float) -> None:
    await curio.sleep(max(0.0, when - time.monotonic()))
