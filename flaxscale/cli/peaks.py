"""flaxscale peak: announce, change, cancel, list, show and plan peaks at the catalogue service."""

import os
import time

import click
import msgspec

from . import site_errors
from .catalogue import AGAIN_S, REFUSED, talks, who


@click.group()
def peak():
    """Announced peaks: room is kept for them. Status 4: the service refused a change."""


@peak.command()
@click.argument("file", type=click.Path())
@click.option("--seeds", default=10, show_default=True, help="Seeds 1 to so many.")
@click.option("--way", "ways", multiple=True, help="none, fixed, held, planned; all if left out.")
@click.option("--bound/--no-bound", default=True, help="Work out what an all-knowing placement could earn.")
@click.option("--plot", default=None, type=click.Path(), help="Draw the first seed, held, to this PNG or SVG.")
@click.option("--processes", default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@click.option("--set", "pairs", multiple=True, metavar="NAME=VALUE", help="An external variable of the file.")
def rehearse(file, seeds, ways, bound, plot, processes, pairs):
    """Play the day in FILE, with its peaks, in virtual time: held room against none. Figures of a simulated fleet."""
    os.environ.setdefault("OMP_NUM_THREADS", "1")  # each process has one core; before numpy is loaded
    from ..lab.shapes import read_day
    from ..model import rehearse as work
    from ..model.play import Play
    from ..site.load import SiteError
    from .model import parse_variables

    given = parse_variables(pairs)
    if odd := [w for w in ways if w not in work.WAYS]:
        raise click.UsageError(f"--way {odd[0]}: one of {', '.join(work.WAYS)} expected")

    def read():
        found = read_day(file, sockets=False, **given)
        if not found.peaks:
            raise SiteError(file, "peaks", "at least one announcement expected")
        return found

    day = site_errors(read)
    began = time.perf_counter()
    ways = [w for w in work.WAYS if w in ways or not ways]
    made = work.compare(file, given, ways, range(1, seeds + 1), processes, bound)
    for line in work.lines(made):
        click.echo(line)
    click.echo(
        f"{len(day.boxes)} boxes, {day.site.managers} managers, {seeds} seeds, {time.perf_counter() - began:.0f} s",
        err=True,
    )
    if plot:
        work.draw(Play(day, 1, bound_every=work.BOUND_EVERY if bound else 0).run(), plot)


async def listed(client):
    from ..proto import peaks_pb2 as pb

    return await client.call("List", pb.ListRequest(), stub=client.peaks)


async def ordered(client, **what):
    """A change under an id of its own; without an answer it is asked for again, and made once."""
    from ..catalogued.client import new_id
    from ..proto import peaks_pb2 as pb

    return await client.call(
        "Change", pb.ChangeRequest(who=who(), id=new_id(), **what), stub=client.peaks, again_s=AGAIN_S
    )


def said(reply, what):
    if reply.behind:
        click.echo(f"not made: {reply.behind}", err=True)
        return REFUSED
    for fault in reply.faults:
        click.echo(f"refused: {fault}", err=True)
    if reply.faults:
        return REFUSED
    click.echo(f"{what}; version {reply.version}")
    return 0


def time_of(text, now_s, option):
    from ..peaks.times import read_time

    try:
        return read_time(text, now_s)
    except ValueError as bad:
        raise click.UsageError(f"{option}: {bad}") from None


def options(needed):
    """The options of an announcement; for a change none is needed."""

    def add(command):
        for option in reversed(
            (
                click.option("--title", "titles", multiple=True, help="A title that is wanted; may be given often."),
                click.option("--package", "packages", multiple=True, help="All titles of a package."),
                click.option("--start", required=needed, help="2026-12-05T18:00:00+03:00, or +15m from now."),
                click.option("--end", required=needed, help="When no more come."),
                click.option("--rate", type=float, required=needed, help="New viewings a second at its height."),
                click.option("--ramp", "ramp_s", type=float, help="Seconds from the first to the height."),
                click.option("--length", "length_s", type=float, help="Seconds that they watch, in the mean."),
                click.option("--rung", type=int, help="The rung that room is kept for."),
                click.option("--sure", type=float, help="How sure, over 0 to 1: so much of the room is kept."),
                click.option("--lead", "lead_s", type=float, help="Seconds before it is needed that room is kept."),
                click.option("--expect", default=None, type=int, help="Only if announcements are at this version."),
                click.option("--why", default="", help="Kept with the change."),
            )
        ):
            command = option(command)
        return command

    return add


def fields_of(now_s, titles, packages, start, end, **rest):
    """{field: value} of what was given; times on the Unix axis."""
    fields = {name: value for name, value in rest.items() if value is not None}
    if titles:
        fields["titles"] = titles
    if packages:
        fields["packages"] = packages
    if start is not None:
        fields["start_s"] = time_of(start, now_s, "--start")
    if end is not None:
        fields["end_s"] = time_of(end, now_s, "--end")
    return fields


@peak.command()
@click.argument("name")
@options(needed=True)
@talks
async def announce(client, name, expect, why, **given):
    """Announce a peak under NAME."""
    from ..peaks import wire
    from ..peaks.announce import Announcement

    made = Announcement(name, **fields_of(time.time(), **given))
    reply = await ordered(client, announce=wire.peak_out(made), expect=expect, why=why)
    return said(reply, f"announced {name}")


@peak.command()
@click.argument("name")
@options(needed=False)
@talks
async def change(client, name, expect, why, **given):
    """Change what is announced under NAME; what is not given stays. A planned schedule goes."""
    from ..proto import peaks_pb2 as pb

    fields = fields_of(time.time(), **given)
    reply = await ordered(client, change=pb.Fields(name=name, json=msgspec.json.encode(fields)), expect=expect, why=why)
    return said(reply, f"changed {name}")


@peak.command()
@click.argument("name")
@click.option("--expect", default=None, type=int)
@click.option("--why", default="")
@talks
async def cancel(client, name, expect, why):
    """Cancel NAME: its room is handed back at once."""
    return said(await ordered(client, cancel=name, expect=expect, why=why), f"cancelled {name}")


def stands(p, now_s):
    if now_s >= p.end_s:
        return "over"
    if now_s >= p.start_s:
        return f"on, {p.end_s - now_s:.0f} s left"
    if now_s >= p.start_s - p.lead_s:
        return f"room is being kept, starts in {p.start_s - now_s:.0f} s"
    return f"starts in {p.start_s - now_s:.0f} s"


@peak.command("list")
@talks
async def list_command(client):
    """All announcements, and where each stands."""
    from ..peaks import wire
    from ..peaks.times import say_time

    reply = await listed(client)
    click.echo(f"version {reply.version}, {len(reply.peaks)} announced")
    for p in sorted((wire.peak_in(p) for p in reply.peaks), key=lambda p: p.start_s):
        what = ", ".join([*p.titles[:4], *(["..."] if len(p.titles) > 4 else []), *p.packages])
        click.echo(
            f"  {p.name}: {what}; {say_time(p.start_s)} to {say_time(p.end_s)}, {p.rate:g}/s; {stands(p, reply.now_s)}"
        )


@peak.command()
@click.argument("name")
@talks
async def show(client, name):
    """One announcement: what it says, its room, what managers see come, its history."""
    from ..peaks import wire
    from ..peaks.times import say_time

    reply = await listed(client)
    found = next((wire.peak_in(p) for p in reply.peaks if p.name == name), None)
    if found is None:
        click.echo(f"flaxscale: {name}: not announced (version {reply.version})", err=True)
        return REFUSED
    click.echo(f"{name}: {stands(found, reply.now_s)}")
    click.echo(f"  titles {', '.join(found.titles) or '-'}; packages {', '.join(found.packages) or '-'}")
    click.echo(
        f"  {say_time(found.start_s)} to {say_time(found.end_s)}, ramp {found.ramp_s:g} s, {found.rate:g} a "
        f"second, each for {found.length_s:g} s; rung {found.rung}, sure {found.sure:g}, "
        f"lead {found.lead_s:g} s"
    )
    if found.schedule:
        most = max((kb for b in found.schedule for _, kb in b.steps), default=0.0)
        click.echo(f"  planned on {len(found.schedule)} boxes, at most {most:.0f} kB/s on one")
    for m in reply.managers:
        for seen in m.seen:
            if seen.name == name:
                click.echo(
                    f"  {m.name}: keeps {seen.kept_kb:.0f} kB/s in all; {seen.came:.0f} came, {seen.due:.0f} were due"
                )
        if m.HasField("refused"):
            click.echo(f"  {m.name} refused version {m.refused}: {m.why}")
    for c in reply.history:
        if c.name == name:
            click.echo(f"  version {c.version}: {c.what} {say_time(c.at_s)} by {c.who or '?'}{c.why and ': ' + c.why}")
    return 0


@peak.command()
@click.argument("question", type=click.Path())
@click.option("--put", is_flag=True, help="Put the planned schedules in service with their announcements.")
@click.option("--out", default=None, type=click.Path(), help="Write the whole plan there, as JSON.")
@click.option("--seconds", default=30.0, show_default=True, help="The solver's time.")
@talks
async def plan(client, question, put, out, seconds):
    """Plan the room for what is announced: QUESTION (Jsonnet) says boxes, uplinks, demand and recent lengths."""
    from ..peaks import wire
    from ..peaks.plan import Ask, lines, plan_peaks, read_question
    from ..proto import peaks_pb2 as pb

    asked = site_errors(lambda: read_question(question))
    reply = await listed(client)
    _, titles = await client.get()
    held = {t.name: {b for b, s in t.holders if s == "holding"} for t in titles.values()}
    package = {t.name: t.view for t in titles.values() if t.view}
    came = {}
    for m in reply.managers:
        for s in m.seen:
            if m.connected and s.due > 0:
                came.setdefault(s.name, []).append(s.came / s.due)
    seen = {name: sum(parts) / len(parts) for name, parts in came.items()}
    peaks = [p for p in map(wire.peak_in, reply.peaks) if p.end_s > reply.now_s]
    if not peaks:
        click.echo("nothing is announced")
        return 0
    began = time.perf_counter()
    made = site_errors(lambda: plan_peaks(Ask(asked, tuple(peaks), held, package, reply.now_s, seen, seconds)))
    for line in lines(made):
        click.echo(line)
    click.echo(f"planned in {time.perf_counter() - began:.1f} s")
    if out:
        with open(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(made)))
        click.echo(f"the plan is in {out}")
    if put:
        for name, schedule in made.schedules.items():
            fields = {"schedule": msgspec.to_builtins(schedule), "lead_s": made.leads[name]}
            status = said(
                await ordered(client, change=pb.Fields(name=name, json=msgspec.json.encode(fields)), why="planned"),
                f"schedule of {name} is in service",
            )
            if status:
                return status
    return 0
