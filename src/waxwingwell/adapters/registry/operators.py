"""Calls of operators to a registry that no adapter translates."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import unquote

from ...routing.messages import Accepted
from ...routing.messages import RoutingNow
from ..admin_paths import API
from ..admin_paths import EVACUATIONS
from ..admin_paths import QUARANTINE
from ..admin_views import ErrorView
from ..admin_views import EvacuationsView
from .api import Refused
from .api import order_evacuation
from .api import read_newest
from .quarantine import handle_quarantine
from .responses import send_view


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..http.records import HttpRequest
    from ..http.responder import Responder
    from .context import RegistryContext


ORDER_METHODS = {"POST": True, "DELETE": False}
"""Whether an order with a method evacuates a data centre or withdraws that."""


def serve_operators(
    context: RegistryContext, handle: Callable[[HttpRequest, Responder], None]
) -> Callable[[HttpRequest, Responder], None]:
    """Return a handler that serves operators, and passes on other requests."""

    def serve(request: HttpRequest, responder: Responder) -> None:
        path = request.target.decode("latin-1").partition("?")[0]
        method = request.method.decode("latin-1")
        if path == API + QUARANTINE:
            handle_quarantine(context, method, request.body.join(), responder)
            return

        prefix = API + EVACUATIONS
        if path != prefix and not path.startswith(prefix + "/"):
            handle(request, responder)
            return

        name = path.removeprefix(prefix)
        handle_evacuations(context, method, name, request.body.join(), responder)

    return serve


def handle_evacuations(
    context: RegistryContext,
    method: str,
    name: str,
    body: bytes,
    responder: Responder,
) -> None:
    """Handle a call to the evacuations.

    ``name`` is the rest of the path: empty for the list of evacuated data centres, or a
    slash and the quoted name of a data centre to evacuate or to take back.
    """
    data_centre = unquote(name.removeprefix("/"))
    allowed = tuple(ORDER_METHODS) if data_centre else ("GET",)
    if method not in allowed:
        message = f"method {method}: this path accepts {', '.join(allowed)}"
        header = (b"Allow", ", ".join(allowed).encode())
        send_view(responder, 405, ErrorView(message), header)
    elif body:
        send_view(responder, 400, ErrorView("body: the call must have none"))
    elif not data_centre:
        read_newest(context).addCallback(send_evacuations, responder)
    else:
        ordered = order_evacuation(
            context,
            data_centre,
            active=ORDER_METHODS[method],
            is_abandoned=lambda: responder.ended,
        )
        ordered.addCallback(send_order_outcome, responder)


def send_order_outcome(outcome: Any, responder: Responder) -> None:
    """Send the outcome of an order, unless its operator has disconnected."""
    if responder.ended:
        return

    if isinstance(outcome, Accepted):
        send_view(responder, 200, {})
    elif isinstance(outcome, Refused):
        error = "; ".join(f"{one.place}: {one.message}" for one in outcome.findings)
        send_view(responder, 400, ErrorView(error, findings=outcome.findings))
    else:
        send_view(responder, 503, ErrorView(outcome.reason))


def send_evacuations(outcome: Any, responder: Responder) -> None:
    """Send the names of the evacuated data centres."""
    if not isinstance(outcome, RoutingNow):
        send_view(responder, 503, ErrorView(outcome.reason))
        return

    names = sorted(one.data_centre for one in outcome.evacuations if one.active)
    send_view(responder, 200, EvacuationsView(tuple(names)))
