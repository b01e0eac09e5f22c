"""Settings of a small deployment's processes: controls, entries and stand-ins."""

from __future__ import annotations

import base64
import hashlib
import json
import urllib.error
import urllib.request
from typing import Any

from .launcher import DATA_CENTRES
from .launcher import HOST
from .launcher import OPERATOR_KEY
from .launcher import Deployment
from .launcher import add_process
from .launcher import check_running
from .launcher import get_status
from .launcher import reserve_port
from .launcher import start_process
from .launcher import wait_until
from .launcher import write_settings


CALLER_KEY = "caller-of-the-launcher"
WORKSPACE = "studio"
SERVICE = "bookings"
VERSIONS = ("swift@1", "swift@2", "heron@1", "heron@2")
PRICES = {"swift": 1.0, "heron": 10.0}


def hash_text(text: str) -> str:
    """Return the SHA-256 hex digest of a key."""
    return hashlib.sha256(text.encode()).hexdigest()


def name_nodes(role: str, count: int) -> tuple[str, ...]:
    """Return the names of a role's processes."""
    return tuple(f"{role}-{number}" for number in range(1, count + 1))


def make_peer(deployment: Deployment, node: str) -> dict[str, Any]:
    """Return a process's link address in the form of the settings."""
    port = reserve_port(deployment, f"{node}.links")
    return {"node": node, "host": HOST, "port": port}


def add_controls(deployment: Deployment, count: int) -> None:
    """Add the control processes."""
    nodes = name_nodes("control", count)
    for index, node in enumerate(nodes):
        add_control(deployment, node, nodes, DATA_CENTRES[index % len(DATA_CENTRES)])


def add_control(
    deployment: Deployment, node: str, nodes: tuple[str, ...], data_centre: str
) -> None:
    """Add one control process."""
    settings = {
        "role": "control",
        "node": node,
        "data_centre": data_centre,
        "data_folder": str(deployment.folder / f"{node}.data"),
        "links": {"host": HOST, "port": reserve_port(deployment, f"{node}.links")},
        "admin": {"host": HOST, "port": reserve_port(deployment, f"{node}.admin")},
        "members": [make_peer(deployment, name) for name in nodes],
        "operators": [{"name": "launcher", "digest": hash_text(OPERATOR_KEY)}],
    }
    path = write_settings(deployment, node, settings)
    add_process(
        deployment, node, ["waxwingwell", "serve", "control", "--settings", str(path)]
    )


def add_entries(deployment: Deployment, count: int, controls: int) -> None:
    """Add the entry processes."""
    nodes = name_nodes("entry", count)
    for index, node in enumerate(nodes):
        settings = {
            "role": "entry",
            "node": node,
            "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "callers": {
                "host": HOST,
                "port": reserve_port(deployment, f"{node}.callers"),
            },
            "upstreams": {
                "host": HOST,
                "port": reserve_port(deployment, f"{node}.upstreams"),
            },
            "links": {"host": HOST, "port": reserve_port(deployment, f"{node}.links")},
            "control": [
                make_peer(deployment, name) for name in name_nodes("control", controls)
            ],
            "entries": [make_peer(deployment, name) for name in nodes if name != node],
            "distances_ms": dict.fromkeys(DATA_CENTRES, 3.0),
            "rating": {"host": HOST, "port": reserve_port(deployment, "rating.http")},
            "progress_timeout": 1.0,
            "drain_notice": 0.5,
        }
        path = write_settings(deployment, node, settings)
        add_process(
            deployment, node, ["waxwingwell", "serve", "entry", "--settings", str(path)]
        )


def add_standins(
    deployment: Deployment, *, engines: int, entries: int, interval: float = 0.01
) -> None:
    """Add engines, the plain service and the rating service."""
    nodes = name_nodes("entry", entries)
    urls = [
        f"http://{HOST}:{reserve_port(deployment, f'{n}.upstreams')}" for n in nodes
    ]
    for index, name in enumerate(name_nodes("engine", engines)):
        # Each upstream announces itself first to another entry, as behind a balancer.
        rotated = urls[index % len(urls) :] + urls[: index % len(urls)]
        _add_standin(
            deployment,
            "engine",
            name,
            {
                "versions": VERSIONS,
                "token_interval": interval,
                "port": reserve_port(deployment, f"{name}.http"),
                "announce": _make_announce_settings(name, index, rotated),
            },
        )

    _add_standin(
        deployment,
        "service",
        "service-1",
        {
            "service": SERVICE,
            "port": reserve_port(deployment, "service-1.http"),
            "announce": _make_announce_settings("service-1", 0, urls),
        },
    )
    _add_standin(
        deployment,
        "rating",
        "rating",
        {"port": reserve_port(deployment, "rating.http")},
    )


def start_system(deployment: Deployment) -> None:
    """Start all processes, apply the first configuration and wait until ready."""
    for name in deployment.processes:
        start_process(deployment, name)

    configure(deployment)
    for name in deployment.processes:
        if name.startswith("entry"):
            wait_ready(deployment, name)


def wait_ready(deployment: Deployment, entry: str) -> None:
    """Wait until an entry serves a chat and a lookup, so that it has its upstreams."""
    base = f"http://{HOST}:{deployment.ports[f'{entry}.callers']}"
    body = {"messages": [{"role": "user", "content": "ready?"}], "max_tokens": 1}
    lookup = f"{base}/v1/services/{SERVICE}/orders/none"

    def responds() -> bool:
        check_running(deployment)
        chat = f"{base}/v1/chat/completions"
        return (
            get_status(chat, key=CALLER_KEY, body=body) == 200
            and get_status(lookup, key=CALLER_KEY) == 404
        )

    wait_until(responds, f"{entry} ready")


def configure(deployment: Deployment) -> None:
    """Register the versions and the workspace."""
    for version in VERSIONS:
        price = PRICES[version.partition("@")[0]]
        spec = {
            "version": version,
            "model": version.partition("@")[0],
            "price_in": price,
            "price_out": price * 2,
            "quality_prior": 0.9 if price > 1 else 0.75,
        }
        send_change(deployment, "RegisterVersion", f"register-{version}", spec=spec)

    send_change(
        deployment,
        "ApplyAnswers",
        "workspace",
        answers=base64.b64encode(json.dumps(make_answers()).encode()).decode(),
        config={"workspace": WORKSPACE, "revision": 1, "allowed": [], "kinds": []},
    )


def make_answers() -> dict[str, Any]:
    """Return the answers to the questionnaire for the launcher's workspace."""
    return {
        "questionnaire": 1,
        "workspace": WORKSPACE,
        "team": "The launcher's studio",
        "kinds": [
            {"name": "question", "what": "Questions", "quality_target": 0.6},
            {
                "name": "report",
                "what": "Reports",
                "quality_target": 0.7,
                "waits_for_whole": True,
            },
        ],
        "default_kind": "question",
        "services": [
            {
                "name": SERVICE,
                "calls": [
                    {
                        "name": "order",
                        "path": "/orders",
                        "methods": ["POST"],
                        "repeatable": False,
                    },
                    {
                        "name": "lookup",
                        "path": "/",
                        "methods": ["GET"],
                        "repeatable": True,
                    },
                ],
            }
        ],
        "who_waits": [["order", "lookup"], ["question"], ["report"]],
        "models": {"allowed": list(VERSIONS)},
        "limits": {"requests_per_second": 5000, "max_in_flight": 2000},
        "keys": [{"name": "launcher", "sha256": hash_text(CALLER_KEY)}],
    }


def send_change(
    deployment: Deployment,
    command_type: str,
    change_id: str,
    *,
    expected_revision: int = 0,
    **fields: Any,
) -> Any:
    """Send a change to any control process that responds; return its outcome."""
    command = {
        "type": command_type,
        "change_id": change_id,
        "operator": "launcher",
        "expected_revision": expected_revision,
        "at": 0.0,
        **fields,
    }
    outcomes: list[Any] = []

    def attempt() -> bool:
        outcome = _post_command(deployment, command)
        if outcome is not None:
            outcomes.append(outcome)

        return outcome is not None

    wait_until(attempt, f"{command_type} {change_id}")
    return outcomes[0]


def list_admin_urls(deployment: Deployment) -> list[str]:
    """Return the base URLs of the administration APIs."""
    return [
        f"http://{HOST}:{port}"
        for name, port in deployment.ports.items()
        if name.endswith(".admin")
    ]


def read_admin(deployment: Deployment, path: str) -> Any:
    """Return a view of the administration API from any process that responds."""
    for base in list_admin_urls(deployment):
        request = urllib.request.Request(
            base + path, headers={"Authorization": f"Bearer {OPERATOR_KEY}"}
        )
        try:
            with urllib.request.urlopen(request, timeout=3) as response:
                return json.load(response)
        except OSError:
            continue

    return None


def _post_command(deployment: Deployment, command: Any) -> Any:
    for base in list_admin_urls(deployment):
        request = urllib.request.Request(
            f"{base}/admin/v1/commands",
            data=json.dumps(command).encode(),
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            method="POST",
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as response:
                return json.load(response)
        except urllib.error.HTTPError as error:
            if error.code in (409, 422):
                return json.load(error)
        except OSError:
            continue

    return None


def _make_announce_settings(name: str, index: int, urls: list[str]) -> dict[str, Any]:
    return {
        "upstream": name,
        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
        "entries": urls,
        "lease": 3.0,
    }


def _add_standin(
    deployment: Deployment, module: str, name: str, settings: dict[str, Any]
) -> None:
    path = write_settings(deployment, name, settings)
    add_process(
        deployment, name, [f"waxwingwell_standins.{module}", "--settings", str(path)]
    )
