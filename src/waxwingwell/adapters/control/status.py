"""The status of the control group, seen from one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ...invariants import BREACHES
from ...state.group import leader_of
from ...state.group import leads
from ...state.group import members_of
from ...state.group import term_of


if TYPE_CHECKING:
    from .context import ControlContext


class EntryStatus(msgspec.Struct, frozen=True):
    """One entry as the leader knows it."""

    entry: str
    incarnation: int
    config_version: int
    lease_left: float
    """Seconds; negative once it has run out."""


class MemberStatus(msgspec.Struct, frozen=True):
    """One control process as this one sees it."""

    node: str
    up: bool


class StatusReply(msgspec.Struct, frozen=True):
    """State of the control group, seen from one process."""

    node: str
    leader: str
    leads: bool
    term: int
    config_version: int
    halted: str
    members: tuple[MemberStatus, ...]
    entries: tuple[EntryStatus, ...]
    open_rows: int
    breaches: dict[str, int]
    """Invariants found broken in this process; empty if all held."""
    voters: tuple[str, ...] = ()
    """Ids of the members that vote; a replaced disk has a new id."""
    learners: tuple[str, ...] = ()
    """Ids of the members that are still catching up."""


def describe_status(context: ControlContext) -> StatusReply:
    """Return this process's view of the group."""
    now = context.clock()
    rows = context.leases.rows if context.leases is not None else {}
    entries = tuple(
        EntryStatus(
            entry=entry,
            incarnation=incarnation,
            config_version=row.config_version,
            lease_left=row.expires_at - now,
        )
        for (entry, incarnation), row in rows.items()
    )
    members = tuple(
        MemberStatus(node=name, up=link.protocol is not None)
        for name, link in context.links.items()
    )
    return StatusReply(
        node=context.settings.node,
        leader=leader_of(context.group),
        leads=leads(context.group, now),
        term=term_of(context.group),
        config_version=context.holder.state.config.config_version,
        halted=context.group.halted,
        members=members,
        entries=entries,
        open_rows=sum(map(len, context.holder.state.ledger.open_rows.values())),
        breaches={name.value: count for name, count in BREACHES.counts.items()},
        voters=members_of(context.group).voters,
        learners=members_of(context.group).learners,
    )
