"""Runs all tests with fixed seeds and prints a summary line.

Failures of tests listed in KNOWN-RED.txt do not change the exit code; the list is
printed first.
"""

from __future__ import annotations

import faulthandler
import os
import sys
import threading
import unittest
from pathlib import Path
from typing import Any

from hypothesis import settings

from tests.known_red import is_known
from tests.known_red import read_entries


ROOT = Path(__file__).resolve().parent.parent
TEST_SECONDS = 400
"""Seconds after which a hanging test prints tracebacks and ends the run; not a target
time."""
RUN_SECONDS = 4_800
"""The same for the whole run: above the sum of what all tests take."""

settings.register_profile("ci", derandomize=True, deadline=None, database=None)


class WatchedResult(unittest.TextTestResult):
    """A result that ends the run if one test hangs."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start to watch a test."""
        super().startTest(test)
        faulthandler.dump_traceback_later(TEST_SECONDS, exit=True)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Stop to watch a test."""
        faulthandler.cancel_dump_traceback_later()
        super().stopTest(test)


def end_hanging_run() -> None:
    """Print tracebacks and end the process."""
    print(f"the run takes over {RUN_SECONDS} s", file=sys.stderr)
    faulthandler.dump_traceback()
    os._exit(1)


def run_tests(pattern: str) -> int:
    """Run the tests in files that match ``pattern``; return the exit code."""
    watch = threading.Timer(RUN_SECONDS, end_hanging_run)
    watch.daemon = True
    watch.start()
    settings.load_profile("ci")
    known = read_entries(ROOT / "KNOWN-RED.txt")
    for entry in known:
        print(f"known red: {entry}")

    suite = unittest.TestLoader().discover(
        str(ROOT / "tests"), pattern=pattern, top_level_dir=str(ROOT)
    )
    kind: Any = WatchedResult
    runner = unittest.TextTestRunner(verbosity=1, buffer=False, resultclass=kind)
    result = runner.run(suite)
    cases = [case for case, _ in result.failures + result.errors]
    cases += result.unexpectedSuccesses
    # Each failed subtest is a case of its own, with its test in ``test_case``.
    bad = {getattr(case, "test_case", case).id() for case in cases}
    new = [name for name in bad if not is_known(name, known)]
    watch.cancel()
    passed = result.testsRun - len(bad) - len(result.skipped)
    print(f"{passed} passed, {len(bad)} failed, {len(result.skipped)} skipped")
    return 1 if new or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1] if len(sys.argv) > 1 else "test_*.py"))
