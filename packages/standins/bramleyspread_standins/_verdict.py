"""Counts the outcomes of a demo and checks the system's guarantees."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Container, Iterable, Sequence
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram

from bramleyspread_core import MessageError, decode_json
from bramleyspread_standins._caller import (
    CallerAttempt,
    CallerReport,
    ErrorBody,
    NoResponse,
    SuccessBody,
)
from bramleyspread_standins._caller_requests import CallerRequest
from bramleyspread_standins._ledger import LedgerEntry
from bramleyspread_standins._payload import StagePayload, make_token

#: Largest latency that the histograms record, in microseconds.
MAX_LATENCY_US = 60_000_000
US_PER_S = 1_000_000


class RequestOutcome(Enum):
    """How a request ended for its caller.

    A request is lost if it has no response, an incomplete or wrong answer, or was
    reported as not run although it ran.
    """

    ANSWERED = "answered whole"
    REFUSED = "refused, not run"
    FAILED = "failed"
    UNKNOWN = "outcome unknown"
    LOST = "lost"


class DemoCounts(msgspec.Struct):
    """The result of a demo; its fields are the keys of the JSON in the last line."""

    requests: int = 0
    #: Number of requests with a complete and correct answer.
    answered_whole: int = 0
    #: Number of requests that were refused without having been run.
    refused_not_run: int = 0
    #: Number of requests that failed or whose outcome is unknown.
    failed: int = 0
    #: Number of requests with the outcome ``LOST``.
    lost: int = 0
    #: Number of attempts with a duplicate token or answer, plus the number of requests
    #: with different answers under one idempotency key.
    doubled: int = 0
    #: Number of attempts with a token of another request, plus the number of answers
    #: of another request or brand.
    crossed: int = 0
    #: Number of complete answers after the deadline.
    late: int = 0
    #: Number of non-idempotent stages that ran more than once for a request.
    ran_more_than_once: int = 0
    #: 95th percentile of the time to the first token, in milliseconds.
    ttft_p95_ms: float = 0.0
    #: 95th percentile of the response time of newly computed answers minus the time at
    #: targets, in milliseconds.
    added_p95_ms: float = 0.0

    def list_broken_guarantees(self, planned_stop_only: bool) -> list[str]:
        """List the guarantees that were broken.

        :param planned_stop_only: whether the only disruption was a planned stop, after
            which no request may fail.
        """
        guarantees = ["lost", "doubled", "crossed", "ran_more_than_once"]
        guarantees += ["failed"] if planned_stop_only else []
        return [name for name in guarantees if getattr(self, name)]


class Verdict:
    """Checks callers' reports and the targets' ledgers and collects the results."""

    def __init__(self, ledger: Sequence[LedgerEntry]) -> None:
        self.counts = DemoCounts()
        #: Number of requests by outcome.
        self.outcomes: Counter[RequestOutcome] = Counter()
        #: Number of requests with more than one attempt.
        self.retried_requests = 0
        #: Reasons why attempts ended without a complete answer.
        self.error_reasons: Counter[str] = Counter()
        #: One line for each violation of a guarantee.
        self.violations: list[str] = []
        self._executed_requests = {entry.request for entry in ledger}
        self._ttft_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._added_latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)

    @classmethod
    def from_reports(
        cls,
        reports: Iterable[CallerReport],
        ledger: Sequence[LedgerEntry],
        non_idempotent: Container[str],
    ) -> Verdict:
        """Check the results of a whole demo.

        :param reports: the report of each request, resends included.
        :param ledger: the entries of all targets' ledgers.
        :param non_idempotent: the names of the stages that may not be repeated.
        """
        verdict = cls(ledger)
        reports_by_marker: dict[str, list[CallerReport]] = defaultdict(list)
        for report in reports:
            reports_by_marker[report.request.marker].append(report)
        for group in reports_by_marker.values():
            verdict._check_request(sorted(group, key=lambda report: report.is_resend))
        verdict._count_repeated_runs(
            [entry for entry in ledger if entry.stage in non_idempotent]
        )
        verdict._set_totals()
        return verdict

    def _check_request(self, reports: Sequence[CallerReport]) -> None:
        outcomes = [self._check_report(report) for report in reports]
        order = [
            RequestOutcome.LOST,
            RequestOutcome.ANSWERED,
            RequestOutcome.UNKNOWN,
            RequestOutcome.FAILED,
            RequestOutcome.REFUSED,
        ]
        outcome = min(outcomes, key=order.index)
        self.outcomes[outcome] += 1
        self.counts.requests += 1
        outputs = {
            bytes(report.attempts[-1].result.output)
            for report in reports
            if report.attempts and isinstance(report.attempts[-1].result, SuccessBody)
        }
        if len(outputs) > 1:
            self._record_violation(
                "doubled",
                reports[0].request,
                "different answers under one idempotency key",
            )

    def _check_report(self, report: CallerReport) -> RequestOutcome:
        self.retried_requests += len(report.attempts) > 1
        consistent = [
            self._check_attempt(report.request, attempt) for attempt in report.attempts
        ]
        if not all(consistent):
            return RequestOutcome.LOST
        if not report.attempts:
            self._record_violation(
                "lost", report.request, "no answer when the demo ended"
            )
            return RequestOutcome.LOST
        last = report.attempts[-1]
        if isinstance(last.result, NoResponse):
            hosts = ", ".join(str(attempt.host) for attempt in report.attempts)
            self._record_violation(
                "lost", report.request, f"{last.result.reason} (asked {hosts})"
            )
            return RequestOutcome.LOST
        if isinstance(last.result, SuccessBody):
            return self._check_success(report.request, last, last.result)
        return self._check_error(report, last.result)

    def _check_error(self, report: CallerReport, result: ErrorBody) -> RequestOutcome:
        if result.ended == "failed":
            return RequestOutcome.FAILED
        earlier = [attempt.result for attempt in report.attempts[:-1]]
        may_have_run = any(
            isinstance(each, NoResponse)
            and not each.not_sent
            or isinstance(each, ErrorBody)
            and not each.not_run
            for each in earlier
        )
        if result.ended == "unknown" or (
            report.request.idempotency_key and may_have_run
        ):
            return RequestOutcome.UNKNOWN
        return RequestOutcome.REFUSED if result.not_run else RequestOutcome.UNKNOWN

    def _check_attempt(self, request: CallerRequest, attempt: CallerAttempt) -> bool:
        """Check one attempt; False if a request reported as not run was run."""
        indices = [token.index for token in attempt.tokens]
        if len(set(indices)) < len(indices) or attempt.extra_end_events:
            self._record_violation("doubled", request, "duplicate token or answer")
        own_prefix = f"{request.marker}."
        if not all(token.token.startswith(own_prefix) for token in attempt.tokens):
            self._record_violation("crossed", request, "a token of another request")
        result = attempt.result
        if isinstance(result, ErrorBody):
            self.error_reasons[f"{result.ended}: {result.reason} at {result.step}"] += 1
            if result.not_run and result.request in self._executed_requests:
                self._record_violation(
                    "lost",
                    request,
                    f"{result.request} was reported as not run, but ran",
                )
                return False
        elif isinstance(result, NoResponse):
            self.error_reasons[f"no answer: {result.reason}"] += 1
        return True

    def _check_success(
        self, request: CallerRequest, attempt: CallerAttempt, result: SuccessBody
    ) -> RequestOutcome:
        try:
            payload: StagePayload = decode_json(bytes(result.output), StagePayload)
        except MessageError as error:
            self._record_violation("lost", request, f"incomplete answer: {error}")
            return RequestOutcome.LOST
        brands = {record.brand for record in payload.trail}
        if payload.marker != request.marker or brands != {request.brand.key}:
            self._record_violation(
                "crossed", request, f"got {payload.marker} of {sorted(brands)}"
            )
            return RequestOutcome.LOST
        output_error = _find_output_error(request, attempt, payload)
        if output_error:
            self._record_violation(
                "lost", request, f"incomplete answer: {output_error}"
            )
            return RequestOutcome.LOST
        self._record_latency(attempt, payload, result.repeated)
        return RequestOutcome.ANSWERED

    def _record_latency(
        self, attempt: CallerAttempt, payload: StagePayload, repeated: bool
    ) -> None:
        duration_s = attempt.ended_at - attempt.started_at
        self.counts.late += duration_s > attempt.deadline_s
        if attempt.first_token_at is not None:
            ttft_us = round((attempt.first_token_at - attempt.started_at) * US_PER_S)
            self._ttft_us.record_value(max(1, ttft_us))
        if not repeated:
            target_us = sum(record.us for record in payload.trail)
            self._added_latency_us.record_value(
                max(1, round(duration_s * US_PER_S) - target_us)
            )

    def _count_repeated_runs(self, non_idempotent_runs: Sequence[LedgerEntry]) -> None:
        runs = Counter((entry.marker, entry.stage) for entry in non_idempotent_runs)
        for (marker, stage), count in sorted(runs.items()):
            if count > 1:
                self.counts.ran_more_than_once += 1
                self.violations.append(f"ran_more_than_once: {marker} {stage}: {count}")

    def _record_violation(
        self, guarantee: str, request: CallerRequest, detail: str
    ) -> None:
        if guarantee != "lost":
            setattr(self.counts, guarantee, getattr(self.counts, guarantee) + 1)
        name = f"{request.service}/{request.pipeline.name}"
        self.violations.append(f"{guarantee}: {request.marker} {name}: {detail}")

    def _set_totals(self) -> None:
        counts, outcomes = self.counts, self.outcomes
        counts.answered_whole = outcomes[RequestOutcome.ANSWERED]
        counts.refused_not_run = outcomes[RequestOutcome.REFUSED]
        counts.failed = (
            outcomes[RequestOutcome.FAILED] + outcomes[RequestOutcome.UNKNOWN]
        )
        counts.lost = outcomes[RequestOutcome.LOST]
        counts.ttft_p95_ms = _get_p95_ms(self._ttft_us)
        counts.added_p95_ms = _get_p95_ms(self._added_latency_us)


def _find_output_error(
    request: CallerRequest, attempt: CallerAttempt, payload: StagePayload
) -> str:
    stages = [stage.name for stage in request.pipeline.stages]
    ran = [record.stage for record in payload.trail]
    if ran != stages:
        return f"stages {ran}, expected {stages}"
    last = request.pipeline.stages[-1]
    if last.model is None:
        return ""
    expected = "".join(
        make_token(request.marker, last.name, last.model, index)
        for index in range(last.max_tokens)
    )
    if payload.text != expected:
        return f"{len(payload.text)} characters of text, expected {len(expected)}"
    if attempt.tokens and "".join(token.token for token in attempt.tokens) != expected:
        return "the streamed tokens are not the whole text"
    return ""


def _get_p95_ms(histogram: HdrHistogram) -> float:
    if not histogram.get_total_count():
        return 0.0
    return round(float(histogram.get_value_at_percentile(95)) / 1_000, 2)
