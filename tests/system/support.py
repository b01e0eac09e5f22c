"""What the tests of the whole system share: one deployment, callers, healing."""

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
from scripts.faults import ask_admin
from scripts.faults import find_leader
from scripts.faults import is_alive
from scripts.faults import make_faulty
from scripts.faults import read_log
from scripts.faults import set_faults
from scripts.faults import set_relays
from scripts.faults import thaw
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
RELAYED = "entry-1"
"""The entry that reaches control by relays."""
TIMEOUT = 30.0
CUT = 0
"""Status of a reply that did not come whole."""


@dataclass(frozen=True, slots=True)
class Reply:
    """What a caller saw; status ``CUT`` if the connection went away."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def request(self) -> str:
        """Request id."""
        return self.headers.get("x-request-id", "")

    @property
    def outcome(self) -> str:
        """Outcome that the entry told."""
        return self.headers.get("x-outcome", "")

    @property
    def code(self) -> str:
        """Code of an error answer, or an empty text."""
        try:
            return str(json.loads(self.body)["error"]["code"])
        except (ValueError, KeyError, TypeError):
            return ""


@cache
def get_deployment() -> Deployment:
    """Start the one deployment of this test run; it is stopped at exit."""
    folder = tempfile.TemporaryDirectory()
    deployment = make_faulty(
        Path(folder.name),
        entries=len(ENTRIES),
        engines=len(ENGINES),
        relayed=(RELAYED,),
        delay=0.3,
    )

    def end() -> None:
        stop_all(deployment)
        folder.cleanup()

    atexit.register(end)
    start_system(deployment)
    return deployment


class SystemCase(unittest.TestCase):
    """A test over the shared deployment, which is healed before each test."""

    system: Deployment
    pool: ThreadPoolExecutor

    def setUp(self) -> None:
        self.system = get_deployment()
        self.pool = ThreadPoolExecutor(max_workers=16)
        self.addCleanup(self.pool.shutdown)
        self.addCleanup(self.check_invariants)
        self.addCleanup(heal, self.system)

    def check_invariants(self) -> None:
        """Fail if any process found a promise broken, or stopped by a fault."""
        for name in self.system.processes:
            log = read_log(self.system, name)
            self.assertNotIn("invariants: ", log, name)
            self.assertNotIn("Stopped by a fault", log, name)

    def begin(
        self, work: Callable[..., Reply], *args: Any, **named: Any
    ) -> Future[Any]:
        """Run a caller beside the test."""
        return self.pool.submit(work, *args, **named)

    def order(self, entry: str, name: str, *, key: str = "") -> Reply:
        """Send an order that names itself, under a key."""
        path = f"/v1/services/{SERVICE}/orders"
        return send(self.system, entry, path, {"id": name}, key=key or f"key-{name}")

    def order_until(
        self, entry: str, name: str, done: Callable[[Reply], bool]
    ) -> Reply:
        """Resend an order until a reply is as wished."""
        replies: list[Reply] = []

        def attempt() -> bool:
            replies.append(self.order(entry, name))
            return done(replies[-1])

        wait_until(attempt, f"{name} to end", 12.0)
        return replies[-1]

    def chat(self, entry: str, prompt: str, **fields: Any) -> Reply:
        """Send a chat; ``key`` and ``session`` go into headers."""
        key = fields.pop("key", "")
        body = {"messages": [{"role": "user", "content": prompt}], **fields}
        return send(self.system, entry, "/v1/chat/completions", body, key=key)


def heal(deployment: Deployment) -> None:
    """Take back every fault and wait until all processes serve."""
    for name in deployment.processes:
        thaw(deployment, name)
        if not is_alive(deployment, name):
            start_process(deployment, name)

    wait_until(lambda: _reset(deployment), "the world")
    wait_until(lambda: _is_joined(deployment), "all controls")
    for entry in ENTRIES:
        wait_ready(deployment, entry)


def _is_joined(deployment: Deployment) -> bool:
    """Tell whether every control votes, and the leader has a link to it."""
    status = ask_admin(deployment, find_leader(deployment), "status")
    if status is None or len(status["voters"]) < CONTROLS:
        return False

    return all(member["up"] for member in status["members"])


def _reset(deployment: Deployment) -> bool:
    try:
        # Open connections keep their delay.
        order = {
            "delay": 0.0,
            "refuse": False,
            "blackhole": False,
            "mute": False,
            "cut": True,
        }
        set_relays(deployment, RELAYED, **order)
        set_faults(deployment, "service")
        for engine in ENGINES:
            set_faults(deployment, f"engines/{engine}")
    except OSError:
        return False

    return True


def send(
    deployment: Deployment, entry: str, path: str, body: Any, *, key: str = ""
) -> Reply:
    """Send one request on its own connection; never raises for a cut."""
    name = entry if entry in deployment.ports else f"{entry}.callers"
    connection = http.client.HTTPConnection(
        HOST, deployment.ports[name], timeout=TIMEOUT
    )
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    if key:
        headers["Idempotency-Key"] = key

    try:
        connection.request("POST", path, json.dumps(body).encode(), headers)
        response = connection.getresponse()
        named = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, response.read(), named)
    except (OSError, http.client.HTTPException):
        return Reply(CUT)
    finally:
        connection.close()


def is_ready(deployment: Deployment, entry: str) -> bool:
    """Tell whether an entry's health check is green."""
    port = deployment.ports[f"{entry}.callers"]
    return get_status(f"http://{HOST}:{port}/readyz") == 200


def read_events(body: bytes) -> list[bytes]:
    """Return the whole events of a stream."""
    return [block for block in body.split(b"\n\n") if block]


def is_whole(body: bytes) -> bool:
    """Tell whether a stream has its end mark and numbers without a gap."""
    events = read_events(body)
    if not events or not events[-1].endswith(b"data: [DONE]"):
        return False

    numbers = [int(item.split(b"\n")[0].rpartition(b":")[2]) for item in events]
    return numbers == list(range(1, len(events) + 1))


def measure_seconds(work: Callable[[], object]) -> float:
    """Return how long a piece of work took."""
    began = time.monotonic()
    work()
    return time.monotonic() - began
