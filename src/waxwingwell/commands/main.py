"""The command line's entry point."""

from __future__ import annotations

import fire

from .. import __version__
from .demo import demo
from .experiment import run_experiment
from .explain import explain
from .groups import COMMANDS
from .recover import COMMANDS as RECOVER
from .review import review
from .serve import serve


def show_version() -> str:
    """Return the version of this package."""
    return __version__


def main() -> None:
    """Run the command given by the arguments."""
    commands: dict[str, object] = {
        **COMMANDS,
        "demo": demo,
        "experiment": run_experiment,
        "explain": explain,
        "recover": RECOVER,
        "review": review,
        "serve": serve,
        "version": show_version,
    }
    fire.Fire(commands, name="waxwingwell")
