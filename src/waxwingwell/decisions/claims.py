"""Claims on places at upstreams, between a choice and its dispatch.

Failure guarded against: an order waits for its ledger row between the two, a few
milliseconds in which its place would look free. A queue that is handed out in that
time would send all its orders to the same place, over the upstream's bound.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..records import UpstreamId
    from .tables import Tables


def claim_slot(tables: Tables, request: str, upstream: UpstreamId) -> None:
    """Count a place as taken for a request that is about to be dispatched."""
    release_claim(tables, request)
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    tables.claims[request] = upstream
    row.claimed += 1


def release_claim(tables: Tables, request: str) -> None:
    """Give a claimed place back; a request without a claim changes nothing."""
    upstream = tables.claims.pop(request, None)
    row = tables.upstreams.get(upstream) if upstream is not None else None
    if row is not None:
        row.claimed = max(row.claimed - 1, 0)
