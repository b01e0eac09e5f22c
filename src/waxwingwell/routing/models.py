"""Which of a route's models a request is sent to, and when a larger one is asked.

A request goes to the smallest model first; only what that one is unsure of goes on to
the largest. The largest answers everything well, at ten times the engine's work and
fifteen times the price, and the smallest one's opinion of its answer is a sharp sign:
on quiet load, asking the largest below a confidence of 0.5 gave 96 % of the quality of
always asking it, at 52 % of its price; below 0.42 it gave 91 %, below 0.3 82 %.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .pools import Pool


if TYPE_CHECKING:
    from .records import Route


ANY_MODEL = "*"
"""What a caller names who leaves the choice to us."""
QUALITY_TARGET = 0.55
"""Confidence from which an answer of the smallest model is good enough while there is
room for more; about four in five such answers are good at the bar itself."""
EASY_PRESSURE = 0.25
"""Expected wait at the largest model, as a share of the time in which the first event
is due, up to which the bar stays where it is."""
EASY_USAGE = 0.6
"""Share of the larger model's engines' time that reading takes, up to which the bar
stays where it is."""
FULL_USAGE = 1.2
"""Share from which no larger model is asked; queues bear a short excess above 1."""


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


def wants_larger(confidence: float, pressure: float, usage: float) -> bool:
    """Tell whether a larger model is to be asked after an answer of the smallest.

    The bar falls with the pressure, to nothing where the larger model's first event
    would come a quarter later than it is due: such an answer, and those of others that
    it holds up, would be worth less than an unsure one now. It falls with the usage of
    engines, too: while an engine reads a long prompt for the large model, a stream on
    it gets one token in about 200 ms, and outlives its caller's patience when the
    reading never pauses.
    """
    room = min(max(1.0 + EASY_PRESSURE - pressure, 0.0), 1.0)
    spare = min(max((FULL_USAGE - usage) / (FULL_USAGE - EASY_USAGE), 0.0), 1.0)
    return confidence < QUALITY_TARGET * room * spare
