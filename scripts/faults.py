"""A deployment for fault injection: relays in front of control, HTTP for faults."""

from __future__ import annotations

import contextlib
import json
import shutil
import signal
import urllib.error
import urllib.request
from typing import TYPE_CHECKING
from typing import Any

from .launcher import DATA_CENTRES
from .launcher import HOST
from .launcher import OPERATOR_KEY
from .launcher import Deployment
from .launcher import add_process
from .launcher import kill_process
from .launcher import open_deployment
from .launcher import reserve_port
from .launcher import signal_process
from .launcher import start_process
from .launcher import wait_until
from .launcher import write_settings
from .topology import SERVICE
from .topology import VERSIONS
from .topology import add_controls
from .topology import add_entries
from .topology import name_nodes


if TYPE_CHECKING:
    from pathlib import Path


CONTROLS = 3
STANDINS_PROCESS = "world"
"""Name of the process that hosts the stand-ins."""
RELAYS_PROCESS = "world-relays"
"""Name of the process that hosts the relays when it is separate."""


def make_faulty_deployment(
    folder: Path,
    *,
    entries: int,
    engines: int,
    relayed: tuple[str, ...],
    interval: float = 0.01,
    delay: float = 0.0,
    separate_processes: bool = False,
) -> Deployment:
    """Return a deployment whose ``relayed`` entries reach control through relays.

    No process is started. ``interval`` is the engines' seconds for one token, ``delay``
    the service's seconds from execution to response. ``separate_processes`` runs the
    relays and each engine in processes of their own: under load, relays that share a
    process with engines delay the data they forward.
    """
    deployment = open_deployment(folder)
    add_controls(deployment, CONTROLS)
    add_entries(deployment, entries, CONTROLS)
    for entry in relayed:
        _route_through_relays(deployment, entry)

    entry_names = name_nodes("entry", entries)
    engine_names = name_nodes("engine", engines)
    engine_settings = {
        name: {
            "versions": VERSIONS,
            "token_interval": interval,
            "port": reserve_port(deployment, f"{name}.http"),
            "announce": _make_announce_settings(deployment, name, index, entry_names),
        }
        for index, name in enumerate(engine_names)
    }
    relay_settings = {
        f"{entry}.{control}": {
            "target": f"{HOST}:{deployment.ports[f'{control}.links']}",
            "port": reserve_port(deployment, f"{entry}.{control}"),
        }
        for entry in relayed
        for control in name_nodes("control", CONTROLS)
    }
    other_settings = {
        "service": {
            "service": SERVICE,
            "port": reserve_port(deployment, "service-1.http"),
            "delay": delay,
            "announce": _make_announce_settings(
                deployment, "service-1", 0, entry_names
            ),
        },
        "rating": {"port": reserve_port(deployment, "rating.http")},
        "balancer": {
            "targets": [
                f"{HOST}:{deployment.ports[f'{n}.callers']}" for n in entry_names
            ],
            "port": reserve_port(deployment, "balancer"),
            "interval": 0.1,
        },
    }
    if not separate_processes:
        _add_standins_process(
            deployment,
            STANDINS_PROCESS,
            {"engines": engine_settings, "relays": relay_settings, **other_settings},
        )
        return deployment

    _add_standins_process(deployment, STANDINS_PROCESS, other_settings)
    _add_standins_process(deployment, RELAYS_PROCESS, {"relays": relay_settings})
    for name, engine in engine_settings.items():
        _add_standins_process(
            deployment, f"{STANDINS_PROCESS}-{name}", {"engines": {name: engine}}
        )

    return deployment


def _add_standins_process(
    deployment: Deployment, name: str, parts: dict[str, Any]
) -> None:
    settings = {"port": reserve_port(deployment, name), **parts}
    path = write_settings(deployment, name, settings)
    add_process(deployment, name, ["scripts.world", "--settings", str(path)])


def update_settings(deployment: Deployment, name: str, **fields: Any) -> None:
    """Overwrite some fields of a process's settings file."""
    path = deployment.folder / f"{name}.json"
    settings = json.loads(path.read_text())
    path.write_text(json.dumps(settings | fields, indent=2))


def set_faults(deployment: Deployment, path: str, **faults: Any) -> None:
    """Set the faults of ``engines/<name>``, ``relays/<name>`` or ``service``."""
    has_own_process = (
        path.startswith("relays/") and RELAYS_PROCESS in deployment.processes
    )
    call_standins(
        deployment,
        path,
        faults,
        process=RELAYS_PROCESS if has_own_process else STANDINS_PROCESS,
    )


def set_relays(deployment: Deployment, entry: str, **faults: Any) -> None:
    """Set the same faults on all relays between an entry and control."""
    for control in name_nodes("control", CONTROLS):
        set_faults(deployment, f"relays/{entry}.{control}", **faults)


def get_execution_counts(deployment: Deployment) -> dict[str, dict[str, int]]:
    """Return executions of chats and calls by request id, of orders by order id."""
    totals: dict[str, dict[str, int]] = {"chats": {}, "calls": {}, "orders": {}}
    for process in deployment.processes:
        if not process.startswith(STANDINS_PROCESS):
            continue

        counts = call_standins(deployment, "counts", None, process=process)
        for kind, runs in totals.items():
            for name, number in counts[kind].items():
                runs[name] = runs.get(name, 0) + number

    return totals


def call_standins(
    deployment: Deployment, path: str, body: Any, *, process: str = STANDINS_PROCESS
) -> Any:
    """Call the control port of a stand-in process; return the decoded response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{HOST}:{deployment.ports[process]}/{path}", data=data
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.load(response)


def get_admin_view(
    deployment: Deployment, node: str, path: str, timeout: float = 1
) -> Any:
    """Return a view of one control process; None if the request fails."""
    port = deployment.ports[f"{node}.admin"]
    request = urllib.request.Request(
        f"http://{HOST}:{port}/admin/v1/{path}",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return json.load(response)
    except (OSError, ValueError):
        return None


def post_command(
    deployment: Deployment, node: str, command: Any, timeout: float
) -> tuple[int, Any]:
    """Send a command to one control process; return status and outcome.

    The status is 0 if there is no response.
    """
    port = deployment.ports[f"{node}.admin"]
    request = urllib.request.Request(
        f"http://{HOST}:{port}/admin/v1/commands",
        data=json.dumps(command).encode(),
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except (OSError, ValueError):
        return 0, None


def make_register_command(
    name: str, change_id: str, expected_revision: int
) -> dict[str, Any]:
    """Return the command that registers version 1 of a model."""
    return {
        "type": "RegisterVersion",
        "change_id": change_id,
        "operator": "launcher",
        "expected_revision": expected_revision,
        "at": 0.0,
        "spec": {
            "version": f"{name}@1",
            "model": name,
            "price_in": 1,
            "price_out": 1,
        },
    }


def wait_for_leader(deployment: Deployment, *, other_than: str = "") -> str:
    """Wait until a control process other than ``other_than`` leads; return it."""
    leaders: list[str] = []

    def has_leader() -> bool:
        for node in name_nodes("control", CONTROLS):
            if node == other_than or not is_running(deployment, node):
                continue

            status = get_admin_view(deployment, node, "status")
            if status is not None and status["leads"]:
                leaders.append(node)
                return True

        return False

    wait_until(has_leader, "a leader")
    return leaders[-1]


def is_running(deployment: Deployment, name: str) -> bool:
    """Return whether a process was started and has not exited."""
    popen = deployment.processes[name].popen
    return popen is not None and popen.poll() is None


def restart_process(deployment: Deployment, name: str) -> None:
    """Kill a process and start it again."""
    kill_process(deployment, name)
    start_process(deployment, name)


def wipe_control(deployment: Deployment, node: str) -> None:
    """Kill a control process and delete its data folder."""
    kill_process(deployment, node)
    shutil.rmtree(deployment.folder / f"{node}.data")


def suspend_process(deployment: Deployment, name: str) -> None:
    """Suspend a process with SIGSTOP."""
    signal_process(deployment, name, signal.SIGSTOP)


def resume_process(deployment: Deployment, name: str) -> None:
    """Resume a suspended process with SIGCONT."""
    signal_process(deployment, name, signal.SIGCONT)


def read_log(deployment: Deployment, name: str) -> str:
    """Return the log that a process has written so far."""
    with contextlib.suppress(FileNotFoundError):
        return deployment.processes[name].log.read_text(errors="replace")

    return ""


def _route_through_relays(deployment: Deployment, entry: str) -> None:
    peers = [
        {
            "node": control,
            "host": HOST,
            "port": reserve_port(deployment, f"{entry}.{control}"),
        }
        for control in name_nodes("control", CONTROLS)
    ]
    update_settings(deployment, entry, control=peers)


def _make_announce_settings(
    deployment: Deployment, name: str, index: int, entry_names: tuple[str, ...]
) -> dict[str, Any]:
    urls = [
        f"http://{HOST}:{deployment.ports[f'{node}.upstreams']}" for node in entry_names
    ]
    rotated = urls[index % len(urls) :] + urls[: index % len(urls)]
    return {
        "upstream": name,
        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
        "entries": rotated,
        "lease": 3.0,
    }
