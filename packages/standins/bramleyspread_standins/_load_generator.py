"""Sends the requests of a demo on schedule and collects the callers' reports."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import curio

from bramleyspread_core import Address, ServiceDocument
from bramleyspread_standins._caller import Caller, CallerReport, SuccessBody
from bramleyspread_standins._caller_requests import CallerRequest, RequestGenerator
from bramleyspread_standins._ready_hosts import ReadyHosts

#: Pause between two warm-up requests to the same pipeline, in seconds.
WARM_UP_RETRY_PAUSE_S = 0.2


class NotReadyError(Exception):
    """The system did not become ready in time; the message names what is missing."""


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The requests to send and the disruption of the system in the meantime."""

    #: The requests, in the order of their times.
    requests: tuple[CallerRequest, ...]
    #: When the disruption happens, in seconds from the start of the load.
    disruption_at_s: float
    #: Causes the disruption.
    disrupt: Callable[[], None]
    #: Time limit for the whole load and its responses, in seconds.
    timeout_s: float


class LoadGenerator:
    """Runs many concurrent callers that share a stand-in for a load balancer."""

    __slots__ = ("_hosts", "_rng", "reports")

    def __init__(self, rng: random.Random) -> None:
        self._hosts: ReadyHosts | None = None
        self._rng = rng
        #: Reports by the marker of the request and whether it is a resend.
        self.reports: dict[tuple[str, bool], CallerReport] = {}

    async def warm_up(
        self,
        hosts: Sequence[Address],
        documents: Sequence[ServiceDocument],
        generator: RequestGenerator,
        timeout_s: float,
    ) -> None:
        """Wait until every entry host answers a request to every pipeline.

        :param hosts: the entry hosts.
        :param documents: the services.
        :param generator: makes the requests.
        :param timeout_s: the time limit, in seconds.
        :raises NotReadyError: with the host that is not ready and its last response.
        """
        startup_deadline = time.monotonic() + timeout_s
        async with curio.TaskGroup() as group:
            for number, host in enumerate(hosts):
                warm_up = self._warm_up_host(
                    host, number, documents, generator, startup_deadline
                )
                await group.spawn(warm_up)
        for task in group.tasks:
            task.result  # noqa: B018  (raises what the task raised)

    async def run(self, hosts: Sequence[Address], plan: LoadPlan) -> None:
        """Send the load and wait for the responses.

        :param hosts: the entry hosts.
        :param plan: the requests and the disruption.
        """
        self._hosts = ReadyHosts(hosts, self._rng)
        for request in plan.requests:
            for resend in (False, True)[: 1 + (request.resend_delay_s is not None)]:
                self.reports[(request.marker, resend)] = CallerReport(
                    request, resend, ()
                )
        async with curio.ignore_after(plan.timeout_s), curio.TaskGroup() as group:
            prober = await curio.spawn(self._hosts.run_probes, daemon=True)
            while self._hosts.ready_count < len(hosts):
                await curio.sleep(WARM_UP_RETRY_PAUSE_S)
            started_at = time.monotonic()
            await group.spawn(self._disrupt_when_due, plan, started_at)
            for request in plan.requests:
                await _sleep_until(started_at + request.sent_at_s)
                await group.spawn(self._run_caller, request, False)
                if request.resend_delay_s is not None:
                    await group.spawn(self._run_caller, request, True)
        await prober.cancel()

    async def _disrupt_when_due(self, plan: LoadPlan, started_at: float) -> None:
        await _sleep_until(started_at + plan.disruption_at_s)
        plan.disrupt()

    async def _run_caller(self, request: CallerRequest, resend: bool) -> None:
        assert self._hosts is not None
        if resend:
            await curio.sleep(request.resend_delay_s or 0.0)
        report = await Caller(request, self._hosts).run(resend)
        self.reports[(request.marker, resend)] = report

    async def _warm_up_host(
        self,
        host: Address,
        number: int,
        documents: Sequence[ServiceDocument],
        generator: RequestGenerator,
        startup_deadline: float,
    ) -> None:
        hosts = ReadyHosts((host,), self._rng)
        hosts.mark_ready(host)
        for document in documents:
            for position, pipeline in enumerate(document.pipelines):
                tries = 0
                while True:
                    tries += 1
                    marker = f"warm-{number}-{document.service}-{position}-{tries}"
                    request = generator.make_request(document, pipeline, marker, 0.0)
                    last = (await Caller(request, hosts).run()).attempts[-1].result
                    if isinstance(last, SuccessBody):
                        break
                    if time.monotonic() >= startup_deadline:
                        pipeline_name = f"{document.service}/{pipeline.name}"
                        raise NotReadyError(f"{pipeline_name} at {host}: {last}")
                    await curio.sleep(WARM_UP_RETRY_PAUSE_S)


async def _sleep_until(when: float) -> None:
    await curio.sleep(max(0.0, when - time.monotonic()))
