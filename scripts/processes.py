"""Start 3 control and 3 entry processes with stand-ins, stream a chat, stop them."""

from __future__ import annotations

import json
import sys
import tempfile
import urllib.request
from pathlib import Path


ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from scripts.launcher import HOST  # noqa: E402
from scripts.launcher import Deployment  # noqa: E402
from scripts.launcher import open_deployment  # noqa: E402
from scripts.launcher import stop_all  # noqa: E402
from scripts.topology import CALLER_KEY  # noqa: E402
from scripts.topology import add_controls  # noqa: E402
from scripts.topology import add_entries  # noqa: E402
from scripts.topology import add_standins  # noqa: E402
from scripts.topology import read_admin  # noqa: E402
from scripts.topology import start_system  # noqa: E402


COUNT = 3


def make_deployment(folder: Path) -> Deployment:
    """Return a deployment of three controls, entries and engines, not started."""
    deployment = open_deployment(folder)
    add_controls(deployment, COUNT)
    add_entries(deployment, COUNT, COUNT)
    add_standins(deployment, engines=COUNT, entries=COUNT)
    return deployment


def stream_chat(deployment: Deployment, entry: str) -> int:
    """Stream one response through an entry; return the number of its events."""
    port = deployment.ports[f"{entry}.callers"]
    body = {
        "messages": [{"role": "user", "content": "which shaft fits?"}],
        "stream": True,
        "max_tokens": 20,
    }
    request = urllib.request.Request(
        f"http://{HOST}:{port}/v1/chat/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {CALLER_KEY}"},
    )
    with urllib.request.urlopen(request, timeout=20) as response:
        data = response.read()

    if not data.endswith(b"data: [DONE]\n\n"):
        raise RuntimeError(f"{entry}: the stream ended before [DONE]")

    return int(data.count(b"data: "))


def main() -> int:
    """Start, stream, print and stop; return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = make_deployment(Path(folder))
        try:
            start_system(deployment)
            for number in range(1, COUNT + 1):
                events = stream_chat(deployment, f"entry-{number}")
                print(f"entry-{number}: a complete stream of {events} events")

            print("bills:", read_admin(deployment, "/admin/v1/bills"))
        finally:
            exit_codes = stop_all(deployment)

    print("exit codes:", exit_codes)
    roles = ("control", "entry")
    return max(abs(code) for name, code in exit_codes.items() if name.startswith(roles))


if __name__ == "__main__":
    sys.exit(main())
