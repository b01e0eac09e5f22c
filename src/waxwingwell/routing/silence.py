"""When an upstream that answers nothing is given up.

Failure: an upstream goes dark. Its connections stay open, and nothing ever comes. Any
byte from it on another connection shows that it lives, however slow this answer is.
"""

from __future__ import annotations


STALL_SECONDS = 1.5
"""Of a stream that has begun. An engine that reads long prompts all the time gives a
stream an event in about 1.3 s: at 1.2 s, of 45 streams that were given up on a day none
had met a dark upstream, and each was read again elsewhere for nothing."""
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
