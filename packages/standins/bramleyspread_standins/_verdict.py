"""What the answers of a demo amount to, and whether a promise broke."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Container, Iterable, Sequence
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram

from bramleyspread_core import MessageError, decode_json
from bramleyspread_standins._asks import Ask
from bramleyspread_standins._caller import (
    Asked,
    CallerReport,
    EndedBody,
    NoAnswer,
    WholeBody,
)
from bramleyspread_standins._ledger import LedgerLine
from bramleyspread_standins._work import StageWork, make_token

#: Longest time that histograms tell apart, in microseconds.
LONGEST_US = 60_000_000
#: Microseconds in a second.
US = 1_000_000


class End(Enum):
    """How a request ended for its caller."""

    WHOLE = "answered whole"
    REFUSED = "refused, not run"
    FAILED = "failed"
    UNKNOWN = "outcome unknown"
    LOST = "lost"


class Counts(msgspec.Struct):
    """A demo's result; its fields are the keys of the last line."""

    requests: int = 0
    answered_whole: int = 0
    refused_not_run: int = 0
    failed: int = 0
    lost: int = 0
    doubled: int = 0
    crossed: int = 0
    late: int = 0
    ran_more_than_once: int = 0
    ttft_p95_ms: float = 0.0
    added_p95_ms: float = 0.0

    def list_broken(self, with_drain: bool) -> list[str]:
        """List the promises that broke.

        :param with_drain: whether the only disturbance was a planned stop.
        """
        promises = ["lost", "doubled", "crossed", "ran_more_than_once"]
        promises += ["failed"] if with_drain else []
        return [name for name in promises if getattr(self, name)]


class Verdict:
    """Judges reports one by one and keeps what a person should read."""

    def __init__(self, ledger: Sequence[LedgerLine]) -> None:
        #: The counts so far.
        self.counts = Counts()
        #: How requests ended.
        self.ends: Counter[End] = Counter()
        #: Requests that were asked more than once.
        self.asked_again = 0
        #: Why asks ended without a whole answer.
        self.reasons: Counter[str] = Counter()
        #: One line for each broken promise.
        self.breaches: list[str] = []
        self._ran = {line.request for line in ledger}
        self._first_tokens = HdrHistogram(1, LONGEST_US, 3)
        self._added = HdrHistogram(1, LONGEST_US, 3)

    @classmethod
    def from_reports(
        cls,
        reports: Iterable[CallerReport],
        ledger: Sequence[LedgerLine],
        once: Container[str],
    ) -> Verdict:
        """Judge a whole demo.

        :param reports: each request's report, resends included.
        :param ledger: what the targets ran.
        :param once: the names of the stages that may not be repeated.
        """
        verdict = cls(ledger)
        groups: dict[str, list[CallerReport]] = defaultdict(list)
        for report in reports:
            groups[report.ask.marker].append(report)
        for group in groups.values():
            verdict._judge(sorted(group, key=lambda report: report.resend))
        verdict._judge_ledger([line for line in ledger if line.stage in once])
        verdict._finish()
        return verdict

    def _judge(self, group: Sequence[CallerReport]) -> None:
        ends = [self._judge_report(report) for report in group]
        order = [End.LOST, End.WHOLE, End.UNKNOWN, End.FAILED, End.REFUSED]
        end = min(ends, key=order.index)
        self.ends[end] += 1
        self.counts.requests += 1
        outputs = {
            bytes(report.asks[-1].result.output)
            for report in group
            if report.asks and isinstance(report.asks[-1].result, WholeBody)
        }
        if len(outputs) > 1:
            self._note("doubled", group[0].ask, "two answers under one key")

    def _judge_report(self, report: CallerReport) -> End:
        self.asked_again += len(report.asks) > 1
        honest = [self._judge_ask(report.ask, asked) for asked in report.asks]
        if not all(honest):
            return End.LOST
        if not report.asks:
            self._note("lost", report.ask, "no answer when the demo ended")
            return End.LOST
        last = report.asks[-1]
        if isinstance(last.result, NoAnswer):
            hosts = ", ".join(str(asked.host) for asked in report.asks)
            self._note("lost", report.ask, f"{last.result.why} (asked {hosts})")
            return End.LOST
        if isinstance(last.result, WholeBody):
            return self._judge_whole(report.ask, last, last.result)
        return self._judge_ended(report, last.result)

    def _judge_ended(self, report: CallerReport, result: EndedBody) -> End:
        if result.ended == "failed":
            return End.FAILED
        earlier = [asked.result for asked in report.asks[:-1]]
        in_doubt = any(
            isinstance(each, NoAnswer)
            and not each.unsent
            or isinstance(each, EndedBody)
            and not each.not_run
            for each in earlier
        )
        if result.ended == "unknown" or (report.ask.key and in_doubt):
            return End.UNKNOWN
        return End.REFUSED if result.not_run else End.UNKNOWN

    def _judge_ask(self, ask: Ask, asked: Asked) -> bool:
        """Judge one ask; False when it was told not run but ran."""
        indices = [token.index for token in asked.tokens]
        if len(set(indices)) < len(indices) or asked.extra_answers:
            self._note("doubled", ask, "a token or an answer came twice")
        own = f"{ask.marker}."
        if not all(token.token.startswith(own) for token in asked.tokens):
            self._note("crossed", ask, "a token of another request")
        result = asked.result
        if isinstance(result, EndedBody):
            self.reasons[f"{result.ended}: {result.reason} at {result.step}"] += 1
            if result.not_run and result.request in self._ran:
                self._note("lost", ask, f"{result.request} was told not run, but ran")
                return False
        elif isinstance(result, NoAnswer):
            self.reasons[f"no answer: {result.why}"] += 1
        return True

    def _judge_whole(self, ask: Ask, asked: Asked, result: WholeBody) -> End:
        try:
            work: StageWork = decode_json(bytes(result.output), StageWork)
        except MessageError as error:
            self._note("lost", ask, f"an answer that is not whole: {error}")
            return End.LOST
        brands = {step.brand for step in work.trail}
        if work.marker != ask.marker or brands != {ask.brand.key}:
            self._note("crossed", ask, f"got {work.marker} of {sorted(brands)}")
            return End.LOST
        fault = _find_missing(ask, asked, work)
        if fault:
            self._note("lost", ask, f"an answer that is not whole: {fault}")
            return End.LOST
        self._measure(asked, work, result.repeated)
        return End.WHOLE

    def _measure(self, asked: Asked, work: StageWork, repeated: bool) -> None:
        took = asked.ended - asked.began
        self.counts.late += took > asked.deadline
        if asked.first_token is not None:
            first = round((asked.first_token - asked.began) * US)
            self._first_tokens.record_value(max(1, first))
        if not repeated:
            at_targets = sum(step.us for step in work.trail)
            self._added.record_value(max(1, round(took * US) - at_targets))

    def _judge_ledger(self, ledger: Sequence[LedgerLine]) -> None:
        runs = Counter((line.marker, line.stage) for line in ledger)
        for (marker, stage), count in sorted(runs.items()):
            if count > 1:
                self.counts.ran_more_than_once += 1
                self.breaches.append(f"ran_more_than_once: {marker} {stage}: {count}")

    def _note(self, promise: str, ask: Ask, why: str) -> None:
        if promise != "lost":
            setattr(self.counts, promise, getattr(self.counts, promise) + 1)
        name = f"{ask.service}/{ask.pipeline.name}"
        self.breaches.append(f"{promise}: {ask.marker} {name}: {why}")

    def _finish(self) -> None:
        counts, ends = self.counts, self.ends
        counts.answered_whole = ends[End.WHOLE]
        counts.refused_not_run = ends[End.REFUSED]
        counts.failed = ends[End.FAILED] + ends[End.UNKNOWN]
        counts.lost = ends[End.LOST]
        counts.ttft_p95_ms = _read_p95(self._first_tokens)
        counts.added_p95_ms = _read_p95(self._added)


def _find_missing(ask: Ask, asked: Asked, work: StageWork) -> str:
    stages = [stage.name for stage in ask.pipeline.stages]
    ran = [step.stage for step in work.trail]
    if ran != stages:
        return f"stages {ran}, expected {stages}"
    last = ask.pipeline.stages[-1]
    if last.model is None:
        return ""
    expected = "".join(
        make_token(ask.marker, last.name, last.model, index)
        for index in range(last.max_tokens)
    )
    if work.text != expected:
        return f"{len(work.text)} characters of text, expected {len(expected)}"
    if asked.tokens and "".join(token.token for token in asked.tokens) != expected:
        return "the streamed tokens are not the whole text"
    return ""


def _read_p95(histogram: HdrHistogram) -> float:
    if not histogram.get_total_count():
        return 0.0
    return round(float(histogram.get_value_at_percentile(95)) / 1_000, 2)
