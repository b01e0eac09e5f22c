"""What a control process asks of the entries that are connected to it."""

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
"""Seconds that one entry may take to answer."""


def list_entries(context: ControlContext) -> dict[str, LinkProtocol]:
    """Return the connections of the entries, by name."""
    members = {member.node for member in context.settings.members}
    return {
        protocol.remote: protocol
        for protocol in context.accepted
        if protocol.remote and protocol.remote not in members
    }


async def ask_entries(context: ControlContext) -> dict[str, KnownUpstreams]:
    """Ask every connected entry for what it knows; silent ones are left out."""
    entries = list_entries(context)
    asked = [
        protocol.call(AskUpstreams(), timeout=ASK_TIMEOUT)
        for protocol in entries.values()
    ]
    answers = await DeferredList(asked, consumeErrors=True)
    return {
        name: answer
        for name, (good, answer) in zip(entries, answers, strict=True)
        if good and isinstance(answer, KnownUpstreams)
    }


async def gather_upstreams(context: ControlContext) -> list[UpstreamView]:
    """Return the upstreams as the entries know them, the newest word of each."""
    newest: dict[str, KnownUpstream] = {}
    running: dict[str, int] = {}
    for answer in (await ask_entries(context)).values():
        for item in answer.upstreams:
            name = item.announcement.upstream
            running[name] = running.get(name, 0) + item.in_flight
            present = newest.get(name)
            if present is None or _rank(item) > _rank(present):
                newest[name] = item

    return [make_view(item, running[name]) for name, item in sorted(newest.items())]


def make_view(item: KnownUpstream, running: int) -> UpstreamView:
    """Return one upstream as the administration API shows it."""
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
    """Tell an entry to stop gracefully; false if it can't be reached from here."""
    protocol = list_entries(context).get(node)
    if protocol is None:
        return False

    try:
        answer = await protocol.call(Drain(), timeout=ASK_TIMEOUT)
    except LinkError:
        return False

    return isinstance(answer, Draining)


def _rank(item: KnownUpstream) -> tuple[int, int]:
    return item.announcement.incarnation, item.announcement.sequence
