"""What is measured of one simulated run, and medians over seeds."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from ..records import Priority


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from .world import Seen
    from .world import World


@dataclass(frozen=True, slots=True)
class Measures:
    """Figures of one run between its warm-up and its end; seconds and shares."""

    first_p50: float
    first_p95: float
    first_p99: float
    order_first_p99: float
    order_p99: float
    """Whole answers of orders, from the caller's first attempt."""
    goodput: float
    """Answer tokens a second of whole answers that began within the patience."""
    answers: float
    """Whole answers a second."""
    refused: float
    """Share of requests that ended with a refusal, a failure or in vain."""
    order_refused: float
    report_refused: float
    sends: float
    """Dispatches to engines for each request."""
    read_share: float
    """Prompt tokens read over prompt tokens asked: what caching did not save."""
    remote_share: float
    """Share of dispatches that crossed to another data centre."""


def measure_run(world: World, warm_up: float, end: float) -> Measures:
    """Return the figures of a run that has ended."""
    seen = [one for one in world.seen if one.request.at >= warm_up]
    firsts = list_firsts(seen)
    orders = [one for one in seen if has_priority(one, Priority.ORDER)]
    reports = [one for one in seen if has_priority(one, Priority.REPORT)]
    done = [
        one
        for one in world.seen
        if one.outcome == "done" and warm_up <= one.ended_at <= end
    ]
    span = end - warm_up
    engines = world.engines.values()
    asked = sum(engine.asked_tokens for engine in engines)
    return Measures(
        first_p50=pick_quantile(firsts, 0.5),
        first_p95=pick_quantile(firsts, 0.95),
        first_p99=pick_quantile(firsts, 0.99),
        order_first_p99=pick_quantile(list_firsts(orders), 0.99),
        order_p99=pick_quantile(
            [one.ended_at - one.request.at for one in orders if one.outcome == "done"],
            0.99,
        ),
        goodput=sum(one.request.answer for one in done) / span,
        answers=len(done) / span,
        refused=count_unserved(seen),
        order_refused=count_unserved(orders),
        report_refused=count_unserved(reports),
        sends=sum(one.sends for one in seen) / max(len(seen), 1),
        read_share=sum(engine.read_tokens for engine in engines) / max(asked, 1),
        remote_share=world.remote_sends / max(world.numbers, 1),
    )


def has_priority(seen: Seen, priority: Priority) -> bool:
    """Return whether a request has this priority."""
    return seen.request.work.priority is priority


def list_firsts(seen: Iterable[Seen]) -> list[float]:
    """Return the seconds to the first token of those that saw one."""
    return [one.first_at - one.request.at for one in seen if one.first_at]


def count_unserved(seen: Sequence[Seen]) -> float:
    """Return the share that ended without an answer."""
    bad = sum(1 for one in seen if one.outcome in ("refused", "failed", "abandoned"))
    return bad / max(len(seen), 1)


def pick_quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; 0 for none."""
    if not values:
        return 0.0

    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


@dataclass(frozen=True, slots=True)
class Spread:
    """A figure over all seeds: its median and its worst."""

    median: float
    worst: float


def spread_values(values: Sequence[float], *, higher_is_better: bool = False) -> Spread:
    """Return the median of a figure over seeds and the worst seed's."""
    worst = min(values) if higher_is_better else max(values)
    return Spread(median(values), worst)
