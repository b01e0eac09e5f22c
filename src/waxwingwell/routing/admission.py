"""Whether a request is worth sending at all, and when its caller may come back.

Answers the load at which even the best upstream's queue outlasts the caller: a request
sent into it takes an engine's time for an answer that nobody waits for, and its caller
learns so only at the end.
"""

from __future__ import annotations


SHORTEST_PAUSE = 0.2
"""Seconds; a caller that comes back sooner finds the same queue."""
LONGEST_PART = 0.33
"""Of the time that a caller has left: callers wait no longer before they come back."""


def can_be_served(wait: float, remaining: float) -> bool:
    """Tell whether a first event is expected before the caller leaves; in seconds.

    The whole of the remaining time is allowed: the estimate is rough, and a request
    refused in vain costs its caller more than one that comes too late costs the others.
    """
    return wait <= remaining


def choose_pause(wait: float, remaining: float) -> float:
    """Return the seconds after which a refused caller may come back.

    By then the queue that is in its way has drained, if it still has time for that.
    """
    return max(min(wait, remaining * LONGEST_PART), SHORTEST_PAUSE)
