"""Runs the flaxscale command for `python -m flaxscale`."""

from .cli.main import main

if __name__ == "__main__":
    main(prog_name="flaxscale")
