"""Ways by which a gateway comes to send a request to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.routing.factories import make_announcement
from waxwingwell.adapters.gateway.exchange import RETRY_DELAY_SECONDS
from waxwingwell.adapters.gateway.probing import probe_path
from waxwingwell.adapters.gateway.probing import record_unanswered
from waxwingwell.routing.fleet import apply_announcement

from .support import Gateway
from .support import make_chunk
from .support import make_gateway
from .support import make_stream_head


if TYPE_CHECKING:
    from collections.abc import Callable


PORTS = {name: make_announcement(name).port for name in ("u1", "u2", "u3")}
EVENT = make_chunk(b"id: 1\ndata: a\n\n")


def make_sole_gateway(*names: str, **route: object) -> Gateway:
    """Return a gateway that has the whole retry budget to itself."""
    gateway = make_gateway(*names, **route)
    gateway.context.load.others_at = 0.0
    return gateway


def add_upstream(gateway: Gateway, name: str) -> None:
    """Let another upstream announce itself."""
    announcement = make_announcement(name)
    apply_announcement(gateway.context.fleet, announcement, gateway.reactor.seconds())


def count_asked(gateway: Gateway, name: str) -> int:
    """Return the connections to an upstream."""
    return sum(one.port == PORTS[name] for one in gateway.upstreams)


def ask_first(gateway: Gateway) -> None:
    """Send a request."""
    gateway.ask()


def fail_over(gateway: Gateway) -> None:
    """Fail a request at the upstream of its choice."""
    gateway.ask()
    gateway.upstreams[-1].refuse()


def reset_stream(gateway: Gateway) -> None:
    """Reset a stream that has begun at the upstream of its choice."""
    gateway.ask()
    upstream = gateway.upstreams[-1]
    upstream.accept()
    upstream.respond(make_stream_head() + EVENT)
    upstream.reset()
    gateway.reactor.advance(RETRY_DELAY_SECONDS)


def be_unsure(gateway: Gateway) -> None:
    """Get a response of low confidence from the upstream of its choice."""
    gateway.ask(X_Model="*")
    upstream = gateway.upstreams[-1]
    upstream.accept()
    upstream.respond(make_stream_head("X-Confidence: 0.1"))


def hear_no_heartbeats(gateway: Gateway) -> None:
    """Send a request while all upstreams seem to be silent."""
    gateway.context.heartbeats_at = 1_000.0
    gateway.ask()


def probe_upstreams(gateway: Gateway) -> None:
    """Probe the path to the upstreams."""
    for name in ("u1", "u2"):
        record_unanswered(gateway.context, name, gateway.reactor.seconds())

    probe_path(gateway.context)


PATHS: tuple[tuple[str, Callable[[Gateway], None], dict[str, object]], ...] = (
    ("first attempt", ask_first, {}),
    ("failover", fail_over, {}),
    ("resumed stream", reset_stream, {}),
    ("larger model", be_unsure, {"models": ("small", "large")}),
    ("no heartbeats", hear_no_heartbeats, {}),
)
"""Names, actions of a gateway with some upstreams, and fields of its route."""
