"""Tests of starting a role in the way of the deploy file."""

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
"""Start of the build steps for waxwingwell's own packages, after its dependencies."""


def build_packages(folder: Path) -> Path:
    """Run the build steps for waxwingwell's packages in ``folder``; return the result.

    The sources there are links to the checkout.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    steps = "true " + deploy["build"][deploy["build"].index(COPY_STEP) :]
    for name in ("src", "platform"):
        (folder / name).symlink_to(ROOT / name)

    packages = folder / "target" / "deps"
    packages.mkdir(parents=True)
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    subprocess.run(["/bin/sh", "-c", steps], cwd=folder, env={"PATH": path}, check=True)
    return packages


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
        stop=lambda requested_at: print("stopped", requested_at <= main.read_clock()),
        reload=lambda new: None,
    )
main.start_gateway = start
main._reactor = Reactor
start_of_process = ProcessStart(main.read_clock())
main.record_signals(start_of_process)
{before}
main.main(["start.py", "gateway"], start_of_process)
{after}
"""
KILL = "os.kill(os.getpid(), signal.{signal})"
AT_EXIT = "import sys; sys.modules['late'] = SignalledAtExit()"


class StopTest(unittest.TestCase):
    """A role that gets a stop signal during its start, or another one as it ends."""

    MOMENTS: ClassVar = {
        "before the settings are read": ("before", KILL, ""),
        "while the role starts": ("in_start", KILL, "stopped True\nrunning\n"),
        "as the interpreter ends": ("after", AT_EXIT, "running\n"),
    }

    def test_the_process_ends_in_order(self) -> None:
        """The default action of a signal must not end the process."""
        for name, (place, code, printed) in self.MOMENTS.items():
            for number in ("SIGTERM", "SIGINT"):
                with self.subTest(name, number=number):
                    steps = {"before": "", "in_start": "pass", "after": ""}
                    steps[place] = code.format(signal=number)
                    completed = run_role(ROLE_THAT_STOPS.format(signal=number, **steps))
                    self.assertEqual(completed.returncode, 0, completed.stderr)
                    self.assertEqual(completed.stdout, printed)

    def test_a_settings_signal_at_the_end_is_no_crash(self) -> None:
        """A settings signal must not make a planned stop look like a crash."""
        steps = {"before": "", "in_start": "pass", "after": AT_EXIT}
        completed = run_role(ROLE_THAT_STOPS.format(signal="SIGHUP", **steps))
        self.assertEqual(completed.returncode, 0, completed.stderr)


def run_role(code: str) -> subprocess.CompletedProcess[str]:
    """Run code in a Python process that has a settings file."""
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
    """The start script with packages that were built."""

    def test_a_start_compiles_nothing(self) -> None:
        # After a power loss, callers' connections are refused until gateways are up. A
        # start that finds no compiled code, as it looks where the build has left none,
        # compiles every module: two thirds of a second on a small VM.
        with tempfile.TemporaryDirectory() as name:
            packages = build_packages(Path(name))
            completed = subprocess.run(
                [sys.executable, "-v", "platform/start.py"],
                cwd=name,
                env={**os.environ, "PYTHONPATH": str(packages)},
                capture_output=True,
                text=True,
                check=False,
            )

        self.assertIn("usage: start.py", completed.stderr)
        self.assertIn("waxwingwell_platform", completed.stderr)
        compiled = [
            line
            for line in completed.stderr.splitlines()
            if line.startswith("# code object from") and ".pyc" not in line
        ]
        # Python never caches the compiled form of the script itself.
        self.assertEqual(compiled, [])

    def test_a_settings_signal_during_the_imports_does_not_end_it(self) -> None:
        """The platform changes settings just as a process starts.

        Without a handler the signal would end the process. It would be restarted, and a
        registry would miss an election meanwhile.
        """
        with tempfile.TemporaryDirectory() as name:
            package = Path(name) / "waxwingwell_platform"
            package.mkdir()
            (package / "__init__.py").write_text("")
            (package / "main.py").write_text(SIGNALLED_IN_IMPORT)
            script = Path(name) / "start.py"
            script.write_text((ROOT / "platform" / "start.py").read_text())
            completed = subprocess.run(
                [sys.executable, str(script)],
                env={**os.environ, "PYTHONPATH": name},
                capture_output=True,
                text=True,
                check=False,
            )

        self.assertEqual((completed.returncode, completed.stdout), (0, "main runs\n"))

    def test_a_settings_signal_during_the_start_reloads_settings(self) -> None:
        """Settings change after they were read, before the role handles the signal.

        If the signal were dropped, the process would keep the former settings.
        """
        completed = run_role(SIGNALLED_IN_START)
        self.assertEqual(completed.returncode, 0, completed.stderr)
        self.assertIn("reloaded n1", completed.stdout)
        self.assertIn("running", completed.stdout)

    def test_the_standard_platform_module_is_not_hidden(self) -> None:
        code = "import platform; print(platform.__file__)"
        completed = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT / "platform")},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertTrue(
            completed.stdout.strip().endswith("platform.py"), completed.stdout
        )


if __name__ == "__main__":
    unittest.main()
