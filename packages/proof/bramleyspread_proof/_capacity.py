"""Capacity estimates at the target size, computed from measured figures.

``scripts/capacity FILE`` reads the JSON lines printed by ``scripts/bench`` and
prints the tables of docs/CAPACITY.md.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from bramleyspread_core import MessageError, decode_json
from bramleyspread_proof._figures import Figure

#: The target size.
ENTRY_DAEMONS = 480
ENGINES = 11_000
REQUESTS_PER_S = 8_800
TOKENS_PER_S = 3_600_000
ORGANISATIONS = 2_700
CHANGES_PER_DAY = 18_000
CONTROL_HOSTS = 40
STAGES_PER_REQUEST = 4.5
DAY_S = 86_400
#: Upper bounds on a daemon's costs for control: processor, memory and bytes sent.
CORE_PERCENT = 2.4
MEMORY_MB = 128.0
SENT_KB_PER_S = 10.0
#: Share of requests with an idempotency key, each of which needs a claim and a
#: settlement.
KEYED_SHARE = 0.1
#: Polls for documents, and reports about targets, that an entry host sends to control
#: hosts per second.
POLLS_PER_S = 1.0
REPORTS_PER_S = 1 / 8
#: Plans of the reconciler per second.
PLANS_PER_S = 4.0
#: Approximate size of the start lines and headers of an HTTP exchange, in bytes.
HTTP_BYTES = 300
#: Share of a core that one process can use.
USABLE_CORE_SHARE = 0.7


class FiguresError(ValueError):
    """The file of figures is invalid or incomplete."""


class Figures:
    """Measured figures by benchmark and name."""

    def __init__(self, figures: Sequence[Figure]) -> None:
        self._values = {(each.bench, each.figure): each.value for each in figures}

    @classmethod
    def from_file(cls, path: Path) -> Figures:
        """Read the output of ``scripts/bench``.

        :param path: a file of JSON lines.
        :returns: the figures.
        :raises FiguresError: if a line is not a figure.
        """
        figures: list[Figure] = []
        for number, line in enumerate(path.read_bytes().splitlines(), start=1):
            try:
                figures.append(decode_json(line, Figure))
            except MessageError as error:
                raise FiguresError(f"{path}: line {number}: {error}") from None
        return cls(figures)

    def find(self, bench: str, figure: str) -> float:
        """Return the value of a figure.

        :param bench: name of its benchmark.
        :param figure: name of the figure.
        :returns: the value.
        :raises FiguresError: if the file does not contain it.
        """
        value = self._values.get((bench, figure))
        if value is None:
            raise FiguresError(f"no figure {bench}/{figure}: run that bench again")
        return value


@dataclass(frozen=True, slots=True)
class TableRow:
    """A summand of a total, shown as a row of its table."""

    #: Name of the summand.
    name: str
    #: The formula, with its numbers.
    formula: str
    #: Result of the formula.
    value: float
    #: Unit of the result.
    unit: str


@dataclass(frozen=True, slots=True)
class Total:
    """A sum with its bound."""

    #: Name of the total.
    name: str
    #: The summands.
    rows: tuple[TableRow, ...]
    #: Upper bound, in the unit of the summands.
    bound: float

    @property
    def value(self) -> float:
        """The sum of all rows."""
        return sum(item.value for item in self.rows)

    @property
    def holds(self) -> bool:
        """Whether the sum is within the bound."""
        return self.value <= self.bound


def list_totals(figures: Figures) -> tuple[Total, ...]:
    """Compute all totals for which the target sets a bound.

    :param figures: the measured figures.
    :returns: the totals, those of an entry daemon first.
    """
    return (
        _sum_entry_control(figures),
        _sum_entry_sent(figures),
        _sum_entry_memory(figures),
        _sum_entry_callers(figures),
        _sum_leader_core(figures),
        _sum_claim_leader(figures),
    )


def _sum_entry_control(figures: Figures) -> Total:
    read_us = figures.find("control-plane", "read a document, an organisation")
    core = figures.find(
        "membership", f"{ENTRY_DAEMONS} hosts {ENGINES} targets: processor"
    )
    changes_per_s = CHANGES_PER_DAY / DAY_S
    exchange = figures.find("daemon", "processor an exchange")
    return Total(
        "an entry daemon's processor for control, % of a core",
        (
            TableRow("membership", "measured at this size", core, "%"),
            TableRow(
                "documents",
                f"{changes_per_s:.2f} changes/s x {ORGANISATIONS} organisations "
                f"x {read_us:.1f} us",
                changes_per_s * ORGANISATIONS * read_us / 1e4,
                "%",
            ),
            TableRow(
                "polls and reports",
                f"{POLLS_PER_S + REPORTS_PER_S:.3f} exchanges/s x {exchange:.0f} us",
                (POLLS_PER_S + REPORTS_PER_S) * exchange / 1e4,
                "%",
            ),
        ),
        CORE_PERCENT,
    )


def _sum_entry_sent(figures: Figures) -> Total:
    gossip = figures.find(
        "membership", f"{ENTRY_DAEMONS} hosts {ENGINES} targets: sent with HTTP"
    )
    poll = figures.find("control-plane", "poll")
    each = figures.find("control-plane", "report, a target")
    targets = ENGINES / ENTRY_DAEMONS
    return Total(
        "an entry daemon's bytes sent for control, KB/s",
        (
            TableRow("membership", "measured at this size", gossip, "KB/s"),
            TableRow(
                "polls",
                f"{POLLS_PER_S:.0f}/s x ({poll:.0f} + {HTTP_BYTES}) bytes",
                POLLS_PER_S * (poll + HTTP_BYTES) / 1e3,
                "KB/s",
            ),
            TableRow(
                "reports of targets",
                f"{REPORTS_PER_S:.3f}/s x {targets:.0f} targets x {each:.0f} bytes",
                REPORTS_PER_S * (targets * each + HTTP_BYTES) / 1e3,
                "KB/s",
            ),
        ),
        SENT_KB_PER_S,
    )


def _sum_entry_memory(figures: Figures) -> Total:
    membership_mb = figures.find(
        "membership", f"{ENTRY_DAEMONS} hosts {ENGINES} targets: memory"
    )
    waiting = figures.find("daemon", "memory of a waiting request")
    size = figures.find("control-plane", "document, an organisation")
    in_flight = REQUESTS_PER_S / ENTRY_DAEMONS * 4.0
    return Total(
        "an entry daemon's memory for control, MB",
        (
            TableRow(
                "membership",
                "measured at this size, all of the process",
                membership_mb,
                "MB",
            ),
            TableRow(
                "documents",
                f"12 services x {ORGANISATIONS} organisations x {size:.0f} bytes x 4",
                12 * ORGANISATIONS * size * 4 / 1e6,
                "MB",
            ),
            TableRow(
                "requests in flight",
                f"{in_flight:.0f} x {waiting:.0f} KiB",
                in_flight * waiting / 1024,
                "MB",
            ),
        ),
        MEMORY_MB,
    )


def _sum_entry_callers(figures: Figures) -> Total:
    token = figures.find("daemon", "processor a token")
    stage = figures.find("daemon", "processor a stage")
    request_us = figures.find("daemon", "processor a request besides")
    requests = REQUESTS_PER_S / ENTRY_DAEMONS
    tokens = TOKENS_PER_S / ENTRY_DAEMONS
    return Total(
        "an entry daemon's processor for callers at the peak, % of a core",
        (
            TableRow(
                "tokens", f"{tokens:.0f}/s x {token:.1f} us", tokens * token / 1e4, "%"
            ),
            TableRow(
                "stages",
                f"{requests:.1f} requests/s x {STAGES_PER_REQUEST} x {stage:.0f} us",
                requests * STAGES_PER_REQUEST * stage / 1e4,
                "%",
            ),
            TableRow(
                "requests besides",
                f"{requests:.1f}/s x {request_us:.0f} us",
                requests * request_us / 1e4,
                "%",
            ),
        ),
        100 * USABLE_CORE_SHARE,
    )


def _sum_leader_core(figures: Figures) -> Total:
    report_us = figures.find("control-plane", "hear a report, a target")
    plan = figures.find("control-plane", "plan, a target")
    poll = figures.find("control-plane", "answer a poll")
    yaml = figures.find("control-plane", "read YAML, an organisation")
    exchange = figures.find("daemon", "processor an exchange")
    polls = ENTRY_DAEMONS * POLLS_PER_S / CONTROL_HOSTS
    reports = ENTRY_DAEMONS * REPORTS_PER_S
    changes = CHANGES_PER_DAY / DAY_S
    return Total(
        "the documents' leader's processor, % of a core",
        (
            TableRow(
                "reports of targets",
                f"{reports:.0f}/s x {exchange:.0f} us + {ENGINES} targets "
                f"x {REPORTS_PER_S:.3f}/s x {report_us:.1f} us",
                (reports * exchange + ENGINES * REPORTS_PER_S * report_us) / 1e4,
                "%",
            ),
            TableRow(
                "plans",
                f"{PLANS_PER_S:.0f}/s x {ENGINES} targets x {plan:.1f} us",
                PLANS_PER_S * ENGINES * plan / 1e4,
                "%",
            ),
            TableRow(
                "submissions",
                f"{changes:.2f}/s x {ORGANISATIONS} organisations x {yaml:.0f} us",
                changes * ORGANISATIONS * yaml / 1e4,
                "%",
            ),
            TableRow(
                "polls",
                f"{polls:.0f}/s x ({poll:.0f} + {exchange:.0f}) us",
                polls * (poll + exchange) / 1e4,
                "%",
            ),
        ),
        100 * USABLE_CORE_SHARE,
    )


def _sum_claim_leader(figures: Figures) -> Total:
    rate = figures.find("control", "claims in batches of 10: claims")
    exchange = figures.find("daemon", "processor an exchange")
    leaders = CONTROL_HOSTS - 1
    commands = 2 * KEYED_SHARE * REQUESTS_PER_S / leaders
    return Total(
        f"a claim group leader's processor with {leaders} groups, % of a core",
        (
            TableRow(
                "claims and settlements",
                f"{KEYED_SHARE:.0%} of {REQUESTS_PER_S} requests/s x 2 / {leaders} "
                f"at {rate:.0f}/s",
                100 * commands / rate,
                "%",
            ),
            TableRow(
                "HTTP",
                f"{commands:.0f}/s x {exchange:.0f} us",
                commands * exchange / 1e4,
                "%",
            ),
        ),
        100 * USABLE_CORE_SHARE,
    )


def format_tables(totals: Sequence[Total]) -> Iterator[str]:
    """Format the totals as Markdown tables.

    :param totals: the totals.
    :returns: the lines.
    """
    for total in totals:
        verdict = "holds" if total.holds else "DOES NOT HOLD"
        yield f"### {total.name[0].upper()}{total.name[1:]}"
        yield ""
        yield f"{total.value:.2f} beside {total.bound:g}: {verdict}."
        yield ""
        yield "| part | worked out as | value |"
        yield "|---|---|---|"
        for item in total.rows:
            yield f"| {item.name} | {item.formula} | {item.value:.2f} {item.unit} |"
        yield ""


def main(argv: Sequence[str] | None = None) -> int:
    """Print the tables for a file of figures.

    :param argv: command-line arguments; ``sys.argv`` when None.
    :returns: 0, even if a bound does not hold; 2 for invalid input.
    """
    arguments = sys.argv[1:] if argv is None else argv
    if len(arguments) != 1:
        print("usage: scripts/capacity FILE (lines that scripts/bench printed)")
        return 2
    try:
        figures = Figures.from_file(Path(arguments[0]))
        print("\n".join(format_tables(list_totals(figures))))
    except (FiguresError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
