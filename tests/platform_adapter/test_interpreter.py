"""Tests of the interpreter that the build makes for waxwingwell's roles."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path


ROOT = Path(__file__).resolve().parents[2]
BUILD = ROOT / "platform" / "interpreter" / "build.py"
SIGNALLED = "import os, signal; os.kill(os.getpid(), signal.SIGHUP); print('runs')"


def build(folder: Path, path: str) -> tuple[Path, str]:
    """Build an interpreter; return its path and the build's error output."""
    target = folder / "target" / "python"
    completed = subprocess.run(
        [sys.executable, str(BUILD), str(target)],
        env={**os.environ, "PATH": path},
        capture_output=True,
        text=True,
        check=True,
    )
    return target, completed.stderr


def run_code(program: Path, code: str) -> subprocess.CompletedProcess[str]:
    """Run code in an interpreter, with the options of the deploy file."""
    return subprocess.run(
        [str(program), "-S", "-c", code], capture_output=True, text=True, check=False
    )


class InterpreterTest(unittest.TestCase):
    """The built interpreter, and the link that replaces it."""

    def test_changed_settings_do_not_end_it(self) -> None:
        """A settings signal must not end a process before its script runs."""
        with tempfile.TemporaryDirectory() as name:
            target, errors = build(Path(name), os.environ["PATH"])
            self.assertEqual(errors, "")
            completed = run_code(target, SIGNALLED)
            self.assertEqual((completed.returncode, completed.stdout), (0, "runs\n"))

    def test_it_finds_the_same_libraries(self) -> None:
        code = "import sys, ssl, sqlite3; print(sys.version, sys.base_prefix)"
        with tempfile.TemporaryDirectory() as name:
            target, _ = build(Path(name), os.environ["PATH"])
            expected = run_code(Path(sys.executable), code)
            self.assertEqual(run_code(target, code).stdout, expected.stdout)

    def test_a_machine_without_a_compiler(self) -> None:
        """The build must not fail if there is no compiler."""
        with tempfile.TemporaryDirectory() as name:
            target, errors = build(Path(name), name)
            self.assertIn("is a link to", errors)
            self.assertTrue(target.is_symlink())
            self.assertEqual(run_code(target, "print('runs')").stdout, "runs\n")

    def test_the_roles_are_started_by_it(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for name, role in deploy["roles"].items():
            with self.subTest(name):
                self.assertEqual(role["run"].split()[0], "target/python")
                self.assertIn("build.py target/python", deploy["build"])
