"""The command-line programs, one module for each group of commands.

Exit status: 0 success, 2 bad usage or configuration, 3 a rule was broken, 4 managers or their accounts differ.
"""

import json
import os
import sys

import click

from ..site.load import SiteError

EXIT_BAD_INPUT = 2  # exit status: bad usage, configuration or input
EXIT_RULE_BROKEN = 3  # exit status: the checker found a broken rule

# Commands start child processes while gRPC runs. Each child executes a new program, so gRPC's fork handlers are not
# needed.
os.environ.setdefault("GRPC_ENABLE_FORK_SUPPORT", "0")


def site_errors(run):
    """Returns run(). A SiteError ends the program with its message, which names the file, on one line and status 2."""
    try:
        return run()
    except SiteError as error:
        click.echo(f"flaxscale: {error}", err=True)
        sys.exit(EXIT_BAD_INPUT)


def print_ready(host, port, **fields):
    """Prints one JSON line with the address that the program serves on, once it serves."""
    print(json.dumps({"host": host, "port": port, **fields}), flush=True)
