"""The plot of ``waxwingwell review``; matplotlib is imported only when needed."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from pathlib import Path

    from .review import Review


def plot_windows(result: Review, path: Path) -> Path:
    """Plot the requests' outcomes over time; return the file."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    numbers = sorted(result.windows)
    times = [(number - numbers[0]) * result.window for number in numbers]
    outcomes = sorted(
        {name for one in result.windows.values() for name in one.outcomes}
    )
    figure = pyplot.figure(figsize=(8, 4))
    axes = figure.add_subplot()
    base = [0] * len(numbers)
    for outcome in outcomes:
        counts = [result.windows[number].outcomes[outcome] for number in numbers]
        axes.bar(times, counts, result.window, base, align="edge", label=outcome)
        base = [low + count for low, count in zip(base, counts, strict=True)]

    axes.set_xlabel("s")
    axes.set_ylabel(f"requests in {result.window:g} s")
    axes.legend()
    figure.savefig(path, dpi=120, bbox_inches="tight")
    pyplot.close(figure)
    return path
