"""Taking requests in: names, draining, room, admission."""

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
from bramleyspread_entry._conclusion import Conclusion
from bramleyspread_entry._drain import Drain
from bramleyspread_entry._pipeline import Run
from bramleyspread_entry._state import EntryState, TimerKind

#: When a caller refused by a draining host may ask another one.
DRAIN_RETRY_MS = 100
#: When a caller refused for want of room may come back.
ROOM_RETRY_MS = 1_000


class Intake:
    """Takes a request on, or answers it at once with why not."""

    __slots__ = ("_brands", "_conclusion", "_drain", "_state")

    def __init__(self, state: EntryState, conclusion: Conclusion) -> None:
        self._state = state
        self._conclusion = conclusion
        self._drain = Drain(state.config.drain_grace)
        self._brands: dict[str, tuple[int, frozenset[Brand]]] = {}

    def begin_drain(self, now: float) -> None:
        """Take no new requests once the balancer has caught up.

        :param now: monotonic seconds.
        """
        self._drain.begin(now)

    def take(self, request: CallerRequest, now: float) -> Run | None:
        """Take a request on.

        :param request: the request, with an id never used before.
        :param now: monotonic seconds.
        :returns: the request to run, or None when it was refused.
        """
        state = self._state
        known = request.request in state.runs
        state.watch.check(ANSWERED_ONCE, not known, request.request, "id used twice")
        run = self._find_work(request, now)
        if isinstance(run, str):
            self._refuse(request, run)
            return None
        refusal = self._judge(run, now)
        state.policies.occupancy.enter(run.pools)
        state.runs[request.request] = run
        if refusal is not None:
            state.counts[f"refused-{refusal.fault.reason.value}"] += 1
            self._conclusion.give_up(run, refusal.fault, now, refusal.retry_after_ms)
            return None
        state.timers.set((TimerKind.DEADLINE, request.request), run.deadline)
        state.report("request-taken", run, request.brand.key)
        return run

    def _find_work(self, request: CallerRequest, now: float) -> Run | str:
        """Find the pipeline asked for, or say what does not exist."""
        document = self._state.directory.find_document(request.service)
        if document is None or document.retired:
            return f"no service {request.service!r} in force"
        pipeline = document.find_pipeline(request.pipeline)
        if pipeline is None:
            return f"no pipeline {request.pipeline!r}"
        if request.brand not in self._list_brands(document):
            return f"no brand {request.brand.key!r}"
        return Run(request, document, pipeline, now)

    def _list_brands(self, document: ServiceDocument) -> frozenset[Brand]:
        """List a document's brands, once for each version of it."""
        version, brands = self._brands.get(document.service, (0, frozenset()))
        if version != document.version:
            brands = frozenset(
                Brand(organisation.name, brand.name)
                for organisation in document.organisations
                for brand in organisation.brands
            )
            self._brands[document.service] = (document.version, brands)
        return brands

    def _refuse(self, request: CallerRequest, detail: str) -> None:
        self._state.counts["refused-unknown-name"] += 1
        fault = Fault(Reason.UNKNOWN_NAME, "admission", self._state.config.host, detail)
        self._state.emit(SendAnswer(request.request, AnswerRefused(fault)))

    def _judge(self, run: Run, now: float) -> Refusal | None:
        state = self._state
        if not self._drain.takes_requests(now):
            detail = "this host is stopping; ask another one"
            fault = Fault(Reason.DRAINING, "admission", state.config.host, detail)
            return Refusal(fault, DRAIN_RETRY_MS)
        if len(state.runs) >= state.config.max_in_flight:
            detail = f"{len(state.runs)} requests are held already"
            fault = Fault(Reason.OVERLOAD, "admission", state.config.host, detail)
            return Refusal(fault, ROOM_RETRY_MS)
        return state.policies.admission.judge(run, now)
