"""The watch on upstreams that take a request and then say nothing.

Failure: an upstream went dark. Its connections stay open, and its requests would wait
until their callers leave. Another upstream is asked, if there is one that can go on:
the silent one's answer may still be on its way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.health import note_unreachable
from ...routing.records import RouteKind
from ...routing.silence import silence_limit
from .attempts import Fate


if TYPE_CHECKING:
    from .attempts import Attempt
    from .exchange import Exchange


SILENT_OBJECTIVES = 1.5
"""Objectives after which an answer that may be asked for again is asked of another
upstream: it is late by then, and nineteen of twenty calls take a third of that."""
SILENT_PART = 0.4
"""Of the whole time, whichever is shorter: the second try has the longer part."""


def limit_silence(exchange: Exchange, attempt: Attempt, remaining: float) -> None:
    """Begin to wait for the first sign of a call that may be asked for again."""
    route = exchange.route
    if route.kind is not RouteKind.IDEMPOTENT or not exchange.may_run_again():
        return

    total = exchange.deadline - exchange.began_at
    limit = min(SILENT_OBJECTIVES * route.objective, SILENT_PART * total)
    if limit < remaining:
        reactor = exchange.context.reactor
        attempt.timer = reactor.callLater(limit, abandon, exchange, attempt)


def abandon(exchange: Exchange, attempt: Attempt) -> None:
    """Ask another upstream for a call that had no sign in time."""
    if attempt.over or attempt.first_at is not None:
        return

    if not exchange.can_move(exchange.context.clock()):
        return

    attempt.cancel()
    exchange.finish_attempt(attempt, Fate.BROKEN, "silent")


def check_silence(exchange: Exchange, now: float) -> None:
    """Ask another upstream to go on with a stream if its own seems to be dark."""
    attempt = exchange.attempt
    if attempt is None or attempt.over or exchange.route.kind is not RouteKind.STREAM:
        return

    sign = exchange.context.signs.get(attempt.upstream, 0.0)
    silent = now - max(attempt.began_at, attempt.last_at, sign)
    expected = attempt.choice.placement.wait / 1000
    started = attempt.first_at is not None
    if silent <= silence_limit(started=started, expected=expected):
        return

    if not exchange.can_move(now):
        return

    note_unreachable(exchange.context.health, attempt.upstream, now)
    attempt.cancel()
    exchange.finish_attempt(attempt, Fate.BROKEN, f"silent for {silent:.1f} s")
