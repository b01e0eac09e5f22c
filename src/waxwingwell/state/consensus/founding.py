"""How an empty member founds a group or joins one.

A fresh random id is drawn whenever a data folder is initialised, so that a disk
that was lost returns as a stranger. Only the first name in order may found, only
if the settings say ``bootstrap``, and only after *every* other named member
answered that it is empty. So the setting may stay on: an emptied founder finds
the others in a group, or waits for them, and never founds a second one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .elections import stand_for_election
from .log import last_index
from .messages import JoinRequest
from .messages import Probe
from .messages import ProbeAnswer
from .records import Membership
from .records import name_of
from .replica import is_voter
from .replica import use_membership


if TYPE_CHECKING:
    from .replica import Replica


def is_empty(replica: Replica) -> bool:
    """Return whether this member belongs to no group yet."""
    return last_index(replica.log) == 0 and not replica.membership.voters


def tend_founding(replica: Replica, now: float) -> None:
    """Probe, found or ask to join, as often as the timing says."""
    if now < replica.probe_at:
        return

    replica.probe_at = now + replica.timing.probe
    if may_found(replica):
        probe_others(replica)
        found_group(replica, now)
        return

    ask_to_join(replica)


def tend_joining(replica: Replica, now: float) -> None:
    """Ask again if no leader writes to a member that is no voter.

    Failure: the leader that took it in fell before that was committed, and its
    successor knows nothing of it.
    """
    if is_voter(replica) or now < replica.probe_at:
        return

    if now < replica.heard_at + replica.timing.election_max:
        return

    replica.probe_at = now + replica.timing.probe
    ask_to_join(replica)


def may_found(replica: Replica) -> bool:
    """Return whether this member is the one to found, as far as it knows."""
    if not replica.bootstrap or replica.name != min(replica.names):
        return False

    return all(empty for _, empty in replica.probe_answers.values())


def other_names(replica: Replica) -> list[str]:
    """Return the names that the settings give, but for our own."""
    return [name for name in replica.names if name != replica.name]


def probe_others(replica: Replica) -> None:
    """Ask the named members whether they are empty."""
    for name in other_names(replica):
        probe = Probe(
            group=replica.group,
            sender=replica.member,
            target=name,
            term=replica.term,
        )
        replica.outbox.append(probe)


def found_group(replica: Replica, now: float) -> None:
    """Stand for the first election once all others have answered."""
    if len(replica.probe_answers) < len(other_names(replica)):
        return

    ids = [member for member, _ in replica.probe_answers.values()]
    use_membership(replica, Membership(voters=(replica.member, *ids)), 0)
    stand_for_election(replica, now)


def ask_to_join(replica: Replica) -> None:
    """Ask all named members; whichever leads takes us in."""
    for name in other_names(replica):
        request = JoinRequest(
            group=replica.group,
            sender=replica.member,
            target=name,
            term=replica.term,
        )
        replica.outbox.append(request)


def receive_probe(replica: Replica, probe: Probe) -> None:
    """Tell whether we are free: no log, and no vote for anyone else."""
    empty = last_index(replica.log) == 0
    free = replica.term == 0 or replica.voted_for == probe.sender
    answer = ProbeAnswer(
        group=replica.group,
        sender=replica.member,
        target=probe.sender,
        term=replica.term,
        empty=empty and free,
    )
    replica.outbox.append(answer)


def receive_probe_answer(replica: Replica, answer: ProbeAnswer, now: float) -> None:
    """Note an answer; found when it was the last one missing."""
    name = name_of(answer.sender)
    if not is_empty(replica) or name not in other_names(replica):
        return

    replica.probe_answers[name] = (answer.sender, answer.empty)
    if may_found(replica):
        found_group(replica, now)
