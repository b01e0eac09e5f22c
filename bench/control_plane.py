"""Cost of the control plane: renewals at the leader, announcements at an entry.

Runs real processes on loopback and simulates many entries and upstreams over its own
links. Prints the CPU time per message at several rates and the resident memory of both
processes.
"""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from scripts.launcher import Deployment
from scripts.launcher import open_deployment
from scripts.launcher import start_process
from scripts.launcher import stop_all
from scripts.topology import add_controls
from scripts.topology import add_entries
from scripts.topology import configure
from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater

from waxwingwell.adapters.link_messages import Body
from waxwingwell.adapters.links import Link
from waxwingwell.adapters.links import LinkHandlers
from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.links import LinkTiming
from waxwingwell.adapters.links import call_link
from waxwingwell.adapters.links import cast_link
from waxwingwell.adapters.links import close_link
from waxwingwell.adapters.links import open_link
from waxwingwell.messages import Call
from waxwingwell.messages import Cast
from waxwingwell.messages import Failed
from waxwingwell.messages import LeaseGranted
from waxwingwell.messages import Message
from waxwingwell.messages import RenewLease
from waxwingwell.messages import Reply
from waxwingwell.messages import SpreadAnnouncements
from waxwingwell.records import Announcement
from waxwingwell.records import EntryId
from waxwingwell.records import LoadReport
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.records import VersionId

from .path import read_cpu
from .path import read_rss


reactor: Any = installed
SECONDS = 4.0
RATES = (0, 50, 200, 800)
"""Lease renewals per second."""
FLEET_SIZES = (0, 12, 120, 1200)
"""Numbers of upstreams that each send an announcement per second."""


LINK_COUNTS = (0, 10, 50, 200)
"""Numbers of links that carry heartbeats only."""


@dataclass(frozen=True, slots=True)
class Measurement:
    """CPU and memory use of one process under one load."""

    what: str
    rate: float
    cpu_share: float
    rss_mb: float


def make_node(name: str) -> LinkNode:
    """Return the benchmark's node for its links."""

    def handle_call(sender: str, body: Any) -> Deferred[Message]:
        return succeed(Failed(reason="bench", may_have_run=False))

    return LinkNode(
        name=name,
        reactor=reactor,
        handlers=LinkHandlers(
            handle_call=handle_call,
            handle_cast=lambda sender, body: None,
            body_type=Body,
        ),
        timing=LinkTiming(),
    )


async def connect(name: str, port: int) -> Link:
    """Open a link and return it once it is connected."""
    endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
    link = open_link(make_node(name), name, endpoint.connect)
    while link.protocol is None:
        await deferLater(reactor, 0.02, lambda: None)

    return link


async def measure(
    deployment: Deployment, name: str, what: str, rate: float
) -> Measurement:
    """Return a process's use of CPU over the next ``SECONDS``, and its memory."""
    popen = deployment.processes[name].popen
    assert popen is not None
    await deferLater(reactor, 1.0, lambda: None)
    before = read_cpu(popen.pid)
    await deferLater(reactor, SECONDS, lambda: None)
    used = read_cpu(popen.pid) - before
    return Measurement(what, rate, used / SECONDS, read_rss(popen.pid))


async def load_renewals(deployment: Deployment) -> list[Measurement]:
    """Renew leases at each rate and measure the leader."""
    link = await connect("bench", deployment.ports["control-1.links"])
    version = [0]
    measurements = []
    for rate in RATES:
        count = [0]

        def renew(count: list[int] = count, rate: int = rate) -> None:
            count[0] += 1
            message = RenewLease(
                entry=EntryId(f"bench-{count[0] % max(rate, 1)}"),
                incarnation=1,
                config_version=version[0],
            )
            reply = call_link(link, message, timeout=2.0)
            reply.addCallback(_record_version, version)
            reply.addErrback(lambda _: None)

        loop = LoopingCall(renew)
        if rate:
            loop.start(1 / rate)

        measurements.append(await measure(deployment, "control-1", "renewals/s", rate))
        if loop.running:
            loop.stop()

    close_link(link)
    return measurements


def _record_version(reply: Any, version: list[int]) -> None:
    snapshot = getattr(reply, "snapshot", None)
    if snapshot is not None:
        version[0] = snapshot.config_version


async def load_links(deployment: Deployment) -> list[Measurement]:
    """Open idle links to an entry and measure the cost of their heartbeats."""
    measurements = []
    links: list[Link] = []
    for count in LINK_COUNTS:
        while len(links) < count:
            name = f"bench-{len(links)}"
            links.append(await connect(name, deployment.ports["entry-1.links"]))

        measurements.append(await measure(deployment, "entry-1", "idle links", count))

    for link in links:
        close_link(link)

    return measurements


async def load_announcements(deployment: Deployment) -> list[Measurement]:
    """Announce fleets of upstreams to an entry every second and measure the entry."""
    link = await connect("bench-entry", deployment.ports["entry-1.links"])
    measurements = []
    sequence = [0]
    for fleet in FLEET_SIZES:

        def announce(fleet: int = fleet) -> None:
            sequence[0] += 1
            cast_link(link, make_announcements(fleet, sequence[0]))

        loop = LoopingCall(announce)
        if fleet:
            loop.start(1.0)

        measurements.append(await measure(deployment, "entry-1", "upstreams", fleet))
        if loop.running:
            loop.stop()

    close_link(link)
    return measurements


def make_announcements(fleet: int, sequence: int) -> SpreadAnnouncements:
    """Return a message with an announcement of every upstream of a fleet."""
    rows = tuple(
        Announcement(
            upstream=UpstreamId(f"engine-{number}"),
            incarnation=1,
            sequence=sequence,
            kind=UpstreamKind.MODEL,
            data_centre="bole",
            host="10.0.0.1",
            port=9000,
            lease=5.0,
            versions=(VersionId("swift@1"), VersionId("heron@1")),
            capacity=16,
            load=LoadReport(running=3, queued=1, tokens_per_second=40.0),
        )
        for number in range(fleet)
    )
    return SpreadAnnouncements(announcements=rows, ages=(0.2,) * fleet)


def render(measurements: list[Measurement]) -> str:
    """Return lines of the measurements and of the CPU time per unit above idle."""
    lines = []
    idle = measurements[0]
    for item in measurements:
        cpu_us_each = (
            (item.cpu_share - idle.cpu_share) * 1e6 / item.rate if item.rate else 0
        )
        lines.append(
            f"  {item.rate:6.0f} {item.what:11} core {item.cpu_share:6.3f}  "
            f"{cpu_us_each:7.1f} us each over idle  {item.rss_mb:6.1f} MB resident"
        )

    return "\n".join(lines)


def render_sizes() -> str:
    """Return lines of the sizes of frequent messages on the wire."""
    renew = RenewLease(
        entry=EntryId("entry-1234"), incarnation=10**15, config_version=9
    )
    grant = LeaseGranted(duration=4.0, config_version=9, term=3)
    announcements = make_announcements(100, 1)
    sizes = (
        ("renewal", len(msgspec.msgpack.encode(Call(number=1000, body=renew)))),
        ("grant", len(msgspec.msgpack.encode(Reply(number=1000, body=grant)))),
        (
            "news of an upstream",
            len(msgspec.msgpack.encode(Cast(body=announcements))) // 100,
        ),
    )
    return "\n".join(f"  {name}: {size} bytes" for name, size in sizes)


async def run() -> None:
    """Start the processes, measure, print, stop."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = open_deployment(Path(folder))
        add_controls(deployment, 1)
        add_entries(deployment, 1, 1)
        try:
            for name in deployment.processes:
                start_process(deployment, name)

            configure(deployment)
            print(f"leader\n{render(await load_renewals(deployment))}")
            print(f"entry\n{render(await load_announcements(deployment))}")
            print(f"entry\n{render(await load_links(deployment))}")
            print(f"sizes\n{render_sizes()}")
        finally:
            stop_all(deployment)


def main() -> None:
    """Run in the reactor."""
    done = Deferred.fromCoroutine(run())
    done.addErrback(lambda failure: print(failure.getTraceback()))
    done.addBoth(lambda _: reactor.stop())
    reactor.run()


if __name__ == "__main__":
    main()
