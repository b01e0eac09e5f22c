"""Start and stop the roles as separate processes on loopback, for scripts and tests.

The product itself starts no processes; this module does so for development. All files
are below one folder given by the caller, and ``stop_all`` stops every process.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable


HOST = "127.0.0.1"
PORT_RANGE = range(20_000, 30_000)
"""Ports below the ephemeral range, so that no outgoing connection uses one."""
START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 30.0
LOG_TAIL_CHARACTERS = 2000
"""Length of the end of a log that an error message shows."""
DATA_CENTRES = ("bole", "kazanchis", "cmc")
OPERATOR_KEY = "operator-of-the-launcher"


@dataclass(slots=True)
class Process:
    """One process of a deployment: its arguments, log file and handle."""

    name: str
    arguments: list[str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None


@dataclass(slots=True)
class Deployment:
    """All processes of one deployment on loopback, and the ports reserved for them."""

    folder: Path
    random: random.Random
    processes: dict[str, Process] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    reserved_ports: set[int] = field(default_factory=set)


def open_deployment(folder: Path) -> Deployment:
    """Return an empty deployment under a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return Deployment(folder=folder, random=random.SystemRandom())


def reserve_port(deployment: Deployment, name: str) -> int:
    """Return the port reserved under a name; the first call selects a free one."""
    existing = deployment.ports.get(name)
    if existing is not None:
        return existing

    while True:
        port = deployment.random.choice(PORT_RANGE)
        if port not in deployment.reserved_ports and _is_free(port):
            deployment.reserved_ports.add(port)
            deployment.ports[name] = port
            return port


def write_settings(deployment: Deployment, name: str, settings: Any) -> Path:
    """Write a settings file and return its path."""
    path = deployment.folder / f"{name}.json"
    path.write_text(json.dumps(settings, indent=2))
    return path


def add_process(deployment: Deployment, name: str, arguments: list[str]) -> Process:
    """Add a process to the deployment without starting it."""
    process = Process(
        name=name, arguments=arguments, log=deployment.folder / f"{name}.log"
    )
    deployment.processes[name] = process
    return process


def start_process(deployment: Deployment, name: str) -> None:
    """Start a process of the deployment and append its output to its log."""
    process = deployment.processes[name]
    with process.log.open("ab") as log:
        process.popen = subprocess.Popen(
            [sys.executable, "-m", *process.arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )


def signal_process(
    deployment: Deployment, name: str, signal_number: signal.Signals
) -> None:
    """Send a signal to a running process."""
    popen = deployment.processes[name].popen
    if popen is not None and popen.poll() is None:
        popen.send_signal(signal_number)


def kill_process(deployment: Deployment, name: str) -> None:
    """Kill a process and wait until it has exited."""
    signal_process(deployment, name, signal.SIGKILL)
    wait_process(deployment, name)


def wait_process(
    deployment: Deployment, name: str, limit: float = STOP_TIMEOUT_SECONDS
) -> int:
    """Wait until a process has exited; return its exit code."""
    popen = deployment.processes[name].popen
    return 0 if popen is None else popen.wait(timeout=limit)


def stop_all(deployment: Deployment) -> dict[str, int]:
    """Stop the entries, then all other processes; return exit codes by name."""
    entries = [name for name in deployment.processes if name.startswith("entry")]
    others = [name for name in deployment.processes if name not in entries]
    # A draining entry still settles ledger rows, for which it needs control.
    return _stop(deployment, entries) | _stop(deployment, others)


def _stop(deployment: Deployment, names: list[str]) -> dict[str, int]:
    exit_codes = {}
    for name in names:
        signal_process(deployment, name, signal.SIGCONT)
        signal_process(deployment, name, signal.SIGTERM)

    for name in names:
        try:
            exit_codes[name] = wait_process(deployment, name)
        except subprocess.TimeoutExpired:
            kill_process(deployment, name)
            exit_codes[name] = -signal.SIGKILL

    return exit_codes


def wait_until(
    condition: Callable[[], bool],
    description: str,
    limit: float = START_TIMEOUT_SECONDS,
) -> None:
    """Poll until a condition holds; raise ``TimeoutError`` with its description."""
    deadline = time.monotonic() + limit
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(description)

        time.sleep(0.02)


def check_running(deployment: Deployment) -> None:
    """Raise ``RuntimeError`` with the end of the log if a process exited by itself."""
    for process in deployment.processes.values():
        if process.popen is not None and process.popen.poll() is not None:
            tail = process.log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
            raise RuntimeError(f"{process.name} exited unexpectedly:\n{tail}")


def get_status(
    url: str, *, key: str = "", body: Any = None, timeout: float = 2.0
) -> int:
    """Return the status of a GET, or of a POST if a body is given; 0 if it fails."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers={"Authorization": f"Bearer {key}"}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False

        return True
