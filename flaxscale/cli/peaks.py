"""flaxscale peak: announce, change, cancel, list, show and plan peaks at the catalogue service."""

import os
import time

import click
import msgspec

from . import site_errors
from .catalogue import EXIT_REFUSED, RETRY_FOR_S, service_command, user_name


@click.group()
def peak():
    """Announced peaks, for which bandwidth is reserved. Exit status 4: the service refused a change."""


@peak.command()
@click.argument("file", type=click.Path())
@click.option("--seeds", default=10, show_default=True, help="Number of seeds, from 1.")
@click.option("--way", "ways", multiple=True, help="none, fixed, held or planned; all by default.")
@click.option(
    "--bound/--no-bound", default=True, help="Compute an upper bound of the worth that any placement could reach."
)
@click.option(
    "--plot", default=None, type=click.Path(), help="Plot the first seed with held reservations to this PNG or SVG."
)
@click.option("--processes", default=max(1, (os.cpu_count() or 2) - 1), show_default=True)
@click.option("--set", "pairs", multiple=True, metavar="NAME=VALUE", help="An external variable of the file.")
def rehearse(file, seeds, ways, bound, plot, processes, pairs):
    """Play the day in FILE with its peaks in virtual time, with and without reservations, on a simulated fleet."""
    os.environ.setdefault("OMP_NUM_THREADS", "1")  # one thread for each process; must be set before numpy is loaded
    from ..lab.shapes import read_day
    from ..model import rehearse as work
    from ..model.play import Play
    from ..site.load import SiteError
    from .model import parse_variables

    given = parse_variables(pairs)
    if unknown := [w for w in ways if w not in work.WAYS]:
        raise click.UsageError(f"--way {unknown[0]}: one of {', '.join(work.WAYS)} expected")

    def read():
        found = read_day(file, sockets=False, **given)
        if not found.peaks:
            raise SiteError(file, "peaks", "at least one announcement expected")
        return found

    day = site_errors(read)
    began = time.perf_counter()
    ways = [w for w in work.WAYS if w in ways or not ways]
    results = work.compare(file, given, ways, range(1, seeds + 1), processes, bound)
    for line in work.lines(results):
        click.echo(line)
    click.echo(
        f"{len(day.boxes)} boxes, {day.site.managers} managers, {seeds} seeds, {time.perf_counter() - began:.0f} s",
        err=True,
    )
    if plot:
        work.draw(Play(day, 1, bound_every=work.BOUND_EVERY if bound else 0).run(), plot)


async def list_peaks(client):
    """The announcements and their history at the service."""
    from ..proto import peaks_pb2 as pb

    return await client.call("List", pb.ListRequest(), stub=client.peaks)


async def request_change(client, **what):
    """Requests a change with a new change id. Without an answer it is retried; the id ensures that it is made once."""
    from ..catalogued.client import new_id
    from ..proto import peaks_pb2 as pb

    return await client.call(
        "Change", pb.ChangeRequest(who=user_name(), id=new_id(), **what), stub=client.peaks, retry_for_s=RETRY_FOR_S
    )


def print_reply(reply, what):
    """Prints the outcome of a change; returns the exit status."""
    if reply.behind:
        click.echo(f"not made: {reply.behind}", err=True)
        return EXIT_REFUSED
    for fault in reply.faults:
        click.echo(f"refused: {fault}", err=True)
    if reply.faults:
        return EXIT_REFUSED
    click.echo(f"{what}; version {reply.version}")
    return 0


def option_time(text, now_s, option):
    """The time in an option, as Unix seconds."""
    from ..peaks.times import parse_time

    try:
        return parse_time(text, now_s)
    except ValueError as error:
        raise click.UsageError(f"{option}: {error}") from None


def announcement_options(required):
    """The options that describe an announcement; a change requires none of them."""

    def add(command):
        for option in reversed(
            (
                click.option("--title", "titles", multiple=True, help="A title in demand; may be repeated."),
                click.option("--package", "packages", multiple=True, help="All titles of a package."),
                click.option("--start", required=required, help="2026-12-05T18:00:00+03:00, or +15m from now."),
                click.option("--end", required=required, help="When no further viewings are expected."),
                click.option("--rate", type=float, required=required, help="New viewings a second at the maximum."),
                click.option("--ramp", "ramp_s", type=float, help="Seconds from the start to the maximum rate."),
                click.option("--length", "length_s", type=float, help="Mean duration of a viewing, in seconds."),
                click.option("--rung", type=int, help="The rung for which bandwidth is reserved."),
                click.option(
                    "--sure", type=float, help="Certainty, over 0 to 1: the share of the bandwidth that is reserved."
                ),
                click.option(
                    "--lead", "lead_s", type=float, help="Seconds by which bandwidth is reserved before it is needed."
                ),
                click.option(
                    "--expect",
                    default=None,
                    type=int,
                    help="Make the change only if the announcements are at this version.",
                ),
                click.option("--why", default="", help="Reason, stored with the change."),
            )
        ):
            command = option(command)
        return command

    return add


def changed_fields(now_s, titles, packages, start, end, **rest):
    """{field: value} of the given options; times as Unix seconds."""
    fields = {name: value for name, value in rest.items() if value is not None}
    if titles:
        fields["titles"] = titles
    if packages:
        fields["packages"] = packages
    if start is not None:
        fields["start_s"] = option_time(start, now_s, "--start")
    if end is not None:
        fields["end_s"] = option_time(end, now_s, "--end")
    return fields


@peak.command()
@click.argument("name")
@announcement_options(required=True)
@service_command
async def announce(client, name, expect, why, **given):
    """Announce a peak under NAME."""
    from ..peaks import wire
    from ..peaks.announce import Announcement

    announcement = Announcement(name, **changed_fields(time.time(), **given))
    reply = await request_change(client, announce=wire.peak_out(announcement), expect=expect, why=why)
    return print_reply(reply, f"announced {name}")


@peak.command()
@click.argument("name")
@announcement_options(required=False)
@service_command
async def change(client, name, expect, why, **given):
    """Change the given fields of the announcement NAME. Its planned schedule is dropped."""
    from ..proto import peaks_pb2 as pb

    fields = changed_fields(time.time(), **given)
    reply = await request_change(
        client, change=pb.Fields(name=name, json=msgspec.json.encode(fields)), expect=expect, why=why
    )
    return print_reply(reply, f"changed {name}")


@peak.command()
@click.argument("name")
@click.option("--expect", default=None, type=int)
@click.option("--why", default="")
@service_command
async def cancel(client, name, expect, why):
    """Cancel NAME: its bandwidth is released at once."""
    return print_reply(await request_change(client, cancel=name, expect=expect, why=why), f"cancelled {name}")


def status(p, now_s):
    """The phase of a peak at a time, as text."""
    if now_s >= p.end_s:
        return "over"
    if now_s >= p.start_s:
        return f"on, {p.end_s - now_s:.0f} s left"
    if now_s >= p.start_s - p.lead_s:
        return f"bandwidth is being reserved, starts in {p.start_s - now_s:.0f} s"
    return f"starts in {p.start_s - now_s:.0f} s"


@peak.command("list")
@service_command
async def list_command(client):
    """List all announcements with their status."""
    from ..peaks import wire
    from ..peaks.times import format_time

    reply = await list_peaks(client)
    click.echo(f"version {reply.version}, {len(reply.peaks)} announced")
    for p in sorted((wire.peak_in(p) for p in reply.peaks), key=lambda p: p.start_s):
        what = ", ".join([*p.titles[:4], *(["..."] if len(p.titles) > 4 else []), *p.packages])
        click.echo(
            f"  {p.name}: {what}; {format_time(p.start_s)} to {format_time(p.end_s)}, {p.rate:g}/s; "
            f"{status(p, reply.now_s)}"
        )


@peak.command()
@click.argument("name")
@service_command
async def show(client, name):
    """Show one announcement with its reservations, observed arrivals and history."""
    from ..peaks import wire
    from ..peaks.times import format_time

    reply = await list_peaks(client)
    found = next((wire.peak_in(p) for p in reply.peaks if p.name == name), None)
    if found is None:
        click.echo(f"flaxscale: {name}: not announced (version {reply.version})", err=True)
        return EXIT_REFUSED
    click.echo(f"{name}: {status(found, reply.now_s)}")
    click.echo(f"  titles {', '.join(found.titles) or '-'}; packages {', '.join(found.packages) or '-'}")
    click.echo(
        f"  {format_time(found.start_s)} to {format_time(found.end_s)}, ramp {found.ramp_s:g} s, {found.rate:g} a "
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
                    f"  {m.name}: reserves {seen.kept_kb:.0f} kB/s in all; "
                    f"{seen.came:.0f} viewings arrived, {seen.due:.0f} were expected"
                )
        if m.HasField("refused"):
            click.echo(f"  {m.name} refused version {m.refused}: {m.why}")
    for c in reply.history:
        if c.name == name:
            click.echo(
                f"  version {c.version}: {c.what} {format_time(c.at_s)} by {c.who or '?'}{c.why and ': ' + c.why}"
            )
    return 0


@peak.command()
@click.argument("question", type=click.Path())
@click.option("--put", is_flag=True, help="Put the planned schedules in service with their announcements.")
@click.option("--out", default=None, type=click.Path(), help="Write the plan to this file, as JSON.")
@click.option("--seconds", default=30.0, show_default=True, help="Time limit of the solver.")
@service_command
async def plan(client, question, put, out, seconds):
    """Plan the reservations. QUESTION (Jsonnet) states boxes, uplinks, demand and recent viewing lengths."""
    from ..peaks import wire
    from ..peaks.plan import PlanRequest, plan_lines, plan_peaks, read_question
    from ..proto import peaks_pb2 as pb

    asked = site_errors(lambda: read_question(question))
    reply = await list_peaks(client)
    _, titles = await client.get()
    held = {t.name: {b for b, s in t.holders if s == "holding"} for t in titles.values()}
    package = {t.name: t.view for t in titles.values() if t.view}
    arrivals = {}
    for m in reply.managers:
        for s in m.seen:
            if m.connected and s.due > 0:
                arrivals.setdefault(s.name, []).append(s.came / s.due)
    seen = {name: sum(ratios) / len(ratios) for name, ratios in arrivals.items()}
    peaks = [p for p in map(wire.peak_in, reply.peaks) if p.end_s > reply.now_s]
    if not peaks:
        click.echo("no peak is announced")
        return 0
    began = time.perf_counter()
    result = site_errors(
        lambda: plan_peaks(PlanRequest(asked, tuple(peaks), held, package, reply.now_s, seen, seconds))
    )
    for line in plan_lines(result):
        click.echo(line)
    click.echo(f"planned in {time.perf_counter() - began:.1f} s")
    if out:
        with open(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(result)))
        click.echo(f"the plan is in {out}")
    if put:
        for name, schedule in result.schedules.items():
            fields = {"schedule": msgspec.to_builtins(schedule), "lead_s": result.leads[name]}
            exit_status = print_reply(
                await request_change(
                    client, change=pb.Fields(name=name, json=msgspec.json.encode(fields)), why="planned"
                ),
                f"schedule of {name} is in service",
            )
            if exit_status:
                return exit_status
    return 0
