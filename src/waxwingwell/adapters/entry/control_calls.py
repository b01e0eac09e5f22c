"""Calls from control processes to an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from ...messages import AskUpstreams
from ...messages import Drain
from ...messages import Draining
from ...messages import Failed
from ...messages import KnownUpstream
from ...messages import KnownUpstreams
from ...messages import Message
from ...messages import OrderPassed
from ...messages import OrderVersions
from ...state.fencing import accept_order
from ...state.leases import may_admit
from .upstream_client import AttemptError
from .upstream_client import UpstreamCall
from .upstream_client import discard_response
from .upstream_client import send_call


if TYPE_CHECKING:
    from collections.abc import Callable

    from .context import EntryContext


ORDER_PATH = "/v1/versions"
ORDER_TIMEOUT = 2.0
"""Seconds within which an engine must respond to an order."""


class EngineOrder(msgspec.Struct, frozen=True):
    """Desired state of an engine, with a fencing number, as sent to engines."""

    fencing: int
    versions: tuple[str, ...]


def handle_control_call(
    context: EntryContext, sender: str, body: Any, stop: Callable[[], None]
) -> Deferred[Message]:
    """Handle a control process's call; ``stop`` starts the planned stop."""
    if isinstance(body, AskUpstreams):
        return succeed(list_upstreams(context))

    if isinstance(body, OrderVersions):
        return Deferred.fromCoroutine(forward_order(context, body))

    if isinstance(body, Drain):
        logger.info("entry: {} requested a planned stop.", sender)
        context.reactor.callLater(0, stop)
        return succeed(Draining(running=context.running))

    reason = f"{type(body).__name__} from {sender}"
    return succeed(Failed(reason=reason, may_have_run=False))


async def forward_order(context: EntryContext, order: OrderVersions) -> Message:
    """Forward an order to an engine, unless a later leader is known.

    Otherwise a former leader that was partitioned could load a withdrawn version on
    an engine that ignores fencing numbers. An entry without a lease forwards nothing,
    and an entry with a lease knows the term of the current leader.
    """
    if not may_admit(context.lease, context.clock()):
        return OrderPassed(status=0, reason="this entry has no lease")

    row = context.tables.upstreams.get(order.upstream)
    if row is None or row.left:
        return OrderPassed(status=0, reason="the upstream is not known here")

    if not accept_order(context.fencing, order.upstream, order.fencing):
        return OrderPassed(status=0, reason="a later leader is in charge")

    body = EngineOrder(fencing=order.fencing, versions=tuple(order.versions))
    call = UpstreamCall(
        method="PUT",
        path=ORDER_PATH,
        request=f"order-{order.fencing}",
        priority="order",
        body=msgspec.json.encode(body),
        fencing=order.fencing,
    )
    try:
        response = await send_call(context, row, call, limit=ORDER_TIMEOUT)
    except AttemptError as error:
        return OrderPassed(status=0, reason=str(error))

    discard_response(response)
    return OrderPassed(status=response.code)


def list_upstreams(context: EntryContext) -> KnownUpstreams:
    """Return the upstreams as this entry's tables hold them."""
    now = context.clock()
    return KnownUpstreams(
        upstreams=tuple(
            KnownUpstream(
                announcement=row.announcement,
                lease_left=row.expires_at - now,
                left=row.left,
                ejected=row.ejected_until > now,
                in_flight=row.in_flight,
            )
            for row in context.tables.upstreams.values()
        ),
        running=context.running,
        draining=context.draining,
    )
