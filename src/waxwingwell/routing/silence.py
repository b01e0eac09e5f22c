"""When an upstream that answers nothing is given up.

Failure: an upstream goes dark. Its connections stay open, and nothing ever comes. Any
byte from it on another connection shows that it lives, however slow this answer is.
"""

from __future__ import annotations


STALL_SECONDS = 1.2
"""Of a stream that has begun: callers count a pause of two seconds as late, and another
upstream needs a part of that to go on."""
START_SECONDS = 1.5
"""Before a first event, beside the wait that is expected."""
START_FACTOR = 2.5
"""How far the wait for a first event may exceed what is expected."""


def silence_limit(*, started: bool, expected: float) -> float:
    """Return the seconds of silence after which an upstream counts as dark.

    ``expected`` is the wait for the first event as it was estimated, in seconds.
    """
    if started:
        return STALL_SECONDS

    return START_SECONDS + START_FACTOR * expected
