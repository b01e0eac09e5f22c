"""The request path of one gateway process against the bare hop, and its log's cost.

``python -m bench.gateway_path [hop] [log] [profile]``, with the adapter's folder on the
path; without a name, the first two. Registries and the gateway are those of the soak;
upstreams, the bare hop and the load run in their own processes. Responses have 500
bytes, streams have 12 events at intervals of 10 ms; callers keep connections alive.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .bare_hop import CHATS
from .gateway_process import TIMED
from .load import WARM_UP_SECONDS
from .load import Load
from .load import run_load
from .path import Figure
from .path import read_cpu
from .path import read_rss
from .path import render
from .soak.__main__ import START_SECONDS
from .soak.__main__ import await_service
from .soak.__main__ import open_environment
from .soak.__main__ import start_traffic
from .soak.http import read_body
from .soak.http import read_head
from .soak.http import write_message
from .soak.operators import HOST
from .soak.operators import KEYS
from .soak.processes import find_ports
from .soak.processes import kill_member
from .soak.processes import signal_member
from .soak.processes import start_member
from .soak.processes import stop_fleet
from .soak.proxies import Proxy
from .soak.records import BUDGET_SECONDS
from .soak.records import Journal
from .soak.records import Run
from .soak.records import read_clock
from .soak.upstreams import Upstream
from .soak.upstreams import process_request
from .soak.upstreams import send_heartbeats


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from .soak.http import Message
    from .soak.processes import Member
    from .soak.schedule import SoakEnvironment


GATEWAY_SCRIPT = Path(__file__).resolve().parent / "gateway_process.py"
COMMAND = (sys.executable, "-m", "bench.gateway_path")
HOP = "hop"
LOOPBACK = "127.0.0.1"
UPSTREAM_HOSTS = ("127.0.3.1", "127.0.3.2")
"""Addresses of the two upstreams of the soak's stage."""
BODY_BYTES = 500
IDLE_SECONDS = 2.0
SECONDS = 5.0
EVENT_INTERVAL_SECONDS = 0.01
PATHS = {False: "/read/1", True: "/stream/1"}
"""Paths of complete responses and of streams."""
ROUNDS = 2


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load without its server."""

    title: str
    connections: int
    stream: bool
    rate: float = 0.0


SCENARIOS = (
    Scenario("whole answers, 8 callers", 8, stream=False),
    Scenario("whole answers, 100/s", 32, stream=False, rate=100),
    Scenario("streams, 96 callers", 96, stream=True),
    Scenario("streams, 20/s", 32, stream=True, rate=20),
)
LOG_SCENARIOS = (
    (SCENARIOS[0], ("file", "null", "none", "timed")),
    (SCENARIOS[1], ("timed",)),
    (SCENARIOS[3], ("timed",)),
)
"""Log modes to compare; at low rates, noise exceeds their differences."""


@dataclass(frozen=True, slots=True)
class Server:
    """The process that serves a load, and its address."""

    name: str
    pid: int
    host: str
    port: int


class ExternalListener(Proxy):
    """Represents a listener in another process, in place of a proxy."""

    @property
    def port(self) -> int:
        """Port on which that process listens."""
        return self.target[1]


async def serve_upstreams(port: int) -> None:
    """Serve as every upstream, without a delay before the response."""

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await respond(request, writer)

        writer.close()

    for host in (LOOPBACK, *UPSTREAM_HOSTS):
        await asyncio.start_server(serve, host, port)

    await asyncio.Event().wait()


async def respond(request: Message, writer: StreamWriter) -> None:
    """Respond to one request; one without an id comes from the bare hop."""
    sent = wire.read_received_request(request.headers)
    sent = replace(sent, request_id=sent.request_id or make_id(0))
    run = Run(
        request_id=sent.request_id,
        upstream=sent.expected_upstream or "hop",
        path=request.start.split()[1],
        workspace=sent.workspace,
        saw_key=False,
        at=read_clock(),
    )
    upstream = Upstream(run.upstream, "", "", Journal(), random.Random(0), ())
    upstream.work = 0.0
    upstream.event_interval = EVENT_INTERVAL_SECONDS
    await process_request(upstream, sent, run, writer)


def make_id(number: int) -> str:
    """Return a request's id; with its length, the response has 500 bytes."""
    return f"call-{number:09d}"


def make_call(name: str, stream: bool, number: int) -> bytes:
    """Return the bytes of one request to a server."""
    head = {"Host": HOST}
    path = CHATS
    if name != HOP:
        path = PATHS[stream]
        head |= wire.write_request(make_id(number), KEYS["team-a"][0], BUDGET_SECONDS)

    return write_message(f"POST {path} HTTP/1.1", head, b"x" * BODY_BYTES)


def run_scenario(name: str, load: Load) -> None:
    """Run one load in this process and print its result as JSON."""
    make = partial(make_call, name, load.stream)
    print(json.dumps(run_load(load, make)))


async def measure(server: Server, scenario: Scenario) -> Figure:
    """Run one load in its own process and measure the server's CPU time meanwhile."""
    load = Load(
        server.port,
        scenario.connections,
        SECONDS,
        scenario.stream,
        server.host,
        scenario.rate,
    )
    before = read_cpu(server.pid)
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        "load",
        server.name,
        json.dumps(asdict(load)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    used = read_cpu(server.pid) - before
    return Figure(
        name=server.name,
        cpu_share=used / (SECONDS + WARM_UP_SECONDS),
        rss_mb=read_rss(server.pid),
        **json.loads(output),
    )


async def start_gateway(environment: SoakEnvironment, mode: str) -> Server:
    """Restart the gateway with a log mode and wait until it serves."""
    member = environment.fleet.gateways[0]
    kill_member(member)
    member.record = replace(member.record, first_start=False)
    member.log.unlink(missing_ok=True)
    start_member(member, (str(GATEWAY_SCRIPT), mode))
    missing = await await_service(environment, Journal(), START_SECONDS)
    assert member.process is not None
    if missing:
        raise TimeoutError(missing)

    record = member.record
    return Server("gateway", member.process.pid, record.address, record.caller_port)


async def stop_gateway(member: Member) -> str:
    """Stop the gateway with SIGTERM and return its log."""
    signal_member(member, signal.SIGTERM)
    while member.process is not None and member.process.poll() is None:
        await asyncio.sleep(0.1)

    return member.log.read_text()


async def compare_hop(environment: SoakEnvironment, hops: dict[bool, Server]) -> None:
    """Measure each load through the bare hop and the gateway alternately, twice."""
    gateway = await start_gateway(environment, "file")
    for scenario in SCENARIOS:
        servers = (hops[scenario.stream], gateway) * 2
        figures = [await measure(server, scenario) for server in servers]
        print(render(scenario.title, figures), flush=True)


async def compare_logs(environment: SoakEnvironment) -> None:
    """Print the gateway's CPU time per request for each log mode."""
    for scenario, modes in LOG_SCENARIOS:
        print(f"log, {scenario.title}", flush=True)
        for mode in modes * ROUNDS:
            await measure_log(environment, scenario, mode)


async def measure_log(
    environment: SoakEnvironment, scenario: Scenario, mode: str
) -> None:
    """Print CPU time and log bytes per request, less the gateway's idle CPU time."""
    server = await start_gateway(environment, mode)
    member = environment.fleet.gateways[0]
    before = read_cpu(server.pid)
    await asyncio.sleep(IDLE_SECONDS)
    idle = (read_cpu(server.pid) - before) / IDLE_SECONDS
    size = member.log.stat().st_size
    figure = await measure(server, scenario)
    size = member.log.stat().st_size - size
    used = (figure.cpu_share - idle) * (SECONDS + WARM_UP_SECONDS)
    line = (
        f"  {mode:6} {figure.requests_per_s:6.0f} req/s {idle * 1e3:5.1f} ms/s idle "
        f"{used / figure.requests * 1e6:6.0f} us/req "
        f"{size / figure.requests:5.0f} bytes/req  errors {figure.errors:.0f}"
    )
    log = await stop_gateway(member)
    if mode == "timed":
        spent = float(log.rsplit(TIMED, 1)[1])
        line += f"  log {spent / figure.requests * 1e6:.0f} us/req {spent / used:.1%}"

    print(line, flush=True)


async def profile(environment: SoakEnvironment) -> None:
    """Print profiles of the gateway under complete responses and under streams."""
    for scenario in (SCENARIOS[0], SCENARIOS[2]):
        await measure(await start_gateway(environment, "profile"), scenario)
        log = await stop_gateway(environment.fleet.gateways[0])
        print(f"profile, {scenario.title}\n{log[log.rindex('function calls') :]}")


async def run_benches(folder: Path, port: int, hops: dict[bool, Server]) -> None:
    """Start the system and run the benchmarks that the arguments name."""
    environment = await open_environment(
        folder, random.Random(1), registries=3, gateways=1, upstreams_per_service=1
    )
    background: list[asyncio.Task[None]] = []
    try:
        for upstream in environment.upstreams:
            upstream.proxy = ExternalListener((upstream.host, port))
            upstream.born = time.time_ns() // 1_000_000
            upstream.up = True
            background.append(asyncio.create_task(send_heartbeats(upstream)))

        await start_traffic(
            replace(environment, upstreams=[]), background, callers_per_gateway=0
        )
        names = sys.argv[1:] or ["hop", "log"]
        if "hop" in names:
            await compare_hop(environment, hops)

        if "log" in names:
            await compare_logs(environment)

        if "profile" in names:
            await profile(environment)
    finally:
        stop_fleet(environment.fleet)
        for task in background:
            task.cancel()


def main() -> None:
    """Start the upstreams and the hops, run the benchmarks and stop the processes."""
    port, *hop_ports = find_ports((LOOPBACK, *UPSTREAM_HOSTS), 3)
    processes = [subprocess.Popen([*COMMAND, "serve", str(port)])]
    hops = {}
    for stream, hop in zip(PATHS, hop_ports, strict=True):
        command = [sys.executable, "-m", "bench.bare_hop", str(hop), str(port)]
        processes.append(subprocess.Popen([*command, PATHS[stream]]))
        hops[stream] = Server(HOP, processes[-1].pid, LOOPBACK, hop)

    try:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run_benches(Path(folder), port, hops))
    finally:
        for process in processes:
            process.kill()
            process.wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        asyncio.run(serve_upstreams(int(sys.argv[2])))
    elif sys.argv[1:2] == ["load"]:
        run_scenario(sys.argv[2], Load(**json.loads(sys.argv[3])))
    else:
        main()
