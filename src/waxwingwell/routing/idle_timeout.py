"""Idle timeouts of upstream connections.

An upstream may become unresponsive while its connections stay open. Any byte from it
on another connection shows that it is alive, however slow this response is.
"""

from __future__ import annotations


STREAM_IDLE_SECONDS = 1.5
"""Idle timeout of a stream that has started. An engine with constant prefill of long
prompts sends a stream an event about every 1.3 s. With a timeout of 1.2 s, none of 45
streams given up within a day was on an unresponsive upstream, and the prefill of each
was repeated elsewhere for nothing."""
FIRST_EVENT_SLACK_SECONDS = 1.5
"""Time allowed for a first event, in addition to a multiple of the expected wait."""
FIRST_EVENT_FACTOR = 2.5
"""Multiple of the expected wait allowed for a first event."""


def find_idle_timeout(*, started: bool, expected: float) -> float:
    """Return the seconds without data after which an upstream is unresponsive.

    ``expected`` is the estimated wait for the first event, in seconds.
    """
    if started:
        return STREAM_IDLE_SECONDS

    return FIRST_EVENT_SLACK_SECONDS + FIRST_EVENT_FACTOR * expected
