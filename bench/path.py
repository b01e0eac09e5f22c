"""The whole request path against a bare hop of klein and treq, in the same run.

Measures requests/s and p99 of complete responses, and the entry's CPU time per
forwarded event at a fixed event rate.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from scripts.launcher import Deployment
from scripts.launcher import add_process
from scripts.launcher import get_status
from scripts.launcher import open_deployment
from scripts.launcher import reserve_port
from scripts.launcher import start_process
from scripts.launcher import stop_all
from scripts.launcher import wait_until
from scripts.topology import CALLER_KEY
from scripts.topology import add_controls
from scripts.topology import add_entries
from scripts.topology import configure


CONNECTIONS = 32
SECONDS = 6.0
RSS_INTERVAL_SECONDS = 0.1
STREAM_LOADS = ((200, 0.01), (100, 0.1), (800, 0.1))
"""Numbers of concurrent streams with the seconds between two events of each."""
EVENTS = 50
COMPLETE_EVENTS = 16


@dataclass(frozen=True, slots=True)
class Figure:
    """Results of one load on one server."""

    name: str
    requests: int
    """Completed requests, including those of the warm-up."""
    requests_per_s: float
    events_per_s: float
    errors: float
    p50_ms: float
    p99_ms: float
    first_p50_ms: float
    first_p99_ms: float
    cpu_share: float
    """CPU time of the server divided by the duration of the load."""
    rss_mb: float
    """Peak resident memory in MB, as sampled during the load."""

    @property
    def cpu_us_per_request(self) -> float:
        """CPU time of the server per request in microseconds."""
        return self.cpu_share * 1e6 / max(self.requests_per_s, 1e-9)

    @property
    def cpu_us_per_event(self) -> float:
        """CPU time of the server per event in microseconds."""
        if not self.events_per_s:
            return 0.0

        return self.cpu_share * 1e6 / self.events_per_s


def start_servers(deployment: Deployment, interval: float, events: int) -> None:
    """Start engine, bare hop, control and entry; wait until they serve chats."""
    engine = reserve_port(deployment, "engine")
    hop = reserve_port(deployment, "hop")
    add_controls(deployment, 1)
    add_entries(deployment, 1, 1)
    announce = f"http://127.0.0.1:{deployment.ports['entry-1.upstreams']}"
    add_process(
        deployment,
        "engine",
        ["bench.upstream", str(engine), str(interval), str(events), announce, "e1"],
    )
    add_process(deployment, "hop", ["bench.bare_hop", str(hop), str(engine)])
    for name in deployment.processes:
        start_process(deployment, name)

    configure(deployment)
    body = {"messages": [{"role": "user", "content": "ready?"}]}
    for port in (hop, deployment.ports["entry-1.callers"]):
        url = f"http://127.0.0.1:{port}/v1/chat/completions"
        wait_until(partial(_responds, url, body), url)


def _responds(url: str, body: Any) -> bool:
    return get_status(url, key=CALLER_KEY, body=body) == 200


def measure(
    deployment: Deployment, name: str, port: int, *, connections: int, stream: bool
) -> Figure:
    """Run one load in its own process and measure the server meanwhile."""
    process = deployment.processes[name].popen
    assert process is not None
    before = read_cpu(process.pid)
    load = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "bench.load",
            str(port),
            str(connections),
            str(SECONDS),
            "stream" if stream else "whole",
        ],
        stdout=subprocess.PIPE,
    )
    rss = 0.0
    while load.poll() is None:
        rss = max(rss, read_rss(process.pid))
        time.sleep(RSS_INTERVAL_SECONDS)

    output, _ = load.communicate(timeout=SECONDS * 10)
    cpu_seconds = read_cpu(process.pid) - before
    return Figure(
        name=name,
        cpu_share=cpu_seconds / (SECONDS + 1.0),
        rss_mb=rss,
        **json.loads(output),
    )


def read_cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_rss(pid: int) -> float:
    """Return a process's resident memory in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def compare(
    stream: bool, connections: int, interval: float, events: int
) -> list[Figure]:
    """Measure the bare hop and the entry alternately, twice each."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = open_deployment(Path(folder))
        try:
            start_servers(deployment, interval, events)
            figures = []
            for name, port in (("hop", "hop"), ("entry-1", "entry-1.callers")) * 2:
                figures.append(
                    measure(
                        deployment,
                        name,
                        deployment.ports[port],
                        connections=connections,
                        stream=stream,
                    )
                )
        finally:
            stop_all(deployment)

    return figures


def render(title: str, figures: list[Figure]) -> str:
    """Return lines of the results and their ratios to those of the bare hop."""
    lines = [title]
    for item in figures:
        lines.append(
            f"  {item.name:8} {item.requests_per_s:8.0f} req/s "
            f"{item.events_per_s:8.0f} events/s  p50 {item.p50_ms:7.1f}  "
            f"p99 {item.p99_ms:7.1f}  first p50 {item.first_p50_ms:6.1f}  "
            f"p99 {item.first_p99_ms:6.1f} ms  "
            f"core {item.cpu_share:4.2f}  {item.cpu_us_per_request:6.0f} us/req  "
            f"{item.cpu_us_per_event:5.1f} us/event  {item.rss_mb:5.0f} MB  "
            f"errors {item.errors:.0f}"
        )

    hops = [item for item in figures if item.name == "hop"]
    targets = [item for item in figures if item.name != "hop"]
    lines.append(
        "  ratio entry/hop: "
        f"requests/s {_mean_ratio(targets, hops, 'requests_per_s'):.2f}, "
        f"p99 {_mean_ratio(targets, hops, 'p99_ms'):.2f}, "
        f"first event {_mean_ratio(targets, hops, 'first_p50_ms'):.2f}, "
        f"its p99 {_mean_ratio(targets, hops, 'first_p99_ms'):.2f}, "
        f"us/event {_mean_ratio(targets, hops, 'cpu_us_per_event'):.2f}"
    )
    return "\n".join(lines)


def _mean_ratio(targets: list[Figure], hops: list[Figure], name: str) -> float:
    target_sum = sum(getattr(item, name) for item in targets)
    hop_sum = sum(getattr(item, name) for item in hops)
    return float(target_sum / hop_sum) if hop_sum else 0.0


def main() -> None:
    """Measure and print complete responses, then streams at fixed event rates."""
    complete = compare(False, CONNECTIONS, 0.0, COMPLETE_EVENTS)
    print(render(f"whole answers, {CONNECTIONS} connections", complete))
    for count, interval in STREAM_LOADS:
        streams = compare(True, count, interval, EVENTS)
        print(render(f"streams, {count} at {1 / interval:.0f} events/s", streams))


if __name__ == "__main__":
    main()
