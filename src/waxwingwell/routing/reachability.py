"""A gateway's own path to the upstreams.

A gateway that is cut off from all upstreams finds each of them unreachable, one after
the other. Only the responses that it gets on new connections count: an old connection
may live on while new ones are refused.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


MIN_SUSPICIOUS_UPSTREAMS = 2
"""Upstreams that fail one after the other before the path is probed."""
MIN_FAILED_UPSTREAMS = 4
"""Upstreams that fail one after the other before the path counts as lost, or all if
there are fewer. Some may crash at the same time."""
MIN_FAILED_PROBES = 2
"""Probes that fail before the loss counts as certain."""
PROBE_INTERVAL_SECONDS = 0.5
"""Seconds between probes of a path that is lost or suspect."""


@dataclass(slots=True)
class PathTable:
    """Evidence on the path from this gateway to the upstreams."""

    failed: set[str] = field(default_factory=set)
    """Upstreams that have failed since the last response of any upstream."""
    lost_at: float = math.inf
    """Time at which the path was lost; infinite while there is one."""
    probed_at: float = -math.inf
    failed_probes: int = 0
    """Probes that have failed since the path was lost."""


def record_response(table: PathTable) -> bool:
    """Record a response on a new connection; return whether the path was lost."""
    was_lost = has_lost_path(table)
    if was_lost or table.failed:
        table.failed.clear()
        table.lost_at = math.inf
        table.failed_probes = 0

    return was_lost


def record_failure(table: PathTable, upstream: str, known: int, now: float) -> bool:
    """Record a connection without a response; return whether the path is lost now.

    ``known`` is the number of upstreams that could be used.
    """
    table.failed.add(upstream)
    needed = min(MIN_FAILED_UPSTREAMS, max(known, MIN_SUSPICIOUS_UPSTREAMS))
    if has_lost_path(table) or len(table.failed) < needed:
        return False

    table.lost_at = now
    return True


def record_failed_probe(table: PathTable) -> None:
    """Record that a probe of a lost path got no response."""
    if has_lost_path(table):
        table.failed_probes += 1


def has_lost_path(table: PathTable) -> bool:
    """Return whether this gateway seems to reach no upstream."""
    return table.lost_at < math.inf


def is_suspect(table: PathTable) -> bool:
    """Return whether the path may be lost, although too few upstreams have failed."""
    return not has_lost_path(table) and len(table.failed) >= MIN_SUSPICIOUS_UPSTREAMS


def is_cut_off(table: PathTable) -> bool:
    """Return whether this gateway certainly reaches no upstream."""
    return has_lost_path(table) and table.failed_probes >= MIN_FAILED_PROBES


def should_probe(table: PathTable, now: float) -> bool:
    """Return whether a probe is due; if so, record it."""
    if not has_lost_path(table) and not is_suspect(table):
        return False

    if now - table.probed_at < PROBE_INTERVAL_SECONDS:
        return False

    table.probed_at = now
    return True
