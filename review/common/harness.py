"""Stand-ins for the platform, its operator, servers and clients, and the processes.

Only the standard library is used. Each address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn


if TYPE_CHECKING:
    from collections.abc import Coroutine


ROOT = Path(__file__).resolve().parents[2]
ZONE = "zona-balcarce"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
HEARTBEAT_SECONDS = 1.2
PORT_ATTEMPTS = 100
PORTS = 20

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w")

    def __call__(self, occasion: str, **fields: object) -> None:
        """Write one line."""
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(
            f"{time.monotonic() - self._began_at:8.3f} {occasion} {told}\n"
        )
        self._file.flush()


@dataclass
class Member:
    """One process of the product."""

    role: str
    name: str
    address: str
    settings: Path
    log: Path
    data: Path | None = None
    process: subprocess.Popen[bytes] | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def runs(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def wait(self) -> None:
        """Wait until the process has ended."""
        if self.process is not None:
            self.process.wait()


@dataclass
class System:
    """The processes of one run, and the ports that are the same on all addresses."""

    folder: Path
    record: Record
    first_port: int
    bounds: Headers
    limits: dict[str, dict[str, int]]
    seeds: list[str] = field(default_factory=list)
    registries: list[Member] = field(default_factory=list)
    gateways: list[Member] = field(default_factory=list)

    @property
    def admin_port(self) -> int:
        """Port for the operator and for heartbeats."""
        return self.first_port + 16

    @property
    def caller_port(self) -> int:
        """Port for clients."""
        return self.first_port + 17

    @property
    def ready_port(self) -> int:
        """Port for readiness checks."""
        return self.first_port + 18

    @property
    def members(self) -> list[Member]:
        """All processes."""
        return [*self.registries, *self.gateways]


BOUNDS = {
    "seed_lag_s": "3",
    "reuse_after_s": "2",
    "contact_ms": "3000",
    "ack_ms": "4000",
    "catch_up_s": "4",
    "drain_ms": "2000",
    "grace_s": "8",
    "loss_slack_ms": "200",
    "propagation_ms": "2000",
    "rollback_slack_ms": "250",
    "max_skew_ms": "5000",
    "revoke_fail_closed": "false",
    "revoke_ms": "5000",
    "retry_budget_ratio": "0.9",
    "retry_window_s": "10",
    "budget_slack": "56",
    "exposure_share": "0.15",
    "exposure_slack": "30",
    "rollback_ms": "5000",
    "recover_s": "12",
    "delivery_lag_ms": "120",
    "reuse_window_s": "10",
    "session_ttl_s": "5",
}
LIMITS = {
    "gateway": {"memory_mb": 150, "max_fds": 4100, "disk_mb": 0},
    "registry": {"memory_mb": 296, "max_fds": 4096, "disk_mb": 128},
}


def find_ports(addresses: list[str]) -> int:
    """Return the first of consecutive ports that are free on all addresses."""
    for _ in range(PORT_ATTEMPTS):
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            first = int(probe.getsockname()[1])

        ports = range(first, first + PORTS)
        if all(is_free(address, port) for address in addresses for port in ports):
            return first

    raise RuntimeError("no consecutive ports are free")


def is_free(address: str, port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except (OSError, OverflowError):
            return False

    return True


def make_system(record: Record, registries: int, gateways: int) -> System:
    """Return a system whose processes have not been started."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    core = [f"127.0.21.{number + 1}" for number in range(registries)]
    edge = [f"127.0.22.{number + 1}" for number in range(gateways)]
    system = System(folder, record, find_ports(core + edge), dict(BOUNDS), LIMITS)
    system.seeds = core[:3]
    for number, address in enumerate(core):
        name = f"core-{ZONE}-{number + 1}"
        system.registries.append(make_member(folder, "registry", name, address))

    for number, address in enumerate(edge):
        name = f"edge-{ZONE}-{number + 1}"
        system.gateways.append(make_member(folder, "gateway", name, address))

    return system


def make_member(folder: Path, role: str, name: str, address: str) -> Member:
    """Return a process that has not been started."""
    data = folder / f"{name}.data" if role == "registry" else None
    return Member(
        role, name, address, folder / f"{name}.toml", folder / f"{name}.log", data
    )


def add_registry(system: System) -> Member:
    """Add an empty core machine at a new address, which has not been started."""
    number = int(system.registries[-1].address.rpartition(".")[2]) + 1
    name = f"core-{ZONE}-{number}"
    member = make_member(system.folder, "registry", name, f"127.0.21.{number}")
    system.registries.append(member)
    return member


def write_settings(system: System, member: Member, *, bootstrap: bool) -> None:
    """Write the settings file of a process."""
    first = system.first_port
    seeds = ",".join(f'"{seed}:{system.admin_port}"' for seed in system.seeds)
    listen = (
        [f'admin = "{member.address}:{system.admin_port}"']
        if member.role == "registry"
        else [
            f'frontend = "{member.address}:{system.caller_port}"',
            f'readiness = "{member.address}:{system.ready_port}"',
        ]
    )
    limits = [f"{name} = {n}" for name, n in system.limits[member.role].items()]
    bounds = [f"{name} = {value}" for name, value in system.bounds.items()]
    lines = [
        f'node_name = "{member.name}"',
        f'ip = "{member.address}"',
        f'zone = "{ZONE}"',
        'region = "sudeste-ba"',
        f"internal_ports = [{first},{first + 15}]",
        f"seeds = [{seeds}]",
        f"bootstrap = {str(bootstrap).lower()}",
        f"counts_as_loss = {str(member.data is not None).lower()}",
        *([f'data_dir = "{member.data}"'] if member.data is not None else []),
        "heartbeat_ms = 1200",
        "[zones]",
        f'{ZONE} = "sudeste-ba"',
        "[listen]",
        *listen,
        "[limits]",
        "cpu_quota = 1.0",
        "cores = 1",
        "link_mbps = 1000.0",
        *limits,
        "[fault_tolerance]",
        "machine_count = 2",
        "zones = 0",
        "region_count = 0",
        "[bounds]",
        *bounds,
    ]
    member.settings.write_text("\n".join(lines) + "\n")


def start_member(system: System, member: Member, *, bootstrap: bool = False) -> None:
    """Start a process with the command of the deploy file."""
    if member.data is not None:
        member.data.mkdir(exist_ok=True)

    write_settings(system, member, bootstrap=bootstrap)
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    program, *arguments = roles[member.role]["run"].split()
    kept = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
    with member.log.open("ab") as log:
        member.process = subprocess.Popen(
            [str(ROOT / program), *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env={
                **kept,
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "WAXWINGWELL_SETTINGS": str(member.settings),
            },
        )

    system.record("platform: started", process=member.name, pid=member.process.pid)


def stop_system(system: System) -> None:
    """Kill all processes and remove the folder."""
    for member in system.members:
        member.signal(signal.SIGCONT)
        member.signal(signal.SIGKILL)

    for member in system.members:
        if member.process is not None:
            member.process.wait()

    if "KEEP" not in os.environ:
        shutil.rmtree(system.folder, ignore_errors=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line of a message, and its headers by lower-case name."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return the body of a message; raise ``IncompleteReadError`` if it is cut."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))

    if headers.get("transfer-encoding", "").lower() != "chunked":
        return b""

    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body

        body += chunk[:-2]


def write_head(first: str, headers: dict[str, object]) -> bytes:
    """Return an encoded first line and headers."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


@dataclass
class Answer:
    """What a client got; status 0 without a response."""

    status: int
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    reason: str = ""


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, object],
    body: bytes = b"",
    limit: float = 5.0,
) -> Answer:
    """Send one request on a new connection and return what comes back."""
    answer = Answer(0)
    try:
        async with asyncio.timeout(limit):
            await exchange(address, method, path, headers, body, answer)
    except TimeoutError:
        answer.reason = "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.reason = repr(error)

    return answer


async def exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, object],
    body: bytes,
    answer: Answer,
) -> None:
    """Send one request and fill in the answer as it arrives."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        sent = {"Host": HOST, **headers}
        if body or method != "GET":
            sent["Content-Length"] = len(body)

        writer.write(write_head(f"{method} {path} HTTP/1.1", sent) + body)
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split()[1])
        answer.body = await read_body(reader, answer.headers)
        answer.whole = True
    finally:
        writer.close()


def make_route(name: str, prefix: str, kind: str, backend: str) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 25_000,
        "target_latency_ms": 4_000,
        "priority": 0,
        "backend": backend,
        "max_attempts": 3,
        "anonymous": False,
        "session_affinity": False,
        "stream_resume": kind == "streaming",
        "itl_target_ms": 2_000,
    }


def make_config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration."""
    names = sorted({route["backend"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "backends": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


async def order(
    system: System, method: str, path: str, body: Any = None, limit: float = 20.0
) -> Answer:
    """Send an order to one registry after the other until it is acknowledged."""
    data = b"" if body is None else json.dumps(body).encode()
    due_at = time.monotonic() + limit
    answer = Answer(0)
    turn = 0
    while time.monotonic() < due_at:
        member = system.registries[turn % len(system.registries)]
        turn += 1
        address = (member.address, system.admin_port)
        kind: dict[str, object] = {"Content-Type": "application/json"}
        answer = await call(address, method, path, kind, data, 1.0)
        system.record(
            "operator:", order=f"{method} {path}", at=member.name, status=answer.status
        )
        if 200 <= answer.status < 500:
            return answer

        await asyncio.sleep(0.1)

    return answer


async def wait_until_ready(system: System, limit: float = 15.0) -> bool:
    """Wait until all gateways say that they are ready."""
    due_at = time.monotonic() + limit
    for member in system.gateways:
        address = (member.address, system.ready_port)
        while (await call(address, "GET", "/-/readyz", {}, limit=1.0)).status != 200:
            if time.monotonic() > due_at:
                return False

            await asyncio.sleep(0.1)

    return True


class Server:
    """A server of a service: it registers itself and serves requests."""

    def __init__(
        self, system: System, name: str, service: str, address: str, port: int
    ) -> None:
        self.system = system
        self.name = name
        self.service = service
        self.address = address
        self.port = port
        self.sequence = 0
        self.state = "healthy"
        self.born = int(time.time() * 1000)
        self.version = "v1"
        self.runs: list[str] = []
        """Ids of the requests that it has run."""
        self.receive_bytes = 0
        """Size of the kernel's buffer for what it has not read; 0 for the default."""
        self.segment_bytes = 0
        """Largest segment of its connections; 0 for the default."""
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to register."""
        endpoint = socket.socket()
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_bytes:
            endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)

        if self.segment_bytes:
            endpoint.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment_bytes
            )

        endpoint.bind((self.address, self.port))
        self._server = await asyncio.start_server(
            self._serve, sock=endpoint, limit=1 << 16
        )
        self._beating = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Close the port and end the heartbeats."""
        if self._beating is not None:
            self._beating.cancel()

        if self._server is not None:
            self._server.close()

    async def announce(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "backend": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": ZONE,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        for member in self.system.registries:
            address = (member.address, self.system.admin_port)
            path = f"/-/instances/{self.name}"
            data = json.dumps(body).encode()
            answer = await call(address, "PUT", path, {}, data, 1.0)
            if 200 <= answer.status < 300:
                return True

        return False

    async def _beat(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            first, headers = await read_head(reader)
            if not self.is_for_me(headers):
                lines = {"Content-Length": 0, "Waxwingwell-Instance-Id": self.name}
                writer.write(write_head("HTTP/1.1 421 Misdirected Request", lines))
            else:
                await self.handle(first, headers, reader, writer)

            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def is_for_me(self, headers: Headers) -> bool:
        """Return whether a request expects this server."""
        return headers.get("waxwingwell-expect-instance", self.name) == self.name

    async def handle(
        self,
        first: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read a request, run it and answer."""
        await read_body(reader, headers)
        self.note_run(headers)
        await self.respond(headers, writer)

    def note_run(self, headers: Headers) -> str:
        """Record that a request begins to run; return its id."""
        name = headers.get("waxwingwell-attempt-id", "")
        self.runs.append(name)
        self.system.record("server: runs", server=self.name, request=name)
        return name

    async def respond(
        self, headers: Headers, writer: asyncio.StreamWriter, body: bytes = b"done"
    ) -> None:
        """Send a signed, whole response."""
        name = headers.get("waxwingwell-attempt-id", "")
        lines = {
            "Content-Length": len(body),
            "Waxwingwell-Attempt-Id": name,
            "Waxwingwell-Server-Signature": f"{self.name}.{name}",
        }
        writer.write(write_head("HTTP/1.1 200 OK", lines) + body)
        await writer.drain()


def finish(case: Coroutine[Any, Any, int]) -> NoReturn:
    """Run a case and exit with its status, or with 2 if it couldn't run."""
    try:
        status = asyncio.run(case)
    except Exception:  # a fault of the case must not look like a broken rule
        traceback.print_exc()
        status = 2

    sys.exit(status)
