"""A record of all stage runs and answers, checked against the contracts."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass

from bramleyspread_core import Stamp, TimelineEvent, UnstampedEvent

#: Maximum number of events kept for the time line of a breach.
MAX_EVENTS = 2_000


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a stage on a target."""

    #: The caller's marker, which stays the same when the request is resent.
    marker: str
    #: Request id assigned by the entry host.
    request: str
    #: Name of the stage.
    stage: str
    #: Name of the target.
    target: str
    #: Whether the stage has a side effect, so that it must not run twice.
    has_effect: bool


class Ledger:
    """Records the runs, answers and breaches of a simulated deployment."""

    def __init__(self) -> None:
        #: All runs that started, in order.
        self.runs: list[Run] = []
        #: Requests that were answered as refused, which says that nothing was run.
        self.refused: set[str] = set()
        #: Breaches detected during the simulation, one line each.
        self.breaches: list[str] = []
        #: The most recent events of all processes, in virtual time.
        self.timeline: deque[TimelineEvent] = deque(maxlen=MAX_EVENTS)
        self._answered: Counter[str] = Counter()

    def record_answer(self, request: str, refused: bool) -> None:
        """Record the final answer to a request.

        :param request: the request id.
        :param refused: whether the answer says that nothing was run.
        """
        self._answered[request] += 1
        if refused:
            self.refused.add(request)

    def record_event(self, seconds: float, host: str, event: UnstampedEvent) -> None:
        """Add an event to the time line.

        :param seconds: virtual time of the event.
        :param host: the process that reported it.
        :param event: the event.
        """
        stamp = Stamp(round(seconds * 1000), len(self.timeline))
        self.timeline.append(
            TimelineEvent(
                stamp,
                host,
                event.kind,
                event.request,
                event.step,
                event.peer,
                event.detail,
            )
        )

    def record_breach(self, contract: str, detail: str) -> None:
        """Record a breach of a contract.

        :param contract: name of the contract.
        :param detail: what was observed.
        """
        self.breaches.append(f"{contract}: {detail}")

    def list_breaches(self) -> tuple[str, ...]:
        """List all breaches, including those found by checking the complete run.

        :returns: one line per breach; empty if all contracts held.
        """
        return (*self.breaches, *self._find_repeated(), *self._find_refused_but_run())

    def _find_repeated(self) -> Iterator[str]:
        for request, count in self._answered.items():
            if count > 1:
                yield f"answered-once: {request} was answered {count} times"
        effects = Counter((r.marker, r.stage) for r in self.runs if r.has_effect)
        for (marker, stage), count in effects.items():
            if count > 1:
                yield f"run-at-most-once: {stage} of {marker} ran {count} times"

    def _find_refused_but_run(self) -> Iterator[str]:
        for run in self.runs:
            if run.request in self.refused:
                yield f"refused-not-run: {run.stage} of {run.request} ran"
