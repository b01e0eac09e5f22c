"""Comparison of the engines of a service by the paces that gateways report."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from statistics import median
from typing import TYPE_CHECKING

from .engine_speeds import bound_factor
from .messages import EngineSpeed
from .pace_means import CHANGE
from .pace_means import sum_means


if TYPE_CHECKING:
    from collections.abc import Mapping

    from .pace_means import PaceTable


MIN_WEIGHT = 4.0
"""Samples, less those that have decayed, below which a mean is not compared."""
LIMIT = math.log(1.25)
"""Logarithm of the factor, or of its inverse, beyond which an engine is listed."""
RETURN_LIMIT = math.log(1.15)
"""Logarithm within which an engine is not listed any more. It is lower, as the factor
of an engine at the limit would else alternate between 1 and 1.25."""
NOISE = 2.0
"""Least logarithm of the factor for a mean of one sample. It falls with the square root
of the weight: four standard deviations for samples that differ by 40 %."""
RETURN_SECONDS = 3.0
"""Seconds for which an engine that is as fast as the others again is listed with the
factor 1, as gateways keep the factors of engines that are not listed."""
UNKNOWN_SECONDS = 30.0
"""Seconds without samples after which the factor of an engine is forgotten."""
MEANS_PER_SECOND = 20_000
"""Means that are compared in a second. One takes 1.5 us, so that comparisons take 30 ms
a second at most; those of up to 5,000 means are not delayed."""
LIST_SECONDS = 1.0
"""Seconds between lists of factors; those that change beyond ``CHANGE`` go at once."""

Engine = tuple[str, int]
"""Upstream and incarnation."""


@dataclass(slots=True)
class Deviation:
    """An engine that is slower or faster than the median one, or was."""

    log_factor: float
    known_at: float
    """Time of the last comparison with enough samples."""
    returned_at: float | None = None
    """Time since which it is as fast as the median one again."""
    sent: float = 0.0
    """The logarithm that was last sent to gateways."""


@dataclass(frozen=True, slots=True)
class SpeedChange:
    """An engine's factor that has passed a limit; None if it is not known any more."""

    engine: Engine
    factor: float | None


@dataclass(slots=True)
class DeviationTable:
    """Engines that are slower or faster than the median one of their service."""

    deviations: dict[Engine, Deviation] = field(default_factory=dict)
    compared_at: float = -math.inf
    """Time of the last comparison."""
    listed_at: float = -math.inf
    """Time of the last list of factors to gateways."""
    measured: frozenset[Engine] = frozenset()
    """Engines with enough samples at the last comparison."""


def compare_engines(
    paces: PaceTable, services: Mapping[Engine, str], now: float
) -> dict[Engine, tuple[float, float]]:
    """Return the logarithm of each engine's factor, and the weight behind it.

    ``services`` names the service of each engine in its present incarnation. Engines
    are compared only with those that ran the same model of the same service.
    """
    groups: dict[tuple[str, str], list[tuple[Engine, float, float]]] = defaultdict(list)
    for (upstream, incarnation, model), (weight, total) in sum_means(
        paces, now
    ).items():
        service = services.get((upstream, incarnation))
        if service is not None and weight >= MIN_WEIGHT:
            member = ((upstream, incarnation), weight, total / weight)
            groups[service, model].append(member)

    sums: dict[Engine, tuple[float, float]] = {}
    for members in groups.values():
        if len(members) < 2:
            continue

        middle = median(log_ms for _, _, log_ms in members)
        for engine, weight, log_ms in members:
            total, weights = sums.get(engine, (0.0, 0.0))
            sums[engine] = total + weight * (log_ms - middle), weights + weight

    return {
        engine: (total / weight, weight) for engine, (total, weight) in sums.items()
    }


def is_comparison_due(table: DeviationTable, paces: PaceTable, now: float) -> bool:
    """Return whether the engines may be compared again."""
    means = len(paces.own) + sum(len(one) for one in paces.others.values())
    return now - table.compared_at >= means / MEANS_PER_SECOND


def update_deviations(
    table: DeviationTable, paces: PaceTable, services: Mapping[Engine, str], now: float
) -> list[SpeedChange]:
    """Compare the engines; return those that have passed a limit or come back."""
    table.compared_at = now
    compared = compare_engines(paces, services, now)
    table.measured = frozenset(compared)
    changes = [
        change
        for engine, (log_factor, weight) in compared.items()
        if (change := update_deviation(table, engine, log_factor, weight, now))
    ]
    for engine, held in list(table.deviations.items()):
        is_forgotten = now - held.known_at > UNKNOWN_SECONDS
        if is_forgotten and held.returned_at is None:
            changes.append(SpeedChange(engine, None))

        has_returned = (
            held.returned_at is not None and now - held.returned_at > RETURN_SECONDS
        )
        if is_forgotten or has_returned or engine not in services:
            del table.deviations[engine]

    return changes


def update_deviation(
    table: DeviationTable, engine: Engine, log_factor: float, weight: float, now: float
) -> SpeedChange | None:
    """Store one engine's factor if it is beyond the limits; return a passed limit."""
    held = table.deviations.get(engine)
    size = abs(log_factor)
    was_beyond = held is not None and held.returned_at is None
    limit = RETURN_LIMIT if was_beyond else max(LIMIT, NOISE / math.sqrt(weight))
    if held is None and size <= limit:
        return None

    if held is None:
        held = table.deviations[engine] = Deviation(log_factor, now)

    has_turned = was_beyond and size > limit and held.log_factor * log_factor < 0
    held.known_at = now
    if size > limit:
        held.log_factor = log_factor
        held.returned_at = None
    elif held.returned_at is None:
        held.log_factor = 0.0
        held.returned_at = now

    if was_beyond == (size > limit) and not has_turned:
        return None

    return SpeedChange(engine, round(bound_factor(math.exp(log_factor)), 2))


def take_speeds(
    table: DeviationTable, now: float, tried: frozenset[Engine] = frozenset()
) -> tuple[EngineSpeed, ...]:
    """Return the factors for the attached gateways if they are due.

    An engine without enough samples at present is not listed: its factor ages. Those of
    ``tried`` that are as fast as others are listed too, with the factor 1.
    """
    listed = {
        engine: held
        for engine, held in table.deviations.items()
        if held.known_at >= now
    }
    is_changed = any(
        abs(held.log_factor - held.sent) >= CHANGE for held in listed.values()
    )
    if not is_changed and now - table.listed_at < LIST_SECONDS:
        return ()

    table.listed_at = now
    for held in listed.values():
        held.sent = held.log_factor

    even = (tried & table.measured) - table.deviations.keys()
    return (
        *(
            EngineSpeed(*engine, round(bound_factor(math.exp(held.log_factor)), 3))
            for engine, held in listed.items()
        ),
        *(EngineSpeed(*engine, 1.0) for engine in sorted(even)),
    )


def count_slow(table: DeviationTable) -> int:
    """Return the number of engines that are slower than the median one."""
    return sum(held.log_factor > 0 for held in table.deviations.values())
