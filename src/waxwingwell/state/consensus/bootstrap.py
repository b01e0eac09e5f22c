"""Bootstrapping a group, and joining an existing one, with an empty data folder.

A new random id is drawn whenever a data folder is initialised, so a member whose
disk was lost returns under another id. Only the first name in sort order
bootstraps, only if the settings say ``bootstrap``, and only after *every* other
named member responded that it is empty. So the setting may stay on: if that
member's disk is lost, it finds the others in a group, or waits for them, and never
bootstraps a second group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .elections import start_election
from .log import last_index
from .messages import JoinRequest
from .messages import Probe
from .messages import ProbeAnswer
from .records import Membership
from .records import Role
from .records import name_of
from .replica import is_voter
from .replica import set_membership


if TYPE_CHECKING:
    from collections.abc import Collection

    from .replica import Replica


def is_empty(replica: Replica) -> bool:
    """Return whether this member has no log entries and belongs to no group."""
    return last_index(replica.log) == 0 and not replica.membership.voters


def bootstrap_or_join(replica: Replica, now: float) -> None:
    """Probe and bootstrap, or request to join, once per ``probe_interval``."""
    if now < replica.probe_at:
        return

    replica.probe_at = now + replica.timing.probe_interval
    if not may_bootstrap(replica):
        request_join(replica, list_join_targets(replica))
        return

    probe_others(replica)
    bootstrap_group(replica, now)
    if is_empty(replica):
        # The configured members may be gone, and others may form a group.
        request_join(replica, list_outsiders(replica, other_names(replica)))


def retry_join(replica: Replica, now: float) -> None:
    """Request to join again if this member has not heard from a leader.

    A leader that added the member may fail before that entry is committed; its
    successor then doesn't know the member.

    A voter asks only those that its log doesn't name. If all members that it knows
    were replaced meanwhile, nobody else can notify it of its own removal.
    """
    if now < replica.probe_at or now < replica.heard_at + replica.timing.election_max:
        return

    replica.probe_at = now + replica.timing.probe_interval
    if is_voter(replica):
        request_join(replica, list_outsiders(replica, list_logged_names(replica)))
        return

    request_join(replica, list_join_targets(replica))


def follows_leader(replica: Replica, now: float) -> bool:
    """Return whether this member leads, or has heard from a leader recently."""
    if replica.role is Role.LEADER:
        return True

    return replica.leader != "" and now < replica.heard_at + replica.timing.election_max


def may_bootstrap(replica: Replica) -> bool:
    """Return whether this member may bootstrap, by the responses so far."""
    if not replica.bootstrap or replica.name != min(replica.names):
        return False

    return all(empty for _, empty in replica.probe_responses.values())


def other_names(replica: Replica) -> list[str]:
    """Return the configured member names other than this member's."""
    return [name for name in replica.names if name != replica.name]


def probe_others(replica: Replica) -> None:
    """Ask the other configured members whether they are empty."""
    for name in other_names(replica):
        probe = Probe(
            group=replica.group,
            sender=replica.member,
            target=name,
            term=replica.term,
        )
        replica.outbox.append(probe)


def bootstrap_group(replica: Replica, now: float) -> None:
    """Start the first election once all other members have responded."""
    if len(replica.probe_responses) < len(other_names(replica)):
        return

    ids = [member for member, _ in replica.probe_responses.values()]
    set_membership(replica, Membership(voters=(replica.member, *ids)), 0)
    replica.founded = True
    start_election(replica, now)


def list_logged_names(replica: Replica) -> list[str]:
    """Return the names of the members in this member's log."""
    membership = replica.membership
    return [name_of(one) for one in membership.voters + membership.learners]


def list_outsiders(replica: Replica, names: Collection[str]) -> list[str]:
    """Return the names of reachable members that are not among ``names``."""
    known = {*names, replica.name}
    return sorted(set(replica.list_contacts()) - known)


def list_join_targets(replica: Replica) -> list[str]:
    """Return the names of all members that may lead or know the leader."""
    known = {*replica.names, *list_logged_names(replica), *replica.list_contacts()}
    return sorted(known - {replica.name})


def request_join(replica: Replica, names: list[str]) -> None:
    """Send join requests to members by name; only the leader acts on one."""
    for name in names:
        request = JoinRequest(
            group=replica.group,
            sender=replica.member,
            target=name,
            term=replica.term,
        )
        replica.outbox.append(request)


def receive_probe(replica: Replica, probe: Probe) -> None:
    """Report whether this member is empty: no log, and no vote for another."""
    empty = last_index(replica.log) == 0
    free = replica.term == 0 or replica.voted_for == probe.sender
    response = ProbeAnswer(
        group=replica.group,
        sender=replica.member,
        target=probe.sender,
        term=replica.term,
        empty=empty and free,
    )
    replica.outbox.append(response)


def receive_probe_response(replica: Replica, response: ProbeAnswer, now: float) -> None:
    """Record a probe response; bootstrap if it was the last one missing."""
    name = name_of(response.sender)
    if not is_empty(replica) or name not in other_names(replica):
        return

    replica.probe_responses[name] = (response.sender, response.empty)
    if may_bootstrap(replica):
        bootstrap_group(replica, now)
