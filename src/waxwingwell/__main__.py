"""Runs the command line for ``python -m waxwingwell``."""

from __future__ import annotations

from .commands.main import main


if __name__ == "__main__":
    main()
