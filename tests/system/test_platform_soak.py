"""A short seeded run of the fault soak: real processes, faults from outside."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from tests import platform_adapter  # noqa: F401  # puts the adapter on the path


SEEDS = (
    # A registry was told of changed settings while it started, and ended by itself.
    202,
    7,
)
FAULT_SECONDS = 6.0
PLANNED_SEEDS = (4,)
PLANNED_SECONDS = 1.0
"""One series of stops."""
STARTS_SEED = 100
STARTS_SECONDS = 1.0
STOPPED_AT_START = 713002
"""Broken before gateways kept signals during their start."""


class PlatformSoakTest(unittest.TestCase):
    """Three gateways and three registries."""

    def test_promises_hold_under_faults(self) -> None:
        from bench.soak.__main__ import run_seed

        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                journal, findings = asyncio.run(
                    run_seed(
                        Path(folder), seed, FAULT_SECONDS, registries=3, gateways=3
                    )
                )
                self.assertEqual(findings, [])
                self.assertGreater(len(journal.requests), 0)
                self.assertGreater(len(journal.accepted), 0)

    def test_planned_stops_cut_no_answer(self) -> None:
        """Story: a caller gets status 200, and its connection ends in mid-answer.

        Gateways and registries stop in turn, as planned, and nothing else is amiss.
        An upstream's answer is served to the end, and the gateway ends with the last
        bytes of it: its callers read slowly, or it ends in the very same moment.
        """
        from bench.soak.__main__ import run_seed

        for seed in PLANNED_SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                journal, findings = asyncio.run(
                    run_seed(
                        Path(folder),
                        seed,
                        PLANNED_SECONDS,
                        registries=3,
                        gateways=3,
                        planned=True,
                    )
                )
                self.assertEqual(findings, [])
                self.assertGreater(len(journal.requests), 0)

    def test_signals_at_starts_cut_no_answer(self) -> None:
        """Guards against processes that are signalled as they start, and end."""
        from bench.soak.__main__ import run_case
        from bench.soak.seeds import KEPT_SEEDS
        from bench.soak.seeds import SoakCase

        kept = [case for case in KEPT_SEEDS if case.seed == STOPPED_AT_START]
        fresh = SoakCase(STARTS_SEED, seconds=STARTS_SECONDS, starts=True)
        for case in (fresh, *kept):
            with self.subTest(seed=case.seed), tempfile.TemporaryDirectory() as folder:
                journal, findings = asyncio.run(
                    run_case(Path(folder), case, registries=3, gateways=3)
                )
                self.assertEqual(findings, [])
                self.assertGreater(len(journal.requests), 0)


if __name__ == "__main__":
    unittest.main()
