"""Measurements of one simulated run, and their medians over seeds."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from ..records import Priority


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from .world import RequestRecord
    from .world import World


@dataclass(frozen=True, slots=True)
class Measures:
    """Figures of one run between its warm-up and its end; seconds and shares."""

    first_p50: float
    first_p95: float
    first_p99: float
    order_first_p99: float
    order_p99: float
    """Seconds from the caller's first attempt to the complete response of an order."""
    goodput: float
    """Output tokens a second of complete responses; a call whose first token comes
    too late for its caller is abandoned and does not count."""
    answers: float
    """Complete responses a second."""
    refused: float
    """Share of requests that were refused, failed or abandoned by the caller."""
    order_refused: float
    report_refused: float
    sends: float
    """Dispatches to engines for each request."""
    read_share: float
    """Prefilled prompt tokens over all prompt tokens: the share missed by caches."""
    remote_share: float
    """Share of dispatches to another data centre."""


def measure_run(world: World, warm_up: float, end: float) -> Measures:
    """Return the figures of a finished run."""
    records = [one for one in world.records if one.request.at >= warm_up]
    first_token_seconds = list_first_token_seconds(records)
    orders = [one for one in records if has_priority(one, Priority.ORDER)]
    reports = [one for one in records if has_priority(one, Priority.REPORT)]
    done = [
        one
        for one in world.records
        if one.outcome == "done" and warm_up <= one.ended_at <= end
    ]
    span = end - warm_up
    engines = world.engines.values()
    requested = sum(engine.requested_tokens for engine in engines)
    return Measures(
        first_p50=pick_quantile(first_token_seconds, 0.5),
        first_p95=pick_quantile(first_token_seconds, 0.95),
        first_p99=pick_quantile(first_token_seconds, 0.99),
        order_first_p99=pick_quantile(list_first_token_seconds(orders), 0.99),
        order_p99=pick_quantile(
            [one.ended_at - one.request.at for one in orders if one.outcome == "done"],
            0.99,
        ),
        goodput=sum(one.request.output_tokens for one in done) / span,
        answers=len(done) / span,
        refused=compute_unserved_share(records),
        order_refused=compute_unserved_share(orders),
        report_refused=compute_unserved_share(reports),
        sends=sum(one.sends for one in records) / max(len(records), 1),
        read_share=sum(engine.prefilled_tokens for engine in engines)
        / max(requested, 1),
        remote_share=world.remote_dispatches / max(world.dispatches, 1),
    )


def has_priority(record: RequestRecord, priority: Priority) -> bool:
    """Return whether a request has this priority."""
    return record.request.work.priority is priority


def list_first_token_seconds(records: Iterable[RequestRecord]) -> list[float]:
    """Return the seconds to the first token, for requests that got one."""
    return [one.first_at - one.request.at for one in records if one.first_at]


def compute_unserved_share(records: Sequence[RequestRecord]) -> float:
    """Return the share of requests that ended without a response."""
    bad = sum(1 for one in records if one.outcome in ("refused", "failed", "abandoned"))
    return bad / max(len(records), 1)


def pick_quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; 0 for none."""
    if not values:
        return 0.0

    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


@dataclass(frozen=True, slots=True)
class Spread:
    """The median and the worst value of a figure over all seeds."""

    median: float
    worst: float


def spread_values(values: Sequence[float], *, higher_is_better: bool = False) -> Spread:
    """Return the median of a figure over seeds and the worst seed's."""
    worst = min(values) if higher_is_better else max(values)
    return Spread(median(values), worst)
