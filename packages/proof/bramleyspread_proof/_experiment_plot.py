"""The plot of the experiment: attainment by second of arrival, as SVG."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from bramleyspread_proof._experiment_report import Group

#: Size of a panel and space between panels, in pixels.
WIDTH, HEIGHT, GAP = 260, 90, 34
#: Margins on the left and at the top, in pixels.
LEFT, TOP = 90, 60
#: Line colours by policy.
COLOURS = {
    "ours": "#0b6e4f",
    "round-robin": "#c17900",
    "random-retry": "#b3261e",
    "least-in-flight": "#3f51b5",
}


def draw_plot(groups: Sequence[Group]) -> str:
    """Draw a panel per deployment and fault, with a line per policy.

    :param groups: the groups of runs.
    :returns: the SVG document.
    """
    sizes = list(dict.fromkeys(group.size for group in groups))
    faults = list(dict.fromkeys(group.fault for group in groups))
    width = LEFT + len(sizes) * (WIDTH + GAP)
    height = TOP + len(faults) * (HEIGHT + GAP)
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}"'
        ' font-family="sans-serif" font-size="12">',
        f'<rect width="{width}" height="{height}" fill="white"/>',
        *_draw_legend(),
    ]
    for column, size in enumerate(sizes):
        x = LEFT + column * (WIDTH + GAP)
        lines.append(f'<text x="{x}" y="{TOP - 12}" font-weight="bold">{size}</text>')
        for row, fault in enumerate(faults):
            y = TOP + row * (HEIGHT + GAP)
            panel = [g for g in groups if g.size == size and g.fault == fault]
            lines.extend(_draw_panel(panel, x, y))
    for row, fault in enumerate(faults):
        y = TOP + row * (HEIGHT + GAP) + HEIGHT // 2
        lines.append(f'<text x="8" y="{y}">{fault}</text>')
    return "\n".join([*lines, "</svg>", ""])


def _draw_legend() -> Iterator[str]:
    x = LEFT
    for policy, colour in COLOURS.items():
        yield f'<rect x="{x}" y="10" width="14" height="4" fill="{colour}"/>'
        yield f'<text x="{x + 20}" y="17">{policy}</text>'
        x += 140
    yield f'<text x="{x}" y="17">attainment (0 to 100%) by second of arrival</text>'


def _draw_panel(groups: Sequence[Group], x: int, y: int) -> Iterator[str]:
    yield (
        f'<rect x="{x}" y="{y}" width="{WIDTH}" height="{HEIGHT}"'
        ' fill="none" stroke="#bbb"/>'
    )
    for group in reversed(groups):
        seconds = [result.seconds for result in group.results]
        count = min(len(each) for each in seconds)
        if count < 2:
            continue
        points = []
        for index in range(count):
            mean = sum(each[index] for each in seconds) / len(seconds)
            across = x + WIDTH * index / (count - 1)
            points.append(f"{across:.0f},{y + HEIGHT * (1 - mean):.1f}")
        colour = COLOURS.get(group.policy, "#555")
        yield (
            f'<polyline points="{" ".join(points)}" fill="none"'
            f' stroke="{colour}" stroke-width="1.5"/>'
        )
