"""flaxscale journal and flaxscale managers: look at what a manager keeps, and at who is alive."""

import asyncio
import json
import pathlib
import sys
import time
from urllib.parse import quote

import click

from . import EXIT_BAD_INPUT, service

AGAIN_S, PAUSE_S, ANSWER_S = 3.0, 0.1, 5.0  # an order without an answer is said again


@click.group()
def journal():
    """A manager's journal of idempotency keys (in its --state folder). Use it while that manager does not run."""


def looked_at(folder, look):
    """look(its files); a folder that is none, or damaged, ends the program with one line and status 2."""
    from ..store.files import Files
    from ..store.log import StoreError

    if not pathlib.Path(folder).is_dir():
        click.echo(f"flaxscale: {folder}: a folder expected", err=True)
        sys.exit(EXIT_BAD_INPUT)
    try:
        return look(Files(folder))
    except (StoreError, ValueError, OSError) as bad:
        click.echo(f"flaxscale: {folder}: {bad}", err=True)
        sys.exit(EXIT_BAD_INPUT)


def opened(folder):
    from ..recovery.journal import KeyJournal

    return looked_at(folder, lambda files: KeyJournal(files, 0.0))


@journal.command()
@click.argument("folder", type=click.Path())
def inspect(folder):
    """What is kept: one JSON line a key. Tokens and offers are not in it; answers are only counted."""
    for row in opened(folder).rows.values():
        click.echo(
            json.dumps(
                {
                    "name": row.name,
                    "title": row.title,
                    "key": row.key,
                    "status": row.status,
                    "answer_bytes": len(row.body),
                    "left_s": round(row.until - time.time(), 1),
                }
            )
        )


@journal.command()
@click.argument("folder", type=click.Path())
def verify(folder):
    """Whether it reads, without changing anything."""
    from ..store.log import verify as check

    seq, snapshot, count, torn = looked_at(folder, check)
    kept = "no snapshot" if snapshot is None else f"snapshot at {snapshot}"
    click.echo(f"good: {seq} records, {kept}, {count} after it, {torn} bytes of a torn tail")


@journal.command()
@click.argument("folder", type=click.Path())
def compact(folder):
    """Write what still counts as one snapshot; the rest goes."""
    made = opened(folder)
    before = len(made.rows)
    made.compact(time.time())
    click.echo(f"{len(made.rows)} keys kept, {before - len(made.rows)} were over")


@click.group()
def managers():
    """Managers in service: who is alive, and the settings that they go by."""


AT = click.option("--at", default="127.0.0.1:8080", show_default=True, metavar="HOST:PORT", help="Any manager.")
TOKEN = click.option("--token", default=None, help="A bearer token of the site.")


class NoAnswer(OSError):
    """Nobody is there, or nobody answers in time; an answer that refuses is another error."""


async def one_answer(pool, at, token, method, path):
    """The object that a manager answers with. OSError: a refusal, in its own words; NoAnswer: none came."""
    host, _, port = at.rpartition(":")
    if not port.isdigit():
        raise OSError("HOST:PORT expected")
    try:
        result = await pool.fetch(
            host, int(port), method, path, [("Authorization", f"Bearer {token}")] if token else [], b"", ANSWER_S
        )
    except OSError as bad:
        raise NoAnswer(str(bad)) from None
    if result.status == 307:
        host, _, rest = result.headers["location"].removeprefix("http://").partition("/")
        return await one_answer(pool, host, token, method, "/" + rest)
    if result.status not in (200, 202):
        try:
            said = json.loads(result.body)["detail"]
        except (ValueError, KeyError, TypeError):
            said = "no more was said"
        raise OSError(f"status {result.status}: {said}")
    return json.loads(result.body)


def asked_any(addresses, token, method="GET", path="/state", again_s=AGAIN_S):
    """The first answer of any of them, asked in turn for again_s; none ends the program with one line and status 2."""
    from ..serve.clock import now
    from ..serve.pool import Pool

    async def ask():
        pool, until = Pool(2.0), now() + round(again_s * 10_000)
        try:
            while True:
                for at in addresses:
                    try:
                        return await one_answer(pool, at, token, method, path)
                    except NoAnswer as bad:
                        why = f"{at}: {bad}"
                    except OSError as bad:
                        raise OSError(f"{at}: {bad}") from None
                if now() >= until:
                    raise OSError(why)
                await asyncio.sleep(PAUSE_S)
        finally:
            await pool.close()

    try:
        return service.run(ask())
    except OSError as bad:
        click.echo(f"flaxscale: {bad}", err=True)
        sys.exit(EXIT_BAD_INPUT)


def asked(at, token, method="GET", path="/state"):
    return asked_any([at], token, method, path, 0)


@managers.command()
@AT
@click.option("--token", required=True, help="The site's fleet_token.")
def reload(at, token):
    """Let a manager read its settings file again; it refuses by name what it can't take on, and serves on."""
    told = asked(at, token, "POST", "/settings/reload")
    click.echo(
        f"{told['site']}: settings {told['mark']} in service; loaded {told['loaded']} times, "
        f"refused {told['refused']} times"
    )


@managers.command()
@click.option(
    "--at",
    "addresses",
    multiple=True,
    default=("127.0.0.1:8080",),
    show_default=True,
    metavar="HOST:PORT",
    help="A manager; more of them where the first may be gone.",
)
@click.option("--manager", default=None, metavar="NAME", help="Whom to drain; the first that answers if left out.")
@click.option("--life", default=None, help="In which life; the one that its fellows know of if left out.")
@click.option("--token", required=True, help="The site's fleet_token.")
def drain(addresses, manager, life, token):
    """Let a manager leave service as at SIGTERM: what plays goes to the others, or ends where there are none.

    An order without an answer is said again for 3 s, to each address in turn; it is carried out once.
    """
    if life is None:
        known = asked_any(addresses, token, path="/drain")
        manager = manager or known["manager"]
        life = known["lives"].get(manager, "")
    told = asked_any(addresses, token, "POST", f"/drain?manager={quote(manager or '')}&life={quote(life)}")
    if "over" in told:
        click.echo(f"{told['manager']}: nothing left to do: {told['over']}")
        return
    click.echo(f"{told['manager']} leaves: {told['viewings']} viewings, {told['others']} other managers alive to it")


@managers.command("list")
@AT
@TOKEN
def list_command(at, token):
    """Who is alive, as one manager sees it."""
    state = asked(at, token)
    known = state["members"]
    click.echo(f"{state['manager']} (asked): {state['viewings']} viewings, {known['taken_over']} taken over")
    if not known["on"]:
        click.echo("it does not talk to other managers")
    for name, row in sorted(known.get("members", {}).items()):
        click.echo(f"{name}: {row['state']}, incarnation {row['incarnation']}, serves {row['serves']}")


@managers.command()
@click.argument("name")
@AT
@TOKEN
def why(name, at, token):
    """Why a manager is what it is to the one asked."""
    known = asked(at, token)["members"]
    row = known.get("members", {}).get(name)
    if row is None:
        click.echo(f"flaxscale: {name}: not known at {at}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    said = {
        "alive": "it answers probes, its own or those that others were asked for",
        "suspect": "probes of it got no answer; it may still refute that with a higher incarnation",
        "dead": "it was suspected for as long as that takes and did not refute; what it played was claimed",
        "left": "it said that it leaves",
    }[row["state"]]
    click.echo(f"{name} is {row['state']} (incarnation {row['incarnation']}, {row['address']}): {said}")
    click.echo(f"the one asked stood still {known['stood_still']} times; it judges nobody by such a time")
