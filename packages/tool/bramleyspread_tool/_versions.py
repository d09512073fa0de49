"""The ``bramleyspread versions`` command: outcomes by targets' software version."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from statistics import median

import msgspec

from bramleyspread_tool._log_files import LogLine

#: End of a request that its caller got whole.
SERVED = "delivered"
#: Beginning of the end of a request whose target answered that it failed.
FAILED = "target failed"
#: What ends say of streams for which no target had the version that they need.
WITHOUT_TARGET = "no target has the software version"
#: Shown for a version that no control host confirmed, or that targets don't name.
UNCONFIRMED, UNNAMED = "(not confirmed)", "(not named)"


class VersionRow(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the requests that one software version of a service got."""

    service: str
    software: str
    #: Number of targets that had it.
    targets: int
    #: Number of requests that were sent to them, repeats included.
    placed: int
    #: Number of those that the callers got whole.
    delivered: int
    #: Number of those whose answer broke off.
    lost: int
    #: Number of those that the target answered with a failure.
    failed: int
    #: Number of streams begun by it that callers took up again.
    taken_up: int
    #: Number of those for which no target had it any more.
    without_target: int
    #: Median time until callers got the first event, or the answer, in milliseconds.
    first_ms: float


class _Counts:
    """Counts of one version while lines are read."""

    __slots__ = (
        "delivered",
        "failed",
        "first_ms",
        "lost",
        "placed",
        "taken_up",
        "targets",
        "without_target",
    )

    def __init__(self) -> None:
        self.targets: set[str] = set()
        self.placed = 0
        self.delivered = 0
        self.lost = 0
        self.failed = 0
        self.taken_up = 0
        self.without_target = 0
        self.first_ms: list[float] = []


class VersionCounter:
    """Counts what became of requests, by the software version of their targets.

    Used during a rollout: versions of one service stand side by side, so a version that
    breaks off or fails more often than the one before it is seen before all targets
    have it.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], _Counts] = {}
        # The version to which each request was sent last, until its end.
        self._placed: dict[str, tuple[str, str]] = {}
        # The version that began the stream which a request takes up.
        self._resumed: dict[str, str] = {}
        # The service of each version that was seen, for streams that are refused.
        self._services: dict[str, str] = {}

    def add(self, line: LogLine) -> None:
        """Count a line; the lines of one host must come in their order."""
        if line.step == "place" and line.service and line.peer != "-":
            self._place(line)
        elif line.step == "resume":
            self._resumed[line.request] = _name_version(line)
        elif line.step == "lost" and line.request in self._placed:
            self._find(self._placed[line.request]).lost += 1
        elif line.step == "end":
            self._end(line)

    def _place(self, line: LogLine) -> None:
        version = _name_version(line)
        self._services.setdefault(version, line.service)
        key = self._placed[line.request] = (line.service, version)
        counts = self._find(key)
        counts.placed += 1
        counts.targets.add(line.peer)

    def _end(self, line: LogLine) -> None:
        key = self._placed.pop(line.request, None)
        resumed = self._resumed.pop(line.request, None)
        if resumed is not None and resumed in self._services:
            origin = self._find((self._services[resumed], resumed))
            origin.taken_up += 1
            origin.without_target += WITHOUT_TARGET in line.text
        if key is None:
            return
        counts = self._find(key)
        counts.failed += line.text.startswith(FAILED)
        if line.text == SERVED:
            counts.delivered += 1
            first_ms = line.fields.get("first_ms")
            if isinstance(first_ms, int | float):
                counts.first_ms.append(first_ms or line.ms)

    def _find(self, key: tuple[str, str]) -> _Counts:
        return self._counts.setdefault(key, _Counts())

    def list_rows(self) -> tuple[VersionRow, ...]:
        """List the versions by service and name."""
        return tuple(
            VersionRow(
                service=service,
                software=software,
                targets=len(counts.targets),
                placed=counts.placed,
                delivered=counts.delivered,
                lost=counts.lost,
                failed=counts.failed,
                taken_up=counts.taken_up,
                without_target=counts.without_target,
                first_ms=median(counts.first_ms) if counts.first_ms else 0.0,
            )
            for (service, software), counts in sorted(self._counts.items())
        )


def count_versions(lines: Iterable[LogLine | None]) -> tuple[VersionRow, ...]:
    """Count what became of requests, by the software version of their targets.

    :param lines: the lines of all logs; None for lines that can't be read.
    :returns: a row for each version of each service.
    """
    counter = VersionCounter()
    for line in lines:
        if line is not None:
            counter.add(line)
    return counter.list_rows()


def format_versions(rows: Sequence[VersionRow]) -> Sequence[str]:
    """Format rows as a table.

    :param rows: the rows.
    :returns: the lines.
    """
    return tuple(_list_lines(rows))


def _list_lines(rows: Sequence[VersionRow]) -> Iterator[str]:
    yield (
        f"{'service':16} {'version':16} {'targets':>7} {'sent':>7} {'whole':>7} "
        f"{'lost':>6} {'failed':>6} {'taken up':>8} {'no target':>9} {'first ms':>8}"
    )
    for row in rows:
        yield (
            f"{row.service:16} {row.software:16} {row.targets:7} {row.placed:7} "
            f"{row.delivered:7} {row.lost:6} {row.failed:6} {row.taken_up:8} "
            f"{row.without_target:9} {row.first_ms:8.0f}"
        )


def _name_version(line: LogLine) -> str:
    software = line.fields.get("software")
    if software is None:
        return UNCONFIRMED
    return str(software) or UNNAMED
