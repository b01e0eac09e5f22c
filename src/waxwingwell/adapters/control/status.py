"""The status of the control group as one process sees it."""

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
    """An entry's state as known to the leader."""

    entry: str
    incarnation: int
    config_version: int
    lease_left: float
    """Seconds; negative once the lease has expired."""


class MemberStatus(msgspec.Struct, frozen=True):
    """A control process's state as this one sees it."""

    node: str
    up: bool


class StatusReply(msgspec.Struct, frozen=True):
    """State of the control group as one process sees it."""

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
    """Number of violations by invariant in this process; empty if all held."""
    voters: tuple[str, ...] = ()
    """Ids of the voting members; a member whose disk was replaced has a new id."""
    learners: tuple[str, ...] = ()
    """Ids of the members that are still catching up."""


def describe_status(context: ControlContext) -> StatusReply:
    """Return the group's status as this process sees it."""
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
