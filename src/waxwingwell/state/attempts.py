"""Attempts that ended: their late messages open no row again.

Failure guarded against: a reservation that was held up, or a settle that is resent
because its answer was lost, arrives when the row of its attempt is gone or belongs to
another attempt. It would open a row that nobody settles, or bill a request twice. The
ids of ended attempts are remembered for ``ENDED_KEPT`` to twice as long, which is
longer than an entry resends anything: they are kept in two periods, and the older one
is let go as a whole.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .rows import Ledger


ENDED_KEPT = 900.0
"""Least seconds for which the id of an ended attempt is remembered."""

MAX_ENDED = 500_000
"""Ids of one period; beyond it the next one begins early."""


def note_ended(ledger: Ledger, request: str) -> None:
    """Remember that an attempt ended."""
    if len(ledger.ended) >= MAX_ENDED:
        _begin_period(ledger)

    ledger.ended[request] = None


def has_ended(ledger: Ledger, request: str) -> bool:
    """Tell whether an attempt is known to have ended."""
    return request in ledger.ended or request in ledger.ended_before


def forget_ended(ledger: Ledger) -> None:
    """Let the older period go once the present one is long enough."""
    if ledger.clock - ledger.ended_since >= ENDED_KEPT:
        _begin_period(ledger)


def _begin_period(ledger: Ledger) -> None:
    """Begin another period."""
    ledger.ended_before = ledger.ended
    ledger.ended = {}
    ledger.ended_since = ledger.clock
