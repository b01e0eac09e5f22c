"""The registry daemon: a control of a routing group as a process."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import LoopingCall

from ..clock import read_clock
from ..events import log_event
from ..events import run_logged
from ..http.records import HttpLimits
from ..http.server import HttpFactory
from ..http.server import HttpService
from ..links import ROUTING_TIMING
from ..links import LinkFactory
from ..links import LinkHandlers
from ..links import LinkNode
from ..metrics_listener import serve_metrics
from .context import RegistryBody
from .context import RegistryContext
from .hub import know_control
from .hub import run_sharing
from .hub import take_call
from .hub import take_cast
from .hub import take_greeting
from .members import open_member
from .members import tick_member
from .rollouts import watch_rollouts


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..http.records import HttpRequest
    from ..http.server import Responder
    from .settings import RegistrySettings


TICK = 0.05
"""Seconds between two looks at what is due; elections take over ten times as long."""
MAX_BODY = 8 << 20


@dataclass(slots=True)
class RegistryDaemon:
    """A running registry process."""

    context: RegistryContext
    service: HttpService
    ports: list[Any]
    loop: LoopingCall


def start_registry(
    settings: RegistrySettings,
    reactor: Any,
    make_handler: Callable[[RegistryContext], Callable[[HttpRequest, Responder], None]],
    began_at: float | None = None,
) -> RegistryDaemon:
    """Open the data folder and begin to serve; errors: ``CannotListenError``.

    ``began_at`` is when the process began, by its clock; now, if it isn't known.
    """
    context = RegistryContext(
        settings=settings, reactor=reactor, clock=read_clock, wall_clock=time.time
    )
    context.reports.retry_window = settings.retry_window
    context.node = LinkNode(
        name=settings.address,
        reactor=reactor,
        handlers=LinkHandlers(
            take_call=partial(take_call, context),
            take_cast=partial(take_cast, context),
            body_type=RegistryBody,
        ),
        timing=ROUTING_TIMING,
        on_greeted=partial(take_greeting, context),
    )
    service = HttpService(
        reactor=reactor,
        handle=make_handler(context),
        limits=lambda: HttpLimits(body_bytes=MAX_BODY),
    )
    ports = [
        reactor.listenTCP(
            settings.link_port, LinkFactory(context.node), interface=settings.address
        ),
        reactor.listenTCP(
            settings.admin[1], HttpFactory(service), interface=settings.admin[0]
        ),
    ]
    if settings.metrics is not None:
        ports.append(serve_metrics(reactor, settings.metrics))

    settings.data_folder.mkdir(parents=True, exist_ok=True)
    open_member(context, began_at)
    for name in settings.controls:
        know_control(context, name)

    loop = LoopingCall(run_tick, context)
    loop.start(TICK)
    log_event("registry: Started", address=settings.address, found=settings.found)
    return RegistryDaemon(context, service, ports, loop)


def learn_controls(daemon: RegistryDaemon, settings: RegistrySettings) -> None:
    """Connect to controls that changed settings name beside those known."""
    for name in settings.controls:
        know_control(daemon.context, name)


def run_tick(context: RegistryContext) -> None:
    """Do what is due now; a duty that fails is logged, and the others go on.

    Failure: an error in one duty would end the loop. The process would look alive, yet
    take part in no election any more; with two disks lost there may be no majority.
    """
    now = context.clock()
    for duty in (tick_member, watch_rollouts, run_sharing):
        run_logged(partial(duty, context, now), "registry: Duty failed")
