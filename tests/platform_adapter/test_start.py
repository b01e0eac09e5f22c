"""Starting a role as the deploy file says."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import ClassVar


ROOT = Path(__file__).resolve().parents[2]
COPY_STEP = "&& rm -rf target/deps/waxwingwell"
"""Where the build goes on from the registry's packages to our own."""


def build_packages(folder: Path) -> Path:
    """Run the build's steps for our own packages in a copy; return what it made."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    steps = "true " + deploy["build"][deploy["build"].index(COPY_STEP) :]
    for name in ("src", "platform"):
        (folder / name).symlink_to(ROOT / name)

    made = folder / "target" / "deps"
    made.mkdir(parents=True)
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    subprocess.run(["/bin/sh", "-c", steps], cwd=folder, env={"PATH": path}, check=True)
    return made


SIGNALLED_IN_IMPORT = """
import os, signal
os.kill(os.getpid(), signal.SIGHUP)
def main(arguments, began_at):
    print("main runs")
"""
SIGNALLED_IN_START = """
import os, signal
from waxwingwell_platform import main
def start(fields):
    os.kill(os.getpid(), signal.SIGHUP)
    reload = lambda new: print("reloaded", new["node_name"])
    return main.Role(stop=lambda: None, reload=reload)
class Reactor:
    def run(self, installSignalHandlers):
        print("running")
main.start_gateway = start
main._reactor = Reactor
main.main(["start.py", "gateway"])
"""


ROLE_THAT_STOPS = """
import os, signal
from waxwingwell.adapters.signals import ProcessStart
from waxwingwell_platform import main
class Reactor:
    def callFromThread(self, call, *arguments):
        call(*arguments)
    def run(self, installSignalHandlers):
        print("running")
class SignalledAtExit:
    def __del__(self):
        os.kill(os.getpid(), signal.{signal})
def start(fields):
    {in_start}
    return main.Role(
        stop=lambda told_at: print("stopped", told_at <= main.read_clock()),
        reload=lambda new: None,
    )
main.start_gateway = start
main._reactor = Reactor
start_of_process = ProcessStart(main.read_clock())
main.keep_signals(start_of_process)
{before}
main.main(["start.py", "gateway"], start_of_process)
{after}
"""
KILL = "os.kill(os.getpid(), signal.{signal})"
AT_EXIT = "import sys; sys.modules['late'] = SignalledAtExit()"


class StopTest(unittest.TestCase):
    """A role that is told to stop while it starts, or once more as it ends."""

    MOMENTS: ClassVar = {
        "before the settings are read": ("before", KILL, ""),
        "while the role starts": ("in_start", KILL, "stopped True\nrunning\n"),
        "as the interpreter ends": ("after", AT_EXIT, "running\n"),
    }

    def test_the_process_ends_in_order(self) -> None:
        """Guards against the default action of signals, which ends the process."""
        for name, (place, code, printed) in self.MOMENTS.items():
            for number in ("SIGTERM", "SIGINT"):
                with self.subTest(name, number=number):
                    steps = {"before": "", "in_start": "pass", "after": ""}
                    steps[place] = code.format(signal=number)
                    done = run_role(ROLE_THAT_STOPS.format(signal=number, **steps))
                    self.assertEqual(done.returncode, 0, done.stderr)
                    self.assertEqual(done.stdout, printed)

    def test_settings_signalled_at_the_end_are_no_crash(self) -> None:
        """Guards against a planned stop that is taken for a crash."""
        steps = {"before": "", "in_start": "pass", "after": AT_EXIT}
        done = run_role(ROLE_THAT_STOPS.format(signal="SIGHUP", **steps))
        self.assertEqual(done.returncode, 0, done.stderr)


def run_role(code: str) -> subprocess.CompletedProcess[str]:
    """Run code in a process that has a settings file."""
    with tempfile.TemporaryDirectory() as name:
        settings = Path(name) / "settings.toml"
        settings.write_text('node_name = "n1"\n')
        return subprocess.run(
            [sys.executable, "-c", code],
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join([str(ROOT / "platform"), *sys.path]),
                "WAXWINGWELL_SETTINGS": str(settings),
            },
            capture_output=True,
            text=True,
            check=False,
        )


class StartTest(unittest.TestCase):
    """The start script over packages that were built."""

    def test_a_start_compiles_nothing(self) -> None:
        # After a loss of power callers are refused until gateways are up again. The
        # start compiled every module anew each time, as it looked for compiled code
        # where the build had left none; that was two thirds of a second on a small VM.
        with tempfile.TemporaryDirectory() as name:
            made = build_packages(Path(name))
            done = subprocess.run(
                [sys.executable, "-v", "platform/start.py"],
                cwd=name,
                env={**os.environ, "PYTHONPATH": str(made)},
                capture_output=True,
                text=True,
                check=False,
            )

        self.assertIn("usage: start.py", done.stderr)
        self.assertIn("waxwingwell_platform", done.stderr)
        compiled = [
            line
            for line in done.stderr.splitlines()
            if line.startswith("# code object from") and ".pyc" not in line
        ]
        # The script itself is never kept in compiled form.
        self.assertEqual(compiled, [])

    def test_settings_signalled_during_the_imports_end_nothing(self) -> None:
        """The platform changes settings just as a process starts.

        The signal arrives before anything handles it, and ends the process, which is
        then started once more; a registry misses an election for it.
        """
        with tempfile.TemporaryDirectory() as name:
            package = Path(name) / "waxwingwell_platform"
            package.mkdir()
            (package / "__init__.py").write_text("")
            (package / "main.py").write_text(SIGNALLED_IN_IMPORT)
            script = Path(name) / "start.py"
            script.write_text((ROOT / "platform" / "start.py").read_text())
            done = subprocess.run(
                [sys.executable, str(script)],
                env={**os.environ, "PYTHONPATH": name},
                capture_output=True,
                text=True,
                check=False,
            )

        self.assertEqual((done.returncode, done.stdout), (0, "main runs\n"))

    def test_settings_signalled_during_the_start_are_taken(self) -> None:
        """Settings change after they were read, before the role takes others.

        Were the signal dropped, the process would keep the former settings for good.
        """
        done = run_role(SIGNALLED_IN_START)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("reloaded n1", done.stdout)
        self.assertIn("running", done.stdout)

    def test_the_standard_platform_module_is_not_hidden(self) -> None:
        code = "import platform; print(platform.__file__)"
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "platform")},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertTrue(done.stdout.strip().endswith("platform.py"), done.stdout)


if __name__ == "__main__":
    unittest.main()
