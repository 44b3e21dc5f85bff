"""flaxscale journal and flaxscale managers: inspect a manager's stored keys, query and control running managers."""

import asyncio
import json
import pathlib
import sys
import time
from urllib.parse import quote

import click

from . import EXIT_BAD_INPUT, service

RETRY_FOR_S = 3.0  # seconds for which a request without an answer is repeated
RETRY_PAUSE_S = 0.1  # seconds between two rounds over the addresses
ANSWER_TIMEOUT_S = 5.0  # seconds that one request may take


@click.group()
def journal():
    """Inspect a manager's journal of idempotency keys, in its --state folder, while that manager is not running."""


def read_folder(folder, read):
    """Returns read(files of the folder); a missing or damaged folder ends the program with one line and status 2."""
    from ..store.files import Files
    from ..store.log import StoreError

    if not pathlib.Path(folder).is_dir():
        click.echo(f"flaxscale: {folder}: not a folder", err=True)
        sys.exit(EXIT_BAD_INPUT)
    try:
        return read(Files(folder))
    except (StoreError, ValueError, OSError) as error:
        click.echo(f"flaxscale: {folder}: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)


def open_journal(folder):
    """Returns the KeyJournal stored in the folder."""
    from ..recovery.journal import KeyJournal

    return read_folder(folder, lambda files: KeyJournal(files, 0.0))


@journal.command()
@click.argument("folder", type=click.Path())
def inspect(folder):
    """Print the stored keys, one JSON line each. Tokens and offers are not included, and answers only by their size."""
    for row in open_journal(folder).rows.values():
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
    """Check that the journal can be read, without changing it."""
    from ..store.log import verify as check

    seq, snapshot, count, torn = read_folder(folder, check)
    kept = "no snapshot" if snapshot is None else f"snapshot at {snapshot}"
    click.echo(f"good: {seq} records, {kept}, {count} after it, {torn} bytes of a torn tail")


@journal.command()
@click.argument("folder", type=click.Path())
def compact(folder):
    """Write the keys that have not expired as one snapshot and delete the rest."""
    key_journal = open_journal(folder)
    before = len(key_journal.rows)
    key_journal.compact(time.time())
    click.echo(f"{len(key_journal.rows)} keys kept, {before - len(key_journal.rows)} had expired")


@click.group()
def managers():
    """Managers in service: which are alive, reloading their settings, draining."""


AT_OPTION = click.option("--at", default="127.0.0.1:8080", show_default=True, metavar="HOST:PORT", help="Any manager.")
TOKEN_OPTION = click.option("--token", default=None, help="A bearer token of the site.")


class NoAnswer(OSError):
    """The manager is unreachable or does not answer in time. A refusal raises a plain OSError instead."""


async def request_manager(pool, at, token, method, path):
    """Returns the JSON object that a manager answers with.

    Raises NoAnswer where none arrives, and OSError with the manager's reason where it refuses.
    """
    host, _, port = at.rpartition(":")
    if not port.isdigit():
        raise OSError("HOST:PORT expected")
    try:
        result = await pool.fetch(
            host,
            int(port),
            method,
            path,
            [("Authorization", f"Bearer {token}")] if token else [],
            b"",
            ANSWER_TIMEOUT_S,
        )
    except OSError as error:
        raise NoAnswer(str(error)) from None
    if result.status == 307:
        host, _, rest = result.headers["location"].removeprefix("http://").partition("/")
        return await request_manager(pool, host, token, method, "/" + rest)
    if result.status not in (200, 202):
        try:
            detail = json.loads(result.body)["detail"]
        except (ValueError, KeyError, TypeError):
            detail = "no detail given"
        raise OSError(f"status {result.status}: {detail}")
    return json.loads(result.body)


def request_any(addresses, token, method="GET", path="/state", retry_for_s=RETRY_FOR_S):
    """Asks the addresses in turn, for retry_for_s seconds, and returns the first answer.

    A refusal, or no answer in that time, ends the program with one line and status 2.
    """
    from ..serve.clock import now
    from ..serve.pool import Pool

    async def ask():
        pool, deadline = Pool(2.0), now() + round(retry_for_s * 10_000)
        try:
            while True:
                for at in addresses:
                    try:
                        return await request_manager(pool, at, token, method, path)
                    except NoAnswer as error:
                        why = f"{at}: {error}"
                    except OSError as error:
                        raise OSError(f"{at}: {error}") from None
                if now() >= deadline:
                    raise OSError(why)
                await asyncio.sleep(RETRY_PAUSE_S)
        finally:
            await pool.close()

    try:
        return service.run(ask())
    except OSError as error:
        click.echo(f"flaxscale: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)


def request_once(at, token, method="GET", path="/state"):
    """Like request_any, with one address and no retry."""
    return request_any([at], token, method, path, 0)


@managers.command()
@AT_OPTION
@click.option("--token", required=True, help="The site's fleet_token.")
def reload(at, token):
    """Make a manager reload its settings file.

    If it can't apply a setting, it names the setting in its refusal and keeps serving.
    """
    answer = request_once(at, token, "POST", "/settings/reload")
    click.echo(
        f"{answer['site']}: settings {answer['mark']} in service; loaded {answer['loaded']} times, "
        f"refused {answer['refused']} times"
    )


@managers.command()
@click.option(
    "--at",
    "addresses",
    multiple=True,
    default=("127.0.0.1:8080",),
    show_default=True,
    metavar="HOST:PORT",
    help="A manager to ask; may be repeated, in case the first is gone.",
)
@click.option(
    "--manager", default=None, metavar="NAME", help="The manager to drain; by default, the first that answers."
)
@click.option(
    "--life", default=None, help="The process instance (boot id) to drain; by default, the one that the managers know."
)
@click.option("--token", required=True, help="The site's fleet_token.")
def drain(addresses, manager, life, token):
    """Drain a manager as at SIGTERM: its viewings go to the other managers, or end where there are none.

    A request without an answer is repeated for 3 s, to each address in turn; it takes effect once.
    """
    if life is None:
        state = request_any(addresses, token, path="/drain")
        manager = manager or state["manager"]
        life = state["lives"].get(manager, "")
    answer = request_any(addresses, token, "POST", f"/drain?manager={quote(manager or '')}&life={quote(life)}")
    if "over" in answer:
        click.echo(f"{answer['manager']}: nothing to do: {answer['over']}")
        return
    click.echo(
        f"{answer['manager']} is draining: {answer['viewings']} viewings, sees {answer['others']} other managers alive"
    )


@managers.command("list")
@AT_OPTION
@TOKEN_OPTION
def list_command(at, token):
    """List the managers and their states, as one manager knows them."""
    state = request_once(at, token)
    membership = state["members"]
    click.echo(f"{state['manager']} (asked): {state['viewings']} viewings, {membership['taken_over']} taken over")
    if not membership["on"]:
        click.echo("it does not exchange messages with other managers")
    for name, row in sorted(membership.get("members", {}).items()):
        click.echo(f"{name}: {row['state']}, incarnation {row['incarnation']}, serves {row['serves']}")


@managers.command()
@click.argument("name")
@AT_OPTION
@TOKEN_OPTION
def why(name, at, token):
    """Explain the state of manager NAME, as the manager at --at knows it."""
    membership = request_once(at, token)["members"]
    row = membership.get("members", {}).get(name)
    if row is None:
        click.echo(f"flaxscale: {name}: not known at {at}", err=True)
        sys.exit(EXIT_BAD_INPUT)
    reason = {
        "alive": "it answers probes, sent directly or through other managers",
        "suspect": "its probes went unanswered; it can still refute the suspicion with a higher incarnation",
        "dead": "it did not refute the suspicion within the suspicion timeout; its viewings were claimed",
        "left": "it announced that it leaves",
    }[row["state"]]
    click.echo(f"{name} is {row['state']} (incarnation {row['incarnation']}, {row['address']}): {reason}")
    click.echo(
        f"the manager asked stalled {membership['stood_still']} times; such times don't count against other managers"
    )
