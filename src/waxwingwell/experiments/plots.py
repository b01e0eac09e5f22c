"""Plots of the fleet experiment; matplotlib is imported only when one is drawn."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from pathlib import Path

    from .fleet import FleetReport
    from .fleet import Row


PLOTS = (
    ("goodput", "goodput", "answer tokens a second"),
    ("orders", "order_first_p99", "p99 first token of orders, s"),
    ("first-token", "first_p95", "p95 first token, s"),
    ("unserved", "refused", "share of requests unserved"),
)


def plot_fleet(report: FleetReport, folder: Path, stem: str) -> list[Path]:
    """Plot each figure of the load sweep against the load; return the files."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    drawn = []
    sweep = [row for row in report.rows if row.scenario == "sweep"]
    for name, figure, label in PLOTS:
        canvas = pyplot.figure(figsize=(6, 4))
        axes = canvas.add_subplot()
        for policy in dict.fromkeys(row.policy for row in sweep):
            rows = [row for row in sweep if row.policy == policy]
            loads = [row.load for row in rows]
            axes.plot(loads, list_medians(rows, figure), marker="o", label=policy)

        axes.set_xlabel("load over what the engines can bear")
        axes.set_ylabel(label)
        axes.legend()
        path = folder / f"{stem}-{name}.png"
        canvas.savefig(path, dpi=120, bbox_inches="tight")
        pyplot.close(canvas)
        drawn.append(path)

    return drawn


def list_medians(rows: list[Row], figure: str) -> list[float]:
    """Return the median of one figure in each row."""
    return [row.figures[figure].median for row in rows]
