"""Log lines and metrics on this control's place in the replicated group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.consensus.bootstrap import follows_leader
from ...state.consensus.bootstrap import list_join_targets
from ...state.consensus.membership import list_unresponsive_voters
from ...state.consensus.records import Role
from ...state.consensus.records import name_of
from ...state.consensus.replica import is_voter
from ...state.group import leader_of
from ..events import log_event
from ..links import is_link_up
from ..metrics import ABSENT_VOTERS
from ..metrics import LEADERLESS_SECONDS


if TYPE_CHECKING:
    from .context import RegistryContext


LEADERLESS_GRACE_SECONDS = 2.0
"""Seconds without a leader before the first log line; an election takes less."""
LEADERLESS_LOG_SECONDS = 10.0
"""Seconds between log lines while there is no leader."""


def report_membership(context: RegistryContext, now: float) -> None:
    """Log changes of the group, a missing leader, and voters without contact."""
    log_group_changes(context)
    report_missing_leader(context, now)
    report_absent_voters(context, now)


def log_group_changes(context: RegistryContext) -> None:
    """Log changes of the leader and of the members."""
    group = context.group
    if group is None:
        return

    membership = group.replica.membership
    if membership != context.logged_members:
        context.logged_members = membership
        log_event(
            "registry: Members changed",
            voters=membership.voters,
            learners=membership.learners,
            index=group.replica.membership_index,
        )

    leader = leader_of(group)
    if leader == context.logged_leader:
        return

    context.logged_leader = leader
    log_event("registry: Leader changed", leader=leader, term=group.replica.term)


def report_missing_leader(context: RegistryContext, now: float) -> None:
    """Log at intervals that this control has no leader, and which ones it asks."""
    group = context.group
    if group is not None and follows_leader(group.replica, now):
        context.leaderless_since = None
        LEADERLESS_SECONDS.set(0.0)
        return

    if context.leaderless_since is None:
        context.leaderless_since = now
        context.log_leaderless_at = now + LEADERLESS_GRACE_SECONDS

    waited = now - context.leaderless_since
    LEADERLESS_SECONDS.set(waited)
    if now < context.log_leaderless_at:
        return

    context.log_leaderless_at = now + LEADERLESS_LOG_SECONDS
    connected = [name for name, link in context.controls.items() if is_link_up(link)]
    log_event(
        "registry: No leader",
        waited=round(waited, 1),
        opened=group is not None,
        voter=group is not None and is_voter(group.replica),
        asked=list_join_targets(group.replica) if group is not None else [],
        connected=sorted(connected),
    )


def report_absent_voters(context: RegistryContext, now: float) -> None:
    """Log which voters the leader has lost, and the spare members left."""
    group = context.group
    absent: tuple[str, ...] = ()
    if group is not None and group.replica.role is Role.LEADER:
        voters = list_unresponsive_voters(group.replica, now)
        absent = tuple(sorted(name_of(voter) for voter in voters))

    ABSENT_VOTERS.set(len(absent))
    if absent == context.logged_absent:
        return

    context.logged_absent = absent
    if group is None or group.replica.role is not Role.LEADER:
        return

    membership = group.replica.membership
    log_event(
        "registry: Voters absent",
        absent=absent,
        voters=len(membership.voters),
        learners=[name_of(learner) for learner in membership.learners],
    )
