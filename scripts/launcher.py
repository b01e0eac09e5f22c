"""Start and stop the roles as separate processes on loopback, for scripts and tests.

The product starts no process; this does, for developers. Everything lives under one
folder given by the caller, and every process is ended by ``stop_all``.
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
"""Below the ephemeral ports, so that no outgoing connection takes one."""
START_LIMIT = 60.0
STOP_LIMIT = 30.0
LOG_TAIL = 2000
"""Characters of a log that an error shows."""
DATA_CENTRES = ("bole", "kazanchis", "cmc")
OPERATOR_KEY = "operator-of-the-launcher"


@dataclass(slots=True)
class Process:
    """One process of the system, and its settings file."""

    name: str
    arguments: list[str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None


@dataclass(slots=True)
class Deployment:
    """All processes of one system on loopback."""

    folder: Path
    random: random.Random
    processes: dict[str, Process] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    taken: set[int] = field(default_factory=set)


def open_deployment(folder: Path) -> Deployment:
    """Return an empty deployment under a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return Deployment(folder=folder, random=random.SystemRandom())


def take_port(deployment: Deployment, name: str) -> int:
    """Return the port known under a name, chosen free the first time."""
    known = deployment.ports.get(name)
    if known is not None:
        return known

    while True:
        port = deployment.random.choice(PORT_RANGE)
        if port not in deployment.taken and _is_free(port):
            deployment.taken.add(port)
            deployment.ports[name] = port
            return port


def write_settings(deployment: Deployment, name: str, settings: Any) -> Path:
    """Write a settings file and return its path."""
    path = deployment.folder / f"{name}.json"
    path.write_text(json.dumps(settings, indent=2))
    return path


def add_process(deployment: Deployment, name: str, arguments: list[str]) -> Process:
    """Note a process; ``start_process`` starts it."""
    process = Process(
        name=name, arguments=arguments, log=deployment.folder / f"{name}.log"
    )
    deployment.processes[name] = process
    return process


def start_process(deployment: Deployment, name: str) -> None:
    """Start a noted process, its output appended to its log."""
    process = deployment.processes[name]
    with process.log.open("ab") as log:
        process.popen = subprocess.Popen(
            [sys.executable, "-m", *process.arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        )


def signal_process(deployment: Deployment, name: str, number: signal.Signals) -> None:
    """Send a signal to a running process."""
    popen = deployment.processes[name].popen
    if popen is not None and popen.poll() is None:
        popen.send_signal(number)


def kill_process(deployment: Deployment, name: str) -> None:
    """Kill a process and wait until it is gone."""
    signal_process(deployment, name, signal.SIGKILL)
    wait_process(deployment, name)


def wait_process(deployment: Deployment, name: str, limit: float = STOP_LIMIT) -> int:
    """Wait until a process has ended; return its exit code."""
    popen = deployment.processes[name].popen
    return 0 if popen is None else popen.wait(timeout=limit)


def stop_all(deployment: Deployment) -> dict[str, int]:
    """Stop entries first, then the rest; return the exit codes by name."""
    entries = [name for name in deployment.processes if name.startswith("entry")]
    others = [name for name in deployment.processes if name not in entries]
    # An entry that drains still settles, so control must outlive it.
    return _stop(deployment, entries) | _stop(deployment, others)


def _stop(deployment: Deployment, names: list[str]) -> dict[str, int]:
    codes = {}
    for name in names:
        signal_process(deployment, name, signal.SIGCONT)
        signal_process(deployment, name, signal.SIGTERM)

    for name in names:
        try:
            codes[name] = wait_process(deployment, name)
        except subprocess.TimeoutExpired:
            kill_process(deployment, name)
            codes[name] = -signal.SIGKILL

    return codes


def wait_until(
    condition: Callable[[], bool], what: str, limit: float = START_LIMIT
) -> None:
    """Poll a condition of another process; ``TimeoutError`` names what failed."""
    deadline = time.monotonic() + limit
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(what)

        time.sleep(0.02)


def check_running(deployment: Deployment) -> None:
    """Raise ``RuntimeError`` with the log's end of a process that ended by itself."""
    for process in deployment.processes.values():
        if process.popen is not None and process.popen.poll() is not None:
            tail = process.log.read_text(errors="replace")[-LOG_TAIL:]
            raise RuntimeError(f"{process.name} ended by itself:\n{tail}")


def get_status(
    url: str, *, key: str = "", body: Any = None, timeout: float = 2.0
) -> int:
    """Return the HTTP status of a GET, or of a POST with a body; 0 without answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, headers={"Authorization": f"Bearer {key}"}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return int(answer.status)
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
