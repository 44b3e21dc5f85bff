"""flaxscale catalogue: the service and the operators' commands."""

import contextlib
import functools
import getpass
import os
import sys

import click

from ..site.terms import read_site
from . import EXIT_BAD_INPUT, print_ready, service, site_errors
from .logs import LEVELS, logger

EXIT_REFUSED = 4


@click.group()
def catalogue():
    """Titles, renditions and holders that change in service. Status 4: the service refused a change."""


@catalogue.command()
@click.argument("site", type=click.Path())
@click.option("--store", required=True, type=click.Path(), help="Folder of the durable store.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=7070, show_default=True)
@click.option("--log-level", default="info", type=click.Choice(list(LEVELS)), show_default=True)
@click.option("--record", default=None, type=click.Path(), help="Write versions and acknowledgements to this file.")
@click.option("--ready", "say_ready", is_flag=True)
def serve(site, store, host, port, log_level, record, say_ready):
    """Serve the catalogue of SITE from a durable store."""
    from ..catalogued.service import CatalogueService
    from ..lab.changes import frame_of
    from ..lab.records import Recorder
    from ..leases.duties import tasks_of
    from ..store.files import Files
    from ..store.log import StoreError

    found = site_errors(lambda: read_site(site))
    try:
        log = logger(log_level, None, program="catalogue")
        server = CatalogueService(
            Files(store),
            frame_of(found),
            log,
            Recorder(record) if record else None,
            Files(f"{store}/peaks"),
            found.fleet,
            Files(f"{store}/leases") if found.duties else None,
            tasks_of(found.duties, found.fleet.drift),
        )
    except (StoreError, ValueError, OSError) as error:
        click.echo(f"flaxscale: {store}: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    if server.catalogue.log.found.cut:
        server.log.warning("torn tail cut", bytes=server.catalogue.log.found.cut)

    async def main():
        address = await server.start(host, port)
        server.log.info(
            "serves",
            host=address[0],
            port=address[1],
            version=server.catalogue.committed_version,
            titles=len(server.catalogue.current.titles),
        )
        if say_ready:
            print_ready(*address, version=server.catalogue.committed_version)
        await service.until_signal()
        await server.stop()

    service.run(main())


def service_command(command):
    """Makes a command from a coroutine function with a client; errors become one line and an exit status."""

    @click.option("--at", default="127.0.0.1:7070", show_default=True, metavar="HOST:PORT")
    @functools.wraps(command)
    def run(at, **rest):
        from ..catalogued.client import Client, ServiceError

        async def main():
            async with Client(at) as client:
                return await command(client, **rest)

        try:
            sys.exit(site_errors(lambda: service.run(main())) or 0)
        except ServiceError as error:
            click.echo(f"flaxscale: {error}", err=True)
            sys.exit(EXIT_BAD_INPUT)

    return run


def print_outcome(reply, dry=False):
    """Prints the outcome of a change and returns the exit status."""
    if reply.behind:
        click.echo(f"not made: {reply.behind}", err=True)
        return EXIT_REFUSED
    if reply.faults:
        for fault in reply.faults[:100]:
            click.echo(f"refused: {fault}", err=True)
        return EXIT_REFUSED
    if not reply.changed:
        click.echo(f"nothing differs from version {reply.version}")
        return 0
    click.echo(f"{'would change' if dry else 'changed'} {reply.changed} titles; version {reply.version}")
    return 0


RETRY_FOR_S = 3.0  # a change without an answer is repeated under the same id


def change_options(command):
    """Adds the options of commands that change the catalogue."""
    for option in (
        click.option(
            "--id",
            "id",
            default=None,
            help="Id of the change: a repeat with the same id is not made twice. Random by default.",
        ),
        click.option("--why", default="", help="Reason, stored with the change."),
        click.option("--dry", is_flag=True, help="Check only."),
        click.option("--force", is_flag=True, help="Allow fewer seats than are in use."),
        click.option("--expect", default=None, type=int, help="Only if the catalogue is at this version."),
    ):
        command = option(command)
    return command


def user_name():
    """The user to name in the history; empty if unknown."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


@catalogue.command()
@click.argument("file", type=click.Path())
@click.option("--keep", is_flag=True, help="Keep titles that are not in FILE; without it they are dropped.")
@change_options
@service_command
async def put(client, file, keep, expect, force, dry, why, id):
    """Change the catalogue to that of FILE (Jsonnet or Parquet), in one change set."""
    from ..catalogue.files import ops_to_reach, read_catalogue

    puts = read_catalogue(file)
    version, titles = await client.get()
    ops = ops_to_reach(titles, puts, keep)
    if not ops:
        click.echo(f"nothing differs from version {version}")
        return 0
    return print_outcome(
        await client.change(ops, version if expect is None else expect, force, dry, user_name(), why, id, RETRY_FOR_S),
        dry,
    )


@catalogue.command()
@click.argument("file", type=click.Path())
@change_options
@service_command
async def edit(client, file, expect, force, dry, why, id):
    """Make the change set in FILE: a Jsonnet list of operations."""
    from ..catalogue.files import read_ops

    return print_outcome(
        await client.change(read_ops(file), expect, force, dry, user_name(), why, id, RETRY_FOR_S), dry
    )


@catalogue.command()
@click.argument("old", type=int)
@click.argument("new", type=int, required=False)
@service_command
async def diff(client, old, new):
    """What changed from version OLD to NEW (default: the present one)."""
    from ..catalogue.state import diff as title_diff

    (_, before), (_, after) = await client.get(old), await client.get(new)
    for name, (was, now) in title_diff(before, after).items():
        if was is None or now is None:
            click.echo(f"{'+' if was is None else '-'} {name}")
            continue
        for field in ("view", "push", "low", "top", "codecs", "seats"):
            if getattr(was, field) != getattr(now, field):
                click.echo(f"  {name}: {field} {getattr(was, field)} -> {getattr(now, field)}")
        boxes = {b: [dict(t.holders).get(b, "gone") for t in (was, now)] for b, _ in was.holders + now.holders}
        for box, (old_state, new_state) in sorted(boxes.items()):
            if old_state != new_state:
                click.echo(f"  {name}: box {box} {old_state} -> {new_state}")


@catalogue.command()
@click.option("--last", default=20, show_default=True)
@service_command
async def log(client, last):
    """Show the last changes, with their authors and reasons."""
    from ..proto import catalogue_pb2 as pb

    for c in (await client.call("History", pb.HistoryRequest(last=last))).changes:
        names = ", ".join(c.titles[:5]) + (f" and {len(c.titles) - 5} more" if len(c.titles) > 5 else "")
        click.echo(f"{c.version}  {c.who or '-'}  {names}  {c.why}")


@catalogue.command()
@click.argument("version", type=int)
@click.option("--expect", default=None, type=int)
@service_command
async def rollback(client, version, expect):
    """Restore the catalogue of VERSION, as a new version."""
    from ..catalogued.client import new_id
    from ..proto import catalogue_pb2 as pb

    return print_outcome(
        await client.call(
            "Rollback",
            pb.RollbackRequest(to=version, expect=expect, who=user_name(), id=new_id()),
            retry_for_s=RETRY_FOR_S,
        )
    )


@catalogue.command()
@click.argument("title")
@service_command
async def holders(client, title):
    """Show TITLE and its holders."""
    version, titles = await client.get(titles=[title])
    if title not in titles:
        click.echo(f"flaxscale: version {version}: no title {title!r}", err=True)
        return EXIT_BAD_INPUT
    t = titles[title]
    click.echo(
        f"{t.name} at version {version}: view {t.view}, push {t.push}, rungs {t.low} to {t.top}, "
        f"codecs {', '.join(t.codecs) or '-'}, seats {dict(t.seats) or '-'}"
    )
    for box, state in t.holders:
        click.echo(f"  box {box}: {state}")


@contextlib.contextmanager
def stdout_silenced():
    """Redirects file descriptor 1: the solver prints a banner there even with output switched off."""
    sys.stdout.flush()
    stdout_copy, null = os.dup(1), os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, 1)
    try:
        yield
    finally:
        os.dup2(stdout_copy, 1)
        os.close(stdout_copy)
        os.close(null)


@catalogue.command("plan")
@click.argument("question", type=click.Path())
@click.option("--out", default=None, type=click.Path(), help="Write the change set here, for `catalogue edit`.")
@click.option("--seconds", default=20.0, show_default=True, help="Time limit of the solver.")
@service_command
async def plan_command(client, question, out, seconds):
    """Which boxes should hold what: copies to add and drop for the demand in QUESTION (Jsonnet)."""
    import msgspec

    from ..catalogue.plan import BoxCapacity, PlanRequest, plan
    from ..site.load import SiteError, decode_as, evaluate_jsonnet

    class ShelfRow(msgspec.Struct, forbid_unknown_fields=True):
        id: int
        link_kb: float
        rack: int = 0
        room: int = 1_000_000

    class QuestionRow(msgspec.Struct, forbid_unknown_fields=True):
        boxes: list[ShelfRow]
        demand: dict[str, float]
        moves: int
        uplinks: dict[str, float] = {}
        value: dict[str, float] = {}
        copies: int = 3
        stress: float = 1.5

    request = decode_as(question, evaluate_jsonnet(question), QuestionRow)
    for key, accepted, expected in (
        ("boxes", request.boxes, "at least one box"),
        ("moves", request.moves >= 0, "0 or more"),
        ("copies", request.copies >= 1, "1 or more"),
        ("stress", request.stress > 1, "over 1"),
        ("uplinks", all(r.isdigit() for r in request.uplinks), "numbers of racks"),
        ("demand", all(kb >= 0 for kb in request.demand.values()), "0 or more each"),
    ):
        if not accepted:
            raise SiteError(question, key, f"{expected} expected")
    version, titles = await client.get()
    held = {t.name: {b for b, s in t.holders if s == "holding"} for t in titles.values()}
    try:
        with stdout_silenced():
            found = plan(
                PlanRequest(
                    tuple(BoxCapacity(b.id, b.link_kb, b.rack, b.room) for b in request.boxes),
                    {int(r): kb for r, kb in request.uplinks.items()},
                    request.demand,
                    request.value,
                    request.moves,
                    request.copies,
                    request.stress,
                ),
                held,
                seconds,
            )
    except ValueError as error:
        raise SiteError(question, "", str(error)) from None
    click.echo(
        f"version {version}: {len(found.add)} copies to add, {len(found.drop)} to drop "
        f"({found.seconds:.1f} s, within {found.gap:.2%} of the best)"
    )
    click.echo(
        f"value of the demand that can be carried: {found.before:.1%} now, {found.after:.1%} then; of a surge "
        f"{found.before_surge:.1%} now, {found.after_surge:.1%} then"
    )
    for title, box in found.add:
        click.echo(f"  + {title} on box {box}")
    for title, box in found.drop:
        click.echo(f"  - {title} on box {box}")
    if out:
        with open(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode([op for ops in found.ops() for op in ops])))
        click.echo(
            f"the change set is in {out}; once the copies are there: flaxscale catalogue edit {out} --expect {version}"
        )


@catalogue.command("who")
@service_command
async def who_command(client):
    """Show the watchers of the catalogue, with their versions and refusals."""
    from ..proto import catalogue_pb2 as pb

    reply = await client.call("Who", pb.WhoRequest())
    click.echo(f"version {reply.version}, epoch {reply.epoch}")
    for watcher in reply.watchers:
        at = watcher.acked if watcher.HasField("acked") else "-"
        state = "connected" if watcher.connected else f"away, last message {watcher.heard_ms_ago / 1000:.1f} s ago"
        refused = f"; refused {watcher.refused}: {watcher.why}" if watcher.HasField("refused") else ""
        click.echo(f"  {watcher.name} ({watcher.role}): version {at}, {state}{refused}")
