"""Means of the paces that gateways report, at a control.

Each control keeps decaying means of the logarithms of the paces that its own gateways
report, and the latest means of the other controls. A mean that is received replaces the
former one of the same control, so that a message that is lost or repeated changes
nothing for longer than a second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .engine_paces import MAX_SAMPLES
from .engine_paces import PaceKey
from .engine_paces import is_valid_pace
from .engine_speeds import MAX_FACTOR
from .messages import EnginePace


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping


DECAY_SECONDS = 1.0
"""Time constant of the means. A longer one tells later of an engine that turns slow."""
FORGOTTEN_WEIGHT = 0.5
"""Weight below which a mean is dropped."""
MAX_CHANGE = math.log(MAX_FACTOR)
"""Largest difference of a report from the mean that counts, in logarithms."""
MAX_MEANS = 20_000
"""Engines and models of which one control keeps means."""
DROP_SECONDS = 1.0
"""Seconds between searches for means that have decayed."""
RESEND_SECONDS = 1.0
"""Seconds after which a mean with new samples is sent to the other controls again."""
CHANGE = 0.2
"""Change of the logarithm of a mean with which it is sent at once."""


@dataclass(slots=True)
class PaceMean:
    """Decaying mean of the logarithm of milliseconds."""

    weight: float
    log_ms: float
    at: float
    """Time for which the weight holds."""


@dataclass(slots=True)
class PaceTable:
    """What a control knows of the engines' paces."""

    own: dict[PaceKey, PaceMean] = field(default_factory=dict)
    """Means of what the attached gateways have reported."""
    others: dict[str, dict[PaceKey, PaceMean]] = field(default_factory=dict)
    """Latest means of the other controls, by control."""
    unsent: set[PaceKey] = field(default_factory=set)
    """Own means with samples since they were last sent to the other controls."""
    sent: dict[PaceKey, PaceMean] = field(default_factory=dict)
    """Own means as they were last sent; ``at`` is the time of that."""
    dropped_at: float = -math.inf
    """Time of the last search for means that have decayed."""
    invalid: int = 0
    """Paces that were dropped as invalid, and not logged yet."""


def decay_weight(mean: PaceMean, now: float) -> float:
    """Return the weight that a mean has now."""
    return mean.weight * math.exp(min(mean.at - now, 0.0) / DECAY_SECONDS)


def receive_paces(table: PaceTable, paces: Iterable[EnginePace], now: float) -> None:
    """Add the paces that an attached gateway has reported."""
    for one in paces:
        key = (one.upstream, one.incarnation, one.model)
        mean = table.own.get(key)
        if not is_valid_pace(one) or (mean is None and len(table.own) >= MAX_MEANS):
            table.invalid += 1
            continue

        count = min(one.count, MAX_SAMPLES)
        table.unsent.add(key)
        if mean is None:
            table.own[key] = PaceMean(count, math.log(one.ms), now)
            continue

        change = math.log(one.ms) - mean.log_ms
        change = min(max(change, -MAX_CHANGE), MAX_CHANGE)
        mean.weight = decay_weight(mean, now) + count
        mean.log_ms += change * count / mean.weight
        mean.at = now


def receive_shared_paces(
    table: PaceTable, control: str, paces: Iterable[EnginePace], now: float
) -> None:
    """Replace means by those that another control has sent."""
    means = table.others.setdefault(control, {})
    for one in paces:
        key = (one.upstream, one.incarnation, one.model)
        if not is_valid_pace(one) or (key not in means and len(means) >= MAX_MEANS):
            table.invalid += 1
            continue

        means[key] = PaceMean(one.count, math.log(one.ms), now)


def take_shared_paces(table: PaceTable, now: float) -> tuple[EnginePace, ...]:
    """Return the means that are due for the other controls, and record them as sent."""
    due = [key for key in table.unsent if is_due(table, key, now)]
    table.unsent.difference_update(due)
    for key in due:
        table.sent[key] = PaceMean(0.0, table.own[key].log_ms, now)

    return describe_means(table, due, now)


def is_due(table: PaceTable, key: PaceKey, now: float) -> bool:
    """Return whether an own mean has to be sent to the other controls."""
    sent = table.sent.get(key)
    if sent is None or now - sent.at >= RESEND_SECONDS:
        return True

    return abs(table.own[key].log_ms - sent.log_ms) >= CHANGE


def list_shared_paces(table: PaceTable, now: float) -> tuple[EnginePace, ...]:
    """Return all own means, for a control that has just connected."""
    return describe_means(table, table.own, now)


def describe_means(
    table: PaceTable, keys: Iterable[PaceKey], now: float
) -> tuple[EnginePace, ...]:
    """Return some own means in the form of a message."""
    weights = {key: round(decay_weight(table.own[key], now)) for key in keys}
    return tuple(
        EnginePace(*key, weight, round(math.exp(table.own[key].log_ms), 2))
        for key, weight in weights.items()
        if weight >= 1
    )


def drop_decayed(table: PaceTable, controls: Collection[str], now: float) -> None:
    """Drop means without recent samples, and those of controls that are gone."""
    if now - table.dropped_at < DROP_SECONDS:
        return

    table.dropped_at = now
    table.others = {
        control: drop_light(means, now)
        for control, means in table.others.items()
        if control in controls
    }
    table.own = drop_light(table.own, now)
    table.unsent &= table.own.keys()
    table.sent = {key: one for key, one in table.sent.items() if key in table.own}


def drop_light(
    means: Mapping[PaceKey, PaceMean], now: float
) -> dict[PaceKey, PaceMean]:
    """Return the means that have not decayed."""
    return {
        key: mean
        for key, mean in means.items()
        if decay_weight(mean, now) >= FORGOTTEN_WEIGHT
    }


def sum_means(table: PaceTable, now: float) -> dict[PaceKey, tuple[float, float]]:
    """Return the weights, and the weighted sums of logarithms, over all controls."""
    sums: dict[PaceKey, tuple[float, float]] = {}
    for means in (table.own, *table.others.values()):
        for key, mean in means.items():
            weight = decay_weight(mean, now)
            weights, total = sums.get(key, (0.0, 0.0))
            sums[key] = weights + weight, total + weight * mean.log_ms

    return sums
