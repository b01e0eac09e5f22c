"""Rests that upstreams have asked gateways for, as controls keep them.

A rest is asked of one gateway, and binds it until it ends, also if its process does. A
gateway that has started is told the rests of its former process.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .limits import record_rest
from .messages import RestState


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .limits import LimitTable


@dataclass(frozen=True, slots=True)
class KnownRest:
    """One gateway's rest from an upstream."""

    incarnation: int
    asked_at: float
    """Time at which the upstream asked, by the gateway's clock."""
    until: float


@dataclass(slots=True)
class RestTable:
    """Rests by gateway and upstream."""

    entries: dict[tuple[str, str], KnownRest] = field(default_factory=dict)


def list_own_rests(
    table: LimitTable, gateway: str, now: float
) -> tuple[RestState, ...]:
    """Return a gateway's rests for a report."""
    return tuple(
        RestState(gateway, upstream, rest.incarnation, rest.asked_at, rest.until - now)
        for upstream, rest in table.rests.items()
        if rest.until > now
    )


def merge_rests(table: RestTable, states: Iterable[RestState], now: float) -> None:
    """Store rests that a gateway or another control knows of.

    Of two rests of the same pair, the one that was asked for later is kept. The same
    one is not stored again, as each message would extend it by its delay.
    """
    for one in states:
        key = one.gateway, one.upstream
        known = table.entries.get(key)
        if known is None or one.asked_at > known.asked_at:
            until = now + one.left
            table.entries[key] = KnownRest(one.incarnation, one.asked_at, until)


def drop_rests(table: RestTable, now: float) -> None:
    """Drop the rests that have ended."""
    table.entries = {key: one for key, one in table.entries.items() if one.until > now}


def list_rests(
    table: RestTable, now: float, gateway: str | None = None
) -> tuple[RestState, ...]:
    """Return the rests of all gateways, or of one, for a message."""
    return tuple(
        RestState(name, upstream, one.incarnation, one.asked_at, one.until - now)
        for (name, upstream), one in table.entries.items()
        if one.until > now and gateway in (None, name)
    )


def apply_rests(table: LimitTable, states: Iterable[RestState], now: float) -> None:
    """Store the rests of a gateway's former process."""
    for one in states:
        record_rest(table, one.upstream, one.incarnation, one.left, now)
