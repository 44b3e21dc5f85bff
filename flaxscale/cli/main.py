"""The flaxscale command.

A command's modules are imported only when it is called, so that a small command does not import those of all others.
"""

import importlib

import click

COMMANDS = {  # command name: (module in this package, attribute of that module)
    "front": ("front", "front"),
    "box": ("standins", "box"),
    "boxlist": ("standins", "boxlist"),
    "try": ("attempt", "try_command"),
    "view": ("players", "view"),
    "push": ("players", "push"),
    "day": ("days", "day"),
    "check": ("days", "check_command"),
    "config": ("days", "config"),
    "catalogue": ("catalogue", "catalogue"),
    "peak": ("peaks", "peak"),
    "model": ("model", "model"),
    "journal": ("journal", "journal"),
    "managers": ("journal", "managers"),
    "platform": ("platform", "platform"),
    "relay": ("relay", "relay"),
    "audit": ("audit", "audit"),
    "fleet": ("fleet", "fleet"),
    "leases": ("leases", "leases"),
    "solve": ("solve", "solve"),
    "hunt": ("hunt", "hunt"),
    "report": ("report", "report"),
}


class LazyCommandGroup(click.Group):
    """A click group that imports the module of a command on its first use."""

    def list_commands(self, ctx):
        return sorted(COMMANDS)

    def get_command(self, ctx, name):
        if name not in COMMANDS:
            return None
        module, attribute = COMMANDS[name]
        return getattr(importlib.import_module(f".{module}", __package__), attribute)


@click.group(cls=LazyCommandGroup)
@click.version_option("0.2.0", prog_name="flaxscale")
def main():
    """A session front that places and shapes video sessions on streaming servers."""
