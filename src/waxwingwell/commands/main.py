"""The command line's entry point."""

from __future__ import annotations

import fire

from .. import __version__
from .demo import demo
from .groups import COMMANDS
from .serve import serve


def show_version() -> str:
    """Return the version of this package."""
    return __version__


def main() -> None:
    """Run the command that the arguments name."""
    commands = {**COMMANDS, "demo": demo, "serve": serve, "version": show_version}
    fire.Fire(commands, name="waxwingwell")
