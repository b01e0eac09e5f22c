"""The registry daemon: runs one control of the routing group."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import LoopingCall

from ...routing.reports import start_counting
from ..bounded_ports import listen_bounded
from ..clock import read_boot
from ..clock import read_clock
from ..events import log_event
from ..events import run_logged
from ..http.budget import make_budget
from ..http.records import HttpLimits
from ..http.server import HttpFactory
from ..http.server import HttpService
from ..http.turns import TurnQueue
from ..links import ROUTING_TIMING
from ..links import LinkFactory
from ..links import LinkHandlers
from ..links import LinkNode
from ..metrics_listener import serve_metrics
from .checkpoints import load_checkpoints
from .context import RegistryBody
from .context import RegistryContext
from .hub import connect_control
from .hub import handle_call
from .hub import handle_cast
from .hub import handle_connection
from .hub import run_sharing
from .members import open_member
from .members import tick_member
from .operators import serve_operators
from .rollouts import watch_rollouts


if TYPE_CHECKING:
    from collections.abc import Callable

    from ...routing.sources import KeyCheck
    from ..http.records import HttpRequest
    from ..http.responder import Responder
    from .settings import RegistrySettings


TICK_SECONDS = 0.05
"""Seconds between runs of the periodic tasks; elections take over ten times as long."""
MAX_BODY_BYTES = 8 << 20
"""Most bytes in the body of a request to the admin port."""


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
    requires_key: KeyCheck,
    started_at: float | None = None,
) -> RegistryDaemon:
    """Open the ports and the data folder; raises ``CannotListenError``.

    ``requires_key`` tells whether a document requires keys by the bytes that its
    operator sent. ``started_at`` is the start of the process by its monotonic clock;
    the default is the present time.
    """
    context = RegistryContext(
        settings=settings,
        reactor=reactor,
        clock=read_clock,
        wall_clock=time.time,
        requires_key=requires_key,
        boot=read_boot(),
    )
    context.reports.name = settings.address
    context.reports.retry_window = settings.retry_window
    start_counting(context.reports, context.clock())
    held = make_budget(settings.memory_bytes)
    turns = TurnQueue()
    context.node = LinkNode(
        name=settings.address,
        reactor=reactor,
        handlers=LinkHandlers(
            handle_call=partial(handle_call, context),
            handle_cast=partial(handle_cast, context),
            body_type=RegistryBody,
        ),
        timing=ROUTING_TIMING,
        on_greeted=partial(handle_connection, context),
        held=held,
    )
    service = HttpService(
        reactor=reactor,
        handle=serve_operators(context, make_handler(context)),
        limits=lambda: HttpLimits(body_bytes=MAX_BODY_BYTES),
        held=held,
        turns=turns,
    )
    link_address = (settings.address, settings.link_port)
    ports = [
        listen_bounded(reactor, link_address, LinkFactory(context.node), held),
        listen_bounded(reactor, settings.admin, HttpFactory(service), held),
    ]
    if settings.metrics is not None:
        ports.append(serve_metrics(reactor, settings.metrics, held, turns))

    settings.data_folder.mkdir(parents=True, exist_ok=True)
    load_checkpoints(context, started_at or context.clock())
    open_member(context, started_at)
    for name in settings.controls:
        connect_control(context, name)

    loop = LoopingCall(run_tick, context)
    loop.start(TICK_SECONDS)
    log_event("registry: Started", address=settings.address, found=settings.first_start)
    return RegistryDaemon(context, service, ports, loop)


def connect_controls(daemon: RegistryDaemon, settings: RegistrySettings) -> None:
    """Connect to controls that are new in reloaded settings."""
    for name in settings.controls:
        connect_control(daemon.context, name)


def run_tick(context: RegistryContext) -> None:
    """Run the periodic tasks; an error in one is logged and the others still run.

    An error that ended the loop would leave a process that seems alive but takes part
    in no election; with two disks lost there may then be no majority.
    """
    now = context.clock()
    for task in (tick_member, watch_rollouts, run_sharing):
        run_logged(partial(task, context, now), "registry: Periodic task failed")
