"""The command line: one small file a program. Exit status: 0 good, 2 bad use or configuration, 3 a rule broken,
4 managers or their accounts differ."""

import json
import os
import sys

import click

from ..site.load import SiteError

BAD, BROKEN = 2, 3
# Programs start others while gRPC runs; the children begin anew, so that its handlers at a fork have nothing to do.
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")


def site_errors(run):
    """Runs; a bad file ends the program with one line that names it, and status 2."""
    try:
        return run()
    except SiteError as bad:
        click.echo(f"flaxscale: {bad}", err=True)
        sys.exit(BAD)


def ready(host, port, **more):
    print(json.dumps({"host": host, "port": port, **more}), flush=True)
