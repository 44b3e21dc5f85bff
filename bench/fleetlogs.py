"""Adds up what the managers of a run on the platform say of themselves, by cause, over the whole fleet.

    python -m bench.fleetlogs FOLDER [--against FOLDER]

FOLDER has one log a manager, as `lbreal --logs FOLDER` keeps them: JSON lines, each behind the bench's time. A manager
counts in each of its lives; the last line of state of a life has its sums. Figures of belief are means of those lines.
"""

import json
import pathlib
from collections import Counter

import click

SAYS = "state", "over"  # lines with all counts of a life


def rows_of(file):
    """(bench's seconds, row) of a log; lines that are none of ours are passed over."""
    for text in file.read_text(errors="replace").splitlines():
        head, _, rest = text.partition(" ")
        try:
            yield float(head.strip("[]")), json.loads(rest)
        except (ValueError, IndexError):
            continue


class Fleet:
    def __init__(self, folder):
        self.counts, self.lives, self.levels, self.belief, self.lines, self.peak = (
            Counter(),
            0,
            Counter(),
            [],
            Counter(),
            Counter(),
        )
        files = sorted(pathlib.Path(folder).rglob("*.log"))
        if not files:
            raise click.UsageError(f"{folder}: no *.log")
        self.managers = len(files)
        for file in files:
            self.add(file)

    def add(self, file):
        last = {}
        for _, row in rows_of(file):
            event = row.get("event")
            self.lines[event] += 1
            if event == "serves":
                self.close(last)
                last = {}
                self.lives += 1
            elif event in SAYS:
                last = row
                for name in ("viewings", "viewer_lines", "server_lines", "owed", "servers"):
                    self.peak[name] = max(self.peak[name], row.get(name, 0))
                if row.get("belief", {}).get("figures"):
                    self.belief.append(row["belief"])
        self.close(last)

    def close(self, last):
        self.counts.update(last.get("counts", {}))

    def per_asked(self, name):
        return self.counts[name] / max(1, self.counts["asked"])


def print_fleet(fleet, other=None):
    print(f"{fleet.managers} managers, {fleet.lives} lives, {fleet.counts['asked']} viewings asked")
    print(f"{'cause':34} {'fleet':>9} {'each asked':>11}" + ("   before" if other else ""))
    names = {**fleet.counts, **(other.counts if other else {})}
    for name in sorted(names, key=lambda name: -fleet.counts[name]):
        was = f" {other.per_asked(name):8.4f}" if other else ""
        print(f"{name:34} {fleet.counts[name]:9} {fleet.per_asked(name):11.4f}{was}")
    print("most at one manager: " + ", ".join(f"{name} {n}" for name, n in fleet.peak.items()))
    if fleet.belief:
        weight = sum(b["figures"] for b in fleet.belief)
        for name in ("use_told", "use_off", "use_bias"):
            print(f"belief, {name}: {sum(b[name] * b['figures'] for b in fleet.belief) / weight:.3f}")
        for name in ("shut", "rests", "cold"):
            print(f"servers taken as {name}, mean: {sum(b[name] for b in fleet.belief) / len(fleet.belief):.2f}")


@click.command()
@click.argument("folder", type=click.Path(exists=True))
@click.option("--against", type=click.Path(exists=True), help="Another run, beside it.")
def main(folder, against):
    """Sum up a run's logs by cause."""
    print_fleet(Fleet(folder), Fleet(against) if against else None)


if __name__ == "__main__":
    main()
