"""Renders a Story as one self-contained HTML page with inline SVG plots. The template escapes all text."""

import pathlib

import jinja2

from .story import MAX_TABLE_ROWS, fate_counts

WIDTH = 1160  # pixels, of a plot
LEFT = 260  # pixels, for the lanes' names
LANE_HEIGHT = 17  # pixels
CHART_HEIGHT = 120  # pixels
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
OTHER_COLOURS = (
    "#1f77b4",
    "#d98b2b",
    "#2c8c4a",
    "#b5453c",
    "#7d5ba6",
    "#8c6d5a",
    "#c86fc9",
    "#7f7f7f",
    "#a8a83a",
    "#3aa8b5",
)


class Palette:
    """Assigns each kind of span or count one colour for the whole page."""

    def __init__(self):
        self.assigned = {}

    def colour_of(self, what):
        """The colour of a kind: a fixed one, else the next free one."""
        if what not in COLOURS and what not in self.assigned:
            self.assigned[what] = OTHER_COLOURS[len(self.assigned) % len(OTHER_COLOURS)]
        return COLOURS.get(what) or self.assigned[what]


def page(story, clients, breaks, verdict, back=""):
    """The page's HTML. breaks: [(rule, second, detail)]; verdict, back: sentences on the rules and on recovery."""
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
        fates=sorted(fate_counts(clients).items()),
        breaks=breaks,
        verdict=verdict,
        back=back,
        width=WIDTH,
        left=LEFT,
        most=MAX_TABLE_ROWS,
        ticks=[(x(n), f"{n} s" if n == 0 else n) for n in range(0, story.length, step)],
        drawn=[(heading, lanes_of(lanes, x, palette)) for heading, lanes in story.lanes],
        charts=[chart_of(chart, x, palette) for chart in story.charts if chart.series],
    )


def lanes_of(lanes, x, palette):
    """The template's values for one group of lanes."""
    rows, key = [], {}
    for n, lane in enumerate(lanes):
        bars = []
        for span in lane.spans:
            key[span.what] = palette.colour_of(span.what)
            bars.append(
                {
                    "x": x(span.since),
                    "w": max(1.5, round(x(span.until) - x(span.since), 1)),
                    "fill": key[span.what],
                    "text": span.text,
                }
            )
        rows.append(
            {"name": lane.name, "y": n * LANE_HEIGHT, "bars": bars, "marks": [(x(at), text) for at, text in lane.marks]}
        )
    return {"height": len(lanes) * LANE_HEIGHT + 18, "rows": rows, "key": sorted(key.items())}


def chart_of(chart, x, palette):
    """The template's values for one chart."""
    seconds = max(len(counts) for counts in chart.series.values())
    most = max(sum(counts[s] for counts in chart.series.values()) for s in range(seconds)) or 1
    bars, plot_height = [], CHART_HEIGHT - 20
    for s in range(seconds):
        y = plot_height
        for what, counts in chart.series.items():
            if counts[s]:
                h = round(plot_height * counts[s] / most, 1)
                y = round(y - h, 1)
                bars.append(
                    {
                        "x": x(s),
                        "w": max(0.8, round(x(s + 1) - x(s) - 0.6, 1)),
                        "y": y,
                        "h": h,
                        "fill": palette.colour_of(what),
                        "text": f"{s} s: {what} {counts[s]}",
                    }
                )
    return {
        "name": chart.name,
        "height": CHART_HEIGHT,
        "most": most,
        "bars": bars,
        "key": [(what, palette.colour_of(what)) for what in chart.series],
    }
