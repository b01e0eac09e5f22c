"""HTTP listener for the metrics of a gateway or registry, in Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from .bounded_ports import listen_bounded
from .http.records import WITHOUT_BODIES
from .http.server import HttpFactory
from .http.server import HttpService
from .metrics import REGISTRY


if TYPE_CHECKING:
    from .http.budget import Budget
    from .http.records import HttpRequest
    from .http.responder import Responder
    from .http.turns import TurnQueue


PATH = b"/metrics"


def send_metrics(request: HttpRequest, responder: Responder) -> None:
    """Send all metrics as text."""
    if request.target.partition(b"?")[0] != PATH:
        responder.send(404, [])
        return

    kind = (b"Content-Type", CONTENT_TYPE_LATEST.encode())
    responder.send(200, [kind], generate_latest(REGISTRY))


def serve_metrics(
    reactor: Any, address: tuple[str, int], held: Budget, turns: TurnQueue
) -> Any:
    """Listen for requests for the metrics; errors: ``CannotListenError``.

    ``held`` and ``turns`` are those of the process.
    """
    service = HttpService(
        reactor=reactor,
        handle=send_metrics,
        limits=lambda: WITHOUT_BODIES,
        held=held,
        turns=turns,
    )
    return listen_bounded(reactor, address, HttpFactory(service), held)
