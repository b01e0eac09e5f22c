"""Orders to engines: which versions each should hold, reconciled by the leader.

Orders are desired state, sent again until the engine reports it. Routing never
trusts that an order was obeyed: only versions that an engine announces get work.
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
from ...state.leases import knows_all_leases
from ..exceptions import LinkError
from .entries import ask_entries
from .entries import list_entries
from .service import get_leases


if TYPE_CHECKING:
    from .context import ControlContext
    from .order_book import OrderBook


ORDER_TIMEOUT = 4.0
"""Seconds that an entry may take to pass an order on."""


async def reconcile_orders(context: ControlContext, book: OrderBook) -> None:
    """Compare what engines hold with what they should, and send the orders.

    The leader first waits out the leases that an earlier leader granted, so that no
    entry is left that would pass an earlier leader's orders on.
    """
    if book.busy or not may_order(context):
        return

    book.busy = True
    try:
        answers = await ask_entries(context)
        if may_order(context):
            await _send_orders(context, book, answers)
    finally:
        book.busy = False


def may_order(context: ControlContext) -> bool:
    """Tell whether this process may give orders at this moment."""
    now = context.clock()
    leases = get_leases(context, now)
    return leases is not None and knows_all_leases(leases, now)


async def _send_orders(
    context: ControlContext, book: OrderBook, answers: dict[str, KnownUpstreams]
) -> None:
    term = term_of(context.group)
    if book.term != term:
        book.term, book.loading = term, Loading()

    tables = make_tables(context, answers)
    orders = plan_loads(tables, book.loading, book.store, context.clock())
    for order in orders:
        # Each wait may have cost the leadership.
        if not may_order(context) or term_of(context.group) != term:
            return

        await _send_order(context, order, term, answers)


async def _send_order(
    context: ControlContext,
    order: LoadOrder,
    term: int,
    answers: dict[str, KnownUpstreams],
) -> None:
    entry = _find_entry(order, answers)
    protocol = list_entries(context).get(entry)
    if protocol is None:
        return

    message = OrderVersions(
        upstream=order.upstream, versions=order.versions, fencing=term
    )
    try:
        answer = await protocol.call(message, timeout=ORDER_TIMEOUT)
    except LinkError as error:
        logger.info("orders: {} not reached: {}.", order.upstream, error)
        return

    if isinstance(answer, OrderPassed) and answer.status != 200:
        logger.info(
            "orders: {} did not take its order: {} {}.",
            order.upstream,
            answer.status,
            answer.reason,
        )


def make_tables(context: ControlContext, answers: dict[str, KnownUpstreams]) -> Tables:
    """Return tables with the configuration and the upstreams that entries know."""
    now = context.clock()
    config = context.holder.state.config
    tables = Tables(
        config_version=config.config_version,
        workspaces=dict(config.workspaces),
        versions=dict(config.versions),
        rollouts=dict(config.rollouts),
    )
    for answer in answers.values():
        for item in answer.upstreams:
            present = tables.upstreams.get(item.announcement.upstream)
            expires_at = now + item.lease_left
            if present is None or expires_at > present.expires_at:
                tables.upstreams[item.announcement.upstream] = UpstreamRow(
                    announcement=item.announcement,
                    expires_at=expires_at,
                    heard_at=now,
                    left=item.left,
                )

    return tables


def _find_entry(order: LoadOrder, answers: dict[str, KnownUpstreams]) -> str:
    """Return an entry that knows the upstream."""
    for name, answer in answers.items():
        if any(
            item.announcement.upstream == order.upstream for item in answer.upstreams
        ):
            return name

    return ""
