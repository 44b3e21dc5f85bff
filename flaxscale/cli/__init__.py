"""The command line: one small file a program. Exit status: 0 good, 2 bad use or configuration, 3 a rule broken."""
import json
import sys

import click

from ..site.load import SiteError

BAD, BROKEN = 2, 3


def site_errors(run):
    """Runs; a bad file ends the program with one line that names it, and status 2."""
    try:
        return run()
    except SiteError as bad:
        click.echo(f"flaxscale: {bad}", err=True)
        sys.exit(BAD)


def ready(host, port, **more):
    print(json.dumps({"host": host, "port": port, **more}), flush=True)
