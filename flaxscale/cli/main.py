"""The flaxscale command. A program's modules are loaded when it is called: a small one must not pay for the others."""

import importlib

import click

PROGRAMS = {  # program: its module here, and its name there
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


class Programs(click.Group):
    def list_commands(self, ctx):
        return sorted(PROGRAMS)

    def get_command(self, ctx, name):
        if name not in PROGRAMS:
            return None
        module, attribute = PROGRAMS[name]
        return getattr(importlib.import_module(f".{module}", __package__), attribute)


@click.group(cls=Programs)
@click.version_option("0.2.0", prog_name="flaxscale")
def main():
    """A session front that places and shapes video sessions on streaming servers."""
