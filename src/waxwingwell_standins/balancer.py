"""TCP load balancer that sends new connections to targets with a good ``/readyz``."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList
from twisted.internet.defer import succeed
from twisted.internet.task import LoopingCall

from .client import fetch_status
from .client import make_agent
from .listener import get_reactor
from .pipes import Acceptor
from .pipes import ConnectionPair
from .pipes import PipeTable
from .pipes import abort_pair
from .pipes import connect_pair
from .pipes import stop_pipes
from .program import run_program
from .settings import BalancerSettings


HEALTH_PATH = "/readyz"


@dataclass(slots=True)
class Target:
    """A target and its health."""

    address: str
    ready: bool = False
    failures: int = 0
    """Consecutive failed health checks."""
    connection_count: int = 0
    """Number of connections assigned to the target so far."""
    check: Deferred[None] | None = None


@dataclass(slots=True)
class Balancer:
    """A running load balancer."""

    settings: BalancerSettings
    targets: list[Target]
    pipes: PipeTable = field(default_factory=PipeTable)
    agent: Any = None
    next_index: int = 0
    loop: LoopingCall | None = None
    first_check: Deferred[None] = field(default_factory=Deferred)
    """Fires after the first check of every target."""
    listening: Any = None

    @property
    def port(self) -> int:
        """TCP port of the listener."""
        return int(self.listening.getHost().port)

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self.settings.host}:{self.port}"

    def check_now(self) -> Deferred[None]:
        """Check every target once; fires when all checks have finished."""
        return check_targets(self)

    def stop(self) -> Deferred[None]:
        """Stop immediately and abort open connections."""
        return stop_balancer(self)


def start_balancer(settings: BalancerSettings) -> Balancer:
    """Listen, and check the targets now and at every interval."""
    targets = [Target(address) for address in settings.targets]
    balancer = Balancer(settings, targets, agent=make_agent(settings.timeout))
    acceptor = Acceptor(
        balancer.pipes, lambda pair: connect_ready_target(balancer, pair)
    )
    balancer.listening = get_reactor().listenTCP(
        settings.port, acceptor, interface=settings.host
    )
    balancer.loop = LoopingCall(check_targets, balancer)
    balancer.loop.start(settings.interval).addErrback(lambda _: None)
    return balancer


def stop_balancer(balancer: Balancer) -> Deferred[None]:
    """Stop the health checks and abort the connections."""
    if balancer.loop is not None and balancer.loop.running:
        balancer.loop.stop()

    for target in balancer.targets:
        if target.check is not None:
            target.check.cancel()

    return stop_pipes(balancer.pipes, balancer.listening)


def check_targets(balancer: Balancer) -> Deferred[None]:
    """Check every target that has no check under way."""
    checks = [check_target(balancer, target) for target in balancer.targets]

    def finish(_: object) -> None:
        if not balancer.first_check.called:
            balancer.first_check.callback(None)

    return DeferredList(checks, consumeErrors=True).addCallback(finish)


def check_target(balancer: Balancer, target: Target) -> Deferred[None]:
    """Check one target and record the result."""
    if target.check is not None:
        return succeed(None)

    url = f"http://{target.address}{HEALTH_PATH}"
    status: Deferred[Any] = fetch_status(
        balancer.agent, url, timeout=balancer.settings.timeout
    )

    def finish(result: object) -> None:
        target.check = None
        if isinstance(result, int) and result < 300:
            target.failures = 0
            target.ready = True
            return

        target.failures += 1
        if target.failures >= balancer.settings.falls:
            target.ready = False

    target.check = status
    return status.addBoth(finish)


def connect_ready_target(
    balancer: Balancer, pair: ConnectionPair, attempts: int = 0
) -> None:
    """Connect a new pair to the next ready target, round robin.

    The pair is aborted if no target is ready or every attempt has failed.
    """
    ready = [target for target in balancer.targets if target.ready]
    if attempts >= len(ready):
        abort_pair(pair)
        return

    target = ready[balancer.next_index % len(ready)]
    balancer.next_index += 1
    target.connection_count += 1
    connect_pair(
        balancer.pipes,
        pair,
        target.address,
        lambda: connect_ready_target(balancer, pair, attempts + 1),
    )


if __name__ == "__main__":
    run_program(BalancerSettings, start_balancer)
