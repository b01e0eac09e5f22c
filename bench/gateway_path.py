"""The whole path of one gateway process against the bare hop, and what its log costs.

``python -m bench.gateway_path [hop] [log] [profile]``, with the adapter's folder on the
path; without a name, the first two. Registries and
the gateway are the soak's; upstreams, the bare hop and the load are processes of their
own. Answers have 500 bytes, streams 12 events of 10 ms; callers keep connections.
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
from .load import WARM_UP
from .load import Load
from .load import run_load
from .path import Figure
from .path import read_cpu
from .path import read_rss
from .path import render
from .soak.__main__ import START_SECONDS
from .soak.__main__ import await_service
from .soak.__main__ import begin
from .soak.__main__ import open_stage
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
from .soak.upstreams import beat_forever
from .soak.upstreams import work_on


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from .soak.http import Message
    from .soak.processes import Member
    from .soak.schedule import Stage


SCRIPT = Path(__file__).resolve().parent / "gateway_process.py"
ME = (sys.executable, "-m", "bench.gateway_path")
HOP = "hop"
LOOPBACK = "127.0.0.1"
HOSTS = ("127.0.3.1", "127.0.3.2")
"""Where the two upstreams of the soak's stage live."""
BODY_BYTES = 500
IDLE_SECONDS = 2.0
SECONDS = 5.0
PACE_SECONDS = 0.01
PATHS = {False: "/read/1", True: "/stream/1"}
"""Of whole answers and of streams."""
ROUNDS = 2


@dataclass(frozen=True, slots=True)
class Offer:
    """A load, but for its server."""

    title: str
    connections: int
    stream: bool
    rate: float = 0.0


OFFERS = (
    Offer("whole answers, 8 callers", 8, stream=False),
    Offer("whole answers, 100/s", 32, stream=False, rate=100),
    Offer("streams, 96 callers", 96, stream=True),
    Offer("streams, 20/s", 32, stream=True, rate=20),
)
LOGGED = (
    (OFFERS[0], ("file", "null", "none", "timed")),
    (OFFERS[1], ("timed",)),
    (OFFERS[3], ("timed",)),
)
"""Ways to log in turn; differences drown in the noise at a low rate."""


@dataclass(frozen=True, slots=True)
class Server:
    """What a load goes to."""

    name: str
    pid: int
    host: str
    port: int


class Elsewhere(Proxy):
    """Stands for a listener of another process."""

    @property
    def port(self) -> int:
        """Port on which that process listens."""
        return self.target[1]


async def serve_all(port: int) -> None:
    """Serve as every upstream, without work before an answer."""

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await answer(request, writer)

        writer.close()

    for host in (LOOPBACK, *HOSTS):
        await asyncio.start_server(serve, host, port)

    await asyncio.Event().wait()


async def answer(request: Message, writer: StreamWriter) -> None:
    """Answer one request; one without an id comes from the bare hop."""
    sent = wire.read_sent(request.headers)
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
    upstream.pace = PACE_SECONDS
    await work_on(upstream, sent, run, writer)


def make_id(number: int) -> str:
    """Return a request's id; its length makes the answer 500 bytes long."""
    return f"call-{number:09d}"


def make_call(name: str, stream: bool, number: int) -> bytes:
    """Return the bytes of one request to a server."""
    head = {"Host": HOST}
    path = CHATS
    if name != HOP:
        path = PATHS[stream]
        head |= wire.write_request(make_id(number), KEYS["team-a"][0], BUDGET_SECONDS)

    return write_message(f"POST {path} HTTP/1.1", head, b"x" * BODY_BYTES)


def run_offer(name: str, load: Load) -> None:
    """Drive one load in this process, and print what it gave."""
    make = partial(make_call, name, load.stream)
    print(json.dumps(run_load(load, make)))


async def measure(server: Server, offer: Offer) -> Figure:
    """Run one load in a process, and read the server's processor time around it."""
    load = Load(
        server.port, offer.connections, SECONDS, offer.stream, server.host, offer.rate
    )
    before = read_cpu(server.pid)
    process = await asyncio.create_subprocess_exec(
        *ME,
        "load",
        server.name,
        json.dumps(asdict(load)),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    used = read_cpu(server.pid) - before
    return Figure(
        name=server.name,
        cpu_share=used / (SECONDS + WARM_UP),
        rss_mb=read_rss(server.pid),
        **json.loads(output),
    )


async def start_gateway(stage: Stage, mode: str) -> Server:
    """Start the gateway anew, with its log looked at, until it serves."""
    member = stage.fleet.gateways[0]
    kill_member(member)
    member.record = replace(member.record, first_start=False)
    member.log.unlink(missing_ok=True)
    start_member(member, (str(SCRIPT), mode))
    missing = await await_service(stage, Journal(), START_SECONDS)
    assert member.process is not None
    if missing:
        raise TimeoutError(missing)

    record = member.record
    return Server("gateway", member.process.pid, record.address, record.caller_port)


async def stop_gateway(member: Member) -> str:
    """Stop the gateway as planned, and return its log."""
    signal_member(member, signal.SIGTERM)
    while member.process is not None and member.process.poll() is None:
        await asyncio.sleep(0.1)

    return member.log.read_text()


async def compare_hop(stage: Stage, hops: dict[bool, Server]) -> None:
    """Print each load through the bare hop and the gateway in turn, twice."""
    gateway = await start_gateway(stage, "file")
    for offer in OFFERS:
        servers = (hops[offer.stream], gateway) * 2
        figures = [await measure(server, offer) for server in servers]
        print(render(offer.title, figures), flush=True)


async def compare_logs(stage: Stage) -> None:
    """Print what a request takes of the gateway, by what becomes of its log lines."""
    for offer, modes in LOGGED:
        print(f"log, {offer.title}", flush=True)
        for mode in modes * ROUNDS:
            await measure_log(stage, offer, mode)


async def measure_log(stage: Stage, offer: Offer, mode: str) -> None:
    """Print processor time and bytes a request, without what the gateway takes idle."""
    server = await start_gateway(stage, mode)
    member = stage.fleet.gateways[0]
    before = read_cpu(server.pid)
    await asyncio.sleep(IDLE_SECONDS)
    idle = (read_cpu(server.pid) - before) / IDLE_SECONDS
    size = member.log.stat().st_size
    figure = await measure(server, offer)
    size = member.log.stat().st_size - size
    used = (figure.cpu_share - idle) * (SECONDS + WARM_UP)
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


async def profile(stage: Stage) -> None:
    """Print where the gateway's time goes under whole answers, and under streams."""
    for offer in (OFFERS[0], OFFERS[2]):
        await measure(await start_gateway(stage, "profile"), offer)
        log = await stop_gateway(stage.fleet.gateways[0])
        print(f"profile, {offer.title}\n{log[log.rindex('function calls') :]}")


async def run_parts(folder: Path, port: int, hops: dict[bool, Server]) -> None:
    """Bring the system up, and measure the parts that the arguments name."""
    stage = await open_stage(
        folder, random.Random(1), registries=3, gateways=1, upstreams_each=1
    )
    background: list[asyncio.Task[None]] = []
    try:
        for upstream in stage.upstreams:
            upstream.proxy = Elsewhere((upstream.host, port))
            upstream.born = time.time_ns() // 1_000_000
            upstream.up = True
            background.append(asyncio.create_task(beat_forever(upstream)))

        await begin(replace(stage, upstreams=[]), background, callers_each=0)
        parts = sys.argv[1:] or ["hop", "log"]
        if "hop" in parts:
            await compare_hop(stage, hops)

        if "log" in parts:
            await compare_logs(stage)

        if "profile" in parts:
            await profile(stage)
    finally:
        stop_fleet(stage.fleet)
        for task in background:
            task.cancel()


def main() -> None:
    """Measure once."""
    port, *own = find_ports((LOOPBACK, *HOSTS), 3)
    processes = [subprocess.Popen([*ME, "serve", str(port)])]
    hops = {}
    for stream, hop in zip(PATHS, own, strict=True):
        command = [sys.executable, "-m", "bench.bare_hop", str(hop), str(port)]
        processes.append(subprocess.Popen([*command, PATHS[stream]]))
        hops[stream] = Server(HOP, processes[-1].pid, LOOPBACK, hop)

    try:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run_parts(Path(folder), port, hops))
    finally:
        for process in processes:
            process.kill()
            process.wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        asyncio.run(serve_all(int(sys.argv[2])))
    elif sys.argv[1:2] == ["load"]:
        run_offer(sys.argv[2], Load(**json.loads(sys.argv[3])))
    else:
        main()
