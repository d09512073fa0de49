"""What targets ran, and what the promises say about it."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass

from bramleyspread_core import Happening, Stamp, TimelineEvent

#: Events kept for the time line of a breach.
KEPT_EVENTS = 2_000


@dataclass(frozen=True, slots=True)
class Run:
    """One run of one stage on one target."""

    #: What the caller marked its work with; the same in each resend.
    marker: str
    #: The request as the entry host named it.
    request: str
    #: The stage.
    stage: str
    #: The target.
    target: str
    #: Whether a second run would have a second effect.
    effect: bool


class Ledger:
    """All runs and answers of a simulated deployment."""

    def __init__(self) -> None:
        #: Every run that began, in order.
        self.runs: list[Run] = []
        #: Requests that were answered as refused and not run.
        self.refused: set[str] = set()
        #: What was found broken on the way, a line each.
        self.breaches: list[str] = []
        #: The newest events of all processes, in virtual time.
        self.timeline: deque[TimelineEvent] = deque(maxlen=KEPT_EVENTS)
        self._answered: Counter[str] = Counter()

    def enter_answer(self, request: str, refused: bool) -> None:
        """Enter a final answer.

        :param request: the request.
        :param refused: whether it said that nothing was run.
        """
        self._answered[request] += 1
        if refused:
            self.refused.add(request)

    def note(self, seconds: float, host: str, happening: Happening) -> None:
        """Note an event for the time line.

        :param seconds: virtual time.
        :param host: where it happened.
        :param happening: what happened.
        """
        stamp = Stamp(round(seconds * 1000), len(self.timeline))
        self.timeline.append(
            TimelineEvent(
                stamp,
                host,
                happening.kind,
                happening.request,
                happening.step,
                happening.peer,
                happening.detail,
            )
        )

    def breach(self, contract: str, detail: str) -> None:
        """Enter a breach.

        :param contract: the contract's name.
        :param detail: what was seen.
        """
        self.breaches.append(f"{contract}: {detail}")

    def list_breaches(self) -> tuple[str, ...]:
        """List all breaches, those that only the whole run shows included.

        :returns: a line each; empty when every promise held.
        """
        return (*self.breaches, *self._find_doubled(), *self._find_refused_but_run())

    def _find_doubled(self) -> Iterator[str]:
        for request, count in self._answered.items():
            if count > 1:
                yield f"answered-once: {request} was answered {count} times"
        effects = Counter((r.marker, r.stage) for r in self.runs if r.effect)
        for (marker, stage), count in effects.items():
            if count > 1:
                yield f"run-at-most-once: {stage} of {marker} ran {count} times"

    def _find_refused_but_run(self) -> Iterator[str]:
        for run in self.runs:
            if run.request in self.refused:
                yield f"refused-not-run: {run.stage} of {run.request} ran"
