"""Runs all tests with fixed seeds and prints a summary line.

Failures of tests listed in KNOWN-RED.txt do not change the exit code; the list is
printed first.
"""

from __future__ import annotations

import faulthandler
import sys
import unittest
from pathlib import Path

from hypothesis import settings

from tests.known_red import is_known
from tests.known_red import read_entries


ROOT = Path(__file__).resolve().parent.parent
HANG_SECONDS = 1200
"""Seconds after which a hanging run prints tracebacks and fails; not a target time."""

settings.register_profile("ci", derandomize=True, deadline=None, database=None)


def run_tests(pattern: str) -> int:
    """Run the tests in files that match ``pattern``; return the exit code."""
    faulthandler.dump_traceback_later(HANG_SECONDS, exit=True)
    settings.load_profile("ci")
    known = read_entries(ROOT / "KNOWN-RED.txt")
    for entry in known:
        print(f"known red: {entry}")

    suite = unittest.TestLoader().discover(
        str(ROOT / "tests"), pattern=pattern, top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=False).run(suite)
    cases = [case for case, _ in result.failures + result.errors]
    cases += result.unexpectedSuccesses
    # Each failed subtest is a case of its own, with its test in ``test_case``.
    bad = {getattr(case, "test_case", case).id() for case in cases}
    new = [name for name in bad if not is_known(name, known)]
    faulthandler.cancel_dump_traceback_later()
    passed = result.testsRun - len(bad) - len(result.skipped)
    print(f"{passed} passed, {len(bad)} failed, {len(result.skipped)} skipped")
    return 1 if new or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(run_tests(sys.argv[1] if len(sys.argv) > 1 else "test_*.py"))
