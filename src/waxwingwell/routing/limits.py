"""Limits that upstreams state in their responses.

An upstream in need names the requests per second that it takes from all gateways
together. The limit applies until its responses no longer name it. Gateways and controls
exchange what they know, as most gateways get no response of a limited upstream.

An upstream that rejects a request may ask its gateway for rest: no further request of
that gateway for some seconds. Rests are not exchanged, as each gateway is asked itself.

An upstream that leaves says so in its responses as well as in its announcements, which
may not arrive. That is not exchanged either: the announcements tell the others.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .messages import LimitState


if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Iterable


OVERSHOOT = 1.5
"""Multiple of a limit that an upstream tolerates within ``WINDOW_SECONDS``."""
SLACK = 5.0
"""Requests within ``WINDOW_SECONDS`` that it tolerates in addition."""
WINDOW_SECONDS = 4.0
MIN_LIFT_SECONDS = 2.0
"""Least time from a response that names no limit until the limit ends. A response that
was overtaken would otherwise end it for all gateways at once."""
MAX_LIFT_SECONDS = 4.0
"""Longest such time; upstreams that need nothing any more would be left unused."""
REJECTION_SECONDS = 2.0
"""Seconds for which a rejection limits an upstream."""
LIFT_REQUESTS = 3.0
"""Requests at the limited rate for which the limit still applies, so that one of their
responses can name it again."""
MIN_RATE = 0.05
"""Least rate in requests per second; with none, no response would show the end."""
SAME_NAMING_SECONDS = 0.5
"""Difference up to which two times count as the same naming. Without it, each exchange
would add the delay of its messages, and a limit would seem to be named for ever."""
RETENTION_SECONDS = 10.0
"""Seconds for which the end of a limit is passed on."""
MAX_REST_SECONDS = 3600.0
"""Longest rest that is granted; an upstream that wants no requests for longer would
leave."""
RESTARTED_SECONDS = 10.0
"""Longest time for which a rest may have been asked for by an incarnation that is not
known yet, as its first announcement is late."""
LEAVE_SECONDS = 60.0
"""Seconds after which an upstream that has said that it leaves, and still announces
that it serves, has stayed. Heartbeats have arrived tens of seconds late."""
UNKNOWN_SECONDS = 60.0
"""Seconds after which the limit of an upstream that is not known is dropped."""


@dataclass(slots=True)
class UpstreamLimit:
    """The limit that one incarnation of an upstream names."""

    incarnation: int
    rate: float
    """Requests per second that all gateways together may send."""
    named_at: float
    """Time of the last response that names the limit."""
    lifted_at: float = math.inf
    """Time at which the limit ends."""


@dataclass(slots=True)
class Rest:
    """Time for which an upstream wants no request."""

    incarnation: int
    """Latest incarnation that was known when it asked; a later one may have asked."""
    asked_at: float
    until: float


@dataclass(slots=True)
class Leave:
    """The last statement of one incarnation of an upstream that it leaves."""

    incarnation: int
    stated_at: float


@dataclass(slots=True)
class LimitTable:
    """Limits, rests and leaves by upstream."""

    upstreams: dict[str, UpstreamLimit] = field(default_factory=dict)
    rests: dict[str, Rest] = field(default_factory=dict)
    leaves: dict[str, Leave] = field(default_factory=dict)


def record_statement(
    table: LimitTable,
    upstream: str,
    incarnation: int,
    rate: float | None,
    *,
    sent_at: float,
    now: float,
) -> bool:
    """Record what a response states; return whether the known limit has changed.

    ``rate`` is the limit that it names, if any. ``sent_at`` is the time at which its
    request was sent: responses may overtake each other, so a limit ends or rises only
    by a response to a request that was sent after the limit was last named.
    """
    held = table.upstreams.get(upstream)
    if held is not None and incarnation < held.incarnation:
        return False

    if held is None or incarnation > held.incarnation:
        if rate is not None:
            table.upstreams[upstream] = UpstreamLimit(incarnation, rate, now)
            return True

        return held is not None and end_limit(held, now)

    newer = sent_at > held.named_at
    was_lifted = held.lifted_at < math.inf
    if rate is None:
        if newer and not was_lifted:
            held.lifted_at = now + compute_lift_seconds(held.rate)

        return newer and not was_lifted

    changed = was_lifted or (rate != held.rate and (newer or rate < held.rate))
    if newer or rate < held.rate:
        held.rate = rate

    held.named_at = now
    held.lifted_at = math.inf
    return changed


def end_limit(held: UpstreamLimit, now: float) -> bool:
    """End the limit of an incarnation that is gone; return whether it was in force."""
    was_in_force = now < held.lifted_at
    held.lifted_at = min(held.lifted_at, now)
    return was_in_force


def record_rejection(
    table: LimitTable, upstream: str, incarnation: int, rate: float, now: float
) -> bool:
    """Limit an upstream that has rejected a request, for a while.

    Returns whether it had no limit before. One that the upstream itself names stays as
    it is, as it outlasts the rejection.
    """
    held = table.upstreams.get(upstream)
    if held is not None and incarnation < held.incarnation:
        return False

    in_force = find_rate(table, upstream, incarnation, now)
    if in_force is not None and held is not None and held.lifted_at == math.inf:
        return False

    table.upstreams[upstream] = UpstreamLimit(
        incarnation, rate, now, now + REJECTION_SECONDS
    )
    return in_force is None


def record_rest(
    table: LimitTable, upstream: str, incarnation: int, seconds: float, now: float
) -> None:
    """Record the rest that a rejection asks for; of several the last to end counts."""
    held = table.rests.get(upstream)
    if held is not None and incarnation < held.incarnation:
        return

    until = now + min(seconds, MAX_REST_SECONDS)
    if held is not None and incarnation == held.incarnation:
        until = max(until, held.until)

    table.rests[upstream] = Rest(incarnation, now, until)


def find_rest_seconds(
    table: LimitTable, upstream: str, incarnation: int, now: float
) -> float:
    """Return the seconds for which an upstream still rests, or 0."""
    held = table.rests.get(upstream)
    if held is None or incarnation < held.incarnation:
        return 0.0

    until = held.until
    if incarnation > held.incarnation:
        until = min(until, held.asked_at + RESTARTED_SECONDS)

    return max(until - now, 0.0)


def record_leave(
    table: LimitTable, upstream: str, incarnation: int, now: float
) -> bool:
    """Record that an upstream says that it leaves; return whether that is new."""
    held = table.leaves.get(upstream)
    if held is not None and incarnation < held.incarnation:
        return False

    table.leaves[upstream] = Leave(incarnation, now)
    return held is None or incarnation > held.incarnation


def is_leaving(
    table: LimitTable, upstream: str, incarnation: int, heard_at: float
) -> bool:
    """Return whether an upstream has said that it leaves.

    ``heard_at`` is the time of its last announcement, which says that it serves.
    """
    held = table.leaves.get(upstream)
    if held is None or held.incarnation != incarnation:
        return False

    return heard_at < held.stated_at + LEAVE_SECONDS


def compute_lift_seconds(rate: float) -> float:
    """Return the seconds for which a limit applies after a response without it."""
    seconds = max(MIN_LIFT_SECONDS, LIFT_REQUESTS / max(rate, MIN_RATE))
    return min(seconds, MAX_LIFT_SECONDS)


def find_rate(
    table: LimitTable, upstream: str, incarnation: int, now: float
) -> float | None:
    """Return the requests per second that an upstream takes, or None without limit."""
    held = table.upstreams.get(upstream)
    if held is None or held.incarnation != incarnation or now >= held.lifted_at:
        return None

    return max(held.rate, MIN_RATE)


def list_states(table: LimitTable, now: float) -> tuple[LimitState, ...]:
    """Return the limits to pass on, among them those that have ended recently."""
    return tuple(
        LimitState(
            upstream,
            held.incarnation,
            held.rate,
            round(now - held.named_at, 3),
            None if held.lifted_at == math.inf else round(held.lifted_at - now, 3),
        )
        for upstream, held in table.upstreams.items()
    )


def apply_states(table: LimitTable, states: Iterable[LimitState], now: float) -> None:
    """Merge limits that another process knows of; the newest naming counts."""
    for state in states:
        received = UpstreamLimit(
            state.incarnation,
            state.rate,
            now - state.named_age,
            math.inf if state.lifted_in is None else now + state.lifted_in,
        )
        held = table.upstreams.get(state.upstream)
        if held is None or is_newer(received, held):
            table.upstreams[state.upstream] = received
        elif not is_newer(held, received):
            held.lifted_at = min(held.lifted_at, received.lifted_at)


def is_newer(limit: UpstreamLimit, other: UpstreamLimit) -> bool:
    """Return whether a limit was named later than another one of the same upstream."""
    if limit.incarnation != other.incarnation:
        return limit.incarnation > other.incarnation

    return limit.named_at > other.named_at + SAME_NAMING_SECONDS


def drop_limits(table: LimitTable, known: Container[str], now: float) -> None:
    """Remove limits and rests that have ended, and statements of unknown upstreams."""
    table.leaves = {
        upstream: held for upstream, held in table.leaves.items() if upstream in known
    }
    table.rests = {
        upstream: held for upstream, held in table.rests.items() if held.until > now
    }
    table.upstreams = {
        upstream: held
        for upstream, held in table.upstreams.items()
        if now - held.lifted_at < RETENTION_SECONDS
        and (upstream in known or now - held.named_at < UNKNOWN_SECONDS)
    }
