"""Request ids of ended attempts, so that late messages don't reopen their rows.

A delayed reservation, or a settle resent because its response was lost, may arrive
after the row of its attempt was dropped or taken over by another attempt. It would
then open a row that is never settled, or bill a request twice. The ids of ended
attempts are therefore kept for one to two times ``ENDED_RETENTION``, which is longer
than an entry resends anything. They are stored in two generations, of which the older
one is discarded as a whole.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .rows import Ledger


ENDED_RETENTION = 900.0
"""Minimum seconds for which the id of an ended attempt is kept."""

MAX_ENDED_PER_GENERATION = 500_000
"""Ids per generation; a new generation starts early once it is reached."""


def record_ended(ledger: Ledger, request: str) -> None:
    """Record the request id of an attempt that ended."""
    if len(ledger.ended) >= MAX_ENDED_PER_GENERATION:
        _start_generation(ledger)

    ledger.ended[request] = None


def has_ended(ledger: Ledger, request: str) -> bool:
    """Return whether an attempt is recorded as ended."""
    return request in ledger.ended or request in ledger.ended_before


def rotate_ended(ledger: Ledger) -> None:
    """Discard the older generation once the current one is old enough."""
    if ledger.clock - ledger.ended_since >= ENDED_RETENTION:
        _start_generation(ledger)


def _start_generation(ledger: Ledger) -> None:
    """Make the current generation the older one and start an empty one."""
    ledger.ended_before = ledger.ended
    ledger.ended = {}
    ledger.ended_since = ledger.clock
