"""Which of a route's models a request is sent to, and when a larger one is asked.

A request goes to the smallest model first; what that one is unsure of goes on to the
largest where a better answer gains more than it costs: the price of the model, and the
time for which it holds up others on its engine. The smallest model's opinion of its
answer is a sharp sign.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .pools import Pool


if TYPE_CHECKING:
    from .records import Route


ANY_MODEL = "*"
"""What a caller names who leaves the choice to us."""
DOUBT_MIDDLE = 0.5
"""Confidence at which an answer is as likely poor as good."""
DOUBT_WIDTH = 0.05
"""Confidence over which the chance of a poor answer falls to a quarter."""
TOKEN_WORTH = 0.006
"""Worth of an answer for each token that its caller allows, in the unit of the models'
prices for a token in a thousand: a caller allows more where it expects more."""
LEAST_PRICE = 0.03
"""Price of any answer, as a part of what it is worth: it is asked for once more."""
USUAL_PART = 0.3
"""Part of the tokens allowed that an answer usually has."""
READ_PART = 0.25
"""Price of a token read, as a part of that of one generated."""
LEAST_WEIGHT = 0.3
"""Worth of a request of no size, as a part of a usual one's."""
OUTPUT_FACTOR = 10.0
"""What a generated token counts in a request's size, beside one that is read."""
SIZE_LEARNING = 0.02
"""Weight of a new request in its route's usual size."""
LATE_WORTH = 0.3
"""Worth of an answer that comes late, as a part of a timely one's."""
EARLY_PRESSURE = 0.7
"""Expected wait, as a share of the time in which the first event is due, up to which an
answer is taken to be timely."""
LATE_PRESSURE = 1.3
"""Share from which it is taken to be late."""
EASY_USAGE = 0.5
"""Share of the larger model's engines' time that reading takes, up to which one more
prompt holds nobody up."""
CROWD_PRICE = 0.0026
"""Price of a token read at a usage of one above the easy one; it grows with the square
of the excess."""


@dataclass(frozen=True, slots=True)
class Stake:
    """What an answer of a larger model costs, and what it may bring."""

    output_tokens: int
    """The most that the caller allows."""
    prompt_tokens: int
    uncached: int
    """Prompt tokens that an engine has to read."""
    weight: float
    """Worth of the request beside that of its route's usual ones."""
    cost: float
    """Price of a thousand generated tokens."""
    pressure: float
    """Expected wait, as a share of the time in which the first event is due."""
    usage: float
    """Share of the larger model's engines' time that reading takes."""


def is_sized(route: Route, wanted: str) -> bool:
    """Tell whether the choice of the model is ours."""
    return len(route.models) > 0 and wanted == ANY_MODEL


def first_model(route: Route) -> str:
    """Return the model to ask first."""
    return route.models[0]


def find_pool(route: Route, wanted: str, model: str) -> Pool:
    """Return the pool of engines that a model of our choice belongs on."""
    if not is_sized(route, wanted) or len(route.models) < 2:
        return Pool.ANY

    return Pool.SMALL if model == first_model(route) else Pool.LARGE


def wants_larger(confidence: float, stake: Stake) -> bool:
    """Tell whether a larger model is to be asked after an answer of the smallest.

    It is where the gain exceeds the price, both as parts of a good answer's worth. The
    price rises as engines fill up, most for long prompts with short answers: while an
    engine reads, all its streams wait.
    """
    timely = find_timely(stake.pressure)
    larger = LATE_WORTH + (1.0 - LATE_WORTH) * timely
    gain = larger - (1.0 - find_doubt(confidence))
    return gain > find_price(stake)


def weigh_size(
    usual: dict[str, float], route: str, prompt_tokens: int, output_tokens: int
) -> float:
    """Return a request's worth beside that of its route's usual ones; learn its size.

    ``usual`` holds the usual size by route.
    """
    size = prompt_tokens + OUTPUT_FACTOR * output_tokens
    mean = usual.setdefault(route, size)
    usual[route] = mean + SIZE_LEARNING * (size - mean)
    return LEAST_WEIGHT + (1.0 - LEAST_WEIGHT) * size / max(mean, 1.0)


def find_doubt(confidence: float) -> float:
    """Return the chance that an answer is poor."""
    return 1.0 / (1.0 + math.exp((confidence - DOUBT_MIDDLE) / DOUBT_WIDTH))


def find_timely(pressure: float) -> float:
    """Return the chance that an answer begins in time."""
    spread = LATE_PRESSURE - EARLY_PRESSURE
    return min(max((LATE_PRESSURE - pressure) / spread, 0.0), 1.0)


def find_price(stake: Stake) -> float:
    """Return what an answer costs, as a part of what a good one is worth."""
    worth = TOKEN_WORTH * max(stake.output_tokens, 1) * stake.weight
    made = USUAL_PART * stake.output_tokens + READ_PART * stake.prompt_tokens
    excess = max(stake.usage - EASY_USAGE, 0.0)
    crowding = CROWD_PRICE * excess * excess * stake.uncached
    return max((stake.cost * made / 1000.0 + crowding) / worth, LEAST_PRICE)
