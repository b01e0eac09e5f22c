"""The product's processes of one run, which are signalled by process id only."""

from __future__ import annotations

import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import sysconfig
import tomllib
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from pathlib import Path

from waxwingwell_standin import wire

from .records import read_clock


ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "system.toml"
PACKAGES = (str(ROOT / "src"), str(ROOT / "platform"), sysconfig.get_path("purelib"))
"""Import path of the processes: the product's packages and the libraries."""
PORT_ATTEMPTS = 100
NETWORKS = tuple(f"127.{number}" for number in range(1, 255))
"""First halves of the loopback addresses that a run may use alone."""
CLAIM_PORT = 7009
"""Port that a run holds on the first address of its network."""
PORTS = 8
"""Consecutive ports of a process: three internal ones of the registries, three of the
gateways, and two for callers, operators and readiness checks."""
STOP_TIMEOUT_SECONDS = 12.0
"""Seconds after which a stopping process counts as hung; a planned stop takes at most
8 s."""


@dataclass(slots=True)
class Member:
    """One process of the product."""

    role: str
    record: wire.ProcessRecord
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    started_at: float = 0.0
    has_fault: bool = False
    """Whether a fault is being injected into the process."""
    keeps_settings: bool = False
    """Whether it is restarted with the settings of its first start."""
    descriptors: int | None = None
    """Limit on its open descriptors; None for that of this process."""

    @property
    def settings(self) -> Path:
        """Path of the settings file."""
        return self.folder / f"{self.record.name}.toml"

    @property
    def log(self) -> Path:
        """Path of the log."""
        return self.folder / f"{self.record.name}.log"


@dataclass(slots=True)
class Fleet:
    """All processes of one run."""

    folder: Path
    network: str
    """First half of the loopback addresses that belong to this run."""
    claim: socket.socket
    """Keeps other runs from using the network."""
    registries: list[Member] = field(default_factory=list)
    gateways: list[Member] = field(default_factory=list)
    link_port: int = 0
    """Port on which registries accept links."""
    proxy_port: int = 0
    """Port to which gateways connect for links, on which the proxies listen."""

    @property
    def members(self) -> list[Member]:
        """All processes, registries first."""
        return [*self.registries, *self.gateways]


def make_fleet(
    folder: Path, registries: int, gateways: int, *, keeps_settings: bool = False
) -> Fleet:
    """Return a fleet whose processes have not been started.

    With ``keeps_settings`` its processes are always restarted with the settings of
    their first start.
    """
    network, claim = claim_network()
    registry_addresses = tuple(
        f"{network}.1.{number + 1}" for number in range(registries)
    )
    gateway_addresses = tuple(f"{network}.2.{number + 1}" for number in range(gateways))
    ports = find_ports(registry_addresses + gateway_addresses, PORTS)
    fleet = Fleet(folder, network, claim, link_port=ports[0], proxy_port=ports[3])
    for number, address in enumerate(registry_addresses + gateway_addresses):
        is_registry = address in registry_addresses
        name = f"registry-{number}" if is_registry else f"gateway-{number - registries}"
        record = wire.ProcessRecord(
            name=name,
            address=address,
            link_port=fleet.link_port if is_registry else fleet.proxy_port,
            admin_port=ports[6],
            caller_port=ports[6],
            ready_port=ports[7],
            seeds=registry_addresses[:3],
            data_folder=folder / f"{name}.data" if is_registry else None,
            first_start=True,
        )
        role = "registry" if is_registry else "gateway"
        member = Member(role, record, folder, keeps_settings=keeps_settings)
        (fleet.registries if is_registry else fleet.gateways).append(member)

    return fleet


def claim_network() -> tuple[str, socket.socket]:
    """Return a network that no other run uses, and the socket that claims it.

    Two runs at the same addresses would disturb each other as processes restart.
    """
    for network in NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f"{network}.0.1", CLAIM_PORT))
        except OSError:
            claim.close()
            continue

        return network, claim

    raise RuntimeError("all loopback networks are in use")


def find_ports(addresses: tuple[str, ...], count: int) -> list[int]:
    """Return consecutive ports that are free on all addresses."""
    for _ in range(PORT_ATTEMPTS):
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            first = int(probe.getsockname()[1])

        ports = [first + step for step in range(count)]
        if all(is_free(address, port) for address in addresses for port in ports):
            return ports

    raise RuntimeError("no consecutive ports are free on all loopback addresses")


def is_free(address: str, port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except (OSError, OverflowError):
            return False

    return True


def read_command(role: str) -> list[str]:
    """Return the deploy file's command of a role; ``make setup`` builds its program."""
    roles = tomllib.loads(DEPLOY.read_text())["roles"]
    program, *arguments = roles[role]["run"].split()
    return [str(ROOT / program), *arguments]


def start_member(member: Member, script: tuple[str, ...] = ()) -> None:
    """Start a process with its current settings and append its output to its log.

    A script, which replaces the deploy file's command, gets the role as its last
    argument.
    """
    member.settings.write_text(wire.write_settings(member.record))
    command = [sys.executable, *script, member.role]
    member.started_at = read_clock()
    with member.log.open("ab") as log:
        member.process = subprocess.Popen(
            command if script else read_command(member.role),
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            cwd=ROOT,
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(PACKAGES),
                "WAXWINGWELL_SETTINGS": str(member.settings),
            },
        )

    if member.descriptors is not None:
        limits = (member.descriptors, member.descriptors)
        resource.prlimit(member.process.pid, resource.RLIMIT_NOFILE, limits)


def signal_member(member: Member, number: signal.Signals) -> None:
    """Send a signal to a process of this run if it is still running."""
    if member.process is not None and member.process.poll() is None:
        member.process.send_signal(number)


def describe_state(member: Member) -> str:
    """Return the kernel's state and wait channel of a process."""
    if member.process is None:
        return "not started"

    folder = Path("/proc") / str(member.process.pid)
    try:
        state = (folder / "stat").read_text().rpartition(")")[2].split()[0]
        wait_channel = (folder / "wchan").read_text()
    except OSError as error:
        return f"ended meanwhile ({error.strerror})"

    return f"state {state}, waits in {wait_channel or 'nothing'}"


def kill_member(member: Member) -> None:
    """Kill a process and wait until it has ended."""
    signal_member(member, signal.SIGKILL)
    if member.process is not None:
        member.process.wait()


def wipe_member(member: Member) -> None:
    """Delete the data folder of a stopped process."""
    if member.record.data_folder is not None:
        shutil.rmtree(member.record.data_folder, ignore_errors=True)


def replace_disk(member: Member) -> None:
    """Give a stopped process an empty disk, as a member of a running system."""
    wipe_member(member)
    member.record = replace(member.record, first_start=False)


def restart_member(member: Member) -> None:
    """Restart a process as a member of a system that has started before.

    One that runs already was restarted by another schedule.
    """
    if member.process is not None and member.process.poll() is None:
        return

    if not member.keeps_settings:
        member.record = replace(member.record, first_start=False)

    start_member(member)


def stop_fleet(fleet: Fleet) -> None:
    """Kill all processes, including paused ones, and wait until they have ended."""
    for member in fleet.members:
        signal_member(member, signal.SIGCONT)
        signal_member(member, signal.SIGKILL)

    for member in fleet.members:
        if member.process is not None:
            member.process.wait()

    fleet.claim.close()
