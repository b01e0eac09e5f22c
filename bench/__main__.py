"""Run benchmarks by name in sequence: ``python -m bench [NAME ...]``.

Without names, only ``path`` runs: the whole request path against a bare hop.
"""

from __future__ import annotations

import runpy
import sys


NAMES = (
    "consensus",
    "control_plane",
    "decisions",
    "gateway",
    "gateway_path",
    "path",
    "state",
    "versions",
)
DEFAULT = ("path",)


def main() -> None:
    """Run the benchmarks named by the arguments; exit with 2 if one is unknown."""
    names = tuple(sys.argv[1:]) or DEFAULT
    unknown = [name for name in names if name not in NAMES]
    if unknown:
        print(f"bench: {', '.join(unknown)}: not one of {', '.join(NAMES)}")
        sys.exit(2)

    for name in names:
        print(f"== {name}", flush=True)
        sys.argv = [f"bench.{name}"]
        runpy.run_module(f"bench.{name}", run_name="__main__")


if __name__ == "__main__":
    main()
