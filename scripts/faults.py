"""A deployment made to fail: relays before control, faults and counts by HTTP."""

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
from .launcher import signal_process
from .launcher import start_process
from .launcher import take_port
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
WORLD = "world"
RELAYS = "world-relays"


def make_faulty(
    folder: Path,
    *,
    entries: int,
    engines: int,
    relayed: tuple[str, ...],
    interval: float = 0.01,
    delay: float = 0.0,
    apart: bool = False,
) -> Deployment:
    """Return a noted deployment whose ``relayed`` entries reach control by relays.

    ``interval`` is the engines' seconds for one token, ``delay`` the service's from
    a run to its answer. ``apart`` gives the relays and each engine a process of their
    own: under load, relays that share one with engines hold up what they pass on.
    """
    deployment = open_deployment(folder)
    add_controls(deployment, CONTROLS)
    add_entries(deployment, entries, CONTROLS)
    for entry in relayed:
        _turn_to_relays(deployment, entry)

    nodes = name_nodes("entry", entries)
    names = name_nodes("engine", engines)
    built = {
        name: {
            "versions": VERSIONS,
            "token_interval": interval,
            "port": take_port(deployment, f"{name}.http"),
            "announce": _announce(deployment, name, place, nodes),
        }
        for place, name in enumerate(names)
    }
    relays = {
        f"{entry}.{control}": {
            "target": f"{HOST}:{deployment.ports[f'{control}.links']}",
            "port": take_port(deployment, f"{entry}.{control}"),
        }
        for entry in relayed
        for control in name_nodes("control", CONTROLS)
    }
    others = {
        "service": {
            "service": SERVICE,
            "port": take_port(deployment, "service-1.http"),
            "delay": delay,
            "announce": _announce(deployment, "service-1", 0, nodes),
        },
        "rating": {"port": take_port(deployment, "rating.http")},
        "balancer": {
            "targets": [f"{HOST}:{deployment.ports[f'{n}.callers']}" for n in nodes],
            "port": take_port(deployment, "balancer"),
            "interval": 0.1,
        },
    }
    if not apart:
        _add_world(deployment, WORLD, {"engines": built, "relays": relays, **others})
        return deployment

    _add_world(deployment, WORLD, others)
    _add_world(deployment, RELAYS, {"relays": relays})
    for name, engine in built.items():
        _add_world(deployment, f"{WORLD}-{name}", {"engines": {name: engine}})

    return deployment


def _add_world(deployment: Deployment, name: str, parts: dict[str, Any]) -> None:
    settings = {"port": take_port(deployment, name), **parts}
    path = write_settings(deployment, name, settings)
    add_process(deployment, name, ["scripts.world", "--settings", str(path)])


def revise_settings(deployment: Deployment, name: str, **fields: Any) -> None:
    """Change some fields of a noted process's settings file."""
    path = deployment.folder / f"{name}.json"
    settings = json.loads(path.read_text())
    path.write_text(json.dumps(settings | fields, indent=2))


def set_faults(deployment: Deployment, place: str, **faults: Any) -> None:
    """Set the faults of ``engines/<name>``, ``relays/<name>`` or ``service``."""
    apart = place.startswith("relays/") and RELAYS in deployment.processes
    ask_world(deployment, place, faults, world=RELAYS if apart else WORLD)


def set_relays(deployment: Deployment, entry: str, **order: Any) -> None:
    """Give one order to all relays between an entry and control."""
    for control in name_nodes("control", CONTROLS):
        set_faults(deployment, f"relays/{entry}.{control}", **order)


def read_counts(deployment: Deployment) -> dict[str, dict[str, int]]:
    """Return runs: ``chats`` and ``calls`` by request id, ``orders`` by their id."""
    total: dict[str, dict[str, int]] = {"chats": {}, "calls": {}, "orders": {}}
    for world in deployment.processes:
        if not world.startswith(WORLD):
            continue

        counts = ask_world(deployment, "counts", None, world=world)
        for kind, runs in total.items():
            for name, number in counts[kind].items():
                runs[name] = runs.get(name, 0) + number

    return total


def ask_world(
    deployment: Deployment, path: str, body: Any, *, world: str = WORLD
) -> Any:
    """Call a world's control port."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{HOST}:{deployment.ports[world]}/{path}", data=data
    )
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.load(answer)


def ask_admin(deployment: Deployment, node: str, path: str, timeout: float = 1) -> Any:
    """Return a view of one control process; None without a good answer."""
    port = deployment.ports[f"{node}.admin"]
    request = urllib.request.Request(
        f"http://{HOST}:{port}/admin/v1/{path}",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.load(answer)
    except (OSError, ValueError):
        return None


def post_command(
    deployment: Deployment, node: str, command: Any, timeout: float
) -> tuple[int, Any]:
    """Send a command to one control process; return status and outcome.

    Status 0 stands for no answer.
    """
    port = deployment.ports[f"{node}.admin"]
    request = urllib.request.Request(
        f"http://{HOST}:{port}/admin/v1/commands",
        data=json.dumps(command).encode(),
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except (OSError, ValueError):
        return 0, None


def make_version(name: str, change_id: str, expected_revision: int) -> dict[str, Any]:
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


def find_leader(deployment: Deployment, *, besides: str = "") -> str:
    """Wait until a control process other than ``besides`` leads; return it."""
    found: list[str] = []

    def look() -> bool:
        for node in name_nodes("control", CONTROLS):
            if node == besides or not is_alive(deployment, node):
                continue

            status = ask_admin(deployment, node, "status")
            if status is not None and status["leads"]:
                found.append(node)
                return True

        return False

    wait_until(look, "a leader")
    return found[-1]


def is_alive(deployment: Deployment, name: str) -> bool:
    """Tell whether a process was started and has not ended."""
    popen = deployment.processes[name].popen
    return popen is not None and popen.poll() is None


def restart_process(deployment: Deployment, name: str) -> None:
    """Kill a process and start it again."""
    kill_process(deployment, name)
    start_process(deployment, name)


def wipe_member(deployment: Deployment, node: str) -> None:
    """Kill a control process and delete its data folder."""
    kill_process(deployment, node)
    shutil.rmtree(deployment.folder / f"{node}.data")


def freeze(deployment: Deployment, name: str) -> None:
    """Stop a process where it stands."""
    signal_process(deployment, name, signal.SIGSTOP)


def thaw(deployment: Deployment, name: str) -> None:
    """Let a frozen process go on."""
    signal_process(deployment, name, signal.SIGCONT)


def read_log(deployment: Deployment, name: str) -> str:
    """Return a process's log so far."""
    with contextlib.suppress(FileNotFoundError):
        return deployment.processes[name].log.read_text(errors="replace")

    return ""


def _turn_to_relays(deployment: Deployment, entry: str) -> None:
    peers = [
        {
            "node": control,
            "host": HOST,
            "port": take_port(deployment, f"{entry}.{control}"),
        }
        for control in name_nodes("control", CONTROLS)
    ]
    revise_settings(deployment, entry, control=peers)


def _announce(
    deployment: Deployment, name: str, place: int, nodes: tuple[str, ...]
) -> dict[str, Any]:
    urls = [f"http://{HOST}:{deployment.ports[f'{node}.upstreams']}" for node in nodes]
    turned = urls[place % len(urls) :] + urls[: place % len(urls)]
    return {
        "upstream": name,
        "data_centre": DATA_CENTRES[place % len(DATA_CENTRES)],
        "entries": turned,
        "lease": 3.0,
    }
