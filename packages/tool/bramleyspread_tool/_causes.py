"""The ``bramleyspread causes`` command: counts why requests were not served."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from bramleyspread_tool._log_files import LogLine

#: End of a request that its caller got whole.
SERVED = "delivered"
#: Cause of requests whose host wrote nothing about their end.
NO_END = "no end was logged"
_DURATION = re.compile(r"\b\d+(\.\d+)?(?= m?s\b)")


class Cause(msgspec.Struct, frozen=True):
    """One cause, and the requests that it ended."""

    #: The cause; durations in it are replaced by ``N``.
    text: str
    #: Number of requests.
    requests: int
    #: Id of the first of them, for ``explain``.
    example: str


class CauseReport(msgspec.Struct, frozen=True):
    """Why requests of a set of logs were not served."""

    #: Number of requests that callers sent.
    requests: int
    #: Number of them that were served.
    served: int
    #: The causes of the others, the most frequent first.
    causes: tuple[Cause, ...]
    #: Number of lines that can't be read.
    unreadable_line_count: int


class _OpenRequest:
    """A request whose end has not been read yet."""

    __slots__ = ("failed_stage", "host")

    def __init__(self, host: str) -> None:
        self.host = host
        #: The service of the stage that failed; empty for none.
        self.failed_stage = ""


class CauseCounter:
    """Counts the first cause of each request that was not served.

    Only requests whose end has not been read are kept in memory.
    """

    def __init__(self) -> None:
        self._open: dict[str, _OpenRequest] = {}
        self._counts: Counter[str] = Counter()
        self._examples: dict[str, str] = {}
        self._requests = 0
        self._served = 0

    def add(self, line: LogLine) -> None:
        """Count a line; the lines of one host must come in their order."""
        if line.step == "start":
            self._end_requests_of(line.host, f"{line.host} restarted during it")
        if not line.request:
            return
        if line.step == "admit":
            self._admit(line)
        elif line.step == "stage" and line.text.startswith("not made"):
            known = self._open.get(line.request)
            if known is not None:
                known.failed_stage = line.service
        elif line.step == "end":
            self._end(line)

    def _admit(self, line: LogLine) -> None:
        self._requests += 1
        if line.text.startswith("refused"):
            self._count(line.request, f"at arrival: {line.text}")
        else:
            self._open[line.request] = _OpenRequest(line.host)

    def _end(self, line: LogLine) -> None:
        known = self._open.pop(line.request, None)
        if known is None:
            self._requests += 1
        if line.text == SERVED:
            self._served += 1
            return
        stage = known.failed_stage if known is not None else ""
        text = f"{line.text} of {stage}" if stage else line.text
        self._count(line.request, text)

    def _end_requests_of(self, host: str, cause: str) -> None:
        ended = [x for x, request in self._open.items() if request.host == host]
        for request in ended:
            del self._open[request]
            self._count(request, cause)

    def _count(self, request: str, cause: str) -> None:
        cause = _DURATION.sub("N", cause)
        self._counts[cause] += 1
        self._examples.setdefault(cause, request)

    def make_report(self, unreadable_line_count: int = 0) -> CauseReport:
        """Return the counts; requests without an end are one cause.

        :param unreadable_line_count: number of lines that can't be read.
        """
        counts = self._counts + Counter({NO_END: len(self._open)})
        examples = {NO_END: next(iter(self._open), ""), **self._examples}
        return CauseReport(
            self._requests,
            self._served,
            tuple(
                Cause(text, number, examples[text])
                for text, number in sorted(counts.items(), key=lambda x: (-x[1], x[0]))
            ),
            unreadable_line_count,
        )


def count_causes(lines: Iterable[LogLine | None]) -> CauseReport:
    """Count why requests were not served.

    :param lines: the lines of all logs; None for lines that can't be read.
    :returns: the counts.
    """
    counter = CauseCounter()
    unreadable = 0
    for line in lines:
        if line is None:
            unreadable += 1
        else:
            counter.add(line)
    return counter.make_report(unreadable)


def format_causes(report: CauseReport) -> Sequence[str]:
    """Format a report as a table.

    :param report: the report.
    :returns: the lines.
    """
    return tuple(_list_rows(report))


def _list_rows(report: CauseReport) -> Iterator[str]:
    total = max(report.requests, 1)
    yield f"{report.requests} requests, {report.served} served"
    for cause in report.causes:
        share = 100 * cause.requests / total
        yield f"{cause.requests:7} {share:6.2f} %  {cause.text}  ({cause.example})"
    if report.unreadable_line_count:
        yield f"{report.unreadable_line_count} line(s) can't be read"
