"""Queued requests whose route, service or key a new document withdraws."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...routing.lookup import find_route
from ...routing.lookup import must_have_key
from ..events import run_logged
from ..metrics import QUEUE_REFUSALS
from .arrivals import identify_workspace
from .arrivals import read_host
from .endings import RETRY_AFTER
from .endings import record_end
from .endings import retry_after


if TYPE_CHECKING:
    from ...routing.lookup import DocumentIndex
    from .context import GatewayContext
    from .exchange import Exchange


def refuse_withdrawn(context: GatewayContext) -> None:
    """Refuse the queued requests that the document in force does not allow."""
    index = context.index
    if index is None:
        return

    queued = [
        one for queue in context.queues.services.values() for one in queue.waiting
    ]
    for exchange in queued:
        status, reason = check_withdrawn(index, exchange)
        if status:
            QUEUE_REFUSALS.labels("withdrawn").inc()
            end = partial(refuse_exchange, exchange, status, reason)
            run_logged(end, "gateway: Could not refuse a queued request")


def check_withdrawn(index: DocumentIndex, exchange: Exchange) -> tuple[int, str]:
    """Return the status and reason of a refusal; status 0 if there is none.

    A route whose service is another now is served as soon as its caller retries.
    """
    version = index.document.version
    target = exchange.request.target.decode("latin-1")
    route = find_route(index, read_host(exchange.request), target)
    if route is None:
        return 404, f"no matching route in document {version}"

    workspace = identify_workspace(index, route, exchange.facts)
    if workspace is None and must_have_key(index, route):
        return 401, f"unknown key in document {version}"

    if exchange.find_service() not in index.services:
        return 503, f"the service is not in document {version}"

    return 0, ""


def refuse_exchange(exchange: Exchange, status: int, reason: str) -> None:
    """Refuse a queued request."""
    headers = [retry_after(RETRY_AFTER)] if status == 503 else []
    exchange.responder.send(status, headers)
    record_end(exchange, "refused", status, exchange.context.clock(), reason)
