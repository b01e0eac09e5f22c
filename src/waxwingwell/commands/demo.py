"""``waxwingwell demo``: a scripted tour on a temporary embedded system."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tabulate import tabulate
from twisted.internet.defer import Deferred

from ..adapters.settings import EmbeddedSettings
from ..adapters.telemetry import start_logging


if TYPE_CHECKING:
    from ..demo.tour import StepResult


def demo(*, log_level: str = "WARNING") -> None:
    """Run the tour on free ports and print its results; exit 0 if all steps passed."""
    from twisted.internet import reactor

    start_logging(log_level)
    with tempfile.TemporaryDirectory() as folder:
        results = _run(reactor, Path(folder))

    rows = [
        (item.step, "ok" if item.passed else "FAILED", item.summary) for item in results
    ]
    print(tabulate(rows, headers=("step", "", "what happened")))
    passed = bool(results) and all(item.passed for item in results)
    sys.exit(0 if passed else 1)


def _run(reactor: Any, folder: Path) -> list[StepResult]:
    from ..demo.tour import run_tour
    from ..embedded.system import start_embedded
    from ..embedded.system import stop_embedded

    results: list[StepResult] = []

    async def run() -> None:
        settings = EmbeddedSettings(port=0, admin_port=0, data_folder=folder / "data")
        system = await start_embedded(settings, reactor)
        try:
            results.extend(await run_tour(system))
        finally:
            await stop_embedded(system)

    def start() -> None:
        done = Deferred.fromCoroutine(run())
        done.addErrback(lambda failure: print(failure.getTraceback(), file=sys.stderr))
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return results
