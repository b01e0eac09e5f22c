"""Shared fixtures of the system tests: one deployment, callers, and fault removal."""

from __future__ import annotations

import atexit
import http.client
import json
import tempfile
import time
import unittest
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from functools import cache
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from scripts.faults import CONTROLS
from scripts.faults import get_admin_view
from scripts.faults import is_running
from scripts.faults import make_faulty_deployment
from scripts.faults import read_log
from scripts.faults import resume_process
from scripts.faults import set_faults
from scripts.faults import set_relays
from scripts.faults import wait_for_leader
from scripts.launcher import HOST
from scripts.launcher import Deployment
from scripts.launcher import get_status
from scripts.launcher import start_process
from scripts.launcher import stop_all
from scripts.launcher import wait_until
from scripts.topology import CALLER_KEY
from scripts.topology import SERVICE
from scripts.topology import start_system
from scripts.topology import wait_ready


if TYPE_CHECKING:
    from collections.abc import Callable


ENTRIES = ("entry-1", "entry-2")
ENGINES = ("engine-1", "engine-2")
RELAYED_ENTRY = "entry-1"
"""The entry that reaches control through relays."""
TIMEOUT_SECONDS = 30.0
CONNECTION_LOST = 0
"""Status of a response that is missing or incomplete."""


@dataclass(frozen=True, slots=True)
class Response:
    """A response as received; its status is ``CONNECTION_LOST`` after an error."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def request(self) -> str:
        """Request id."""
        return self.headers.get("x-request-id", "")

    @property
    def outcome(self) -> str:
        """Outcome that the entry reported."""
        return self.headers.get("x-outcome", "")

    @property
    def code(self) -> str:
        """Code of an error response, or an empty text."""
        try:
            return str(json.loads(self.body)["error"]["code"])
        except (ValueError, KeyError, TypeError):
            return ""


@cache
def get_deployment() -> Deployment:
    """Start the deployment that all tests share; it is stopped at exit."""
    folder = tempfile.TemporaryDirectory()
    deployment = make_faulty_deployment(
        Path(folder.name),
        entries=len(ENTRIES),
        engines=len(ENGINES),
        relayed=(RELAYED_ENTRY,),
        delay=0.3,
    )

    def stop_deployment() -> None:
        stop_all(deployment)
        folder.cleanup()

    atexit.register(stop_deployment)
    start_system(deployment)
    return deployment


class SystemCase(unittest.TestCase):
    """A test on the shared deployment, whose faults are removed after each test."""

    system: Deployment
    pool: ThreadPoolExecutor

    def setUp(self) -> None:
        self.system = get_deployment()
        self.pool = ThreadPoolExecutor(max_workers=16)
        self.addCleanup(self.pool.shutdown)
        self.addCleanup(self.check_invariants)
        self.addCleanup(remove_faults, self.system)

    def check_invariants(self) -> None:
        """Fail if any process logged an invariant violation or a crash."""
        for name in self.system.processes:
            log = read_log(self.system, name)
            self.assertNotIn("invariants: ", log, name)
            self.assertNotIn("Stopped by a fault", log, name)

    def start_caller(
        self, function: Callable[..., Response], *args: Any, **named: Any
    ) -> Future[Any]:
        """Run a caller concurrently with the test."""
        return self.pool.submit(function, *args, **named)

    def send_order(self, entry: str, name: str, *, key: str = "") -> Response:
        """Send an order with its name as the id, under an idempotency key."""
        path = f"/v1/services/{SERVICE}/orders"
        return send(self.system, entry, path, {"id": name}, key=key or f"key-{name}")

    def retry_order_until(
        self, entry: str, name: str, done: Callable[[Response], bool]
    ) -> Response:
        """Resend an order until a response meets a condition."""
        responses: list[Response] = []

        def attempt() -> bool:
            responses.append(self.send_order(entry, name))
            return done(responses[-1])

        wait_until(attempt, f"{name} to end", 12.0)
        return responses[-1]

    def send_chat(self, entry: str, prompt: str, **fields: Any) -> Response:
        """Send a chat; ``key`` becomes the idempotency key, other fields the body."""
        key = fields.pop("key", "")
        body = {"messages": [{"role": "user", "content": prompt}], **fields}
        return send(self.system, entry, "/v1/chat/completions", body, key=key)


def remove_faults(deployment: Deployment) -> None:
    """Remove every fault and wait until all processes serve."""
    for name in deployment.processes:
        resume_process(deployment, name)
        if not is_running(deployment, name):
            start_process(deployment, name)

    wait_until(lambda: _reset_faults(deployment), "the faults to be removed")
    wait_until(lambda: _is_control_complete(deployment), "all controls to vote")
    for entry in ENTRIES:
        wait_ready(deployment, entry)


def _is_control_complete(deployment: Deployment) -> bool:
    """Return whether every control votes and is linked to the leader."""
    status = get_admin_view(deployment, wait_for_leader(deployment), "status")
    if status is None or len(status["voters"]) < CONTROLS:
        return False

    return all(member["up"] for member in status["members"])


def _reset_faults(deployment: Deployment) -> bool:
    try:
        # Open connections keep their delay, so they are cut as well.
        relay_faults = {
            "delay": 0.0,
            "refuse": False,
            "blackhole": False,
            "mute": False,
            "cut": True,
        }
        set_relays(deployment, RELAYED_ENTRY, **relay_faults)
        set_faults(deployment, "service")
        for engine in ENGINES:
            set_faults(deployment, f"engines/{engine}")
    except OSError:
        return False

    return True


def send(
    deployment: Deployment, entry: str, path: str, body: Any, *, key: str = ""
) -> Response:
    """Send one request on its own connection; never raises a connection error."""
    name = entry if entry in deployment.ports else f"{entry}.callers"
    connection = http.client.HTTPConnection(
        HOST, deployment.ports[name], timeout=TIMEOUT_SECONDS
    )
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    if key:
        headers["Idempotency-Key"] = key

    try:
        connection.request("POST", path, json.dumps(body).encode(), headers)
        response = connection.getresponse()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Response(response.status, response.read(), response_headers)
    except (OSError, http.client.HTTPException):
        return Response(CONNECTION_LOST)
    finally:
        connection.close()


def is_ready(deployment: Deployment, entry: str) -> bool:
    """Return whether an entry's readiness check succeeds."""
    port = deployment.ports[f"{entry}.callers"]
    return get_status(f"http://{HOST}:{port}/readyz") == 200


def read_events(body: bytes) -> list[bytes]:
    """Return the events of a stream."""
    return [block for block in body.split(b"\n\n") if block]


def is_complete_stream(body: bytes) -> bool:
    """Return whether a stream has its end marker and consecutive event numbers."""
    events = read_events(body)
    if not events or not events[-1].endswith(b"data: [DONE]"):
        return False

    numbers = [int(item.split(b"\n")[0].rpartition(b":")[2]) for item in events]
    return numbers == list(range(1, len(events) + 1))


def measure_seconds(function: Callable[[], object]) -> float:
    """Return the seconds that a function call takes."""
    started_at = time.monotonic()
    function()
    return time.monotonic() - started_at
