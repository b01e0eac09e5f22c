"""Admission of requests by expected wait, and the retry delay of refused callers.

Under overload even the best upstream's queue may outlast the caller's timeout. Sending
the request anyway would spend engine time on a response that nobody waits for, and the
caller would learn of the failure only at the end.
"""

from __future__ import annotations


MIN_RETRY_AFTER_SECONDS = 0.2
"""Shortest retry delay: a caller that retries sooner finds the same queue."""
MAX_RETRY_AFTER_PART = 0.33
"""Longest retry delay, as a part of the time that the caller has left."""


def can_be_served(wait: float, remaining: float) -> bool:
    """Return whether the first event is expected before the caller's timeout.

    Both arguments are in seconds. All of the remaining time may be used: the estimate
    is rough, and refusing a request that could have been served costs its caller more
    than a response that comes too late costs the other callers.
    """
    return wait <= remaining


def choose_retry_after(wait: float, remaining: float) -> float:
    """Return the seconds after which a refused caller may retry.

    By then the queue ahead of the request has drained, if the time left allows it.
    """
    return max(min(wait, remaining * MAX_RETRY_AFTER_PART), MIN_RETRY_AFTER_SECONDS)
