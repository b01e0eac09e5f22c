"""Orders to engines: which versions each should hold, reconciled by the leader.

Orders are desired state and are sent again until the engine reports that state.
Routing never assumes that an order was carried out: only versions that an engine
announces receive requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from ...decisions.loading import Loading
from ...decisions.loading import LoadOrder
from ...decisions.loading import plan_loads
from ...decisions.tables import Tables
from ...decisions.tables import UpstreamRow
from ...messages import KnownUpstreams
from ...messages import OrderPassed
from ...messages import OrderVersions
from ...state.group import term_of
from ...state.leases import earlier_leases_expired
from ..exceptions import LinkError
from .entries import ask_entries
from .entries import list_entries
from .service import get_leases


if TYPE_CHECKING:
    from .context import ControlContext
    from .order_book import OrderBook


ORDER_TIMEOUT = 4.0
"""Seconds within which an entry must forward an order and reply."""


async def reconcile_orders(context: ControlContext, book: OrderBook) -> None:
    """Compare the versions that engines hold with those wanted, and send orders.

    The leader first waits until the leases granted by an earlier leader have expired,
    so that no entry remains that would forward that leader's orders.
    """
    if book.busy or not may_order(context):
        return

    book.busy = True
    try:
        replies = await ask_entries(context)
        if may_order(context):
            await _send_orders(context, book, replies)
    finally:
        book.busy = False


def may_order(context: ControlContext) -> bool:
    """Return whether this process may send orders at this moment."""
    now = context.clock()
    leases = get_leases(context, now)
    return leases is not None and earlier_leases_expired(leases, now)


async def _send_orders(
    context: ControlContext, book: OrderBook, replies: dict[str, KnownUpstreams]
) -> None:
    term = term_of(context.group)
    if book.term != term:
        book.term, book.loading = term, Loading()

    tables = make_tables(context, replies)
    orders = plan_loads(tables, book.loading, book.store, context.clock())
    for order in orders:
        # Leadership may have been lost while waiting for a reply.
        if not may_order(context) or term_of(context.group) != term:
            return

        await _send_order(context, order, term, replies)


async def _send_order(
    context: ControlContext,
    order: LoadOrder,
    term: int,
    replies: dict[str, KnownUpstreams],
) -> None:
    entry = _find_entry(order, replies)
    protocol = list_entries(context).get(entry)
    if protocol is None:
        return

    message = OrderVersions(
        upstream=order.upstream, versions=order.versions, fencing=term
    )
    try:
        reply = await protocol.call(message, timeout=ORDER_TIMEOUT)
    except LinkError as error:
        logger.info("orders: {} not reached: {}.", order.upstream, error)
        return

    if isinstance(reply, OrderPassed) and reply.status != 200:
        logger.info(
            "orders: Order for {} was not accepted: {} {}.",
            order.upstream,
            reply.status,
            reply.reason,
        )


def make_tables(context: ControlContext, replies: dict[str, KnownUpstreams]) -> Tables:
    """Return tables of the configuration and of the upstreams known to entries."""
    now = context.clock()
    config = context.holder.state.config
    tables = Tables(
        config_version=config.config_version,
        workspaces=dict(config.workspaces),
        versions=dict(config.versions),
        rollouts=dict(config.rollouts),
    )
    for reply in replies.values():
        for item in reply.upstreams:
            known = tables.upstreams.get(item.announcement.upstream)
            expires_at = now + item.lease_left
            if known is None or expires_at > known.expires_at:
                tables.upstreams[item.announcement.upstream] = UpstreamRow(
                    announcement=item.announcement,
                    expires_at=expires_at,
                    heard_at=now,
                    left=item.left,
                )

    return tables


def _find_entry(order: LoadOrder, replies: dict[str, KnownUpstreams]) -> str:
    """Return an entry that knows the upstream."""
    for name, reply in replies.items():
        if any(
            item.announcement.upstream == order.upstream for item in reply.upstreams
        ):
            return name

    return ""
