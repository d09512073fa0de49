"""The arithmetic of the target's size, from measured figures.

``scripts/capacity FILE`` reads the JSON lines that ``scripts/bench`` printed and
writes the tables of docs/CAPACITY.md.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from bramleyspread_core import MessageError, decode_json
from bramleyspread_proof._figures import Figure

#: The size to build towards.
DAEMONS = 480
ENGINES = 11_000
REQUESTS_S = 8_800
TOKENS_S = 3_600_000
ORGANISATIONS = 2_700
CHANGES_A_DAY = 18_000
CONTROL_HOSTS = 40
STAGES = 4.5
DAY_S = 86_400
#: What a daemon may spend on control.
CORE_PERCENT = 2.4
MEMORY_MB = 128.0
SENT_KB_S = 10.0
#: Share of requests with an idempotency key, which need a claim and a settlement.
KEYED = 0.1
#: Polls and reports of an entry host, a second.
POLLS_S = 1.0
REPORTS_S = 1 / 8
#: Plans of the orderer, a second.
PLANS_S = 4.0
#: Bytes of an HTTP request's and its answer's lines and headers, about.
HTTP_BYTES = 300
#: Share of a core that one process can put to use.
USABLE = 0.7


class FiguresError(ValueError):
    """The file of figures can't be used."""


class Figures:
    """Measured figures by bench and name."""

    def __init__(self, figures: Sequence[Figure]) -> None:
        self._values = {(each.bench, each.figure): each.value for each in figures}

    @classmethod
    def from_file(cls, path: Path) -> Figures:
        """Read what ``scripts/bench`` printed.

        :param path: JSON lines.
        :returns: the figures.
        :raises FiguresError: naming the line that is not a figure.
        """
        figures: list[Figure] = []
        for number, line in enumerate(path.read_bytes().splitlines(), start=1):
            try:
                figures.append(decode_json(line, Figure))
            except MessageError as error:
                raise FiguresError(f"{path}: line {number}: {error}") from None
        return cls(figures)

    def find(self, bench: str, figure: str) -> float:
        """Find a figure.

        :param bench: its bench.
        :param figure: its name.
        :returns: its value.
        :raises FiguresError: when the file lacks it.
        """
        value = self._values.get((bench, figure))
        if value is None:
            raise FiguresError(f"no figure {bench}/{figure}: run that bench again")
        return value


@dataclass(frozen=True, slots=True)
class Item:
    """One line of the arithmetic."""

    #: What is counted.
    name: str
    #: How it is worked out.
    formula: str
    #: How much.
    value: float
    #: The unit.
    unit: str


@dataclass(frozen=True, slots=True)
class Total:
    """A sum and the bound it stands beside."""

    #: What is summed up.
    name: str
    #: The parts.
    items: tuple[Item, ...]
    #: The bound, in the parts' unit.
    bound: float

    @property
    def value(self) -> float:
        """The sum."""
        return sum(item.value for item in self.items)

    @property
    def holds(self) -> bool:
        """Whether it is within the bound."""
        return self.value <= self.bound


def list_totals(figures: Figures) -> tuple[Total, ...]:
    """Work out every sum that the target bounds.

    :param figures: what was measured.
    :returns: the sums, an entry daemon's first.
    """
    return (
        _sum_entry_core(figures),
        _sum_entry_sent(figures),
        _sum_entry_memory(figures),
        _sum_entry_work(figures),
        _sum_leader_core(figures),
        _sum_claim_leader(figures),
    )


def _sum_entry_core(figures: Figures) -> Total:
    read_us = figures.find("control-plane", "read a document, an organisation")
    core = figures.find("membership", f"{DAEMONS} hosts {ENGINES} targets: processor")
    changes_s = CHANGES_A_DAY / DAY_S
    heard = figures.find("daemon", "processor an exchange")
    return Total(
        "an entry daemon's processor for control, % of a core",
        (
            Item("membership", "measured at this size", core, "%"),
            Item(
                "documents",
                f"{changes_s:.2f} changes/s x {ORGANISATIONS} organisations "
                f"x {read_us:.1f} us",
                changes_s * ORGANISATIONS * read_us / 1e4,
                "%",
            ),
            Item(
                "polls and reports",
                f"{POLLS_S + REPORTS_S:.3f} exchanges/s x {heard:.0f} us",
                (POLLS_S + REPORTS_S) * heard / 1e4,
                "%",
            ),
        ),
        CORE_PERCENT,
    )


def _sum_entry_sent(figures: Figures) -> Total:
    gossip = figures.find(
        "membership", f"{DAEMONS} hosts {ENGINES} targets: sent with HTTP"
    )
    poll = figures.find("control-plane", "poll")
    each = figures.find("control-plane", "report, a target")
    targets = ENGINES / DAEMONS
    return Total(
        "an entry daemon's bytes sent for control, KB/s",
        (
            Item("membership", "measured at this size", gossip, "KB/s"),
            Item(
                "polls",
                f"{POLLS_S:.0f}/s x ({poll:.0f} + {HTTP_BYTES}) bytes",
                POLLS_S * (poll + HTTP_BYTES) / 1e3,
                "KB/s",
            ),
            Item(
                "reports of targets",
                f"{REPORTS_S:.3f}/s x {targets:.0f} targets x {each:.0f} bytes",
                REPORTS_S * (targets * each + HTTP_BYTES) / 1e3,
                "KB/s",
            ),
        ),
        SENT_KB_S,
    )


def _sum_entry_memory(figures: Figures) -> Total:
    tables = figures.find("membership", f"{DAEMONS} hosts {ENGINES} targets: memory")
    waiting = figures.find("daemon", "memory of a waiting request")
    size = figures.find("control-plane", "document, an organisation")
    in_flight = REQUESTS_S / DAEMONS * 4.0
    return Total(
        "an entry daemon's memory for control, MB",
        (
            Item(
                "membership", "measured at this size, all of the process", tables, "MB"
            ),
            Item(
                "documents",
                f"12 services x {ORGANISATIONS} organisations x {size:.0f} bytes x 4",
                12 * ORGANISATIONS * size * 4 / 1e6,
                "MB",
            ),
            Item(
                "requests in flight",
                f"{in_flight:.0f} x {waiting:.0f} KiB",
                in_flight * waiting / 1024,
                "MB",
            ),
        ),
        MEMORY_MB,
    )


def _sum_entry_work(figures: Figures) -> Total:
    token = figures.find("daemon", "processor a token")
    stage = figures.find("daemon", "processor a stage")
    rest = figures.find("daemon", "processor a request besides")
    requests = REQUESTS_S / DAEMONS
    tokens = TOKENS_S / DAEMONS
    return Total(
        "an entry daemon's processor for callers at the peak, % of a core",
        (
            Item(
                "tokens", f"{tokens:.0f}/s x {token:.1f} us", tokens * token / 1e4, "%"
            ),
            Item(
                "stages",
                f"{requests:.1f} requests/s x {STAGES} x {stage:.0f} us",
                requests * STAGES * stage / 1e4,
                "%",
            ),
            Item(
                "requests besides",
                f"{requests:.1f}/s x {rest:.0f} us",
                requests * rest / 1e4,
                "%",
            ),
        ),
        100 * USABLE,
    )


def _sum_leader_core(figures: Figures) -> Total:
    hear = figures.find("control-plane", "hear a report, a target")
    plan = figures.find("control-plane", "plan, a target")
    poll = figures.find("control-plane", "answer a poll")
    yaml = figures.find("control-plane", "read YAML, an organisation")
    exchange = figures.find("daemon", "processor an exchange")
    polls = DAEMONS * POLLS_S / CONTROL_HOSTS
    reports = DAEMONS * REPORTS_S
    changes = CHANGES_A_DAY / DAY_S
    return Total(
        "the documents' leader's processor, % of a core",
        (
            Item(
                "reports of targets",
                f"{reports:.0f}/s x {exchange:.0f} us + {ENGINES} targets "
                f"x {REPORTS_S:.3f}/s x {hear:.1f} us",
                (reports * exchange + ENGINES * REPORTS_S * hear) / 1e4,
                "%",
            ),
            Item(
                "plans",
                f"{PLANS_S:.0f}/s x {ENGINES} targets x {plan:.1f} us",
                PLANS_S * ENGINES * plan / 1e4,
                "%",
            ),
            Item(
                "submissions",
                f"{changes:.2f}/s x {ORGANISATIONS} organisations x {yaml:.0f} us",
                changes * ORGANISATIONS * yaml / 1e4,
                "%",
            ),
            Item(
                "polls",
                f"{polls:.0f}/s x ({poll:.0f} + {exchange:.0f}) us",
                polls * (poll + exchange) / 1e4,
                "%",
            ),
        ),
        100 * USABLE,
    )


def _sum_claim_leader(figures: Figures) -> Total:
    rate = figures.find("control", "claims in batches of 10: claims")
    exchange = figures.find("daemon", "processor an exchange")
    leaders = CONTROL_HOSTS - 1
    commands = 2 * KEYED * REQUESTS_S / leaders
    return Total(
        f"a claim group leader's processor with {leaders} groups, % of a core",
        (
            Item(
                "claims and settlements",
                f"{KEYED:.0%} of {REQUESTS_S} requests/s x 2 / {leaders} "
                f"at {rate:.0f}/s",
                100 * commands / rate,
                "%",
            ),
            Item(
                "HTTP",
                f"{commands:.0f}/s x {exchange:.0f} us",
                commands * exchange / 1e4,
                "%",
            ),
        ),
        100 * USABLE,
    )


def write_tables(totals: Sequence[Total]) -> Iterator[str]:
    """Write the sums as Markdown.

    :param totals: the sums.
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
        for item in total.items:
            yield f"| {item.name} | {item.formula} | {item.value:.2f} {item.unit} |"
        yield ""


def main(argv: Sequence[str] | None = None) -> int:
    """Print the tables.

    :param argv: the file of figures; None for the process's own arguments.
    :returns: 0, also where a bound does not hold; 2 for wrong input.
    """
    arguments = sys.argv[1:] if argv is None else argv
    if len(arguments) != 1:
        print("usage: scripts/capacity FILE (lines that scripts/bench printed)")
        return 2
    try:
        figures = Figures.from_file(Path(arguments[0]))
        print("\n".join(write_tables(list_totals(figures))))
    except (FiguresError, OSError) as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
