"""Draws a Story as one HTML page that needs nothing else: plots are SVG in it. Text is escaped by the template."""

import pathlib

import jinja2

from .story import MOST_ROWS, fates

WIDTH, LEFT, LANE, CHART = 1160, 260, 17, 120
COLOURS = {
    "dead": "#b22",
    "stands still": "#e8a33d",
    "planned restart": "#5b8dd9",
    "cut": "#b22",
    "faulty way": "#e8a33d",
    "trouble": "#c86fc9",
    "version 0": "#9fb8d8",
    "version 1": "#5b8dd9",
    "plays": "#4a9d5b",
    "blocked": "#e8a33d",
    "aborted": "#b22",
    "gave_up": "#7a1fa2",
    "broken": "#555",
    "unreached": "#999",
    "sent_on": "#9fb8d8",
    "left": "#ccc",
    "refused": "#d98",
    "201": "#4a9d5b",
    "503": "#e8a33d",
    "none": "#999",
}
MORE = "#1f77b4", "#d98b2b", "#2c8c4a", "#b5453c", "#7d5ba6", "#8c6d5a", "#c86fc9", "#7f7f7f", "#a8a83a", "#3aa8b5"


class Palette:
    """One colour a sort, the same all over a page."""

    def __init__(self):
        self.given = {}

    def of(self, what):
        if what not in COLOURS and what not in self.given:
            self.given[what] = MORE[len(self.given) % len(MORE)]
        return COLOURS.get(what) or self.given[what]


def page(story, clients, breaks, verdict, back=""):
    """The page's text. breaks: [(rule, second, detail)]; verdict, back: in words."""
    scale, palette = (WIDTH - LEFT) / max(1, story.length), Palette()

    def x(second):
        return round(LEFT + max(0.0, min(second, story.length)) * scale, 1)

    step = next(n for n in (1, 2, 5, 10, 20, 60, 300, 1_000, 10**9) if story.length / n <= 20)
    env = jinja2.Environment(
        loader=jinja2.FileSystemLoader(pathlib.Path(__file__).parent),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
    )
    return env.get_template("page.html.j2").render(
        story=story,
        fates=sorted(fates(clients).items()),
        breaks=breaks,
        verdict=verdict,
        back=back,
        width=WIDTH,
        left=LEFT,
        most=MOST_ROWS,
        ticks=[(x(n), f"{n} s" if n == 0 else n) for n in range(0, story.length, step)],
        drawn=[(heading, lanes_of(lanes, x, palette)) for heading, lanes in story.lanes],
        charts=[chart_of(chart, x, palette) for chart in story.charts if chart.series],
    )


def lanes_of(lanes, x, palette):
    rows, key = [], {}
    for n, lane in enumerate(lanes):
        bars = []
        for span in lane.spans:
            key[span.what] = palette.of(span.what)
            bars.append(
                {
                    "x": x(span.since),
                    "w": max(1.5, round(x(span.until) - x(span.since), 1)),
                    "fill": key[span.what],
                    "text": span.text,
                }
            )
        rows.append(
            {"name": lane.name, "y": n * LANE, "bars": bars, "marks": [(x(at), text) for at, text in lane.marks]}
        )
    return {"height": len(lanes) * LANE + 18, "rows": rows, "key": sorted(key.items())}


def chart_of(chart, x, palette):
    seconds = max(len(counts) for counts in chart.series.values())
    most = max(sum(counts[s] for counts in chart.series.values()) for s in range(seconds)) or 1
    bars, room = [], CHART - 20
    for s in range(seconds):
        y = room
        for what, counts in chart.series.items():
            if counts[s]:
                h = round(room * counts[s] / most, 1)
                y = round(y - h, 1)
                bars.append(
                    {
                        "x": x(s),
                        "w": max(0.8, round(x(s + 1) - x(s) - 0.6, 1)),
                        "y": y,
                        "h": h,
                        "fill": palette.of(what),
                        "text": f"{s} s: {what} {counts[s]}",
                    }
                )
    return {
        "name": chart.name,
        "height": CHART,
        "most": most,
        "bars": bars,
        "key": [(what, palette.of(what)) for what in chart.series],
    }
