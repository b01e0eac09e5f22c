"""Totals over gateways: load, retries and demand, as large for one as for hundreds."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from .engine_room import is_valid_demand
from .engine_room import is_valid_use
from .messages import FleetReport
from .messages import GatewayReport
from .messages import ServiceDemand
from .messages import ServiceRepeats
from .messages import UpstreamUse
from .messages import WorkspaceUse
from .retries import sum_retries


if TYPE_CHECKING:
    from collections.abc import Iterable


def make_total(report: GatewayReport, *, fresh: bool = True) -> FleetReport:
    """Return the totals of one gateway."""
    total = FleetReport(
        gateways=1,
        use=report.use,
        work=report.work,
        held=report.held,
        kept=report.kept,
        repeats=report.repeats,
        demand=report.demand,
        workspaces=report.workspaces,
    )
    return drop_stale_use(total, fresh=fresh)


def drop_stale_use(total: FleetReport, *, fresh: bool) -> FleetReport:
    """Return totals without the load at upstreams, unless they are fresh.

    The state that gateways have of a roll-out counts longer, as a gateway that is
    unresponsive for a moment must still delay the roll-out. So do retries, which were
    sent even if their sender has ended.
    """
    if fresh:
        return total

    return FleetReport(
        gateways=total.gateways,
        use=(),
        held=total.held,
        kept=total.kept,
        repeats=drop_requests(total.repeats),
    )


def drop_requests(parts: Iterable[ServiceRepeats]) -> tuple[ServiceRepeats, ...]:
    """Return counts of retries without the requests, which would allow more of them."""
    return tuple(
        ServiceRepeats(one.service, 0, one.repeats, one.drawn, former=one.former)
        for one in parts
        if one.repeats or one.former
    )


def sum_totals(totals: Iterable[FleetReport]) -> FleetReport:
    """Return the sum of several totals."""
    counted = [one for one in totals if one.gateways or one.repeats]
    return FleetReport(
        gateways=sum(one.gateways for one in counted),
        use=sum_use(use for one in counted for use in one.use),
        work=sum(one.work for one in counted),
        held=min((one.held for one in counted if one.gateways), default=-1),
        kept=tuple({place for one in counted for place in one.kept}),
        repeats=sum_retries(part for one in counted for part in one.repeats),
        demand=sum_demand(part for one in counted for part in one.demand or ()),
        workspaces=sum_workspaces(
            part for one in counted for part in one.workspaces or ()
        ),
    )


def sum_demand(
    parts: Iterable[ServiceDemand],
) -> tuple[ServiceDemand, ...] | msgspec.UnsetType:
    """Return the sum of the demand by service and rank; invalid parts are dropped."""
    total: dict[tuple[str, int], ServiceDemand] = {}
    for one in parts:
        if not is_valid_demand(one):
            continue

        key = (one.service, one.rank)
        held = total.get(key, ServiceDemand(*key, 0))
        total[key] = ServiceDemand(
            *key,
            held.requests + one.requests,
            held.waiting + one.waiting,
            held.freed + one.freed,
        )

    summed = tuple(total.values())
    return summed or msgspec.UNSET


def sum_workspaces(
    parts: Iterable[WorkspaceUse],
) -> tuple[WorkspaceUse, ...] | msgspec.UnsetType:
    """Return the sum of the use by workspace; invalid parts are dropped."""
    total: Counter[tuple[str, str]] = Counter()
    for one in parts:
        if is_valid_use(one):
            total[one.service, one.workspace] += one.running

    summed = tuple(WorkspaceUse(*key, count) for key, count in total.items())
    return summed or msgspec.UNSET


def has_invalid_demand(report: GatewayReport) -> bool:
    """Return whether a report holds demand or uses out of bounds."""
    return not (
        all(map(is_valid_demand, report.demand or ()))
        and all(map(is_valid_use, report.workspaces or ()))
    )


def sum_use(parts: Iterable[UpstreamUse]) -> tuple[UpstreamUse, ...]:
    """Return the sum of the load at each upstream."""
    running: dict[str, tuple[int, int, int]] = {}
    for part in parts:
        count, backlog, tokens = running.get(part.upstream, (0, 0, 0))
        running[part.upstream] = (
            count + part.running,
            backlog + part.backlog,
            tokens + part.tokens,
        )

    return tuple(
        UpstreamUse(upstream=name, running=count, backlog=backlog, tokens=tokens)
        for name, (count, backlog, tokens) in running.items()
    )
