"""``waxwingwell experiment``: compare the routing decisions with baselines."""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable


DEFAULT_SEEDS = 20
RUNNERS = {
    "fleet": ("..experiments.fleet", "run_fleet"),
    "gateways": ("..experiments.gateways", "run_gateways"),
    "quality": ("..experiments.quality", "run_quality"),
}
"""Module and function of each experiment, imported only when it runs."""


class Report(Protocol):
    """The report of an experiment."""

    def render(self) -> str:
        """Return the report as text."""

    def to_json(self) -> str:
        """Return the report as JSON."""


def run_experiment(
    name: str,
    profile: str = "entoto",
    seeds: int = DEFAULT_SEEDS,
    out: str = "",
    plot: bool = False,
) -> None:
    """Run an experiment and print its report.

    Args:
        name: ``fleet`` (upstreams, priorities, overload), ``gateways`` (balance of
            many gateways over few engines) or ``quality`` (versions, roll-outs).
        profile: ``entoto`` or ``frio``.
        seeds: number of seeded runs behind each figure; use 20 or more for a claim.
        out: folder for the JSON report and the plots; created if it is missing.
        plot: also write plots to ``out`` (needs matplotlib).
    """
    if name not in RUNNERS:
        raise SystemExit(f"experiment: name: {name!r} is not one of {sorted(RUNNERS)}")

    if plot and not out:
        raise SystemExit("experiment: plot: needs a folder, --out=FOLDER")

    report = run_or_exit(load_runner(name), profile, seeds)
    print(report.render())
    if out:
        write_report(report, Path(out), f"{name}-{profile}", plot=plot)


def load_runner(name: str) -> Callable[[str, int], Report]:
    """Import and return an experiment's function."""
    module, function = RUNNERS[name]
    runner: Callable[[str, int], Report] = getattr(
        import_module(module, __package__), function
    )
    return runner


def run_or_exit(run: Callable[[str, int], Report], profile: str, seeds: int) -> Report:
    """Run an experiment; exit with the reason if an argument is invalid."""
    try:
        return run(profile, seeds)
    except ValueError as error:
        raise SystemExit(f"experiment: {error}") from None


def write_report(report: Report, folder: Path, stem: str, *, plot: bool) -> None:
    """Write the report as JSON and, if ``plot`` is set, its plots."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{stem}.json"
    path.write_text(report.to_json() + "\n")
    print(f"written: {path}")
    if not plot:
        return

    from ..experiments.fleet import FleetReport
    from ..experiments.plots import plot_fleet
    from ..experiments.quality_report import QualityReport

    if isinstance(report, FleetReport):
        for drawn in plot_fleet(report, folder, stem):
            print(f"written: {drawn}")

        return

    if isinstance(report, QualityReport):
        drawn = folder / f"{stem}.png"
        report.plot(drawn)
        print(f"written: {drawn}")
