"""Claims: slots reserved at an upstream between the choice and the dispatch.

An order waits a few milliseconds for its ledger row between the two. If its slot
looked free in that time, draining the queue would send all queued orders to the same
upstream and exceed its limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..records import UpstreamId
    from .tables import Tables


def claim_slot(tables: Tables, request: str, upstream: UpstreamId) -> None:
    """Reserve a slot at an upstream for a request that is about to be dispatched."""
    release_claim(tables, request)
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    tables.claims[request] = upstream
    row.claimed += 1


def release_claim(tables: Tables, request: str) -> None:
    """Release the slot claimed for a request; do nothing if there is none."""
    upstream = tables.claims.pop(request, None)
    row = tables.upstreams.get(upstream) if upstream is not None else None
    if row is not None:
        row.claimed = max(row.claimed - 1, 0)
