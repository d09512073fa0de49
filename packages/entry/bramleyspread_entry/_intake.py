"""Reception of requests: checks names, draining, capacity and admission."""

from __future__ import annotations

from bramleyspread_core import (
    ANSWERED_ONCE,
    AnswerRefused,
    Brand,
    CallerRequest,
    Fault,
    Reason,
    SendAnswer,
    ServiceDocument,
)
from bramleyspread_entry._admission import Refusal
from bramleyspread_entry._completion import RequestCompletion
from bramleyspread_entry._drain import Drain
from bramleyspread_entry._pipeline import PipelineRun
from bramleyspread_entry._state import EntryState, TimerKind

#: Delay before a caller refused by a draining host may retry at another host.
DRAIN_RETRY_MS = 100
#: Delay before a caller may retry after the host had too many requests in flight.
CAPACITY_RETRY_MS = 1_000


class Intake:
    """Admits requests, or refuses them at once with a reason."""

    __slots__ = ("_brands", "_completion", "_drain", "_state")

    def __init__(self, state: EntryState, completion: RequestCompletion) -> None:
        self._state = state
        self._completion = completion
        self._drain = Drain(state.config.drain_grace_s)
        self._brands: dict[str, tuple[int, frozenset[Brand]]] = {}

    def begin_drain(self, now: float) -> None:
        """Refuse new requests once the grace period of the drain has ended.

        :param now: monotonic seconds.
        """
        self._drain.begin(now)

    def receive(self, request: CallerRequest, now: float) -> PipelineRun | None:
        """Receive a request, and admit or refuse it.

        :param request: the request, with an id never used before.
        :param now: monotonic seconds.
        :returns: the state of the admitted request, or None when it was refused.
        """
        state = self._state
        already_in_flight = request.request in state.runs
        state.watch.check(
            ANSWERED_ONCE,
            not already_in_flight,
            request.request,
            "request id is already in use by a request in flight",
        )
        run = self._create_run(request, now)
        if isinstance(run, str):
            self._refuse_unknown_name(request, run)
            return None
        refusal = self._check_admission(run, now)
        state.policies.occupancy.add_request(run.pools)
        state.runs[request.request] = run
        if refusal is not None:
            state.event_counts[f"refused-{refusal.fault.reason.value}"] += 1
            self._completion.give_up(run, refusal.fault, now, refusal.retry_after_ms)
            return None
        state.timers.set((TimerKind.DEADLINE, request.request), run.deadline)
        state.report("request-taken", run, request.brand.key)
        return run

    def _create_run(self, request: CallerRequest, now: float) -> PipelineRun | str:
        """Create a request's state, or return an error text for an unknown name."""
        document = self._state.directory.find_document(request.service)
        if document is None or document.retired:
            return f"no service {request.service!r} in force"
        pipeline = document.find_pipeline(request.pipeline)
        if pipeline is None:
            return f"no pipeline {request.pipeline!r}"
        if request.brand not in self._list_brands(document):
            return f"no brand {request.brand.key!r}"
        return PipelineRun(request, document, pipeline, now)

    def _list_brands(self, document: ServiceDocument) -> frozenset[Brand]:
        """List a document's brands; cached until the document's version changes."""
        version, brands = self._brands.get(document.service, (0, frozenset()))
        if version != document.version:
            brands = frozenset(
                Brand(organisation.name, brand.name)
                for organisation in document.organisations
                for brand in organisation.brands
            )
            self._brands[document.service] = (document.version, brands)
        return brands

    def _refuse_unknown_name(self, request: CallerRequest, detail: str) -> None:
        self._state.event_counts["refused-unknown-name"] += 1
        fault = Fault(Reason.UNKNOWN_NAME, "admission", self._state.config.host, detail)
        self._state.emit(SendAnswer(request.request, AnswerRefused(fault)))

    def _check_admission(self, run: PipelineRun, now: float) -> Refusal | None:
        state = self._state
        if not self._drain.accepts_requests(now):
            detail = "this host is stopping; ask another one"
            fault = Fault(Reason.DRAINING, "admission", state.config.host, detail)
            return Refusal(fault, DRAIN_RETRY_MS)
        if len(state.runs) >= state.config.max_in_flight:
            detail = f"{len(state.runs)} requests are held already"
            fault = Fault(Reason.OVERLOAD, "admission", state.config.host, detail)
            return Refusal(fault, CAPACITY_RETRY_MS)
        return state.policies.admission.check(run, now)
