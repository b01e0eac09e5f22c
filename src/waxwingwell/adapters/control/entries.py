"""Calls from a control process to the entries connected to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import DeferredList

from ...messages import AskUpstreams
from ...messages import Drain
from ...messages import Draining
from ...messages import KnownUpstream
from ...messages import KnownUpstreams
from ..admin_views import UpstreamView
from ..exceptions import LinkError


if TYPE_CHECKING:
    from ..links import LinkProtocol
    from .context import ControlContext


ASK_TIMEOUT = 1.0
"""Seconds within which an entry must reply."""


def list_entries(context: ControlContext) -> dict[str, LinkProtocol]:
    """Return the entries' connections by entry name."""
    members = {member.node for member in context.settings.members}
    return {
        protocol.remote: protocol
        for protocol in context.accepted
        if protocol.remote and protocol.remote not in members
    }


async def ask_entries(context: ControlContext) -> dict[str, KnownUpstreams]:
    """Ask every connected entry for its upstreams; omit those that don't reply."""
    entries = list_entries(context)
    asked = [
        protocol.call(AskUpstreams(), timeout=ASK_TIMEOUT)
        for protocol in entries.values()
    ]
    replies = await DeferredList(asked, consumeErrors=True)
    return {
        name: reply
        for name, (succeeded, reply) in zip(entries, replies, strict=True)
        if succeeded and isinstance(reply, KnownUpstreams)
    }


async def gather_upstreams(context: ControlContext) -> list[UpstreamView]:
    """Return the upstreams known to the entries, by their newest announcements."""
    newest: dict[str, KnownUpstream] = {}
    running: dict[str, int] = {}
    for reply in (await ask_entries(context)).values():
        for item in reply.upstreams:
            name = item.announcement.upstream
            running[name] = running.get(name, 0) + item.in_flight
            known = newest.get(name)
            if known is None or _sort_key(item) > _sort_key(known):
                newest[name] = item

    return [make_view(item, running[name]) for name, item in sorted(newest.items())]


def make_view(item: KnownUpstream, running: int) -> UpstreamView:
    """Return the administration API's view of an upstream."""
    announcement = item.announcement
    load = announcement.load
    return UpstreamView(
        upstream=announcement.upstream,
        kind=announcement.kind,
        data_centre=announcement.data_centre,
        address=f"{announcement.host}:{announcement.port}",
        lease_left=round(item.lease_left, 3),
        versions=tuple(announcement.versions),
        service=announcement.service,
        capacity=announcement.capacity,
        running=running,
        queued=load.queued if load is not None else 0,
        leaving=announcement.leaving or item.left,
        ejected=item.ejected,
    )


async def drain_entry(context: ControlContext, node: str) -> bool:
    """Ask an entry to stop gracefully; return false if it can't be reached."""
    protocol = list_entries(context).get(node)
    if protocol is None:
        return False

    try:
        reply = await protocol.call(Drain(), timeout=ASK_TIMEOUT)
    except LinkError:
        return False

    return isinstance(reply, Draining)


def _sort_key(item: KnownUpstream) -> tuple[int, int]:
    return item.announcement.incarnation, item.announcement.sequence
